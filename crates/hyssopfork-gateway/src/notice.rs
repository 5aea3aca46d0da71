//! Numbered log events of an entry, 5200 to 5399.

use crate::{action, ending, event, prompt, readiness, retry_budget, scheduler};
use hyssopfork_fleet::{quarantine, rate};
use hyssopfork_wire::{level, name};
use std::fmt;
use std::net;
use std::time::Duration;

/// A numbered event. Times are counted from the request's arrival.
#[derive(Clone, Debug, PartialEq, strum::EnumDiscriminants)]
#[strum_discriminants(
    name(Kind),
    derive(strum::EnumIter, strum::IntoStaticStr),
    doc = "Kind of a notice."
)]
pub enum Notice {
    /// A declaration has come into force at this entry.
    InForce(u64),
    /// No leader has confirmed the declaration for some time. Requests are served by it.
    LeaderSilent(readiness::Unconfirmed),
    /// A leader states the newest version again.
    LeaderRestored(readiness::Unconfirmed),
    /// A request was sent to an upstream.
    Sent {
        /// Identifier that the client assigned.
        identifier: String,
        /// Route.
        route: name::Route,
        /// Upstream.
        instance: name::Instance,
        /// Number of the attempt.
        attempt: u32,
        /// Estimated requests at the upstream, and its limit.
        load: (f64, f64),
        /// Age of the upstream's last report.
        report_age: Option<Duration>,
        /// Time since arrival.
        after: Duration,
        /// Time until the deadline.
        left: Duration,
    },
    /// No upstream has capacity for a request. The rejection is logged next.
    Full {
        /// Identifier that the client assigned.
        identifier: String,
        /// Upstream that is closest to having capacity; `None` if none is available.
        best: Option<name::Instance>,
        /// Estimated requests at that upstream, and its limit.
        load: Option<(f64, f64)>,
        /// Age of that upstream's last report.
        report_age: Option<Duration>,
    },
    /// A request was queued until an upstream is available.
    Held {
        /// Identifier that the client assigned.
        identifier: String,
        /// Longest time in the queue.
        timeout: Duration,
    },
    /// A request was queued until an upstream has a place. `Dequeued` or `QueueRejected` follows.
    Queued {
        /// Identifier that the client assigned.
        identifier: String,
        /// Rank.
        rank: u32,
        /// Queued requests that precede it.
        ahead: usize,
        /// Predicted time until it gets a place.
        predicted: Duration,
        /// Longest time in the queue.
        timeout: Duration,
    },
    /// A queued request got a place. `Sent` follows.
    Dequeued {
        /// Identifier that the client assigned.
        identifier: String,
        /// Rank.
        rank: u32,
        /// Time in the queue.
        waited: Duration,
    },
    /// A queued request got no place. `Refused` follows.
    QueueRejected {
        /// Identifier that the client assigned.
        identifier: String,
        /// Rank.
        rank: u32,
        /// Time in the queue.
        waited: Duration,
        /// Cause.
        cause: scheduler::Cause,
    },
    /// An attempt failed.
    Failed {
        /// Identifier that the client assigned.
        identifier: String,
        /// Upstream.
        instance: name::Instance,
        /// Reason.
        fault: event::Fault,
        /// Time since the attempt started.
        after: Duration,
        /// Fingerprint of the request and parts of its prompt, if the connection was lost.
        lost: Option<(quarantine::Fingerprint, prompt::Parts)>,
    },
    /// A request moved away from a stalled upstream.
    Moved {
        /// Identifier that the client assigned.
        identifier: String,
        /// Upstream.
        instance: name::Instance,
        /// Time without bytes for the request, and for all requests of the upstream.
        silence: (Duration, Duration),
    },
    /// The retry budget of a pool is used up. Logged once a second at most.
    RetriesDenied {
        /// Pool.
        pool: name::Pool,
        /// Use of the budget.
        usage: retry_budget::Usage,
        /// Entries that the budget is divided among.
        entries: usize,
        /// Time since the view was confirmed.
        view_age: Duration,
    },
    /// A request was rejected.
    Refused {
        /// Identifier that the client assigned.
        identifier: String,
        /// Reason.
        reason: action::Reason,
        /// Time after which the client should retry.
        retry_after: Option<Duration>,
        /// Number of attempts.
        attempts: u32,
        /// End of the last attempt.
        ending: Option<ending::Ending>,
        /// What this entry lacks, if it is not ready.
        unready: Option<readiness::Unready>,
        /// Time since arrival.
        after: Duration,
        /// Time until the deadline.
        left: Duration,
    },
    /// A response was aborted.
    Cut {
        /// Identifier that the client assigned.
        identifier: String,
        /// Reason.
        reason: action::Reason,
        /// Number of attempts.
        attempts: u32,
        /// End of the last attempt.
        ending: Option<ending::Ending>,
        /// Time since arrival.
        after: Duration,
        /// Time until the deadline.
        left: Duration,
    },
    /// A request was completed.
    Answered {
        /// Identifier that the client assigned.
        identifier: String,
        /// Status code.
        status: u16,
        /// Number of attempts.
        attempts: u32,
        /// Time to the first bytes.
        first: Duration,
        /// Time to the last bytes.
        after: Duration,
    },
    /// The client disconnected.
    Gone {
        /// Identifier that the client assigned.
        identifier: String,
        /// Time since arrival.
        after: Duration,
    },
    /// An upstream's process ended with requests in flight.
    Crashed {
        /// Upstream.
        instance: name::Instance,
        /// Requests of this entry whose connection was lost.
        requests: usize,
    },
    /// A quarantined request is sent as a trial, to learn whether it still crashes upstreams.
    Trial {
        /// Identifier that the client assigned.
        identifier: String,
        /// Why it is quarantined.
        cause: quarantine::Cause,
    },
    /// An upstream names a different rate limit than before, or none any more.
    RateNamed {
        /// Upstream.
        instance: name::Instance,
        /// The rate limit.
        rate: Option<rate::Rate>,
    },
    /// An upstream asks this entry to send it nothing for a time.
    PauseRequested {
        /// Upstream.
        instance: name::Instance,
        /// Length of the pause.
        duration: Duration,
    },
    /// An upstream asks for a pause whose length can't be read.
    PauseMalformed(name::Instance),
    /// An upstream states in a response that it leaves.
    UpstreamLeaving(name::Instance),
    /// An upstream is stalled: no stream receives bytes.
    Stalled(name::Instance, Duration),
    /// The coordinator of some groups has sent no totals for some time.
    CoordinatorSilent(net::SocketAddr),
    /// A silent coordinator sends totals again.
    CoordinatorRestored(net::SocketAddr),
    /// The entry accepts no new connections.
    Leaving(usize),
}

