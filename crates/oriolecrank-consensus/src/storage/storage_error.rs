//! Errors of the log storage.

use std::path::PathBuf;

use snafu::Snafu;

/// An error of the log storage. Every one is fatal: the process must stop and must not retry with
/// the same open folder.
///
/// After a failed sync the operating system may have dropped the written data and may report
/// success for the next sync, so only a restart, which reads the files again, shows what is stored.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum StorageError {
    /// A file operation failed, for example because the disk is full.
    #[snafu(display("cannot {operation} {}: {source}", path.display()))]
    FileFailed {
        /// Operation that failed, as a verb.
        operation: &'static str,
        /// File or folder.
        path: PathBuf,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// A file is corrupt in a part that was already synced.
    #[snafu(display("{} is corrupt at offset {offset}: {reason}", path.display()))]
    Corrupt {
        /// File.
        path: PathBuf,
        /// Offset of the corrupt frame, in bytes.
        offset: u64,
        /// What is wrong.
        reason: &'static str,
    },
    /// Another process holds the lock of the folder.
    #[snafu(display("another process holds the lock of {}", path.display()))]
    FolderLocked {
        /// Folder.
        path: PathBuf,
    },
    /// The folder belongs to another cluster or instance.
    #[snafu(display(
        "{} belongs to instance {instance} of cluster {cluster}, not to the one in the settings",
        path.display()
    ))]
    ForeignFolder {
        /// Folder.
        path: PathBuf,
        /// Name of the instance that owns the folder.
        instance: String,
        /// Name of its cluster.
        cluster: String,
    },
    /// The folder has a log with records but no identity.
    #[snafu(display("{} contains a log but no identity file", path.display()))]
    IdentityMissing {
        /// Folder.
        path: PathBuf,
    },
    /// An earlier write or sync failed, so nothing more is written.
    #[snafu(display(
        "an earlier write to the data folder failed; no more records are written until a restart"
    ))]
    EarlierFailure,
}
