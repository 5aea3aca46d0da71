//! Exact load of the groups, shared by the entries, as a step function: own counts and received
//! messages in, messages to send and totals out.
//!
//! Each group has a coordinator: the entry that is first by [`rendezvous`] hashing among those that
//! the leader publishes. An entry sends its own count of requests and tokens at a group to the
//! coordinator, which replies with the total of all other entries. Every message carries absolute
//! counts, so that a lost one is made up for by the next. If no replies arrive, totals age and
//! [`load`](crate::load) returns to its estimate.

use crate::{rendezvous, target};
use hyssopfork_wire::{clock, name};
use serde::{Deserialize, Serialize};
use sha2::Digest;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use std::{mem, net};

/// Interval between updates for a group whose count changes, and between steps.
pub const INTERVAL: Duration = Duration::from_millis(50);

/// Age of a total up to which it is used.
pub const MAX_TOTAL_AGE: Duration = Duration::from_millis(300);

/// Interval between updates for a group whose count doesn't change: a total stays in use if replies
/// arrive.
const REFRESH_INTERVAL: Duration = Duration::from_millis(200);

/// That interval for a group that is nearly full, where the last places are taken by whoever knows
/// of them first.
const FULL_REFRESH_INTERVAL: Duration = Duration::from_millis(100);

/// Part of its slots from which on a group is nearly full.
const NEARLY_FULL_RATIO: f64 = 0.75;

/// That interval at an entry without requests, which only keeps the channel under observation.
const IDLE_REFRESH_INTERVAL: Duration = Duration::from_secs(1);

/// Time without requests after which an entry is idle.
const IDLE_TIME: Duration = Duration::from_secs(5);

/// Age from which an update for a group with own requests precedes all others: the coordinator
/// would soon no longer count these.
const KEEP_ALIVE_AGE: Duration = Duration::from_millis(400);

/// Time without an update after which a sender's count is no longer included in totals.
const COUNT_LIFETIME: Duration = Duration::from_millis(600);

/// Time for which the order of a sender's updates is remembered; no datagram is delayed longer.
const ORDER_RETENTION: Duration = Duration::from_secs(5);

/// Time that a new coordinator collects updates before it replies. Longer than
/// [`REFRESH_INTERVAL`], so that every entry has sent its counts.
const COLLECTION_TIME: Duration = Duration::from_millis(250);

/// Time without a reply after which a coordinator counts as silent.
const SILENCE_TIME: Duration = Duration::from_secs(2);

/// Most groups without own requests for which an entry sends refreshes.
const MAX_PREFERRED_GROUPS: usize = 16;

/// Most groups in one message: at most 24 bytes each, it fits into one packet of 1,500 bytes.
pub const MAX_GROUPS_PER_MESSAGE: usize = 48;

/// Most requests that a count may state. A group has tens of slots.
pub const MAX_REQUESTS: u32 = 1 << 16;

/// Most tokens that a count may state.
pub const MAX_TOKENS: u64 = 1 << 40;

/// Updates that an entry sends per second. A coordinator of several groups then still receives and
/// sends less than the 28 KB per second that a process may use for control.
const MAX_UPDATES_PER_SECOND: f64 = 50.0;

/// Updates that an entry may send at once.
const MAX_UPDATE_BURST: f64 = 20.0;

/// Replies that a coordinator sends per second. Updates beyond that are counted, but not answered.
const MAX_REPLIES_PER_SECOND: f64 = 160.0;

/// Replies that a coordinator may send at once.
const MAX_REPLY_BURST: f64 = 50.0;

/// Identifies a group, by its head instance and incarnation, at all entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key(pub u64);

impl Key {
    /// Key of the group with this head.
    pub fn new(head: &name::Instance, incarnation: &target::Incarnation) -> Key {
        let mut digest = sha2::Sha256::new();
        digest.update(incarnation.born.to_be_bytes());
        digest.update(incarnation.epoch.to_be_bytes());
        digest.update(incarnation.address.to_string());
        digest.update([0]);
        digest.update(head.as_str());
        let bytes = digest.finalize();
        Key(bytes.iter().take(8).fold(0, |key, byte| key << 8 | u64::from(*byte)))
    }
}

/// Requests and tokens at a group.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Count {
    /// Requests in flight.
    pub requests: u32,
    /// Tokens of these requests; 0 for those of unknown size.
    pub tokens: u64,
}

