//! What a leader does: looks after groups and voters, publishes, answers watches.

use super::{Copy, Core, Leadership};
use crate::{action, board, document, groups, notice, peer, quarantine, registry, view};
use hyssopfork_consensus::{change, event as log_event};
use hyssopfork_wire::{clock, consensus, name, number};
use std::collections::{BTreeMap, BTreeSet};
use std::net;
use std::time::Duration;

/// Time between two looks at the groups when nothing has happened.
const REVIEW_INTERVAL: Duration = Duration::from_millis(100);

/// Least time between two reviews, for each upstream: 0.6 ms with 30 of them, 8 ms with 400.
const REVIEW_PAUSE_PER_UPSTREAM: Duration = Duration::from_micros(20);

/// Least time between two publications, for each follower that is answered: 4 ms with 7 of them, 20 ms
/// with 40.
const PUBLICATION_PAUSE_PER_FOLLOWER: Duration = Duration::from_micros(500);

/// Longest time by which a change is published later than it is reviewed.
const MAX_PUBLICATION_PAUSE: Duration = Duration::from_millis(100);

/// Time without a watch after which a process no longer counts among the entries. They ask again
/// within [`action::HOLD`].
const ENTRY_TIMEOUT: Duration = Duration::from_secs(3);

/// Followers that know of an upstream's leaving before its call is answered. The leader may be lost
/// with the answer; whoever follows it learns the news of those who had it.
const MIN_WITNESSES: usize = 2;

/// Time after which such a call is not answered with success any more: the caller turns elsewhere
/// after a second.
const WITNESS_TIMEOUT: Duration = Duration::from_millis(700);

/// Most processes that are asked whether they reach an upstream: enough that some are in every zone,
/// few enough for a fleet of hundreds.
const MAX_PEERS_ASKED: usize = 16;

/// Silence of a voter after which its seat is given up, where enough others answer: longer than a
/// restart.
const SEAT_TIMEOUT: Duration = Duration::from_secs(4);

/// Silence up to which a voter counts as answering.
const MAX_ANSWER_AGE: Duration = Duration::from_secs(1);

/// Time between two looks at the voters.
const SEAT_REVIEW_INTERVAL: Duration = Duration::from_millis(500);

/// Followers that are asked at once for what they know of the terms before.
const MAX_INFORMANTS: usize = 2;

/// Time after which another follower is asked in place of one that has not answered.
const INFORMANT_TIMEOUT: Duration = Duration::from_millis(300);

/// Followers that are sent parts of a document at once. With the parts that voters are sent, this
/// bounds how long a heartbeat waits at the leader's link.
const MAX_TRANSFERS: usize = 8;

#[derive(Clone, Debug)]
struct Held {
    from: net::SocketAddr,
    have: view::Stamp,
    document: document::Held,
    until: clock::Instant,
}

/// A watch that is to be answered.
struct Due {
    call: u64,
    have: view::Stamp,
    /// What the follower holds, where it gets a part of a document.
    document: Option<document::Held>,
    /// Whether the follower is asked for what it knows in place of an update.
    inquires: bool,
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
    seen: clock::Instant,
    /// What it had then; `None` for one that followed the leader before and has not asked yet.
    have: Option<view::Stamp>,
}

/// Watches that are held, and who asked lately.
#[derive(Clone, Debug)]
pub(super) struct Watches {
    term: number::Term,
    pub(super) started: clock::Instant,
    held: BTreeMap<u64, Held>,
    entries: BTreeMap<net::SocketAddr, Follower>,
    /// Followers that were sent a part of a document and have not asked since, and when.
    ///
    /// Invariant: at most [`MAX_TRANSFERS`].
    transfers: BTreeMap<net::SocketAddr, clock::Instant>,
    registrations: Vec<Registration>,
    /// Newest publication of earlier leaders that this one knows.
    learned: view::Stamp,
    /// Followers that were asked for what they know and have not said it, and when.
    ///
    /// Invariant: at most [`MAX_INFORMANTS`].
    informants: BTreeMap<net::SocketAddr, clock::Instant>,
}

