//! `drain`, `members`, `upstreams`, `status` and `audit`.

use oriolecrank_ctl::{ExitCode, run};
use oriolecrank_schema::control::{Command, UpstreamPhase, UpstreamRecord, UpstreamRole};

use crate::fake_control::{CommandFault, FakeControl, parser};

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

/// Starts a fake at which the upstream `desk-1` is announced.
async fn with_upstream() -> FakeControl {
    let fake = FakeControl::with_document().await;
    fake.script().commit(announce("desk-1"));
    fake
}

/// Guards against a drain that is committed twice after its answer was lost, and against one
/// without operator or reason in the audit trail.
#[tokio::test]
async fn drain_is_placed_once_and_audited() {
    let fake = with_upstream().await;
    fake.script().faults.push_back(CommandFault::LoseAnswer);
    let drain = [
        "drain",
        "desk-1",
        "--reason",
        "new pump",
        "--request-id",
        "r-1",
    ];
    let output = fake.ctl(&drain).await;
    assert_eq!(output.stdout, "committed as order 3.1\n", "{output:?}");
    assert_eq!(
        fake.ctl(&drain).await,
        output,
        "a resend gets the first answer"
    );
    let pending = fake.ctl(&["undrain", "desk-1"]).await;
    assert_eq!(pending.code, ExitCode::Refused);
    assert!(pending.stderr.contains("order 3.1"), "{pending:?}");
    let reused = fake
        .ctl(&["undrain", "desk-1", "--request-id", "r-1"])
        .await;
    assert_eq!(reused.code, ExitCode::Conflict);
    let unknown = fake.ctl(&["drain", "desk-9"]).await;
    assert_eq!(unknown.code, ExitCode::Refused);

    let upstreams = fake.ctl(&["upstreams"]).await;
    let line = "desk-1 1 desk piedmont-1 10.0.0.5:7000 ready 64 3.1";
    assert!(
        upstreams.stdout.lines().any(|other| other == line),
        "{upstreams:?}"
    );
    let audit = fake.ctl_json(&["audit", "--from", "2"]).await;
    assert_eq!(audit["records"].as_array().map(Vec::len), Some(1));
    assert_eq!(audit["records"][0]["action"], "order drain desk-1");
    assert_eq!(audit["records"][0]["operator"], "alma");
    assert_eq!(audit["records"][0]["changes"][0], "new pump");
}

/// Guards against an export of the audit trail that stops after the first page.
#[tokio::test]
async fn audit_reads_all_pages() {
    let fake = with_upstream().await;
    for number in 0..1_200 {
        fake.script().commit(Command::RecordAudit {
            action: "force".to_owned(),
            changes: Vec::new(),
            operator: "alma".to_owned(),
            origin: String::new(),
            request_id: format!("force-{number}"),
        });
    }
    let all = fake.ctl_json(&["audit", "--limit", "5000"]).await;
    assert_eq!(all["records"].as_array().map(Vec::len), Some(1_201));
    assert_eq!(all["more"], false);
    let some = fake.ctl_json(&["audit", "--limit", "700"]).await;
    assert_eq!(some["records"].as_array().map(Vec::len), Some(700));
    assert_eq!(some["more"], true);
    let text = fake.ctl(&["audit", "--limit", "1"]).await;
    let expected = "1 1000 bruno 10.0.0.9 setup 0->1 \"submit\" ";
    assert!(
        text.stdout
            .lines()
            .nth(1)
            .is_some_and(|line| line.starts_with(expected))
    );
}

/// Guards against a changed format of the lists, as text or as JSON.
#[tokio::test]
async fn members_and_status_are_printed() {
    let fake = with_upstream().await;
    let members = fake.ctl(&["members"]).await;
    let line = "control-1 10.0.0.2:7100 piedmont-1 leader live 17";
    assert_eq!(members.stdout.lines().nth(1), Some(line));
    let json = fake.ctl_json(&["members"]).await;
    assert_eq!(json["members"][0]["instance"], "control-1");
    let status = fake.ctl(&["status"]).await;
    assert!(
        status.stdout.lines().any(|line| line == "revision 1"),
        "{status:?}"
    );
    assert_eq!(fake.ctl_json(&["status"]).await["upstreams"], 1);
}

/// Guards against a command that fails because the first instance is not the leader.
#[tokio::test]
async fn leader_hint_is_followed() {
    let leader = with_upstream().await;
    let follower = FakeControl::with_document().await;
    let hint = CommandFault::NotLeader(Some(leader.address.to_string()));
    follower.script().faults.push_back(hint);
    let output = follower.ctl(&["drain", "desk-1"]).await;
    assert_eq!(output.code, ExitCode::Success, "{output:?}");
    assert_eq!(leader.script().state.orders_in_flight().count(), 1);
}

/// Guards against a wrong secret that makes the tool wait, or that is not reported as a refusal.
#[tokio::test]
async fn wrong_secret_exits_with_1() {
    let fake = with_upstream().await;
    let mut environment = fake.environment();
    environment.secret_file = Some(fake.file("other", "another-secret-for-tests"));
    for arguments in [&["status"][..], &["drain", "desk-1"][..]] {
        let output = run(parser(arguments), &environment).await;
        assert_eq!(output.code, ExitCode::Refused, "{output:?}");
        assert!(output.stderr.contains("401"), "{output:?}");
    }
    assert_eq!(fake.script().state.orders_in_flight().count(), 0);
}

/// Guards against a query that fails while a leader is elected, or that waits beyond its time
/// limit.
#[tokio::test]
async fn query_waits_for_a_leader() {
    let fake = with_upstream().await;
    fake.script().leaderless_queries = 2;
    let output = fake.ctl(&["status"]).await;
    assert_eq!(output.code, ExitCode::Success, "{output:?}");
    fake.script().leaderless_queries = u64::MAX;
    let output = fake.ctl(&["status", "--timeout-ms", "200"]).await;
    assert_eq!(output.code, ExitCode::Unavailable, "{output:?}");
}
