//! The data folder of one instance.

use std::path::{Path, PathBuf};

use oriolecrank_schema::{codec, peer};
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::{OptionExt, ResultExt, ensure};

use super::file_operations::{DiskFiles, FileOperations, LogFile};
use super::folder_identity::{FolderIdentity, FolderRequest};
use super::frame::{FrameRead, read_frame, write_frame};
use super::log_replay::replay;
use super::storage_error::{
    DamagedSnafu, FailedBeforeSnafu, FileFailedSnafu, FolderLockedSnafu, ForeignFolderSnafu,
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
    /// Encoded records that are not written yet.
    pending: Vec<peer::StorageRecord>,
    /// An operation failed; nothing may be written any more.
    failed: bool,
    _lock: F::Lock,
}

/// A data folder and what it contains.
#[derive(Debug)]
pub struct OpenedFolder<F: FileOperations = DiskFiles> {
    /// The storage.
    pub storage: LogStorage<F>,
    /// Owner of the folder.
    pub identity: FolderIdentity,
    /// Durable state.
    pub state: StoredState,
}

impl<F: FileOperations> LogStorage<F> {
    /// Opens the folder of an instance, or creates it.
    ///
    /// A new folder gets a new identity and, for a founder, a snapshot with the founding membership at
    /// index 0. An existing folder must have the same cluster and name and keeps its identity.
    pub fn open(
        files: F,
        folder: &Path,
        request: &FolderRequest,
    ) -> Result<OpenedFolder<F>, StorageError> {
        attempt("create", folder, files.create_folder(folder))?;
        let lock_path = folder.join("lock");
        let lock = attempt("lock", &lock_path, files.lock(&lock_path))?;
        let lock = lock.context(FolderLockedSnafu { path: folder })?;
        let identity = claim_folder(&files, folder, request)?;
        let state = load(&files, folder)?;
        // Rewriting the log cuts a torn tail and makes durable what was read, which may have been in
        // memory only after a failed sync or a killed process.
        let log = rewrite_log(&files, folder, &state)?;
        let storage = Self {
            files,
            folder: folder.to_owned(),
            log,
            pending: Vec::new(),
            failed: false,
            _lock: lock,
        };
        Ok(OpenedFolder {
            storage,
            identity,
            state,
        })
    }

    /// Adds records, which become durable by the next [`sync`](Self::sync).
    pub fn append(&mut self, records: Vec<LogRecord>) {
        self.pending.extend(records.into_iter().map(Into::into));
    }

    /// Writes the added records and makes them durable.
    pub fn sync(&mut self) -> Result<(), StorageError> {
        ensure!(!self.failed, FailedBeforeSnafu);
        if self.pending.is_empty() {
            return Ok(());
        }
        let records = std::mem::take(&mut self.pending);
        let mut bytes = Vec::new();
        write_frame(&mut bytes, &codec::encode(&peer::StorageFrame { records }));
        let path = self.folder.join(LOG_FILE);
        let result = write_synced(&mut self.log, &path, &bytes);
        self.failed = result.is_err();
        result
    }

    /// Replaces snapshot and log.
    ///
    /// `entries` are all entries to keep; those up to the snapshot's index are left out. Records that
    /// were added and not synced yet are dropped, so they must be part of the arguments.
    pub fn replace(
        &mut self,
        snapshot: &Snapshot,
        hard_state: &HardState,
        founding: Option<FoundingTags>,
        entries: impl Iterator<Item = LogEntry>,
    ) -> Result<(), StorageError> {
        ensure!(!self.failed, FailedBeforeSnafu);
        self.pending.clear();
        let state = StoredState {
            hard_state: hard_state.clone(),
            founding,
            snapshot: None,
            entries: entries
                .filter(|entry| entry.index > snapshot.index)
                .collect(),
        };
        self.failed = true;
        write_file(
            &self.files,
            &self.folder,
            SNAPSHOT_FILE,
            &peer::SnapshotRecord::from(snapshot),
        )?;
        self.log = rewrite_log(&self.files, &self.folder, &state)?;
        self.failed = false;
        Ok(())
    }
}

const LOG_FILE: &str = "log";
const SNAPSHOT_FILE: &str = "snapshot";
const IDENTITY_FILE: &str = "identity";

