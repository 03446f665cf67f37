//! Storage of the durable state of one instance in one data folder.
//!
//! The folder holds `lock`, `identity`, `snapshot` and `log`. `identity` and `snapshot` are written
//! to a temporary file, synced and renamed; `log` is appended to, one frame for each sync. These
//! three files are sequences of frames with a CRC, see [`frame`]; `lock` is empty. `removed` exists
//! between the removal of the instance from its group and the next start.

mod file_operations;
mod folder_identity;
mod frame;
mod log_replay;
mod log_storage;
mod storage_error;

pub use file_operations::{DiskFiles, FileOperations, LogFile};
pub use folder_identity::{FolderIdentity, FolderRequest};
pub use log_storage::{LogStorage, OpenedFolder};
pub use storage_error::StorageError;
