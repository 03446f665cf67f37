//! Submitted documents during changes of the leader and concurrent submissions.

use oriolecrank_entry::{EntryState, FrameFault};
use oriolecrank_net::{ControlClient, FrameReader};
use oriolecrank_schema::control::{CommandOutcome, SubscribeRequest, SubscriptionFrame};
use oriolecrank_state::Revision;
use std::time::Duration;

use crate::harness::{EVENT_TIMEOUT, Group, client, document, submission};

async fn subscribe(client: &ControlClient, revision: Revision) -> FrameReader {
    let request = SubscribeRequest {
        failure_domain: "piedmont-1".to_owned().into(),
        revision: revision.0,
        subscriber: "entry-1".to_owned(),
    };
    let address = client.address(0);
    client
        .subscribe(address, &request, EVENT_TIMEOUT)
        .await
        .unwrap()
}

/// Applies frames to `state` until it has `wanted` or a later revision in force.
async fn follow(
    reader: &mut FrameReader,
    state: &EntryState,
    wanted: Revision,
) -> Result<(), FrameFault> {
    while state.view().revision() < wanted {
        let frame = reader
            .next::<SubscriptionFrame>(EVENT_TIMEOUT)
            .await
            .unwrap();
        state.apply(frame.unwrap().header)?;
    }
    Ok(())
}

/// Guards against a resent request that is applied a second time, or refused as a conflict with its
/// own first submission, because the new leader does not know the request.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_resend_gets_the_first_answer_from_the_new_leader() {
    let group = Group::start().await;
    let old_leader = group.leader(None).await;
    let first = submission("r1", 0, document(&["first"]));
    let accepted = group.submit(old_leader, &first).await;
    assert_eq!(accepted, CommandOutcome::DocumentAccepted { revision: 1 });
    let second = submission("r2", 1, document(&["second"]));
    group.submit(old_leader, &second).await;
    group.instances[old_leader].kill().await;
    assert_eq!(group.submit(old_leader, &first).await, accepted);
    let other_document = submission("r1", 0, document(&["third"]));
    let refused = group.submit(old_leader, &other_document).await;
    assert_eq!(refused, CommandOutcome::RequestIdReused);
}

/// Guards against two concurrent submissions on the same base revision that are both accepted: both
/// operators would believe that their document is in force.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn one_of_two_submissions_on_one_base_revision_is_accepted() {
    let group = Group::start().await;
    group.leader(None).await;
    for round in 0..5 {
        let base = round;
        let (first_id, second_id) = (format!("a{round}"), format!("b{round}"));
        let first_submission = submission(&first_id, base, document(&[&first_id]));
        let second_submission = submission(&second_id, base, document(&[&second_id]));
        let instance = round as usize % 3;
        let answers = tokio::join!(
            group.submit(instance, &first_submission),
            group.submit((instance + 1) % 3, &second_submission)
        );
        let accepted = CommandOutcome::DocumentAccepted { revision: base + 1 };
        let conflict = CommandOutcome::DocumentConflict {
            current_revision: base + 1,
        };
        let answers = [answers.0, answers.1];
        assert!(answers.contains(&accepted), "{answers:?}");
        assert!(answers.contains(&conflict), "{answers:?}");
    }
}

/// Guards against a subscriber that returns to an older revision, or takes it for the current one,
/// when it moves from the leader to a follower that lags behind.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_subscriber_rejects_the_older_revision_of_a_lagging_follower() {
    let group = Group::start().await;
    let leader = group.leader(None).await;
    let lagging_instance = (leader + 1) % 3;
    let first = submission("r1", 0, document(&["first"]));
    group.submit(leader, &first).await;
    let state = EntryState::new(Duration::from_secs(3), Duration::from_secs(1));
    let lagging_client = client(&[group.instances[lagging_instance].address]);
    let mut reader = subscribe(&lagging_client, Revision(0)).await;
    follow(&mut reader, &state, Revision(1)).await.unwrap();
    group.isolate(lagging_instance);
    let second = submission("r2", 1, document(&["second"]));
    group.submit(leader, &second).await;
    let leader_client = client(&[group.instances[leader].address]);
    let mut reader = subscribe(&leader_client, state.view().revision()).await;
    follow(&mut reader, &state, Revision(2)).await.unwrap();
    let mut reader = subscribe(&lagging_client, state.view().revision()).await;
    let frame = reader
        .next::<SubscriptionFrame>(EVENT_TIMEOUT)
        .await
        .unwrap();
    let expected = FrameFault::Lagging {
        offered: Revision(1),
        in_force: Revision(2),
    };
    assert_eq!(state.apply(frame.unwrap().header), Err(expected));
    assert_eq!(
        group.instances[lagging_instance].ping("entry-1").await,
        None
    );
    assert_eq!(state.view().revision(), Revision(2));
    let mut reader = subscribe(&leader_client, state.view().revision()).await;
    let third = submission("r3", 2, document(&["third"]));
    group.submit(leader, &third).await;
    follow(&mut reader, &state, Revision(3)).await.unwrap();
}
