//! `members add`, `members promote` and `members remove`.

use oriolecrank_ctl::ExitCode;
use oriolecrank_schema::control::{JoiningInstance, MembersOutcome};

use crate::control_stand_in::ControlStandIn;

const WAITING: &str = "control-2-00000000000000aa";

async fn group(outcomes: &[MembersOutcome]) -> ControlStandIn {
    let stand_in = ControlStandIn::with_document().await;
    let mut table = stand_in.table();
    table.members_outcomes.extend(outcomes.iter().cloned());
    table.joining.push(JoiningInstance {
        address: "10.0.0.3:7100".to_owned(),
        instance: WAITING.to_owned(),
        name: "control-2".to_owned(),
    });
    drop(table);
    stand_in
}

/// Guards against an operator who has to find out the random part of an identity, and against a
/// request that is not based on the version that was read.
#[tokio::test]
async fn an_instance_is_added_by_its_name() {
    let stand_in = group(&[MembersOutcome::Changed { version: 4 }]).await;
    let listed = stand_in.ctl(&["members"]).await;
    let line = format!("{WAITING} 10.0.0.3:7100 - waiting - -");
    assert_eq!(listed.stdout.lines().nth(2), Some(line.as_str()));
    let added = stand_in
        .ctl(&["members", "add", "control-2", "10.0.0.3:7100"])
        .await;
    assert_eq!(added.code, ExitCode::Success, "{added:?}");
    let table = stand_in.table();
    let request = &table.members_requests[0];
    assert_eq!((request.base_version, request.forced), (3, false));
    let members: Vec<_> = request.members.iter().collect();
    assert_eq!(members.len(), 2);
    assert_eq!(members[1].instance, WAITING);
    assert!(!members[1].voter);
}

/// Guards against an exit code that does not tell whether the group was changed.
#[tokio::test]
async fn outcomes_have_their_exit_codes() {
    let refused = MembersOutcome::Refused {
        reason: "could not lose one more instance".to_owned(),
    };
    let stale = MembersOutcome::StaleVersion { current_version: 4 };
    let changed = MembersOutcome::Changed { version: 4 };
    let lost = MembersOutcome::NotLeader { leader: None };
    let remove: &[&str] = &["members", "remove", "control-1"];
    let force: &[&str] = &["members", "remove", "control-1", "--force"];
    let limited: &[&str] = &["members", "remove", "control-1", "--timeout-ms", "300"];
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
            limited,
            vec![MembersOutcome::Unknown],
            ExitCode::OutcomeUnknown,
        ),
        (limited, vec![lost], ExitCode::Unavailable),
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
        let stand_in = group(&outcomes).await;
        let output = stand_in.ctl(arguments).await;
        assert_eq!(
            output.code, expected,
            "{arguments:?} {outcomes:?} {output:?}"
        );
        let table = stand_in.table();
        let forced = arguments.contains(&"--force");
        assert!(
            table
                .members_requests
                .iter()
                .all(|sent| sent.forced == forced)
        );
        // Only the same request may be sent again.
        let first = table.members_requests.first();
        assert!(
            table
                .members_requests
                .iter()
                .all(|sent| Some(sent) == first)
        );
    }
}
