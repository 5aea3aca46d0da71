//! The control state machine of one process: a step function that takes events and returns actions.

mod acknowledge;
mod calls;
mod follow;
mod lead;
mod saved_view;
mod watches;

use crate::{
    action, bootstrap, declaration, discovery, document, durable, event, groups, heartbeats, link,
    notice, publication, quarantine, read_refusal, registry, relays, settings, view,
};
use hyssopfork_consensus::{
    action as log_action, event as log_event, node, notice as log_notice, proposals,
};
use hyssopfork_wire::{clock, consensus, name, number};
use std::collections::{BTreeMap, VecDeque};
use std::mem;
use std::net;
use std::sync::Arc;
use std::time::Duration;

/// Longest time between two events; after a longer gap (25 missed ticks) the process counts as
/// having been paused.
const MAX_EVENT_GAP: Duration = Duration::from_millis(500);

/// Applied log entries between two snapshots.
const SNAPSHOT_INTERVAL_ENTRIES: u64 = 1_024;

/// Applied command bytes that trigger a snapshot before [`SNAPSHOT_INTERVAL_ENTRIES`] is reached.
/// The log is held in memory by a process limited to 160 MB, and its disk holds 64 MB.
const SNAPSHOT_INTERVAL_BYTES: usize = 4 << 20;

/// Most voters of the log. Each one is sent a heartbeat ten times a second; a hundred of them took more
/// of a leader's processor than all else.
const MAX_VOTERS: usize = 13;

/// Log entries retained in memory before a snapshot, for followers that lag slightly.
const RETAINED_LOG_ENTRIES: u64 = 64;

/// Minimum time without a leader heartbeat after which a voter starts an election: four heartbeats,
/// and more than the 0.1 s for which an instance is throttled when its CPU quota is used up.
/// Failover takes this time, half of [`ELECTION_SPREAD`] on average and one or two syncs.
const ELECTION_TIMEOUT: Duration = Duration::from_millis(450);

/// Maximum random addition to [`ELECTION_TIMEOUT`]. A sync takes a voter 1 ms to 10 ms, so two
/// voters rarely start an election at the same time.
const ELECTION_SPREAD: Duration = Duration::from_millis(250);

/// Duration of the quorum lease; shorter than [`ELECTION_TIMEOUT`] by more than the possible clock
/// drift.
const QUORUM_LEASE: Duration = Duration::from_millis(380);

/// Time after which a pending proposal is answered with an unknown outcome. Clients treat a second
/// without an answer as a failure and retry. An election takes less than this timeout, so a
/// proposal that is still pending was lost with its leader.
const PROPOSAL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Decodes a declaration from an operator's document; `None` if it is malformed.
pub type Decode = fn(&[u8]) -> Option<declaration::Declaration>;

/// The last known view of the fleet, kept across changes of leader.
#[derive(Clone, Debug, Default)]
struct LocalView {
    upstreams: BTreeMap<name::Instance, view::Upstream>,
    groups: BTreeMap<name::Group, view::Group>,
    entries: BTreeMap<net::SocketAddr, ()>,
    quarantine: BTreeMap<quarantine::Cause, quarantine::Verdict>,
    plans: BTreeMap<name::Pool, groups::demand::Basis>,
    /// Document of the declaration that this process's entry uses.
    ///
    /// Invariant: its version never decreases.
    document: Option<document::Document>,
    /// Parts received of a newer document.
    partial: document::Partial,
    /// Revision of the view that this process's entry uses.
    stamp: view::Stamp,
}

