//! Monotonic time: the state machines read no clock; the process passes the current time in.

use serde::{Deserialize, Serialize};
use std::ops;
use std::time::Duration;

/// Microseconds on one process's monotonic clock, from an origin of that process.
///
/// Invariant: never sent to another process; messages carry durations only.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Instant(u64);

impl Instant {
    /// The origin of the clock.
    pub const ORIGIN: Instant = Instant(0);

    /// Instant `micros` microseconds after the origin.
    pub const fn from_micros(micros: u64) -> Instant {
        Instant(micros)
    }

    /// Instant `millis` milliseconds after the origin.
    pub const fn from_millis(millis: u64) -> Instant {
        Instant(millis * 1_000)
    }

    /// Microseconds since the origin.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Time since `earlier`; zero when `earlier` is later than `self`.
    pub const fn since(self, earlier: Instant) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Time until `later`; zero when `later` has passed.
    pub const fn until(self, later: Instant) -> Duration {
        later.since(self)
    }
}

impl ops::Add<Duration> for Instant {
    type Output = Instant;

    fn add(self, duration: Duration) -> Instant {
        Instant(self.0.saturating_add(duration.as_micros() as u64))
    }
}

impl ops::Sub<Duration> for Instant {
    type Output = Instant;

    fn sub(self, duration: Duration) -> Instant {
        Instant(self.0.saturating_sub(duration.as_micros() as u64))
    }
}
