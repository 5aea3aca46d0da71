//! Versioned publication of the leader's state, and the differences that each follower lacks.

use crate::{delta, document, groups::demand, quarantine, view};
use hyssopfork_wire::{name, number};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net;

/// Removals remembered per table; a follower that is further behind is sent the full state.
const MAX_REMOVALS: usize = 1_024;

#[derive(Clone, Debug)]
struct Entry<T> {
    /// Revision that last changed it.
    revision: u64,
    /// Revision since which its identity is the same.
    identity_revision: u64,
    value: T,
}

/// A published table; each entry carries the revision that last changed it.
#[derive(Clone, Debug)]
struct Table<K, T> {
    entries: BTreeMap<K, Entry<T>>,
    /// Keys of the entries by revision, so that a difference is found without a pass over all.
    ///
    /// Invariant: contains each key of `entries` once, with the revision of its entry.
    keys_by_revision: BTreeSet<(u64, K)>,
    removals: VecDeque<(u64, K)>,
    /// Newest revision whose removals are no longer remembered.
    floor: u64,
}

impl<K: Clone + Ord, T: Clone + PartialEq> Table<K, T> {
    fn new() -> Table<K, T> {
        Table {
            entries: BTreeMap::new(),
            keys_by_revision: BTreeSet::new(),
            removals: VecDeque::new(),
            floor: 0,
        }
    }

    /// Replaces the contents; returns whether anything changed. `has_same_identity` tells whether a
    /// changed entry keeps its identity.
    fn publish(
        &mut self,
        revision: u64,
        next: &BTreeMap<K, T>,
        is_same: impl Fn(&T, &T) -> bool,
        has_same_identity: impl Fn(&T, &T) -> bool,
    ) -> bool {
        let (removed_keys, changed_keys) = self.differences(next, is_same);
        let changed = !removed_keys.is_empty() || !changed_keys.is_empty();
        for key in removed_keys {
            if let Some(entry) = self.entries.remove(&key) {
                self.keys_by_revision.remove(&(entry.revision, key.clone()));
            }
            self.removals.push_back((revision, key));
        }
        for key in changed_keys {
            let Some(value) = next.get(&key) else { continue };
            let known = self.entries.get(&key);
            let identity_revision = known
                .filter(|known| has_same_identity(&known.value, value))
                .map_or(revision, |known| known.identity_revision);
            if let Some(known) = known {
                self.keys_by_revision.remove(&(known.revision, key.clone()));
            }
            self.keys_by_revision.insert((revision, key.clone()));
            let entry = Entry { revision, identity_revision, value: value.clone() };
            self.entries.insert(key, entry);
        }
        while self.removals.len() > MAX_REMOVALS {
            self.floor = self.removals.pop_front().map_or(self.floor, |(revision, _)| revision);
        }
        changed
    }

    /// Keys that are missing in `next`, and those that are new or changed there. Both tables are in
    /// the order of their keys, so they are compared in one pass without a search for each key.
    fn differences(
        &self,
        next: &BTreeMap<K, T>,
        is_same: impl Fn(&T, &T) -> bool,
    ) -> (Vec<K>, Vec<K>) {
        let (mut removed, mut changed) = (Vec::new(), Vec::new());
        let mut known = self.entries.iter().peekable();
        for (key, value) in next {
            while let Some((gone, _)) = known.next_if(|(known_key, _)| *known_key < key) {
                removed.push(gone.clone());
            }
            let same_key = known.next_if(|(known_key, _)| *known_key == key);
            if same_key.is_none_or(|(_, entry)| !is_same(&entry.value, value)) {
                changed.push(key.clone());
            }
        }
        removed.extend(known.map(|(gone, _)| gone.clone()));
        (removed, changed)
    }

    fn since(&self, revision: u64) -> Vec<(K, Option<T>)> {
        let removed = self
            .removals
            .iter()
            .filter(|(removal, key)| *removal > revision && !self.entries.contains_key(key))
            .map(|(_, key)| (key.clone(), None));
        let newer = self.keys_by_revision.iter().rev().take_while(|(at, _)| *at > revision);
        let changed = newer.filter_map(|(_, key)| {
            self.entries.get(key).map(|entry| (key.clone(), Some(entry.value.clone())))
        });
        let mut changes: Vec<(K, Option<T>)> = removed.chain(changed).collect();
        // Neighbours by key have much in common, which compresses well.
        changes.sort_by(|left, right| left.0.cmp(&right.0));
        changes
    }

    /// Whether the entry has had its identity since `revision` or before.
    fn is_identity_known(&self, revision: u64, key: &K) -> bool {
        self.entries.get(key).is_some_and(|entry| entry.identity_revision <= revision)
    }
}

/// Published state other than upstreams and groups. Entries and quarantine are sent as differences,
/// the rest in full.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FleetState {
    /// The declaration in force.
    pub document: Option<document::Document>,
    /// Zones that are out.
    pub zones_out: BTreeSet<name::Zone>,
    /// Loads that the capacity plans rest on.
    pub plans: BTreeMap<name::Pool, demand::Basis>,
    /// Processes that are voters of the replicated log or may become voters.
    pub controls: Vec<net::SocketAddr>,
    /// Entries that follow the leader.
    pub entries: BTreeSet<net::SocketAddr>,
    /// Suspected and quarantined causes of crashes.
    pub quarantine: BTreeMap<quarantine::Cause, quarantine::Verdict>,
}

