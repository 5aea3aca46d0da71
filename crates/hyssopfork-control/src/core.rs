//! The step function of the control role: events in, actions out.

mod apply;
mod duties;
mod requests;

use crate::{action, calls, event, groups, holders, interests, notice, presence, steps, watches};
use hyssopfork_consensus::{action as log_action, event as log_event, node};
use hyssopfork_state::{command, machine};
use hyssopfork_wire::{clock, control, name, number};
use std::collections::{BTreeMap, VecDeque};
use std::mem;
use std::net;
use std::time::Duration;

/// Default for the limit of concurrent weight loads.
pub const LOADS: u32 = 8;

/// Applied entries after which a snapshot is taken.
pub const SNAPSHOT_ENTRIES: u64 = 4_096;

/// Bytes of applied commands after which a snapshot is taken, even if fewer entries were applied.
pub const SNAPSHOT_BYTES: usize = 16 << 20;

/// Gap between two events from which on this process counts as having been paused. Ticks come every
/// [`action::TICK_INTERVAL`].
pub const GAP_LIMIT: Duration = Duration::from_millis(500);

/// Longest time that a stopping process waits for another instance to take over leadership.
pub const HANDOVER_LIMIT: Duration = Duration::from_secs(2);

/// Settings of a control instance.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of this instance.
    pub instance: name::Instance,
    /// Addresses at which control instances take calls, to redirect clients to the leader.
    pub peers: BTreeMap<name::Instance, net::SocketAddr>,
    /// Limit of concurrent weight loads: as many as the weight store serves at full speed.
    pub loads: u32,
    /// Applied entries after which a snapshot is taken.
    pub snapshot_entries: u64,
}

impl Settings {
    /// Settings with the default limits of this module.
    pub fn new(
        instance: name::Instance,
        peers: BTreeMap<name::Instance, net::SocketAddr>,
    ) -> Settings {
        Settings { instance, peers, loads: LOADS, snapshot_entries: SNAPSHOT_ENTRIES }
    }
}

/// State of one term of leadership.
#[derive(Clone, Copy, Debug)]
struct Leadership {
    term: number::Term,
    /// Since when it has received renewals without a gap; silence counts from here.
    listening: clock::Instant,
    /// Whether it has begun to answer calls.
    serving: bool,
    /// When it last proposed to age the claims.
    aged: clock::Instant,
    /// When it last checked presence.
    surveyed: clock::Instant,
    /// When it last planned the groups.
    planned: clock::Instant,
    /// Whether a change requires planning before the regular interval has passed.
    dirty: bool,
}

/// A control instance.
#[derive(Debug)]
pub struct Core {
    settings: Settings,
    node: node::Node,
    machine: machine::Machine,
    /// Term of the last applied entry.
    applied_term: number::Term,
    applied_since_snapshot: u64,
    bytes_since_snapshot: usize,
    steps: steps::Steps,
    interests: interests::Interests,
    calls: calls::Calls,
    watches: watches::Watches,
    holders: holders::Holders,
    presence: presence::Presence,
    groups: groups::Groups,
    leadership: Option<Leadership>,
    now: clock::Instant,
    /// When the process was asked to stop.
    stopping: Option<clock::Instant>,
    /// Whether the core has stopped or failed; it then ignores all events.
    ended: bool,
    /// Events to be passed to the node.
    inbox: VecDeque<log_event::Event>,
    actions: Vec<action::Action>,
}

impl Core {
    /// Creates a control instance from a node and the state that precedes the node's first entry or
    /// snapshot.
    pub fn new(
        settings: Settings,
        node: node::Node,
        machine: machine::Machine,
        now: clock::Instant,
    ) -> Core {
        let steps = steps::Steps::new(machine.view().version);
        let interests = interests::Interests::new(machine.view());
        Core {
            settings,
            node,
            machine,
            applied_term: number::Term::default(),
            applied_since_snapshot: 0,
            bytes_since_snapshot: 0,
            steps,
            interests,
            calls: calls::Calls::default(),
            watches: watches::Watches::default(),
            holders: holders::Holders::default(),
            presence: presence::Presence::default(),
            groups: groups::Groups::default(),
            leadership: None,
            now,
            stopping: None,
            ended: false,
            inbox: VecDeque::new(),
            actions: Vec::new(),
        }
    }

