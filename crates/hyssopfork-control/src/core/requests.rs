//! Calls of entries, agents and operators.

use super::Core;
use crate::{calls, notice, watches};
use hyssopfork_consensus::node;
use hyssopfork_state::command;
use hyssopfork_wire::{change, control, fleet, name, number, patch, timing};

/// Most records of one answer to a question for history; the asker asks on from the last.
pub const HISTORY_PAGE: usize = 256;

impl Core {
    pub(super) fn called(&mut self, call: u64, request: control::Request) {
        if !self.leads() || self.stopping.is_some() {
            let response = self.elsewhere();
            return self.reply(call, response);
        }
        match request {
            control::Request::Renew(renewal) => self.renew(call, renewal),
            control::Request::Watch(have) => self.watch(call, have, None),
            control::Request::Follow(have, instance) => self.watch(call, have, Some(instance)),
            control::Request::Submit(patch) => self.submit(call, patch),
            control::Request::Claim(claim) => {
                self.commit(call, &command::Command::Claim(claim));
            }
            control::Request::Record(key, attempt, outcome) => {
                self.commit(call, &command::Command::Record { key, attempt, outcome });
            }
            control::Request::History(number) => self.history(call, number),
            control::Request::Status => self.status(call),
        }
    }

    pub(super) fn abandoned(&mut self, call: u64) {
        self.watches.abandon(call);
        self.calls.abandon(call);
    }

    /// Gives a lease on the view as it is now, if this instance may still answer for it.
    pub(super) fn grant(&mut self, call: u64, renewal: &control::Renewal) {
        if !self.leads() {
            let response = self.elsewhere();
            return self.reply(call, response);
        }
        let incarnation = match &renewal.holder {
            control::Holder::Entry(_) => None,
            control::Holder::Agent(announcement, _) => match self.recorded(announcement) {
                Some(member) => Some(member.incarnation),
                None => return self.refuse_superseded(call, renewal),
            },
        };
        let scope = match &renewal.holder {
            control::Holder::Entry(_) => None,
            control::Holder::Agent(announcement, _) => Some(&announcement.instance),
        };
        let Some(update) = self.update(renewal.version, scope) else {
            return self.reply(call, control::Response::Unavailable);
        };
        let grant = control::Grant { duration: timing::HOLDER_LEASE, update, incarnation };
        self.reply(call, control::Response::Granted(grant));
    }

    /// Two processes run under one name. Were both given leases, both would take work as one
    /// upstream, each with limits and grants of its own.
    pub(super) fn refuse_superseded(&mut self, call: u64, renewal: &control::Renewal) {
        if let control::Holder::Agent(announcement, _) = &renewal.holder {
            let instance = announcement.instance.clone();
            self.notice(notice::Notice::Superseded(instance, announcement.boot));
        }
        self.reply(call, control::Response::Unavailable);
    }

    /// Answers the calls that were held until the view moved.
    pub(super) fn release_watches(&mut self) {
        let version = self.machine.view().version;
        let interests = &self.interests;
        let behind = |watch: &watches::Watch| match &watch.scope {
            None => watch.have != version,
            Some(instance) => interests.concerns(instance, watch.have),
        };
        for watch in self.watches.round(self.now, behind) {
            self.answer_watch(&watch);
        }
    }

    pub(super) fn answer_watch(&mut self, watch: &watches::Watch) {
        let response = match self.update(watch.have, watch.scope.as_ref()) {
            Some(update) => control::Response::Updated(update),
            None => control::Response::Unavailable,
        };
        self.reply(watch.call, response);
    }

    fn renew(&mut self, call: u64, renewal: control::Renewal) {
        match &renewal.holder {
            control::Holder::Entry(_) => {
                self.note_renewal(&renewal);
                self.grant(call, &renewal);
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
            return self.refuse_superseded(call, &renewal);
        }
        self.note_renewal(&renewal);
        let announce = command::Command::Announce(Box::new(announcement.clone()));
        let recorded = self
            .recorded(announcement)
            .filter(|member| member.present && member.announcement == *announcement);
        match recorded.map(|member| member.leaving) {
            Some(leaving) if leaving || !renewal.leaving => self.grant(call, &renewal),
            Some(_) => self.commit_renewal(call, renewal, &leave(announcement)),
            None if renewal.leaving => {
                self.propose(calls::Purpose::Presence(announcement.instance.clone()), &announce);
                self.commit_renewal(call, renewal, &leave(announcement));
            }
            None => self.commit_renewal(call, renewal, &announce),
        }
    }

    fn note_renewal(&mut self, renewal: &control::Renewal) {
        let changed = self.holders.note(self.now, renewal);
        if let Some(leadership) = &mut self.leadership {
            leadership.dirty |= changed;
        }
    }

    /// The record of an announcement's own process.
    fn recorded(&self, announcement: &fleet::Announcement) -> Option<&fleet::Member> {
        let member = self.machine.view().members.get(&announcement.instance)?;
        (member.announcement.boot == announcement.boot).then_some(member)
    }

    fn commit_renewal(&mut self, call: u64, renewal: control::Renewal, command: &command::Command) {
        if !self.propose(calls::Purpose::Renew(call, Box::new(renewal)), command) {
            self.crowded(call);
        }
    }

    fn watch(&mut self, call: u64, have: number::Version, scope: Option<name::Instance>) {
        let version = self.machine.view().version;
        let until = self.now + timing::LONG_POLL_TIMEOUT;
        let watch = watches::Watch { call, have, until, scope };
        if have > version || have < self.steps.floor() {
            return self.answer_watch(&watch);
        }
        if !self.watches.hold(watch) {
            return self.crowded(call);
        }
        if have < version {
            self.watches.fall_behind();
        }
    }

    fn submit(&mut self, call: u64, patch: patch::Patch) {
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
        self.commit(call, &command);
    }

    fn commit(&mut self, call: u64, command: &command::Command) {
        if !self.propose(calls::Purpose::Call(call), command) {
            self.crowded(call);
        }
    }

    fn crowded(&mut self, call: u64) {
        self.notice(notice::Notice::Crowded);
        self.reply(call, control::Response::Unavailable);
    }

    fn history(&mut self, call: u64, after: number::Configuration) {
        let mut records = self.machine.history().after(after);
        records.truncate(HISTORY_PAGE);
        self.reply(call, control::Response::History(records));
    }

    fn status(&mut self, call: u64) {
        let status = control::Status {
            view: self.machine.view().clone(),
            holdings: self.holders.list(self.now),
            leader: self.settings.instance.clone(),
            term: self.node.term(),
            committed: self.node.committed(),
        };
        self.reply(call, control::Response::Status(Box::new(status)));
    }

    /// What leads a watcher on: of the whole view, or of the part that concerns one instance.
    fn update(
        &mut self,
        have: number::Version,
        scope: Option<&name::Instance>,
    ) -> Option<change::Update> {
        let view = self.machine.view();
        let Some(update) = self.steps.update(view, have) else {
            let version = view.version;
            self.notice(notice::Notice::Ahead(have, version));
            return None;
        };
        let Some(instance) = scope else { return Some(update) };
        Some(self.interests.narrow(view, have, update, instance))
    }
}

fn leave(announcement: &fleet::Announcement) -> command::Command {
    command::Command::Leaving { instance: announcement.instance.clone(), boot: announcement.boot }
}
