//! Raft node: the step function of one voter or learner.
//!
//! The node decides; its owner sends, writes and applies. A message that other nodes rely on (a
//! vote, an acknowledgement) is sent only after the write that it depends on is synced.

mod election;
mod follower;
mod formation;
mod leader;
mod leader_state;
mod membership;
mod progress;
mod reporting;
mod write_tracker;

#[cfg(doc)]
use crate::voters;
use crate::{action, event, log, notice, quorum, write};
use hyssopfork_wire::{clock, consensus, name, number, timing};
use rand::SeedableRng;
use std::collections;
use std::time::Duration;

/// Largest command in bytes.
pub const MAX_COMMAND_BYTES: usize = 1 << 20;

/// Persistent state, as held by the journal.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Durable {
    /// Term and vote.
    pub ballot: write::Ballot,
    /// Newest snapshot.
    pub snapshot: Option<write::Snapshot>,
    /// Contiguous entries after the snapshot.
    pub entries: Vec<consensus::Entry>,
}

impl Durable {
    /// Applies the parts of a write in the order of its fields.
    ///
    /// Entries after a new snapshot are retained only if the last entry that it covers is in the
    /// log; otherwise they belong to a log that was overwritten.
    pub fn apply(&mut self, write: &write::Write) {
        if let Some(ballot) = &write.ballot {
            self.ballot = ballot.clone();
        }
        if let Some(snapshot) = &write.snapshot {
            self.install_snapshot(snapshot);
        }
        if let Some(index) = write.truncate {
            self.entries.retain(|entry| entry.index < index);
        }
        self.entries.extend(write.entries.iter().cloned());
    }

    fn install_snapshot(&mut self, snapshot: &write::Snapshot) {
        let matches = self
            .entries
            .iter()
            .any(|entry| entry.index == snapshot.index && entry.term == snapshot.term);
        self.entries.retain(|entry| matches && entry.index > snapshot.index);
        self.snapshot = Some(snapshot.clone());
    }
}

/// How the log is formed at the first start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Formation {
    /// The first of the listed instances forms the log once all listed instances have reported a
    /// blank data folder.
    #[default]
    Listed,
    /// The owner designates one blank folder, which forms the log alone
    /// ([`event::Event::Form`]); the other instances join. For fleets whose instances are not
    /// known in advance.
    Designated,
}

/// Settings of a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Instances of the initial voters; the list must be the same on each of them. An instance
    /// listed later joins automatically. One that is not listed sends its requests to join to these
    /// and is added by an operator. [`event::Event::SetListedVoters`] replaces the list.
    pub voters: Vec<name::Instance>,
    /// Listed instances that get a seat by themselves only below `min_voters`; otherwise they are
    /// learners until the owner gives them the seat of another one ([`voters::Change::Replace`]).
    pub learners: Vec<name::Instance>,
    /// How the log is formed.
    pub formation: Formation,
    /// Interval between heartbeats.
    pub heartbeat: Duration,
    /// Minimum time without contact with the leader before an election.
    pub election_timeout: Duration,
    /// Upper bound of the random addition to `election_timeout`.
    pub election_spread: Duration,
    /// Duration of the quorum lease; shorter than `election_timeout` by more than the clock-rate
    /// error.
    pub quorum_lease: Duration,
    /// Voters below which learners join automatically.
    pub min_voters: usize,
    /// Voters up to which listed instances join automatically; the others wait until one leaves.
    pub max_voters: usize,
    /// Number of entries retained in memory before a snapshot, so that a follower that lags
    /// slightly needs no snapshot.
    pub retained_entries: u64,
}

/// Default of [`Settings::retained_entries`].
const DEFAULT_RETAINED_ENTRIES: u64 = 2_000;

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            voters: Vec::new(),
            learners: Vec::new(),
            formation: Formation::default(),
            heartbeat: timing::HEARTBEAT_INTERVAL,
            election_timeout: timing::ELECTION_TIMEOUT,
            election_spread: timing::ELECTION_JITTER,
            quorum_lease: timing::QUORUM_LEASE,
            min_voters: 1,
            max_voters: usize::MAX,
            retained_entries: DEFAULT_RETAINED_ENTRIES,
        }
    }
}