impl Watches {
    /// The watches of a leader that knows an earlier leader's publication `learned`.
    fn new(now: clock::Instant, term: number::Term, learned: view::Stamp) -> Watches {
        Watches {
            term,
            started: now,
            held: BTreeMap::new(),
            entries: BTreeMap::new(),
            transfers: BTreeMap::new(),
            registrations: Vec::new(),
            learned,
            informants: BTreeMap::new(),
        }
    }

    /// Picks followers to ask for what they know: the ones with the newest publications.
    ///
    /// Publications of one term build on one another, so whoever has the newest knows all. Told by every
    /// follower, a leader of a hundred lost its lease over reading what all of them knew.
    fn pick_informants(&mut self, now: clock::Instant) -> BTreeSet<net::SocketAddr> {
        self.informants.retain(|_, asked| now.since(*asked) < INFORMANT_TIMEOUT);
        let free = MAX_INFORMANTS.saturating_sub(self.informants.len());
        let lacking = self.held.values().filter(|held| self.lacks(held.have));
        let mut candidates: Vec<_> = lacking.map(|held| (held.have, held.from)).collect();
        candidates.sort();
        let picked: BTreeSet<_> =
            candidates.into_iter().rev().take(free).map(|(_, from)| from).collect();
        self.informants.extend(picked.iter().map(|from| (*from, now)));
        picked
    }

    /// Takes in that a follower that stood at `have` has said what it knows.
    pub(super) fn on_learned(&mut self, from: net::SocketAddr, have: view::Stamp) {
        self.informants.remove(&from);
        self.learned = self.learned.max(have);
    }

    /// Whether whoever stands at `have` knows of terms before this one what the leader doesn't.
    fn lacks(&self, have: view::Stamp) -> bool {
        have > self.learned && have.term < self.term
    }

    /// Takes in entries that followed the leader before. Left out until they ask, the first ones that
    /// do would share the fleet's limits among themselves.
    pub(super) fn learn(&mut self, known: impl IntoIterator<Item = net::SocketAddr>) {
        let follower = Follower { seen: self.started, have: None };
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
        document: document::Held,
    ) {
        self.transfers.remove(&from);
        self.entries.insert(from, Follower { seen: now, have: Some(have) });
        // A process asks once at a time: an earlier watch of it was given up.
        self.held.retain(|_, held| held.from != from);
        self.held.insert(call, Held { from, have, document, until: now + action::HOLD });
    }

    pub(super) fn hold_registration(&mut self, now: clock::Instant, call: u64) {
        self.registrations.push(Registration { call, since: now, revision: None });
    }

    pub(super) fn abandon(&mut self, call: u64) {
        self.held.remove(&call);
        self.registrations.retain(|held| held.call != call);
    }

    /// Takes the watches to be answered at `stamp`, with `version` the newest declaration. The
    /// longest held go first.
    fn due(&mut self, now: clock::Instant, stamp: view::Stamp, version: u64) -> Vec<Due> {
        let picked = self.pick_informants(now);
        let (learned, term) = (self.learned, self.term);
        let transfers = &mut self.transfers;
        transfers.retain(|_, sent| now.since(*sent) < action::WATCH_LIMIT);
        let mut due = Vec::new();
        self.held.retain(|call, held| {
            if picked.contains(&held.from) {
                due.push(Due { call: *call, have: held.have, document: None, inquires: true });
                return false;
            }
            // The view would overwrite what the follower alone may know.
            let lacking = held.have > learned && held.have.term < term;
            let ready = !lacking || now >= held.until + action::HOLD;
            let behind = held.document.version < version;
            let transfer = ready && behind && transfers.len() < MAX_TRANSFERS;
            let answer = ready && (transfer || held.have != stamp || now >= held.until);
            if transfer {
                transfers.insert(held.from, now);
            }
            if answer {
                let document = transfer.then_some(held.document);
                due.push(Due { call: *call, have: held.have, document, inquires: false });
            }
            !answer
        });
        due
    }

