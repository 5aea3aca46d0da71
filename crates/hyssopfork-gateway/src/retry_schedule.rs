//! When refused callers are to come back.
//!
//! *Pattern.* A group is lost or a burst comes, and hundreds of requests are refused within a second
//! or two. Callers come back when they are told, and most come back once only.
//!
//! *Without it.* All are told the same short time, come back together, find the upstreams as full as
//! before, and are refused for good.
//!
//! *Rule.* Each refusal books the next place that will be free: returns follow one another at the
//! pace at which the upstreams end requests.

use hyssopfork_wire::clock;
use std::time::Duration;

/// Returns that are booked.
#[derive(Clone, Copy, Debug, Default)]
pub struct Schedule {
    next_return: clock::Instant,
}

impl Schedule {
    /// Books a return: not before `wait`, and `spacing` after the one booked before.
    pub fn reserve(&mut self, now: clock::Instant, wait: Duration, spacing: Duration) -> Duration {
        self.next_return = self.next_return.max(now + wait) + spacing;
        now.until(self.next_return)
    }
}