    /// Handles an event and returns the resulting actions, to be carried out in order.
    pub fn step(&mut self, now: clock::Instant, event: event::Event) -> Vec<action::Action> {
        if self.ended {
            return Vec::new();
        }
        let before = self.now;
        self.now = before.max(now);
        self.note_gap(before);
        match event {
            event::Event::Tick => self.tell(log_event::Event::Tick),
            event::Event::Received(packet) => self.tell(log_event::Event::Received(packet)),
            event::Event::Persisted(mark) => self.tell(log_event::Event::Persisted(mark)),
            event::Event::Called { call, request } => self.called(call, request),
            event::Event::Abandoned(call) => self.abandoned(call),
            event::Event::Stop => self.stop(),
        }
        self.drive();
        self.attend();
        self.drive();
        mem::take(&mut self.actions)
    }

    /// Term and committed index of the replicated log, for metrics.
    pub fn progress(&self) -> (number::Term, number::Index) {
        (self.node.term(), self.node.committed())
    }

    /// The replicated state, for tests and status pages.
    pub fn machine(&self) -> &machine::Machine {
        &self.machine
    }

    /// Whether this instance leads or knows the leader, so that it can answer or redirect a client.
    pub fn is_ready(&self) -> bool {
        self.stopping.is_none() && self.node.leader().is_some()
    }

    /// Whether this instance may answer calls as leader now.
    ///
    /// A leader that is cut off believes that it leads until it learns otherwise. No other leader
    /// can commit before its quorum lease lapses, so its state is the newest while the lease runs.
    /// A new leader has all accepted commands only after it has applied an entry of its own term.
    pub fn leads(&self) -> bool {
        let leased = self.node.quorum_lease(self.now).is_some_and(|until| self.now < until);
        self.node.is_leader() && leased && self.applied_term == self.node.term()
    }

    fn tell(&mut self, event: log_event::Event) {
        self.inbox.push_back(event);
    }

    /// Passes pending events to the node and handles the resulting actions until no event is left.
    fn drive(&mut self) {
        while let Some(event) = self.inbox.pop_front() {
            let actions = self.node.step(self.now, event);
            for action in actions {
                self.carry_out(action);
            }
            self.follow_leadership();
        }
    }

    fn carry_out(&mut self, action: log_action::Action) {
        match action {
            log_action::Action::Send(packet) => self.act(action::Action::Send(packet)),
            log_action::Action::Persist(write) => self.act(action::Action::Persist(write)),
            log_action::Action::Apply(entry) => self.apply(entry),
            log_action::Action::Restore(snapshot) => self.restore(snapshot),
            log_action::Action::Proposed { ticket, index, term } => {
                self.calls.append(ticket, index, term);
            }
            log_action::Action::Rejected { ticket, .. } => self.rejected(ticket),
            log_action::Action::Notice(inner) => self.notice(notice::Notice::Log(inner)),
        }
    }

    fn act(&mut self, action: action::Action) {
        self.actions.push(action);
    }

    fn notice(&mut self, notice: notice::Notice) {
        self.act(action::Action::Notice(notice));
    }

    fn reply(&mut self, call: u64, response: control::Response) {
        self.act(action::Action::Reply { call, response });
    }

    fn fail(&mut self, reason: String) {
        self.ended = true;
        self.act(action::Action::Fail(reason));
    }

    /// Proposes a command to the log; returns false when there is no room or the command is too
    /// long.
    fn propose(&mut self, purpose: calls::Purpose, command: &command::Command) -> bool {
        let command = command::encode(command);
        if !self.calls.has_room() || command.len() > node::MAX_COMMAND_BYTES {
            return false;
        }
        let ticket = self.calls.wait(self.now, purpose);
        self.tell(log_event::Event::Propose { ticket, command });
        true
    }

    fn rejected(&mut self, ticket: u64) {
        if let Some(call) = self.calls.reject(ticket).and_then(|purpose| purpose.call()) {
            let response = self.elsewhere();
            self.reply(call, response);
        }
    }

    /// Response that redirects a client to the leader; the request had no effect here.
    fn elsewhere(&self) -> control::Response {
        let leader = self.node.leader().filter(|leader| leader.instance != self.settings.instance);
        let address = leader.and_then(|leader| self.settings.peers.get(&leader.instance));
        control::Response::NotLeader(address.copied())
    }
}