impl Count {
    fn plus(self, other: Count) -> Count {
        Count {
            requests: self.requests.saturating_add(other.requests),
            tokens: self.tokens.saturating_add(other.tokens),
        }
    }

    fn is_plausible(self) -> bool {
        self.requests <= MAX_REQUESTS && self.tokens <= MAX_TOKENS
    }
}

/// Requests and tokens of all other entries at a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Total {
    /// Count of the other entries.
    pub others: Count,
    /// When the update that the coordinator replied to was sent.
    pub at: clock::Instant,
}

/// Meaning of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// The sender's own counts, for the coordinator.
    Update,
    /// Totals of the entries other than the recipient, from the coordinator.
    Reply,
}

/// Message between two entries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Meaning.
    pub kind: Kind,
    /// Start of the sender's process, in ms since 1970; in a reply, that of the recipient.
    pub boot: u64,
    /// Increases with each update of a process; in a reply, that of the update.
    pub sequence: u64,
    /// Groups and their counts, at most [`MAX_GROUPS_PER_MESSAGE`].
    pub counts: Vec<(Key, Count)>,
}

/// A group of the view.
#[derive(Clone, Debug, PartialEq)]
pub struct Listed {
    /// Key.
    pub key: Key,
    /// Head instance, by which the coordinator is chosen.
    pub head: name::Instance,
    /// Rank of this entry in the group's order of entries; lower is preferred.
    pub preference: f64,
    /// Requests that can run concurrently.
    pub slots: f64,
}

/// An event.
#[derive(Debug)]
pub enum Event<'a> {
    /// The view changed: the published entries and the groups.
    ViewUpdated(&'a BTreeMap<net::SocketAddr, ()>, Vec<Listed>),
    /// [`INTERVAL`] has passed.
    IntervalElapsed {
        /// Own counts that aren't zero.
        own: Vec<(Key, Count)>,
        /// Whether requests for groups arrived, including those that were rejected.
        has_arrivals: bool,
    },
    /// A message of an entry arrived.
    Received(net::SocketAddr, Message),
}

/// An action.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send the message to the entry.
    Send(net::SocketAddr, Message),
    /// Use this total for the group.
    Total(Key, Total),
    /// A received message was dropped.
    Dropped,
    /// The coordinator has not replied for [`SILENCE_TIME`].
    Silent(net::SocketAddr),
    /// A silent coordinator replies again.
    Restored(net::SocketAddr),
}

/// Last update of a sender for a group.
#[derive(Clone, Copy, Debug)]
struct Report {
    boot: u64,
    sequence: u64,
    count: Count,
    at: clock::Instant,
}

impl Report {
    /// Whether an update with these numbers is newer than this report. A lower boot number is
    /// accepted once the count has expired, in case the sender's wall clock was set back.
    fn is_older_than(&self, now: clock::Instant, boot: u64, sequence: u64) -> bool {
        match boot.cmp(&self.boot) {
            std::cmp::Ordering::Greater => true,
            std::cmp::Ordering::Equal => sequence > self.sequence,
            std::cmp::Ordering::Less => now.since(self.at) >= COUNT_LIFETIME,
        }
    }
}

/// State of a group.
#[derive(Debug)]
struct Group {
    /// `None` while this entry is not published.
    coordinator: Option<net::SocketAddr>,
    /// When this entry became the coordinator, or last resumed after a pause.
    collecting_since: clock::Instant,
    /// Last updates of the other entries, if this entry is the coordinator.
    reports: BTreeMap<net::SocketAddr, Report>,
    own: Count,
    /// Last count that was sent to the coordinator.
    sent: Count,
    sent_at: Option<clock::Instant>,
    /// Sequence number of the last reply in use.
    answered: u64,
    /// Requests of all entries as of that reply.
    answered_requests: u32,
    is_preferred: bool,
    slots: f64,
}

impl Group {
    fn new(now: clock::Instant) -> Group {
        Group {
            coordinator: None,
            collecting_since: now,
            reports: BTreeMap::new(),
            own: Count::default(),
            sent: Count::default(),
            sent_at: None,
            answered: 0,
            answered_requests: 0,
            is_preferred: false,
            slots: 0.0,
        }
    }

    fn set_coordinator(&mut self, now: clock::Instant, coordinator: Option<net::SocketAddr>) {
        if self.coordinator != coordinator {
            self.coordinator = coordinator;
            self.collecting_since = now;
            self.reports.clear();
            self.sent = Count::default();
            self.sent_at = None;
        }
    }

