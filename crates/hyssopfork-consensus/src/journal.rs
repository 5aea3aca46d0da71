//! Journal on disk.

use crate::{node, write};
use quick_error::quick_error;
use std::path;

quick_error! {
    /// Why a journal cannot be opened or written.
    #[derive(Debug)]
    pub enum Error {
        /// The journal failed before.
        Failed {
            display("the journal failed before; restart the process after mending its disk")
        }
    }
}

/// Journal of one data folder.
pub struct Journal {}

impl Journal {
    /// Opens the journal of `folder`, making it when it is empty; also gives what it holds and the
    /// folder's random number.
    pub fn open(_folder: &path::Path) -> Result<(Journal, node::Durable, u64), Error> {
        Err(Error::Failed)
    }

    /// Applies `write` and syncs it.
    pub fn write(&mut self, _write: &write::Write) -> Result<(), Error> {
        Err(Error::Failed)
    }
}
