//! The data folder of one instance.

use std::path::{Path, PathBuf};

use oriolecrank_schema::{codec, peer};
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::{OptionExt, ResultExt, ensure};

use super::file_operations::{DiskFiles, FileOperations, LogFile};
use super::folder_identity::{FolderIdentity, FolderRequest};
use super::frame::{FrameRead, encode_frame, read_frame};
use super::log_replay::replay;
use super::storage_error::{
    CorruptSnafu, EarlierFailureSnafu, FileFailedSnafu, FolderLockedSnafu, ForeignFolderSnafu,
    IdentityMissingSnafu, StorageError,
};
use crate::log_entry::LogEntry;
use crate::membership::Membership;
use crate::node::StoredState;
use crate::numbers::{LogIndex, Term};
use crate::ready::{FoundingTags, HardState, LogRecord};
use crate::snapshot::Snapshot;

/// Data folder of one instance, locked while this value exists.
#[derive(Debug)]
pub struct LogStorage<F: FileOperations = DiskFiles> {
    files: F,
    folder: PathBuf,
    log: F::File,
    /// Records that have not been written yet.
    pending: Vec<peer::StorageRecord>,
    /// Approximate size of `pending`, in bytes.
    pending_bytes: usize,
    /// A write or sync failed; every further one is rejected.
    failed: bool,
    _lock: F::Lock,
}

/// An open data folder and its content.
#[derive(Debug)]
pub struct OpenedFolder<F: FileOperations = DiskFiles> {
    /// Storage for further records.
    pub storage: LogStorage<F>,
    /// Instance and cluster that the folder belongs to.
    pub identity: FolderIdentity,
    /// Durable state read from the folder.
    pub state: StoredState,
}

impl<F: FileOperations> LogStorage<F> {
    /// Opens the data folder of an instance, or creates it.
    ///
    /// A new folder gets a new identity and, for a founding member, a snapshot at index 0 with the
    /// founding membership. An existing folder keeps its identity and must have the same cluster
    /// and name.
    pub fn open(
        files: F,
        folder: &Path,
        request: &FolderRequest,
    ) -> Result<OpenedFolder<F>, StorageError> {
        file_result("create", folder, files.create_folder(folder))?;
        let lock_path = folder.join("lock");
        let lock = file_result("lock", &lock_path, files.lock(&lock_path))?;
        let lock = lock.context(FolderLockedSnafu { path: folder })?;
        let marker = folder.join(REMOVED_FILE);
        if file_result("read", &marker, files.read(&marker))?.is_some() {
            reset_folder(&files, folder, request)?;
        }
        let identity = load_or_create_identity(&files, folder, request)?;
        let state = load_state(&files, folder)?;
        // Rewriting the log removes a torn tail. It also makes durable what was read, which may
        // have been only in the page cache after a failed sync or a killed process.
        let log = rewrite_log(&files, folder, &state)?;
        let storage = Self {
            files,
            folder: folder.to_owned(),
            log,
            pending: Vec::new(),
            pending_bytes: 0,
            failed: false,
            _lock: lock,
        };
        Ok(OpenedFolder {
            storage,
            identity,
            state,
        })
    }

    /// Marks a folder whose instance was removed from its group. The next
    /// [`open`](Self::open) discards the content and gives the folder the identity of a new
    /// instance that waits to be added.
    ///
    /// The removal must be committed: the old identity neither votes nor acknowledges entries any
    /// more.
    pub fn mark_removed(files: &F, folder: &Path) -> Result<(), StorageError> {
        write_file(files, folder, REMOVED_FILE, &RemovalRecord {}, 0)
    }

    /// Buffers records, which the next [`sync`](Self::sync) makes durable.
    pub fn append(&mut self, records: Vec<LogRecord>) {
        self.pending_bytes += records.iter().map(record_bytes).sum::<usize>();
        self.pending.extend(records.into_iter().map(Into::into));
    }

    /// Writes the buffered records and makes them durable. After an error the storage rejects all
    /// further operations.
    pub fn sync(&mut self) -> Result<(), StorageError> {
        ensure!(!self.failed, EarlierFailureSnafu);
        if self.pending.is_empty() {
            return Ok(());
        }
        let records = std::mem::take(&mut self.pending);
        let size = std::mem::take(&mut self.pending_bytes);
        let bytes = encode_frame(&peer::StorageFrame { records }, size);
        let path = self.folder.join(LOG_FILE);
        let result = write_and_sync(&mut self.log, &path, &bytes);
        self.failed = result.is_err();
        result
    }

