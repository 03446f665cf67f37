//! Failures of the log storage.

use std::path::PathBuf;

use snafu::Snafu;

/// A failure of the log storage. Every one is fatal: the process must stop and must not try again
/// with the same open folder.
///
/// After a failed sync the operating system may have dropped the written data and may report
/// success for the next sync, so only a restart, which reads the files again, tells what is stored.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum StorageError {
    /// A file operation failed, for example because the disk is full.
    #[snafu(display("cannot {operation} {}: {source}", path.display()))]
    FileFailed {
        /// What was tried.
        operation: &'static str,
        /// File or folder.
        path: PathBuf,
        /// Cause.
        source: std::io::Error,
    },
    /// A file is damaged in a part that was already synced.
    #[snafu(display("{} is damaged at offset {offset}: {reason}", path.display()))]
    Damaged {
        /// File.
        path: PathBuf,
        /// Offset of the damaged part, in bytes.
        offset: u64,
        /// What is wrong.
        reason: &'static str,
    },
    /// Another process uses the folder.
    #[snafu(display("another process uses {}", path.display()))]
    FolderLocked {
        /// Folder.
        path: PathBuf,
    },
    /// The folder belongs to another cluster or instance.
    #[snafu(display(
        "{} belongs to instance {instance} of cluster {cluster}",
        path.display()
    ))]
    ForeignFolder {
        /// Folder.
        path: PathBuf,
        /// Owner of the folder.
        instance: String,
        /// Cluster of the owner.
        cluster: String,
    },
    /// The folder has a log or a snapshot but no identity.
    #[snafu(display("{} has data but no identity", path.display()))]
    IdentityMissing {
        /// Folder.
        path: PathBuf,
    },
    /// An earlier operation failed.
    #[snafu(display("an earlier operation on the data folder failed"))]
    FailedBefore,
}
