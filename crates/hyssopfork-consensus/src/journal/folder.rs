//! Files of a data folder: reads, atomic replacement, and a lock against other processes.

use crate::error;
use std::fs;
use std::io::{self, Write};
use std::path;
use std::thread;

/// Name of the lock file.
const LOCK_FILE: &str = "lock";

/// Data folder that is locked by this process.
#[derive(Debug)]
pub struct Folder {
    path: path::PathBuf,
    /// Held open, since closing the file releases the lock.
    _lock: fs::File,
}

impl Folder {
    /// Opens and locks the folder at `path`, creating it if it does not exist.
    pub fn open(path: &path::Path) -> Result<Folder, error::Error> {
        let failed = |source| error::Error::Disk(path.to_path_buf(), source);
        fs::create_dir_all(path).map_err(failed)?;
        let lock = fs::File::create(path.join(LOCK_FILE)).map_err(failed)?;
        match lock.try_lock() {
            Ok(()) => Ok(Folder { path: path.to_path_buf(), _lock: lock }),
            Err(fs::TryLockError::WouldBlock) => Err(error::Error::Locked(path.to_path_buf())),
            Err(fs::TryLockError::Error(source)) => Err(failed(source)),
        }
    }

    /// Path of a file.
    pub fn file_path(&self, name: &str) -> path::PathBuf {
        self.path.join(name)
    }

    /// Content of a file; `None` if it does not exist.
    pub fn read(&self, name: &str) -> Result<Option<Vec<u8>>, error::Error> {
        match fs::read(self.file_path(name)) {
            Ok(bytes) => Ok(Some(bytes)),
            Err(source) if source.kind() == io::ErrorKind::NotFound => Ok(None),
            Err(source) => Err(self.disk_error(name, source)),
        }
    }

    /// Replaces the content of a file atomically: after a crash it is either the old or the new.
    pub fn replace(&self, name: &str, bytes: &[u8]) -> Result<(), error::Error> {
        self.try_replace(name, bytes).map_err(|source| self.disk_error(name, source))
    }

    fn try_replace(&self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.write_next(name, bytes)?;
        self.rename_next(name)
    }

    /// Replaces two files; after a crash the second is new only if the first is. Their contents are synced at
    /// the same time, since each sync of a slow disk takes long.
    pub fn replace_in_order(
        &self,
        (first, first_bytes): (&str, &[u8]),
        (second, second_bytes): (&str, &[u8]),
    ) -> Result<(), error::Error> {
        let (first_written, second_written) = thread::scope(|scope| {
            let writing = scope.spawn(|| self.write_next(first, first_bytes));
            let second_written = self.write_next(second, second_bytes);
            (writing.join().expect("a write does not panic"), second_written)
        });
        let first_result = first_written.and(second_written).and_then(|()| self.rename_next(first));
        first_result.map_err(|source| self.disk_error(first, source))?;
        self.rename_next(second).map_err(|source| self.disk_error(second, source))
    }

    /// Writes and syncs the next content of a file.
    fn write_next(&self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let mut file = fs::File::create(self.next_path(name))?;
        file.write_all(bytes)?;
        file.sync_all()
    }

    /// Puts the next content of a file in its place.
    fn rename_next(&self, name: &str) -> io::Result<()> {
        fs::rename(self.next_path(name), self.file_path(name))?;
        // A crash could undo the rename unless the folder is synced.
        fs::File::open(&self.path)?.sync_all()
    }

    fn next_path(&self, name: &str) -> path::PathBuf {
        self.file_path(&format!("{name}.next"))
    }

    /// Opens a file for appending, truncated to `length`. `is_synced` tells that this process has synced
    /// its content.
    pub fn open_for_append(
        &self,
        name: &str,
        length: u64,
        is_synced: bool,
    ) -> Result<fs::File, error::Error> {
        let open = || {
            let file = fs::OpenOptions::new().append(true).open(self.file_path(name))?;
            let is_longer = file.metadata()?.len() != length;
            if is_longer {
                file.set_len(length)?;
            }
            // The bytes read may only be in the page cache if the last write was not synced.
            if is_longer || !is_synced {
                file.sync_all()?;
            }
            Ok(file)
        };
        open().map_err(|source| self.disk_error(name, source))
    }

    /// I/O error of a file.
    pub fn disk_error(&self, name: &str, source: io::Error) -> error::Error {
        error::Error::Disk(self.file_path(name), source)
    }
}