/// State that a leader keeps during its term.
#[derive(Clone, Debug)]
struct Leadership {
    term: number::Term,
    registry: registry::Registry,
    groups: groups::Groups,
    ledger: quarantine::Ledger,
    publisher: publication::Publisher,
    watches: watches::Watches,
    /// Capacity of this process's link for updates.
    update_bucket: link::Bucket,
    /// Whether something may have changed since the last review.
    dirty: bool,
    /// When the groups were last reviewed; `None` before the first review.
    last_review: Option<clock::Instant>,
    /// When the view was last published; `None` before the first publication.
    last_publication: Option<clock::Instant>,
    /// Whether a review has taken place since the last publication.
    publication_pending: bool,
    /// When this process's own entry last received an update.
    last_local_update: clock::Instant,
    voter_review: lead::VoterReview,
    /// Calls whose changes are applied, and wait until enough instances have received them.
    held_calls: Vec<acknowledge::HeldCall>,
    /// When the newest connection to a process was refused; only recent refusals count.
    refusals: BTreeMap<net::SocketAddr, clock::Instant>,
    /// When voters and former voters last answered, as of the last review of the voters.
    heard_at: BTreeMap<name::Instance, clock::Instant>,
}

/// The control state machine of a process.
#[derive(Debug)]
pub struct Core {
    settings: settings::Settings,
    decode: Decode,
    node: Option<node::Node>,
    /// Whether this process's folder has been that of a voter.
    had_seat: bool,
    /// When the data folder was last opened.
    folder_opened_at: clock::Instant,
    /// Leader of the log as last reported by the local consensus node.
    node_leader: Option<net::SocketAddr>,
    state: durable::State,
    /// Index and term of the last applied entry.
    applied: (number::Index, number::Term),
    applied_since_snapshot: u64,
    bytes_since_snapshot: usize,
    /// Calls whose commands are not applied yet.
    proposals: proposals::Proposals<u64>,
    discovery: discovery::Discovery,
    bootstrap: bootstrap::Bootstrap,
    local_view: LocalView,
    saved_view: saved_view::State,
    declaration: Option<Arc<declaration::Declaration>>,
    leadership: Option<Leadership>,
    /// Evidence from this process's own entry for its next watch.
    evidence: crate::peer::Evidence,
    heartbeats: heartbeats::Heartbeats,
    relays: relays::Relays,
    /// For the log only.
    refused_reads: read_refusal::Tracker,
    now: clock::Instant,
    inbox: VecDeque<log_event::Event>,
    actions: Vec<action::Action>,
}

impl LocalView {
    /// Version of the declaration that this process's entry uses; 0 for none.
    fn version(&self) -> u64 {
        self.document.as_ref().map_or(0, |document| document.version)
    }
}

impl Core {
    /// Creates the state machine of a process that started at `now`.
    pub fn new(settings: settings::Settings, decode: Decode, now: clock::Instant) -> Core {
        let is_first_seed =
            settings.first_start && settings.seeds.first() == Some(&settings.address);
        let mut discovery = discovery::Discovery::new(settings.address, settings.seeds.clone());
        if let Some(introduction) = settings.introduction(false) {
            discovery.record_introduction(now, introduction);
        }
        Core {
            decode,
            node: None,
            had_seat: false,
            folder_opened_at: now,
            node_leader: None,
            state: durable::State::default(),
            applied: (number::Index(0), number::Term(0)),
            applied_since_snapshot: 0,
            bytes_since_snapshot: 0,
            proposals: proposals::Proposals::default(),
            discovery,
            bootstrap: bootstrap::Bootstrap::new(is_first_seed, now),
            local_view: LocalView::default(),
            saved_view: saved_view::State::default(),
            declaration: None,
            leadership: None,
            evidence: crate::peer::Evidence::default(),
            heartbeats: heartbeats::Heartbeats::default(),
            relays: relays::Relays::default(),
            refused_reads: read_refusal::Tracker::new(now),
            now,
            inbox: VecDeque::new(),
            actions: Vec::new(),
            settings,
        }
    }

    /// Handles an event and returns the resulting actions, to be executed in order.
    pub fn step(&mut self, now: clock::Instant, event: event::Event) -> Vec<action::Action> {
        let previous = self.now;
        self.now = previous.max(now);
        self.detect_pause(previous);
        self.handle_event(event);
        self.run_log();
        self.update_leadership();
        self.run_leader_duties();
        self.run_log();
        mem::take(&mut self.actions)
    }

