//! Contract and differential tests of the answer buffer.

mod common;

use std::time::Duration;

use bytes::Bytes;
use oriolecrank_policy::answer_buffer::{
    AnswerBuffer, AnswerEnd, BufferFault, BufferRead, BufferSettings,
};
use oriolecrank_schema::TimePoint;
use oriolecrank_schema::data_path::TokenUsage;
use proptest::prelude::*;

const START: TimePoint = TimePoint::from_millis(1_000);
const CAPACITY: usize = 32;

fn usage() -> TokenUsage {
    TokenUsage {
        prompt_tokens: 1,
        output_tokens: 2,
    }
}

fn buffer() -> AnswerBuffer {
    AnswerBuffer::new(BufferSettings {
        capacity_bytes: CAPACITY,
        ..BufferSettings::default()
    })
}

/// Guards against unbounded memory when an entry stops acknowledging.
#[test]
fn a_full_buffer_accepts_no_bytes() {
    let mut buffer = buffer();
    let mut bytes = Bytes::from(vec![7; 40]);
    assert_eq!(buffer.push(&mut bytes), CAPACITY);
    assert_eq!((buffer.free_capacity(), bytes.len()), (0, 8));
    assert_eq!(buffer.push(&mut bytes), 0);
    assert_eq!(buffer.acknowledge(5, false), Ok(5));
    assert_eq!(buffer.push(&mut bytes), 5);
}

/// Guards against a small chunk that keeps in memory the whole read buffer of which it is a slice:
/// 1,000 events of 80 bytes kept 8 MB.
#[test]
fn a_small_chunk_does_not_keep_a_large_buffer() {
    let mut buffer = buffer();
    let read = Bytes::from(vec![7; 8_192]);
    let mut bytes = read.slice(..10);
    assert_eq!(buffer.push(&mut bytes), 10);
    drop(bytes);
    assert!(read.is_unique());
    assert_eq!(buffer.read(0), Ok(BufferRead::Bytes(read.slice(..10))));
}

/// Guards against answers with a gap or a premature end after a message with a wrong offset.
#[test]
fn wrong_offsets_are_refused() {
    let mut buffer = buffer();
    buffer.push(&mut Bytes::from_static(b"abcdef"));
    buffer.acknowledge(2, false).unwrap();
    assert_eq!(
        buffer.read(1),
        Err(BufferFault::Freed {
            offset: 1,
            start: 2
        })
    );
    assert_eq!(
        buffer.read(7),
        Err(BufferFault::BeyondEnd { offset: 7, end: 6 })
    );
    assert_eq!(
        buffer.acknowledge(7, false),
        Err(BufferFault::BeyondEnd { offset: 7, end: 6 })
    );
    assert_eq!(
        buffer.acknowledge(6, true),
        Err(BufferFault::NotComplete { offset: 6 })
    );
    assert_eq!(buffer.acknowledge(1, false), Ok(0));
    buffer.finish(usage(), START);
    assert_eq!(
        buffer.acknowledge(5, true),
        Err(BufferFault::NotComplete { offset: 5 })
    );
    assert!(!buffer.is_complete());
    assert_eq!(buffer.acknowledge(6, true), Ok(4));
    assert!(buffer.is_complete());
}

/// Guards against bytes after the end of the answer, which would make its stated length wrong.
#[test]
fn a_finished_answer_accepts_no_bytes() {
    let mut buffer = buffer();
    buffer.push(&mut Bytes::from_static(b"ab"));
    buffer.finish(usage(), START);
    assert_eq!(buffer.push(&mut Bytes::from_static(b"c")), 0);
    let end = AnswerEnd {
        length: 2,
        usage: usage(),
    };
    assert_eq!(buffer.read(2), Ok(BufferRead::End(end)));
}

/// Guards against usage that is lost or counted twice if the entry crashes near the end of an
/// answer.
#[test]
fn usage_is_overdue_only_without_acknowledgement() {
    let usage_timeout = Duration::from_secs(30);
    let mut buffer = buffer();
    assert_eq!(buffer.overdue_usage(START + usage_timeout), None);
    buffer.finish(usage(), START);
    buffer.finish(usage(), START + usage_timeout);
    assert_eq!(
        buffer.overdue_usage(START + Duration::from_millis(29_999)),
        None
    );
    assert_eq!(buffer.overdue_usage(START + usage_timeout), Some(&usage()));
    buffer.acknowledge(0, true).unwrap();
    assert_eq!(buffer.overdue_usage(START + usage_timeout), None);
}

/// Reference implementation, which keeps the whole answer in one vector.
#[derive(Default)]
struct NaiveBuffer {
    all: Vec<u8>,
    start: usize,
    finished: bool,
}

#[derive(Debug, Clone)]
enum Step {
    Push(Vec<u8>),
    Acknowledge(usize),
    Read(usize),
    Finish,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => prop::collection::vec(any::<u8>(), 0..20).prop_map(Step::Push),
        3 => (0usize..140).prop_map(Step::Acknowledge),
        4 => (0usize..140).prop_map(Step::Read),
        1 => Just(Step::Finish),
    ]
}

proptest! {
    #![proptest_config(common::fixed_seed(256))]

    /// Guards against wrong, lost or repeated bytes and wrong accounting under any interleaving of
    /// writes, acknowledgements and resumed reads.
    #[test]
    fn buffer_equals_naive_vector(steps in prop::collection::vec(step(), 1..120)) {
        let mut buffer = buffer();
        let mut naive = NaiveBuffer::default();
        for step in steps {
            match step {
                Step::Push(bytes) => {
                    let free = CAPACITY - (naive.all.len() - naive.start);
                    let pushed = if naive.finished { 0 } else { free.min(bytes.len()) };
                    naive.all.extend_from_slice(&bytes[..pushed]);
                    let mut rest = Bytes::from(bytes.clone());
                    prop_assert_eq!(buffer.push(&mut rest), pushed);
                    prop_assert_eq!(&rest[..], &bytes[pushed..]);
                }
                Step::Acknowledge(offset) => {
                    let freed = buffer.acknowledge(offset as u64, false);
                    if offset > naive.all.len() {
                        prop_assert!(freed.is_err());
                    } else {
                        prop_assert_eq!(freed, Ok(offset.saturating_sub(naive.start)));
                        naive.start = naive.start.max(offset);
                    }
                }
                Step::Read(offset) => match buffer.read(offset as u64) {
                    Err(_) => prop_assert!(offset < naive.start || offset > naive.all.len()),
                    Ok(BufferRead::Bytes(bytes)) => {
                        prop_assert!(!bytes.is_empty());
                        prop_assert_eq!(&bytes[..], &naive.all[offset..offset + bytes.len()]);
                    }
                    Ok(BufferRead::Pending) => {
                        prop_assert!(offset == naive.all.len() && !naive.finished);
                    }
                    Ok(BufferRead::End(end)) => {
                        prop_assert!(offset == naive.all.len() && naive.finished);
                        prop_assert_eq!(end.length, offset as u64);
                    }
                },
                Step::Finish => {
                    naive.finished = true;
                    buffer.finish(usage(), START);
                }
            }
            prop_assert_eq!(buffer.len(), naive.all.len() - naive.start);
            prop_assert!(buffer.len() <= CAPACITY);
        }
    }
}
