//! In-memory log: the retained entries, the newest snapshot, and the voters at each index.

use crate::{quorum, write};
use hyssopfork_wire::{consensus, name, number};
use std::collections;
use std::sync;

/// Bytes of the entries that compaction retains before a snapshot.
const MAX_RETAINED_BYTES: usize = 4 << 20;

/// Approximate memory of an entry besides its command, and of a voter in an entry.
const ENTRY_OVERHEAD_BYTES: usize = 32;

/// An index and the term of its entry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Position {
    /// Index.
    pub index: number::Index,
    /// Term of that index.
    pub term: number::Term,
}

/// Voters that are in force from an index on.
#[derive(Clone, Debug)]
struct Membership {
    since: number::Index,
    voters: Vec<consensus::Voter>,
    former: FormerVoters,
}

/// Instances that had a vote and have none, as far as a list of voters states them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FormerVoters {
    /// Instances that gave their votes to newer ones, oldest first. They take no seat by themselves.
    pub superseded: Vec<name::Instance>,
    /// Superseded instances whose processes have ended, or have not been heard for long.
    ///
    /// Invariant: each is one of `superseded`.
    pub absent: collections::BTreeSet<name::Instance>,
    /// Instances whose seats were removed, or given to a superseded instance, since they were silent.
    /// They may still run and get a seat as any new instance.
    ///
    /// Invariant: none is one of `superseded`.
    pub displaced: collections::BTreeSet<name::Instance>,
}

/// Number of times that a list names a superseded, an absent and a displaced instance. Releases that know
/// only superseded instances take each of them for one.
const SUPERSEDED_COUNT: usize = 1;
const ABSENT_COUNT: usize = 2;
const DISPLACED_COUNT: usize = 3;

impl FormerVoters {
    fn from_list<'a>(list: impl IntoIterator<Item = &'a name::Instance>) -> FormerVoters {
        let mut counts: Vec<(name::Instance, usize)> = Vec::new();
        for instance in list {
            match counts.iter_mut().find(|(it, _)| it == instance) {
                Some((_, count)) => *count += 1,
                None => counts.push((instance.clone(), 1)),
            }
        }
        let mut former = FormerVoters::default();
        for (instance, count) in counts {
            if count >= DISPLACED_COUNT {
                former.displaced.insert(instance);
                continue;
            }
            if count >= ABSENT_COUNT {
                former.absent.insert(instance.clone());
            }
            former.superseded.push(instance);
        }
        former
    }

    fn to_list(&self) -> impl Iterator<Item = name::Instance> {
        let count = |it: &name::Instance| {
            if self.absent.contains(it) { ABSENT_COUNT } else { SUPERSEDED_COUNT }
        };
        let superseded = self.superseded.iter().map(move |it| (it, count(it)));
        let displaced = self.displaced.iter().map(|it| (it, DISPLACED_COUNT));
        superseded.chain(displaced).flat_map(|(it, count)| std::iter::repeat_n(it.clone(), count))
    }

    /// Keeps the superseded instances for which `is_kept` holds.
    pub fn retain_superseded(&mut self, is_kept: impl Fn(&name::Instance) -> bool) {
        self.superseded.retain(|instance| is_kept(instance));
        self.absent.retain(|instance| is_kept(instance));
    }
}

impl Membership {
    fn new(since: number::Index, list: &[consensus::Voter]) -> Membership {
        let (superseded, voters): (Vec<_>, Vec<_>) =
            list.iter().cloned().partition(|it| it.folder == consensus::SUPERSEDED);
        let former = FormerVoters::from_list(superseded.iter().map(|it| &it.instance));
        Membership { since, voters, former }
    }

    /// List for an entry or a snapshot.
    fn to_list(&self) -> Vec<consensus::Voter> {
        membership_list(self.voters.clone(), &self.former)
    }
}

/// List of voters and former ones for an entry or a snapshot.
pub fn membership_list(
    voters: Vec<consensus::Voter>,
    former: &FormerVoters,
) -> Vec<consensus::Voter> {
    let folder = consensus::SUPERSEDED;
    let former = former.to_list().map(|instance| consensus::Voter { instance, folder });
    voters.into_iter().chain(former).collect()
}