impl Notice {
    /// Number in the event catalogue.
    pub const fn number(&self) -> u16 {
        match self {
            Notice::InForce(..) => 5200,
            Notice::LeaderSilent(..) => 5201,
            Notice::LeaderRestored(..) => 5202,
            Notice::Sent { .. } => 5210,
            Notice::Failed { .. } => 5211,
            Notice::Moved { .. } => 5212,
            Notice::Refused { .. } => 5213,
            Notice::Cut { .. } => 5214,
            Notice::Answered { .. } => 5215,
            Notice::Gone { .. } => 5216,
            Notice::Full { .. } => 5217,
            Notice::Held { .. } => 5218,
            Notice::Stalled(..) => 5220,
            Notice::Leaving(..) => 5221,
            Notice::Crashed { .. } => 5222,
            Notice::Trial { .. } => 5223,
            Notice::RateNamed { .. } => 5224,
            Notice::PauseRequested { .. } => 5225,
            Notice::PauseMalformed(..) => 5226,
            Notice::UpstreamLeaving(..) => 5227,
            Notice::RetriesDenied { .. } => 5228,
            Notice::Queued { .. } => 5240,
            Notice::Dequeued { .. } => 5241,
            Notice::QueueRejected { .. } => 5242,
            Notice::CoordinatorSilent(..) => 5250,
            Notice::CoordinatorRestored(..) => 5251,
        }
    }

