//! Rate limit that an upstream names for the whole fleet, divided among the entries.
//!
//! Invariant: the parts of all entries add up to no more than the rate. It is counted over a window that
//! holds at least one request, so that a rate of less than one a second is no ban.

use crate::slow_start;
use hyssopfork_fleet::rate;
use hyssopfork_wire::clock;
use std::collections::VecDeque;
use std::time::Duration;

/// Least window that a rate is counted over: with a longer one fewer of its requests are lost to rounding,
/// and more come at once.
const MIN_WINDOW: Duration = Duration::from_secs(4);

/// Longest window. An upstream that takes less is sent one request in it, whose answer tells when the limit
/// ends.
const MAX_WINDOW: Duration = Duration::from_secs(30);

/// Least time between two changes of what an upstream names, as an entry takes them in: answers that
/// were made before a change may come after it.
const CHANGE_INTERVAL: Duration = Duration::from_millis(250);

/// Time for which a change is reported. A message may be lost.
const REPORT_TIME: Duration = Duration::from_secs(2);

/// Part by which a rate must differ from the one before to count as another.
const SIGNIFICANT_CHANGE: f64 = 0.1;

/// What an upstream last named to this entry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct NamedRate {
    /// The rate; `None` for no limit.
    pub rate: Option<rate::Rate>,
    /// When it changed; `None` for never.
    pub changed_at: Option<clock::Instant>,
    /// Whether this entry heard it of the upstream, and not of the leader.
    pub from_upstream: bool,
}

impl NamedRate {
    /// Takes in what an answer names; whether that is a change.
    pub fn on_response(&mut self, now: clock::Instant, rate: Option<rate::Rate>) -> bool {
        let recent = self.changed_at.is_some_and(|at| now.since(at) < CHANGE_INTERVAL);
        let alike = match (self.rate, rate) {
            (Some(old), Some(new)) => {
                let difference = (old.per_second() - new.per_second()).abs();
                difference <= old.per_second() * SIGNIFICANT_CHANGE
            }
            (old, new) => old == new,
        };
        if alike || recent {
            return false;
        }
        *self = NamedRate { rate, changed_at: Some(now), from_upstream: true };
        true
    }

    /// Takes in what the leader newly publishes.
    pub fn on_published(&mut self, now: clock::Instant, rate: Option<rate::Rate>) {
        *self = NamedRate { rate, changed_at: Some(now), from_upstream: false };
    }

    /// What to report to the leader: the rate, and the time since it was heard.
    pub fn report(&self, now: clock::Instant) -> Option<(Option<rate::Rate>, Duration)> {
        let age = now.since(self.changed_at.filter(|_| self.from_upstream)?);
        (age < REPORT_TIME).then_some((self.rate, age))
    }
}

/// This entry's part of a rate.
#[derive(Clone, Debug)]
pub struct Limiter {
    window: Duration,
    /// Requests of all entries in a window.
    total: usize,
    /// Those of this entry.
    share: usize,
    /// Sends in the last window.
    sends: VecDeque<clock::Instant>,
}

impl Limiter {
    /// The part of the entry at `rank` of `entries`.
    pub fn new(rate: rate::Rate, rank: usize, entries: usize) -> Limiter {
        let one = Duration::try_from_secs_f64(1.0 / rate.per_second()).unwrap_or(MAX_WINDOW);
        let window = one.clamp(MIN_WINDOW, MAX_WINDOW);
        let total = (rate.per_second() * window.as_secs_f64()).max(1.0);
        let part = slow_start::entry_share(total, rank, entries);
        Limiter { window, total: total as usize, share: part, sends: VecDeque::new() }
    }

    /// The same part or another, after what was sent before.
    pub fn with_history_of(self, previous: Option<Limiter>) -> Limiter {
        let sends = previous.map(|before| before.sends).unwrap_or_default();
        Limiter { sends, ..self }
    }

    /// Notes a send.
    pub fn record(&mut self, now: clock::Instant) {
        while self.sends.front().is_some_and(|sent| now.since(*sent) >= self.window) {
            self.sends.pop_front();
        }
        self.sends.push_back(now);
    }

    /// Time until another request may be sent; zero for now. For an entry without a part, the average
    /// time between two requests of any.
    pub fn delay(&self, now: clock::Instant) -> Duration {
        if self.share == 0 {
            return self.window / self.total as u32;
        }
        let recent = self.sends.iter().filter(|sent| now.since(**sent) < self.window).count();
        if recent < self.share {
            return Duration::ZERO;
        }
        now.until(self.sends[self.sends.len() - self.share] + self.window)
    }
}
