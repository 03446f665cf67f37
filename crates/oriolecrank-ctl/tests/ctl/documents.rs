//! `submit` and `show`.

use oriolecrank_ctl::ExitCode;
use oriolecrank_schema::control::{Query, QueryResult};

use crate::fake_control::{CommandFault, DOCUMENT, FakeControl, document, submit};

/// [`DOCUMENT`] with another usage window.
fn changed_document() -> String {
    DOCUMENT.replace("60", "30")
}

/// Guards against a submission that does not show its changes, and a dry run that commits them.
#[tokio::test]
async fn submit_shows_what_changes() {
    let fake = FakeControl::with_document().await;
    let file = fake.file("document.toml", &changed_document());
    let dry = fake.ctl(&["submit", &file, "--dry-run"]).await;
    assert_eq!(dry.code, ExitCode::Success);
    assert!(
        dry.stdout.starts_with("~ usage_window_s: 60 -> 30\n"),
        "{dry:?}"
    );
    assert_eq!(fake.script().state.revision().0, 1);

    let output = fake.ctl(&["submit", &file]).await;
    assert_eq!(output.code, ExitCode::Success);
    assert_eq!(
        output.stdout,
        "~ usage_window_s: 60 -> 30\naccepted as revision 2\n"
    );
    let again = fake.ctl_json(&["submit", &file]).await;
    assert_eq!(again["result"], "unchanged");
    assert_eq!(fake.script().state.revision().0, 2);
}

/// Guards against output of `show` that cannot be submitted, or that counts as a change although it
/// is the document in force.
#[tokio::test]
async fn shown_document_can_be_submitted() {
    let fake = FakeControl::with_document().await;
    for format in ["toml", "json"] {
        let shown = fake.ctl(&["show", "--format", format]).await;
        let file = fake.file(&format!("shown.{format}"), &shown.stdout);
        let json = fake.ctl_json(&["submit", &file]).await;
        assert_eq!(json["result"], "unchanged", "{format}");
    }
    let json = fake.ctl_json(&["show"]).await;
    assert_eq!(json["revision"], 1);
    assert_eq!(json["document"]["services"][0]["name"], "desk");
}

/// Guards against a submission that overwrites the change of another operator.
#[tokio::test]
async fn stale_base_exits_with_4() {
    let fake = FakeControl::with_document().await;
    let file = fake.file("document.toml", &changed_document());
    let output = fake.ctl(&["submit", &file, "--base", "0"]).await;
    assert_eq!(output.code, ExitCode::Conflict);
    assert!(
        output.stderr.contains("revision 1 is in force"),
        "{output:?}"
    );
    // Another change is committed between the read and the submission.
    let other = submit("other", 1, document(&DOCUMENT.replace("60", "90")));
    fake.script()
        .faults
        .push_back(CommandFault::CommitOtherFirst(Box::new(other)));
    let output = fake.ctl(&["submit", &file]).await;
    assert_eq!(output.code, ExitCode::Conflict);
    assert_eq!(
        fake.script().state.document().as_document().usage_window_s,
        90
    );
}

/// Guards against a change that is committed twice because its answer was lost.
#[tokio::test]
async fn commands_with_lost_answers_are_resent() {
    let fake = FakeControl::with_document().await;
    let file = fake.file("document.toml", &changed_document());
    fake.script().faults.extend([
        CommandFault::NotLeader(None),
        CommandFault::Unavailable,
        CommandFault::LoseAnswer,
        CommandFault::LoseAnswer,
    ]);
    let output = fake.ctl(&["submit", &file]).await;
    assert_eq!(output.code, ExitCode::Success, "{output:?}");
    assert!(output.stdout.ends_with("accepted as revision 2\n"));
    assert_eq!(fake.script().state.revision().0, 2);
    assert_eq!(fake.script().state.summary().audit_records, 2);
}

/// Guards against an unknown outcome that is reported as a failure, and against advice that leads
/// to a second change.
#[tokio::test]
async fn unknown_outcome_exits_with_6_and_can_be_resolved() {
    let fake = FakeControl::with_document().await;
    let file = fake.file("document.toml", &changed_document());
    let lost_answers = std::iter::repeat_n(CommandFault::LoseAnswer, 1_000);
    fake.script().faults.extend(lost_answers);
    let output = fake.ctl(&["submit", &file, "--timeout-ms", "300"]).await;
    assert_eq!(output.code, ExitCode::OutcomeUnknown);
    fake.script().faults.clear();
    let advice = output
        .stderr
        .split_once("--base")
        .expect("the message says how to send the request again")
        .1;
    let words: Vec<&str> = advice.split_whitespace().collect();
    let resend = ["submit", &file, "--base", words[0], words[1], words[2]];
    let output = fake.ctl(&resend).await;
    assert_eq!(output.code, ExitCode::Success, "{output:?}");
    assert!(output.stdout.ends_with("accepted as revision 2\n"));
    assert_eq!(fake.script().state.revision().0, 2);
    // The same request id with another document is refused.
    let other = fake.file("other.toml", &DOCUMENT.replace("60", "90"));
    let reuse = ["submit", &other, "--base", words[0], words[1], words[2]];
    assert_eq!(fake.ctl(&reuse).await.code, ExitCode::Conflict);
}

/// Guards against a `--wait` that returns early or does not name the lagging subscribers.
#[tokio::test]
async fn wait_ends_when_the_revision_is_in_force() {
    let fake = FakeControl::with_document().await;
    let entry = vec!["entry-2".to_owned()];
    fake.script()
        .lagging
        .extend([entry.clone(), entry.clone(), Vec::new()]);
    let file = fake.file("document.toml", &changed_document());
    let output = fake.ctl(&["submit", &file, "--wait"]).await;
    assert_eq!(output.code, ExitCode::Success, "{output:?}");
    assert_eq!(
        fake.script().lagging.len(),
        1,
        "it asked until no subscriber lagged"
    );

    fake.script().lagging = [entry].into();
    let file = fake.file("document.toml", DOCUMENT);
    let arguments = ["submit", &file, "--wait", "--timeout-ms", "300"];
    let output = fake.ctl(&arguments).await;
    assert_eq!(output.code, ExitCode::NotInForce);
    assert!(output.stderr.contains("1 of 4 subscribers"), "{output:?}");
    assert!(output.stderr.contains("entry-2"), "{output:?}");
    assert_eq!(
        fake.script().state.revision().0,
        3,
        "the document is committed although the wait failed"
    );
}

/// Guards against changes without operator or origin in the audit trail.
#[tokio::test]
async fn submission_names_operator_and_origin() {
    let fake = FakeControl::with_document().await;
    let file = fake.file("document.toml", &changed_document());
    fake.ctl(&["submit", &file, "--operator", "carla"]).await;
    let query = Query::Audit {
        first_index: 2,
        limit: 1,
    };
    let result = fake.script().state.query(&query);
    let QueryResult::Audit { records, .. } = result else {
        panic!("{result:?}");
    };
    assert_eq!(records[0].operator, "carla");
    assert_eq!(records[0].origin, "127.0.0.1");
    let anonymous = fake
        .ctl(&["submit", &file, "--operator", "", "--base", "2"])
        .await;
    assert_eq!(
        anonymous.code,
        ExitCode::Success,
        "nothing differs, so nothing is sent"
    );
    let file = fake.file("document.toml", DOCUMENT);
    let anonymous = fake.ctl(&["submit", &file, "--operator", ""]).await;
    assert_eq!(anonymous.code, ExitCode::Usage);
}
