//! Settings of logging: the `log` section.

use crate::section;
use hyssopfork_telemetry::log;

/// The `log` section.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Log {
    /// Format of log lines.
    pub format: log::Format,
    /// Minimum severity that is written.
    pub level: log::Threshold,
}

/// Reads the `log` section; invalid values are reported as faults and replaced by the defaults.
pub fn read(section: section::Section<'_>) -> Log {
    let format = section.keyword("format", log::Format::default(), &["json", "text"]);
    let levels = ["error", "warn", "info", "debug", "trace"];
    let level = section.keyword("level", log::Threshold::default(), &levels);
    section.finish();
    Log { format, level }
}