    /// Sum of the senders' counts that have not expired, without that of `excluded`.
    fn total_except(&self, now: clock::Instant, excluded: Option<net::SocketAddr>) -> Count {
        let counted = self.reports.iter().filter(|(entry, report)| {
            Some(**entry) != excluded && now.since(report.at) < COUNT_LIFETIME
        });
        counted.fold(Count::default(), |sum, (_, report)| sum.plus(report.count))
    }

    /// Whether any entry's update arrived recently. A coordinator that is cut off from the others
    /// would otherwise take their groups for empty.
    fn hears_others(&self, now: clock::Instant) -> bool {
        self.reports.values().any(|report| now.since(report.at) < COUNT_LIFETIME)
    }

    fn has_collected(&self, now: clock::Instant) -> bool {
        now.since(self.collecting_since) >= COLLECTION_TIME
    }

    fn refresh_interval(&self, is_active: bool) -> Duration {
        let is_nearly_full = f64::from(self.answered_requests) >= self.slots * NEARLY_FULL_RATIO;
        match (is_active, is_nearly_full) {
            (false, _) => IDLE_REFRESH_INTERVAL,
            (true, false) => REFRESH_INTERVAL,
            (true, true) => FULL_REFRESH_INTERVAL,
        }
    }

    /// Urgency of an update; `None` if none is due.
    fn urgency(&self, now: clock::Instant, is_active: bool) -> Option<Urgency> {
        let refresh_interval = self.refresh_interval(is_active);
        let age = self.sent_at.map_or(Duration::MAX, |sent| now.since(sent));
        // Steps are not exactly one interval apart.
        let is_due = |interval: Duration| age >= interval - INTERVAL / 2;
        let has_requests = self.own != Count::default();
        if has_requests && self.sent_at.is_some() && age >= KEEP_ALIVE_AGE {
            Some(Urgency::KeepAlive(age))
        } else if self.own != self.sent && is_due(INTERVAL) {
            Some(Urgency::Changed(age))
        } else if (has_requests || self.is_preferred) && is_due(refresh_interval) {
            Some(Urgency::Refresh(age))
        } else if (has_requests || self.is_preferred) && is_due(refresh_interval / 2) {
            Some(Urgency::Optional)
        } else {
            None
        }
    }
}

/// Urgency of an update, the least urgent first; with the age of the last one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Urgency {
    /// Only included if another group's update is sent to the same coordinator.
    Optional,
    Refresh(Duration),
    Changed(Duration),
    KeepAlive(Duration),
}

/// Replies of a coordinator.
#[derive(Debug, Default)]
struct Peer {
    /// When the first update was sent that has no reply yet.
    unanswered_since: Option<clock::Instant>,
    is_silent: bool,
}

/// Rate limit (token bucket).
#[derive(Debug)]
struct Budget {
    left: f64,
    burst: f64,
    per_second: f64,
    refilled_at: clock::Instant,
}

impl Budget {
    fn new(now: clock::Instant, per_second: f64, burst: f64) -> Budget {
        Budget { left: burst, burst, per_second, refilled_at: now }
    }

    fn try_take(&mut self, now: clock::Instant) -> bool {
        let added = now.since(self.refilled_at).as_secs_f64() * self.per_second;
        self.left = (self.left + added).min(self.burst);
        self.refilled_at = now;
        let has_token = self.left >= 1.0;
        if has_token {
            self.left -= 1.0;
        }
        has_token
    }
}

/// Exchange of counts with the other entries, in both roles: sender and coordinator.
#[derive(Debug)]
pub struct Exchange {
    address: net::SocketAddr,
    boot: u64,
    /// Sequence number of the last update: the time when it was sent, in ms of the own clock, so
    /// that a reply shows its age.
    sequence: u64,
    entries: BTreeSet<net::SocketAddr>,
    groups: BTreeMap<Key, Group>,
    peers: BTreeMap<net::SocketAddr, Peer>,
    updates: Budget,
    replies: Budget,
    stepped_at: clock::Instant,
    /// When this entry last had requests.
    active_at: Option<clock::Instant>,
    actions: Vec<Action>,
}

impl Exchange {
    /// Creates the exchange of the entry with this address, whose process started at `boot` (in ms
    /// since 1970).
    pub fn new(address: net::SocketAddr, boot: u64, now: clock::Instant) -> Exchange {
        Exchange {
            address,
            boot,
            sequence: 0,
            entries: BTreeSet::new(),
            groups: BTreeMap::new(),
            peers: BTreeMap::new(),
            updates: Budget::new(now, MAX_UPDATES_PER_SECOND, MAX_UPDATE_BURST),
            replies: Budget::new(now, MAX_REPLIES_PER_SECOND, MAX_REPLY_BURST),
            stepped_at: now,
            active_at: None,
            actions: Vec::new(),
        }
    }

