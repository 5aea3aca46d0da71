//! Every term that a promise about time rests on, and the sums that give the promised bounds.
//!
//! *A zone that operators take out, an upstream that leaves and any other accepted change* bind
//! every process within [`IN_FORCE_BOUND`]. A process acts on its view only under a lease of
//! [`HOLDER_LEASE`], measured on its own clock from when it *sent* the renewal. Only a leader with
//! a quorum lease grants, and a later leader can commit only after that quorum lease has lapsed, so
//! at the moment of any commit no lease has more than [`HOLDER_LEASE`] to run, stretched by
//! [`CLOCK_RATE_ERROR_PERCENT`] where the holder's clock runs slow.
//!
//! *No instance serves for two groups, no group serves without a member*: a member grants for one
//! fencing number at a time, each grant for [`GROUP_GRANT`]; it gives none under a newer number
//! before the last one under the older has lapsed, and none in the first
//! [`GROUP_GRANT_GUARD`] after its process started, when it cannot remember.

use std::time::Duration;

/// Bound on how far two clocks' rates differ while a lease runs, in percent. Quartz stays within
/// 0.02; the margin covers slewed clocks.
pub const CLOCK_RATE_ERROR_PERCENT: u32 = 1;

/// Time between a leader's heartbeats to each voter.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);

/// Least silence of the leader after which a voter stands for election; also the time in which a
/// voter that has heard from a leader, or has just started, gives no vote.
pub const ELECTION_TIMEOUT: Duration = Duration::from_millis(600);

/// Span of the random addition to [`ELECTION_TIMEOUT`].
pub const ELECTION_JITTER: Duration = Duration::from_millis(600);

/// Term of a leader's quorum lease, from when the heartbeat that a quorum answered was sent.
/// Shorter than [`ELECTION_TIMEOUT`] by more than the clock-rate error.
pub const QUORUM_LEASE: Duration = Duration::from_millis(500);

/// Term of the lease that entries and agents hold on the view. Outlasts the loss of a leader
/// (about 0.6 s to 1.5 s), so that an election alone interrupts no service.
pub const HOLDER_LEASE: Duration = Duration::from_millis(2_500);

/// Time between a holder's renewals; also the time after which an unanswered one is tried
/// elsewhere.
pub const RENEWAL_INTERVAL: Duration = Duration::from_millis(500);

/// Longest time that control holds a watch before it answers that nothing has changed.
pub const LONG_POLL_TIMEOUT: Duration = Duration::from_millis(5_000);

/// Upper bound from accepting a change to its being in force in every process.
pub const IN_FORCE_BOUND: Duration = with_clock_drift(HOLDER_LEASE);

/// Silence of an agent after which control counts its instance as missing.
pub const PRESENCE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Term of a member's grant to the group's first member, from when it was asked for.
pub const GROUP_GRANT: Duration = Duration::from_millis(600);

/// Time between the first member's requests for grants.
pub const GROUP_RENEWAL_INTERVAL: Duration = Duration::from_millis(150);

/// Time after which a member may rely on a grant of its having lapsed, on its own clock and from
/// when it answered: the holder counts from an earlier moment, on a clock that may run slow.
pub const GROUP_GRANT_GUARD: Duration = with_clock_drift(GROUP_GRANT);

/// Time between an agent's frames to an entry when the answer has nothing to say.
pub const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(250);

/// Silence on a connection between entry and agent after which another connection is opened and
/// the attempt is taken up on it.
pub const CONNECTION_IDLE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Time between an agent's looks at its back end.
pub const PROBE_INTERVAL: Duration = Duration::from_millis(200);

/// Time that an agent keeps a finished answer so that an entry can fetch it on a new connection.
pub const RESPONSE_RETENTION: Duration = Duration::from_millis(10_000);

/// Time that a process leaving on request gives what is in flight before it ends it with an
/// honest error.
pub const STOP_TIMEOUT: Duration = Duration::from_secs(60);

/// `term` as a clock that runs slow by the rate error may measure it.
pub const fn with_clock_drift(term: Duration) -> Duration {
    let micros = term.as_micros() as u64;
    Duration::from_micros(micros + micros * CLOCK_RATE_ERROR_PERCENT as u64 / 100)
}

const _: () = assert!(
    with_clock_drift(QUORUM_LEASE).as_micros() < ELECTION_TIMEOUT.as_micros(),
    "a quorum lease must lapse before any voter that upheld it may vote for another leader"
);
