//! Splitting of answers that are no event streams.

use std::time::{Duration, Instant};

use oriolecrank_gateway::NumberedEventSplitter;

/// Size of the pieces in which the bytes arrive.
const PIECE_BYTES: usize = 16;

/// Most bytes without the end of an event that may be accepted.
const MAX_ACCEPTED_BYTES: usize = 2 * 1024 * 1024;

/// Far above the time that one pass over the bytes takes, and far below that of one pass for each
/// piece.
const TIME_LIMIT: Duration = Duration::from_secs(10);

/// Guards against an upstream that sends bytes without end and without an event, and occupies the
/// processor of an entry because each piece leads to a search through all bytes before it.
#[test]
fn bytes_without_an_event_are_searched_once_and_refused_at_the_limit() {
    let mut splitter = NumberedEventSplitter::default();
    let started = Instant::now();
    let mut accepted = 0;
    while splitter.push(&[b'x'; PIECE_BYTES]).is_ok() {
        accepted += PIECE_BYTES;
        assert!(accepted <= MAX_ACCEPTED_BYTES);
        assert!(
            started.elapsed() < TIME_LIMIT,
            "{accepted} bytes in {TIME_LIMIT:?}"
        );
    }
}

/// Guards against an event whose end is split between two pieces and is not found.
#[test]
fn an_end_that_is_split_between_pieces_is_found() {
    for end in ["\n\n", "\r\n\r\n"] {
        for split in 0..=end.len() {
            let mut splitter = NumberedEventSplitter::default();
            let (first, second) = end.split_at(split);
            let before = splitter.push(format!("id: 7\ndata: x{first}").as_bytes());
            let before = before.expect("a short event");
            let after = splitter.push(second.as_bytes()).expect("a short event");
            let batch = before.or(after).expect("a complete event");
            assert_eq!(batch.last_number, Some(7), "{end:?} split at {split}");
            assert!(splitter.is_empty());
        }
    }
}
