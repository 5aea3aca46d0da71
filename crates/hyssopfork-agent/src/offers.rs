//! Attempts: admission, forwarding to the upstream, cancellation, and completion.

use crate::{action, attempts, core, event, notice, tombstones};
use hyssopfork_policy::slow_start;
use hyssopfork_wire::{attempt, clock, refusal};

impl core::Core {
    /// Handles an offer.
    pub(crate) fn on_offer_arrived(
        &mut self,
        now: clock::Instant,
        offer: attempt::Offer,
        actions: &mut Vec<action::Action>,
    ) {
        self.watcher.on_version_seen(offer.version);
        let attempt = offer.attempt;
        match self.attempts.status(attempt) {
            attempts::Status::Live(_) => actions.push(action::Action::Resume(attempt)),
            attempts::Status::Ended(tombstones::End::NeverStarted) => {
                let rejection = refusal::Refusal::not_run(refusal::Reason::Cancelled, None);
                self.reject(attempt, rejection, actions);
            }
            attempts::Status::Ended(_) | attempts::Status::Compacted => {
                let rejection = refusal::Refusal::may_have_run(refusal::Reason::Cancelled, None);
                self.reject(attempt, rejection, actions);
            }
            attempts::Status::Unseen => self.admit(now, offer, actions),
        }
    }

    /// Checks admission again just before the first byte is written: since the offer was admitted,
    /// the process may have been paused for any time, and another attempt may have found that the
    /// upstream is gone or came back cold.
    pub(crate) fn on_connected(
        &mut self,
        now: clock::Instant,
        attempt: attempt::Identifier,
        actions: &mut Vec<action::Action>,
    ) {
        let Some(live) = self.attempts.get(attempt) else {
            // Cancelled or aborted since then, when the rejection was sent.
            return;
        };
        if live.state != attempts::State::Admitted {
            return;
        }
        let admission = self.admission(now);
        let checked = admission
            .check(&live.offer, live.arrived_at)
            .and_then(|()| admission.check_room(self.attempts.forwarded_count()));
        match checked {
            Ok(()) => {
                self.attempts.forward(attempt, now);
                actions.push(action::Action::Forward(attempt));
                actions.push(action::Action::Notice(notice::Notice::Forwarded(attempt)));
            }
            Err(rejection) => self.end_and_reject(attempt, rejection, actions),
        }
    }

    /// Handles the connection to an engine whose process reported `health` on it.
    ///
    /// An idle engine may have restarted without its model since the last probe. Its own report on
    /// the attempt's connection shows this before the engine receives any work.
    pub(crate) fn on_engine_connected(
        &mut self,
        now: clock::Instant,
        attempt: attempt::Identifier,
        sent_at: clock::Instant,
        health: event::Health,
        actions: &mut Vec<action::Action>,
    ) {
        let reported_fence = health.loaded;
        self.on_probed(now, sent_at, Some(health), actions);
        self.update_group(now, actions);
        let Some(live) = self.attempts.get(attempt) else { return };
        let offered_fence = live.offer.group.as_ref().map(|(_, fence)| *fence);
        if reported_fence.is_some() && reported_fence != offered_fence {
            let reason = refusal::Reason::GroupIncomplete;
            return self.end_and_reject(attempt, refusal::Refusal::not_run(reason, None), actions);
        }
        self.on_connected(now, attempt, actions);
    }

    /// Handles an entry's cancel request.
    pub(crate) fn on_cancel_requested(
        &mut self,
        call: u64,
        attempt: attempt::Identifier,
        boot: u64,
        actions: &mut Vec<action::Action>,
    ) {
        let outcome = if boot == self.announcement.boot {
            self.cancel(attempt, actions)
        } else {
            // It was offered to a previous process, which may have run it.
            attempt::Cancelled::Unknown
        };
        actions.push(action::Action::ReplyCancel { call, outcome });
    }

    /// Handles the end of a complete response of the upstream.
    pub(crate) fn on_response_completed(
        &mut self,
        now: clock::Instant,
        attempt: attempt::Identifier,
    ) {
        let Some(live) = self.attempts.get(attempt) else { return };
        if live.state != attempts::State::Forwarded {
            return;
        }
        let (forwarded_at, cost) = (live.forwarded_at, live.offer.cost);
        let cancelled = live.cancelled;
        self.monitor.slow_start().on_request_ended(
            now,
            forwarded_at,
            cost,
            slow_start::Outcome::Completed,
        );
        if cancelled {
            self.attempts.end(attempt, tombstones::End::Finished);
        } else {
            self.attempts.finish(attempt, now);
        }
    }