    /// Whether this process leads and may answer for the fleet.
    ///
    /// A partitioned leader still believes that it leads, but its quorum lease expires before
    /// another leader can commit. A new leader is sure to have applied every committed entry only
    /// once it has applied an entry of its own term.
    pub fn is_active_leader(&self) -> bool {
        self.node.as_ref().is_some_and(|node| {
            node.is_leader()
                && node.quorum_lease(self.now).is_some()
                && self.applied.1 == node.term()
        })
    }

    /// Whether this process leads and knows the fleet.
    pub fn knows_fleet(&self) -> bool {
        self.is_active_leader()
            && self.leadership.as_ref().is_some_and(|it| it.groups.is_fleet_known())
    }

    /// The leader, if known.
    pub fn leader(&self) -> Option<net::SocketAddr> {
        self.discovery.leader()
    }

    /// Term and commit index of the local consensus node, for metrics.
    pub fn progress(&self) -> Option<(number::Term, number::Index)> {
        self.node.as_ref().map(|node| (node.term(), node.committed()))
    }

    fn handle_event(&mut self, event: event::Event) {
        match event {
            event::Event::Tick => self.tick(),
            event::Event::FolderOpened { folder, durable, seed, view } => {
                self.on_folder_opened(folder, *durable, seed);
                if let Some(view) = view {
                    self.restore_view(*view);
                }
            }
            event::Event::FolderFailed => self.on_folder_failed(),
            event::Event::Persisted(mark) => self.push_log_event(log_event::Event::Persisted(mark)),
            event::Event::Received(packet) => {
                self.push_log_event(log_event::Event::Received(packet))
            }
            event::Event::Called { call, request } => self.on_call(call, request),
            event::Event::Abandoned(call) => self.on_abandoned(call),
            event::Event::Introduced(introduction) => self.on_introduced(introduction),
            event::Event::GreetingAnswered(greeting) => self.on_greeting(&greeting),
            event::Event::WatchAnswered { from, answer } => self.on_watch_answered(from, answer),
            event::Event::RelayAnswered { call, accepted } => {
                self.on_relay_answered(call, accepted)
            }
            event::Event::BatchAnswered { number, accepted } => {
                self.on_batch_answered(number, accepted)
            }
            event::Event::Observed(from, evidence) => self.on_evidence(from, evidence),
            event::Event::OrderAnswered(ticket, outcome) => self.on_order_answered(ticket, outcome),
            event::Event::Probed(instance, sign) => self.on_probed(&instance, sign),
            event::Event::Reported(instance, report) => self.on_report(&instance, report),
            event::Event::PeerProbed(from, instance, alive) => {
                self.on_peer_probed(from, &instance, alive)
            }
            event::Event::Refused(address) => self.on_refused(address),
            event::Event::SeedsChanged(seeds) => self.discovery.set_seeds(seeds),
            event::Event::Stop => self.push_log_event(log_event::Event::Resign),
        }
    }

    fn tick(&mut self) {
        self.push_log_event(log_event::Event::Tick);
        if self.is_active_leader() {
            self.refused_reads.on_contact(self.now, self.settings.address);
        }
        for call in self.proposals.take_expired(self.now, PROPOSAL_TIMEOUT) {
            self.reply(call, action::Reply::Unknown);
        }
        self.answer_held_calls();
        for call in self.relays.take_expired(self.now) {
            self.on_relay_answered(call, false);
        }
        self.send_relays();
        self.save_view_if_due();
        let own = self.hello();
        self.bootstrap.add_candidate(&own);
        if self.bootstrap.choose_founder(self.now) == Some(self.settings.address) {
            self.bootstrap_log();
        }
        self.follow_leader();
    }

    fn detect_pause(&mut self, previous: clock::Instant) {
        let gap = self.now.since(previous);
        if gap < MAX_EVENT_GAP {
            return;
        }
        self.push_notice(notice::Notice::Paused(gap.as_millis() as u64));
        if let Some(leadership) = &mut self.leadership {
            leadership.registry.reset_silence(self.now);
        }
    }

