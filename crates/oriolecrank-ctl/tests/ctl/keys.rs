//! `keys issue` and `keys withdraw`.

use oriolecrank_ctl::{CtlOutput, ExitCode};
use oriolecrank_schema::digest::key_digest;
use oriolecrank_schema::document::ConfigDocument;

use crate::fake_control::{CommandFault, DOCUMENT, FakeControl, document, submit};

/// Returns the key that an invocation printed on its first line.
fn printed_key(output: &CtlOutput) -> String {
    let first = output
        .stdout
        .lines()
        .next()
        .expect("the output is not empty");
    assert_eq!(first.len(), 4 + 64, "256 bits in hexadecimal: {output:?}");
    first.to_owned()
}

fn current(fake: &FakeControl) -> ConfigDocument {
    fake.script().state.document().as_document().clone()
}

/// Guards against a key whose digest is not in force, a key that is stored in plain text, and two
/// keys with the same value.
#[tokio::test]
async fn issued_key_is_printed_once_and_stored_as_digest() {
    let fake = FakeControl::with_document().await;
    let output = fake.ctl(&["keys", "issue", "grove", "night"]).await;
    assert_eq!(output.code, ExitCode::Success, "{output:?}");
    let key = printed_key(&output);
    assert_eq!(output.stdout.matches(&key).count(), 1);
    {
        let script = fake.script();
        let owner = script
            .state
            .document()
            .organisation_of_key(&key_digest(&key));
        assert_eq!(owner.map(|owner| owner.name.0.as_str()), Some("grove"));
        let snapshot = script.state.encode_snapshot();
        let found = snapshot
            .windows(key.len())
            .any(|part| part == key.as_bytes());
        assert!(!found, "the key is stored in plain text");
    }
    let json = fake.ctl_json(&["keys", "issue", "press", "night"]).await;
    assert_eq!(json["result"], "issued");
    assert_ne!(json["key"].as_str(), Some(key.as_str()));
}

/// Guards against a withdrawn key that stays valid, and a withdrawal that removes other keys.
#[tokio::test]
async fn withdrawing_a_key_keeps_the_other_keys() {
    let fake = FakeControl::with_document().await;
    let output = fake.ctl(&["keys", "issue", "grove", "day"]).await;
    let day = printed_key(&output);
    let output = fake.ctl(&["keys", "issue", "grove", "night"]).await;
    let night = printed_key(&output);
    let output = fake.ctl(&["keys", "withdraw", "grove", "day"]).await;
    assert_eq!(output.stdout, "withdrawn in revision 4\n");
    let script = fake.script();
    let checked = script.state.document();
    assert!(checked.organisation_of_key(&key_digest(&day)).is_none());
    assert!(checked.organisation_of_key(&key_digest(&night)).is_some());
}

/// Guards against a key command that reverts a change which was committed between its read and its
/// submission, or that fails because of such a change.
#[tokio::test]
async fn key_is_issued_on_top_of_a_concurrent_change() {
    let fake = FakeControl::with_document().await;
    let other = submit("other", 1, document(&DOCUMENT.replace("60", "90")));
    fake.script()
        .faults
        .push_back(CommandFault::CommitOtherFirst(Box::new(other)));
    let output = fake.ctl(&["keys", "issue", "grove", "night"]).await;
    assert_eq!(output.code, ExitCode::Success, "{output:?}");
    let document = current(&fake);
    assert_eq!(document.usage_window_s, 90);
    assert_eq!(document.organisations[0].keys.len(), 1);
    assert_eq!(fake.script().state.revision().0, 3);
}

/// Guards against a key that is issued twice because an answer was lost.
#[tokio::test]
async fn lost_answer_issues_one_key() {
    let fake = FakeControl::with_document().await;
    fake.script().faults.push_back(CommandFault::LoseAnswer);
    let output = fake.ctl(&["keys", "issue", "grove", "night"]).await;
    let key = printed_key(&output);
    let document = current(&fake);
    assert_eq!(document.organisations[0].keys.len(), 1);
    assert_eq!(document.organisations[0].keys[0].digest, key_digest(&key));
    assert_eq!(fake.script().state.revision().0, 2);
}

/// Guards against a committed key that is not printed because the wait for it failed.
#[tokio::test]
async fn key_is_printed_when_the_wait_fails() {
    let fake = FakeControl::with_document().await;
    fake.script().lagging = [vec!["entry-2".to_owned()]].into();
    let arguments = [
        "keys",
        "issue",
        "grove",
        "night",
        "--wait",
        "--timeout-ms",
        "300",
    ];
    let output = fake.ctl(&arguments).await;
    assert_eq!(output.code, ExitCode::NotInForce);
    let key = printed_key(&output);
    assert!(output.stdout.contains("entry-2"), "{output:?}");
    let digest = current(&fake).organisations[0].keys[0].digest.clone();
    assert_eq!(digest, key_digest(&key));
}

/// Guards against key commands that accept an unknown organisation, an unknown key or a used name.
#[tokio::test]
async fn unknown_or_used_names_exit_with_1() {
    let fake = FakeControl::with_document().await;
    fake.ctl(&["keys", "issue", "grove", "night"]).await;
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
        let output = fake.ctl(arguments).await;
        assert_eq!(output.code, ExitCode::Refused, "{output:?}");
        assert!(output.stderr.contains(expected), "{output:?}");
    }
    let output = fake.ctl(&["keys", "issue", "grove", "a/b"]).await;
    assert_eq!(output.code, ExitCode::Invalid);
    assert_eq!(fake.script().state.revision().0, 2);
}
