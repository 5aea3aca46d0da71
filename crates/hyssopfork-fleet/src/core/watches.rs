//! Long-poll watches that a leader holds, and which revision each follower has.

use crate::{action, document, durable, link, publication, quarantine, view};
use hyssopfork_wire::{clock, number};
use std::collections::{BTreeMap, BTreeSet};
use std::net;
use std::ops::Bound;
use std::time::Duration;

/// Time without a watch after which a process is removed from the entries. Entries send the next
/// watch within [`action::MAX_WATCH_HOLD`].
const ENTRY_TIMEOUT: Duration = Duration::from_secs(3);

/// Followers that must have received an upstream's departure or drain before its call is answered.
/// If the leader fails after the answer, the next leader learns of it from these followers.
const MIN_REPLICAS: usize = 2;

/// Time after which a departure that is not replicated is answered as failed; the client tries
/// another process after a second.
const REPLICATION_TIMEOUT: Duration = Duration::from_millis(700);

/// Maximum number of processes that probe an upstream for the leader: enough to have some in every
/// zone, and few enough for a fleet of hundreds.
const MAX_PROBE_PEERS: usize = 16;

/// Followers (donors) that are asked at the same time for the state of earlier terms.
const MAX_DONORS: usize = 2;

/// Time after which a donor that has not answered is replaced by another follower.
const DONOR_TIMEOUT: Duration = Duration::from_millis(300);

/// Bytes of document parts on their way to followers. Together with the parts sent to voters, this
/// bounds how long a heartbeat is queued on the leader's link. A limit on the number of parts would
/// hold back small changes as long as large ones: a busy leader sent 9 of them a second.
const MAX_TRANSFER_BYTES: usize = 8 * document::MAX_PART_BYTES;

#[derive(Clone, Debug)]
struct HeldWatch {
    from: net::SocketAddr,
    known_stamp: view::Stamp,
    document_progress: document::Progress,
    expires_at: clock::Instant,
}

/// The reply to a watch that is due.
pub(super) struct PendingReply {
    pub(super) call: u64,
    pub(super) content: Content,
}

/// What a follower is sent.
pub(super) enum Content {
    /// The update from its revision; with its document progress if it is to be sent a part.
    Update(view::Stamp, Option<document::Progress>),
    /// A request for its state.
    StateRequest,
    /// That the leader is alive, with a part of a document if the follower's progress is given: the
    /// link has no capacity for the update yet.
    Delay(Option<document::Progress>),
}

#[derive(Clone, Debug)]
struct HeldRegistration {
    call: u64,
    /// The process that leaves.
    process: quarantine::Process,
    since: clock::Instant,
    /// First revision that contains it; `None` until the next publication.
    revision: Option<u64>,
}

/// A document part that a follower was sent, until its next watch.
#[derive(Clone, Copy, Debug)]
struct Transfer {
    sent_at: clock::Instant,
    bytes: usize,
}

/// What the leader can send to its followers.
pub(super) struct Outgoing<'a> {
    pub(super) publisher: &'a mut publication::Publisher,
    pub(super) bucket: &'a mut link::Bucket,
}

impl Outgoing<'_> {
    /// Takes the update from a revision, and `part_bytes` of a document, out of the link's capacity;
    /// returns false if it has none.
    fn try_take(
        &mut self,
        now: clock::Instant,
        known_stamp: view::Stamp,
        part_bytes: usize,
    ) -> bool {
        // An update that can't be sent now isn't encoded: it changes with the next publication.
        let has_capacity = self.bucket.has_capacity(now);
        if has_capacity {
            self.bucket.take(self.publisher.delta(known_stamp).size() + part_bytes);
        }
        has_capacity
    }

    /// Bytes of the next document part for a follower; 0 if it needs none.
    fn part_bytes(&mut self, progress: document::Progress) -> usize {
        self.publisher.next_part(progress).map_or(0, |part| part.bytes.len())
    }
}

/// What the leader knows of an entry.
#[derive(Clone, Copy, Debug)]
struct Follower {
    /// Time of its last watch; the start of the term before the first one.
    last_seen: clock::Instant,
    /// Its revision at that time; `None` for an entry known from an earlier leader that has sent no
    /// watch yet.
    known_stamp: Option<view::Stamp>,
    /// Version of its declaration at that time; 0 for none.
    declared_version: u64,
    /// Time of the last update that it was sent; the start of the term before the first one.
    last_update: clock::Instant,
}

/// How much a leader knows of the terms before its own.
#[derive(Clone, Copy, Debug)]
struct PriorState {
    term: number::Term,
    /// Newest revision of an earlier leader that this leader knows.
    newest: view::Stamp,
}

