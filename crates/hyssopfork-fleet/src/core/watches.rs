//! Watches that a leader holds, and what its followers know.

use crate::{action, document, view};
use hyssopfork_wire::{clock, number};
use std::collections::{BTreeMap, BTreeSet};
use std::net;
use std::time::Duration;

/// Time without a watch after which a process no longer counts among the entries. They ask again
/// within [`action::HOLD`].
const ENTRY_TIMEOUT: Duration = Duration::from_secs(3);

/// Followers that know of an upstream's leaving before its call is answered. The leader may be lost
/// with the answer; whoever follows it learns the news of those who had it.
const MIN_REPLICAS: usize = 2;

/// Time after which such a call is not answered with success any more: the caller turns elsewhere
/// after a second.
const REPLICATION_TIMEOUT: Duration = Duration::from_millis(700);

/// Most processes that are asked whether they reach an upstream: enough that some are in every zone,
/// few enough for a fleet of hundreds.
const MAX_PROBE_PEERS: usize = 16;

/// Followers that are asked at once for what they know of the terms before.
const MAX_DONORS: usize = 2;

/// Time after which another follower is asked in place of one that has not answered.
const DONOR_TIMEOUT: Duration = Duration::from_millis(300);

/// Followers that are sent parts of a document at once. With the parts that voters are sent, this
/// bounds how long a heartbeat waits at the leader's link.
const MAX_TRANSFERS: usize = 8;

#[derive(Clone, Debug)]
struct HeldWatch {
    from: net::SocketAddr,
    have: view::Stamp,
    document: document::Progress,
    expires_at: clock::Instant,
}

/// The reply to a watch that is due.
pub(super) struct PendingReply {
    pub(super) call: u64,
    pub(super) have: view::Stamp,
    /// What the follower holds, where it gets a part of a document.
    pub(super) document: Option<document::Progress>,
    /// Whether the follower is asked for what it knows in place of an update.
    pub(super) requests_state: bool,
}

#[derive(Clone, Debug)]
struct Registration {
    call: u64,
    since: clock::Instant,
    /// Revision that tells of it; `None` until the next publication.
    revision: Option<u64>,
}

/// An entry, as its leader knows it.
#[derive(Clone, Copy, Debug)]
struct Follower {
    /// When it last asked; the start of the term until it has.
    last_seen: clock::Instant,
    /// What it had then; `None` for one that followed the leader before and has not asked yet.
    have: Option<view::Stamp>,
}

/// What a leader knows of the terms before its own.
#[derive(Clone, Copy, Debug)]
struct PriorState {
    term: number::Term,
    /// Newest publication of an earlier leader that this one knows.
    newest: view::Stamp,
}

impl PriorState {
    /// Whether whoever stands at `have` knows what the leader doesn't.
    fn is_behind(self, have: view::Stamp) -> bool {
        have > self.newest && have.term < self.term
    }
}

/// Watches that are held, and who asked lately.
#[derive(Clone, Debug)]
pub(super) struct Watches {
    pub(super) term_start: clock::Instant,
    watches: BTreeMap<u64, HeldWatch>,
    entries: BTreeMap<net::SocketAddr, Follower>,
    /// Followers that were sent a part of a document and have not asked since, and when.
    ///
    /// Invariant: at most [`MAX_TRANSFERS`].
    transfers: BTreeMap<net::SocketAddr, clock::Instant>,
    registrations: Vec<Registration>,
    prior_state: PriorState,
    /// Followers that were asked for what they know and have not said it, and when.
    ///
    /// Invariant: at most [`MAX_INFORMANTS`].
    donors: BTreeMap<net::SocketAddr, clock::Instant>,
}

impl Watches {
    /// The watches of the leader of `term`, who knows an earlier leader's publication `newest`.
    pub(super) fn new(now: clock::Instant, term: number::Term, newest: view::Stamp) -> Watches {
        Watches {
            term_start: now,
            watches: BTreeMap::new(),
            entries: BTreeMap::new(),
            transfers: BTreeMap::new(),
            registrations: Vec::new(),
            prior_state: PriorState { term, newest },
            donors: BTreeMap::new(),
        }
    }

    /// Picks followers to ask for what they know: the ones with the newest publications.
    ///
    /// Publications of one term build on one another, so whoever has the newest knows all. Told by every
    /// follower, a leader of a hundred lost its lease over reading what all of them knew.
    fn pick_donors(&mut self, now: clock::Instant) -> BTreeSet<net::SocketAddr> {
        self.donors.retain(|_, asked| now.since(*asked) < DONOR_TIMEOUT);
        let free = MAX_DONORS.saturating_sub(self.donors.len());
        let behind = self.watches.values().filter(|held| self.prior_state.is_behind(held.have));
        let mut candidates: Vec<_> = behind.map(|held| (held.have, held.from)).collect();
        candidates.sort();
        let picked: BTreeSet<_> =
            candidates.into_iter().rev().take(free).map(|(_, from)| from).collect();
        self.donors.extend(picked.iter().map(|from| (*from, now)));
        picked
    }

