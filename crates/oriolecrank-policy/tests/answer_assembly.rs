//! Contract tests of answer assembly.

mod common;

use std::time::Duration;

use oriolecrank_policy::answer_assembly::{
    AnswerAssembly, AnswerStep, AssemblyFault, AssemblySettings, ResumePoint,
};
use oriolecrank_schema::TimePoint;
use oriolecrank_schema::data_path::{
    HeaderField, RunEvent, RunFrame, RunVerdict, TokenUsage, UpstreamLoad,
};
use proptest::prelude::*;

const START: TimePoint = TimePoint::from_millis(10_000);

fn assembly() -> AnswerAssembly {
    let mut assembly = AnswerAssembly::new(AssemblySettings::default(), "r-1", 2, START);
    assembly.mark_sent(START);
    assembly
}

fn frame(event: RunEvent) -> RunFrame {
    RunFrame {
        request_id: "r-1".to_owned().into(),
        attempt: 2,
        event,
    }
}

fn head(status: u16) -> RunEvent {
    let headers = vec![HeaderField {
        name: "a".to_owned(),
        value: "b".to_owned(),
    }];
    RunEvent::Head { status, headers }
}

fn chunk(offset: u64) -> RunEvent {
    RunEvent::Chunk { offset }
}

fn usage() -> TokenUsage {
    TokenUsage {
        prompt_tokens: 3,
        output_tokens: 4,
    }
}

fn end(length: u64) -> RunEvent {
    let usage = usage();
    let load = load();
    RunEvent::End {
        length,
        load,
        usage,
    }
}

fn load() -> UpstreamLoad {
    UpstreamLoad {
        decode_tokens: 0,
        prefill_tokens: 0,
        queued: 0,
        running: 1,
        tokens_in_flight: 7,
    }
}

fn accepted() -> RunEvent {
    RunEvent::Accepted { load: load() }
}

fn failed(verdict: RunVerdict) -> RunEvent {
    RunEvent::Failed {
        code: "draining".to_owned(),
        message: "The upstream leaves.".to_owned(),
        output_tokens: 0,
        retry_after_ms: Some(40),
        verdict,
    }
}

/// Passes the events to `assembly` and returns the body up to the first fault, and that fault.
fn receive_all(
    assembly: &mut AnswerAssembly,
    events: &[(RunEvent, &[u8])],
) -> (Vec<u8>, Option<AssemblyFault>) {
    let mut body = Vec::new();
    for (event, payload) in events {
        match assembly.receive(&frame(event.clone()), payload, START) {
            Ok(AnswerStep::Bytes(bytes)) => body.extend_from_slice(bytes),
            Ok(_) => {}
            Err(fault) => return (body, Some(fault)),
        }
    }
    (body, None)
}

