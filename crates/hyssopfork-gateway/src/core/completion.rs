//! Endings: each request gets exactly one.

use super::Core;
use crate::{action, measurement, notice, request, target};
use std::time::Duration;

/// Least time to come back after; a retry that is sooner finds the same state.
pub(super) const MIN_RETRY_AFTER: Duration = Duration::from_millis(150);

/// Least `Retry-After` of a request that will be late in any case.
const MIN_LATE_RETRY_AFTER: Duration = Duration::from_millis(600);

/// Longest time to come back after: what is known now says little of what will be later.
const MAX_RETRY_AFTER: Duration = Duration::from_millis(1_500);

impl Core {
    pub(super) fn complete(&mut self, number: u64, status: u16) {
        let Some(request) = self.requests.remove(&number) else { return };
        let begun = request.first_bytes_at.unwrap_or(self.now);
        self.measure(&request, measurement::Outcome::Completed(begun.since(request.arrived_at)));
        self.log(notice::Notice::Answered {
            identifier: request.identifier,
            status,
            attempts: request.attempt_count,
            first: begun.since(request.arrived_at),
            after: self.now.since(request.arrived_at),
        });
    }

    /// Ends a request without an answer of an upstream. Once its head is out the answer can only be
    /// broken off; once work may have run, "not run" would be a lie.
    pub(super) fn end_without_response(
        &mut self,
        number: u64,
        reason: action::Reason,
        wait: Duration,
    ) {
        let Some(request) = self.requests.remove(&number) else { return };
        let ran = request.possible_runs > 0 && reason.is_not_run();
        let reason = if ran { action::Reason::Failed } else { reason };
        let after = self.now.since(request.arrived_at);
        if request.head_forwarded {
            self.decide(number, action::Decision::Abort);
            self.measure(&request, measurement::Outcome::Aborted);
            let (identifier, attempts) = (request.identifier, request.attempt_count);
            return self.log(notice::Notice::Cut { identifier, reason, attempts, after });
        }
        let retry_after = match reason {
            action::Reason::Quarantined => Some(wait),
            reason => reason.is_not_run().then(|| self.retry_after(&request, wait)),
        };
        self.measure(&request, measurement::Outcome::Rejected(reason));
        let refusal = action::Rejection::new(reason, retry_after);
        self.decide(number, action::Decision::Reject(refusal));
        self.log(notice::Notice::Refused {
            identifier: request.identifier,
            reason,
            retry_after,
            attempts: request.attempt_count,
            after,
        });
    }

    /// When the caller of a refused request is to come back.
    fn retry_after(&mut self, request: &request::Request, wait: Duration) -> Duration {
        let now = self.now;
        let serves = |target: &&target::Target| {
            target.pool == request.pool && target.model == request.model && !target.is_stalled(now)
        };
        let pace: f64 = self.targets.values().filter(serves).map(|it| it.load.throughput()).sum();
        let own = pace / self.entry_count() as f64;
        let spacing = if own > 0.0 { Duration::from_secs_f64(1.0 / own) } else { Duration::ZERO };
        // A request that can't be in time any more gains by finding room, not by returning soon.
        let wait = if request.on_time_until < now + MIN_RETRY_AFTER {
            wait.max(MIN_LATE_RETRY_AFTER)
        } else {
            wait
        };
        let key = (request.pool.clone(), request.model.clone());
        let returns = self.retry_schedules.entry(key).or_default();
        returns
            .reserve(now, wait, spacing.min(MAX_RETRY_AFTER))
            .clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }

    pub(super) fn measure(&mut self, request: &request::Request, outcome: measurement::Outcome) {
        self.actions.push(action::Action::Measure(measurement::Measurement {
            team: request.team.clone(),
            class: Some(request.class()),
            outcome,
            attempts: request.attempt_count,
            total_time: self.now.since(request.arrived_at),
        }));
    }

    /// Refuses a request that has no place.
    pub(super) fn reject_unmatched(
        &mut self,
        number: u64,
        identifier: String,
        refusal: action::Rejection,
    ) {
        self.actions.push(action::Action::Measure(measurement::Measurement {
            team: None,
            class: None,
            outcome: measurement::Outcome::Rejected(refusal.reason),
            attempts: 0,
            total_time: Duration::ZERO,
        }));
        self.decide(number, action::Decision::Reject(refusal));
        self.log(notice::Notice::Refused {
            identifier,
            reason: refusal.reason,
            retry_after: refusal.retry_after,
            attempts: 0,
            after: Duration::ZERO,
        });
    }
}