    /// Handles a failed response of the upstream.
    pub(crate) fn on_response_failed(
        &mut self,
        now: clock::Instant,
        attempt: attempt::Identifier,
        fault: event::Fault,
        actions: &mut Vec<action::Action>,
    ) {
        let Some(live) = self.attempts.get(attempt) else { return };
        let may_have_run =
            live.state == attempts::State::Forwarded && fault == event::Fault::Broken;
        if matches!(live.state, attempts::State::Finished(_)) {
            return;
        }
        let (forwarded_at, cost) = (live.forwarded_at, live.offer.cost);
        self.monitor.suspect(now);
        if may_have_run {
            self.monitor.slow_start().on_request_ended(
                now,
                forwarded_at,
                cost,
                slow_start::Outcome::Failed,
            );
        }
        let reason = refusal::Reason::UpstreamFailed;
        let rejection = if may_have_run {
            refusal::Refusal::may_have_run(reason, None)
        } else {
            refusal::Refusal::not_run(reason, None)
        };
        self.end_and_reject(attempt, rejection, actions);
    }

    /// Aborts every attempt that is admitted or forwarded.
    pub(crate) fn abort_all(&mut self, reason: refusal::Reason, actions: &mut Vec<action::Action>) {
        for attempt in self.attempts.unfinished() {
            self.abort(attempt, reason, actions);
        }
    }

    fn admit(
        &mut self,
        now: clock::Instant,
        offer: attempt::Offer,
        actions: &mut Vec<action::Action>,
    ) {
        let attempt = offer.attempt;
        let admission = self.admission(now);
        let running = self.attempts.running_count();
        let checked = admission.check(&offer, now).and_then(|()| admission.check_room(running));
        if let Err(rejection) = checked {
            self.end_and_reject(attempt, rejection, actions);
            return;
        }
        self.attempts.admit(offer, now);
        let load = self.load();
        actions.push(action::Action::Connect { attempt, load });
    }

    fn cancel(
        &mut self,
        attempt: attempt::Identifier,
        actions: &mut Vec<action::Action>,
    ) -> attempt::Cancelled {
        match self.attempts.status(attempt) {
            attempts::Status::Unseen => {
                self.attempts.end(attempt, tombstones::End::NeverStarted);
                attempt::Cancelled::NeverStarted
            }
            attempts::Status::Live(attempts::State::Admitted) => {
                let rejection = refusal::Refusal::not_run(refusal::Reason::Cancelled, None);
                self.end_and_reject(attempt, rejection, actions);
                attempt::Cancelled::NeverStarted
            }
            attempts::Status::Live(attempts::State::Forwarded) => {
                self.cancel_running(attempt, actions);
                attempt::Cancelled::Started
            }
            attempts::Status::Live(attempts::State::Finished(_)) => attempt::Cancelled::Finished,
            attempts::Status::Ended(tombstones::End::NeverStarted) => {
                attempt::Cancelled::NeverStarted
            }
            attempts::Status::Ended(tombstones::End::Started) => attempt::Cancelled::Started,
            attempts::Status::Ended(tombstones::End::Finished) => attempt::Cancelled::Finished,
            attempts::Status::Compacted => attempt::Cancelled::Unknown,
        }
    }

    /// Cancels a forwarded attempt. An upstream that cannot cancel continues to work after the
    /// connection is closed: the attempt keeps its slot until it ends, otherwise a cold upstream
    /// would exceed its concurrency limit.
    fn cancel_running(&mut self, attempt: attempt::Identifier, actions: &mut Vec<action::Action>) {
        if self.announcement.profile.cancels {
            self.abort(attempt, refusal::Reason::Cancelled, actions);
        } else {
            self.attempts.mark_cancelled(attempt);
        }
    }

    fn abort(
        &mut self,
        attempt: attempt::Identifier,
        reason: refusal::Reason,
        actions: &mut Vec<action::Action>,
    ) {
        let Some(live) = self.attempts.get(attempt) else { return };
        let forwarded = live.state == attempts::State::Forwarded;
        let rejection = if forwarded {
            actions.push(action::Action::Abort(attempt));
            actions.push(action::Action::Notice(notice::Notice::Aborted(attempt, reason)));
            refusal::Refusal::may_have_run(reason, None)
        } else {
            refusal::Refusal::not_run(reason, None)
        };
        self.end_and_reject(attempt, rejection, actions);
    }

    /// Rejects an attempt permanently: the entry may report this to its client, after which a
    /// duplicate of the offer must not start the attempt.
    fn end_and_reject(
        &mut self,
        attempt: attempt::Identifier,
        rejection: refusal::Refusal,
        actions: &mut Vec<action::Action>,
    ) {
        let end = match rejection.ran {
            refusal::Ran::NotRun => tombstones::End::NeverStarted,
            refusal::Ran::MayHaveRun => tombstones::End::Started,
        };
        self.attempts.end(attempt, end);
        self.reject(attempt, rejection, actions);
    }

    fn reject(
        &mut self,
        attempt: attempt::Identifier,
        rejection: refusal::Refusal,
        actions: &mut Vec<action::Action>,
    ) {
        let load = self.load();
        actions.push(action::Action::Reject { attempt, rejection, load });
        actions.push(action::Action::Notice(notice::Notice::Refused(attempt, rejection.reason)));
    }
}
