//! Why a journal refuses.

use hyssopfork_wire::name;
use quick_error::quick_error;
use std::io;
use std::path;

quick_error! {
    /// Why a journal cannot be opened or written.
    #[derive(Debug)]
    pub enum Error {
        /// The disk or the system refused.
        Disk(file: path::PathBuf, source: io::Error) {
            source(source)
            display(
                "{}: {}; mend the disk, its space or the file's permissions and restart the process",
                file.display(),
                source
            )
        }
        /// What was synced is damaged or missing.
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
                "{} is in use by another process; stop that one first, or give this one its own data folder",
                folder.display()
            )
        }
        /// The folder isn't a voter's.
        NotVoter(folder: path::PathBuf, instance: name::Instance) {
            display(
                "{} holds no log in which {} is a voter; name the surviving voter's own folder and instance",
                folder.display(),
                instance
            )
        }
        /// A write failed before: what is on the disk is not known.
        EarlierWriteFailed {
            display("a write to the journal failed before; mend the disk and restart the process")
        }
    }
}
