//! Replacement of lost control instances by an operator.

use oriolecrank_control::{GroupMembership as _, InitialMember};
use oriolecrank_ctl::ExitCode;
use oriolecrank_schema::control::CommandOutcome;

use crate::harness::{Group, Instance, document, submission};

/// Guards against a replacement that cannot join, that joins without a new identity or that cannot
/// become a voter after it has caught up. Also guards against the removal of a second lost instance
/// without `--force` or without a record in the audit trail.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_lost_instance_is_replaced_and_a_second_loss_needs_force() {
    let mut group = Group::start().await;
    let leader = group.leader(None).await;
    let first = submission("r1", 0, document(&["first"]));
    group.submit(leader, &first).await;
    let lost = (leader + 1) % 3;
    group.instances[lost].kill().await;
    let lost_name = group.instances[lost].name.clone();

    let known = group.instances.iter().map(|instance| InitialMember {
        instance: instance.name.clone(),
        address: instance.address,
    });
    let members = known.collect();
    let joined = Instance::start(&group.folder, "d1", members).await;
    let id = joined.replica.handle().status().node.id.to_string();
    assert!(id.starts_with("d1-"), "{id}");
    let address = joined.address.to_string();
    let added = group.ctl(&["members", "add", "d1", &address]).await;
    assert_eq!(added.code, ExitCode::Success, "{added:?}");
    group.wait_caught_up(&id).await;
    group.wait_silent(&lost_name).await;
    let listed = group.ctl(&["members"]).await.stdout;
    assert!(
        listed.contains(&format!("{id} {address} - learner live")),
        "{listed}"
    );
    assert!(listed.contains(" - voter silent "), "{listed}");
    let promoted = group.ctl(&["members", "promote", &id]).await;
    assert_eq!(promoted.code, ExitCode::Success, "{promoted:?}");
    let removed = group.ctl(&["members", "remove", &lost_name]).await;
    assert_eq!(removed.code, ExitCode::Success, "{removed:?}");
    group.instances.push(joined);
    assert_eq!(group.membership_version().await, 4);

    let leader = group.leader(Some(lost)).await;
    let voters = group.instances[leader].replica.membership();
    let mut voters = voters.voters().map(|voter| voter.as_str().to_owned());
    let second = voters.find(|voter| {
        let own = group.instances[leader].replica.handle().status().node.id;
        voter != own.as_str()
    });
    let second = second.unwrap();
    let instances = group.instances.iter();
    let mut second_lost = instances.filter(|instance| second.starts_with(&instance.name));
    second_lost.next().unwrap().kill().await;
    let before = group.audited_actions().await;
    let refused = group.ctl(&["members", "remove", &second]).await;
    assert_eq!(refused.code, ExitCode::Refused, "{refused:?}");
    assert!(
        refused.stderr.contains("could not lose one more"),
        "{refused:?}"
    );
    assert_eq!(group.audited_actions().await, before);
    let forced = group.ctl(&["members", "remove", &second, "--force"]).await;
    assert_eq!(forced.code, ExitCode::Success, "{forced:?}");
    let after = group.audited_actions().await;
    let expected = [
        "submit",
        "members 1->2",
        "members 2->3",
        "members 3->4",
        "members 4->5 forced",
    ];
    assert_eq!(after, expected);
    let final_document = submission("r2", 1, document(&["second"]));
    let accepted = group.submit(leader, &final_document).await;
    assert_eq!(accepted, CommandOutcome::DocumentAccepted { revision: 2 });
}
