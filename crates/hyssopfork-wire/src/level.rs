//! Severity of numbered events.

/// How much a numbered event matters.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, strum::Display, strum::IntoStaticStr,
)]
#[strum(serialize_all = "lowercase")]
pub enum Level {
    /// For following one request or call.
    Debug,
    /// An ordinary change of state.
    Info,
    /// Service is at risk, or was refused.
    Warn,
    /// A rule of the protocol was broken.
    Error,
}