    /// Records that `revision` is the first to publish the pending registrations.
    fn published(&mut self, revision: u64) {
        for held in &mut self.registrations {
            held.revision.get_or_insert(revision);
        }
    }

    /// Takes the upstreams' calls that enough followers know of, and those that waited too long.
    fn witnessed(&mut self, now: clock::Instant, stamp: view::Stamp) -> (Vec<u64>, Vec<u64>) {
        let stamps: Vec<view::Stamp> = self.entries.values().filter_map(|it| it.have).collect();
        let followers = stamps.len();
        let known = |revision: u64| {
            let has = |have: &&view::Stamp| have.term == stamp.term && have.revision >= revision;
            stamps.iter().filter(has).count()
        };
        let (mut done, mut late) = (Vec::new(), Vec::new());
        self.registrations.retain(|held| {
            let is_known = |revision| known(revision) >= MIN_WITNESSES.min(followers);
            if held.revision.is_some_and(is_known) {
                done.push(held.call);
            } else if now.since(held.since) >= WITNESS_TIMEOUT {
                late.push(held.call);
            } else {
                return true;
            }
            false
        });
        (done, late)
    }

    /// Processes that can be asked about an upstream, spread over all addresses: those of one zone
    /// are neighbours.
    fn peers(&self) -> BTreeSet<net::SocketAddr> {
        let asked = self.entries.iter().filter(|(_, follower)| follower.have.is_some());
        let followers: Vec<net::SocketAddr> = asked.map(|(entry, _)| *entry).collect();
        let stride = followers.len().div_ceil(MAX_PEERS_ASKED).max(1);
        followers.into_iter().step_by(stride).collect()
    }

    /// Entries that follow, with `own`.
    fn entries(&mut self, now: clock::Instant, own: net::SocketAddr) -> BTreeSet<net::SocketAddr> {
        self.entries.retain(|_, follower| now.since(follower.seen) < ENTRY_TIMEOUT);
        self.entries.keys().copied().chain([own]).collect()
    }
}

/// When the voters were last looked at, and since when seats are vacant.
#[derive(Clone, Debug, Default)]
pub(super) struct Seats {
    looked: Option<clock::Instant>,
    vacant: BTreeMap<name::Instance, clock::Instant>,
}

impl Leadership {
    /// Whether the groups are to be reviewed: soon after a change, and now and then without one.
    ///
    /// A review passes over all engines. One after each event took the processor of a leader of
    /// hundreds of them, which then lost its lease; so changes are gathered for a time that grows with
    /// their number.
    fn is_review_due(&self, now: clock::Instant) -> bool {
        let pause = REVIEW_PAUSE_PER_UPSTREAM * self.registry.len() as u32;
        let since = now.since(self.looked);
        since >= REVIEW_INTERVAL || self.dirty && since >= pause.min(REVIEW_INTERVAL)
    }

    /// Whether followers may be told again: each publication answers all of them.
    fn is_publication_due(&self, now: clock::Instant) -> bool {
        let pause = PUBLICATION_PAUSE_PER_FOLLOWER * self.watches.entries.len() as u32;
        now.since(self.posted) >= pause.min(MAX_PUBLICATION_PAUSE)
    }
}

impl Core {
    /// Takes up or lays down the leader's duties.
    pub(super) fn follow_leadership(&mut self) {
        let term = self.node.as_ref().filter(|node| node.is_leader()).map(|node| node.term());
        let held = self.leadership.as_ref().map(|it| it.term);
        if held.is_some() && held != term {
            self.cease();
        }
        if self.leadership.is_none() && self.leads() {
            let term = term.unwrap_or_default();
            self.take_up(term);
        }
    }

    pub(super) fn cease(&mut self) {
        if let Some(leadership) = self.leadership.take() {
            self.notice(notice::Notice::Ceased(leadership.term));
        }
    }