/// Checks the owner of the folder; an empty folder gets one.
fn claim_folder<F: FileOperations>(
    files: &F,
    folder: &Path,
    request: &FolderRequest,
) -> Result<FolderIdentity, StorageError> {
    let stored: Option<peer::FolderIdentity> = read_file(files, folder, IDENTITY_FILE)?;
    if let Some(stored) = stored {
        let stored = FolderIdentity::from(stored);
        let own = stored.cluster == request.cluster && stored.name == request.name;
        ensure!(
            own,
            ForeignFolderSnafu {
                path: folder,
                instance: stored.name.as_str(),
                cluster: stored.cluster,
            }
        );
        return Ok(stored);
    }
    let log_path = folder.join(LOG_FILE);
    if let Some(log) = attempt("read", &log_path, files.read(&log_path))? {
        let state = replay(&log_path, &log, None)?;
        let unused = state.entries.is_empty() && state.hard_state == HardState::default();
        ensure!(unused, IdentityMissingSnafu { path: folder });
    }
    // The identity is written last, so that a folder with an identity is complete.
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
        write_file(files, folder, SNAPSHOT_FILE, &record)?;
    }
    rewrite_log(files, folder, &StoredState::default())?;
    let record = peer::FolderIdentity::from(&identity);
    write_file(files, folder, IDENTITY_FILE, &record)?;
    Ok(identity)
}

fn load<F: FileOperations>(files: &F, folder: &Path) -> Result<StoredState, StorageError> {
    let snapshot: Option<peer::SnapshotRecord> = read_file(files, folder, SNAPSHOT_FILE)?;
    let path = folder.join(LOG_FILE);
    let log = attempt("read", &path, files.read(&path))?;
    let reason = "the file is missing";
    let offset = 0_u64;
    let log = log.context(DamagedSnafu {
        path: &path,
        offset,
        reason,
    })?;
    replay(&path, &log, snapshot.map(Into::into))
}

/// Writes a log file that contains exactly the given state and opens it for appending.
fn rewrite_log<F: FileOperations>(
    files: &F,
    folder: &Path,
    state: &StoredState,
) -> Result<F::File, StorageError> {
    let mut records = vec![LogRecord::HardState(state.hard_state.clone())];
    records.extend(state.founding.clone().map(LogRecord::Founding));
    records.extend(state.entries.iter().cloned().map(LogRecord::Entry));
    let records = records.into_iter().map(Into::into).collect();
    replace_file(files, folder, LOG_FILE, &peer::StorageFrame { records })
}

/// Reads a file of one frame. Such files are renamed when complete, so any damage is corruption.
fn read_file<F: FileOperations, R: DeserializeOwned>(
    files: &F,
    folder: &Path,
    name: &str,
) -> Result<Option<R>, StorageError> {
    let path = folder.join(name);
    let Some(bytes) = attempt("read", &path, files.read(&path))? else {
        return Ok(None);
    };
    if let FrameRead::Whole { payload, next } = read_frame(&bytes, 0)
        && next == bytes.len()
        && let Ok(record) = codec::decode(payload)
    {
        return Ok(Some(record));
    }
    let reason = "the content does not match its checksum";
    let offset = 0_u64;
    DamagedSnafu {
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
) -> Result<(), StorageError> {
    replace_file(files, folder, name, record).map(drop)
}

/// Writes a file of one frame under a temporary name, syncs it and renames it.
fn replace_file<F: FileOperations, R: Serialize>(
    files: &F,
    folder: &Path,
    name: &str,
    record: &R,
) -> Result<F::File, StorageError> {
    let temporary = folder.join(format!("{name}.new"));
    let mut bytes = Vec::new();
    write_frame(&mut bytes, &codec::encode(record));
    let mut file = attempt("create", &temporary, files.create(&temporary))?;
    write_synced(&mut file, &temporary, &bytes)?;
    let path = folder.join(name);
    attempt("rename", &temporary, files.rename(&temporary, &path))?;
    attempt("sync", folder, files.sync_folder(folder))?;
    Ok(file)
}

fn write_synced<W: LogFile>(file: &mut W, path: &Path, bytes: &[u8]) -> Result<(), StorageError> {
    let mut rest = bytes;
    while !rest.is_empty() {
        let written = attempt("write", path, file.write(rest))?;
        if written == 0 {
            let full = std::io::Error::from(std::io::ErrorKind::WriteZero);
            return Err(full).context(FileFailedSnafu {
                operation: "write",
                path,
            });
        }
        rest = &rest[written..];
    }
    attempt("sync", path, file.sync())
}

fn attempt<T>(
    operation: &'static str,
    path: &Path,
    result: std::io::Result<T>,
) -> Result<T, StorageError> {
    result.context(FileFailedSnafu { operation, path })
}