/// Role of a node in its term.
#[derive(Debug)]
enum Role {
    /// Follows a leader, or waits for one.
    Follower,
    /// Candidate in an election or a pre-vote.
    Candidate(election::Candidacy),
    /// Leader.
    Leader(Box<leader_state::State>),
}

/// Raft node: one voter or learner.
#[derive(Debug)]
pub struct Node {
    identity: consensus::Voter,
    settings: Settings,
    rng: rand_chacha::ChaCha8Rng,
    /// Latest time seen.
    now: clock::Instant,
    /// When the process started; it does not remember contact with a leader before that.
    started_at: clock::Instant,
    /// Invariant: the term never decreases.
    ballot: write::Ballot,
    log: log::Log,
    writes: write_tracker::Tracker,
    /// Number of the write that contains the ballot.
    ballot_write: u64,
    /// Last committed index; all entries up to it have been issued for application.
    ///
    /// Invariant: never decreases, and no entry up to it is ever replaced by another.
    committed: number::Index,
    role: Role,
    /// Leader of the term; a term has at most one.
    leader: Option<consensus::Voter>,
    /// When the leader of the term was last heard from.
    leader_heard_at: Option<clock::Instant>,
    /// When to start the next candidacy.
    election_at: clock::Instant,
    /// When to send the next requests to join or to form the log.
    next_request_at: clock::Instant,
    /// Rounds of requests to join since this process started.
    join_rounds: u32,
    /// Voters that reported a blank data folder.
    blank_folders: collections::BTreeMap<name::Instance, consensus::Voter>,
    /// Last sender of a request to form the log whose list of initial voters differs.
    mismatched_voter: Option<consensus::Voter>,
    /// Partially received snapshot.
    incoming_snapshot: Option<follower::Incoming>,
    /// Whether the process is stopping.
    resigned: bool,
    /// For the log only.
    reporting: reporting::Tracker,
    /// Write collected in this step; its number is set once it contains anything.
    pending_write: write::Write,
    actions: Vec<action::Action>,
}

impl Node {
    /// Creates a node from the state that its journal recovered. `seed` seeds the random number
    /// generator.
    pub fn new(
        identity: consensus::Voter,
        durable: Durable,
        settings: Settings,
        seed: u64,
        now: clock::Instant,
    ) -> Node {
        let restored = durable.snapshot.clone().filter(|snapshot| snapshot.index.0 > 0);
        let committed = durable.snapshot.as_ref().map_or(number::Index(0), |last| last.index);
        let log = log::Log::new(durable.snapshot, durable.entries);
        let mut node = Node {
            identity,
            settings,
            rng: rand_chacha::ChaCha8Rng::seed_from_u64(seed),
            now,
            started_at: now,
            ballot: durable.ballot,
            writes: write_tracker::Tracker::new(log.last().index),
            log,
            ballot_write: 0,
            committed,
            role: Role::Follower,
            leader: None,
            leader_heard_at: None,
            election_at: now,
            next_request_at: now,
            join_rounds: 0,
            blank_folders: collections::BTreeMap::new(),
            mismatched_voter: None,
            incoming_snapshot: None,
            resigned: false,
            reporting: reporting::Tracker::default(),
            pending_write: write::Write::default(),
            actions: restored.into_iter().map(action::Action::Restore).collect(),
        };
        node.postpone_election();
        node
    }

    /// Handles an event and returns the resulting actions.
    pub fn step(&mut self, now: clock::Instant, event: event::Event) -> Vec<action::Action> {
        self.now = self.now.max(now);
        self.check_quorum();
        match event {
            event::Event::Tick => self.on_tick(),
            event::Event::Received(packet) => self.on_message(packet),
            event::Event::Persisted(number) => self.on_persisted(number),
            event::Event::Propose { ticket, command } => self.on_propose(ticket, command),
            event::Event::ChangeVoters { ticket, change } => self.on_change_voters(ticket, change),
            event::Event::Snapshotted { index, data } => self.on_snapshotted(index, data),
            event::Event::SetListedVoters(instances) => self.settings.voters = instances,
            event::Event::SetLearners(instances) => self.settings.learners = instances,
            event::Event::SetAbsent(instances) => self.on_set_absent(&instances),
            event::Event::Form => self.on_form(),
            event::Event::Resign => self.on_resign(),
        }
        self.track_leader_contact();
        self.take_actions()
    }