    /// Severity.
    pub const fn level(&self) -> level::Level {
        match self {
            Notice::Cut { .. }
            | Notice::Crashed { .. }
            | Notice::Stalled(..)
            | Notice::CoordinatorSilent(..)
            | Notice::LeaderSilent(..)
            | Notice::PauseMalformed(..) => level::Level::Warn,
            _ => level::Level::Info,
        }
    }

    /// Name in the event catalogue.
    pub fn name(&self) -> String {
        format!("{:?}", Kind::from(self))
    }

    /// The request that the event concerns.
    pub fn request(&self) -> Option<&str> {
        match self {
            Notice::Sent { identifier, .. }
            | Notice::Failed { identifier, .. }
            | Notice::Moved { identifier, .. }
            | Notice::Full { identifier, .. }
            | Notice::Held { identifier, .. }
            | Notice::Queued { identifier, .. }
            | Notice::Dequeued { identifier, .. }
            | Notice::QueueRejected { identifier, .. }
            | Notice::Trial { identifier, .. }
            | Notice::Refused { identifier, .. }
            | Notice::Cut { identifier, .. }
            | Notice::Answered { identifier, .. }
            | Notice::Gone { identifier, .. } => Some(identifier),
            Notice::InForce(..)
            | Notice::LeaderSilent(..)
            | Notice::LeaderRestored(..)
            | Notice::Crashed { .. }
            | Notice::RateNamed { .. }
            | Notice::PauseRequested { .. }
            | Notice::PauseMalformed(..)
            | Notice::UpstreamLeaving(..)
            | Notice::RetriesDenied { .. }
            | Notice::Stalled(..)
            | Notice::CoordinatorSilent(..)
            | Notice::CoordinatorRestored(..)
            | Notice::Leaving(..) => None,
        }
    }
}