/// In-memory log.
#[derive(Debug)]
pub struct Log {
    /// Position before the first entry in memory; at or below that of the snapshot.
    base: Position,
    /// Invariant: indexes are contiguous from the base, and terms never decrease.
    entries: collections::VecDeque<consensus::Entry>,
    snapshot: Option<sync::Arc<write::Snapshot>>,
    /// Invariant: never empty, sorted by index.
    memberships: Vec<Membership>,
}

impl Log {
    /// Creates the log from what a journal recovered.
    pub fn new(snapshot: Option<write::Snapshot>, entries: Vec<consensus::Entry>) -> Log {
        let mut log = Log::from_snapshot(snapshot.map(sync::Arc::new));
        for entry in entries {
            log.append(entry);
        }
        log
    }

    /// Creates a log that holds only a snapshot.
    fn from_snapshot(snapshot: Option<sync::Arc<write::Snapshot>>) -> Log {
        let base = snapshot.as_deref().map(snapshot_position).unwrap_or_default();
        let list = snapshot.as_deref().map_or(&[][..], |snapshot| &snapshot.voters);
        let membership = Membership::new(base.index, list);
        Log { base, entries: collections::VecDeque::new(), snapshot, memberships: vec![membership] }
    }

    /// Position of the last entry.
    pub fn last(&self) -> Position {
        let last = self.entries.back();
        last.map_or(self.base, |entry| Position { index: entry.index, term: entry.term })
    }

    /// Term of the entry at `index`, if known.
    pub fn term_at(&self, index: number::Index) -> Option<number::Term> {
        if index == self.base.index {
            return Some(self.base.term);
        }
        self.entry(index).map(|entry| entry.term)
    }

    /// Entry at `index`, if it is in memory.
    pub fn entry(&self, index: number::Index) -> Option<&consensus::Entry> {
        let offset = index.0.checked_sub(self.base.index.0 + 1)?;
        self.entries.get(offset as usize)
    }

    /// Position before the first entry in memory.
    pub fn base(&self) -> Position {
        self.base
    }

    /// Newest snapshot.
    pub fn snapshot(&self) -> Option<&sync::Arc<write::Snapshot>> {
        self.snapshot.as_ref()
    }

    /// Voters after the last entry.
    pub fn voters(&self) -> &[consensus::Voter] {
        &self.membership().voters
    }

    /// Instances that had a vote and have none.
    pub fn former_voters(&self) -> &FormerVoters {
        &self.membership().former
    }

    /// Voters before the last change; empty if not known.
    pub fn previous_voters(&self) -> &[consensus::Voter] {
        self.memberships.iter().rev().nth(1).map_or(&[], |membership| &membership.voters)
    }

    /// Whether `voter` has a seat after the last change that is known to be committed, or after a later one.
    pub fn may_be_voter(&self, voter: &consensus::Voter, committed: number::Index) -> bool {
        let lists = self.memberships.iter().rev();
        let ends = lists.clone().map(|it| it.since).take_while(|since| *since > committed);
        lists.take(ends.count() + 1).any(|membership| membership.voters.contains(voter))
    }

    /// Whether a list of voters in memory that was in force up to `index` contains `voter`.
    pub fn has_listed(&self, voter: &consensus::Voter, index: number::Index) -> bool {
        let mut lists = self.memberships.iter().filter(|membership| membership.since <= index);
        lists.any(|membership| membership.voters.contains(voter))
    }

    /// Voters before the last change if decisions need a quorum of them as well: the change is not
    /// known to be committed, and quorums of the two lists need not share a voter. Empty otherwise.
    pub fn replaced_voters(&self, committed: number::Index) -> &[consensus::Voter] {
        let is_committed = self.voters_changed_at() <= committed;
        if is_committed || !self.is_change_joint() { &[] } else { self.previous_voters() }
    }

    /// Whether quorums of the voters before and after the last change need not share a voter.
    pub fn is_change_joint(&self) -> bool {
        quorum::is_joint_change(self.previous_voters(), self.voters())
    }

    /// Index of the last change of the voters.
    pub fn voters_changed_at(&self) -> number::Index {
        self.membership().since
    }

