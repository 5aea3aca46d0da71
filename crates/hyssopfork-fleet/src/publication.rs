//! What the leader has published, and what each follower lacks of it.

use crate::{document, quarantine, view};
use hyssopfork_wire::{name, number};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net;

/// Removals that are remembered; a follower that is farther behind gets everything anew.
const MAX_REMOVALS: usize = 1_024;

#[derive(Clone, Debug)]
struct Entry<T> {
    revision: u64,
    value: T,
}

/// A published table: each entry with the revision that last changed it.
#[derive(Clone, Debug)]
struct Table<K, T> {
    entries: BTreeMap<K, Entry<T>>,
    removals: VecDeque<(u64, K)>,
    /// Newest revision whose removals are forgotten.
    floor: u64,
}

impl<K: Clone + Ord, T: Clone + PartialEq> Table<K, T> {
    fn new() -> Table<K, T> {
        Table { entries: BTreeMap::new(), removals: VecDeque::new(), floor: 0 }
    }

    /// Replaces the contents; returns whether anything changed.
    fn publish(
        &mut self,
        revision: u64,
        next: &BTreeMap<K, T>,
        is_same: impl Fn(&T, &T) -> bool,
    ) -> bool {
        let removed_keys: Vec<K> =
            self.entries.keys().filter(|key| !next.contains_key(key)).cloned().collect();
        let mut changed = !removed_keys.is_empty();
        for key in removed_keys {
            self.entries.remove(&key);
            self.removals.push_back((revision, key));
        }
        for (key, value) in next {
            let known = self.entries.get(key);
            if known.is_none_or(|known| !is_same(&known.value, value)) {
                self.entries.insert(key.clone(), Entry { revision, value: value.clone() });
                changed = true;
            }
        }
        while self.removals.len() > MAX_REMOVALS {
            self.floor = self.removals.pop_front().map_or(self.floor, |(revision, _)| revision);
        }
        changed
    }

    fn since(&self, revision: u64) -> Vec<(K, Option<T>)> {
        let removed = self
            .removals
            .iter()
            .filter(|(removal, key)| *removal > revision && !self.entries.contains_key(key))
            .map(|(_, key)| (key.clone(), None));
        let changed = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.revision > revision)
            .map(|(key, entry)| (key.clone(), Some(entry.value.clone())));
        removed.chain(changed).collect()
    }
}

/// Everything but the upstreams and groups. All but the entries and the quarantine travels whole.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FleetState {
    /// The declaration in force.
    pub document: Option<document::Document>,
    /// Zones that are out.
    pub zones_out: BTreeSet<name::Zone>,
    /// Processes that hold or may hold the replicated log.
    pub controls: Vec<net::SocketAddr>,
    /// Entries that follow the leader.
    pub entries: BTreeSet<net::SocketAddr>,
    /// Requests that are suspected or quarantined.
    pub quarantine: BTreeMap<quarantine::Fingerprint, quarantine::Verdict>,
}

/// Documents before the newest that followers may still be receiving.
const MAX_KEPT_DOCUMENTS: usize = 3;

/// The board of one leader's term.
#[derive(Clone, Debug)]
pub struct Publisher {
    stamp: view::Stamp,
    state: FleetState,
    /// Documents before the newest, the latest last. A follower completes the one that it has parts
    /// of: begun anew with each version, changes in quick succession would leave it without any.
    previous: VecDeque<document::Document>,
    /// Documents as they were encoded, by base and version. Most followers hold the same base.
    ///
    /// Invariant: of kept versions alone.
    encodings: BTreeMap<(u64, u64), document::Encoding>,
    upstreams: Table<name::Instance, view::Upstream>,
    groups: Table<name::Group, view::Group>,
    entries: Table<net::SocketAddr, ()>,
    quarantine: Table<quarantine::Fingerprint, quarantine::Verdict>,
}

impl Publisher {
    /// An empty board of `term`. Followers that hold the document that is `known` from before it need
    /// only what has changed since.
    pub fn new(term: number::Term, known: Option<document::Document>) -> Publisher {
        Publisher {
            stamp: view::Stamp { term, revision: 0 },
            state: FleetState::default(),
            previous: known.into_iter().collect(),
            encodings: BTreeMap::new(),
            upstreams: Table::new(),
            groups: Table::new(),
            entries: Table::new(),
            quarantine: Table::new(),
        }
    }

