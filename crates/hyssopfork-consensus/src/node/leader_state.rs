//! Leader state: replication to each follower, and the index and lease that a quorum supports.

use crate::node::progress;
use crate::{log, quorum};
use hyssopfork_wire::{clock, consensus, name, number};
use std::collections;
use std::sync;
use std::time::Duration;

/// Bytes of entries in one message. A larger entry is sent in a message of its own.
const MAX_BATCH_BYTES: usize = 64 << 10;

/// Bytes of snapshot data in one message.
pub const MAX_PART_BYTES: usize = 64 << 10;

/// Time after which an unanswered part of a snapshot is retried.
const PART_RETRY_INTERVAL: Duration = Duration::from_millis(300);

/// Time without contact after which a follower is sent no parts until it answers a heartbeat.
const PART_SILENCE_TIMEOUT: Duration = Duration::from_secs(2);

/// Time after the last request to leave for which a voter counts as leaving. Its process may have
/// started again since.
const LEAVE_REQUEST_TIMEOUT: Duration = Duration::from_secs(1);

/// View of the node that the leader state works with.
#[derive(Clone, Copy)]
pub struct Context<'a> {
    /// Identity of the leader.
    pub identity: &'a consensus::Voter,
    /// The log.
    pub log: &'a log::Log,
    /// Term of the leader.
    pub term: number::Term,
    /// Committed index.
    pub committed: number::Index,
    /// Current time.
    pub now: clock::Instant,
}

/// Message to be sent to an instance.
#[derive(Debug)]
pub struct Outgoing {
    /// Receiver.
    pub to: name::Instance,
    /// Message.
    pub message: consensus::Message,
}

/// Response of a follower.
#[derive(Clone, Copy, Debug)]
pub struct Response {
    /// Round that is answered.
    pub round: u64,
    /// Whether the logs match up to `matched`.
    pub accepted: bool,
    /// Last matching index; if not accepted, the index to try next.
    pub matched: number::Index,
}

/// Pending addition of a voter by an operator.
#[derive(Clone, Debug)]
pub struct Addition {
    /// Ticket of the operator's request.
    pub ticket: u64,
    /// Voter to be added.
    pub voter: consensus::Voter,
}

/// Request of a non-voter to join.
#[derive(Clone, Debug)]
pub struct JoinRequest {
    /// Identity that requested to join.
    pub voter: consensus::Voter,
    /// When the latest request arrived.
    pub received_at: clock::Instant,
    /// Whether it has a seat or may get one.
    pub is_admissible: bool,
}

/// State of a leader.
#[derive(Debug)]
pub struct State {
    /// Progress of all other voters and of the learners.
    pub progress: collections::BTreeMap<consensus::Voter, progress::Progress>,
    /// Requests to join, the latest of each instance.
    pub join_requests: collections::BTreeMap<name::Instance, JoinRequest>,
    /// When each voter or superseded instance whose process is stopping last requested to leave.
    pub leave_requests: collections::BTreeMap<consensus::Voter, clock::Instant>,
    /// Addition by an operator, until the new voter has caught up.
    pub addition: Option<Addition>,
    /// When an instance was last superseded, or when the term began.
    pub superseded_at: clock::Instant,
    /// When the next probes of former voters are due.
    pub next_probe_at: clock::Instant,
    /// When the next heartbeats are due.
    pub next_heartbeat_at: clock::Instant,
    /// Bytes of this leader's uncommitted commands.
    pub uncommitted_bytes: usize,
    /// When the handover of leadership started.
    pub handover_since: Option<clock::Instant>,
    /// Voters whose folders were known to be lost before the term began.
    pub lost: collections::BTreeSet<consensus::Voter>,
    round: u64,
}

impl State {
    /// Creates the state of a new leader.
    pub fn new(context: Context<'_>, lost: collections::BTreeSet<consensus::Voter>) -> State {
        let mut state = State {
            progress: collections::BTreeMap::new(),
            join_requests: collections::BTreeMap::new(),
            leave_requests: collections::BTreeMap::new(),
            addition: None,
            superseded_at: context.now,
            next_probe_at: context.now,
            next_heartbeat_at: context.now,
            uncommitted_bytes: 0,
            handover_since: None,
            lost,
            round: 0,
        };
        state.track_voters(context);
        state
    }