    fn take_up(&mut self, term: number::Term) {
        let now = self.now;
        let mut registry = registry::Registry::new(self.settings.silence());
        // Who starts the system knows that nobody has sent yet; whoever takes over doesn't.
        let traffic = !self.settings.first_start || term.0 > 1;
        let mut groups = groups::Groups::new(now, term, traffic);
        let Copy { upstreams, groups: known, entries, quarantine, .. } = self.copy.clone();
        for upstream in upstreams.into_values() {
            registry.adopt(now, upstream);
        }
        for (name, group) in known {
            groups.take_over(now, &name, group, &registry);
        }
        let mut watches = Watches::new(now, term, self.copy.stamp);
        watches.learn(entries.into_keys());
        let mut ledger = quarantine::Ledger::default();
        ledger.learn(now, quarantine.into_iter().collect());
        self.leadership = Some(Leadership {
            term,
            registry,
            groups,
            ledger,
            board: board::Board::new(term, self.copy.document.clone()),
            watches,
            dirty: true,
            looked: now,
            published: now,
            posted: now,
            reviewed: false,
            seats: Seats::default(),
        });
        self.notice(notice::Notice::Serving(term));
    }

    /// The leader's duties; nothing is ordered or told without a quorum's word that no other leads.
    pub(super) fn attend(&mut self) {
        if !self.leads() {
            return;
        }
        let now = self.now;
        let own = std::mem::take(&mut self.evidence);
        if own != peer::Evidence::default() {
            self.observe(self.settings.address, &own);
        }
        let due = self.leadership.as_ref().is_some_and(|leadership| leadership.is_review_due(now));
        let document = self.state.document.clone().filter(|_| due);
        let declaration = document.and_then(|document| self.declared(&document));
        let Some(leadership) = &mut self.leadership else { return };
        if due {
            leadership.looked = now;
            leadership.dirty = false;
            leadership.registry.forget(now);
            leadership.ledger.forget(now);
            let peers = leadership.watches.peers();
            let commands = declaration
                .map(|it| {
                    leadership.groups.look(now, &leadership.registry, &it, &peers, &self.state.out)
                })
                .unwrap_or_default();
            self.command(commands);
        }
        self.post(due);
        self.answer_watches();
        self.look_at_seats();
    }

    /// Takes what an entry saw.
    pub(super) fn observe(&mut self, from: net::SocketAddr, evidence: &peer::Evidence) {
        let now = self.now;
        let Some(leadership) = &mut self.leadership else { return };
        leadership.groups.saw(now, from, evidence);
        let mut notices = Vec::new();
        for crash in &evidence.crashes {
            for (request, round) in leadership.ledger.record(now, crash) {
                notices.push(notice::Notice::Quarantined(request, round));
            }
            leadership.dirty = true;
        }
        for completion in &evidence.completions {
            if leadership.ledger.completed(now, completion) {
                notices.push(notice::Notice::Released(completion.request));
            }
            leadership.dirty = true;
        }
        for change in &evidence.rates {
            leadership.dirty |= leadership.registry.name_rate(now, change);
        }
        for notice in notices {
            self.notice(notice);
        }
    }

    pub(super) fn command(&mut self, commands: Vec<groups::Command>) {
        for command in commands {
            let action = match command {
                groups::Command::Order(order) => action::Action::Order(order),
                groups::Command::Probe(instance, to) => action::Action::Probe(instance, to),
                groups::Command::Ask(instance, to) => action::Action::Ask(instance, to),
                groups::Command::AskPeer { peer, instance, address } => {
                    action::Action::AskPeer { peer, instance, address }
                }
                groups::Command::Notice(notice) => action::Action::Notice(notice),
            };
            self.act(action);
        }
    }

