//! The clock that is passed to the roles' step functions.

use hyssopfork_wire::clock;
use rustix::time;

/// Reads the boot-time clock, which includes time while the machine is suspended.
///
/// The monotonic clock stops while the machine is suspended: a lease would look unexpired after it
/// resumes, and an upstream in a zone that was taken out meanwhile would get new work.
pub fn now() -> clock::Instant {
    let read = time::clock_gettime(time::ClockId::Boottime);
    let micros = read.tv_sec as u64 * 1_000_000 + read.tv_nsec as u64 / 1_000;
    clock::Instant::from_micros(micros)
}
