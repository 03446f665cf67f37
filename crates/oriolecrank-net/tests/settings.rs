//! Errors about a settings file name the file, the key and the reason.

#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

use oriolecrank_net::settings_file::{self, SettingsError};
use oriolecrank_schema::settings::EntrySettings;

const VALID: &str = r#"
name = "entry-1"
region = "r"
failure_domain = "d"
caller_listen = "127.0.0.1:0"
operator_listen = "127.0.0.1:0"
secret_file = "secret"
control = ["127.0.0.1:1"]
"#;

fn load(text: &str) -> Result<EntrySettings, SettingsError> {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("entry.toml");
    std::fs::write(&path, text).unwrap();
    settings_file::load(&path)
}

/// Guards against typing errors in a settings file that are silently ignored.
#[test]
fn errors_name_the_file_and_the_key() {
    let cases = [
        (
            "unknown field",
            format!("{VALID}\nfreshnes_lease_ms = 1\n"),
            "freshnes_lease_ms",
        ),
        ("wrong type", VALID.replace("\"entry-1\"", "7"), "name"),
        (
            "missing field",
            VALID.replace("region = \"r\"\n", ""),
            "region",
        ),
        ("bad syntax", format!("{VALID}\n= 5"), "TOML parse error"),
        (
            "negative number",
            format!("{VALID}\nshutdown_ms = -1\n"),
            "shutdown_ms",
        ),
    ];
    for (name, text, expected) in cases {
        let message = load(&text).unwrap_err().to_string();
        assert!(message.contains("entry.toml"), "{name}: {message}");
        assert!(message.contains(expected), "{name}: {message}");
    }
    assert!(load(VALID).is_ok());
}

/// Guards against malformed addresses that are detected only when they are first used.
#[test]
fn malformed_addresses_are_rejected() {
    for (text, valid) in [
        ("127.0.0.1:80", true),
        ("[::1]:80", true),
        ("localhost:80", false),
        ("127.0.0.1", false),
        ("", false),
    ] {
        assert_eq!(
            settings_file::parse_address("listen", text).is_ok(),
            valid,
            "{text:?}"
        );
    }
    let error = settings_file::parse_addresses("control", &[]).unwrap_err();
    assert_eq!(error.to_string(), "control: needs at least one address");
}