    fn on_folder_opened(&mut self, folder: u64, durable: node::Durable, seed: u64) {
        let identity = consensus::Voter { instance: instance_of(self.settings.address), folder };
        let options = node::Settings {
            voters: self.listed_instances(),
            formation: node::Formation::Designated,
            min_voters: self.settings.required_voters(),
            max_voters: MAX_VOTERS,
            retained_entries: RETAINED_LOG_ENTRIES,
            election_timeout: ELECTION_TIMEOUT,
            election_spread: ELECTION_SPREAD,
            quorum_lease: QUORUM_LEASE,
            ..node::Settings::default()
        };
        self.state = durable::State::default();
        self.applied = (number::Index(0), number::Term(0));
        let node = node::Node::new(identity, durable, options, seed, self.now);
        let recovered = log_notice::Notice::Recovered(Box::new(node.folder()));
        self.had_seat = node.has_had_seat() == Some(true);
        self.folder_opened_at = self.now;
        self.node = Some(node);
        self.push_notice(notice::Notice::FolderOpened);
        self.push_notice(notice::Notice::Log(recovered));
    }

    /// Continues without the log. Its in-memory state is dropped as in a restart, so that nothing
    /// is published or answered that may not be on disk.
    fn on_folder_failed(&mut self) {
        self.node = None;
        self.node_leader = None;
        self.inbox.clear();
        self.end_leadership();
        self.discovery.forget_leader(self.settings.address, None);
        self.push_notice(notice::Notice::FolderFailed);
    }

    /// Forms the log if this process's folder is blank and this is the system's first start.
    fn bootstrap_log(&mut self) {
        if self.may_bootstrap() {
            self.push_log_event(log_event::Event::Form);
        }
    }

    fn may_bootstrap(&self) -> bool {
        let blank = self.node.as_ref().is_some_and(node::Node::is_blank);
        self.settings.first_start && blank
    }

    /// The greeting that describes this process.
    fn hello(&self) -> crate::peer::Hello {
        crate::peer::Hello {
            address: self.settings.address,
            has_folder: self.settings.has_folder,
            may_bootstrap: self.may_bootstrap(),
        }
    }

    /// Instances that may host a voter.
    fn listed_instances(&self) -> Vec<name::Instance> {
        self.discovery.controls().map(instance_of).collect()
    }

    fn push_log_event(&mut self, event: log_event::Event) {
        if self.node.is_some() {
            self.inbox.push_back(event);
        }
    }

    /// Passes queued events to the consensus node and handles its actions until the queue is empty.
    fn run_log(&mut self) {
        while let Some(event) = self.inbox.pop_front() {
            let Some(node) = &mut self.node else { return };
            for action in node.step(self.now, event) {
                self.handle_log_action(action);
            }
        }
    }

    fn handle_log_action(&mut self, action: log_action::Action) {
        match action {
            log_action::Action::Send(packet) => self.push_action(action::Action::Send(packet)),
            log_action::Action::Persist(write) => self.push_action(action::Action::Persist(write)),
            log_action::Action::Apply(entry) => self.apply(entry),
            log_action::Action::Restore(snapshot) => match durable::State::decode(&snapshot.data) {
                Ok(state) => {
                    self.state = state;
                    self.applied = (snapshot.index, snapshot.term);
                }
                Err(error) => self.on_unreadable_log(&error),
            },
            log_action::Action::Proposed { ticket, index, term } => {
                self.proposals.record_position(ticket, index, term);
            }
            log_action::Action::Rejected { ticket, .. } => {
                if let Some(call) = self.proposals.take_rejected(ticket) {
                    let leader = self.other_leader();
                    self.reply(call, action::Reply::NotLeader(leader));
                }
            }
            log_action::Action::Notice(inner) => {
                if matches!(inner, log_notice::Notice::Voters(..)) {
                    // An instance that lost its seat may request to join before the next review.
                    self.update_learners();
                }
                self.push_notice(notice::Notice::Log(inner));
            }
        }
    }

