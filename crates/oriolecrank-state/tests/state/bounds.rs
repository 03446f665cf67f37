//! Size limits of the state that apply across all organisations.

use oriolecrank_schema::control::{Command, CommandOutcome};
use oriolecrank_schema::document::ConfigDocument;
use oriolecrank_state::LogIndex;
use oriolecrank_state::cluster::{
    CRASH_ID_LIFETIME_MS, GUARANTEED_CLAIMS, MAX_ANSWER_BYTES, MAX_CLAIMS,
    MAX_CLAIMS_PER_ORGANISATION, MAX_CRASH_IDS, MAX_FEED_BYTES, MAX_HISTORY_BYTES, MAX_INTENTS,
    MAX_ORGANISATION_ANSWER_BYTES, MAX_SUSPECTS, MAX_TOTAL_ANSWER_BYTES,
};

use crate::cluster_fixture::{
    TestCluster, complete_claim, open_claim_for, refused, report_crash, stored_answer, submit,
};
use crate::fixtures::{document, organisation};

/// The document of the fixtures with `count` organisations instead of its own.
fn document_with_organisations(count: u64) -> ConfigDocument {
    let organisations = (0..count).map(|number| organisation(&format!("org-{number}"), number));
    ConfigDocument {
        organisations: organisations.collect(),
        ..document()
    }
}

/// Opens a claim of organisation `org-{organisation}` with the key `k-{key}`.
fn open_numbered_claim(organisation: u64, key: u32) -> Command {
    let name = format!("org-{organisation}");
    open_claim_for(&name, &format!("k-{key}"), "b", "r", ("desk-1", 1))
}

/// Guards against a claim table that grows without bound, and against organisations that get no
/// claims because others fill the table.
#[test]
fn every_organisation_gets_its_guaranteed_claims() {
    let mut cluster = TestCluster::ready();
    cluster.send(submit("many", 1, document_with_organisations(12)));
    for organisation in 0..10 {
        for key in 0..MAX_CLAIMS_PER_ORGANISATION {
            cluster.send(open_numbered_claim(organisation, key));
        }
    }
    assert_eq!(cluster.state.summary().claims, MAX_CLAIMS as u64);
    for key in 0..GUARANTEED_CLAIMS {
        let outcome = cluster.send(open_numbered_claim(10, key));
        assert!(
            matches!(outcome, CommandOutcome::ClaimGranted { .. }),
            "claim {key} of the guaranteed ones: {outcome:?}"
        );
    }
    let outcome = cluster.send(open_numbered_claim(10, GUARANTEED_CLAIMS));
    assert_eq!(outcome, CommandOutcome::ClaimLimit);
    let outcome = cluster.send(open_numbered_claim(11, 0));
    assert!(matches!(outcome, CommandOutcome::ClaimGranted { .. }));
}

/// Guards against stored answers that exceed the memory of a control instance.
#[test]
fn stored_answers_are_bounded_in_total() {
    let mut cluster = TestCluster::ready();
    let organisations = (MAX_TOTAL_ANSWER_BYTES / MAX_ORGANISATION_ANSWER_BYTES) as u64 + 1;
    cluster.send(submit(
        "many",
        1,
        document_with_organisations(organisations),
    ));
    let answers = (MAX_ORGANISATION_ANSWER_BYTES / MAX_ANSWER_BYTES) as u32;
    let mut claim_id = 0;
    for organisation in 0..organisations {
        for key in 0..answers {
            cluster.send(open_numbered_claim(organisation, key));
            claim_id += 1;
            cluster.send(complete_claim(
                claim_id,
                1,
                Some(stored_answer(MAX_ANSWER_BYTES)),
            ));
        }
    }
    let bytes = cluster.state.summary().answer_bytes as usize;
    assert!(
        bytes <= MAX_TOTAL_ANSWER_BYTES,
        "{bytes} bytes of answers are stored"
    );
    assert!(
        bytes > MAX_TOTAL_ANSWER_BYTES - 2 * MAX_ANSWER_BYTES,
        "{bytes} bytes of answers are stored"
    );
}