    /// Replaces the snapshot and the log.
    ///
    /// `entries` are the entries to keep; those up to the snapshot's index are skipped. Buffered
    /// records that are not synced yet are dropped, so the arguments must include them.
    pub fn replace(
        &mut self,
        snapshot: &Snapshot,
        hard_state: &HardState,
        founding: Option<FoundingTags>,
        entries: impl Iterator<Item = LogEntry>,
    ) -> Result<(), StorageError> {
        ensure!(!self.failed, EarlierFailureSnafu);
        self.pending.clear();
        self.pending_bytes = 0;
        let state = StoredState {
            hard_state: hard_state.clone(),
            founding,
            snapshot: None,
            entries: entries
                .filter(|entry| entry.index > snapshot.index)
                .collect(),
        };
        // Stays set if one of the steps below returns an error.
        self.failed = true;
        write_file(
            &self.files,
            &self.folder,
            SNAPSHOT_FILE,
            &peer::SnapshotRecord::from(snapshot),
            snapshot.data.len(),
        )?;
        self.log = rewrite_log(&self.files, &self.folder, &state)?;
        self.failed = false;
        Ok(())
    }
}

const LOG_FILE: &str = "log";
const SNAPSHOT_FILE: &str = "snapshot";
const IDENTITY_FILE: &str = "identity";
/// Exists from the removal of the instance until its folder has a new identity.
const REMOVED_FILE: &str = "removed";

/// Content of [`REMOVED_FILE`], whose existence is all that counts.
#[derive(Serialize)]
struct RemovalRecord {}

/// Gives the folder of a removed instance a new identity and no content. After a crash in between
/// all steps are repeated, because the marker is removed last.
fn reset_folder<F: FileOperations>(
    files: &F,
    folder: &Path,
    request: &FolderRequest,
) -> Result<(), StorageError> {
    let snapshot = folder.join(SNAPSHOT_FILE);
    file_result("remove", &snapshot, files.remove_file(&snapshot))?;
    rewrite_log(files, folder, &StoredState::default())?;
    // Not as a founding member: the group has been founded.
    let request = FolderRequest {
        founders: Vec::new(),
        ..request.clone()
    };
    let identity = peer::FolderIdentity::from(&request.new_identity());
    write_file(files, folder, IDENTITY_FILE, &identity, 0)?;
    let marker = folder.join(REMOVED_FILE);
    file_result("remove", &marker, files.remove_file(&marker))?;
    file_result("sync", folder, files.sync_folder(folder))
}

/// Checks that the folder belongs to the instance; an empty folder gets a new identity.
fn load_or_create_identity<F: FileOperations>(
    files: &F,
    folder: &Path,
    request: &FolderRequest,
) -> Result<FolderIdentity, StorageError> {
    let stored: Option<peer::FolderIdentity> = read_file(files, folder, IDENTITY_FILE)?;
    if let Some(stored) = stored {
        let stored = FolderIdentity::from(stored);
        let matches_request = stored.cluster == request.cluster && stored.name == request.name;
        ensure!(
            matches_request,
            ForeignFolderSnafu {
                path: folder,
                instance: stored.name.as_str(),
                cluster: stored.cluster,
            }
        );
        return Ok(stored);
    }
    let log_path = folder.join(LOG_FILE);
    if let Some(log) = file_result("read", &log_path, files.read(&log_path))? {
        let state = replay(&log_path, &log, None)?;
        let unused = state.entries.is_empty() && state.hard_state == HardState::default();
        ensure!(unused, IdentityMissingSnafu { path: folder });
    }
    // The identity is written last, so a folder with an identity is complete.
    let identity = request.new_identity();
    let founders = request.founding_members(&identity);
    if !founders.is_empty() {
        let snapshot = Snapshot {
            index: LogIndex(0),
            term: Term(0),
            membership: Membership::founding(founders),
            data: Vec::new().into(),
        };
        let record = peer::SnapshotRecord::from(&snapshot);
        write_file(files, folder, SNAPSHOT_FILE, &record, 0)?;
    }
    rewrite_log(files, folder, &StoredState::default())?;
    let record = peer::FolderIdentity::from(&identity);
    write_file(files, folder, IDENTITY_FILE, &record, 0)?;
    Ok(identity)
}