    /// Handles an event and returns the actions to carry out.
    pub fn step(&mut self, now: clock::Instant, event: Event<'_>) -> Vec<Action> {
        self.detect_pause(now);
        match event {
            Event::ViewUpdated(entries, groups) => self.on_view_updated(now, entries, groups),
            Event::IntervalElapsed { own, has_arrivals } => {
                self.on_interval_elapsed(now, own, has_arrivals)
            }
            Event::Received(from, message) => self.on_received(now, from, message),
        }
        mem::take(&mut self.actions)
    }

    /// Starts collecting anew if the process did not run for a time: the counts have expired
    /// although their senders sent more.
    fn detect_pause(&mut self, now: clock::Instant) {
        if now.since(self.stepped_at) >= COLLECTION_TIME {
            self.groups.values_mut().for_each(|group| group.collecting_since = now);
            let peers = self.peers.values_mut().filter(|peer| peer.unanswered_since.is_some());
            peers.for_each(|peer| peer.unanswered_since = Some(now));
        }
        self.stepped_at = self.stepped_at.max(now);
    }

    fn on_view_updated(
        &mut self,
        now: clock::Instant,
        entries: &BTreeMap<net::SocketAddr, ()>,
        mut listed: Vec<Listed>,
    ) {
        let entries_changed = !entries.keys().eq(&self.entries);
        if entries_changed {
            self.entries = entries.keys().copied().collect();
        }
        let is_published = self.entries.contains(&self.address);
        listed.sort_by(|left, right| {
            left.preference.total_cmp(&right.preference).then(left.key.cmp(&right.key))
        });
        let mut previous = mem::take(&mut self.groups);
        let mut preferred = 0;
        for group in listed {
            let known = previous.remove(&group.key);
            let is_new = known.is_none();
            let mut state = known.unwrap_or_else(|| Group::new(now));
            if entries_changed || is_new {
                let first = rendezvous::first(&self.entries, group.head.as_str().as_bytes());
                state.set_coordinator(now, first.filter(|_| is_published));
            }
            let is_remote = state.coordinator.is_some_and(|entry| entry != self.address);
            state.slots = group.slots;
            state.is_preferred = is_remote && preferred < MAX_PREFERRED_GROUPS;
            preferred += usize::from(state.is_preferred);
            self.groups.insert(group.key, state);
        }
        let coordinators: BTreeSet<_> =
            self.groups.values().filter_map(|group| group.coordinator).collect();
        self.peers.retain(|entry, _| coordinators.contains(entry));
    }

    fn on_interval_elapsed(
        &mut self,
        now: clock::Instant,
        own: Vec<(Key, Count)>,
        has_arrivals: bool,
    ) {
        if has_arrivals || !own.is_empty() {
            self.active_at = Some(now);
        }
        self.groups.values_mut().for_each(|group| group.own = Count::default());
        for (key, count) in own {
            if let Some(group) = self.groups.get_mut(&key) {
                group.own = count;
            }
        }
        self.send_updates(now);
        let is_alone = self.entries.len() == 1;
        for (key, group) in &mut self.groups {
            if group.coordinator != Some(self.address) {
                continue;
            }
            group.reports.retain(|_, report| now.since(report.at) < ORDER_RETENTION);
            if group.has_collected(now) && (is_alone || group.hears_others(now)) {
                let others = group.total_except(now, None);
                self.actions.push(Action::Total(*key, Total { others, at: now }));
            }
        }
        for (entry, peer) in &mut self.peers {
            let is_overdue =
                peer.unanswered_since.is_some_and(|since| now.since(since) >= SILENCE_TIME);
            if is_overdue && !mem::replace(&mut peer.is_silent, true) {
                self.actions.push(Action::Silent(*entry));
            }
        }
    }

