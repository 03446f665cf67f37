//! `keys issue` and `keys withdraw`.

use oriolecrank_ctl::{CtlOutput, ExitCode};
use oriolecrank_schema::digest::key_digest;
use oriolecrank_schema::document::ConfigDocument;

use crate::control_stand_in::{CommandFault, ControlStandIn, DOCUMENT, document, submit};

/// The key that an invocation printed.
fn printed_key(output: &CtlOutput) -> String {
    let first = output.stdout.lines().next().expect("a line");
    assert_eq!(first.len(), 4 + 64, "256 bits in hexadecimal: {output:?}");
    first.to_owned()
}

fn current(stand_in: &ControlStandIn) -> ConfigDocument {
    stand_in.table().state.document().as_document().clone()
}

/// Guards against a key that does not work, a key that is stored, and keys that repeat.
#[tokio::test]
async fn issued_key_is_printed_once_and_stored_as_digest() {
    let stand_in = ControlStandIn::with_document().await;
    let output = stand_in.ctl(&["keys", "issue", "grove", "night"]).await;
    assert_eq!(output.code, ExitCode::Success, "{output:?}");
    let key = printed_key(&output);
    assert_eq!(output.stdout.matches(&key).count(), 1);
    {
        let table = stand_in.table();
        let owner = table
            .state
            .document()
            .organisation_of_key(&key_digest(&key));
        assert_eq!(owner.map(|owner| owner.name.0.as_str()), Some("grove"));
        let snapshot = table.state.encode_snapshot();
        let found = snapshot
            .windows(key.len())
            .any(|part| part == key.as_bytes());
        assert!(!found, "the key itself is stored");
    }
    let json = stand_in
        .ctl_json(&["keys", "issue", "press", "night"])
        .await;
    assert_eq!(json["result"], "issued");
    assert_ne!(json["key"].as_str(), Some(key.as_str()));
}

/// Guards against a withdrawn key that stays valid, and other keys that go with it.
#[tokio::test]
async fn withdrawn_key_is_removed_alone() {
    let stand_in = ControlStandIn::with_document().await;
    let output = stand_in.ctl(&["keys", "issue", "grove", "day"]).await;
    let day = printed_key(&output);
    let output = stand_in.ctl(&["keys", "issue", "grove", "night"]).await;
    let night = printed_key(&output);
    let output = stand_in.ctl(&["keys", "withdraw", "grove", "day"]).await;
    assert_eq!(output.stdout, "withdrawn in revision 4\n");
    let table = stand_in.table();
    let checked = table.state.document();
    assert!(checked.organisation_of_key(&key_digest(&day)).is_none());
    assert!(checked.organisation_of_key(&key_digest(&night)).is_some());
}

/// Guards against a key command that reverts a change which was committed at the same time, and
/// against a race that makes it fail.
#[tokio::test]
async fn key_is_issued_on_top_of_a_concurrent_change() {
    let stand_in = ControlStandIn::with_document().await;
    let other = submit("other", 1, document(&DOCUMENT.replace("60", "90")));
    stand_in
        .table()
        .faults
        .push_back(CommandFault::Overtake(Box::new(other)));
    let output = stand_in.ctl(&["keys", "issue", "grove", "night"]).await;
    assert_eq!(output.code, ExitCode::Success, "{output:?}");
    let document = current(&stand_in);
    assert_eq!(document.usage_window_s, 90);
    assert_eq!(document.organisations[0].keys.len(), 1);
    assert_eq!(stand_in.table().state.revision().0, 3);
}

/// Guards against a key that is issued twice because an answer was lost.
#[tokio::test]
async fn lost_answer_issues_one_key() {
    let stand_in = ControlStandIn::with_document().await;
    stand_in.table().faults.push_back(CommandFault::LoseAnswer);
    let output = stand_in.ctl(&["keys", "issue", "grove", "night"]).await;
    let key = printed_key(&output);
    let document = current(&stand_in);
    assert_eq!(document.organisations[0].keys.len(), 1);
    assert_eq!(document.organisations[0].keys[0].digest, key_digest(&key));
    assert_eq!(stand_in.table().state.revision().0, 2);
}

/// Guards against a key that is lost because only the wait for it failed.
#[tokio::test]
async fn key_is_printed_when_the_wait_fails() {
    let stand_in = ControlStandIn::with_document().await;
    stand_in.table().lagging = [vec!["entry-2".to_owned()]].into();
    let arguments = [
        "keys",
        "issue",
        "grove",
        "night",
        "--wait",
        "--timeout-ms",
        "300",
    ];
    let output = stand_in.ctl(&arguments).await;
    assert_eq!(output.code, ExitCode::NotInForce);
    let key = printed_key(&output);
    assert!(output.stdout.contains("entry-2"), "{output:?}");
    let digest = current(&stand_in).organisations[0].keys[0].digest.clone();
    assert_eq!(digest, key_digest(&key));
}

/// Guards against commands about names that do not exist or exist already.
#[tokio::test]
async fn unknown_or_used_names_exit_with_1() {
    let stand_in = ControlStandIn::with_document().await;
    stand_in.ctl(&["keys", "issue", "grove", "night"]).await;
    let cases: &[(&[&str], &str)] = &[
        (
            &["keys", "issue", "mill", "night"],
            "mill is not an organisation",
        ),
        (
            &["keys", "issue", "grove", "night"],
            "grove already has a key night",
        ),
        (
            &["keys", "withdraw", "grove", "day"],
            "grove has no key day",
        ),
    ];
    for (arguments, expected) in cases {
        let output = stand_in.ctl(arguments).await;
        assert_eq!(output.code, ExitCode::Refused, "{output:?}");
        assert!(output.stderr.contains(expected), "{output:?}");
    }
    let output = stand_in.ctl(&["keys", "issue", "grove", "a/b"]).await;
    assert_eq!(output.code, ExitCode::Invalid);
    assert_eq!(stand_in.table().state.revision().0, 2);
}
