//! `submit` and `show`.

use oriolecrank_ctl::ExitCode;
use oriolecrank_schema::control::{Query, QueryResult};

use crate::control_stand_in::{CommandFault, ControlStandIn, DOCUMENT, document, submit};

/// [`DOCUMENT`] with another usage window.
fn changed_document() -> String {
    DOCUMENT.replace("60", "30")
}

/// Guards against changes that the operator has not seen, and dry runs that change something.
#[tokio::test]
async fn submit_shows_what_changes() {
    let stand_in = ControlStandIn::with_document().await;
    let file = stand_in.file("document.toml", &changed_document());
    let dry = stand_in.ctl(&["submit", &file, "--dry-run"]).await;
    assert_eq!(dry.code, ExitCode::Success);
    assert!(
        dry.stdout.starts_with("~ usage_window_s: 60 -> 30\n"),
        "{dry:?}"
    );
    assert_eq!(stand_in.table().state.revision().0, 1);

    let output = stand_in.ctl(&["submit", &file]).await;
    assert_eq!(output.code, ExitCode::Success);
    assert_eq!(
        output.stdout,
        "~ usage_window_s: 60 -> 30\naccepted as revision 2\n"
    );
    let again = stand_in.ctl_json(&["submit", &file]).await;
    assert_eq!(again["result"], "unchanged");
    assert_eq!(stand_in.table().state.revision().0, 2);
}

/// Guards against a document that is lost between `show` and `submit`.
#[tokio::test]
async fn shown_document_can_be_submitted() {
    let stand_in = ControlStandIn::with_document().await;
    for format in ["toml", "json"] {
        let shown = stand_in.ctl(&["show", "--format", format]).await;
        let file = stand_in.file(&format!("shown.{format}"), &shown.stdout);
        let json = stand_in.ctl_json(&["submit", &file]).await;
        assert_eq!(json["result"], "unchanged", "{format}");
    }
    let json = stand_in.ctl_json(&["show"]).await;
    assert_eq!(json["revision"], 1);
    assert_eq!(json["document"]["services"][0]["name"], "desk");
}

/// Guards against an operator who overwrites the change of another one.
#[tokio::test]
async fn stale_base_exits_with_4() {
    let stand_in = ControlStandIn::with_document().await;
    let file = stand_in.file("document.toml", &changed_document());
    let output = stand_in.ctl(&["submit", &file, "--base", "0"]).await;
    assert_eq!(output.code, ExitCode::Conflict);
    assert!(
        output.stderr.contains("revision 1 is in force"),
        "{output:?}"
    );
    // A change that is committed between the read and the submission.
    let other = submit("other", 1, document(&DOCUMENT.replace("60", "90")));
    stand_in
        .table()
        .faults
        .push_back(CommandFault::Overtake(Box::new(other)));
    let output = stand_in.ctl(&["submit", &file]).await;
    assert_eq!(output.code, ExitCode::Conflict);
    assert_eq!(
        stand_in
            .table()
            .state
            .document()
            .as_document()
            .usage_window_s,
        90
    );
}

/// Guards against a change that is committed twice because its answer was lost.
#[tokio::test]
async fn lost_answers_are_asked_for_again() {
    let stand_in = ControlStandIn::with_document().await;
    let file = stand_in.file("document.toml", &changed_document());
    stand_in.table().faults.extend([
        CommandFault::NotLeader(None),
        CommandFault::Unavailable,
        CommandFault::LoseAnswer,
        CommandFault::LoseAnswer,
    ]);
    let output = stand_in.ctl(&["submit", &file]).await;
    assert_eq!(output.code, ExitCode::Success, "{output:?}");
    assert!(output.stdout.ends_with("accepted as revision 2\n"));
    assert_eq!(stand_in.table().state.revision().0, 2);
    assert_eq!(stand_in.table().state.summary().audit_records, 2);
}

/// Guards against an unknown outcome that is reported as a failure, and against advice that would
/// make a second change.
#[tokio::test]
async fn unknown_outcome_exits_with_6_and_can_be_resolved() {
    let stand_in = ControlStandIn::with_document().await;
    let file = stand_in.file("document.toml", &changed_document());
    let many = std::iter::repeat_n(CommandFault::LoseAnswer, 1_000);
    stand_in.table().faults.extend(many);
    let output = stand_in
        .ctl(&["submit", &file, "--timeout-ms", "300"])
        .await;
    assert_eq!(output.code, ExitCode::OutcomeUnknown);
    stand_in.table().faults.clear();
    let advice = output
        .stderr
        .split_once("--base")
        .expect("it says how to send it again")
        .1;
    let words: Vec<&str> = advice.split_whitespace().collect();
    let resend = ["submit", &file, "--base", words[0], words[1], words[2]];
    let output = stand_in.ctl(&resend).await;
    assert_eq!(output.code, ExitCode::Success, "{output:?}");
    assert!(output.stdout.ends_with("accepted as revision 2\n"));
    assert_eq!(stand_in.table().state.revision().0, 2);
    // The same id for another document.
    let other = stand_in.file("other.toml", &DOCUMENT.replace("60", "90"));
    let reuse = ["submit", &other, "--base", words[0], words[1], words[2]];
    assert_eq!(stand_in.ctl(&reuse).await.code, ExitCode::Conflict);
}

/// Guards against `--wait` that returns early, or that hides which subscribers lag.
#[tokio::test]
async fn wait_ends_when_the_revision_is_in_force() {
    let stand_in = ControlStandIn::with_document().await;
    let entry = vec!["entry-2".to_owned()];
    stand_in
        .table()
        .lagging
        .extend([entry.clone(), entry.clone(), Vec::new()]);
    let file = stand_in.file("document.toml", &changed_document());
    let output = stand_in.ctl(&["submit", &file, "--wait"]).await;
    assert_eq!(output.code, ExitCode::Success, "{output:?}");
    assert_eq!(
        stand_in.table().lagging.len(),
        1,
        "it asked until nobody lagged"
    );

    stand_in.table().lagging = [entry].into();
    let file = stand_in.file("document.toml", DOCUMENT);
    let arguments = ["submit", &file, "--wait", "--timeout-ms", "300"];
    let output = stand_in.ctl(&arguments).await;
    assert_eq!(output.code, ExitCode::NotInForce);
    assert!(output.stderr.contains("1 of 4 subscribers"), "{output:?}");
    assert!(output.stderr.contains("entry-2"), "{output:?}");
    assert_eq!(
        stand_in.table().state.revision().0,
        3,
        "it is committed all the same"
    );
}

/// Guards against changes without operator or origin in the audit trail.
#[tokio::test]
async fn submission_names_operator_and_origin() {
    let stand_in = ControlStandIn::with_document().await;
    let file = stand_in.file("document.toml", &changed_document());
    stand_in
        .ctl(&["submit", &file, "--operator", "carla"])
        .await;
    let query = Query::Audit {
        first_index: 2,
        limit: 1,
    };
    let result = stand_in.table().state.query(&query);
    let QueryResult::Audit { records, .. } = result else {
        panic!("{result:?}");
    };
    assert_eq!(records[0].operator, "carla");
    assert_eq!(records[0].origin, "127.0.0.1");
    let anonymous = stand_in
        .ctl(&["submit", &file, "--operator", "", "--base", "2"])
        .await;
    assert_eq!(
        anonymous.code,
        ExitCode::Success,
        "nothing differs, so nothing is sent"
    );
    let file = stand_in.file("document.toml", DOCUMENT);
    let anonymous = stand_in.ctl(&["submit", &file, "--operator", ""]).await;
    assert_eq!(anonymous.code, ExitCode::Usage);
}