    /// Sends one message to each coordinator for which an update is due, the most urgent first.
    fn send_updates(&mut self, now: clock::Instant) {
        let is_active = self.active_at.is_some_and(|at| now.since(at) < IDLE_TIME);
        let mut due = Vec::new();
        for (key, group) in &self.groups {
            let remote = group.coordinator.filter(|entry| *entry != self.address);
            if let (Some(to), Some(urgency)) = (remote, group.urgency(now, is_active)) {
                due.push((to, urgency, *key));
            }
        }
        due.sort_unstable_by(|left, right| left.0.cmp(&right.0).then(right.1.cmp(&left.1)));
        let mut batches: Vec<_> = due
            .chunk_by(|left, right| left.0 == right.0)
            .flat_map(|batch| batch.chunks(MAX_GROUPS_PER_MESSAGE))
            .filter(|batch| batch[0].1 != Urgency::Optional)
            .collect();
        batches.sort_unstable_by_key(|batch| std::cmp::Reverse(batch[0].1));
        for batch in batches {
            if !self.updates.try_take(now) {
                break;
            }
            self.send_update(now, batch[0].0, batch.iter().map(|(.., key)| *key));
        }
    }

    fn send_update(
        &mut self,
        now: clock::Instant,
        to: net::SocketAddr,
        keys: impl Iterator<Item = Key>,
    ) {
        self.sequence = (self.sequence + 1).max(now.as_micros() / 1_000);
        let mut counts = Vec::with_capacity(keys.size_hint().0);
        for key in keys {
            let Some(group) = self.groups.get_mut(&key) else { continue };
            group.sent = group.own;
            group.sent_at = Some(now);
            counts.push((key, group.own));
        }
        self.peers.entry(to).or_default().unanswered_since.get_or_insert(now);
        let (boot, sequence) = (self.boot, self.sequence);
        let message = Message { kind: Kind::Update, boot, sequence, counts };
        self.actions.push(Action::Send(to, message));
    }

    fn on_received(&mut self, now: clock::Instant, from: net::SocketAddr, message: Message) {
        let is_valid = from != self.address
            && self.entries.contains(&from)
            && message.counts.len() <= MAX_GROUPS_PER_MESSAGE
            && message.counts.iter().all(|(_, count)| count.is_plausible());
        let is_used = is_valid
            && match message.kind {
                Kind::Update => self.on_update(now, from, message),
                Kind::Reply => self.on_reply(now, from, &message),
            };
        if !is_used {
            self.actions.push(Action::Dropped);
        }
    }

    /// Records a sender's counts and replies with the totals; returns whether any was new.
    fn on_update(&mut self, now: clock::Instant, from: net::SocketAddr, message: Message) -> bool {
        let Message { boot, sequence, .. } = message;
        let mut is_used = false;
        let mut totals = Vec::with_capacity(message.counts.len());
        for (key, count) in message.counts {
            let Some(group) = self.groups.get_mut(&key) else { continue };
            // An entry with another view of the entries may take this one for the coordinator.
            // It must not receive a total that includes only some of the entries.
            if group.coordinator != Some(self.address) {
                continue;
            }
            let last = group.reports.get(&from);
            if !last.is_none_or(|last| last.is_older_than(now, boot, sequence)) {
                continue;
            }
            is_used = true;
            group.reports.insert(from, Report { boot, sequence, count, at: now });
            if group.has_collected(now) {
                let others = group.total_except(now, None);
                self.actions.push(Action::Total(key, Total { others, at: now }));
                totals.push((key, group.total_except(now, Some(from)).plus(group.own)));
            }
        }
        if !totals.is_empty() && self.replies.try_take(now) {
            let reply = Message { kind: Kind::Reply, boot, sequence, counts: totals };
            self.actions.push(Action::Send(from, reply));
        }
        is_used
    }

    /// Takes the totals of a reply; returns whether any was new.
    fn on_reply(&mut self, now: clock::Instant, from: net::SocketAddr, message: &Message) -> bool {
        let at = clock::Instant::from_millis(message.sequence);
        if message.boot != self.boot
            || message.sequence > self.sequence
            || now.since(at) >= MAX_TOTAL_AGE
        {
            return false;
        }
        let mut is_used = false;
        for (key, others) in &message.counts {
            let Some(group) = self.groups.get_mut(key) else { continue };
            if group.coordinator != Some(from) || group.answered >= message.sequence {
                continue;
            }
            group.answered = message.sequence;
            group.answered_requests = others.plus(group.own).requests;
            is_used = true;
            self.actions.push(Action::Total(*key, Total { others: *others, at }));
        }
        if let Some(peer) = self.peers.get_mut(&from).filter(|_| is_used) {
            peer.unanswered_since = None;
            if mem::take(&mut peer.is_silent) {
                self.actions.push(Action::Restored(from));
            }
        }
        is_used
    }
}
