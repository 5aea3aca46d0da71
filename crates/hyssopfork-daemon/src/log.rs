//! Logs the cores' numbered events and records their measurements.

use crate::{clock, notice};
use hyssopfork_agent::notice as agent;
use hyssopfork_consensus::notice as consensus;
use hyssopfork_control::notice as control;
use hyssopfork_entry::{measurement, notice as entry};
use hyssopfork_fleet::notice as fleet;
use hyssopfork_gateway::{
    action as gateway_action, measurement as gateway_measure, notice as gateway,
};
use hyssopfork_telemetry::{log, metrics};
use hyssopfork_watch::{notice as watch, watcher};
use hyssopfork_wire::{level, refusal};
use std::fmt;
use std::time::Duration;

/// A numbered event of any role.
pub trait Numbered: fmt::Display {
    /// Number in the catalogue of events.
    fn number(&self) -> u16;
    /// Severity.
    fn level(&self) -> level::Level;
    /// Name in the catalogue of events.
    fn name(&self) -> String;
    /// Identifier of the request that the event concerns.
    fn request(&self) -> Option<&str> {
        None
    }
}

impl Numbered for fleet::Notice {
    fn number(&self) -> u16 {
        fleet::Notice::number(self)
    }

    fn level(&self) -> level::Level {
        fleet::Notice::level(self)
    }

    fn name(&self) -> String {
        fleet::Notice::name(self)
    }
}

impl Numbered for gateway::Notice {
    fn number(&self) -> u16 {
        gateway::Notice::number(self)
    }

    fn level(&self) -> level::Level {
        gateway::Notice::level(self)
    }

    fn name(&self) -> String {
        gateway::Notice::name(self)
    }

    fn request(&self) -> Option<&str> {
        gateway::Notice::request(self)
    }
}

macro_rules! numbered {
    ($($notice:ident { $($outer:ident),* }),* $(,)?) => {$(
        impl Numbered for $notice::Notice {
            fn number(&self) -> u16 {
                $notice::Notice::number(self)
            }

            fn level(&self) -> level::Level {
                $notice::Notice::level(self)
            }

            fn name(&self) -> String {
                match self {
                    $($notice::Notice::$outer(inner) => inner.name(),)*
                    _ => format!("{:?}", $notice::Kind::from(self)),
                }
            }
        }
    )*};
}

numbered!(notice {}, agent { Watch }, entry { Watch }, watch {}, control { Log }, consensus {});

/// Logs a numbered event.
pub fn notice(notice: &impl Numbered) {
    let request = notice.request().map(|request| ("request", request.to_owned()));
    let fields = request.as_slice();
    log::emit(notice.number(), notice.level(), &notice.name(), &notice.to_string(), fields);
}

/// Records a finished request in the metrics.
pub fn record_measurement(registry: &metrics::Registry, measurement: &measurement::Measurement) {
    if let measurement::Outcome::Rejected(reason, ran) = measurement.outcome {
        let refusal = refusal::Refusal { reason, ran, retry_after: None };
        registry.count_rejection(measurement.team.as_ref(), &refusal);
    }
    let (Some(team), Some(class)) = (&measurement.team, measurement.class) else { return };
    registry.observe_wait(team, class, measurement.wait_time);
    if let Some(first) = measurement.time_to_first_byte {
        registry.observe_first_token(team, class, first);
    }
    if let Some(between) = measurement.mean_event_interval {
        registry.observe_token_interval(team, class, between);
    }
    for _ in 1..measurement.attempts {
        registry.count_retry(team, class);
    }
    match measurement.outcome {
        measurement::Outcome::Completed => {
            registry.observe_response(team, class, measurement.total_time)
        }
        measurement::Outcome::Aborted(_) => registry.count_aborted_response(team, class),
        measurement::Outcome::Rejected(..) | measurement::Outcome::ClientGone => {}
    }
}

/// Records the lease and the view of a watcher.
pub fn record_watcher(registry: &metrics::Registry, watcher: &watcher::Watcher) {
    let now = clock::now();
    let left = watcher.lease_expires_at().map_or(Duration::ZERO, |until| now.until(until));
    registry.set_lease_remaining(left);
    let view = watcher.view();
    registry.set_versions(view.configuration.number, view.version);
}

/// Records a finished request of an edge process in the metrics.
pub fn record_edge_measurement(
    registry: &metrics::Registry,
    measurement: &gateway_measure::Measurement,
) {
    if let gateway_measure::Outcome::Rejected(reason) = measurement.outcome {
        registry.count_rejection(measurement.team.as_ref(), &to_refusal(reason));
    }
    if let Some(queue) = measurement.queue {
        registry.observe_queue_time(queue.rank, queue.time);
    }
    let (Some(team), Some(class)) = (&measurement.team, measurement.class) else { return };
    if let Some(ratio) = measurement.first_event_ratio {
        registry.observe_prediction_ratio(team, class, ratio);
    }
    for _ in 1..measurement.attempts {
        registry.count_retry(team, class);
    }
    match measurement.outcome {
        gateway_measure::Outcome::Completed(first) => {
            registry.observe_first_token(team, class, first);
            registry.observe_response(team, class, measurement.total_time);
        }
        gateway_measure::Outcome::Aborted => registry.count_aborted_response(team, class),
        gateway_measure::Outcome::Rejected(_) => {}
    }
}

fn to_refusal(reason: gateway_action::Reason) -> refusal::Refusal {
    use gateway_action::Reason;
    let mapped = match reason {
        Reason::NotReady => refusal::Reason::Stale,
        Reason::NoRoute => refusal::Reason::NoRoute,
        Reason::Unauthorized => refusal::Reason::Unauthorized,
        Reason::NoUpstream | Reason::NotAccepted => refusal::Reason::NoUpstream,
        Reason::Overloaded | Reason::TooLarge | Reason::Paused | Reason::Memory => {
            refusal::Reason::Overloaded
        }
        Reason::TooLate | Reason::TimedOut => refusal::Reason::Deadline,
        Reason::Quarantined | Reason::Failed => refusal::Reason::UpstreamFailed,
    };
    let ran = if reason.is_not_run() { refusal::Ran::NotRun } else { refusal::Ran::MayHaveRun };
    refusal::Refusal { reason: mapped, ran, retry_after: None }
}