impl PriorState {
    /// Whether a follower at `have` knows state of earlier terms that this leader lacks.
    fn is_behind(self, known_stamp: view::Stamp) -> bool {
        known_stamp > self.newest && known_stamp.term < self.term
    }
}

/// Held watches and the entries that have sent watches recently.
#[derive(Clone, Debug)]
pub(super) struct Watches {
    pub(super) term_start: clock::Instant,
    watches: BTreeMap<u64, HeldWatch>,
    entries: BTreeMap<net::SocketAddr, Follower>,
    /// Document parts that followers were sent and have not confirmed by a watch.
    ///
    /// Invariant: at most [`MAX_TRANSFER_BYTES`].
    transfers: BTreeMap<net::SocketAddr, Transfer>,
    registrations: Vec<HeldRegistration>,
    /// Stamp and newest version at the last pass over the held watches.
    last_pass: Option<(view::Stamp, u64)>,
    /// Time from which the next pass may find a watch to answer although nothing was published.
    next_pass_at: clock::Instant,
    prior_state: PriorState,
    /// Follower that the last upstream was assigned to.
    last_assigned: Option<net::SocketAddr>,
    /// Followers that were asked for their state and have not answered, with the time of the
    /// request.
    ///
    /// Invariant: at most [`MAX_DONORS`].
    donors: BTreeMap<net::SocketAddr, clock::Instant>,
}

impl Watches {
    /// Creates the watches of the leader of `term`, which knows `newest` of an earlier leader.
    pub(super) fn new(now: clock::Instant, term: number::Term, newest: view::Stamp) -> Watches {
        Watches {
            term_start: now,
            watches: BTreeMap::new(),
            entries: BTreeMap::new(),
            transfers: BTreeMap::new(),
            registrations: Vec::new(),
            last_pass: None,
            next_pass_at: now,
            prior_state: PriorState { term, newest },
            last_assigned: None,
            donors: BTreeMap::new(),
        }
    }

    /// Picks the followers with the newest revisions as donors.
    ///
    /// Revisions of one term build on each other, so a follower with the newest one has the
    /// complete state. A leader of a hundred followers that received the state from all of them
    /// lost its lease while decoding it.
    fn pick_donors(&mut self, now: clock::Instant) -> BTreeSet<net::SocketAddr> {
        self.donors.retain(|_, asked_at| now.since(*asked_at) < DONOR_TIMEOUT);
        let free = MAX_DONORS.saturating_sub(self.donors.len());
        let behind =
            self.watches.values().filter(|watch| self.prior_state.is_behind(watch.known_stamp));
        let mut candidates: Vec<_> = behind.map(|watch| (watch.known_stamp, watch.from)).collect();
        candidates.sort();
        let picked: BTreeSet<_> =
            candidates.into_iter().rev().take(free).map(|(_, from)| from).collect();
        self.donors.extend(picked.iter().map(|from| (*from, now)));
        picked
    }

    /// Records that a follower at `have` has sent its state.
    pub(super) fn on_state_received(&mut self, from: net::SocketAddr, known_stamp: view::Stamp) {
        self.donors.remove(&from);
        self.prior_state.newest = self.prior_state.newest.max(known_stamp);
    }

    /// Number of entries, without this process.
    pub(super) fn follower_count(&self) -> usize {
        self.entries.len()
    }

    /// The follower that the next upstream's heartbeats are assigned to, each in turn.
    pub(super) fn next_follower(&mut self) -> Option<net::SocketAddr> {
        let follows =
            |(_, follower): &(&net::SocketAddr, &Follower)| follower.known_stamp.is_some();
        let after = self.last_assigned.map_or(Bound::Unbounded, Bound::Excluded);
        let mut later = self.entries.range((after, Bound::Unbounded)).filter(follows);
        let next = later.next().or_else(|| self.entries.iter().find(follows));
        self.last_assigned = next.map(|(address, _)| *address);
        self.last_assigned
    }

    /// Adds entries that followed an earlier leader. If they counted only from their first watch
    /// on, the first entries to send one would divide the fleet-wide limits among themselves.
    pub(super) fn add_known_entries(&mut self, known: impl IntoIterator<Item = net::SocketAddr>) {
        let follower = Follower {
            last_seen: self.term_start,
            known_stamp: None,
            declared_version: 0,
            last_update: self.term_start,
        };
        for entry in known {
            self.entries.entry(entry).or_insert(follower);
        }
    }

