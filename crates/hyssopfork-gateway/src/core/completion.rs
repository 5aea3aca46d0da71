//! Ends of requests: each request ends exactly once.

use super::Core;
use crate::{action, measurement, notice, readiness, request, target};
use std::time::Duration;

/// Shortest `Retry-After`: an earlier retry would find the same state.
pub(super) const MIN_RETRY_AFTER: Duration = Duration::from_millis(150);

/// Shortest `Retry-After` of a request that will be late in any case.
const MIN_LATE_RETRY_AFTER: Duration = Duration::from_millis(600);

/// Longest `Retry-After`: the current state says little about later times.
pub(super) const MAX_RETRY_AFTER: Duration = Duration::from_millis(1_500);

impl Core {
    pub(super) fn complete(&mut self, number: u64, status: u16) {
        let Some(request) = self.remove_request(number) else { return };
        let first_bytes_at = request.first_bytes_at.unwrap_or(self.now);
        self.measure(
            &request,
            measurement::Outcome::Completed(first_bytes_at.since(request.arrived_at)),
        );
        self.log(notice::Notice::Answered {
            identifier: request.identifier,
            status,
            attempts: request.attempt_count,
            first: first_bytes_at.since(request.arrived_at),
            after: self.now.since(request.arrived_at),
        });
    }

    /// Ends a request without an upstream's response. Once the head has been forwarded, the
    /// response can only be aborted; once work may have run, the reason must not claim that it has
    /// not.
    pub(super) fn end_without_response(
        &mut self,
        number: u64,
        reason: action::Reason,
        wait: Duration,
    ) {
        let Some(request) = self.remove_request(number) else { return };
        self.scheduling.remove(number);
        let may_have_run = request.possible_runs > 0 && reason.is_not_run();
        let reason = if may_have_run { action::Reason::Failed } else { reason };
        if reason == action::Reason::Overloaded {
            self.count_missed(request.kind(), request.rank);
        }
        let after = self.now.since(request.arrived_at);
        let left = self.now.until(request.deadline);
        if request.head_forwarded {
            self.decide(number, action::Decision::Abort);
            self.measure(&request, measurement::Outcome::Aborted);
            return self.log(notice::Notice::Cut {
                identifier: request.identifier,
                reason,
                attempts: request.attempt_count,
                ending: request.ending,
                after,
                left,
            });
        }
        let retry_after = match reason {
            action::Reason::Quarantined => Some(wait),
            reason => reason.is_not_run().then(|| self.retry_after(&request, reason, wait)),
        };
        self.measure(&request, measurement::Outcome::Rejected(reason));
        let rejection = action::Rejection::new(reason, retry_after);
        self.decide(number, action::Decision::Reject(rejection));
        self.log(notice::Notice::Refused {
            identifier: request.identifier,
            reason,
            retry_after,
            attempts: request.attempt_count,
            ending: request.ending,
            unready: None,
            after,
            left,
        });
    }

    /// Time after which the client of a rejected request should retry.
    fn retry_after(
        &mut self,
        request: &request::Request,
        reason: action::Reason,
        wait: Duration,
    ) -> Duration {
        let now = self.now;
        let serves = |target: &&target::Target| {
            target.pool == request.pool
                && target.model == request.model
                && !target.is_suspended
                && !target.is_stalled(now)
        };
        let throughput: f64 =
            self.targets.values().filter(serves).map(|it| it.load.throughput()).sum();
        let own_throughput = throughput / self.entry_count() as f64;
        let spacing = if own_throughput > 0.0 {
            Duration::from_secs_f64(1.0 / own_throughput)
        } else {
            Duration::ZERO
        };
        if reason == action::Reason::Overloaded && self.is_scheduled(request) {
            return self.return_time(request, wait, spacing);
        }
        // A request that can no longer be on time benefits from spare capacity, not from an early
        // retry.
        let wait = if request.on_time_until < now + MIN_RETRY_AFTER {
            wait.max(MIN_LATE_RETRY_AFTER)
        } else {
            wait
        };
        // The end of a pause is known, and clients that return together would meet the next one.
        let max = match reason {
            action::Reason::Paused => wait + MAX_RETRY_AFTER,
            _ => MAX_RETRY_AFTER,
        };
        let key = (request.pool.clone(), request.model.clone());
        let schedule = self.retry_schedules.entry(key).or_default();
        schedule.reserve(now, wait, spacing.min(MAX_RETRY_AFTER)).clamp(MIN_RETRY_AFTER, max)
    }

    pub(super) fn measure(&mut self, request: &request::Request, outcome: measurement::Outcome) {
        self.actions.push(action::Action::Measure(measurement::Measurement {
            team: request.team.clone(),
            class: Some(request.class()),
            outcome,
            attempts: request.attempt_count,
            first_event_ratio: request.first_event_ratio,
            total_time: self.now.since(request.arrived_at),
            queue: request.queue_time.map(|time| measurement::Queue { rank: request.rank, time }),
        }));
    }

    /// Rejects a request without a route, team or pool, or without a declaration to look these up
    /// in.
    pub(super) fn reject_unmatched(
        &mut self,
        number: u64,
        identifier: String,
        rejection: action::Rejection,
    ) {
        self.reject_arrival(number, identifier, rejection, None, Duration::ZERO);
    }

    /// Rejects an arrival `after` it was received; `unready` is what this entry lacks.
    pub(super) fn reject_arrival(
        &mut self,
        number: u64,
        identifier: String,
        rejection: action::Rejection,
        unready: Option<readiness::Unready>,
        after: Duration,
    ) {
        self.actions.push(action::Action::Measure(measurement::Measurement {
            team: None,
            class: None,
            outcome: measurement::Outcome::Rejected(rejection.reason),
            attempts: 0,
            first_event_ratio: None,
            total_time: Duration::ZERO,
            queue: None,
        }));
        self.decide(number, action::Decision::Reject(rejection));
        self.log(notice::Notice::Refused {
            identifier,
            reason: rejection.reason,
            retry_after: rejection.retry_after,
            attempts: 0,
            ending: None,
            unready,
            after,
            left: Duration::ZERO,
        });
    }
}
