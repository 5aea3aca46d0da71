//! The `log` section.

use crate::section;
use hyssopfork_telemetry::log;

/// The section.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Log {
    /// How lines are written.
    pub format: log::Format,
    /// Least severity that is written.
    pub level: log::Threshold,
}

/// Reads the section.
pub fn read(section: section::Section<'_>) -> Log {
    let format = section.keyword("format", log::Format::default(), &["json", "text"]);
    let levels = ["error", "warn", "info", "debug", "trace"];
    let level = section.keyword("level", log::Threshold::default(), &levels);
    section.finish();
    Log { format, level }
}