    /// Tracks the voters that decisions depend on, and drops the progress of nodes that are neither
    /// voters nor requested to join.
    pub fn track_voters(&mut self, context: Context<'_>) {
        let replaced = context.log.replaced_voters(context.committed);
        let voters: Vec<&consensus::Voter> = context.log.voters().iter().chain(replaced).collect();
        let join_requests = &self.join_requests;
        let superseded = &context.log.former_voters().superseded;
        self.leave_requests.retain(|voter, _| {
            context.log.voters().contains(voter) || superseded.contains(&voter.instance)
        });
        self.progress.retain(|voter, _| {
            let request = join_requests.get(&voter.instance);
            voters.contains(&voter) || request.is_some_and(|request| request.voter == *voter)
        });
        for voter in voters {
            if voter != context.identity && voter.folder != consensus::VACANT {
                self.track(voter, context);
            }
        }
    }

    /// Whether `voter` is the latest of its instance that requested to join.
    pub fn has_requested_to_join(&self, voter: &consensus::Voter) -> bool {
        self.join_requests.get(&voter.instance).is_some_and(|request| request.voter == *voter)
    }

    /// Whether the voter's process is stopping.
    pub fn is_leaving(&self, voter: &consensus::Voter, now: clock::Instant) -> bool {
        let requested_at = self.leave_requests.get(voter);
        requested_at.is_some_and(|requested_at| now.since(*requested_at) < LEAVE_REQUEST_TIMEOUT)
    }

    /// Starts to replicate the log to `voter`.
    pub fn track(&mut self, voter: &consensus::Voter, context: Context<'_>) {
        let last = context.log.last().index;
        let new_progress = || progress::Progress::new(last, context.now);
        self.progress.entry(voter.clone()).or_insert_with(new_progress);
    }

    /// Heartbeats to all tracked nodes.
    pub fn heartbeats(&mut self, context: Context<'_>) -> Vec<Outgoing> {
        let mut outbox = Vec::new();
        for (voter, progress) in &mut self.progress {
            self.round += 1;
            progress.record_round(self.round, context.now);
            let message = heartbeat_message(context, self.round, progress);
            outbox.push(Outgoing { to: voter.instance.clone(), message });
        }
        outbox
    }

    /// Messages with what each follower lacks, within the limits on data in flight.
    pub fn replicate(&mut self, context: Context<'_>) -> Vec<Outgoing> {
        let mut outbox = Vec::new();
        for (voter, progress) in &mut self.progress {
            let messages = replication_messages(context, &mut self.round, progress);
            let outgoing = |message| Outgoing { to: voter.instance.clone(), message };
            outbox.extend(messages.into_iter().map(outgoing));
        }
        outbox
    }

    /// Handles the response of a follower.
    pub fn on_response(&mut self, from: &consensus::Voter, response: Response) {
        let Some(progress) = self.progress.get_mut(from) else {
            return;
        };
        progress.on_response(response.round);
        if progress.transfer.as_ref().is_some_and(|transfer| transfer.round == response.round) {
            advance_transfer(progress, response);
            return;
        }
        if response.accepted {
            progress.on_accepted(response.matched);
        } else {
            progress.on_rejected(response.round, response.matched);
        }
    }

    /// Highest index that a quorum has synced; the leader itself has synced up to `durable`.
    pub fn quorum_index(&self, context: Context<'_>, durable: number::Index) -> number::Index {
        let matched = |progress: &progress::Progress| progress.matched;
        self.quorum_value(context, durable, matched)
    }

    /// Start of the quorum lease: latest time such that a quorum answered a round sent at that time
    /// or later.
    pub fn quorum_lease_start(
        &self,
        context: Context<'_>,
        now: clock::Instant,
    ) -> Option<clock::Instant> {
        self.quorum_value(context, Some(now), |progress| progress.lease_start)
    }

    /// Latest time such that the last contact with a quorum is not older.
    pub fn quorum_contact(&self, context: Context<'_>) -> Option<clock::Instant> {
        self.quorum_value(context, Some(context.now), |progress| Some(progress.last_contact))
    }

    /// Greatest value that a quorum reaches.
    fn quorum_value<T: Copy + Default + Ord>(
        &self,
        context: Context<'_>,
        own: T,
        of: impl Fn(&progress::Progress) -> T,
    ) -> T {
        let quorums = quorum::Quorums {
            voters: context.log.voters(),
            previous: context.log.replaced_voters(context.committed),
            lost: &self.lost,
        };
        quorums.value(|voter| {
            if voter == context.identity {
                return own;
            }
            self.progress.get(voter).map(&of).unwrap_or_default()
        })
    }
}

