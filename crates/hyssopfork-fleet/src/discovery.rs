//! Leader discovery: how a process finds the leader of the replicated log and follows it.

use crate::{peer, view};
use hyssopfork_wire::clock;
use std::collections::{BTreeMap, BTreeSet};
use std::net;
use std::time::Duration;

/// Time between two rounds of greetings while no leader is known. An election takes 0.6 s to 1.5 s;
/// on average this interval adds a tenth of that until the new leader is known.
const GREETING_INTERVAL: Duration = Duration::from_millis(150);

/// Time between two rounds of greetings of a process with a data folder while a leader is known. A
/// seed that has restarted may know no other process that has a folder or follows the leader.
const SEED_GREETING_INTERVAL: Duration = Duration::from_secs(1);

/// Time after which a process that calls without introducing itself counts as one of an older release.
const INTRODUCTION_TIMEOUT: Duration = Duration::from_secs(4);

/// Time without a call after which the next one may be that of another process. Processes call at least
/// every [`SEED_GREETING_INTERVAL`].
const CALL_GAP_TIMEOUT: Duration = Duration::from_secs(2);

/// Processes greeted in one round: enough that some of them follow the leader, and few enough that
/// the rounds of all processes don't grow with the square of their number.
const MAX_GREETINGS: usize = 6;

/// Maximum number of remembered processes with a data folder, so that a faulty process that names
/// many addresses can't exhaust memory.
const MAX_CONTROLS: usize = 64;

/// A watch that has not been answered.
#[derive(Clone, Copy, Debug)]
struct PendingWatch {
    leader: net::SocketAddr,
    sent_at: clock::Instant,
}

/// Introduction of a process.
#[derive(Clone, Debug)]
struct Introduced {
    received_at: clock::Instant,
    folder: peer::Folder,
}

/// What is known of a process with a data folder.
#[derive(Clone, Debug, Default)]
struct Control {
    /// When it last stated that it has one; `None` if only others named it.
    confirmed_at: Option<clock::Instant>,
    /// Its newest introduction.
    introduced: Option<Introduced>,
    /// Since when it has called without introducing itself.
    unintroduced_since: Option<clock::Instant>,
}

/// What a process knows of the leader and the other processes.
#[derive(Clone, Debug)]
pub struct Discovery {
    own_address: net::SocketAddr,
    seeds: Vec<net::SocketAddr>,
    /// Seeds that have called this process since it started.
    heard_seeds: BTreeSet<net::SocketAddr>,
    /// Processes with a data folder.
    ///
    /// Invariant: at most [`MAX_CONTROLS`].
    controls: BTreeMap<net::SocketAddr, Control>,
    leader: Option<net::SocketAddr>,
    /// Leader to which this process last introduced itself, and when.
    last_introduction: Option<(net::SocketAddr, clock::Instant)>,
    last_greeting: Option<clock::Instant>,
    /// Process greeted last; the next round begins after it.
    last_greeted: Option<net::SocketAddr>,
    /// Pending watch of this process.
    watched: Option<PendingWatch>,
    /// Whether the next watch includes the state that this process knows.
    sends_state: bool,
    /// Newest revision that this process has received.
    pub stamp: view::Stamp,
}

impl Discovery {
    /// Creates the state of a process that knows only its seeds.
    pub fn new(own_address: net::SocketAddr, seeds: Vec<net::SocketAddr>) -> Discovery {
        Discovery {
            own_address,
            seeds,
            heard_seeds: BTreeSet::new(),
            controls: BTreeMap::new(),
            leader: None,
            last_introduction: None,
            last_greeting: None,
            last_greeted: None,
            watched: None,
            sends_state: false,
            stamp: view::Stamp::default(),
        }
    }

    /// Records a greeting or watch of another process.
    pub fn record_heard(&mut self, from: net::SocketAddr) {
        if self.seeds.contains(&from) {
            self.heard_seeds.insert(from);
        }
    }

