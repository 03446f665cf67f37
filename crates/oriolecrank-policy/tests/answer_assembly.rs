//! Contract tests of answer assembly.

mod common;

use std::time::Duration;

use oriolecrank_policy::answer_assembly::{
    AnswerAssembly, AnswerStep, AssemblyFault, AssemblySettings, ResumePoint,
};
use oriolecrank_schema::TimePoint;
use oriolecrank_schema::data_path::{HeaderField, RunEvent, RunFrame, RunVerdict, TokenUsage};
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
    RunEvent::End { length, usage }
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

/// Feeds events and returns the body and the first fault.
fn feed(
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

/// Guards against truncated, crossed, repeated and reordered answers that reach the caller.
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
            vec![(failed(RunVerdict::NotRun), b""), (RunEvent::Accepted, b"")],
            b"",
            F::OutOfOrder,
        ),
    ];
    for (events, body, fault) in cases {
        let mut assembly = assembly();
        let found = feed(&mut assembly, &events);
        assert_eq!(found, (body.to_vec(), Some(fault)), "{events:?}");
        let wrong_end = matches!(events.last(), Some((RunEvent::End { .. }, _)));
        assert!(!wrong_end || !assembly.is_complete(), "{events:?}");
    }
}

/// Guards against frames of another request or attempt on a reused or crossed connection.
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

/// Guards against repeated bytes after a resume at an offset that the agent rounds down.
#[test]
fn repeated_frames_after_a_resume_are_dropped() {
    let mut assembly = assembly();
    let first = [
        (RunEvent::Accepted, &b""[..]),
        (head(200), b""),
        (chunk(0), b"abcd"),
    ];
    assert_eq!(feed(&mut assembly, &first), (b"abcd".to_vec(), None));
    let point = assembly.resume(START);
    assert_eq!(
        point,
        Some(ResumePoint {
            attempt: 2,
            offset: 4
        })
    );
    let second = [
        (RunEvent::Accepted, &b""[..]),
        (head(200), b""),
        (chunk(0), b"ab"),
        (chunk(2), b"cdef"),
        (chunk(6), b""),
        (end(6), b""),
    ];
    assert_eq!(feed(&mut assembly, &second), (b"ef".to_vec(), None));
    assert!(assembly.is_complete());
    assert_eq!(assembly.resume(START), None);
}

/// Guards against "not run" about a request that may have run.
#[test]
fn verdicts_are_true() {
    use RunVerdict::{MayHaveRun, NotRun};
    let unsent = AnswerAssembly::new(AssemblySettings::default(), "r-1", 2, START);
    assert_eq!(unsent.verdict(), NotRun);
    let cases: [(Vec<RunEvent>, RunVerdict); 6] = [
        (vec![], MayHaveRun),
        (vec![RunEvent::Accepted], MayHaveRun),
        (vec![failed(NotRun)], NotRun),
        (vec![RunEvent::Accepted, failed(NotRun)], NotRun),
        (vec![RunEvent::Accepted, failed(MayHaveRun)], MayHaveRun),
        (
            vec![RunEvent::Accepted, head(200), failed(NotRun)],
            MayHaveRun,
        ),
    ];
    for (events, expected) in cases {
        let mut assembly = assembly();
        let events: Vec<_> = events.into_iter().map(|event| (event, &b""[..])).collect();
        assert_eq!(feed(&mut assembly, &events).1, None);
        assert_eq!(assembly.verdict(), expected, "{events:?}");
    }
}

/// Guards against connections that stay open but go silent, and against endless resumptions.
#[test]
fn silence_is_found_and_resumptions_are_bounded() {
    let mut assembly = assembly();
    let late = START + Duration::from_millis(999);
    assert_eq!(assembly.check_silence(late), Ok(()));
    assembly
        .receive(&frame(RunEvent::Heartbeat), b"", late)
        .unwrap();
    let later = late + Duration::from_millis(999);
    assert_eq!(assembly.check_silence(later), Ok(()));
    let silent = late + Duration::from_secs(1);
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

    /// Guards against lost or repeated bytes under any sequence of cut connections: the body equals
    /// the naive concatenation, however the agent cuts and repeats it.
    #[test]
    fn body_is_exact_under_resumptions(
        body in prop::collection::vec(any::<u8>(), 1..200),
        cuts in prop::collection::vec((1usize..40, 0usize..20, any::<bool>()), 1..60),
    ) {
        let mut assembly = assembly();
        let mut received = Vec::new();
        assembly.receive(&frame(head(200)), b"", START).unwrap();
        for (len, back, resume) in cuts {
            if resume && let Some(point) = assembly.resume(START) {
                    prop_assert_eq!(point.offset, received.len() as u64);
            }
            let from = received.len().saturating_sub(back);
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
