//! Durations of leases, intervals and timeouts, and the guarantees that follow from them.
//!
//! An accepted change (a zone taken out, an upstream that leaves) is in force in every process
//! within [`IN_FORCE_BOUND`]. A process acts on its view only while it holds a lease of
//! [`HOLDER_LEASE`], measured on its own clock from when it sent the renewal. Only a leader with a
//! quorum lease grants leases, and a later leader commits only after that quorum lease has expired.
//! So at any commit no lease has more than [`HOLDER_LEASE`] left, or longer by
//! [`CLOCK_RATE_ERROR_PERCENT`] if the holder's clock runs slow.
//!
//! No instance serves two groups at once, and no group serves without a member: a member grants for
//! one fencing number at a time, each grant for [`GROUP_GRANT`]. It grants under a newer number
//! only after its last grant under the older one has expired, and not in the first
//! [`GROUP_GRANT_GUARD`] after its process started, because it does not know the grants of the
//! process before.

use std::time::Duration;

/// Maximum difference between the rates of two clocks while a lease runs, in percent. Quartz
/// clocks differ by at most 0.02 %; the margin covers slewed clocks.
pub const CLOCK_RATE_ERROR_PERCENT: u32 = 1;

/// Interval between a leader's heartbeats to each voter.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);

/// Minimum time without a message from the leader after which a voter starts an election; also the
/// time for which a voter that has heard from a leader, or has just started, grants no vote.
pub const ELECTION_TIMEOUT: Duration = Duration::from_millis(600);

/// Maximum random addition to [`ELECTION_TIMEOUT`].
pub const ELECTION_JITTER: Duration = Duration::from_millis(600);

/// Duration of a leader's quorum lease, from when it sent the heartbeat that a quorum acknowledged.
/// Shorter than [`ELECTION_TIMEOUT`] by more than the clock rate error.
pub const QUORUM_LEASE: Duration = Duration::from_millis(500);

/// Duration of the lease that entries and agents hold on the view. Longer than the failover to
/// another leader (about 0.6 s to 1.5 s), so that an election does not interrupt service.
pub const HOLDER_LEASE: Duration = Duration::from_millis(2_500);

/// Interval between a holder's renewals; also the timeout of a renewal, after which the holder
/// tries another control instance.
pub const RENEWAL_INTERVAL: Duration = Duration::from_millis(500);

/// Time after which control responds to a watch even if nothing has changed.
pub const LONG_POLL_TIMEOUT: Duration = Duration::from_millis(5_000);

/// Maximum time from when a change is accepted to when it is in force in every process.
pub const IN_FORCE_BOUND: Duration = with_clock_drift(HOLDER_LEASE);

/// Time without a renewal from an agent after which control counts its instance as absent.
pub const PRESENCE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Duration of a member's grant to the group's first member, from when it was requested.
pub const GROUP_GRANT: Duration = Duration::from_millis(600);

/// Interval between the first member's requests for grants.
pub const GROUP_RENEWAL_INTERVAL: Duration = Duration::from_millis(150);

/// Time after which a member can treat its grant as expired, on its own clock and from when it
/// responded. The first member counts from an earlier moment, but its clock may run slow.
pub const GROUP_GRANT_GUARD: Duration = with_clock_drift(GROUP_GRANT);

/// Interval between an agent's keep-alive frames to an entry while the response has no other frame.
pub const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(250);

/// Time without a frame on a connection between entry and agent after which the entry resumes the
/// attempt on another connection.
pub const CONNECTION_IDLE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Interval between an agent's probes of its upstream.
pub const PROBE_INTERVAL: Duration = Duration::from_millis(200);

/// Time for which an agent keeps a finished response so that an entry can fetch it on a new
/// connection.
pub const RESPONSE_RETENTION: Duration = Duration::from_millis(10_000);

/// Time that a stopping process gives its requests in flight before it ends them with an error.
pub const STOP_TIMEOUT: Duration = Duration::from_secs(60);

/// Real time that may pass while a clock slow by [`CLOCK_RATE_ERROR_PERCENT`] measures `duration`.
pub const fn with_clock_drift(duration: Duration) -> Duration {
    let micros = duration.as_micros() as u64;
    Duration::from_micros(micros + micros * CLOCK_RATE_ERROR_PERCENT as u64 / 100)
}

const _: () = assert!(
    with_clock_drift(QUORUM_LEASE).as_micros() < ELECTION_TIMEOUT.as_micros(),
    "a quorum lease must expire before a voter that acknowledged it may vote for another leader"
);