    /// Whether every other seed has called this process, so that it knows which of them have a data
    /// folder.
    pub fn has_heard_all_seeds(&self) -> bool {
        self.seeds.iter().all(|it| *it == self.own_address || self.heard_seeds.contains(it))
    }

    /// Replaces the seeds; other known processes are kept.
    pub fn set_seeds(&mut self, seeds: Vec<net::SocketAddr>) {
        self.heard_seeds.retain(|seed| seeds.contains(seed));
        self.seeds = seeds;
    }

    /// The leader, if known.
    pub fn leader(&self) -> Option<net::SocketAddr> {
        self.leader
    }

    /// Known processes with a data folder.
    pub fn controls(&self) -> impl Iterator<Item = net::SocketAddr> {
        self.controls.keys().copied()
    }

    /// Data folder of a process that introduced itself.
    pub fn folder(&self, control: net::SocketAddr) -> Option<&peer::Folder> {
        let introduced = self.controls.get(&control)?.introduced.as_ref();
        introduced.map(|introduced| &introduced.folder)
    }

    /// Whether a process calls this one without introducing itself.
    pub fn is_of_older_release(&self, now: clock::Instant, control: net::SocketAddr) -> bool {
        let since = self.controls.get(&control).and_then(|control| control.unintroduced_since);
        since.is_some_and(|since| now.since(since) >= INTRODUCTION_TIMEOUT)
    }

    /// Records that a process stated that it has a data folder; returns whether what is known changed.
    /// It takes the place of the one that has not stated so for longest.
    pub fn confirm_control(&mut self, now: clock::Instant, control: net::SocketAddr) -> bool {
        let is_new = !self.controls.contains_key(&control);
        let control = self.make_room_for(control);
        let confirmed_at = control.confirmed_at.replace(now);
        // Another process may run there since.
        if confirmed_at.is_none_or(|at| now.since(at) >= CALL_GAP_TIMEOUT) {
            control.unintroduced_since = None;
        }
        let is_outdated = |it: &mut Introduced| now.since(it.received_at) >= INTRODUCTION_TIMEOUT;
        let has_ended = control.introduced.take_if(is_outdated).is_some();
        if control.introduced.is_none() {
            control.unintroduced_since.get_or_insert(now);
        }
        is_new || has_ended
    }

    /// Records a process's introduction; returns whether what is known changed.
    pub fn record_introduction(
        &mut self,
        now: clock::Instant,
        introduction: peer::Introduction,
    ) -> bool {
        let peer::Introduction { address, folder } = introduction;
        let is_new = !self.controls.contains_key(&address);
        let control = self.make_room_for(address);
        let is_known = control.introduced.as_ref().is_some_and(|it| it.folder == folder);
        let introduced = Some(Introduced { received_at: now, folder });
        *control = Control { confirmed_at: Some(now), introduced, unintroduced_since: None };
        is_new || !is_known
    }

    fn make_room_for(&mut self, control: net::SocketAddr) -> &mut Control {
        if self.controls.len() >= MAX_CONTROLS && !self.controls.contains_key(&control) {
            let others = self.controls.iter().filter(|(it, _)| **it != self.own_address);
            let oldest = others.min_by_key(|(_, it)| it.confirmed_at).map(|(it, _)| *it);
            oldest.map(|oldest| self.controls.remove(&oldest));
        }
        self.controls.entry(control).or_default()
    }

    /// Adds processes with a data folder that another process named, while there is room; returns
    /// whether any was not known.
    pub fn learn_controls(&mut self, controls: impl IntoIterator<Item = net::SocketAddr>) -> bool {
        let before = self.controls.len();
        for control in controls {
            if self.controls.len() < MAX_CONTROLS {
                self.controls.entry(control).or_default();
            }
        }
        self.controls.len() > before
    }

    /// Takes over the leader that another process named, if none is known.
    pub fn suggest_leader(&mut self, leader: Option<net::SocketAddr>) {
        if leader.is_some() && self.leader.is_none() {
            self.leader = leader;
        }
    }

    /// Takes over the leader that the local consensus node knows, if any.
    pub fn set_leader(&mut self, leader: Option<net::SocketAddr>) {
        if leader.is_some() {
            self.leader = leader;
        }
    }

