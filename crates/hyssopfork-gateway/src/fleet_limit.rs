//! Division of a limit that all entries together keep over a window.
//!
//! Invariant: within any window the entries spend no more than the whole, however often they start,
//! stop or are cut off.
//! - An entry takes part from [`SETTLING_TIME`] after the leader began to list it, and only while its
//!   view is confirmed. By then every other entry either counts it or has lost its confirmation.
//! - It divides by the most entries that it has known within the window and the time before that views
//!   may differ by, so that what a lost entry had spent leaves the window before others take its share.
//! - It starts as if its share had been spent: the share accrues over the length of the window. A
//!   process that replaces another one then adds no more than the time that it runs.
//!
//! Limits on the rate of one upstream ([`slow_start`], [`rate_limit`]) are divided and accrue in the
//! same way, but from the start of the process and without confirmation: otherwise the
//! upstream would receive no requests while no leader answers.
//!
//! [`slow_start`]: crate::slow_start
//! [`rate_limit`]: crate::rate_limit

use hyssopfork_wire::clock;
use std::collections::VecDeque;
use std::time::Duration;

/// Age of the view up to which it is confirmed. It is below the time after which a leader removes an
/// entry that it does not hear from.
const MAX_CONFIRMATION_AGE: Duration = Duration::from_millis(1_500);

/// Time for which views of entries may differ: twice their age.
const SETTLING_TIME: Duration = Duration::from_millis(3_000);

/// Time between two confirmations after which the leader may have removed this entry meanwhile.
const MAX_CONFIRMATION_GAP: Duration = Duration::from_millis(3_000);

/// The entries, as known to one of them.
#[derive(Clone, Debug)]
pub struct Members {
    /// Numbers of entries, with the time from which each was known; the newest is last.
    ///
    /// Invariant: at most two more than there are changes within `max_window` and [`SETTLING_TIME`].
    counts: VecDeque<(clock::Instant, usize)>,
    /// Longest window of a limit.
    max_window: Duration,
    /// Since when the leader has listed this entry without interruption.
    listed_since: Option<clock::Instant>,
    /// When the newest answered watch was sent.
    confirmed_at: clock::Instant,
}

impl Members {
    /// Creates the state of an entry whose process started at `now`, for limits over at most
    /// `max_window`.
    pub fn new(now: clock::Instant, max_window: Duration) -> Members {
        Members { counts: VecDeque::new(), max_window, listed_since: None, confirmed_at: now }
    }

    /// Records a view with `count` entries, as of `confirmed_at`.
    pub fn on_view(
        &mut self,
        now: clock::Instant,
        confirmed_at: clock::Instant,
        count: usize,
        is_listed: bool,
    ) {
        let gap = confirmed_at.since(self.confirmed_at);
        self.confirmed_at = self.confirmed_at.max(confirmed_at);
        if !is_listed {
            self.listed_since = None;
        } else if self.listed_since.is_none() || gap >= MAX_CONFIRMATION_GAP {
            self.listed_since = Some(now);
        }
        if self.counts.back().is_none_or(|(_, known)| *known != count) {
            self.counts.push_back((now, count));
        }
        let max_age = self.max_window + SETTLING_TIME;
        while self.counts.get(1).is_some_and(|(until, _)| now.since(*until) >= max_age) {
            self.counts.pop_front();
        }
    }

    /// Number of entries to divide a limit over `window` by, at least 1.
    pub fn divisor(&self, now: clock::Instant, window: Duration) -> usize {
        let age = window + SETTLING_TIME;
        let mut until = None;
        let mut divisor = 1;
        for (since, count) in self.counts.iter().rev() {
            if until.is_some_and(|until| now.since(until) >= age) {
                break;
            }
            divisor = divisor.max(*count);
            until = Some(*since);
        }
        divisor
    }

    /// Part of its share that this entry may have spent within `window`, from 0 to 1.
    pub fn accrued(&self, now: clock::Instant, window: Duration) -> f64 {
        let is_confirmed = now.since(self.confirmed_at) < MAX_CONFIRMATION_AGE;
        let Some(listed_since) = self.listed_since.filter(|_| is_confirmed) else { return 0.0 };
        accrued_since(listed_since + SETTLING_TIME, now, window)
    }

    /// Age of the view.
    pub fn view_age(&self, now: clock::Instant) -> Duration {
        now.since(self.confirmed_at)
    }
}

/// Whole units of `share` that have accrued since `start`.
pub fn accrued_units(
    share: usize,
    start: clock::Instant,
    now: clock::Instant,
    window: Duration,
) -> usize {
    (share as f64 * accrued_since(start, now, window)) as usize
}

/// Part of a share that has accrued since `start`, from 0 to 1: all of it after `window`.
pub fn accrued_since(start: clock::Instant, now: clock::Instant, window: Duration) -> f64 {
    (now.since(start).as_secs_f64() / window.as_secs_f64()).min(1.0)
}
