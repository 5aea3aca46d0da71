//! Deadline-based admission control: rejects a request whose estimated wait exceeds its deadline.
//!
//! When more requests arrive than can be served, for seconds (a burst) or for hours (overload), an
//! unbounded queue grows until every request in it is past its deadline: all service goes to
//! clients that have given up, and goodput falls towards zero although every upstream is busy.
//!
//! The queue is therefore bounded by time: a request is rejected immediately if its estimated wait
//! plus the usual time to the start of a response does not fit before its deadline. The rejection
//! carries a retry-after time derived from the measured throughput, with jitter.

use crate::random;
use hyssopfork_wire::{clock, refusal};
use std::time::Duration;

/// Largest share of the time to the deadline that the estimated wait may take. The estimate errs by
/// the spread of costs and by teams that overtake later; the remaining share absorbs that error, so
/// that queued requests are served in time and the others are rejected immediately. At twice the
/// capacity, 0.95 keeps goodput at 0.998 or more, as 0.75 does, but lowers the share of rejections
/// given immediately from 0.999 to 0.967.
pub const MAX_WAIT_SHARE: f64 = 0.75;

/// Shortest retry-after time: a shorter one would bring the client back within the same burst.
pub const MIN_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Longest retry-after time: beyond it the measured throughput predicts nothing.
pub const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);

/// Whether a request with `deadline` may wait for `wait` and then `start_latency` until its
/// response starts. An unknown wait counts as zero.
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

/// Retry-after time if serving the current queue takes `wait`: that time, plus up to as much again
/// by `random`, so that clients rejected together do not return together.
pub fn retry_after(wait: Option<Duration>, random: u64) -> Duration {
    let base = wait.unwrap_or_default().max(MIN_RETRY_AFTER);
    let jitter = base.mul_f64(random::fraction(random));
    (base + jitter).min(MAX_RETRY_AFTER)
}

/// Rejection of a request that cannot be served before its deadline.
pub fn rejection(reason: refusal::Reason, wait: Option<Duration>, random: u64) -> refusal::Refusal {
    refusal::Refusal::not_run(reason, Some(retry_after(wait, random)))
}