    /// Takes in that a follower that stood at `have` has said what it knows.
    pub(super) fn on_state_received(&mut self, from: net::SocketAddr, have: view::Stamp) {
        self.donors.remove(&from);
        self.prior_state.newest = self.prior_state.newest.max(have);
    }

    /// Entries that count, this process left aside.
    pub(super) fn follower_count(&self) -> usize {
        self.entries.len()
    }

    /// Takes in entries that followed the leader before. Left out until they ask, the first ones that
    /// do would share the fleet's limits among themselves.
    pub(super) fn add_known_entries(&mut self, known: impl IntoIterator<Item = net::SocketAddr>) {
        let follower = Follower { last_seen: self.term_start, have: None };
        for entry in known {
            self.entries.entry(entry).or_insert(follower);
        }
    }

    pub(super) fn hold(
        &mut self,
        now: clock::Instant,
        call: u64,
        from: net::SocketAddr,
        have: view::Stamp,
        document: document::Progress,
    ) {
        self.transfers.remove(&from);
        self.entries.insert(from, Follower { last_seen: now, have: Some(have) });
        // A process asks once at a time: an earlier watch of it was given up.
        self.watches.retain(|_, held| held.from != from);
        self.watches.insert(
            call,
            HeldWatch { from, have, document, expires_at: now + action::MAX_WATCH_HOLD },
        );
    }

    pub(super) fn hold_registration(&mut self, now: clock::Instant, call: u64) {
        self.registrations.push(Registration { call, since: now, revision: None });
    }

    pub(super) fn abandon(&mut self, call: u64) {
        self.watches.remove(&call);
        self.registrations.retain(|held| held.call != call);
    }

    /// Takes the watches to be answered at `stamp`, with `version` the newest declaration. The
    /// longest held go first.
    pub(super) fn take_due(
        &mut self,
        now: clock::Instant,
        stamp: view::Stamp,
        version: u64,
    ) -> Vec<PendingReply> {
        let picked = self.pick_donors(now);
        let prior_state = self.prior_state;
        let transfers = &mut self.transfers;
        transfers.retain(|_, sent| now.since(*sent) < action::WATCH_TIMEOUT);
        let mut due = Vec::new();
        self.watches.retain(|call, held| {
            if picked.contains(&held.from) {
                due.push(PendingReply {
                    call: *call,
                    have: held.have,
                    document: None,
                    requests_state: true,
                });
                return false;
            }
            // The view would overwrite what the follower alone may know.
            let is_behind = prior_state.is_behind(held.have);
            let may_answer = !is_behind || now >= held.expires_at + action::MAX_WATCH_HOLD;
            let needs_document = held.document.version < version;
            let transfer = may_answer && needs_document && transfers.len() < MAX_TRANSFERS;
            let is_due = may_answer && (transfer || held.have != stamp || now >= held.expires_at);
            if transfer {
                transfers.insert(held.from, now);
            }
            if is_due {
                let document = transfer.then_some(held.document);
                due.push(PendingReply {
                    call: *call,
                    have: held.have,
                    document,
                    requests_state: false,
                });
            }
            !is_due
        });
        due
    }

    /// Records that `revision` is the first to publish the pending registrations.
    pub(super) fn on_published(&mut self, revision: u64) {
        for held in &mut self.registrations {
            held.revision.get_or_insert(revision);
        }
    }

    /// Takes the upstreams' calls that enough followers know of, and those that waited too long.
    pub(super) fn take_replicated(
        &mut self,
        now: clock::Instant,
        stamp: view::Stamp,
    ) -> (Vec<u64>, Vec<u64>) {
        let stamps: Vec<view::Stamp> = self.entries.values().filter_map(|it| it.have).collect();
        let followers = stamps.len();
        let known = |revision: u64| {
            let has = |have: &&view::Stamp| have.term == stamp.term && have.revision >= revision;
            stamps.iter().filter(has).count()
        };
        let (mut replicated, mut expired) = (Vec::new(), Vec::new());
        self.registrations.retain(|held| {
            let is_known = |revision| known(revision) >= MIN_REPLICAS.min(followers);
            if held.revision.is_some_and(is_known) {
                replicated.push(held.call);
            } else if now.since(held.since) >= REPLICATION_TIMEOUT {
                expired.push(held.call);
            } else {
                return true;
            }
            false
        });
        (replicated, expired)
    }

    /// Processes that can be asked about an upstream, spread over all addresses: those of one zone
    /// are neighbours.
    pub(super) fn probe_peers(&self) -> BTreeSet<net::SocketAddr> {
        let followers = self.entries.iter().filter(|(_, follower)| follower.have.is_some());
        let followers: Vec<net::SocketAddr> = followers.map(|(entry, _)| *entry).collect();
        let stride = followers.len().div_ceil(MAX_PROBE_PEERS).max(1);
        followers.into_iter().step_by(stride).collect()
    }

    /// Entries that follow, with `own`.
    pub(super) fn live_entries(
        &mut self,
        now: clock::Instant,
        own: net::SocketAddr,
    ) -> BTreeSet<net::SocketAddr> {
        self.entries.retain(|_, follower| now.since(follower.last_seen) < ENTRY_TIMEOUT);
        self.entries.keys().copied().chain([own]).collect()
    }
}