/// Guards against a list of suspects that grows with the number of organisations.
#[test]
fn suspects_are_bounded_in_total() {
    let mut cluster = TestCluster::ready();
    let names: Vec<String> = (0..1_000).map(|number| format!("org-{number}")).collect();
    cluster.send(report_crash("engine-1", 0, &[("quiet", "f")]));
    for crash_id in 1..=20 {
        let fingerprint = format!("f-{crash_id}");
        let running = names
            .iter()
            .map(|name| (name.as_str(), fingerprint.as_str()));
        let running: Vec<(&str, &str)> = running.collect();
        cluster.send(report_crash("engine-1", crash_id, &running));
    }
    let suspects = cluster.suspects();
    assert_eq!(suspects.len(), MAX_SUSPECTS);
    assert!(suspects.iter().any(|record| record.organisation == "quiet"));
}

/// Guards against a repeated crash report that counts twice, and against stored reports that are
/// never removed.
#[test]
fn crash_reports_are_recognised_for_fifteen_minutes() {
    let mut cluster = TestCluster::ready();
    let report = || report_crash("engine-1", 1, &[("grove", "f")]);
    cluster.send(report());
    let outcome = cluster.send_after(CRASH_ID_LIFETIME_MS - 1, report());
    assert_eq!(outcome, CommandOutcome::Unchanged);
    assert!(
        cluster.suspects().is_empty(),
        "the suspect expires before the crash report"
    );
    assert_eq!(cluster.send_after(1, report()), CommandOutcome::Accepted);
    for crash_id in 2..=MAX_CRASH_IDS as u64 + 1 {
        cluster.send_after(1, report_crash("engine-1", crash_id, &[]));
    }
    let evicted_outcome = cluster.send(report_crash("engine-1", 1, &[]));
    assert_eq!(evicted_outcome, CommandOutcome::Accepted);
    let recent_outcome = cluster.send(report_crash("engine-1", MAX_CRASH_IDS as u64, &[]));
    assert_eq!(recent_outcome, CommandOutcome::Unchanged);
}

/// Guards against starts that accumulate while the platform does not answer.
#[test]
fn unfinished_starts_are_bounded() {
    let mut cluster = TestCluster::ready();
    let start = || Command::PlaceStart {
        failure_domain: "piedmont-1".to_owned().into(),
        reason: "demand".to_owned(),
        service: "assistant".to_owned().into(),
    };
    for _ in 0..MAX_INTENTS {
        cluster.send(start());
    }
    let full = refused("too many starts and stops are not finished");
    assert_eq!(cluster.send(start()), full);
}

/// Guards against a history whose stored outcomes exceed the memory of a control instance.
#[test]
fn history_is_bounded_in_bytes() {
    let mut cluster = TestCluster::empty();
    let mut invalid = document();
    for number in 0..120 {
        let name = format!("{:/<60}{number}", "");
        invalid.organisations.push(organisation(&name, number));
    }
    let first = cluster.send(submit("request-0", 0, invalid.clone()));
    let CommandOutcome::DocumentInvalid { errors } = &first else {
        panic!("expected DocumentInvalid, found {first:?}");
    };
    let error_sizes = errors
        .iter()
        .map(|error| error.path.len() + error.reason.len());
    let count = MAX_HISTORY_BYTES / error_sizes.sum::<usize>() + 1;
    for number in 1..count {
        cluster.send(submit(&format!("request-{number}"), 0, invalid.clone()));
    }
    cluster.send(submit("valid", 0, document()));
    // The oldest id has been removed, so its request is decided again; the newest one is stored.
    let outcome = cluster.send(submit("request-0", 0, invalid.clone()));
    assert!(matches!(outcome, CommandOutcome::DocumentConflict { .. }));
    let newest = format!("request-{}", count - 1);
    assert_eq!(cluster.send(submit(&newest, 0, invalid)), first);
}

/// Guards against a feed of large documents that exceeds the memory of a control instance.
#[test]
fn feed_is_bounded_in_bytes() {
    let mut cluster = TestCluster::empty();
    let mut large = document_with_organisations(2_000);
    let size = oriolecrank_schema::codec::encode(&large).len();
    let count = (MAX_FEED_BYTES / size + 2) as u64;
    for base in 0..count {
        for organisation in &mut large.organisations {
            organisation.weight = base as u32 + 1;
        }
        cluster.send(submit(&format!("r-{base}"), base, large.clone()));
    }
    assert!(cluster.state.changes_since(LogIndex(0)).is_none());
    let newest = cluster.state.changes_since(LogIndex(count - 1));
    assert_eq!(
        newest.expect("the feed contains the newest change").count(),
        1
    );
}