    /// Whether this node considers itself leader.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// Highest term seen.
    pub fn term(&self) -> number::Term {
        self.ballot.term
    }

    /// Current leader, if known.
    pub fn leader(&self) -> Option<&consensus::Voter> {
        self.leader.as_ref()
    }

    /// Committed index.
    pub fn committed(&self) -> number::Index {
        self.committed
    }

    /// Voters, including vacant seats.
    pub fn voters(&self) -> &[consensus::Voter] {
        self.log.voters()
    }

    /// Instances that gave their votes to newer ones and take no seat by themselves, oldest first. One
    /// that got a seat again remains listed.
    pub fn superseded(&self) -> &[name::Instance] {
        &self.log.former_voters().superseded
    }

    /// Instances whose seats were removed, or given to a superseded instance, since they were silent, and
    /// that may still run.
    pub fn displaced(&self) -> &collections::BTreeSet<name::Instance> {
        &self.log.former_voters().displaced
    }

    /// Whether an instance that gave its vote to a newer one is recorded as absent.
    pub fn is_absent(&self, instance: &name::Instance) -> bool {
        self.log.former_voters().absent.contains(instance)
    }

    /// Age of the newest answered message for an instance, whichever its folder; `None` if it has
    /// answered none in this term or this node doesn't lead.
    pub fn answer_age(&self, instance: &name::Instance, now: clock::Instant) -> Option<Duration> {
        let Role::Leader(state) = &self.role else { return None };
        let of_instance = state.progress.iter().filter(|(voter, _)| voter.instance == *instance);
        let answered_at = of_instance.filter_map(|(_, progress)| progress.lease_start).max()?;
        Some(now.since(answered_at))
    }

    /// Whether the process of a voter or superseded instance is stopping; false unless this node leads.
    pub fn is_leaving(&self, instance: &name::Instance, now: clock::Instant) -> bool {
        let Role::Leader(state) = &self.role else { return false };
        let mut requests = state.leave_requests.keys().filter(|it| it.instance == *instance);
        requests.any(|voter| state.is_leaving(voter, now))
    }

    /// Learners that have caught up; empty unless this node leads.
    pub fn ready_learners(&self) -> Vec<name::Instance> {
        let Role::Leader(state) = &self.role else { return Vec::new() };
        let is_ready = |voter: &&consensus::Voter| {
            self.find_seat(&voter.instance).is_none() && self.is_ready_learner(state, voter)
        };
        state.progress.keys().filter(is_ready).map(|voter| voter.instance.clone()).collect()
    }

    /// Age of the newest answered message for each other voter except vacant seats; empty unless
    /// this node leads.
    pub fn contact_ages(&self, now: clock::Instant) -> Vec<(name::Instance, Duration)> {
        let Role::Leader(state) = &self.role else { return Vec::new() };
        let contact_age = |voter: consensus::Voter| {
            let contact = state.progress.get(&voter)?.last_contact;
            Some((voter.instance, now.since(contact)))
        };
        self.other_voters().into_iter().filter_map(contact_age).collect()
    }

    /// Voters whose processes are stopping; empty unless this node leads.
    pub fn leaving_voters(&self, now: clock::Instant) -> Vec<name::Instance> {
        let Role::Leader(state) = &self.role else { return Vec::new() };
        let voters = self.log.voters().iter().filter(|voter| state.is_leaving(voter, now));
        voters.map(|voter| voter.instance.clone()).collect()
    }

