//! Schedule of `Retry-After` times.
//!
//! After the loss of a group or during a burst, hundreds of requests are rejected within a second
//! or two. Clients retry when they are told to, and most of them only once. If all were given the
//! same short time, they would return together, find the upstreams as full as before and be
//! rejected for good. Each rejection therefore reserves the next free time: retries follow one
//! another at the rate at which the upstreams complete requests.

use hyssopfork_wire::clock;
use std::time::Duration;

/// Reserved retry times.
#[derive(Clone, Copy, Debug, Default)]
pub struct Schedule {
    next_return: clock::Instant,
}

impl Schedule {
    /// Reserves a retry time: not before `wait`, and `spacing` after the previous one.
    pub fn reserve(&mut self, now: clock::Instant, wait: Duration, spacing: Duration) -> Duration {
        self.next_return = self.next_return.max(now + wait) + spacing;
        now.until(self.next_return)
    }
}
