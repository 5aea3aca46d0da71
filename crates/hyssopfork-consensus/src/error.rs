//! Errors of the journal.

use hyssopfork_wire::name;
use quick_error::quick_error;
use std::io;
use std::path;

quick_error! {
    /// Reason why a journal cannot be opened or written.
    #[derive(Debug)]
    pub enum Error {
        /// The operating system reported an I/O error.
        Disk(file: path::PathBuf, source: io::Error) {
            source(source)
            display(
                "{}: {}; check the disk, its free space and the file's permissions, then restart the process",
                file.display(),
                source
            )
        }
        /// Synced data is damaged or missing.
        Damaged(file: path::PathBuf, offset: u64) {
            display(
                "{} is damaged at byte {}; stop the process, wipe its data folder and start it again: the instance rejoins under a new identity",
                file.display(),
                offset
            )
        }
        /// Another process has the folder open.
        Locked(folder: path::PathBuf) {
            display(
                "{} is in use by another process; stop that process or configure another data folder for this one",
                folder.display()
            )
        }
        /// The folder does not belong to a voter.
        NotVoter(folder: path::PathBuf, instance: name::Instance) {
            display(
                "{} holds no log in which {} is a voter; specify the data folder and the instance of the surviving voter",
                folder.display(),
                instance
            )
        }
        /// An earlier write failed, so the content of the disk is unknown.
        EarlierWriteFailed {
            display("an earlier write to the journal failed; check the disk and restart the process")
        }
    }
}
