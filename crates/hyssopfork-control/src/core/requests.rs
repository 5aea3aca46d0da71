//! Handlers of calls from entries, agents and operators.

use super::Core;
use crate::{calls, notice, watches};
use hyssopfork_consensus::node;
use hyssopfork_state::command;
use hyssopfork_wire::{attempt, change, claim, control, fleet, name, number, patch, timing};

/// Most records in one history response; the client requests the rest from the last one on.
pub const MAX_HISTORY_RECORDS: usize = 256;

impl Core {
    pub(super) fn on_request(&mut self, call: u64, request: control::Request) {
        if !self.can_answer_as_leader() || self.stopping_since.is_some() {
            let response = self.redirect_response();
            return self.reply(call, response);
        }
        match request {
            control::Request::Renew(renewal) => self.on_renew(call, renewal),
            control::Request::Watch(version) => self.on_watch(call, version, None),
            control::Request::Follow(version, instance) => {
                self.on_watch(call, version, Some(instance))
            }
            control::Request::Submit(patch) => self.on_submit(call, patch),
            control::Request::Claim(claim) => self.on_claim(call, claim),
            control::Request::Record(key, attempt, outcome) => {
                self.on_record(call, key, attempt, outcome);
            }
            control::Request::History(number) => self.on_history(call, number),
            control::Request::Status => self.on_status(call),
        }
    }

    pub(super) fn on_call_abandoned(&mut self, call: u64) {
        self.watches.remove(call);
        self.calls.abandon(call);
    }

    /// Grants a lease on the current view, if this instance may still answer as leader.
    pub(super) fn grant_lease(&mut self, call: u64, renewal: &control::Renewal) {
        if !self.can_answer_as_leader() {
            let response = self.redirect_response();
            return self.reply(call, response);
        }
        let incarnation = match &renewal.holder {
            control::Holder::Entry(_) => None,
            control::Holder::Agent(announcement, _) => match self.recorded_member(announcement) {
                Some(member) => Some(member.incarnation),
                None => return self.reject_superseded(call, renewal),
            },
        };
        let scope = match &renewal.holder {
            control::Holder::Entry(_) => None,
            control::Holder::Agent(announcement, _) => Some(&announcement.instance),
        };
        let Some(update) = self.update_for(renewal.version, scope) else {
            return self.reply(call, control::Response::Unavailable);
        };
        let grant = control::Grant { duration: timing::HOLDER_LEASE, update, incarnation };
        self.reply(call, control::Response::Granted(grant));
    }

    /// Rejects the older of two processes that run under one name. With a lease each, both would
    /// take work as one upstream, each with limits and grants of its own.
    pub(super) fn reject_superseded(&mut self, call: u64, renewal: &control::Renewal) {
        if let control::Holder::Agent(announcement, _) = &renewal.holder {
            let instance = announcement.instance.clone();
            self.push_notice(notice::Notice::Superseded(instance, announcement.boot));
        }
        self.reply(call, control::Response::Unavailable);
    }

    /// Answers the long polls whose view is no longer current, if a round is due.
    pub(super) fn answer_stale_watches(&mut self) {
        let version = self.machine.view().version;
        let interests = &self.interests;
        let stale = |watch: &watches::Watch| match &watch.scope {
            None => watch.version != version,
            Some(instance) => interests.affects(instance, watch.version),
        };
        for watch in self.watches.take_stale(self.now, stale) {
            self.answer_watch(&watch);
        }
    }

    pub(super) fn answer_watch(&mut self, watch: &watches::Watch) {
        let response = match self.update_for(watch.version, watch.scope.as_ref()) {
            Some(update) => control::Response::Updated(update),
            None => control::Response::Unavailable,
        };
        self.reply(watch.call, response);
    }

    fn on_renew(&mut self, call: u64, renewal: control::Renewal) {
        match &renewal.holder {
            control::Holder::Entry(_) => {
                self.record_renewal(&renewal);
                self.grant_lease(call, &renewal);
            }
            control::Holder::Agent(announcement, _) => {
                let announcement = announcement.clone();
                self.renew_agent(call, renewal, &announcement);
            }
        }
    }

    fn renew_agent(
        &mut self,
        call: u64,
        renewal: control::Renewal,
        announcement: &fleet::Announcement,
    ) {
        if self.machine.fleet().is_superseded(&announcement.instance, announcement.boot) {
            return self.reject_superseded(call, &renewal);
        }
        self.record_renewal(&renewal);
        let announce = command::Command::Announce(Box::new(announcement.clone()));
        let recorded = self
            .recorded_member(announcement)
            .filter(|member| member.present && member.announcement == *announcement);
        match recorded.map(|member| member.leaving) {
            Some(leaving) if leaving || !renewal.leaving => self.grant_lease(call, &renewal),
            Some(_) => self.propose_renewal(call, renewal, &leaving_command(announcement)),
            None if renewal.leaving => {
                self.propose(calls::Purpose::Presence(announcement.instance.clone()), &announce);
                self.propose_renewal(call, renewal, &leaving_command(announcement));
            }
            None => self.propose_renewal(call, renewal, &announce),
        }
    }

