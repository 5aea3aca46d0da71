//! Numbered events of an entry that sends straight to upstreams, 5200 to 5399.

use crate::{action, event};
use hyssopfork_fleet::{quarantine, rate};
use hyssopfork_wire::{level, name};
use std::fmt;
use std::time::Duration;

/// A numbered event. Times are counted from the request's arrival.
#[derive(Clone, Debug, PartialEq, strum::EnumDiscriminants)]
#[strum_discriminants(
    name(Kind),
    derive(strum::EnumIter, strum::IntoStaticStr),
    doc = "Kind of a notice."
)]
pub enum Notice {
    /// The declaration that this entry acts on.
    InForce(u64),
    /// A request was sent to an upstream.
    Sent {
        /// The caller's identifier.
        identifier: String,
        /// Route.
        route: name::Route,
        /// Upstream.
        instance: name::Instance,
        /// Which attempt this is.
        attempt: u32,
        /// Requests that the upstream was believed to have, and its limit.
        load: (f64, f64),
        /// Age of its last report.
        report_age: Option<Duration>,
        /// Time since arrival.
        after: Duration,
        /// Time until the request's time is over.
        left: Duration,
    },
    /// No upstream has room for a request, which is refused with the next line.
    Full {
        /// The caller's identifier.
        identifier: String,
        /// Upstream that came closest; `None` where none could be asked at all.
        best: Option<name::Instance>,
        /// Requests that it was believed to have, and its limit.
        load: Option<(f64, f64)>,
        /// Age of its last report.
        report_age: Option<Duration>,
    },
    /// A request is queued until an upstream is available.
    Held {
        /// The caller's identifier.
        identifier: String,
        /// For how long at most.
        time: Duration,
    },
    /// An attempt failed.
    Failed {
        /// The caller's identifier.
        identifier: String,
        /// Upstream.
        instance: name::Instance,
        /// Why.
        fault: event::Fault,
        /// Time since the attempt began.
        after: Duration,
        /// Fingerprint of the request, where the connection broke off.
        fingerprint: Option<quarantine::Fingerprint>,
    },
    /// A request was taken away from an upstream that stands still.
    Moved {
        /// The caller's identifier.
        identifier: String,
        /// Upstream.
        instance: name::Instance,
        /// Silence of the request, and of all requests there.
        silence: (Duration, Duration),
    },
    /// A request was refused.
    Refused {
        /// The caller's identifier.
        identifier: String,
        /// Why.
        reason: action::Reason,
        /// When to come back.
        retry_after: Option<Duration>,
        /// Attempts made.
        attempts: u32,
        /// Time since arrival.
        after: Duration,
    },
    /// An answer was broken off.
    Cut {
        /// The caller's identifier.
        identifier: String,
        /// Why it could not go on.
        reason: action::Reason,
        /// Attempts made.
        attempts: u32,
        /// Time since arrival.
        after: Duration,
    },
    /// A request was answered.
    Answered {
        /// The caller's identifier.
        identifier: String,
        /// Status code.
        status: u16,
        /// Attempts made.
        attempts: u32,
        /// Time to the first bytes.
        first: Duration,
        /// Time to the last.
        after: Duration,
    },
    /// The caller went away.
    Gone {
        /// The caller's identifier.
        identifier: String,
        /// Time since arrival.
        after: Duration,
    },
    /// An upstream's process ended while requests ran there.
    Crashed {
        /// Upstream.
        instance: name::Instance,
        /// Requests of this entry that broke off.
        requests: usize,
    },
    /// A quarantined request is sent as a trial, to learn whether it still crashes upstreams.
    Trial {
        /// The caller's identifier.
        identifier: String,
        /// Fingerprint of the request.
        fingerprint: quarantine::Fingerprint,
    },
    /// An upstream names another rate than before, or none any more.
    RateNamed {
        /// Upstream.
        instance: name::Instance,
        /// The rate.
        rate: Option<rate::Rate>,
    },
    /// Everything stands still on an upstream.
    Stalled(name::Instance, Duration),
    /// The entry takes no new connections.
    Leaving(usize),
}