/// Guards against faulty streams that reach the caller as a truncated, repeated or reordered
/// answer.
#[test]
fn faulty_streams_are_refused() {
    use AssemblyFault as F;
    type Case = (Vec<(RunEvent, &'static [u8])>, &'static [u8], AssemblyFault);
    let cases: Vec<Case> = vec![
        (vec![(chunk(0), b"a")], b"", F::OutOfOrder),
        (vec![(end(0), b"")], b"", F::OutOfOrder),
        (vec![(RunEvent::Heartbeat, b"x")], b"", F::OutOfOrder),
        (vec![(head(200), b"x")], b"", F::OutOfOrder),
        (
            vec![(head(200), b""), (head(500), b"")],
            b"",
            F::HeadChanged,
        ),
        (
            vec![(head(200), b""), (chunk(0), b"ab"), (chunk(3), b"d")],
            b"ab",
            F::Gap {
                expected: 2,
                received: 3,
            },
        ),
        (
            vec![(head(200), b""), (chunk(u64::MAX), b"ab")],
            b"",
            F::Gap {
                expected: 0,
                received: u64::MAX,
            },
        ),
        (
            vec![(head(200), b""), (chunk(0), b"ab"), (end(5), b"")],
            b"ab",
            F::Gap {
                expected: 2,
                received: 5,
            },
        ),
        (
            vec![(head(200), b""), (chunk(0), b"ab"), (end(1), b"")],
            b"ab",
            F::TooLong {
                stated: 1,
                received: 2,
            },
        ),
        (
            vec![(head(200), b""), (end(0), b""), (chunk(0), b"a")],
            b"",
            F::OutOfOrder,
        ),
        (
            vec![(failed(RunVerdict::NotRun), b""), (accepted(), b"")],
            b"",
            F::OutOfOrder,
        ),
    ];
    for (events, body, fault) in cases {
        let mut assembly = assembly();
        let found = receive_all(&mut assembly, &events);
        assert_eq!(found, (body.to_vec(), Some(fault)), "{events:?}");
        let ends_wrongly = matches!(events.last(), Some((RunEvent::End { .. }, _)));
        assert!(!ends_wrongly || !assembly.is_complete(), "{events:?}");
    }
}

/// Guards against forwarding frames of another request or attempt, which can arrive on a reused
/// connection or after a mix-up of connections.
#[test]
fn frames_of_other_requests_are_refused() {
    for (request_id, attempt) in [("r-2", 2), ("r-1", 1), ("r-1", 3), ("", 2)] {
        let mut assembly = assembly();
        let other = RunFrame {
            request_id: request_id.to_owned().into(),
            attempt,
            event: head(200),
        };
        let found = assembly.receive(&other, b"", START);
        assert_eq!(found, Err(AssemblyFault::WrongRequest));
        assert_eq!(assembly.head(), None);
    }
}

/// Guards against repeated bytes if the agent resumes at a lower offset than the requested one.
#[test]
fn repeated_frames_after_a_resume_are_dropped() {
    let mut assembly = assembly();
    let first = [
        (accepted(), &b""[..]),
        (head(200), b""),
        (chunk(0), b"abcd"),
    ];
    assert_eq!(receive_all(&mut assembly, &first), (b"abcd".to_vec(), None));
    let point = assembly.resume(START);
    assert_eq!(
        point,
        Some(ResumePoint {
            attempt: 2,
            offset: 4
        })
    );
    let second = [
        (accepted(), &b""[..]),
        (head(200), b""),
        (chunk(0), b"ab"),
        (chunk(2), b"cdef"),
        (chunk(6), b""),
        (end(6), b""),
    ];
    assert_eq!(receive_all(&mut assembly, &second), (b"ef".to_vec(), None));
    assert!(assembly.is_complete());
    assert_eq!(assembly.resume(START), None);
}

/// Guards against a `NotRun` verdict for a request that may have run.
#[test]
fn verdicts_are_true() {
    use RunVerdict::{MayHaveRun, NotRun};
    let unsent = AnswerAssembly::new(AssemblySettings::default(), "r-1", 2, START);
    assert_eq!(unsent.verdict(), NotRun);
    let cases: [(Vec<RunEvent>, RunVerdict); 6] = [
        (vec![], MayHaveRun),
        (vec![accepted()], MayHaveRun),
        (vec![failed(NotRun)], NotRun),
        (vec![accepted(), failed(NotRun)], NotRun),
        (vec![accepted(), failed(MayHaveRun)], MayHaveRun),
        (vec![accepted(), head(200), failed(NotRun)], MayHaveRun),
    ];
    for (events, expected) in cases {
        let mut assembly = assembly();
        let events: Vec<_> = events.into_iter().map(|event| (event, &b""[..])).collect();
        assert_eq!(receive_all(&mut assembly, &events).1, None);
        assert_eq!(assembly.verdict(), expected, "{events:?}");
    }
}

/// Guards against waiting on an open connection that delivers nothing, and against endless
/// resumptions.
#[test]
fn silence_is_detected_and_resumptions_are_limited() {
    let mut assembly = assembly();
    let first_heartbeat = START + Duration::from_millis(999);
    assert_eq!(assembly.check_silence(first_heartbeat), Ok(()));
    assembly
        .receive(&frame(RunEvent::Heartbeat), b"", first_heartbeat)
        .unwrap();
    let later = first_heartbeat + Duration::from_millis(999);
    assert_eq!(assembly.check_silence(later), Ok(()));
    let silent = first_heartbeat + Duration::from_secs(1);
    assert_eq!(assembly.check_silence(silent), Err(AssemblyFault::Silent));
    assert!(AssemblyFault::Silent.may_resume());
    for _ in 0..3 {
        assert!(assembly.resume(silent).is_some());
    }
    assert_eq!(assembly.resume(silent), None);
    assert_eq!(assembly.verdict(), RunVerdict::MayHaveRun);
    assembly
        .receive(&frame(RunEvent::Heartbeat), b"", silent)
        .unwrap();
    assert!(assembly.resume(silent).is_some());
}

proptest! {
    #![proptest_config(common::fixed_seed(256))]

    /// Guards against lost or repeated bytes under any sequence of resumptions: the received body
    /// is always a prefix of the sent one, whatever chunks the agent sends or repeats.
    #[test]
    fn body_is_exact_under_resumptions(
        body in prop::collection::vec(any::<u8>(), 1..200),
        chunks in prop::collection::vec((1usize..40, 0usize..20, any::<bool>()), 1..60),
    ) {
        let mut assembly = assembly();
        let mut received = Vec::new();
        assembly.receive(&frame(head(200)), b"", START).unwrap();
        for (len, repeated, resume) in chunks {
            if resume && let Some(point) = assembly.resume(START) {
                    prop_assert_eq!(point.offset, received.len() as u64);
            }
            let from = received.len().saturating_sub(repeated);
            let to = (from + len).min(body.len());
            let step = assembly.receive(&frame(chunk(from as u64)), &body[from..to], START).unwrap();
            if let AnswerStep::Bytes(bytes) = step {
                received.extend_from_slice(bytes);
            }
            prop_assert_eq!(&received[..], &body[..received.len()]);
        }
        let ended = assembly.receive(&frame(end(body.len() as u64)), b"", START).is_ok();
        prop_assert_eq!(ended, received.len() == body.len());
    }
}