/// Documents older than the newest that are kept because followers may still be receiving them.
const MAX_KEPT_DOCUMENTS: usize = 3;

/// Publisher of one leader's term.
#[derive(Clone, Debug)]
pub struct Publisher {
    stamp: view::Stamp,
    state: FleetState,
    /// Documents older than the newest, in ascending order. A follower completes the document that
    /// it has parts of. If it restarted with each new version, changes in quick succession would
    /// leave it without any complete document.
    previous: VecDeque<document::Document>,
    /// Encoded documents by base and version, cached because most followers have the same base.
    ///
    /// Invariant: only versions that are kept.
    encodings: BTreeMap<(u64, u64), document::Encoding>,
    /// Encoded updates to the newest revision by the revision that they start from, cached because
    /// most followers have the same revision.
    deltas: BTreeMap<u64, delta::Delta>,
    upstreams: Table<name::Instance, view::Upstream>,
    groups: Table<name::Group, view::Group>,
    entries: Table<net::SocketAddr, ()>,
    quarantine: Table<quarantine::Cause, quarantine::Verdict>,
}

impl Publisher {
    /// Creates the publisher of `term`. `known` is the document from before the term; followers
    /// that have it are sent only the changes since.
    pub fn new(term: number::Term, known: Option<document::Document>) -> Publisher {
        Publisher {
            stamp: view::Stamp { term, revision: 0 },
            state: FleetState::default(),
            previous: known.into_iter().collect(),
            encodings: BTreeMap::new(),
            deltas: BTreeMap::new(),
            upstreams: Table::new(),
            groups: Table::new(),
            entries: Table::new(),
            quarantine: Table::new(),
        }
    }

    /// Stamp of the newest revision.
    pub fn stamp(&self) -> view::Stamp {
        self.stamp
    }

    /// Publishes the state; returns whether it differs from the last publication.
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
        let has_same_profile = |old: &view::Upstream, new: &view::Upstream| {
            old.announcement.has_same_profile(&new.announcement)
        };
        let mut changed = self.upstreams.publish(revision, upstreams, is_same, has_same_profile);
        changed |= self.groups.publish(revision, groups, |old, new| old == new, |_, _| true);
        let entries = state.entries.iter().map(|entry| (*entry, ())).collect();
        changed |= self.entries.publish(revision, &entries, |_, _| true, |_, _| true);
        let quarantine = &state.quarantine;
        changed |= self.quarantine.publish(revision, quarantine, |a, b| a == b, |_, _| true);
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
            self.deltas.clear();
        }
        changed
    }

    /// Version of the newest declaration; 0 for none.
    pub fn version(&self) -> u64 {
        self.state.document.as_ref().map_or(0, |document| document.version)
    }

    /// The next part of a newer declaration that the follower needs.
    pub fn next_part(&mut self, progress: document::Progress) -> Option<document::Part> {
        let newest = self.version();
        if newest <= progress.version {
            return None;
        }
        let is_started = progress.partial_version > progress.version
            && self.document(progress.partial_version).is_some();
        let has_base =
            progress.base == 0 || progress.base == progress.version && self.is_kept(progress.base);
        if is_started && has_base {
            let encoding = self.encoding(progress.base, progress.partial_version)?;
            return Some(encoding.part(progress.offset as usize));
        }
        let base = if self.is_kept(progress.version) { progress.version } else { 0 };
        Some(self.encoding(base, newest)?.part(0))
    }

    fn document(&self, version: u64) -> Option<&document::Document> {
        let kept = self.previous.iter().chain(&self.state.document);
        kept.into_iter().find(|it| it.version == version)
    }

    fn is_kept(&self, version: u64) -> bool {
        self.document(version).is_some()
    }

    /// The document of `version`, encoded against the one of version `base` (0 for none).
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

    /// The encoded update for a follower at `known_stamp`.
    pub fn delta(&mut self, known_stamp: view::Stamp) -> delta::Delta {
        let revision = self.base_revision(known_stamp);
        if let Some(delta) = self.deltas.get(&revision) {
            return delta.clone();
        }
        let update = self.since(known_stamp);
        let is_known = |instance: &name::Instance| {
            !update.is_full && self.upstreams.is_identity_known(revision, instance)
        };
        let delta = delta::Delta::encode(&update, is_known);
        self.deltas.insert(revision, delta.clone());
        delta
    }

    /// Revision from which a follower at `known_stamp` is sent changes; 0 for the full view.
    fn base_revision(&self, known_stamp: view::Stamp) -> u64 {
        let floor = self.upstreams.floor.max(self.groups.floor).max(self.entries.floor);
        let floor = floor.max(self.quarantine.floor);
        let is_known = known_stamp.term == self.stamp.term
            && known_stamp.revision >= floor
            && known_stamp.revision <= self.stamp.revision;
        if is_known { known_stamp.revision } else { 0 }
    }

    /// The update for a follower at `known_stamp`, without declarations.
    pub fn since(&self, known_stamp: view::Stamp) -> view::Update {
        let revision = self.base_revision(known_stamp);
        view::Update {
            stamp: self.stamp,
            is_full: revision == 0,
            declared_version: self.version(),
            zones_out: self.state.zones_out.clone(),
            plans: self.state.plans.clone(),
            upstreams: self.upstreams.since(revision),
            groups: self.groups.since(revision),
            controls: self.state.controls.clone(),
            entries: self.entries.since(revision),
            quarantine: self.quarantine.since(revision),
        }
    }
}