impl Notice {
    /// Number in the catalogue of events.
    pub const fn number(&self) -> u16 {
        match self {
            Notice::InForce(..) => 5200,
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
        }
    }

    /// How much it matters.
    pub const fn level(&self) -> level::Level {
        match self {
            Notice::Cut { .. } | Notice::Crashed { .. } | Notice::Stalled(..) => level::Level::Warn,
            _ => level::Level::Info,
        }
    }

    /// Name in the catalogue of events.
    pub fn name(&self) -> String {
        format!("{:?}", Kind::from(self))
    }

    /// The request that it is about.
    pub fn request(&self) -> Option<&str> {
        match self {
            Notice::Sent { identifier, .. }
            | Notice::Failed { identifier, .. }
            | Notice::Moved { identifier, .. }
            | Notice::Full { identifier, .. }
            | Notice::Held { identifier, .. }
            | Notice::Trial { identifier, .. }
            | Notice::Refused { identifier, .. }
            | Notice::Cut { identifier, .. }
            | Notice::Answered { identifier, .. }
            | Notice::Gone { identifier, .. } => Some(identifier),
            Notice::InForce(..)
            | Notice::Crashed { .. }
            | Notice::RateNamed { .. }
            | Notice::Stalled(..)
            | Notice::Leaving(..) => None,
        }
    }
}

impl fmt::Display for Notice {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Notice::InForce(version) => write!(formatter, "acts on declaration {version}"),
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
                "no room: {best} comes closest load={:.1} limit={:.1} report_age_ms={}",
                load.0,
                load.1,
                millis(*report_age)
            ),
            Notice::Full { .. } => write!(
                formatter,
                "no room: no upstream can be asked now (cold, silent or out of reach)"
            ),
            Notice::Held { time, .. } => {
                write!(formatter, "held until somebody serves it, for_ms={}", time.as_millis())
            }
            Notice::Failed { instance, fault, after, fingerprint, .. } => {
                let after = after.as_millis();
                write!(formatter, "attempt at {instance} ended: {fault} after_ms={after}")?;
                match fingerprint {
                    Some(fingerprint) => write!(formatter, " fingerprint={fingerprint}"),
                    None => Ok(()),
                }
            }
            Notice::Crashed { instance, requests } => {
                write!(formatter, "{instance} ended while it ran {requests} requests of this entry")
            }
            Notice::Moved { instance, silence, .. } => write!(
                formatter,
                "taken away from {instance}: silent_ms={} all_silent_ms={}",
                silence.0.as_millis(),
                silence.1.as_millis()
            ),
            Notice::Refused { reason, retry_after, attempts, after, .. } => write!(
                formatter,
                "refused: {reason} attempts={attempts} retry_after_ms={} after_ms={}",
                millis(*retry_after),
                after.as_millis()
            ),
            Notice::Cut { reason, attempts, after, .. } => write!(
                formatter,
                "answer broken off: {reason} attempts={attempts} after_ms={}",
                after.as_millis()
            ),
            Notice::Answered { status, attempts, first, after, .. } => write!(
                formatter,
                "answered {status} attempts={attempts} first_ms={} after_ms={}",
                first.as_millis(),
                after.as_millis()
            ),
            Notice::Gone { after, .. } => {
                write!(formatter, "the caller went away after_ms={}", after.as_millis())
            }
            Notice::RateNamed { instance, rate: Some(rate) } => {
                write!(formatter, "{instance} takes {rate} requests a second of all entries")
            }
            Notice::RateNamed { instance, rate: None } => {
                write!(formatter, "{instance} names no rate limit any more")
            }
            Notice::Trial { fingerprint, .. } => {
                write!(formatter, "quarantined, and sent as a trial fingerprint={fingerprint}")
            }
            Notice::Stalled(instance, silence) => {
                write!(
                    formatter,
                    "everything stands still on {instance} for_ms={}",
                    silence.as_millis()
                )
            }
            Notice::Leaving(open) => {
                write!(formatter, "takes no new connections; {open} requests are open")
            }
        }
    }
}

/// Milliseconds; -1 for none.
fn millis(time: Option<Duration>) -> i64 {
    time.map_or(-1, |time| time.as_millis() as i64)
}
