//! Whether an entry may answer by its declaration, for the log.

use hyssopfork_wire::clock;
use std::fmt;
use std::time::Duration;

/// Time without a leader's statement after which it is logged that the declaration may be out of
/// date.
const SILENCE_REPORT_DELAY: Duration = Duration::from_secs(5);

/// Interval at which this is repeated.
const SILENCE_REPORT_INTERVAL: Duration = Duration::from_secs(30);

/// What an entry lacks to decide about a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Missing {
    /// No leader has stated anything since the start.
    View,
    /// A declaration; it holds none.
    Declaration,
    /// A declaration that is newer than the one it holds and known to be accepted.
    NewerDeclaration,
    /// A leader's statement that no newer declaration has been accepted; the last one is too old.
    Confirmation,
}

/// Declaration of an entry that can't decide about a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unready {
    /// What it waits for.
    pub missing: Missing,
    /// Version that it holds; 0 for none.
    pub version: u64,
    /// Version of the newest accepted declaration that it knows of; 0 for none.
    pub newest_version: u64,
    /// Time since a leader last confirmed the newest version; since the start if none has.
    pub unconfirmed: Duration,
}

impl fmt::Display for Unready {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Unready { missing, version, newest_version, unconfirmed } = self;
        let unconfirmed = unconfirmed.as_millis();
        write!(
            formatter,
            "waits_for={missing} version={version} newest={newest_version} unconfirmed_ms={unconfirmed}"
        )
    }
}

/// Declaration that requests are served by while no leader confirms it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unconfirmed {
    /// Version that the entry holds; 0 for none.
    pub version: u64,
    /// Version of the newest accepted declaration that it knows of; 0 for none.
    pub newest_version: u64,
    /// Time since a leader last confirmed the newest version; since the start if none has.
    pub time: Duration,
}

impl fmt::Display for Unconfirmed {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Unconfirmed { version, newest_version, time } = self;
        let time = time.as_millis();
        write!(formatter, "version={version} newest={newest_version} unconfirmed_ms={time}")
    }
}

/// A change of the leader's silence to be logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Report {
    /// The leader is silent, or still is.
    Silent,
    /// It states the newest version again.
    Restored,
}

/// Decides when a silence of the leader is logged.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Monitor {
    /// When the present silence was last logged.
    last_report: Option<clock::Instant>,
}

impl Monitor {
    /// Handles the time for which the declaration has been unconfirmed.
    pub(crate) fn on_tick(&mut self, now: clock::Instant, unconfirmed: Duration) -> Option<Report> {
        if unconfirmed < SILENCE_REPORT_DELAY {
            return self.last_report.take().map(|_| Report::Restored);
        }
        let is_due = |last| now.since(last) >= SILENCE_REPORT_INTERVAL;
        if !self.last_report.is_none_or(is_due) {
            return None;
        }
        self.last_report = Some(now);
        Some(Report::Silent)
    }
}
