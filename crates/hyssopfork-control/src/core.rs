//! The step function of the control role: events in, actions out.

mod apply;
mod leadership;
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
pub const DEFAULT_MAX_CONCURRENT_LOADS: u32 = 8;

/// Applied entries after which a snapshot is taken.
pub const DEFAULT_SNAPSHOT_INTERVAL_ENTRIES: u64 = 4_096;

/// Bytes of applied commands after which a snapshot is taken, even if fewer entries were applied.
pub const SNAPSHOT_INTERVAL_BYTES: usize = 16 << 20;

/// Gap between two events from which on this process counts as having been paused. Ticks come every
/// [`action::TICK_INTERVAL`].
pub const MAX_EVENT_GAP: Duration = Duration::from_millis(500);

/// Longest time that a stopping process waits for another instance to take over leadership.
pub const HANDOVER_TIMEOUT: Duration = Duration::from_secs(2);

/// Settings of a control instance.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of this instance.
    pub instance: name::Instance,
    /// Addresses at which control instances take calls, to redirect clients to the leader.
    pub peers: BTreeMap<name::Instance, net::SocketAddr>,
    /// Limit of concurrent weight loads: as many as the weight store serves at full speed.
    pub max_concurrent_loads: u32,
    /// Applied entries after which a snapshot is taken.
    pub snapshot_interval_entries: u64,
}

impl Settings {
    /// Settings with the default limits of this module.
    pub fn new(
        instance: name::Instance,
        peers: BTreeMap<name::Instance, net::SocketAddr>,
    ) -> Settings {
        Settings {
            instance,
            peers,
            max_concurrent_loads: DEFAULT_MAX_CONCURRENT_LOADS,
            snapshot_interval_entries: DEFAULT_SNAPSHOT_INTERVAL_ENTRIES,
        }
    }
}

/// State of one term of leadership.
#[derive(Clone, Copy, Debug)]
struct Leadership {
    term: number::Term,
    /// Since when it has received renewals without a gap; silence counts from here.
    listening_since: clock::Instant,
    /// Whether it has begun to answer calls.
    has_served: bool,
    /// When it last proposed to age the claims.
    last_aging: clock::Instant,
    /// When it last checked presence.
    last_presence_check: clock::Instant,
    /// When it last planned the groups.
    last_planning: clock::Instant,
    /// Whether a change requires planning before the regular interval has passed.
    replan: bool,
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
    stopping_since: Option<clock::Instant>,
    /// Whether the core has stopped or failed; it then ignores all events.
    stopped: bool,
    /// Events to be passed to the node.
    node_events: VecDeque<log_event::Event>,
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
            stopping_since: None,
            stopped: false,
            node_events: VecDeque::new(),
            actions: Vec::new(),
        }
    }

    /// Handles an event and returns the resulting actions, to be carried out in order.
    pub fn step(&mut self, now: clock::Instant, event: event::Event) -> Vec<action::Action> {
        if self.stopped {
            return Vec::new();
        }
        let previous = self.now;
        self.now = previous.max(now);
        self.detect_pause(previous);
        match event {
            event::Event::Tick => self.push_node_event(log_event::Event::Tick),
            event::Event::Received(packet) => {
                self.push_node_event(log_event::Event::Received(packet))
            }
            event::Event::Persisted(mark) => {
                self.push_node_event(log_event::Event::Persisted(mark))
            }
            event::Event::Request { call, request } => self.on_request(call, request),
            event::Event::Abandoned(call) => self.on_call_abandoned(call),
            event::Event::Stop => self.on_stop(),
        }
        self.run_node();
        self.run_due_tasks();
        self.run_node();
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
        self.stopping_since.is_none() && self.node.leader().is_some()
    }

    /// Whether this instance may answer calls as leader now.
    ///
    /// A leader that is cut off believes that it leads until it learns otherwise. No other leader
    /// can commit before its quorum lease lapses, so its state is the newest while the lease runs.
    /// A new leader has all accepted commands only after it has applied an entry of its own term.
    pub fn can_answer_as_leader(&self) -> bool {
        let leased = self.node.quorum_lease(self.now).is_some_and(|until| self.now < until);
        self.node.is_leader() && leased && self.applied_term == self.node.term()
    }

    fn push_node_event(&mut self, event: log_event::Event) {
        self.node_events.push_back(event);
    }

    /// Passes pending events to the node and handles the resulting actions until no event is left.
    fn run_node(&mut self) {
        while let Some(event) = self.node_events.pop_front() {
            let actions = self.node.step(self.now, event);
            for action in actions {
                self.on_node_action(action);
            }
            self.update_leadership();
        }
    }

    fn on_node_action(&mut self, action: log_action::Action) {
        match action {
            log_action::Action::Send(packet) => self.push_action(action::Action::Send(packet)),
            log_action::Action::Persist(write) => self.push_action(action::Action::Persist(write)),
            log_action::Action::Apply(entry) => self.apply(entry),
            log_action::Action::Restore(snapshot) => self.restore(snapshot),
            log_action::Action::Proposed { ticket, index, term } => {
                self.calls.record_position(ticket, index, term);
            }
            log_action::Action::Rejected { ticket, .. } => self.on_rejected(ticket),
            log_action::Action::Notice(inner) => self.push_notice(notice::Notice::Log(inner)),
        }
    }

    fn push_action(&mut self, action: action::Action) {
        self.actions.push(action);
    }

    fn push_notice(&mut self, notice: notice::Notice) {
        self.push_action(action::Action::Notice(notice));
    }

    fn reply(&mut self, call: u64, response: control::Response) {
        self.push_action(action::Action::Reply { call, response });
    }

    fn fail(&mut self, reason: String) {
        self.stopped = true;
        self.push_action(action::Action::Fail(reason));
    }

    /// Proposes a command to the log; returns false when there is no room or the command is too
    /// long.
    fn propose(&mut self, purpose: calls::Purpose, command: &command::Command) -> bool {
        let command = command::encode(command);
        if !self.calls.has_capacity() || command.len() > node::MAX_COMMAND_BYTES {
            return false;
        }
        let ticket = self.calls.register(self.now, purpose);
        self.push_node_event(log_event::Event::Propose { ticket, command });
        true
    }

    fn on_rejected(&mut self, ticket: u64) {
        if let Some(call) = self.calls.take_rejected(ticket).and_then(|purpose| purpose.call()) {
            let response = self.redirect_response();
            self.reply(call, response);
        }
    }

    /// Response that redirects a client to the leader; the request had no effect here.
    fn redirect_response(&self) -> control::Response {
        let leader = self.node.leader().filter(|leader| leader.instance != self.settings.instance);
        let address = leader.and_then(|leader| self.settings.peers.get(&leader.instance));
        control::Response::NotLeader(address.copied())
    }
}