    /// Newest publication.
    pub fn stamp(&self) -> view::Stamp {
        self.stamp
    }

    /// Publishes; returns whether anything is new to followers.
    pub fn publish(
        &mut self,
        state: FleetState,
        upstreams: &BTreeMap<name::Instance, view::Upstream>,
        groups: &BTreeMap<name::Group, view::Group>,
    ) -> bool {
        let revision = self.stamp.revision + 1;
        let is_same = |old: &view::Upstream, new: &view::Upstream| {
            old.status == new.status
                && old.rate == new.rate
                && old.announcement.is_equivalent(&new.announcement)
        };
        let mut changed = self.upstreams.publish(revision, upstreams, is_same);
        changed |= self.groups.publish(revision, groups, |old, new| old == new);
        let entries = state.entries.iter().map(|entry| (*entry, ())).collect();
        changed |= self.entries.publish(revision, &entries, |_, _| true);
        changed |= self.quarantine.publish(revision, &state.quarantine, |old, new| old == new);
        changed |= self.state != state;
        if self.state.document != state.document {
            self.previous.extend(self.state.document.take());
            while self.previous.len() > MAX_KEPT_DOCUMENTS {
                self.previous.pop_front();
            }
        }
        self.state = state;
        self.drop_encodings();
        if changed {
            self.stamp.revision = revision;
        }
        changed
    }

    /// Version of the newest declaration; 0 for none.
    pub fn version(&self) -> u64 {
        self.state.document.as_ref().map_or(0, |document| document.version)
    }

    /// The part that a follower lacks next of a declaration newer than its own.
    pub fn next_part(&mut self, held: document::Progress) -> Option<document::Part> {
        let newest = self.version();
        if newest <= held.version {
            return None;
        }
        let is_started =
            held.partial_version > held.version && self.document(held.partial_version).is_some();
        let has_base = held.base == 0 || held.base == held.version && self.is_kept(held.base);
        if is_started && has_base {
            let encoding = self.encoding(held.base, held.partial_version)?;
            return Some(encoding.part(held.offset as usize));
        }
        let base = if self.is_kept(held.version) { held.version } else { 0 };
        Some(self.encoding(base, newest)?.part(0))
    }

    fn document(&self, version: u64) -> Option<&document::Document> {
        let kept = self.previous.iter().chain(&self.state.document);
        kept.into_iter().find(|it| it.version == version)
    }

    fn is_kept(&self, version: u64) -> bool {
        self.document(version).is_some()
    }

    /// The document of `version`, encoded against that of version `base`; 0 for none.
    fn encoding(&mut self, base: u64, version: u64) -> Option<&document::Encoding> {
        if !self.encodings.contains_key(&(base, version)) {
            let encoding = self.document(version)?.encode(self.document(base));
            self.encodings.insert((base, version), encoding);
        }
        self.encodings.get(&(base, version))
    }

    fn drop_encodings(&mut self) {
        let mut encodings = std::mem::take(&mut self.encodings);
        let kept = |version: u64| version == 0 || self.is_kept(version);
        encodings.retain(|(base, version), _| kept(*base) && kept(*version));
        self.encodings = encodings;
    }

    /// What a follower lacks that stands at `have`, declarations left aside.
    pub fn since(&self, have: view::Stamp) -> view::Update {
        let floor = self.upstreams.floor.max(self.groups.floor).max(self.entries.floor);
        let floor = floor.max(self.quarantine.floor);
        let known = have.term == self.stamp.term
            && have.revision >= floor
            && have.revision <= self.stamp.revision;
        let revision = if known { have.revision } else { 0 };
        view::Update {
            stamp: self.stamp,
            is_full: !known,
            declared_version: self.version(),
            document: None,
            zones_out: self.state.zones_out.clone(),
            upstreams: self.upstreams.since(revision),
            groups: self.groups.since(revision),
            controls: self.state.controls.clone(),
            entries: self.entries.since(revision),
            quarantine: self.quarantine.since(revision),
        }
    }
}
