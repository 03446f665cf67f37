//! Replay of a log file.

use std::path::Path;

use oriolecrank_schema::{codec, peer};
use snafu::ensure;

use super::frame::{FrameRead, has_later_frame, read_frame};
use super::storage_error::{CorruptSnafu, StorageError};
use crate::log_entry::LogEntry;
use crate::node::StoredState;
use crate::numbers::LogIndex;
use crate::ready::LogRecord;
use crate::snapshot::Snapshot;

/// Rebuilds the durable state from the snapshot and the log file. A torn last frame is ignored.
///
/// The first frame is written before the file is renamed into place, so it cannot be torn. If it is
/// invalid all the same and no valid frame follows it, the log is read as empty.
pub(super) fn replay(
    path: &Path,
    file: &[u8],
    snapshot: Option<Snapshot>,
) -> Result<StoredState, StorageError> {
    let mut state = StoredState::default();
    let mut offset = 0;
    loop {
        match read_frame(file, offset) {
            FrameRead::End if offset > 0 => break,
            FrameRead::Complete { payload, next } => {
                replay_frame(path, offset, payload, &mut state)?;
                offset = next;
            }
            FrameRead::End | FrameRead::Invalid => {
                let is_corrupt = has_later_frame(file, offset);
                let offset = offset as u64;
                let reason = "the frame is invalid, but a valid frame follows it";
                ensure!(
                    !is_corrupt,
                    CorruptSnafu {
                        path,
                        offset,
                        reason
                    }
                );
                break;
            }
        }
    }
    trim_to_snapshot(path, &mut state, snapshot)?;
    Ok(state)
}

fn replay_frame(
    path: &Path,
    offset: usize,
    payload: &[u8],
    state: &mut StoredState,
) -> Result<(), StorageError> {
    let offset = offset as u64;
    let Ok(frame) = codec::decode::<peer::StorageFrame>(payload) else {
        let reason = "the records cannot be decoded";
        return CorruptSnafu {
            path,
            offset,
            reason,
        }
        .fail();
    };
    for record in frame.records {
        match record.into() {
            LogRecord::HardState(hard_state) => state.hard_state = hard_state,
            LogRecord::Founding(tags) => state.founding = Some(tags),
            LogRecord::Entry(entry) => {
                let reason = "an entry does not continue the entries before it";
                ensure!(
                    replace_entry(&mut state.entries, entry),
                    CorruptSnafu {
                        path,
                        offset,
                        reason
                    }
                );
            }
        }
    }
    Ok(())
}

/// Inserts an entry at its index and drops the entries after it; returns false if entries before it
/// are missing.
fn replace_entry(entries: &mut Vec<LogEntry>, entry: LogEntry) -> bool {
    let Some(first) = entries.first().map(|first| first.index) else {
        entries.push(entry);
        return true;
    };
    let Some(position) = entry.index.0.checked_sub(first.0) else {
        return false;
    };
    if position > entries.len() as u64 {
        return false;
    }
    entries.truncate(position as usize);
    entries.push(entry);
    true
}

/// Drops the entries that the snapshot contains, or all entries if they do not continue it.
///
/// The snapshot file is renamed into place before the log is rewritten, so after a crash in between
/// the log may still hold entries that the snapshot has replaced.
fn trim_to_snapshot(
    path: &Path,
    state: &mut StoredState,
    snapshot: Option<Snapshot>,
) -> Result<(), StorageError> {
    let (index, term) = snapshot
        .as_ref()
        .map_or_else(Default::default, |snapshot| (snapshot.index, snapshot.term));
    let first = state
        .entries
        .first()
        .map_or(index.next(), |entry| entry.index);
    let reason = "entries between the snapshot and the start of the log are missing";
    let offset = 0_u64;
    ensure!(
        first <= index.next(),
        CorruptSnafu {
            path,
            offset,
            reason
        }
    );
    let conflicts = state
        .entries
        .iter()
        .find(|entry| entry.index == index)
        .is_some_and(|entry| entry.term != term);
    let reaches_snapshot = state
        .entries
        .last()
        .is_some_and(|entry| entry.index >= index);
    if conflicts || !reaches_snapshot {
        state.entries.clear();
    }
    state.entries.retain(|entry| entry.index > index);
    debug_assert!(
        state
            .entries
            .first()
            .is_none_or(|entry| entry.index == LogIndex(index.0 + 1))
    );
    state.snapshot = snapshot;
    Ok(())
}
