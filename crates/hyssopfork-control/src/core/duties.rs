//! What a leader does unasked, and what coming to lead and ceasing to lead mean.

use super::{Core, GAP_LIMIT, HANDOVER_LIMIT, Leadership};
use crate::{action, calls, groups, notice};
use hyssopfork_consensus::event as log_event;
use hyssopfork_state::{claims, command};
use hyssopfork_wire::{clock, control, timing};
use std::time::Duration;

/// Time that a leader listens before it plans groups: each agent that runs has renewed with it by
/// then, also when its first try went elsewhere.
///
/// Planned on the first reports alone, a broken group would be rebuilt from nothing in whatever
/// domain was heard first, while the spare beside its survivors had not spoken yet.
const LISTENING: Duration = timing::RENEWAL_INTERVAL.saturating_mul(2);

/// Time between two surveys of presence.
const SURVEY: Duration = Duration::from_millis(100);

impl Core {
    /// A process that was stopped for a while has heard nobody meanwhile, and must not take that
    /// for the others' silence.
    pub(super) fn note_gap(&mut self, before: clock::Instant) {
        let gap = self.now.since(before);
        if gap < GAP_LIMIT {
            return;
        }
        if let Some(leadership) = &mut self.leadership {
            leadership.listening = self.now;
            self.notice(notice::Notice::Paused(gap));
        }
    }

    /// Takes note when the node came to lead or ceased to.
    pub(super) fn follow_leadership(&mut self) {
        let term = self.node.is_leader().then(|| self.node.term());
        if term == self.leadership.map(|leadership| leadership.term) {
            return;
        }
        self.cease();
        self.leadership = term.map(|term| Leadership {
            term,
            listening: self.now,
            serving: false,
            aged: self.now,
            surveyed: self.now,
            planned: self.now,
            dirty: true,
        });
    }

    /// Whatever the shell's event was, looks after what is due.
    pub(super) fn attend(&mut self) {
        self.end_late_calls();
        self.end_held_watches();
        if self.leads() {
            self.release_watches();
        }
        if self.leads() && self.stopping.is_none() {
            self.serve();
        }
        self.end_when_handed_over();
    }

    pub(super) fn stop(&mut self) {
        if self.stopping.is_none() {
            self.stopping = Some(self.now);
            self.tell(log_event::Event::Resign);
        }
    }

    fn cease(&mut self) {
        let Some(leadership) = self.leadership.take() else { return };
        let lost = self.calls.drain();
        if leadership.serving {
            self.notice(notice::Notice::Ceased(leadership.term, lost.len()));
        }
        // They may yet be committed by the next leader: neither done nor refused would be true.
        for call in lost {
            self.reply(call, control::Response::Unknown);
        }
        for watch in self.watches.drain() {
            let response = self.elsewhere();
            self.reply(watch.call, response);
        }
        self.holders.clear();
        self.groups.clear();
    }

    fn end_late_calls(&mut self) {
        for call in self.calls.due(self.now) {
            self.reply(call, control::Response::Unknown);
        }
    }

    fn end_held_watches(&mut self) {
        for watch in self.watches.due(self.now) {
            if self.leads() {
                self.answer_watch(&watch);
            } else {
                let response = self.elsewhere();
                self.reply(watch.call, response);
            }
        }
    }

    fn end_when_handed_over(&mut self) {
        let Some(since) = self.stopping else { return };
        let waited = self.now.since(since) >= HANDOVER_LIMIT;
        if !self.node.is_leader() || waited {
            self.cease();
            self.ended = true;
            self.act(action::Action::Stopped);
        }
    }

    fn serve(&mut self) {
        let Some(mut leadership) = self.leadership else { return };
        if !leadership.serving {
            leadership.serving = true;
            leadership.listening = self.now;
            self.notice(notice::Notice::Serving(leadership.term));
        }
        self.age(&mut leadership);
        self.survey(&mut leadership);
        self.plan(&mut leadership);
        self.leadership = Some(leadership);
    }

    fn age(&mut self, leadership: &mut Leadership) {
        let elapsed = self.now.since(leadership.aged);
        if elapsed < claims::GRAIN {
            return;
        }
        leadership.aged = self.now;
        if !self.machine.claims().is_empty() {
            self.propose(calls::Purpose::Age, &command::Command::Elapsed(claims::GRAIN));
        }
    }

    fn survey(&mut self, leadership: &mut Leadership) {
        if self.now.since(leadership.surveyed) < SURVEY {
            return;
        }
        leadership.surveyed = self.now;
        self.holders.forget_silent(self.now);
        let view = self.machine.view();
        let listening = leadership.listening;
        let commands = self.presence.survey(self.now, listening, view, &self.holders);
        if commands.is_empty() {
            return;
        }
        let waiting = self.calls.instances();
        for command in commands {
            let instance = match &command {
                command::Command::Absent { instance, .. } => instance.clone(),
                command::Command::Forget(instance) => instance.clone(),
                _ => continue,
            };
            if !waiting.contains(&instance) {
                self.propose(calls::Purpose::Presence(instance), &command);
            }
        }
    }

    fn plan(&mut self, leadership: &mut Leadership) {
        if self.now.since(leadership.listening) < LISTENING {
            return;
        }
        let waited = self.now.since(leadership.planned);
        let pause = groups::PAUSE_EACH * self.machine.view().members.len() as u32;
        let due = waited >= groups::PERIOD || leadership.dirty && waited >= pause;
        let waiting = self.calls.any(|purpose| matches!(purpose, calls::Purpose::Group(_)));
        if !due || waiting {
            return;
        }
        leadership.planned = self.now;
        leadership.dirty = false;
        let view = self.machine.view();
        let commands = self.groups.decide(self.now, view, &self.holders, self.settings.loads);
        for command in commands {
            let group = match &command {
                command::Command::Place { group, .. } | command::Command::Unplace { group, .. } => {
                    group.clone()
                }
                _ => continue,
            };
            self.propose(calls::Purpose::Group(group), &command);
        }
    }
}
