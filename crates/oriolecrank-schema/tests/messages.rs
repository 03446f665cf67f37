//! Wire messages and the event catalogue.

use oriolecrank_schema::codec;
use oriolecrank_schema::control::{Command, PingRequest};
use oriolecrank_schema::data_path::{RunEvent, RunFrame, TokenUsage, UpstreamLoad};
use oriolecrank_schema::event::LogEvent;
use oriolecrank_schema::protocol::{ProtocolError, ProtocolVersion};
use proptest::prelude::*;
use serde::Serialize;

/// Guards against a rolling upgrade that fails because an older process refuses a message with a
/// field that it does not know.
#[test]
fn unknown_fields_are_ignored() {
    #[derive(Serialize)]
    struct NewerPing {
        subscriber: &'static str,
        ping: u64,
        revision: u64,
        demand: Vec<u8>,
        added_later: &'static str,
    }
    let newer = NewerPing {
        subscriber: "e",
        ping: 1,
        revision: 2,
        demand: Vec::new(),
        added_later: "x",
    };
    let bytes = codec::encode(&newer);
    let ping: PingRequest = codec::decode(&bytes).unwrap();
    assert_eq!(
        (ping.subscriber.as_str(), ping.ping, ping.revision),
        ("e", 1, 2)
    );
}

/// Guards against a change of the wire format that older processes cannot read.
#[test]
fn frame_encoding_is_stable() {
    let load = UpstreamLoad {
        decode_tokens: 1,
        prefill_tokens: 2,
        queued: 3,
        running: 4,
        tokens_in_flight: 5,
    };
    let usage = TokenUsage {
        output_tokens: 6,
        prompt_tokens: 7,
    };
    let event = RunEvent::End {
        length: 8,
        load,
        usage,
    };
    let frame = RunFrame {
        attempt: 1,
        event,
        request_id: "r".to_owned().into(),
    };
    let bytes = codec::encode(&frame);
    insta::assert_snapshot!(String::from_utf8_lossy(&bytes).escape_debug().to_string());
}

/// Guards against messages with a newer major version that are decoded instead of refused.
#[test]
fn protocol_versions_are_checked() {
    let cases = [
        ("1.0", true),
        ("1.9", true),
        ("0.3", true),
        ("2.0", false),
        ("", false),
        ("1", false),
        ("1.x", false),
        ("-1.0", false),
        ("1.0.0", false),
        ("70000.0", false),
    ];
    for (text, accepted) in cases {
        let result = text.parse().and_then(ProtocolVersion::check);
        assert_eq!(result.is_ok(), accepted, "{text:?}");
    }
    let newer = "2.0".parse().and_then(ProtocolVersion::check);
    assert!(matches!(newer, Err(ProtocolError::NewerMajor { .. })));
}

/// Guards against event numbers that `docs/EVENTS.md` does not explain, and rows for events that no
/// longer exist.
#[test]
fn event_catalogue_matches_the_code() {
    let catalogue = include_str!("../../../docs/EVENTS.md");
    let rows = catalogue
        .lines()
        .filter(|line| line.starts_with("| ") && !line.starts_with("| number"));
    let documented: Vec<&str> = rows.collect();
    let expected: Vec<String> = LogEvent::ALL
        .iter()
        .map(|event| format!("| {} | `{event:?}` | {} |", event.number(), event.meaning()))
        .collect();
    assert_eq!(
        documented, expected,
        "docs/EVENTS.md differs from event.rs; copy the rows on the right into it"
    );
    let mut numbers: Vec<u16> = LogEvent::ALL.iter().map(|event| event.number()).collect();
    numbers.sort_unstable();
    numbers.dedup();
    assert_eq!(numbers.len(), LogEvent::ALL.len());
}

proptest! {
    /// Guards against a panic or unbounded memory use on bytes that are not a message.
    #[test]
    fn arbitrary_bytes_never_panic(bytes in proptest::collection::vec(any::<u8>(), 0..256)) {
        let _ = codec::decode::<RunFrame>(&bytes);
        let _ = codec::decode::<Command>(&bytes);
    }

    /// Guards against pings that differ after encoding and decoding.
    #[test]
    fn pings_are_unchanged_by_the_codec(subscriber in ".{0,20}", ping: u64, revision: u64) {
        let message = PingRequest { demand: Vec::new(), ping, revision, subscriber };
        let decoded: PingRequest = codec::decode(&codec::encode(&message)).unwrap();
        prop_assert_eq!(decoded, message);
    }
}