    /// End of the quorum lease, until which no other node can lead. It runs from the time at which
    /// the newest round answered by a quorum was sent. `None` unless this node leads, has committed
    /// an entry of its own term and is not handing over.
    pub fn quorum_lease(&self, now: clock::Instant) -> Option<clock::Instant> {
        let Role::Leader(state) = &self.role else {
            return None;
        };
        if state.handover_since.is_some() || !self.has_committed_in_term() {
            return None;
        }
        let start = state.quorum_lease_start(self.context(), now)?;
        let until = start + self.settings.quorum_lease;
        (until > now).then_some(until)
    }

    fn on_tick(&mut self) {
        if self.is_leader() {
            self.on_leader_tick();
            return;
        }
        if self.resigned {
            self.request_leave();
            return;
        }
        if self.is_eligible() {
            self.on_voter_tick();
        }
        if !self.is_voter() {
            self.on_nonvoter_tick();
        }
    }

    fn on_message(&mut self, packet: consensus::Packet) {
        if packet.to != self.identity.instance || packet.from == self.identity {
            return;
        }
        let from = packet.from;
        self.track_voter_contact(&from);
        match packet.message {
            consensus::Message::Vote { pre, term, last_index, last_term } => {
                let last = log::Position { index: last_index, term: last_term };
                self.on_vote_request(from, pre, term, last);
            }
            consensus::Message::Voted { pre, term, granted } => {
                self.on_vote_response(from, pre, term, granted);
            }
            consensus::Message::Append {
                term,
                round,
                previous_index,
                previous_term,
                entries,
                committed,
            } => {
                let previous = log::Position { index: previous_index, term: previous_term };
                let append = follower::Append { term, round, previous, entries, committed };
                self.on_append(from, append);
            }
            consensus::Message::Appended { term, round, accepted, matched } => {
                self.on_append_response(
                    from,
                    term,
                    leader_state::Response { round, accepted, matched },
                );
            }
            consensus::Message::Snapshot {
                term,
                round,
                index,
                index_term,
                voters,
                offset,
                data,
                last,
            } => {
                let position = log::Position { index, term: index_term };
                let part = follower::Part { term, round, position, voters, offset, data, last };
                self.on_snapshot_part(from, part);
            }
            consensus::Message::Release { term, successor } => {
                self.on_release(from, term, successor);
            }
            consensus::Message::Join { relayed } => self.on_join_request(from, relayed),
            consensus::Message::Form { instances } => self.on_form_request(from, instances),
            consensus::Message::Blank { folder } => self.on_blank_response(from, folder),
            consensus::Message::Leave => self.on_leave_request(from),
            consensus::Message::FolderRequest { nonce } => {
                self.send(&from.instance, consensus::Message::FolderResponse { nonce });
            }
            consensus::Message::FolderResponse { nonce } => self.on_folder_response(from, nonce),
        }
    }

    fn on_persisted(&mut self, number: u64) {
        self.writes.on_persisted(number);
        while let Some(packet) = self.writes.take_released() {
            self.actions.push(action::Action::Send(packet));
        }
        self.count_own_vote();
        self.advance_commit();
    }

    fn on_snapshotted(&mut self, index: number::Index, data: Vec<u8>) {
        assert!(index <= self.committed, "a snapshot covers only committed entries");
        if let Some(snapshot) = self.log.compact(index, data, self.settings.retained_entries) {
            self.pending_write_mut().snapshot = Some((*snapshot).clone());
        }
    }

    /// Issues the write of this step, if any, and returns the actions of this step.
    fn take_actions(&mut self) -> Vec<action::Action> {
        if self.pending_write.number != 0 {
            let number = self.writes.issue(self.log.last().index);
            let write = std::mem::take(&mut self.pending_write);
            assert_eq!(number, write.number, "writes are numbered consecutively");
            self.actions.push(action::Action::Persist(write));
        }
        std::mem::take(&mut self.actions)
    }

    /// Write of this step, with its number assigned.
    fn pending_write_mut(&mut self) -> &mut write::Write {
        self.pending_write.number = self.writes.issued() + 1;
        &mut self.pending_write
    }

    /// Number of the write that must be synced before other nodes may learn the current state.
    fn newest_write(&self) -> u64 {
        self.pending_write.number.max(self.writes.issued())
    }

