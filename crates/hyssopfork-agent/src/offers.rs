//! Attempts: offered, handed to the upstream, cancelled, ended.

use crate::{action, attempts, core, event, memory, notice};
use hyssopfork_policy::slow_start;
use hyssopfork_wire::{attempt, clock, refusal};

impl core::Core {
    /// An offer arrived.
    pub(crate) fn offered(
        &mut self,
        now: clock::Instant,
        offer: attempt::Offer,
        actions: &mut Vec<action::Action>,
    ) {
        self.watcher.on_version_seen(offer.version);
        let attempt = offer.attempt;
        match self.attempts.standing(attempt) {
            attempts::Standing::Live(_) => actions.push(action::Action::TakeUp(attempt)),
            attempts::Standing::Dead(memory::End::NeverStarted) => {
                let refusal = refusal::Refusal::not_run(refusal::Reason::Cancelled, None);
                self.refuse(attempt, refusal, actions);
            }
            attempts::Standing::Dead(_) | attempts::Standing::Folded => {
                let refusal = refusal::Refusal::may_have_run(refusal::Reason::Cancelled, None);
                self.refuse(attempt, refusal, actions);
            }
            attempts::Standing::Unseen => self.admit(now, offer, actions),
        }
    }

    /// The shell is about to write the first byte: everything is checked once more, since the
    /// process may have been paused for any time since the offer was admitted, and another attempt
    /// may have found out that the back end is gone or came back cold.
    pub(crate) fn ready(
        &mut self,
        now: clock::Instant,
        attempt: attempt::Identifier,
        actions: &mut Vec<action::Action>,
    ) {
        let Some(live) = self.attempts.get(attempt) else {
            // Cancelled or aborted since; the refusal was sent then.
            return;
        };
        if live.state != attempts::State::Prepared {
            return;
        }
        let gate = self.gate(now);
        let checked = gate
            .check(&live.offer, live.arrived)
            .and_then(|()| gate.check_room(self.attempts.forwarded()));
        match checked {
            Ok(()) => {
                self.attempts.forward(attempt, now);
                actions.push(action::Action::Forward(attempt));
                actions.push(action::Action::Notice(notice::Notice::Forwarded(attempt)));
            }
            Err(refusal) => self.bury_and_refuse(attempt, refusal, actions),
        }
    }

    /// An entry cancels an attempt.
    pub(crate) fn cancelled(
        &mut self,
        call: u64,
        attempt: attempt::Identifier,
        boot: u64,
        actions: &mut Vec<action::Action>,
    ) {
        let outcome = if boot == self.announcement.boot {
            self.cancel(attempt, actions)
        } else {
            // It was offered to the process before this one, which may have run it.
            attempt::Cancelled::Unknown
        };
        actions.push(action::Action::ReplyCancel { call, outcome });
    }

    /// The upstream's answer is whole.
    pub(crate) fn ended(&mut self, now: clock::Instant, attempt: attempt::Identifier) {
        let Some(live) = self.attempts.get(attempt) else { return };
        if live.state != attempts::State::Forwarded {
            return;
        }
        let (begun, cost) = (live.forwarded, live.offer.cost);
        let cancelled = live.cancelled;
        self.engine.ramp().on_request_ended(now, begun, cost, slow_start::Outcome::Completed);
        if cancelled {
            self.attempts.bury(attempt, memory::End::Finished);
        } else {
            self.attempts.finish(attempt, now);
        }
    }

    /// The upstream's answer will not be whole.
    pub(crate) fn failed(
        &mut self,
        now: clock::Instant,
        attempt: attempt::Identifier,
        fault: event::Fault,
        actions: &mut Vec<action::Action>,
    ) {
        let Some(live) = self.attempts.get(attempt) else { return };
        let started = live.state == attempts::State::Forwarded && fault == event::Fault::Broken;
        if matches!(live.state, attempts::State::Finished(_)) {
            return;
        }
        let (begun, cost) = (live.forwarded, live.offer.cost);
        self.engine.suspect(now);
        if started {
            self.engine.ramp().on_request_ended(now, begun, cost, slow_start::Outcome::Failed);
        }
        let reason = refusal::Reason::UpstreamFailed;
        let refusal = if started {
            refusal::Refusal::may_have_run(reason, None)
        } else {
            refusal::Refusal::not_run(reason, None)
        };
        self.bury_and_refuse(attempt, refusal, actions);
    }