/// Append message without entries. To a follower that is being sent a snapshot, its previous
/// position is zero, which always matches.
fn heartbeat_message(
    context: Context<'_>,
    round: u64,
    progress: &progress::Progress,
) -> consensus::Message {
    let previous = number::Index(progress.next.0 - 1);
    let known = context.log.term_at(previous).filter(|_| progress.transfer.is_none());
    let previous =
        known.map_or(log::Position::default(), |term| log::Position { index: previous, term });
    append_message(context, round, previous, Vec::new())
}

fn append_message(
    context: Context<'_>,
    round: u64,
    previous: log::Position,
    entries: Vec<consensus::Entry>,
) -> consensus::Message {
    consensus::Message::Append {
        term: context.term,
        round,
        previous_index: previous.index,
        previous_term: previous.term,
        entries,
        committed: context.committed,
    }
}

/// Messages that a follower has capacity for.
fn replication_messages(
    context: Context<'_>,
    round: &mut u64,
    progress: &mut progress::Progress,
) -> Vec<consensus::Message> {
    let mut messages = Vec::new();
    // Not subject to the capacity: once the next entries are compacted, a heartbeat cannot detect
    // that the messages in flight were lost.
    if progress.transfer.is_none() && progress.next <= context.log.base().index {
        start_transfer(context, progress);
    }
    while progress.has_capacity() && progress.next <= context.log.last().index {
        *round += 1;
        messages.push(next_batch(context, *round, progress));
    }
    messages.extend(next_part(context, round, progress));
    messages
}

/// Message with as many of the next entries as fit.
fn next_batch(
    context: Context<'_>,
    round: u64,
    progress: &mut progress::Progress,
) -> consensus::Message {
    let index = number::Index(progress.next.0 - 1);
    let term = context.log.term_at(index).expect("the entry before the next is in memory");
    let mut entries = Vec::new();
    let mut bytes = 0;
    let mut last = index;
    while let Some(entry) = context.log.entry(last.next()) {
        let size = log::entry_bytes(entry);
        if bytes + size > MAX_BATCH_BYTES && !entries.is_empty() {
            break;
        }
        bytes += size;
        last = entry.index;
        entries.push(entry.clone());
    }
    progress.record_round(round, context.now);
    progress.record_entries(last, bytes);
    append_message(context, round, log::Position { index, term }, entries)
}

fn start_transfer(context: Context<'_>, progress: &mut progress::Progress) {
    let snapshot = context.log.snapshot().expect("entries are compacted only up to a snapshot");
    progress.clear_in_flight();
    progress.transfer = Some(progress::Transfer {
        snapshot: sync::Arc::clone(snapshot),
        offset: 0,
        round: 0,
        sent_at: clock::Instant::ORIGIN,
    });
}

/// Next part of a snapshot, if one is due.
fn next_part(
    context: Context<'_>,
    round: &mut u64,
    progress: &mut progress::Progress,
) -> Option<consensus::Message> {
    let silent = context.now.since(progress.last_contact) >= PART_SILENCE_TIMEOUT;
    let transfer = progress.transfer.as_mut().filter(|_| !silent)?;
    if transfer.round != 0 && context.now.since(transfer.sent_at) < PART_RETRY_INTERVAL {
        return None;
    }
    *round += 1;
    transfer.round = *round;
    transfer.sent_at = context.now;
    let message = part_message(context, transfer);
    progress.record_round(*round, context.now);
    Some(message)
}

fn part_message(context: Context<'_>, transfer: &progress::Transfer) -> consensus::Message {
    let snapshot = &transfer.snapshot;
    let end = snapshot.data.len().min(transfer.offset + MAX_PART_BYTES);
    consensus::Message::Snapshot {
        term: context.term,
        round: transfer.round,
        index: snapshot.index,
        index_term: snapshot.term,
        voters: snapshot.voters.clone(),
        offset: transfer.offset as u64,
        data: snapshot.data[transfer.offset..end].to_vec(),
        last: end == snapshot.data.len(),
    }
}

/// Advances a transfer. A follower that lost the earlier parts rejects the part, and the transfer
/// restarts with the first.
fn advance_transfer(progress: &mut progress::Progress, response: Response) {
    let Some(mut transfer) = progress.transfer.take() else {
        return;
    };
    transfer.round = 0;
    transfer.offset = if response.accepted { transfer.offset + MAX_PART_BYTES } else { 0 };
    if transfer.offset < transfer.snapshot.data.len() || !response.accepted {
        progress.transfer = Some(transfer);
        return;
    }
    progress.on_accepted(response.matched);
    progress.next = progress.next.max(transfer.snapshot.index.next());
    progress.probing = true;
}
