//! Endings: each request gets exactly one.

use super::Core;
use crate::{action, measure, notice, request, target};
use std::time::Duration;

/// Least time to come back after; a retry that is sooner finds the same state.
pub(super) const LEAST_RETRY: Duration = Duration::from_millis(150);

/// Least `Retry-After` of a request that will be late in any case.
const MIN_LATE_RETRY_AFTER: Duration = Duration::from_millis(600);

/// Longest time to come back after: what is known now says little of what will be later.
const MOST_RETRY: Duration = Duration::from_millis(1_500);

impl Core {
    pub(super) fn conclude(&mut self, number: u64, status: u16) {
        let Some(request) = self.requests.remove(&number) else { return };
        let begun = request.begun.unwrap_or(self.now);
        self.measure(&request, measure::Outcome::Answered(begun.since(request.arrived)));
        self.note(notice::Notice::Answered {
            identifier: request.identifier,
            status,
            attempts: request.tries,
            first: begun.since(request.arrived),
            after: self.now.since(request.arrived),
        });
    }

    /// Ends a request without an answer of an upstream. Once its head is out the answer can only be
    /// broken off; once work may have run, "not run" would be a lie.
    pub(super) fn end(&mut self, number: u64, reason: action::Reason, wait: Duration) {
        let Some(request) = self.requests.remove(&number) else { return };
        let ran = request.runs > 0 && reason.is_not_run();
        let reason = if ran { action::Reason::Failed } else { reason };
        let after = self.now.since(request.arrived);
        if request.forwarded {
            self.decide(number, action::Decision::Cut);
            self.measure(&request, measure::Outcome::Cut);
            let (identifier, attempts) = (request.identifier, request.tries);
            return self.note(notice::Notice::Cut { identifier, reason, attempts, after });
        }
        let retry_after = match reason {
            action::Reason::Quarantined => Some(wait),
            reason => reason.is_not_run().then(|| self.book(&request, wait)),
        };
        self.measure(&request, measure::Outcome::Refused(reason));
        let refusal = action::Refusal::new(reason, retry_after);
        self.decide(number, action::Decision::Refuse(refusal));
        self.note(notice::Notice::Refused {
            identifier: request.identifier,
            reason,
            retry_after,
            attempts: request.tries,
            after,
        });
    }

    /// When the caller of a refused request is to come back.
    fn book(&mut self, request: &request::Request, wait: Duration) -> Duration {
        let now = self.now;
        let serves = |target: &&target::Target| {
            target.pool == request.pool && target.model == request.model && !target.is_stalled(now)
        };
        let pace: f64 = self.targets.values().filter(serves).map(|it| it.load.pace()).sum();
        let own = pace / self.entry_count() as f64;
        let spacing = if own > 0.0 { Duration::from_secs_f64(1.0 / own) } else { Duration::ZERO };
        // A request that can't be in time any more gains by finding room, not by returning soon.
        let wait =
            if request.due < now + LEAST_RETRY { wait.max(MIN_LATE_RETRY_AFTER) } else { wait };
        let key = (request.pool.clone(), request.model.clone());
        let returns = self.returns.entry(key).or_default();
        returns.book(now, wait, spacing.min(MOST_RETRY)).clamp(LEAST_RETRY, MOST_RETRY)
    }

    pub(super) fn measure(&mut self, request: &request::Request, outcome: measure::Outcome) {
        self.actions.push(action::Action::Measure(measure::Measure {
            team: request.team.clone(),
            class: Some(request.class()),
            outcome,
            attempts: request.tries,
            whole: self.now.since(request.arrived),
        }));
    }

    /// Refuses a request that has no place.
    pub(super) fn turn_away(&mut self, number: u64, identifier: String, refusal: action::Refusal) {
        self.actions.push(action::Action::Measure(measure::Measure {
            team: None,
            class: None,
            outcome: measure::Outcome::Refused(refusal.reason),
            attempts: 0,
            whole: Duration::ZERO,
        }));
        self.decide(number, action::Decision::Refuse(refusal));
        self.note(notice::Notice::Refused {
            identifier,
            reason: refusal.reason,
            retry_after: refusal.retry_after,
            attempts: 0,
            after: Duration::ZERO,
        });
    }
}