    /// Forgets a leader that did not answer or no longer leads; `hint` is the leader that it named.
    pub fn forget_leader(&mut self, leader: net::SocketAddr, hint: Option<net::SocketAddr>) {
        self.watched = self.watched.filter(|watch| watch.leader != leader);
        if self.leader == Some(leader) {
            self.leader = hint.filter(|hint| *hint != leader);
        }
    }

    /// Handles the leader's request for the state that this process knows.
    pub fn on_state_requested(&mut self, leader: net::SocketAddr) {
        self.watched = self.watched.filter(|watch| watch.leader != leader);
        self.sends_state = true;
    }

    /// Processes to greet now: the next of the known ones while no leader is known. Otherwise, if
    /// this process has a data folder, its seeds.
    pub fn due_greetings(&mut self, now: clock::Instant, has_folder: bool) -> Vec<net::SocketAddr> {
        let has_leader = self.leader.is_some();
        let interval = if has_leader { SEED_GREETING_INTERVAL } else { GREETING_INTERVAL };
        let is_due = self.last_greeting.is_none_or(|last| now.since(last) >= interval);
        if !is_due || has_leader && !has_folder {
            return Vec::new();
        }
        self.last_greeting = Some(now);
        if has_leader {
            let others = self.seeds.iter().copied().filter(|it| *it != self.own_address);
            return others.take(MAX_GREETINGS).collect();
        }
        let known: BTreeSet<net::SocketAddr> = self
            .seeds
            .iter()
            .copied()
            .chain(self.controls())
            .filter(|it| *it != self.own_address)
            .collect();
        // Processes begin at different ones, so that no process is greeted by all at once.
        let start = self.last_greeted.unwrap_or(self.own_address);
        let (before, after): (Vec<_>, Vec<_>) = known.into_iter().partition(|it| *it <= start);
        let next: Vec<_> = after.into_iter().chain(before).take(MAX_GREETINGS).collect();
        self.last_greeted = next.last().copied();
        next
    }

    /// Leader to which this process, which has a data folder, is to introduce itself now.
    pub fn due_introduction(&mut self, now: clock::Instant) -> Option<net::SocketAddr> {
        let leader = self.leader.filter(|leader| *leader != self.own_address)?;
        let is_current = self.last_introduction.is_some_and(|(to, sent_at)| {
            to == leader && now.since(sent_at) < SEED_GREETING_INTERVAL
        });
        if is_current {
            return None;
        }
        self.last_introduction = Some((leader, now));
        Some(leader)
    }

    /// Starts a watch if none is pending; returns the leader and whether to include the known
    /// state.
    pub fn start_watch(&mut self, now: clock::Instant) -> Option<(net::SocketAddr, bool)> {
        let leader = self.leader.filter(|leader| *leader != self.own_address)?;
        if self.watched.is_some() {
            return None;
        }
        self.watched = Some(PendingWatch { leader, sent_at: now });
        Some((leader, std::mem::take(&mut self.sends_state)))
    }

    /// When the pending watch was sent to `leader`.
    pub fn watch_sent_at(&self, leader: net::SocketAddr) -> Option<clock::Instant> {
        self.watched.filter(|watch| watch.leader == leader).map(|watch| watch.sent_at)
    }

    /// Handles an answer of the leader without an update.
    pub fn on_delayed(&mut self, leader: net::SocketAddr) {
        self.watched = self.watched.filter(|watch| watch.leader != leader);
    }

    /// Handles an update from the leader.
    pub fn on_updated(&mut self, leader: net::SocketAddr, update: &view::Update) {
        self.watched = self.watched.filter(|watch| watch.leader != leader);
        self.stamp = update.stamp;
    }
}

/// Builds the answer to a greeting.
pub fn greeting(
    discovery: &Discovery,
    leader: Option<net::SocketAddr>,
    founder: Option<net::SocketAddr>,
) -> peer::Greeting {
    let controls = discovery.controls().collect();
    peer::Greeting { leader, controls, founder }
}
