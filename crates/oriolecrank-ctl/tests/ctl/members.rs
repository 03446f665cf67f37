//! `members add`, `members promote` and `members remove`.

use oriolecrank_ctl::ExitCode;
use oriolecrank_schema::control::{JoiningInstance, MembersOutcome};

use crate::fake_control::FakeControl;

/// Identity of the instance that waits to be added.
const WAITING_INSTANCE: &str = "control-2-00000000000000aa";

/// Starts a fake that answers changes of the membership with `outcomes` and at which `control-2`
/// waits to be added.
async fn group(outcomes: &[MembersOutcome]) -> FakeControl {
    let fake = FakeControl::with_document().await;
    let mut script = fake.script();
    script.members_outcomes.extend(outcomes.iter().cloned());
    script.joining.push(JoiningInstance {
        address: "10.0.0.3:7100".to_owned(),
        instance: WAITING_INSTANCE.to_owned(),
        name: "control-2".to_owned(),
    });
    drop(script);
    fake
}

/// Guards against a command that only accepts the identity, which has a random part, instead of the
/// name, and against a request that is not based on the membership version that was read.
#[tokio::test]
async fn an_instance_is_added_by_its_name() {
    let fake = group(&[MembersOutcome::Changed { version: 4 }]).await;
    let listed = fake.ctl(&["members"]).await;
    let line = format!("{WAITING_INSTANCE} 10.0.0.3:7100 - waiting - -");
    assert_eq!(listed.stdout.lines().nth(2), Some(line.as_str()));
    let added = fake
        .ctl(&["members", "add", "control-2", "10.0.0.3:7100"])
        .await;
    assert_eq!(added.code, ExitCode::Success, "{added:?}");
    let script = fake.script();
    let request = &script.members_requests[0];
    assert_eq!((request.base_version, request.forced), (3, false));
    let members: Vec<_> = request.members.iter().collect();
    assert_eq!(members.len(), 2);
    assert_eq!(members[1].instance, WAITING_INSTANCE);
    assert!(!members[1].voter);
}

/// Guards against an exit code that does not tell whether the membership was changed.
#[tokio::test]
async fn outcomes_have_their_exit_codes() {
    let refused = MembersOutcome::Refused {
        reason: "could not lose one more instance".to_owned(),
    };
    let stale = MembersOutcome::StaleVersion { current_version: 4 };
    let changed = MembersOutcome::Changed { version: 4 };
    let not_leader = MembersOutcome::NotLeader { leader: None };
    let remove: &[&str] = &["members", "remove", "control-1"];
    let force: &[&str] = &["members", "remove", "control-1", "--force"];
    let remove_with_timeout: &[&str] = &["members", "remove", "control-1", "--timeout-ms", "300"];
    let cases = [
        (remove, vec![changed.clone()], ExitCode::Success),
        (force, vec![changed.clone()], ExitCode::Success),
        (remove, vec![refused], ExitCode::Refused),
        (remove, vec![stale], ExitCode::Conflict),
        (
            remove,
            vec![MembersOutcome::Unknown, changed],
            ExitCode::Success,
        ),
        (
            remove_with_timeout,
            vec![MembersOutcome::Unknown],
            ExitCode::OutcomeUnknown,
        ),
        (remove_with_timeout, vec![not_leader], ExitCode::Unavailable),
        (
            &["members", "remove", "control-9"],
            vec![],
            ExitCode::Refused,
        ),
        (
            &["members", "promote", "control-1"],
            vec![],
            ExitCode::Refused,
        ),
        (
            &["members", "add", "control-1", "10.0.0.2:7100"],
            vec![],
            ExitCode::Refused,
        ),
        (
            &["members", "add", "control-9", "here"],
            vec![],
            ExitCode::Usage,
        ),
        (&["members", "--force"], vec![], ExitCode::Usage),
    ];
    for (arguments, outcomes, expected) in cases {
        let fake = group(&outcomes).await;
        let output = fake.ctl(arguments).await;
        assert_eq!(
            output.code, expected,
            "{arguments:?} {outcomes:?} {output:?}"
        );
        let script = fake.script();
        let forced = arguments.contains(&"--force");
        assert!(
            script
                .members_requests
                .iter()
                .all(|sent| sent.forced == forced)
        );
        // Each retry must send the same request.
        let first = script.members_requests.first();
        assert!(
            script
                .members_requests
                .iter()
                .all(|sent| Some(sent) == first)
        );
    }
}
