//! `drain`, `members`, `upstreams`, `status` and `audit`.

use oriolecrank_ctl::{ExitCode, run};
use oriolecrank_schema::control::{Command, UpstreamPhase, UpstreamRecord, UpstreamRole};

use crate::control_stand_in::{CommandFault, ControlStandIn, parser};

fn announce(upstream: &str) -> Command {
    Command::Announce {
        load: None,
        number: 1,
        record: UpstreamRecord {
            address: "10.0.0.5:7000".to_owned(),
            capacity_blocks: 64,
            checks_fencing: false,
            failure_domain: "piedmont-1".to_owned().into(),
            incarnation: 1,
            model: None,
            phase: UpstreamPhase::Ready,
            region: "piedmont".to_owned().into(),
            role: UpstreamRole::Plain,
            service: "desk".to_owned().into(),
            upstream: upstream.to_owned().into(),
            version: None,
        },
    }
}

async fn with_upstream() -> ControlStandIn {
    let stand_in = ControlStandIn::with_document().await;
    stand_in.table().commit(announce("desk-1"));
    stand_in
}

/// Guards against a drain that is ordered twice, and against one that nobody can attribute.
#[tokio::test]
async fn drain_is_placed_once_and_audited() {
    let stand_in = with_upstream().await;
    stand_in.table().faults.push_back(CommandFault::LoseAnswer);
    let drain = [
        "drain",
        "desk-1",
        "--reason",
        "new pump",
        "--request-id",
        "r-1",
    ];
    let output = stand_in.ctl(&drain).await;
    assert_eq!(output.stdout, "committed as order 3.1\n", "{output:?}");
    assert_eq!(
        stand_in.ctl(&drain).await,
        output,
        "a resend gets the first answer"
    );
    let pending = stand_in.ctl(&["undrain", "desk-1"]).await;
    assert_eq!(pending.code, ExitCode::Refused);
    assert!(pending.stderr.contains("order 3.1"), "{pending:?}");
    let reused = stand_in
        .ctl(&["undrain", "desk-1", "--request-id", "r-1"])
        .await;
    assert_eq!(reused.code, ExitCode::Conflict);
    let unknown = stand_in.ctl(&["drain", "desk-9"]).await;
    assert_eq!(unknown.code, ExitCode::Refused);

    let upstreams = stand_in.ctl(&["upstreams"]).await;
    let line = "desk-1 1 desk piedmont-1 10.0.0.5:7000 ready 64 3.1";
    assert!(
        upstreams.stdout.lines().any(|other| other == line),
        "{upstreams:?}"
    );
    let audit = stand_in.ctl_json(&["audit", "--from", "2"]).await;
    assert_eq!(audit["records"].as_array().map(Vec::len), Some(1));
    assert_eq!(audit["records"][0]["action"], "order drain desk-1");
    assert_eq!(audit["records"][0]["operator"], "alma");
    assert_eq!(audit["records"][0]["changes"][0], "new pump");
}

/// Guards against an export of the audit trail that stops after the first page.
#[tokio::test]
async fn audit_reads_all_pages() {
    let stand_in = with_upstream().await;
    for number in 0..1_200 {
        stand_in.table().commit(Command::RecordAudit {
            action: "force".to_owned(),
            changes: Vec::new(),
            operator: "alma".to_owned(),
            origin: String::new(),
            request_id: format!("force-{number}"),
        });
    }
    let all = stand_in.ctl_json(&["audit", "--limit", "5000"]).await;
    assert_eq!(all["records"].as_array().map(Vec::len), Some(1_201));
    assert_eq!(all["more"], false);
    let some = stand_in.ctl_json(&["audit", "--limit", "700"]).await;
    assert_eq!(some["records"].as_array().map(Vec::len), Some(700));
    assert_eq!(some["more"], true);
    let text = stand_in.ctl(&["audit", "--limit", "1"]).await;
    let expected = "1 1000 bruno 10.0.0.9 setup 0->1 \"submit\" ";
    assert!(
        text.stdout
            .lines()
            .nth(1)
            .is_some_and(|line| line.starts_with(expected))
    );
}

/// Guards against lists that a person or a program cannot read.
#[tokio::test]
async fn members_and_status_are_printed() {
    let stand_in = with_upstream().await;
    let members = stand_in.ctl(&["members"]).await;
    let line = "control-1 10.0.0.2:7100 piedmont-1 leader live 17";
    assert_eq!(members.stdout.lines().nth(1), Some(line));
    let json = stand_in.ctl_json(&["members"]).await;
    assert_eq!(json["members"][0]["instance"], "control-1");
    let status = stand_in.ctl(&["status"]).await;
    assert!(
        status.stdout.lines().any(|line| line == "revision 1"),
        "{status:?}"
    );
    assert_eq!(stand_in.ctl_json(&["status"]).await["upstreams"], 1);
}

/// Guards against a command that fails because the first instance is not the leader.
#[tokio::test]
async fn leader_hint_is_followed() {
    let leader = with_upstream().await;
    let follower = ControlStandIn::with_document().await;
    let hint = CommandFault::NotLeader(Some(leader.address.to_string()));
    follower.table().faults.push_back(hint);
    let output = follower.ctl(&["drain", "desk-1"]).await;
    assert_eq!(output.code, ExitCode::Success, "{output:?}");
    assert_eq!(leader.table().state.orders_in_flight().count(), 1);
}

/// Guards against a tool with a wrong secret that waits, or that seems to have changed something.
#[tokio::test]
async fn wrong_secret_exits_with_1() {
    let stand_in = with_upstream().await;
    let mut environment = stand_in.environment();
    environment.secret_file = Some(stand_in.file("other", "another-secret-for-tests"));
    for arguments in [&["status"][..], &["drain", "desk-1"][..]] {
        let output = run(parser(arguments), &environment).await;
        assert_eq!(output.code, ExitCode::Refused, "{output:?}");
        assert!(output.stderr.contains("401"), "{output:?}");
    }
    assert_eq!(stand_in.table().state.orders_in_flight().count(), 0);
}

/// Guards against a command that fails because a leader is being elected.
#[tokio::test]
async fn query_waits_for_a_leader() {
    let stand_in = with_upstream().await;
    stand_in.table().leaderless_queries = 2;
    let output = stand_in.ctl(&["status"]).await;
    assert_eq!(output.code, ExitCode::Success, "{output:?}");
    stand_in.table().leaderless_queries = u64::MAX;
    let output = stand_in.ctl(&["status", "--timeout-ms", "200"]).await;
    assert_eq!(output.code, ExitCode::Unavailable, "{output:?}");
}
