//! Admission: whether a request may wait, by the time that it would wait.
//!
//! *Pattern.* More arrives than can be served, for seconds (a burst) or for hours (overload).
//!
//! *Without it.* The queue grows until every request in it is older than its deadline; all service
//! goes to callers that have given up, and goodput falls towards zero though every upstream is
//! busy.
//!
//! *Rule.* A queue is bounded by time: a request is refused at once when its estimated wait and
//! the usual time until an answer begins don't fit before its deadline. The refusal names when to
//! come back, from the measured drain rate, with jitter.

use crate::random;
use hyssopfork_wire::{clock, refusal};
use std::time::Duration;

/// Share of the time before the deadline that the estimate may fill. The estimate errs by the
/// spread of costs and by teams that overtake later; the rest is room for that error, so that who
/// is queued is served and who is refused is refused at once. Tried from 0.75 to 0.95 at twice the
/// capacity: goodput stays at 0.998 and more, refusals given at once fall from 0.999 to 0.967.
pub const MAX_WAIT_SHARE: f64 = 0.75;

/// Shortest time named to a refused caller: less would bring it back within the same burst.
pub const MIN_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Longest time named to a refused caller: after it the measured rate says nothing any more.
pub const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);

/// Whether a request with `deadline` may wait `wait` and then `begin` until its answer begins.
/// An unknown wait is taken for none.
pub fn fits_deadline(
    now: clock::Instant,
    deadline: clock::Instant,
    wait: Option<Duration>,
    start_latency: Duration,
) -> bool {
    let left = now.until(deadline);
    let wait = wait.unwrap_or_default();
    !left.is_zero() && wait + start_latency <= left.mul_f64(MAX_WAIT_SHARE)
}

/// When to come back, if serving what waits now takes `wait`: that time, and up to as much again
/// by `random`, so that callers refused together don't return together.
pub fn retry_after(wait: Option<Duration>, random: u64) -> Duration {
    let base = wait.unwrap_or_default().max(MIN_RETRY_AFTER);
    let jitter = base.mul_f64(random::fraction(random));
    (base + jitter).min(MAX_RETRY_AFTER)
}

/// The refusal of a request that cannot be served before its deadline.
pub fn rejection(reason: refusal::Reason, wait: Option<Duration>, random: u64) -> refusal::Refusal {
    refusal::Refusal::not_run(reason, Some(retry_after(wait, random)))
}
