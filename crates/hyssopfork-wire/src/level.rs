//! Severity of numbered events.

/// Severity of a numbered event.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, strum::Display, strum::IntoStaticStr,
)]
#[strum(serialize_all = "lowercase")]
pub enum Level {
    /// Trace of a single request or call.
    Debug,
    /// An ordinary change of state.
    Info,
    /// Service is at risk, or a request was rejected.
    Warn,
    /// A rule of the protocol was broken.
    Error,
}
