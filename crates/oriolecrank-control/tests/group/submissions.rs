//! Documents through changes of the leader and races of operators.

use oriolecrank_entry::{EntryState, FrameFault};
use oriolecrank_net::{ControlClient, FrameReader};
use oriolecrank_schema::control::{CommandOutcome, SubscribeRequest, SubscriptionFrame};
use oriolecrank_state::Revision;
use std::time::Duration;

use crate::harness::{Group, PATIENCE, client, document, submission};

async fn subscribe(client: &ControlClient, revision: Revision) -> FrameReader {
    let request = SubscribeRequest {
        failure_domain: "piedmont-1".to_owned().into(),
        revision: revision.0,
        subscriber: "entry-1".to_owned(),
    };
    let address = client.address(0);
    client.subscribe(address, &request, PATIENCE).await.unwrap()
}

/// Applies frames until a revision is in force.
async fn follow(
    reader: &mut FrameReader,
    state: &EntryState,
    wanted: Revision,
) -> Result<(), FrameFault> {
    while state.view().revision() < wanted {
        let frame = reader.next::<SubscriptionFrame>(PATIENCE).await.unwrap();
        state.apply(frame.unwrap().header)?;
    }
    Ok(())
}

/// Guards against a resend that becomes a second change, or a conflict with itself, because the new
/// leader does not know the request.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_resend_gets_the_first_answer_from_the_new_leader() {
    let group = Group::start().await;
    let old = group.leader(None).await;
    let first = submission("r1", 0, document(&["first"]));
    let accepted = group.submit(old, &first).await;
    assert_eq!(accepted, CommandOutcome::DocumentAccepted { revision: 1 });
    let other = submission("r2", 1, document(&["second"]));
    group.submit(old, &other).await;
    group.instances[old].kill().await;
    assert_eq!(group.submit(old, &first).await, accepted);
    let other_document = submission("r1", 0, document(&["third"]));
    let refused = group.submit(old, &other_document).await;
    assert_eq!(refused, CommandOutcome::RequestIdReused);
}

/// Guards against two operators who both believe that their document is in force.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn one_of_two_operators_under_one_base_revision_wins() {
    let group = Group::start().await;
    group.leader(None).await;
    for round in 0..5 {
        let base = round;
        let (one, two) = (format!("a{round}"), format!("b{round}"));
        let mine = submission(&one, base, document(&[&one]));
        let yours = submission(&two, base, document(&[&two]));
        let first = round as usize % 3;
        let answers = tokio::join!(
            group.submit(first, &mine),
            group.submit((first + 1) % 3, &yours)
        );
        let won = CommandOutcome::DocumentAccepted { revision: base + 1 };
        let lost = CommandOutcome::DocumentConflict {
            current_revision: base + 1,
        };
        let answers = [answers.0, answers.1];
        assert!(answers.contains(&won), "{answers:?}");
        assert!(answers.contains(&lost), "{answers:?}");
    }
}

/// Guards against a subscriber that goes back to an older revision, or counts it as current, when it
/// moves from the leader to a follower that lags.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_revision_never_falls_between_leader_and_stale_follower() {
    let group = Group::start().await;
    let leader = group.leader(None).await;
    let lagging_instance = (leader + 1) % 3;
    let first = submission("r1", 0, document(&["first"]));
    group.submit(leader, &first).await;
    let state = EntryState::new(Duration::from_secs(3), Duration::from_secs(1));
    let at_lagging = client(&[group.instances[lagging_instance].address]);
    let mut reader = subscribe(&at_lagging, Revision(0)).await;
    follow(&mut reader, &state, Revision(1)).await.unwrap();
    group.silence(lagging_instance);
    let second = submission("r2", 1, document(&["second"]));
    group.submit(leader, &second).await;
    let at_leader = client(&[group.instances[leader].address]);
    let mut reader = subscribe(&at_leader, state.view().revision()).await;
    follow(&mut reader, &state, Revision(2)).await.unwrap();
    let mut reader = subscribe(&at_lagging, state.view().revision()).await;
    let frame = reader.next::<SubscriptionFrame>(PATIENCE).await.unwrap();
    let lagging = FrameFault::Lagging {
        offered: Revision(1),
        in_force: Revision(2),
    };
    assert_eq!(state.apply(frame.unwrap().header), Err(lagging));
    assert_eq!(
        group.instances[lagging_instance].ping("entry-1").await,
        None
    );
    assert_eq!(state.view().revision(), Revision(2));
    let mut reader = subscribe(&at_leader, state.view().revision()).await;
    let third = submission("r3", 2, document(&["third"]));
    group.submit(leader, &third).await;
    follow(&mut reader, &state, Revision(3)).await.unwrap();
}
