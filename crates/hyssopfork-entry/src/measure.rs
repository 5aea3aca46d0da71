//! Measurements of requests that ended.

/// A measurement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Measure {}
