//! Begin and end of leadership, and the periodic tasks of a leader.

use super::{Core, HANDOVER_TIMEOUT, Leadership, MAX_EVENT_GAP};
use crate::{action, calls, groups, notice};
use hyssopfork_consensus::event as log_event;
use hyssopfork_state::{claims, command};
use hyssopfork_wire::{clock, control, timing};
use std::time::Duration;

/// Time for which a new leader collects reports before it plans groups. Each running agent has
/// renewed with it by then, even when its first attempt went to another instance.
///
/// If it planned on the first reports alone, it would rebuild a broken group from nothing in the
/// domain heard first, before the spare next to the group's survivors has reported.
const GROUP_PLANNING_DELAY: Duration = timing::RENEWAL_INTERVAL.saturating_mul(2);

/// Interval between two checks of presence.
const PRESENCE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

impl Core {
    /// Detects that the process was paused. It received nothing meanwhile, so the agents' silence
    /// during the pause does not count.
    pub(super) fn detect_pause(&mut self, previous: clock::Instant) {
        let gap = self.now.since(previous);
        if gap < MAX_EVENT_GAP {
            return;
        }
        if let Some(leadership) = &mut self.leadership {
            leadership.listening_since = self.now;
            self.push_notice(notice::Notice::Paused(gap));
        }
    }

    /// Starts or ends leadership when the node became leader or ceased to be it.
    pub(super) fn update_leadership(&mut self) {
        let term = self.node.is_leader().then(|| self.node.term());
        if term == self.leadership.map(|leadership| leadership.term) {
            return;
        }
        self.end_leadership();
        self.leadership = term.map(|term| Leadership {
            term,
            listening_since: self.now,
            has_served: false,
            last_aging: self.now,
            last_presence_check: self.now,
            last_planning: self.now,
            replan: true,
        });
    }

    /// Does whatever is due, after every event.
    pub(super) fn run_due_tasks(&mut self) {
        self.expire_calls();
        self.expire_watches();
        if self.can_answer_as_leader() {
            self.answer_stale_watches();
        }
        if self.can_answer_as_leader() && self.stopping_since.is_none() {
            self.run_leader_tasks();
        }
        self.stop_if_handed_over();
    }

    pub(super) fn on_stop(&mut self) {
        if self.stopping_since.is_none() {
            self.stopping_since = Some(self.now);
            self.push_node_event(log_event::Event::Resign);
        }
    }

    fn end_leadership(&mut self) {
        let Some(leadership) = self.leadership.take() else { return };
        let pending = self.calls.take_all();
        if leadership.has_served {
            self.push_notice(notice::Notice::Ceased(leadership.term, pending.len()));
        }
        // The next leader may still commit them, so neither success nor rejection is certain.
        for call in pending {
            self.reply(call, control::Response::Unknown);
        }
        for watch in self.watches.take_all() {
            let response = self.redirect_response();
            self.reply(watch.call, response);
        }
        self.holders.clear();
        self.groups.clear();
    }

    fn expire_calls(&mut self) {
        for call in self.calls.take_expired(self.now) {
            self.reply(call, control::Response::Unknown);
        }
    }

    fn expire_watches(&mut self) {
        for watch in self.watches.take_expired(self.now) {
            if self.can_answer_as_leader() {
                self.answer_watch(&watch);
            } else {
                let response = self.redirect_response();
                self.reply(watch.call, response);
            }
        }
    }

    fn stop_if_handed_over(&mut self) {
        let Some(since) = self.stopping_since else { return };
        let timed_out = self.now.since(since) >= HANDOVER_TIMEOUT;
        if !self.node.is_leader() || timed_out {
            self.end_leadership();
            self.stopped = true;
            self.push_action(action::Action::Stopped);
        }
    }

    fn run_leader_tasks(&mut self) {
        let Some(mut leadership) = self.leadership else { return };
        if !leadership.has_served {
            leadership.has_served = true;
            leadership.listening_since = self.now;
            self.push_notice(notice::Notice::Serving(leadership.term));
        }
        self.age_claims(&mut leadership);
        self.check_presence(&mut leadership);
        self.plan_groups(&mut leadership);
        self.leadership = Some(leadership);
    }

    fn age_claims(&mut self, leadership: &mut Leadership) {
        let elapsed = self.now.since(leadership.last_aging);
        if elapsed < claims::AGING_INTERVAL {
            return;
        }
        leadership.last_aging = self.now;
        if !self.machine.claims().is_empty() {
            self.propose(calls::Purpose::Age, &command::Command::Elapsed(claims::AGING_INTERVAL));
        }
    }

    fn check_presence(&mut self, leadership: &mut Leadership) {
        if self.now.since(leadership.last_presence_check) < PRESENCE_CHECK_INTERVAL {
            return;
        }
        leadership.last_presence_check = self.now;
        self.holders.remove_silent(self.now);
        let view = self.machine.view();
        let listening = leadership.listening_since;
        let commands = self.presence.due_commands(self.now, listening, view, &self.holders);
        if commands.is_empty() {
            return;
        }
        let pending = self.calls.pending_presence();
        for command in commands {
            let instance = match &command {
                command::Command::Absent { instance, .. } => instance.clone(),
                command::Command::Forget(instance) => instance.clone(),
                _ => continue,
            };
            if !pending.contains(&instance) {
                self.propose(calls::Purpose::Presence(instance), &command);
            }
        }
    }

    fn plan_groups(&mut self, leadership: &mut Leadership) {
        if self.now.since(leadership.listening_since) < GROUP_PLANNING_DELAY {
            return;
        }
        let elapsed = self.now.since(leadership.last_planning);
        let min_interval =
            groups::MIN_PLANNING_INTERVAL_PER_INSTANCE * self.machine.view().members.len() as u32;
        let due =
            elapsed >= groups::PLANNING_INTERVAL || leadership.replan && elapsed >= min_interval;
        let is_pending = self.calls.any(|purpose| matches!(purpose, calls::Purpose::Group(_)));
        if !due || is_pending {
            return;
        }
        leadership.last_planning = self.now;
        leadership.replan = false;
        let view = self.machine.view();
        let commands =
            self.groups.plan(self.now, view, &self.holders, self.settings.max_concurrent_loads);
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