    fn record_renewal(&mut self, renewal: &control::Renewal) {
        let changed = self.holders.record_renewal(self.now, renewal);
        if let Some(leadership) = &mut self.leadership {
            leadership.replan |= changed;
        }
    }

    /// The record of the process that sent the announcement.
    fn recorded_member(&self, announcement: &fleet::Announcement) -> Option<&fleet::Member> {
        let member = self.machine.view().members.get(&announcement.instance)?;
        (member.announcement.boot == announcement.boot).then_some(member)
    }

    fn propose_renewal(
        &mut self,
        call: u64,
        renewal: control::Renewal,
        command: &command::Command,
    ) {
        if !self.propose(calls::Purpose::Renew(call, Box::new(renewal)), command) {
            self.reject_crowded(call);
        }
    }

    fn on_watch(&mut self, call: u64, version: number::Version, scope: Option<name::Instance>) {
        let current = self.machine.view().version;
        let deadline = self.now + timing::LONG_POLL_TIMEOUT;
        let watch = watches::Watch { call, version, deadline, scope };
        if version > current || version < self.steps.base_version() {
            return self.answer_watch(&watch);
        }
        if !self.watches.hold(watch) {
            return self.reject_crowded(call);
        }
        if version < current {
            self.watches.mark_stale();
        }
    }

    fn on_submit(&mut self, call: u64, patch: patch::Patch) {
        let command = command::Command::Submit(patch);
        let length = command::encode(&command).len();
        if length > node::MAX_COMMAND_BYTES {
            let fault = format!(
                "the patch takes {length} bytes; split it into patches of at most {} bytes",
                node::MAX_COMMAND_BYTES
            );
            let outcome = patch::Outcome::Invalid(vec![fault]);
            return self.reply(call, control::Response::Submitted(outcome));
        }
        self.propose_request(call, &command);
    }

    /// A claim that is sent again, because its commit took longer than the call, is answered from the
    /// state: if it were appended again, it would take as long again.
    fn on_claim(&mut self, call: u64, claim: claim::Claim) {
        match self.machine.claims().reply_without_effect(&claim) {
            Some(reply) => self.reply(call, control::Response::Claimed(reply)),
            None => self.propose_request(call, &command::Command::Claim(claim)),
        }
    }

    /// An outcome that was recorded, or can no longer be, is confirmed without another entry.
    fn on_record(
        &mut self,
        call: u64,
        key: claim::Key,
        attempt: attempt::Identifier,
        outcome: claim::Outcome,
    ) {
        if !self.machine.claims().is_in_progress(&key, attempt) {
            return self.reply(call, control::Response::Recorded);
        }
        self.propose_request(call, &command::Command::Record { key, attempt, outcome });
    }

    fn propose_request(&mut self, call: u64, command: &command::Command) {
        if !self.propose(calls::Purpose::Call(call), command) {
            self.reject_crowded(call);
        }
    }

    fn reject_crowded(&mut self, call: u64) {
        self.push_notice(notice::Notice::Crowded);
        self.reply(call, control::Response::Unavailable);
    }

    fn on_history(&mut self, call: u64, after: number::Configuration) {
        let mut records = self.machine.history().records_after(after);
        records.truncate(MAX_HISTORY_RECORDS);
        self.reply(call, control::Response::History(records));
    }

    fn on_status(&mut self, call: u64) {
        let status = control::Status {
            view: self.machine.view().clone(),
            holdings: self.holders.holdings(self.now),
            leader: self.settings.instance.clone(),
            term: self.node.term(),
            committed: self.node.committed(),
        };
        self.reply(call, control::Response::Status(Box::new(status)));
    }

    /// Update for a watcher: of the whole view, or of the part in the scope of one instance.
    fn update_for(
        &mut self,
        version: number::Version,
        scope: Option<&name::Instance>,
    ) -> Option<change::Update> {
        let view = self.machine.view();
        let Some(update) = self.steps.update(view, version) else {
            let current = view.version;
            self.push_notice(notice::Notice::Ahead(version, current));
            return None;
        };
        let Some(instance) = scope else { return Some(update) };
        Some(self.interests.narrow(view, version, update, instance))
    }
}

fn leaving_command(announcement: &fleet::Announcement) -> command::Command {
    command::Command::Leaving { instance: announcement.instance.clone(), boot: announcement.boot }
}