    fn send(&mut self, to: &name::Instance, message: consensus::Message) {
        let packet = self.make_packet(to, message);
        self.actions.push(action::Action::Send(packet));
    }

    /// Sends once all writes so far are synced. If a crash could undo a vote or an acknowledgement
    /// after it was sent, one term could get two leaders, or one index two entries.
    fn send_after_sync(&mut self, to: &name::Instance, message: consensus::Message) {
        let number = self.newest_write();
        if number <= self.writes.synced() {
            self.send(to, message);
            return;
        }
        let packet = self.make_packet(to, message);
        self.writes.hold(number, packet);
    }

    fn make_packet(&self, to: &name::Instance, message: consensus::Message) -> consensus::Packet {
        consensus::Packet { from: self.identity.clone(), to: to.clone(), message }
    }

    fn push_notice(&mut self, notice: notice::Notice) {
        self.actions.push(action::Action::Notice(notice));
    }

    /// Moves to a higher term without a vote.
    fn adopt_term(&mut self, term: number::Term) {
        assert!(term > self.ballot.term, "the term never decreases");
        self.set_ballot(write::Ballot { term, vote: None });
        self.leader = None;
        self.leader_heard_at = None;
        self.become_follower();
    }

    fn set_ballot(&mut self, ballot: write::Ballot) {
        assert!(ballot.term >= self.ballot.term, "the term never decreases");
        if ballot == self.ballot {
            return;
        }
        self.ballot = ballot.clone();
        self.pending_write_mut().ballot = Some(ballot);
        self.ballot_write = self.newest_write();
    }

    fn become_follower(&mut self) {
        let role = std::mem::replace(&mut self.role, Role::Follower);
        self.postpone_election();
        let Role::Leader(state) = role else {
            return;
        };
        if self.leader.as_ref() == Some(&self.identity) {
            self.leader = None;
        }
        self.push_notice(notice::Notice::SteppedDown(self.ballot.term));
        if let Some(addition) = state.addition {
            self.reject_proposal(addition.ticket);
        }
    }

    fn reject_proposal(&mut self, ticket: u64) {
        let leader = self.leader.clone();
        self.actions.push(action::Action::Rejected { ticket, leader });
    }

    /// Quorums of the voters, while the folders of `lost` are known to be lost.
    fn quorums<'a>(
        &'a self,
        lost: &'a collections::BTreeSet<consensus::Voter>,
    ) -> quorum::Quorums<'a> {
        let previous = self.log.replaced_voters(self.committed);
        quorum::Quorums { voters: self.log.voters(), previous, lost }
    }

    /// Whether this node's folder has or had a seat; `None` while it is not known whether its admission
    /// was ever committed.
    pub fn has_had_seat(&self) -> Option<bool> {
        if self.log.has_listed(&self.identity, self.committed) {
            return Some(true);
        }
        (!self.log.has_listed(&self.identity, self.log.last().index)).then_some(false)
    }

    fn is_voter(&self) -> bool {
        self.log.voters().contains(&self.identity)
    }

    fn release_uncommitted_bytes(&mut self, entry: &consensus::Entry) {
        let Role::Leader(state) = &mut self.role else {
            return;
        };
        if let consensus::Payload::Command(command) = &entry.payload
            && entry.term == self.ballot.term
        {
            state.uncommitted_bytes = state.uncommitted_bytes.saturating_sub(command.len());
        }
    }

    /// Marks entries up to `index` as committed and issues them for application.
    fn commit_through(&mut self, index: number::Index) {
        assert!(index >= self.committed, "the committed index never decreases");
        while self.committed < index {
            let next = self.committed.next();
            let entry = self.log.entry(next).expect("committed entries are in memory").clone();
            assert_eq!(entry.index, next, "entries are applied in order");
            self.committed = next;
            self.release_uncommitted_bytes(&entry);
            if let consensus::Payload::Voters(voters) = &entry.payload {
                self.push_notice(notice::Notice::Voters(next, voters.clone()));
            }
            self.actions.push(action::Action::Apply(entry));
        }
    }
}