fn load_state<F: FileOperations>(files: &F, folder: &Path) -> Result<StoredState, StorageError> {
    let snapshot: Option<peer::SnapshotRecord> = read_file(files, folder, SNAPSHOT_FILE)?;
    let path = folder.join(LOG_FILE);
    let log = file_result("read", &path, files.read(&path))?;
    let reason = "the file is missing";
    let offset = 0_u64;
    let log = log.context(CorruptSnafu {
        path: &path,
        offset,
        reason,
    })?;
    replay(&path, &log, snapshot.map(Into::into))
}

/// Writes a new log file with exactly the given state and returns it open for appending.
fn rewrite_log<F: FileOperations>(
    files: &F,
    folder: &Path,
    state: &StoredState,
) -> Result<F::File, StorageError> {
    let mut records = vec![LogRecord::HardState(state.hard_state.clone())];
    records.extend(state.founding.clone().map(LogRecord::Founding));
    records.extend(state.entries.iter().cloned().map(LogRecord::Entry));
    let size = records.iter().map(record_bytes).sum();
    let records = records.into_iter().map(Into::into).collect();
    let frame = peer::StorageFrame { records };
    replace_file(files, folder, LOG_FILE, &frame, size)
}

/// Reads a file of one frame. Such files are renamed into place when complete, so an invalid frame
/// is corruption.
fn read_file<F: FileOperations, R: DeserializeOwned>(
    files: &F,
    folder: &Path,
    name: &str,
) -> Result<Option<R>, StorageError> {
    let path = folder.join(name);
    let Some(bytes) = file_result("read", &path, files.read(&path))? else {
        return Ok(None);
    };
    if let FrameRead::Complete { payload, next } = read_frame(&bytes, 0)
        && next == bytes.len()
        && let Ok(record) = codec::decode(payload)
    {
        return Ok(Some(record));
    }
    let reason = "the content fails its checksum or cannot be decoded";
    let offset = 0_u64;
    CorruptSnafu {
        path,
        offset,
        reason,
    }
    .fail()
}

fn write_file<F: FileOperations, R: Serialize>(
    files: &F,
    folder: &Path,
    name: &str,
    record: &R,
    size: usize,
) -> Result<(), StorageError> {
    replace_file(files, folder, name, record, size).map(drop)
}

/// Approximate size of a record in the log file, in bytes.
fn record_bytes(record: &LogRecord) -> usize {
    /// Size of a record without an entry.
    const SMALL_BYTES: usize = 64;
    match record {
        LogRecord::Entry(entry) => SMALL_BYTES + entry.size(),
        LogRecord::HardState(_) | LogRecord::Founding(_) => SMALL_BYTES,
    }
}

/// Writes a file of one frame of about `size` bytes under a temporary name, syncs it and renames it
/// into place.
fn replace_file<F: FileOperations, R: Serialize>(
    files: &F,
    folder: &Path,
    name: &str,
    record: &R,
    size: usize,
) -> Result<F::File, StorageError> {
    let temporary = folder.join(format!("{name}.new"));
    let bytes = encode_frame(record, size);
    let mut file = file_result("create", &temporary, files.create(&temporary))?;
    write_and_sync(&mut file, &temporary, &bytes)?;
    let path = folder.join(name);
    file_result("rename", &temporary, files.rename(&temporary, &path))?;
    file_result("sync", folder, files.sync_folder(folder))?;
    Ok(file)
}

fn write_and_sync<W: LogFile>(file: &mut W, path: &Path, bytes: &[u8]) -> Result<(), StorageError> {
    let mut rest = bytes;
    while !rest.is_empty() {
        let written = file_result("write", path, file.write(rest))?;
        if written == 0 {
            let write_zero = std::io::Error::from(std::io::ErrorKind::WriteZero);
            return Err(write_zero).context(FileFailedSnafu {
                operation: "write",
                path,
            });
        }
        rest = &rest[written..];
    }
    file_result("sync", path, file.sync())
}

fn file_result<T>(
    operation: &'static str,
    path: &Path,
    result: std::io::Result<T>,
) -> Result<T, StorageError> {
    result.context(FileFailedSnafu { operation, path })
}