    pub(super) fn hold(
        &mut self,
        now: clock::Instant,
        call: u64,
        from: net::SocketAddr,
        known_stamp: view::Stamp,
        document_progress: document::Progress,
    ) {
        self.transfers.remove(&from);
        let is_current = self.last_pass.is_some_and(|(stamp, version)| {
            known_stamp == stamp && document_progress.version >= version
        });
        if !is_current {
            self.next_pass_at = now;
        }
        let last_update = self.entries.get(&from).map_or(self.term_start, |it| it.last_update);
        let follower = Follower {
            last_seen: now,
            known_stamp: Some(known_stamp),
            declared_version: document_progress.version,
            last_update,
        };
        self.entries.insert(from, follower);
        // A process has one watch at a time, so an earlier one has been abandoned.
        self.watches.retain(|_, watch| watch.from != from);
        self.watches.insert(
            call,
            HeldWatch {
                from,
                known_stamp,
                document_progress,
                expires_at: now + action::MAX_WATCH_HOLD,
            },
        );
    }

    pub(super) fn hold_registration(
        &mut self,
        now: clock::Instant,
        call: u64,
        process: quarantine::Process,
    ) {
        self.registrations.push(HeldRegistration { call, process, since: now, revision: None });
    }

    pub(super) fn abandon(&mut self, call: u64) {
        self.watches.remove(&call);
        self.registrations.retain(|registration| registration.call != call);
    }

    /// Whether a pass over the held watches may find one to answer.
    ///
    /// A leader of thousands of engines handles thousands of events a second. A pass over hundreds of
    /// watches after each of them took more of its processor than the events themselves.
    pub(super) fn is_pass_due(
        &self,
        now: clock::Instant,
        publisher: &publication::Publisher,
    ) -> bool {
        let is_published = self.last_pass != Some((publisher.stamp(), publisher.version()));
        is_published || now >= self.next_pass_at
    }

    /// Removes and returns the watches to answer now. Followers that have waited longest for an
    /// update come first.
    pub(super) fn take_due(
        &mut self,
        now: clock::Instant,
        outgoing: &mut Outgoing<'_>,
    ) -> Vec<PendingReply> {
        let (stamp, version) = (outgoing.publisher.stamp(), outgoing.publisher.version());
        let donors = self.pick_donors(now);
        self.transfers.retain(|_, transfer| now.since(transfer.sent_at) < action::WATCH_TIMEOUT);
        let mut due: Vec<(clock::Instant, u64)> = Vec::new();
        for (call, watch) in &self.watches {
            let is_due = donors.contains(&watch.from)
                || watch.known_stamp != stamp
                || watch.document_progress.version < version
                || now >= watch.expires_at;
            if is_due {
                let follower = self.entries.get(&watch.from);
                due.push((follower.map_or(self.term_start, |it| it.last_update), *call));
            }
        }
        due.sort();
        let mut has_held_back = false;
        let mut replies = Vec::new();
        for (_, call) in due {
            let Some(watch) = self.watches.get(&call) else { continue };
            let is_donor = donors.contains(&watch.from);
            let part_bytes = outgoing.part_bytes(watch.document_progress);
            let answer = self.answer(now, watch, part_bytes, is_donor, outgoing);
            if let Some(content) = answer {
                self.on_answered(now, call, &content, part_bytes);
                replies.push(PendingReply { call, content });
            } else {
                has_held_back = true;
            }
        }
        self.last_pass = Some((stamp, version));
        let expiries = self.watches.values().map(|watch| watch.expires_at);
        let retry_at = has_held_back.then_some(now + action::TICK_INTERVAL);
        self.next_pass_at = expiries.chain(retry_at).min().unwrap_or(now + action::MAX_WATCH_HOLD);
        replies
    }

    /// The answer to a watch; `None` to hold it longer.
    fn answer(
        &self,
        now: clock::Instant,
        watch: &HeldWatch,
        part_bytes: usize,
        is_donor: bool,
        outgoing: &mut Outgoing<'_>,
    ) -> Option<Content> {
        if is_donor {
            return Some(Content::StateRequest);
        }
        let sent_bytes: usize = self.transfers.values().map(|transfer| transfer.bytes).sum();
        let sends_part = part_bytes > 0 && sent_bytes + part_bytes <= MAX_TRANSFER_BYTES;
        let progress = sends_part.then_some(watch.document_progress);
        let part_bytes = if sends_part { part_bytes } else { 0 };
        let is_expired = now >= watch.expires_at;
        if watch.known_stamp == outgoing.publisher.stamp() && !sends_part && !is_expired {
            return None;
        }
        // Before the first publication, an update would empty the follower's view.
        let is_published = outgoing.publisher.stamp().revision > 0;
        // An update would overwrite state that only this follower may have.
        let is_behind = self.prior_state.is_behind(watch.known_stamp);
        let waits_for_state = is_behind && now < watch.expires_at + action::MAX_WATCH_HOLD;
        if is_published && !waits_for_state && outgoing.try_take(now, watch.known_stamp, part_bytes)
        {
            return Some(Content::Update(watch.known_stamp, progress));
        }
        // After a change of leader all followers need the whole view, which takes the link seconds to
        // send. A declaration doesn't wait for that, except at a process that has no view at all.
        let progress = progress.filter(|_| watch.known_stamp != view::Stamp::default());
        if progress.is_some() {
            outgoing.bucket.take(part_bytes);
        }
        let is_due = progress.is_some() || is_expired && !waits_for_state;
        is_due.then_some(Content::Delay(progress))
    }