    /// Ends every attempt that is prepared or running.
    pub(crate) fn end_all(&mut self, reason: refusal::Reason, actions: &mut Vec<action::Action>) {
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
        let gate = self.gate(now);
        let running = self.attempts.running();
        let checked = gate.check(&offer, now).and_then(|()| gate.check_room(running));
        if let Err(refusal) = checked {
            self.bury_and_refuse(attempt, refusal, actions);
            return;
        }
        self.attempts.admit(offer, now);
        let load = self.load();
        actions.push(action::Action::Prepare { attempt, load });
    }

    fn cancel(
        &mut self,
        attempt: attempt::Identifier,
        actions: &mut Vec<action::Action>,
    ) -> attempt::Cancelled {
        match self.attempts.standing(attempt) {
            attempts::Standing::Unseen => {
                self.attempts.bury(attempt, memory::End::NeverStarted);
                attempt::Cancelled::NeverStarted
            }
            attempts::Standing::Live(attempts::State::Prepared) => {
                let refusal = refusal::Refusal::not_run(refusal::Reason::Cancelled, None);
                self.bury_and_refuse(attempt, refusal, actions);
                attempt::Cancelled::NeverStarted
            }
            attempts::Standing::Live(attempts::State::Forwarded) => {
                self.cancel_running(attempt, actions);
                attempt::Cancelled::Started
            }
            attempts::Standing::Live(attempts::State::Finished(_)) => attempt::Cancelled::Finished,
            attempts::Standing::Dead(memory::End::NeverStarted) => attempt::Cancelled::NeverStarted,
            attempts::Standing::Dead(memory::End::Started) => attempt::Cancelled::Started,
            attempts::Standing::Dead(memory::End::Finished) => attempt::Cancelled::Finished,
            attempts::Standing::Folded => attempt::Cancelled::Unknown,
        }
    }

    /// A back end that cannot cancel goes on working whatever becomes of the connection: the
    /// attempt keeps its place until it ends, or a cold one would get more than its limit.
    fn cancel_running(&mut self, attempt: attempt::Identifier, actions: &mut Vec<action::Action>) {
        if self.announcement.profile.cancels {
            self.abort(attempt, refusal::Reason::Cancelled, actions);
        } else {
            self.attempts.detach(attempt);
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
        let refusal = if forwarded {
            actions.push(action::Action::Abort(attempt));
            actions.push(action::Action::Notice(notice::Notice::Aborted(attempt, reason)));
            refusal::Refusal::may_have_run(reason, None)
        } else {
            refusal::Refusal::not_run(reason, None)
        };
        self.bury_and_refuse(attempt, refusal, actions);
    }

    /// Refuses an attempt for good: the entry may tell its caller so, and then a second copy of
    /// the offer must not start it.
    fn bury_and_refuse(
        &mut self,
        attempt: attempt::Identifier,
        refusal: refusal::Refusal,
        actions: &mut Vec<action::Action>,
    ) {
        let end = match refusal.ran {
            refusal::Ran::NotRun => memory::End::NeverStarted,
            refusal::Ran::MayHaveRun => memory::End::Started,
        };
        self.attempts.bury(attempt, end);
        self.refuse(attempt, refusal, actions);
    }

    fn refuse(
        &mut self,
        attempt: attempt::Identifier,
        refusal: refusal::Refusal,
        actions: &mut Vec<action::Action>,
    ) {
        let load = self.load();
        actions.push(action::Action::Refuse { attempt, refusal, load });
        actions.push(action::Action::Notice(notice::Notice::Refused(attempt, refusal.reason)));
    }
}
