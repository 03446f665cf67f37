//! Guards against a document that reverts, counts of a closed window that change, and a snapshot
//! that loses state.

use oriolecrank_routing::{
    OrganisationCounts, OrganisationName, SiteCommand, SiteOutcome, SiteState, StoredDocument,
    WindowNumber,
};
use proptest::prelude::*;

fn publish(version: u64, source: &str) -> SiteCommand {
    SiteCommand::Publish(StoredDocument {
        version,
        source: source.to_owned().into(),
    })
}

fn close(window: u64, count: u64) -> SiteCommand {
    let counts = OrganisationCounts::from([(OrganisationName::from("o"), count)]);
    SiteCommand::CloseWindow {
        window: WindowNumber(window),
        counts,
    }
}

#[test]
fn documents_of_the_same_or_an_older_version_have_no_effect() {
    let mut state = SiteState::default();
    assert_eq!(state.apply(publish(7, "first")), SiteOutcome::Applied);
    assert_eq!(state.apply(publish(7, "other")), SiteOutcome::Superseded);
    assert_eq!(state.apply(publish(6, "older")), SiteOutcome::Superseded);
    assert_eq!(&state.document().unwrap().source[..], b"first");
}

#[test]
fn the_counts_of_a_closed_window_are_final() {
    let mut state = SiteState::default();
    assert_eq!(state.apply(close(3, 5)), SiteOutcome::Applied);
    assert_eq!(state.apply(close(3, 6)), SiteOutcome::Superseded);
    assert_eq!(state.apply(close(2, 6)), SiteOutcome::Superseded);
    let unreported: Vec<_> = state
        .unreported_windows()
        .map(|(window, closed)| (window.0, closed.counts[0]))
        .collect();
    assert_eq!(unreported, [(3, 5)]);
    let window = WindowNumber(3);
    state.apply(SiteCommand::MarkReported { window });
    assert_eq!(state.unreported_windows().count(), 0);
}

proptest! {
    /// A replica restored from a snapshot ends in the same state as one that was not interrupted,
    /// and neither the version nor the highest closed window ever falls.
    #[test]
    fn a_replica_restored_from_a_snapshot_reaches_the_same_state(
        commands in prop::collection::vec((0..3_u8, 0..20_u64, 0..5_u64), 0..60),
        snapshot_index in 0..60_usize,
    ) {
        let (mut uninterrupted, mut restored) = (SiteState::default(), SiteState::default());
        for (index, (kind, number, count)) in commands.into_iter().enumerate() {
            let command = match kind {
                0 => publish(number, &count.to_string()),
                1 => close(number, count),
                _ => SiteCommand::MarkReported { window: WindowNumber(number) },
            };
            let version = uninterrupted.document().map_or(0, |document| document.version);
            let closed = uninterrupted.closed_until();
            uninterrupted.apply(command.clone());
            restored.apply(command);
            prop_assert!(uninterrupted.document().map_or(0, |document| document.version) >= version);
            prop_assert!(uninterrupted.closed_until() >= closed);
            if index == snapshot_index {
                restored = SiteState::decode(&restored.encode()).unwrap();
            }
        }
        prop_assert_eq!(uninterrupted, restored);
    }
}
