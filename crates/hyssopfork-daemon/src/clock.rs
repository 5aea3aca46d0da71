//! The machine's clock as the step functions see it.

use hyssopfork_wire::clock;
use rustix::time;

/// Reads the clock that goes on while the machine is suspended.
///
/// The usual monotonic clock stands still in a suspended machine: a lease would look unexpired
/// after the machine wakes, and an upstream in a zone taken out meanwhile would get new work.
pub fn now() -> clock::Instant {
    let read = time::clock_gettime(time::ClockId::Boottime);
    let micros = read.tv_sec as u64 * 1_000_000 + read.tv_nsec as u64 / 1_000;
    clock::Instant::from_micros(micros)
}
