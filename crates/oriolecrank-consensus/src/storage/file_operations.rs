//! File operations of the log storage behind a trait, so that tests can inject faults.

use std::fmt::Debug;
use std::fs::{File, OpenOptions};
use std::io;
use std::path::Path;

/// File operations that the log storage needs.
pub trait FileOperations: Debug {
    /// File open for appending.
    type File: LogFile + Debug;
    /// Guard that holds the lock of a folder until it is dropped.
    type Lock: Debug;

    /// Creates a folder and its parents.
    fn create_folder(&self, path: &Path) -> io::Result<()>;
    /// Locks a file, which is created if missing; `None` if another process holds the lock.
    fn lock(&self, path: &Path) -> io::Result<Option<Self::Lock>>;
    /// Reads a whole file; `None` if it does not exist.
    fn read(&self, path: &Path) -> io::Result<Option<Vec<u8>>>;
    /// Creates an empty file, replacing an older one.
    fn create(&self, path: &Path) -> io::Result<Self::File>;
    /// Renames a file, replacing an older one.
    fn rename(&self, from: &Path, to: &Path) -> io::Result<()>;
    /// Removes a file; without effect if it does not exist.
    fn remove_file(&self, path: &Path) -> io::Result<()>;
    /// Makes created, renamed and removed directory entries of a folder durable.
    fn sync_folder(&self, path: &Path) -> io::Result<()>;
}

/// A file open for appending.
pub trait LogFile {
    /// Appends some of the bytes and returns how many were written.
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize>;
    /// Makes everything written durable.
    fn sync(&mut self) -> io::Result<()>;
}

/// File operations on the real file system.
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

    fn remove_file(&self, path: &Path) -> io::Result<()> {
        match std::fs::remove_file(path) {
            Err(error) if error.kind() != io::ErrorKind::NotFound => Err(error),
            _ => Ok(()),
        }
    }

    fn sync_folder(&self, path: &Path) -> io::Result<()> {
        File::open(path)?.sync_all()
    }
}

impl LogFile for File {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        io::Write::write(&mut &*self, bytes)
    }

    /// Uses `fdatasync`, which also makes a changed file size durable but skips the time stamps.
    fn sync(&mut self) -> io::Result<()> {
        self.sync_data()
    }
}