    /// Publishes what is new since the last review, to this process's own entry first.
    fn post(&mut self, reviewed: bool) {
        let now = self.now;
        let Some(leadership) = &mut self.leadership else { return };
        leadership.reviewed |= reviewed;
        if !leadership.reviewed || !leadership.is_publication_due(now) {
            return;
        }
        leadership.reviewed = false;
        leadership.posted = now;
        let voters = self.node.as_ref().map(|node| node.voters().to_vec()).unwrap_or_default();
        let controls = voters.iter().filter_map(|it| super::address_of(&it.instance)).collect();
        let Some(leadership) = &mut self.leadership else { return };
        let rest = board::Rest {
            document: self.state.document.clone(),
            out: self.state.out.clone(),
            controls,
            entries: leadership.watches.entries(now, self.settings.address),
            quarantine: leadership.ledger.published().clone(),
        };
        let upstreams = leadership.registry.published(now);
        let groups = leadership.groups.published();
        leadership.board.publish(rest, upstreams, &groups);
        leadership.watches.published(leadership.board.stamp().revision);
        // Also when nothing is new: the entry tells by it that this process still leads.
        let due = now.since(leadership.published) >= action::HOLD;
        if due || leadership.board.stamp() != self.copy.stamp {
            leadership.published = now;
            let update = leadership.board.since(self.copy.stamp);
            self.publish(update, self.state.document.clone());
        }
    }

    fn answer_watches(&mut self) {
        let now = self.now;
        let own = self.settings.address;
        let Some(leadership) = &mut self.leadership else { return };
        let stamp = leadership.board.stamp();
        let due = leadership.watches.due(now, stamp, leadership.board.version());
        let (done, late) = leadership.watches.witnessed(now, stamp);
        let answers: Vec<(u64, peer::Answer)> = due
            .into_iter()
            .map(|due| {
                if due.inquires {
                    return (due.call, peer::Answer::Inquiry);
                }
                let part = due.document.and_then(|held| leadership.board.part(held));
                let update = view::Update { document: part, ..leadership.board.since(due.have) };
                (due.call, peer::Answer::Updated(Box::new(update)))
            })
            .collect();
        for (call, answer) in answers {
            self.reply(call, action::Reply::Watched(answer));
        }
        for call in done {
            self.reply(call, action::Reply::Registered(own));
        }
        for call in late {
            self.reply(call, action::Reply::Elsewhere(None));
        }
    }

    /// Gives up the seat of a voter that is gone, so that its successor's makes the quorum no
    /// larger for good. Only where enough voters answer without it: each change of the voters
    /// leaves fewer to lose while it lasts.
    fn look_at_seats(&mut self) {
        let now = self.now;
        let (Some(leadership), Some(node)) = (&mut self.leadership, &self.node) else { return };
        let seats = &mut leadership.seats;
        if seats.looked.is_some_and(|looked| now.since(looked) < SEAT_REVIEW_INTERVAL) {
            return;
        }
        seats.looked = Some(now);
        let vacant = |voter: &&consensus::Voter| voter.folder == consensus::VACANT;
        let empty: Vec<name::Instance> =
            node.voters().iter().filter(vacant).map(|voter| voter.instance.clone()).collect();
        seats.vacant.retain(|instance, _| empty.contains(instance));
        for instance in empty {
            seats.vacant.entry(instance).or_insert(now);
        }
        let mut silences = node.silences(now);
        let answer = |(_, silence): &&(name::Instance, Duration)| *silence < MAX_ANSWER_AGE;
        let answering = silences.iter().filter(answer).count() + 1;
        if answering < self.settings.enough_voters() {
            return;
        }
        silences.extend(seats.vacant.iter().map(|(it, since)| (it.clone(), now.since(*since))));
        let gone = silences.into_iter().find(|(_, silence)| *silence >= SEAT_TIMEOUT);
        if let Some((instance, _)) = gone {
            let change = change::Change::Remove(instance.clone());
            self.notice(notice::Notice::SeatRemoved(instance));
            self.tell(log_event::Event::ChangeVoters { ticket: 0, change });
        }
    }
}
