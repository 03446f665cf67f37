//! Arguments, files and exit codes without a reachable control group.

use oriolecrank_ctl::{CtlEnvironment, ExitCode, run};

use crate::fake_control::{DOCUMENT, FakeControl, parser};

/// Guards against wrong arguments that are sent to the control group or ignored.
#[tokio::test]
async fn unusable_arguments_exit_with_2() {
    let cases: &[(&[&str], &str)] = &[
        (&[], "a command is missing"),
        (&["frobnicate"], "is not a command"),
        (&["submit"], "is not a command"),
        (&["show", "--what"], "--what"),
        (&["show", "--wait"], "--wait does not apply to show"),
        (
            &["validate", "x.toml", "--base", "3"],
            "--base does not apply to validate",
        ),
        (
            &["submit", "x.toml", "--request-id", "r"],
            "needs the --base",
        ),
        (&["audit", "--limit", "many"], "many"),
        (&["show", "--format", "yaml"], "not a document format"),
        (&["status", "--control", "localhost"], "IP:port"),
        (&["status"], "no control instance is given"),
        (
            &["status", "--control", "127.0.0.1:1"],
            "no secret file is given",
        ),
        (
            &[
                "status",
                "--control",
                "127.0.0.1:1",
                "--secret-file",
                "absent",
            ],
            "cannot read the secret file",
        ),
    ];
    for (arguments, expected) in cases {
        let output = run(parser(arguments), &CtlEnvironment::default()).await;
        assert_eq!(output.code, ExitCode::Usage, "{arguments:?}: {output:?}");
        assert!(
            output.stderr.contains(expected),
            "{arguments:?}: {output:?}"
        );
        assert!(output.stdout.is_empty());
    }
}

/// Guards against an invalid document that is accepted, and a list of errors that is incomplete.
#[tokio::test]
async fn validate_lists_every_error() {
    let fake = FakeControl::start().await;
    let valid = fake.file("valid.toml", DOCUMENT);
    let output = fake.ctl(&["validate", &valid]).await;
    assert_eq!(output.code, ExitCode::Success);
    assert_eq!(output.stdout, "valid: 2 organisations, 1 services\n");

    let text = DOCUMENT.replace("60", "0").replace("press", "grove");
    let invalid = fake.file("invalid.toml", &text);
    let output = fake.ctl(&["validate", &invalid]).await;
    assert_eq!(output.code, ExitCode::Invalid);
    assert!(output.stderr.contains("usage_window_s: "), "{output:?}");
    assert!(
        output.stderr.contains("organisations[1].name: "),
        "{output:?}"
    );
    let json = fake.ctl_json(&["validate", &invalid]).await;
    assert_eq!(json["exit_code"], 3);
    assert_eq!(json["fields"].as_array().map(Vec::len), Some(2));

    let broken = fake.file("broken.json", "{");
    assert_eq!(
        fake.ctl(&["validate", &broken]).await.code,
        ExitCode::Invalid
    );
    let absent = fake.ctl(&["validate", "absent.toml"]).await;
    assert_eq!(absent.code, ExitCode::Usage);
}

/// Guards against a help text that does not name a command or an exit code.
#[tokio::test]
async fn help_names_commands_and_exit_codes() {
    let output = run(parser(&["--help"]), &CtlEnvironment::default()).await;
    assert_eq!(output.code, ExitCode::Success);
    let commands = [
        "validate",
        "submit",
        "show",
        "keys issue",
        "keys withdraw",
        "drain",
    ];
    let others = [
        "undrain",
        "members",
        "upstreams",
        "status",
        "audit",
        "\n  7  ",
    ];
    for word in commands.iter().chain(&others) {
        assert!(output.stdout.contains(word), "{word}");
    }
}

/// Guards against an unreachable control group that is not reported as such, or that makes the tool
/// wait for ever.
#[tokio::test]
async fn absent_control_group_exits_with_5() {
    let fake = FakeControl::start().await;
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let closed = listener
        .local_addr()
        .expect("the listener has an address")
        .to_string();
    drop(listener);
    for command in [&["status"][..], &["drain", "desk-1"][..]] {
        let options = ["--control", &closed, "--timeout-ms", "200"];
        let arguments: Vec<&str> = command.iter().chain(&options).copied().collect();
        let output = fake.ctl(&arguments).await;
        assert_eq!(output.code, ExitCode::Unavailable, "{output:?}");
    }
}