    /// Removes an answered watch.
    fn on_answered(
        &mut self,
        now: clock::Instant,
        call: u64,
        content: &Content,
        part_bytes: usize,
    ) {
        let Some(watch) = self.watches.remove(&call) else { return };
        let is_update = matches!(content, Content::Update(..));
        if let Content::Update(_, Some(_)) | Content::Delay(Some(_)) = content {
            self.transfers.insert(watch.from, Transfer { sent_at: now, bytes: part_bytes });
        }
        if let Some(follower) = self.entries.get_mut(&watch.from).filter(|_| is_update) {
            follower.last_update = now;
        }
    }

    /// Records that `revision` is the first to publish the pending registrations.
    pub(super) fn on_published(&mut self, revision: u64) {
        for registration in &mut self.registrations {
            registration.revision.get_or_insert(revision);
        }
    }

    /// Removes and returns the departures that enough followers have received and that the log has
    /// recorded, and the expired ones.
    pub(super) fn take_replicated(
        &mut self,
        now: clock::Instant,
        stamp: view::Stamp,
        state: &durable::State,
    ) -> (Vec<u64>, Vec<u64>) {
        if self.registrations.is_empty() {
            return (Vec::new(), Vec::new());
        }
        let stamps: Vec<view::Stamp> =
            self.entries.values().filter_map(|it| it.known_stamp).collect();
        let followers = stamps.len();
        let known = |revision: u64| {
            let has = |known_stamp: &&view::Stamp| {
                known_stamp.term == stamp.term && known_stamp.revision >= revision
            };
            stamps.iter().filter(has).count()
        };
        let (mut replicated, mut expired) = (Vec::new(), Vec::new());
        self.registrations.retain(|registration| {
            let is_known = |revision| known(revision) >= MIN_REPLICAS.min(followers);
            let is_recorded = state.has_departed(&registration.process);
            if is_recorded && registration.revision.is_some_and(is_known) {
                replicated.push(registration.call);
            } else if now.since(registration.since) >= REPLICATION_TIMEOUT {
                expired.push(registration.call);
            } else {
                return true;
            }
            false
        });
        (replicated, expired)
    }

    /// Whether an entry has the declaration of `version` or a newer one.
    pub(super) fn has_declaration(&self, entry: net::SocketAddr, version: u64) -> bool {
        self.entries.get(&entry).is_some_and(|it| it.declared_version >= version)
    }

    /// Whether an entry has received `revision` of the leader of `term`.
    pub(super) fn has_revision(
        &self,
        entry: net::SocketAddr,
        term: number::Term,
        revision: u64,
    ) -> bool {
        let known_stamp = self.entries.get(&entry).and_then(|it| it.known_stamp);
        known_stamp.is_some_and(|it| it.term == term && it.revision >= revision)
    }

    /// Processes that can probe an upstream for the leader. They are picked at equal distances from
    /// the sorted addresses, because processes of one zone have adjacent addresses.
    pub(super) fn probe_peers(&self) -> BTreeSet<net::SocketAddr> {
        let followers = self.entries.iter().filter(|(_, follower)| follower.known_stamp.is_some());
        let followers: Vec<net::SocketAddr> = followers.map(|(entry, _)| *entry).collect();
        let stride = followers.len().div_ceil(MAX_PROBE_PEERS).max(1);
        followers.into_iter().step_by(stride).collect()
    }

    /// Entries that follow the leader, including `own`.
    pub(super) fn live_entries(
        &mut self,
        now: clock::Instant,
        own: net::SocketAddr,
    ) -> BTreeSet<net::SocketAddr> {
        self.entries.retain(|_, follower| now.since(follower.last_seen) < ENTRY_TIMEOUT);
        self.entries.keys().copied().chain([own]).collect()
    }
}