    /// Appends an entry, which must follow the last one.
    pub fn append(&mut self, entry: consensus::Entry) {
        let last = self.last();
        assert_eq!(entry.index, last.index.next(), "the log has no gaps");
        assert!(entry.term >= last.term, "terms never go down along the log");
        if let consensus::Payload::Voters(voters) = &entry.payload {
            self.memberships.push(Membership::new(entry.index, voters));
        }
        self.entries.push_back(entry);
    }

    /// Drops the entry at `index` and all after it.
    pub fn truncate(&mut self, index: number::Index) {
        assert!(index > self.base.index, "the base is committed");
        let kept = index.0 - self.base.index.0 - 1;
        self.entries.truncate(kept as usize);
        self.memberships.retain(|membership| membership.since < index);
    }

    /// First index of the contiguous entries with the term of the one at `index`.
    pub fn term_start(&self, index: number::Index) -> number::Index {
        let term = self.term_at(index);
        let mut start = index;
        while start > self.base.index && self.term_at(number::Index(start.0 - 1)) == term {
            start = number::Index(start.0 - 1);
        }
        start
    }

    /// Stores a snapshot of the state after `index` and drops the entries before it, except the
    /// last `retained` ones within [`MAX_RETAINED_BYTES`]. Returns the snapshot, or `None` if the
    /// stored one is at least as new or the term of `index` is not known.
    pub fn compact(
        &mut self,
        index: number::Index,
        data: Vec<u8>,
        retained: u64,
    ) -> Option<sync::Arc<write::Snapshot>> {
        let newest = self.snapshot.as_ref().map_or(number::Index(0), |snapshot| snapshot.index);
        if index <= newest {
            return None;
        }
        let term = self.term_at(index)?;
        let voters = self.list_at(index);
        let snapshot = sync::Arc::new(write::Snapshot { index, term, voters, data });
        self.snapshot = Some(sync::Arc::clone(&snapshot));
        self.discard_through(self.compaction_index(index, retained));
        Some(snapshot)
    }

    /// Installs a snapshot of the leader. Entries after it are retained only if the log holds the
    /// last entry that the snapshot covers; otherwise they may belong to a log that was
    /// overwritten.
    pub fn install(&mut self, snapshot: sync::Arc<write::Snapshot>) {
        if self.term_at(snapshot.index) == Some(snapshot.term) {
            self.snapshot = Some(snapshot);
            return;
        }
        *self = Log::from_snapshot(Some(snapshot));
    }

    fn membership(&self) -> &Membership {
        self.memberships.last().expect("the voters at the base are always there")
    }

    fn list_at(&self, index: number::Index) -> Vec<consensus::Voter> {
        let membership = self.memberships.iter().rev().find(|membership| membership.since <= index);
        membership.map_or_else(Vec::new, Membership::to_list)
    }

    /// Index after which entries are retained beside a snapshot up to `index`.
    fn compaction_index(&self, index: number::Index, retained: u64) -> number::Index {
        let mut from = index;
        let mut bytes = 0;
        while let Some(entry) = self.entry(from)
            && index.0 - from.0 < retained
        {
            bytes += entry_bytes(entry);
            if bytes > MAX_RETAINED_BYTES {
                break;
            }
            from = number::Index(from.0 - 1);
        }
        from
    }

    fn discard_through(&mut self, index: number::Index) {
        let Some(term) = self.term_at(index) else {
            return;
        };
        let list = self.list_at(index);
        let dropped = index.0 - self.base.index.0;
        self.entries.drain(..dropped as usize);
        self.base = Position { index, term };
        let from = self.memberships.iter().rev().find(|membership| membership.since <= index);
        let from = from.map_or(index, |membership| membership.since);
        self.memberships.retain(|membership| membership.since > index);
        self.memberships.insert(0, Membership::new(from, &list));
    }
}

/// Approximate memory of an entry.
pub fn entry_bytes(entry: &consensus::Entry) -> usize {
    let payload = match &entry.payload {
        consensus::Payload::Empty => 0,
        consensus::Payload::Command(command) => command.len(),
        consensus::Payload::Voters(voters) => voters.len() * ENTRY_OVERHEAD_BYTES,
    };
    ENTRY_OVERHEAD_BYTES + payload
}

/// Position of the last entry that a snapshot covers.
pub fn snapshot_position(snapshot: &write::Snapshot) -> Position {
    Position { index: snapshot.index, term: snapshot.term }
}