impl fmt::Display for Notice {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Notice::InForce(version) => write!(formatter, "declaration {version} is in force"),
            Notice::LeaderSilent(unconfirmed) if unconfirmed.version == 0 => {
                write!(formatter, "no declaration: no leader has answered {unconfirmed}")
            }
            Notice::LeaderSilent(unconfirmed) => write!(
                formatter,
                "declaration may be out of date: no leader answers; requests are served by it {unconfirmed}"
            ),
            Notice::LeaderRestored(unconfirmed) => {
                write!(formatter, "a leader answers again {unconfirmed}")
            }
            Notice::Sent { route, instance, attempt, load, report_age, after, left, .. } => write!(
                formatter,
                "sent to {instance} as attempt {attempt} route={route} load={:.1} limit={:.1} report_age_ms={} after_ms={} left_ms={}",
                load.0,
                load.1,
                millis(*report_age),
                after.as_millis(),
                left.as_millis()
            ),
            Notice::Full { best: Some(best), load: Some(load), report_age, .. } => write!(
                formatter,
                "no capacity: {best} is closest load={:.1} limit={:.1} report_age_ms={}",
                load.0,
                load.1,
                millis(*report_age)
            ),
            Notice::Full { .. } => write!(
                formatter,
                "no capacity: no upstream is available (cold, silent or unreachable)"
            ),
            Notice::Held { timeout, .. } => {
                write!(
                    formatter,
                    "queued until an upstream is available, for_ms={}",
                    timeout.as_millis()
                )
            }
            Notice::Queued { rank, ahead, predicted, timeout, .. } => write!(
                formatter,
                "queued until an upstream has a place rank={rank} ahead={ahead} predicted_ms={} for_ms={}",
                predicted.as_millis(),
                timeout.as_millis()
            ),
            Notice::Dequeued { rank, waited, .. } => {
                write!(formatter, "got a place rank={rank} queued_ms={}", waited.as_millis())
            }
            Notice::QueueRejected { rank, waited, cause, .. } => write!(
                formatter,
                "got no place: {cause} rank={rank} queued_ms={}",
                waited.as_millis()
            ),
            Notice::Failed { instance, fault, after, lost, .. } => {
                let after = after.as_millis();
                write!(formatter, "attempt at {instance} ended: {fault} after_ms={after}")?;
                match lost {
                    Some((fingerprint, prompt)) => {
                        write!(formatter, " fingerprint={fingerprint} prompt={prompt}")
                    }
                    None => Ok(()),
                }
            }
            Notice::Crashed { instance, requests } => {
                write!(
                    formatter,
                    "{instance} crashed with {requests} requests of this entry in flight"
                )
            }
            Notice::Moved { instance, silence, .. } => write!(
                formatter,
                "moved away from {instance}: silent_ms={} all_silent_ms={}",
                silence.0.as_millis(),
                silence.1.as_millis()
            ),
            Notice::Refused {
                reason, retry_after, attempts, ending, unready, after, left, ..
            } => {
                write!(
                    formatter,
                    "rejected: {reason} attempts={attempts} retry_after_ms={} after_ms={}",
                    millis(*retry_after),
                    after.as_millis()
                )?;
                if let Some(unready) = unready {
                    write!(formatter, " {unready}")?;
                }
                write_ending(formatter, *ending, *left)
            }
            Notice::Cut { reason, attempts, ending, after, left, .. } => {
                write!(
                    formatter,
                    "response aborted: {reason} attempts={attempts} after_ms={}",
                    after.as_millis()
                )?;
                write_ending(formatter, *ending, *left)
            }
            Notice::Answered { status, attempts, first, after, .. } => write!(
                formatter,
                "answered {status} attempts={attempts} first_ms={} after_ms={}",
                first.as_millis(),
                after.as_millis()
            ),
            Notice::Gone { after, .. } => {
                write!(formatter, "client disconnected after_ms={}", after.as_millis())
            }
            Notice::RateNamed { instance, rate: Some(rate) } => {
                write!(
                    formatter,
                    "{instance} limits all entries together to {rate} requests per second"
                )
            }
            Notice::RateNamed { instance, rate: None } => {
                write!(formatter, "{instance} no longer names a rate limit")
            }
            Notice::PauseRequested { instance, duration } => {
                write!(formatter, "{instance} asks for a pause for_ms={}", duration.as_millis())
            }
            Notice::PauseMalformed(instance) => write!(
                formatter,
                "{instance} asks for a pause that can't be read; send a number of seconds in Retry-After"
            ),
            Notice::UpstreamLeaving(instance) => {
                write!(formatter, "{instance} states that it leaves and gets no new requests")
            }
            Notice::RetriesDenied { pool, usage, entries, view_age } => write!(
                formatter,
                "retry budget of {pool} is used up requests={} retries={} limit={:.1} entries={entries} view_age_ms={}",
                usage.requests,
                usage.retries,
                usage.limit,
                view_age.as_millis()
            ),
            Notice::Trial { cause, .. } => {
                write!(formatter, "quarantined request sent as a trial of {cause}")
            }
            Notice::Stalled(instance, silence) => {
                write!(formatter, "{instance} is stalled for_ms={}", silence.as_millis())
            }
            Notice::CoordinatorSilent(entry) => {
                write!(formatter, "{entry} sends no totals; the load of its groups is estimated")
            }
            Notice::CoordinatorRestored(entry) => {
                write!(formatter, "{entry} sends totals again")
            }
            Notice::Leaving(open) => {
                write!(formatter, "accepts no new connections; {open} requests are open")
            }
        }
    }
}

/// Writes how the last attempt ended, and the time that the request had left; nothing without an
/// attempt.
fn write_ending(
    formatter: &mut fmt::Formatter<'_>,
    ending: Option<ending::Ending>,
    left: Duration,
) -> fmt::Result {
    match ending {
        Some(ending) => write!(formatter, " {ending} left_ms={}", left.as_millis()),
        None => Ok(()),
    }
}

/// Milliseconds; -1 for none.
fn millis(time: Option<Duration>) -> i64 {
    time.map_or(-1, |time| time.as_millis() as i64)
}
