//! The step function of one voter or learner.
//!
//! The node decides; its owner sends, writes and applies. What other nodes may rely on (a vote, an
//! acknowledgement) leaves only after the write that it rests on was reported as synced.

mod election;
mod follow;
mod formation;
mod lead;
mod leadership;
mod ledger;
mod membership;
mod progress;

use crate::{action, event, log, notice, write};
use hyssopfork_wire::{clock, consensus, name, number, timing};
use rand::SeedableRng;
use std::collections;
use std::time::Duration;

/// Longest command, in bytes.
pub const COMMAND_LIMIT: usize = 1 << 20;

/// What the journal holds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Durable {
    /// Term and vote.
    pub ballot: write::Ballot,
    /// Newest snapshot.
    pub snapshot: Option<write::Snapshot>,
    /// Entries after the snapshot, without gaps.
    pub entries: Vec<consensus::Entry>,
}

impl Durable {
    /// Applies a write in the order of its fields.
    ///
    /// Entries after a new snapshot stay only when they follow the very entry that it ends with;
    /// others belong to a history that lost.
    pub fn apply(&mut self, write: &write::Write) {
        if let Some(ballot) = &write.ballot {
            self.ballot = ballot.clone();
        }
        if let Some(snapshot) = &write.snapshot {
            self.cover(snapshot);
        }
        if let Some(index) = write.truncate {
            self.entries.retain(|entry| entry.index < index);
        }
        self.entries.extend(write.entries.iter().cloned());
    }

    fn cover(&mut self, snapshot: &write::Snapshot) {
        let follows = self
            .entries
            .iter()
            .any(|entry| entry.index == snapshot.index && entry.term == snapshot.term);
        self.entries.retain(|entry| follows && entry.index > snapshot.index);
        self.snapshot = Some(snapshot.clone());
    }
}

/// How the log comes into being.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Formation {
    /// The first of the listed instances forms it once every listed folder is known to be blank.
    #[default]
    Listed,
    /// The owner names one blank folder that forms it alone ([`event::Event::Form`]); the others
    /// join. For fleets whose instances are not known beforehand.
    Named,
}

/// Settings of a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Instances of the first voters, the same list at each of them. An instance that is listed
    /// later joins by itself; a process that isn't listed asks these, and an operator lets it in.
    /// [`event::Event::List`] replaces it.
    pub voters: Vec<name::Instance>,
    /// How the log comes into being.
    pub formation: Formation,
    /// Time between heartbeats.
    pub heartbeat: Duration,
    /// Least silence before an election.
    pub election_timeout: Duration,
    /// Span of the random addition to it.
    pub election_spread: Duration,
    /// Term of the quorum lease; shorter than `election_timeout` by more than the clock-rate error.
    pub quorum_lease: Duration,
    /// Entries kept in memory before a snapshot, so that a follower that is a little behind needs
    /// no snapshot.
    pub kept_entries: u64,
}

/// Default of [`Settings::kept_entries`].
const KEPT_ENTRIES: u64 = 2_000;

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            voters: Vec::new(),
            formation: Formation::default(),
            heartbeat: timing::HEARTBEAT_INTERVAL,
            election_timeout: timing::ELECTION_TIMEOUT,
            election_spread: timing::ELECTION_JITTER,
            quorum_lease: timing::QUORUM_LEASE,
            kept_entries: KEPT_ENTRIES,
        }
    }
}

/// What a node is in its term.
#[derive(Debug)]
enum Role {
    /// Follows, or waits.
    Follower,
    /// Stands for election.
    Candidate(election::Candidacy),
    /// Leads.
    Leader(Box<lead::Lead>),
}

/// One voter or learner.
#[derive(Debug)]
pub struct Node {
    identity: consensus::Voter,
    settings: Settings,
    random: rand_chacha::ChaCha8Rng,
    /// Newest time seen.
    now: clock::Instant,
    /// When the process started: what it promised before that is forgotten.
    started: clock::Instant,
    /// Invariant: the term never goes down.
    ballot: write::Ballot,
    log: log::Log,
    ledger: ledger::Ledger,
    /// Mark of the write that holds the ballot.
    ballot_mark: u64,
    /// Last committed index; everything up to it was handed out to be applied.
    ///
    /// Invariant: never goes down, and nothing up to it is ever dropped for another entry.
    committed: number::Index,
    role: Role,
    /// Leader of the term; at most one is ever seen.
    leader: Option<consensus::Voter>,
    /// When the term's leader was last heard from.
    heard: Option<clock::Instant>,
    /// When to stand for election.
    deadline: clock::Instant,
    /// When to ask to join, or to form the log, next.
    ask_at: clock::Instant,
    /// Folders that answered to be blank.
    blank: collections::BTreeMap<name::Instance, consensus::Voter>,
    /// Last asker whose list of first voters differs.
    differing: Option<consensus::Voter>,
    /// Snapshot that is arriving.
    incoming: Option<follow::Incoming>,
    /// Whether the process is to stop.
    resigned: bool,
    /// The write of this step; its mark is set once it holds anything.
    write: write::Write,
    actions: Vec<action::Action>,
}

