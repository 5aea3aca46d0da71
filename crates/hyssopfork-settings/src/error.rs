//! Errors of reading settings.

use crate::fault;
use quick_error::quick_error;
use std::{io, path};

quick_error! {
    /// Error of reading settings.
    #[derive(Debug)]
    pub enum Error {
        /// The file cannot be read.
        Unreadable(path: path::PathBuf, cause: io::Error) {
            display(
                "cannot read settings file {}: {}; check the path and its permissions",
                path.display(),
                cause
            )
            source(cause)
        }
        /// The text has faults; contains all of them, in the order of the text.
        Invalid(faults: Vec<fault::Fault>) {
            display("{}", format_faults(faults))
        }
    }
}

fn format_faults(faults: &[fault::Fault]) -> String {
    let lines: Vec<String> = faults.iter().map(|fault| format!("  {fault}")).collect();
    format!("{} fault(s) in the settings:\n{}", faults.len(), lines.join("\n"))
}
