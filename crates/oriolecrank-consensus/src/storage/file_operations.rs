//! File operations of the log storage, so that tests can inject faults.

use std::fmt::Debug;
use std::fs::{File, OpenOptions};
use std::io;
use std::path::Path;

/// File operations of the log storage.
pub trait FileOperations: Debug {
    /// File opened for appending.
    type File: LogFile + Debug;
    /// Holds the lock of a folder until dropped.
    type Lock: Debug;

    /// Creates a folder and its parents.
    fn create_folder(&self, path: &Path) -> io::Result<()>;
    /// Locks a file, which is created if needed; `None` if another process holds the lock.
    fn lock(&self, path: &Path) -> io::Result<Option<Self::Lock>>;
    /// Whole content of a file; `None` if it does not exist.
    fn read(&self, path: &Path) -> io::Result<Option<Vec<u8>>>;
    /// Creates an empty file, replacing an older one.
    fn create(&self, path: &Path) -> io::Result<Self::File>;
    /// Renames a file, replacing an older one.
    fn rename(&self, from: &Path, to: &Path) -> io::Result<()>;
    /// Makes the names in a folder durable.
    fn sync_folder(&self, path: &Path) -> io::Result<()>;
}

/// A file opened for appending.
pub trait LogFile {
    /// Writes some of the bytes at the end and returns how many.
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize>;
    /// Makes everything written durable.
    fn sync(&mut self) -> io::Result<()>;
}

/// File operations on the real disk.
#[derive(Debug, Clone, Copy, Default)]
pub struct DiskFiles;

impl FileOperations for DiskFiles {
    type File = File;
    type Lock = File;

    fn create_folder(&self, path: &Path) -> io::Result<()> {
        std::fs::create_dir_all(path)
    }

    fn lock(&self, path: &Path) -> io::Result<Option<File>> {
        let file = OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .open(path)?;
        match file.try_lock() {
            Ok(()) => Ok(Some(file)),
            Err(std::fs::TryLockError::WouldBlock) => Ok(None),
            Err(std::fs::TryLockError::Error(error)) => Err(error),
        }
    }

    fn read(&self, path: &Path) -> io::Result<Option<Vec<u8>>> {
        match std::fs::read(path) {
            Ok(bytes) => Ok(Some(bytes)),
            Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
            Err(error) => Err(error),
        }
    }

    fn create(&self, path: &Path) -> io::Result<File> {
        File::create(path)
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        std::fs::rename(from, to)
    }

    fn sync_folder(&self, path: &Path) -> io::Result<()> {
        File::open(path)?.sync_all()
    }
}

impl LogFile for File {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        io::Write::write(&mut &*self, bytes)
    }

    /// `fdatasync` also makes a changed file size durable, and skips the time stamps.
    fn sync(&mut self) -> io::Result<()> {
        self.sync_data()
    }
}