impl Node {
    /// A node with what its journal recovered; `seed` gives its random numbers.
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
            random: rand_chacha::ChaCha8Rng::seed_from_u64(seed),
            now,
            started: now,
            ballot: durable.ballot,
            ledger: ledger::Ledger::new(log.last().index),
            log,
            ballot_mark: 0,
            committed,
            role: Role::Follower,
            leader: None,
            heard: None,
            deadline: now,
            ask_at: now,
            blank: collections::BTreeMap::new(),
            differing: None,
            incoming: None,
            resigned: false,
            write: write::Write::default(),
            actions: restored.into_iter().map(action::Action::Restore).collect(),
        };
        node.postpone_election();
        node
    }

    /// Takes an event and gives the actions that answer it.
    pub fn step(&mut self, now: clock::Instant, event: event::Event) -> Vec<action::Action> {
        self.now = self.now.max(now);
        self.check_quorum();
        match event {
            event::Event::Tick => self.tick(),
            event::Event::Received(packet) => self.received(packet),
            event::Event::Persisted(mark) => self.persisted(mark),
            event::Event::Propose { ticket, command } => self.propose(ticket, command),
            event::Event::ChangeVoters { ticket, change } => self.change_voters(ticket, change),
            event::Event::Snapshotted { index, data } => self.snapshotted(index, data),
            event::Event::List(instances) => self.settings.voters = instances,
            event::Event::Form => self.form_alone(),
            event::Event::Resign => self.resign(),
        }
        self.finish()
    }

    /// Whether this node leads, as far as it knows.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// Newest term seen.
    pub fn term(&self) -> number::Term {
        self.ballot.term
    }

    /// Voter that leads, as far as is known.
    pub fn leader(&self) -> Option<&consensus::Voter> {
        self.leader.as_ref()
    }

    /// Committed index.
    pub fn committed(&self) -> number::Index {
        self.committed
    }

    /// Voters, with vacant seats.
    pub fn voters(&self) -> &[consensus::Voter] {
        self.log.voters()
    }

    /// Time since each other voter, without vacant seats, last answered a message sent to it; empty
    /// unless this node leads.
    pub fn silences(&self, now: clock::Instant) -> Vec<(name::Instance, Duration)> {
        let Role::Leader(lead) = &self.role else { return Vec::new() };
        let silence = |voter: consensus::Voter| {
            let contact = lead.progress.get(&voter)?.contact;
            Some((voter.instance, now.since(contact)))
        };
        self.others().into_iter().filter_map(silence).collect()
    }

    /// Until when no other node can lead, measured from when the round that a quorum answered was
    /// sent; `None` unless this node leads, has committed an entry of its own term and isn't
    /// handing over.
    pub fn quorum_lease(&self, now: clock::Instant) -> Option<clock::Instant> {
        let Role::Leader(lead) = &self.role else {
            return None;
        };
        if lead.resigning.is_some() || !self.has_committed_in_term() {
            return None;
        }
        let upheld = lead.upheld(self.context(), now)?;
        let until = upheld + self.settings.quorum_lease;
        (until > now).then_some(until)
    }

    fn tick(&mut self) {
        if self.is_leader() {
            self.tick_leader();
            return;
        }
        if self.may_stand() {
            self.tick_voter();
        } else {
            self.tick_outsider();
        }
    }

    fn received(&mut self, packet: consensus::Packet) {
        if packet.to != self.identity.instance || packet.from == self.identity {
            return;
        }
        let from = packet.from;
        match packet.message {
            consensus::Message::Vote { pre, term, last_index, last_term } => {
                let last = log::Position { index: last_index, term: last_term };
                self.asked_to_vote(from, pre, term, last);
            }
            consensus::Message::Voted { pre, term, granted } => {
                self.voted(from, pre, term, granted);
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
                let append = follow::Append { term, round, previous, entries, committed };
                self.asked_to_append(from, append);
            }
            consensus::Message::Appended { term, round, accepted, matched } => {
                self.appended(from, term, lead::Answer { round, accepted, matched });
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
                let part = follow::Part { term, round, position, voters, offset, data, last };
                self.asked_to_install(from, part);
            }
            consensus::Message::Release { term, successor } => {
                self.released(from, term, successor);
            }
            consensus::Message::Join { relayed } => self.asked_to_join(from, relayed),
            consensus::Message::Form { instances } => self.asked_to_form(from, instances),
            consensus::Message::Blank { folder } => self.found_blank(from, folder),
        }
    }

    fn persisted(&mut self, mark: u64) {
        self.ledger.persisted(mark);
        while let Some(packet) = self.ledger.release() {
            self.actions.push(action::Action::Send(packet));
        }
        self.count_own_vote();
        self.advance_commit();
    }

    fn snapshotted(&mut self, index: number::Index, data: Vec<u8>) {
        assert!(index <= self.committed, "only applied entries are in a snapshot");
        if let Some(snapshot) = self.log.compact(index, data, self.settings.kept_entries) {
            self.writing().snapshot = Some((*snapshot).clone());
        }
    }

    /// Emits the step's write and gives the step's actions.
    fn finish(&mut self) -> Vec<action::Action> {
        if self.write.mark != 0 {
            let mark = self.ledger.write(self.log.last().index);
            let write = std::mem::take(&mut self.write);
            assert_eq!(mark, write.mark, "marks count the writes");
            self.actions.push(action::Action::Persist(write));
        }
        std::mem::take(&mut self.actions)
    }

    /// The write of this step.
    fn writing(&mut self) -> &mut write::Write {
        self.write.mark = self.ledger.written() + 1;
        &mut self.write
    }

    /// Mark up to which must be synced before anything that rests on the state may be told.
    fn newest_mark(&self) -> u64 {
        self.write.mark.max(self.ledger.written())
    }

    fn send(&mut self, to: &name::Instance, message: consensus::Message) {
        let packet = self.packet(to, message);
        self.actions.push(action::Action::Send(packet));
    }

    /// Sends once everything written so far is synced: a vote or an acknowledgement that a crash
    /// could undo would let two leaders or two entries stand in one place.
    fn send_synced(&mut self, to: &name::Instance, message: consensus::Message) {
        let mark = self.newest_mark();
        if mark <= self.ledger.synced() {
            self.send(to, message);
            return;
        }
        let packet = self.packet(to, message);
        self.ledger.hold(mark, packet);
    }

    fn packet(&self, to: &name::Instance, message: consensus::Message) -> consensus::Packet {
        consensus::Packet { from: self.identity.clone(), to: to.clone(), message }
    }

    fn notice(&mut self, notice: notice::Notice) {
        self.actions.push(action::Action::Notice(notice));
    }

    /// Moves to a newer term without a vote.
    fn adopt(&mut self, term: number::Term) {
        assert!(term > self.ballot.term, "the term never goes down");
        self.set_ballot(write::Ballot { term, vote: None });
        self.leader = None;
        self.heard = None;
        self.become_follower();
    }

    fn set_ballot(&mut self, ballot: write::Ballot) {
        assert!(ballot.term >= self.ballot.term, "the term never goes down");
        if ballot == self.ballot {
            return;
        }
        self.ballot = ballot.clone();
        self.writing().ballot = Some(ballot);
        self.ballot_mark = self.newest_mark();
    }

    fn become_follower(&mut self) {
        let role = std::mem::replace(&mut self.role, Role::Follower);
        self.postpone_election();
        let Role::Leader(lead) = role else {
            return;
        };
        if self.leader.as_ref() == Some(&self.identity) {
            self.leader = None;
        }
        self.notice(notice::Notice::SteppedDown(self.ballot.term));
        if let Some(addition) = lead.addition {
            self.reject(addition.ticket);
        }
    }

    fn reject(&mut self, ticket: u64) {
        let leader = self.leader.clone();
        self.actions.push(action::Action::Rejected { ticket, leader });
    }

    fn is_voter(&self) -> bool {
        self.log.voters().contains(&self.identity)
    }

    fn note_committed(&mut self, entry: &consensus::Entry) {
        let Role::Leader(lead) = &mut self.role else {
            return;
        };
        if let consensus::Payload::Command(command) = &entry.payload
            && entry.term == self.ballot.term
        {
            lead.waiting = lead.waiting.saturating_sub(command.len());
        }
    }

    /// Marks entries up to `index` as committed and hands them out.
    fn commit(&mut self, index: number::Index) {
        assert!(index >= self.committed, "the committed index never goes down");
        while self.committed < index {
            let next = self.committed.next();
            let entry = self.log.get(next).expect("committed entries are here").clone();
            assert_eq!(entry.index, next, "entries are applied in order");
            self.committed = next;
            self.note_committed(&entry);
            if let consensus::Payload::Voters(voters) = &entry.payload {
                self.notice(notice::Notice::Voters(next, voters.clone()));
            }
            self.actions.push(action::Action::Apply(entry));
        }
    }
}
