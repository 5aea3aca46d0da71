//! Requests that moved away from a silent upstream and that no other one has accepted yet.
//!
//! Their upstream may go on, and clients may have received a part of the response. So they are not ended
//! for lack of capacity or of the retry budget, but wait until an upstream accepts them, which may be the
//! one that they moved away from.

use super::{Core, serve};
use crate::{action, request, retry_budget, selection, target};
use hyssopfork_wire::name;

impl Core {
    /// Records that the request moves away from an upstream that may go on.
    pub(super) fn record_interruption(&mut self, number: u64) {
        let Some(request) = self.requests.get_mut(&number) else { return };
        let Some(attempt) = &request.attempt else { return };
        request.interruption = Some(request::Interruption {
            instance: attempt.instance.clone(),
            incarnation: attempt.incarnation.clone(),
            is_waiting: false,
        });
    }

    /// Has an interrupted request wait for an upstream; returns whether it does.
    pub(super) fn wait_for_upstream(&mut self, number: u64) -> bool {
        if !self.has_attempts_left(number) {
            return false;
        }
        let Some(request) = self.requests.get_mut(&number) else { return false };
        let may_run_again = request.may_run_again();
        let Some(interruption) = request.interruption.as_mut().filter(|_| may_run_again) else {
            return false;
        };
        interruption.is_waiting = true;
        let wait = target::CHECK_INTERVAL.min(self.now.until(request.deadline));
        self.decide(number, action::Decision::Queue(wait));
        true
    }

    /// Whether the request is interrupted and waits for an upstream.
    pub(super) fn is_waiting_for_upstream(&self, number: u64) -> bool {
        let interruption = self.requests.get(&number).and_then(|it| it.interruption.as_ref());
        interruption.is_some_and(|interruption| interruption.is_waiting)
    }

    /// Sends a waiting request if an upstream has capacity and a retry is allowed.
    pub(super) fn retry_interrupted(&mut self, number: u64) {
        let now = self.now;
        let Some(request) = self.requests.get_mut(&number) else { return };
        if let Some(interruption) = &mut request.interruption {
            interruption.is_waiting = false;
        }
        let is_granted = request.retry_grant.is_some();
        if now.until(request.deadline) < serve::MIN_TIME_LEFT {
            return self.on_deadline(number);
        }
        if let Some(wait) = self.quarantine_retry_after(number) {
            return self.end_without_response(number, action::Reason::Quarantined, wait);
        }
        match self.select_for_interrupted(number) {
            Some(instance)
                if is_granted || self.try_retry(number, retry_budget::Priority::High) =>
            {
                self.send(number, &instance);
            }
            _ if self.wait_for_upstream(number) => {}
            _ => self.end_without_response(
                number,
                action::Reason::Failed,
                super::completion::MIN_RETRY_AFTER,
            ),
        }
    }

    /// An upstream with capacity for a waiting request. The one that it moved away from counts if it is the
    /// same process and group.
    fn select_for_interrupted(&self, number: u64) -> Option<name::Instance> {
        let request = self.requests.get(&number)?;
        let interruption = request.interruption.as_ref()?;
        let target = self.targets.get(&interruption.instance);
        let may_return = target.is_some_and(|it| it.incarnation == interruption.incarnation);
        let is_excluded =
            |instance: &&name::Instance| !may_return || **instance != interruption.instance;
        let excluded: Vec<name::Instance> =
            request.excluded.iter().filter(is_excluded).cloned().collect();
        let query = selection::Query { excluded: &excluded, ..self.query(request, true) };
        let constraints = self.constraints(request);
        match selection::select(self.now, &self.targets, query, constraints) {
            selection::Selection::Selected(instance) => Some(instance),
            _ => None,
        }
    }
}
