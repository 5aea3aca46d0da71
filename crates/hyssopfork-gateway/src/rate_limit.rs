//! Rate limit that an upstream names for the whole fleet, divided among the entries.
//!
//! Invariant: the shares of all entries add up to no more than the rate. It is counted over a
//! window that holds at least one request, so that a rate below one per second doesn't block all
//! requests.

use crate::{fleet_limit, slow_start};
use hyssopfork_fleet::rate;
use hyssopfork_wire::clock;
use std::collections::VecDeque;
use std::time::Duration;

/// Shortest window that a rate is counted over. A longer one loses fewer requests to rounding, but
/// allows larger bursts.
pub const MIN_WINDOW: Duration = Duration::from_secs(4);

/// Longest window. An upstream with a lower rate receives one request per window, whose response
/// shows when the limit ends.
pub const MAX_WINDOW: Duration = Duration::from_secs(30);

/// Shortest delay until a share that accrues allows the next request.
const MIN_DELAY: Duration = Duration::from_millis(1);

/// Shortest interval between two accepted changes of a named rate: responses that were generated
/// before a change may arrive after it.
const CHANGE_INTERVAL: Duration = Duration::from_millis(250);

/// Time for which a change is reported, since a message may be lost.
const REPORT_TIME: Duration = Duration::from_secs(2);

/// Part by which a rate must differ from the previous one to count as a change.
const SIGNIFICANT_CHANGE: f64 = 0.1;

/// Rate that an upstream last named, as known to this entry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct NamedRate {
    /// The rate; `None` for no limit.
    pub rate: Option<rate::Rate>,
    /// When it changed; `None` for never.
    pub changed_at: Option<clock::Instant>,
    /// Whether this entry received it from the upstream rather than from the leader.
    pub from_upstream: bool,
}

impl NamedRate {
    /// Updates the rate from a response; returns whether it changed.
    pub fn on_response(&mut self, now: clock::Instant, rate: Option<rate::Rate>) -> bool {
        let is_recent = self.changed_at.is_some_and(|at| now.since(at) < CHANGE_INTERVAL);
        let is_similar = match (self.rate, rate) {
            (Some(old), Some(new)) => {
                let difference = (old.per_second() - new.per_second()).abs();
                difference <= old.per_second() * SIGNIFICANT_CHANGE
            }
            (old, new) => old == new,
        };
        if is_similar || is_recent {
            return false;
        }
        *self = NamedRate { rate, changed_at: Some(now), from_upstream: true };
        true
    }

    /// Adopts the rate that the leader newly published.
    pub fn on_published(&mut self, now: clock::Instant, rate: Option<rate::Rate>) {
        *self = NamedRate { rate, changed_at: Some(now), from_upstream: false };
    }

    /// Change to report to the leader: the rate, and the time since it was received.
    pub fn report(&self, now: clock::Instant) -> Option<(Option<rate::Rate>, Duration)> {
        let age = now.since(self.changed_at.filter(|_| self.from_upstream)?);
        (age < REPORT_TIME).then_some((self.rate, age))
    }
}

/// Limiter of one entry's share of a rate.
#[derive(Clone, Debug)]
pub struct Limiter {
    window: Duration,
    /// Requests of all entries per window.
    total: usize,
    /// Requests of this entry per window.
    share: usize,
    /// Time from which the share accrues.
    started_at: clock::Instant,
    /// Times of requests in the last window.
    sends: VecDeque<clock::Instant>,
}

impl Limiter {
    /// Creates the limiter of the entry at `rank` of `entries`, whose process has run for long.
    pub fn new(rate: rate::Rate, rank: usize, entries: usize) -> Limiter {
        let window = window_of(rate);
        let total = (rate.per_second() * window.as_secs_f64()).max(1.0);
        let part = slow_start::entry_share(total, rank, entries);
        Limiter {
            window,
            total: total as usize,
            share: part,
            started_at: clock::Instant::ORIGIN,
            sends: VecDeque::new(),
        }
    }

    /// Sets when this entry's process started.
    pub fn with_start(self, started_at: clock::Instant) -> Limiter {
        Limiter { started_at, ..self }
    }

    /// Takes over the recorded requests of the previous limiter.
    pub fn with_history_of(self, previous: Option<Limiter>) -> Limiter {
        let sends = previous.map(|before| before.sends).unwrap_or_default();
        Limiter { sends, ..self }
    }

    /// Records a request.
    pub fn record(&mut self, now: clock::Instant) {
        while self.sends.front().is_some_and(|sent| now.since(*sent) >= self.window) {
            self.sends.pop_front();
        }
        self.sends.push_back(now);
    }

    /// Time until the next request may be sent; zero for now. For an entry without a share, the
    /// average interval between requests of the fleet.
    pub fn delay(&self, now: clock::Instant) -> Duration {
        if self.share == 0 {
            return self.window / self.total as u32;
        }
        let recent = self.sends.iter().filter(|sent| now.since(**sent) < self.window).count();
        let accrued = fleet_limit::accrued_units(self.share, self.started_at, now, self.window);
        if recent < accrued {
            return Duration::ZERO;
        }
        if accrued < self.share {
            let next = self.window.mul_f64((recent + 1) as f64 / self.share as f64);
            return now.until(self.started_at + next).max(MIN_DELAY);
        }
        now.until(self.sends[self.sends.len() - self.share] + self.window)
    }
}

/// Window that a rate is counted over.
pub fn window_of(rate: rate::Rate) -> Duration {
    let request_interval =
        Duration::try_from_secs_f64(1.0 / rate.per_second()).unwrap_or(MAX_WINDOW);
    request_interval.clamp(MIN_WINDOW, MAX_WINDOW)
}