    fn apply(&mut self, entry: consensus::Entry) {
        if entry.term != self.applied.1 {
            self.state.drop_partial();
        }
        self.applied = (entry.index, entry.term);
        let mut applied = durable::Applied::Unchanged;
        let mut is_declaration = false;
        if let consensus::Payload::Command(bytes) = &entry.payload {
            match durable::Command::decode(bytes) {
                Ok(command) => {
                    is_declaration = command.is_declaration();
                    applied = self.execute(command);
                }
                Err(error) => return self.on_unreadable_log(&error),
            }
            self.bytes_since_snapshot += bytes.len();
        }
        if let Some(call) = self.proposals.take_applied(entry.index, entry.term) {
            let receipt = match is_declaration {
                true => acknowledge::Receipt::Declaration(self.state.version()),
                false => acknowledge::Receipt::View(None),
            };
            match applied {
                durable::Applied::Changed | durable::Applied::Unchanged => {
                    self.acknowledge(call, receipt);
                }
                durable::Applied::Incomplete => self.reply(call, action::Reply::Unknown),
            }
        }
        self.applied_since_snapshot += 1;
        self.snapshot_if_due();
    }

    fn execute(&mut self, command: durable::Command) -> durable::Applied {
        let notice = match &command {
            durable::Command::Declare(document) => notice::Notice::Declared(document.version),
            durable::Command::DeclarePart(part) => notice::Notice::Declared(part.version),
            durable::Command::TakeOut(zone) => notice::Notice::TakenOut(zone.clone()),
            durable::Command::BringIn(zone) => notice::Notice::BroughtIn(zone.clone()),
            // Its announcement is logged by the leader.
            durable::Command::Depart(_) => return self.state.apply(command),
        };
        let brought_in = match &command {
            durable::Command::BringIn(zone) => Some(zone.clone()),
            _ => None,
        };
        let applied = self.state.apply(command);
        let has_changed = applied == durable::Applied::Changed;
        if has_changed {
            self.push_notice(notice);
        }
        if let Some(leadership) = &mut self.leadership {
            leadership.dirty = true;
            // Its upstreams may have become cold since their last calls.
            if let Some(zone) = brought_in.filter(|_| has_changed) {
                let until = self.now + self.settings.assumed_cold_time();
                leadership.registry.assume_cold(&zone, until);
            }
        }
        applied
    }

    fn snapshot_if_due(&mut self) {
        let due = self.applied_since_snapshot >= SNAPSHOT_INTERVAL_ENTRIES
            || self.bytes_since_snapshot >= SNAPSHOT_INTERVAL_BYTES;
        if !due || !self.state.is_complete() {
            return;
        }
        self.applied_since_snapshot = 0;
        self.bytes_since_snapshot = 0;
        let (index, data) = (self.applied.0, self.state.encode());
        self.push_log_event(log_event::Event::Snapshotted { index, data });
    }

    /// Stops using the log: it holds an entry that this release can't read, and skipping the entry
    /// would lose accepted state.
    fn on_unreadable_log(&mut self, error: &durable::Error) {
        self.push_notice(notice::Notice::Unreadable(error.to_string()));
        self.on_folder_failed();
    }

    fn push_action(&mut self, action: action::Action) {
        self.actions.push(action);
    }

    fn push_notice(&mut self, notice: notice::Notice) {
        self.push_action(action::Action::Notice(notice));
    }

    fn reply(&mut self, call: u64, reply: action::Reply) {
        self.push_action(action::Action::Reply(call, reply));
    }

    /// The leader, if known and not this process.
    fn other_leader(&self) -> Option<net::SocketAddr> {
        self.discovery.leader().filter(|leader| *leader != self.settings.address)
    }

    /// The declaration in `document`, decoded once per version.
    fn decode_declaration(
        &mut self,
        document: &document::Document,
    ) -> Option<Arc<declaration::Declaration>> {
        let known = self.declaration.as_ref();
        if known.is_none_or(|known| known.version != document.version) {
            self.declaration = (self.decode)(&document.bytes).map(Arc::new);
        }
        self.declaration.clone()
    }
}

/// Name of a process in the replicated log.
fn instance_of(address: net::SocketAddr) -> name::Instance {
    name::Instance::new(address.to_string())
}

/// Address of a process, parsed from its name in the replicated log.
pub fn address_of(instance: &name::Instance) -> Option<net::SocketAddr> {
    instance.as_str().parse().ok()
}
