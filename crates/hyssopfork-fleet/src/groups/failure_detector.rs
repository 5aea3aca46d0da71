//! Failure detector: decides by direct and indirect probes whether a silent upstream, or one that entries
//! can't reach, is unresponsive or dead.
//!
//! An upstream that is cut off from the leader or from some entries goes on serving the others, and
//! one that was paused goes on where it was. If an open head were declared dead, its members would
//! join other groups while it still serves clients. So silence starts a probe, and an upstream that
//! answers neither several consecutive probes of the leader nor those of the peers that probe on the
//! leader's behalf, while no entry receives bytes from it, is unresponsive: it gets no new requests.
//! It counts as dead only if its address also refuses connections, or if it has been unresponsive for
//! the stall timeout, after which the platform has broken its group.

use crate::{groups::order, peer};
use hyssopfork_wire::{clock, name};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::net;
use std::time::Duration;

/// Consecutive unanswered probes of the leader after which only a peer or an entry can show that the
/// upstream lives. One may be lost with a packet or two; three within 0.5 s are not lost at a packet
/// loss of one in twenty.
const MAX_MISSED_PROBES: u32 = 3;

/// Age up to which bytes received by an entry show that an upstream lives. An engine's step takes
/// tens of milliseconds, so an upstream that serves any client sends bytes more often than this. The
/// value is just below the silence after which entries report a stall; with a larger one, such a
/// report would take effect later.
const MAX_ACTIVITY_AGE: Duration = Duration::from_millis(190);

/// Interval between two probes of an upstream that answered the first one, and before the first
/// probe of an unresponsive one. A pause over long prompts leads to a probe now and then; a death just
/// after one is detected later by this much.
const REPROBE_INTERVAL: Duration = Duration::from_millis(300);

/// Longest interval between two probes of an unresponsive upstream. Its heartbeats arrive as often.
const MAX_REPROBE_INTERVAL: Duration = Duration::from_millis(1_200);

/// Default of the time after which the platform breaks a group whose member doesn't answer.
const DEFAULT_STALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Age up to which an entry's report of its requests in flight counts. Entries report more often.
const MAX_REPORT_AGE: Duration = Duration::from_secs(2);

/// Time for which the last report of an entry that is cut off counts. Its requests have ended by then.
const REPORT_RETENTION: Duration = Duration::from_secs(10);

/// Time after which a probe without a verdict is started anew.
const PROBE_EXPIRY: Duration = Duration::from_millis(1_500);

/// State of the probing of one upstream.
#[derive(Clone, Debug)]
struct Probe {
    started_at: clock::Instant,
    is_open: bool,
    missed: u32,
    /// Whether the address refused a probe of the leader.
    refused: bool,
    /// Peers that were to be asked.
    peers: usize,
    /// Peers whose probe result is required and has not arrived.
    pending_peers: BTreeSet<net::SocketAddr>,
    /// Whether the peers were asked to probe. That happens only once the leader has missed an answer,
    /// since most probed upstreams are alive.
    has_asked_peers: bool,
    /// Whether a single missed answer ends the probe, since the upstream is known to be unresponsive.
    is_reprobe: bool,
}

/// An upstream that is unresponsive.
#[derive(Clone, Copy, Debug)]
struct Unresponsive {
    since: clock::Instant,
    /// Time from the start of the last probe to the next one.
    reprobe_interval: Duration,
}

/// What a verdict on an unresponsive or dead upstream rests on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Evidence {
    /// Probes.
    Probes {
        /// Whether the upstream's address refused the leader's probe.
        refused: bool,
        /// Unanswered probes of the leader.
        missed: u32,
        /// Peers whose probes failed as well.
        peers: usize,
        /// Time since the first probe.
        time: Duration,
        /// Time since an entry last received bytes; `None` if none has.
        inactive: Option<Duration>,
    },
    /// The outcome of an order.
    Order(order::Outcome),
}

impl fmt::Display for Evidence {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Evidence::Order(outcome) => write!(formatter, "order={outcome}"),
            Evidence::Probes { refused, missed, peers, time, inactive } => write!(
                formatter,
                "refused={refused} missed_probes={missed} failed_peers={peers} probed_ms={} inactive_ms={}",
                time.as_millis(),
                inactive.map_or(-1, |time| time.as_millis() as i64)
            ),
        }
    }
}

/// Verdict on an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Undecided: the leader is to probe again.
    ProbeAgain,
    /// Undecided: peers are to probe as well.
    ProbeIndirectly {
        /// The peers.
        peers: BTreeSet<net::SocketAddr>,
        /// Whether the leader is to probe again too.
        probe_again: bool,
    },
    /// Undecided: results of peers are missing.
    Wait,
    /// The upstream is dead.
    Dead,
    /// Nobody reaches the upstream, and nothing shows that it is dead.
    Unresponsive,
    /// The upstream is alive.
    Alive,
}

/// Failure detector of a leader: its probes and the evidence of entries.
#[derive(Clone, Debug)]
pub struct Detector {
    /// Time after which an unresponsive upstream counts as dead.
    stall_timeout: Duration,
    probes: BTreeMap<name::Instance, Probe>,
    unresponsive: BTreeMap<name::Instance, Unresponsive>,
    /// Upstreams to probe although no entry has reported them.
    suspects: BTreeSet<name::Instance>,
    /// Upstreams that each entry has requests in flight at, and the time of its report.
    busy: BTreeMap<net::SocketAddr, (clock::Instant, BTreeSet<name::Instance>)>,
    /// Time at which an entry last received bytes from an upstream.
    last_activity: BTreeMap<name::Instance, clock::Instant>,
    /// Entries that report an upstream as stalled, and since when they have.
    stalled: BTreeMap<name::Instance, BTreeMap<net::SocketAddr, clock::Instant>>,
}

impl Default for Detector {
    fn default() -> Detector {
        Detector::new(DEFAULT_STALL_TIMEOUT)
    }
}

impl Detector {
    /// Creates a detector; an upstream that is unresponsive for `stall_timeout` counts as dead.
    pub fn new(stall_timeout: Duration) -> Detector {
        Detector {
            stall_timeout,
            probes: BTreeMap::new(),
            unresponsive: BTreeMap::new(),
            suspects: BTreeSet::new(),
            busy: BTreeMap::new(),
            last_activity: BTreeMap::new(),
            stalled: BTreeMap::new(),
        }
    }

    /// Handles the evidence of an entry.
    pub fn on_evidence(
        &mut self,
        now: clock::Instant,
        from: net::SocketAddr,
        evidence: &peer::Evidence,
    ) {
        for (instance, age) in &evidence.progressing {
            let seen = now - *age;
            let known = self.last_activity.entry(instance.clone()).or_insert(seen);
            *known = seen.max(*known);
        }
        for (instance, entries) in &mut self.stalled {
            if !evidence.stalled.contains(instance) {
                entries.remove(&from);
            }
        }
        for instance in &evidence.stalled {
            self.stalled.entry(instance.clone()).or_default().entry(from).or_insert(now);
        }
        self.stalled.retain(|_, entries| !entries.is_empty());
        self.busy.retain(|_, (at, _)| now.since(*at) < REPORT_RETENTION);
        self.busy.insert(from, (now, evidence.busy.iter().cloned().collect()));
    }

    /// Handles a sign of life of an entry, whose last evidence holds; without any, it has no requests.
    pub fn confirm_evidence(&mut self, now: clock::Instant, from: net::SocketAddr) {
        self.busy.entry(from).or_insert((now, BTreeSet::new())).0 = now;
    }

    /// Whether no entry has requests in flight at the upstream, by the last report of each. A leader without
    /// recent reports knows nothing of it.
    pub fn is_idle(&self, now: clock::Instant, instance: &name::Instance) -> bool {
        let is_current = |(at, _): &(clock::Instant, _)| now.since(*at) < MAX_REPORT_AGE;
        let is_busy = |(_, busy): &(_, BTreeSet<name::Instance>)| busy.contains(instance);
        self.busy.values().any(is_current) && !self.busy.values().any(is_busy)
    }

    /// Records that the upstream responds; returns whether it was unresponsive.
    pub fn on_response(&mut self, instance: &name::Instance) -> bool {
        self.close_probe(instance);
        self.unresponsive.remove(instance).is_some()
    }

    /// Whether the upstream is stalled for all entries that use it.
    pub fn is_stalled(&self, now: clock::Instant, instance: &name::Instance) -> bool {
        let is_current = |from: &net::SocketAddr| {
            self.busy.get(from).is_some_and(|(at, _)| now.since(*at) < MAX_REPORT_AGE)
        };
        self.stalled.get(instance).is_some_and(|entries| entries.keys().any(is_current))
            && !self.has_recent_activity(now, instance)
    }

    /// Whether the upstream has been stalled for the stall timeout, for all entries that use it.
    pub fn is_stalled_out(&self, now: clock::Instant, instance: &name::Instance) -> bool {
        let stalled_since = self.stalled.get(instance).and_then(|entries| entries.values().min());
        let last_activity = self.last_activity.get(instance);
        let since = stalled_since.max(last_activity);
        self.is_stalled(now, instance)
            && since.is_some_and(|since| now.since(*since) >= self.stall_timeout)
    }

    /// Upstreams that are stalled or can't be reached for all entries that use them.
    pub fn stalled_upstreams(&self, now: clock::Instant) -> impl Iterator<Item = &name::Instance> {
        self.stalled.keys().filter(move |instance| !self.has_recent_activity(now, instance))
    }

    /// Starts a probe of the upstream if one is due; returns whether it did. The upstream counts as
    /// dead only after each of `peers` has failed to reach it too.
    pub fn start_probe(
        &mut self,
        now: clock::Instant,
        instance: &name::Instance,
        peers: &BTreeSet<net::SocketAddr>,
    ) -> bool {
        let unresponsive = self.unresponsive.get_mut(instance);
        let is_overdue =
            unresponsive.as_ref().is_some_and(|state| now.since(state.since) >= self.stall_timeout);
        let reprobe_interval = match &unresponsive {
            Some(state) if !is_overdue => state.reprobe_interval,
            _ => REPROBE_INTERVAL,
        };
        let is_due = |probe: &Probe| {
            let interval = if probe.is_open { PROBE_EXPIRY } else { reprobe_interval };
            now.since(probe.started_at) >= interval
        };
        if self.probes.get(instance).is_some_and(|probe| !is_due(probe)) {
            return false;
        }
        let stall_timeout = self.stall_timeout;
        let is_reprobe =
            unresponsive.as_ref().is_some_and(|state| now.since(state.since) < stall_timeout);
        if let Some(state) = unresponsive {
            state.reprobe_interval = (state.reprobe_interval * 2).min(MAX_REPROBE_INTERVAL);
        }
        let pending_peers = peers.clone();
        let probe = Probe {
            started_at: now,
            is_open: true,
            missed: 0,
            refused: false,
            peers: pending_peers.len(),
            pending_peers,
            has_asked_peers: false,
            is_reprobe,
        };
        self.probes.insert(instance.clone(), probe);
        self.suspects.remove(instance);
        true
    }

    /// Handles the result of the leader's own probe.
    pub fn on_probe_result(
        &mut self,
        now: clock::Instant,
        instance: &name::Instance,
        result: order::Liveness,
    ) -> Verdict {
        let Some(probe) = self.probes.get_mut(instance).filter(|it| it.is_open) else {
            return Verdict::Alive;
        };
        match result {
            order::Liveness::Alive => {
                probe.is_open = false;
                return Verdict::Alive;
            }
            order::Liveness::Refused => {
                probe.missed = MAX_MISSED_PROBES;
                probe.refused = true;
            }
            order::Liveness::TimedOut if probe.is_reprobe => {
                probe.is_open = false;
                return Verdict::Wait;
            }
            order::Liveness::TimedOut => probe.missed += 1,
        }
        let probe_again = probe.missed < MAX_MISSED_PROBES;
        if !std::mem::replace(&mut probe.has_asked_peers, true) && !probe.pending_peers.is_empty() {
            return Verdict::ProbeIndirectly { peers: probe.pending_peers.clone(), probe_again };
        }
        if probe_again { Verdict::ProbeAgain } else { self.verdict(now, instance) }
    }

    /// Handles the result of a peer's probe; `alive` is `false` also if the peer could not be asked.
    pub fn on_indirect_probe_result(
        &mut self,
        now: clock::Instant,
        from: net::SocketAddr,
        instance: &name::Instance,
        alive: bool,
    ) -> Verdict {
        let Some(probe) = self.probes.get_mut(instance).filter(|it| it.is_open) else {
            return Verdict::Alive;
        };
        probe.pending_peers.remove(&from);
        if alive {
            probe.is_open = false;
            return Verdict::Alive;
        }
        self.verdict(now, instance)
    }

    /// Keeps the unresponsive upstreams that `is_unresponsive` holds for.
    pub fn retain_unresponsive(&mut self, is_unresponsive: impl Fn(&name::Instance) -> bool) {
        self.unresponsive.retain(|instance, _| is_unresponsive(instance));
    }

    /// Drops an unresponsive upstream.
    pub fn forget_unresponsive(&mut self, instance: &name::Instance) {
        self.unresponsive.remove(instance);
    }

    /// Has the upstream probed.
    pub fn suspect(&mut self, instance: &name::Instance) {
        self.suspects.insert(instance.clone());
    }

    /// Upstreams to probe although no entry has reported them.
    pub fn suspects(&self) -> impl Iterator<Item = &name::Instance> {
        self.suspects.iter()
    }

    /// Unresponsive upstreams.
    pub fn unresponsive(&self) -> impl Iterator<Item = &name::Instance> {
        self.unresponsive.keys()
    }

    /// Ends the probe of the upstream without a verdict; another one may start as if it had answered.
    pub fn close_probe(&mut self, instance: &name::Instance) {
        if let Some(probe) = self.probes.get_mut(instance) {
            probe.is_open = false;
        }
    }

    /// What is known against an upstream that is being probed.
    pub fn evidence(&self, now: clock::Instant, instance: &name::Instance) -> Evidence {
        let probe = self.probes.get(instance);
        Evidence::Probes {
            refused: probe.is_some_and(|probe| probe.refused),
            missed: probe.map_or(0, |probe| probe.missed),
            peers: probe.map_or(0, |probe| probe.peers - probe.pending_peers.len()),
            time: probe.map_or(Duration::ZERO, |probe| now.since(probe.started_at)),
            inactive: self.last_activity.get(instance).map(|seen| now.since(*seen)),
        }
    }

    /// Drops all state of an upstream.
    pub fn forget(&mut self, instance: &name::Instance) {
        self.probes.remove(instance);
        self.unresponsive.remove(instance);
        self.last_activity.remove(instance);
        self.stalled.remove(instance);
    }

    fn verdict(&mut self, now: clock::Instant, instance: &name::Instance) -> Verdict {
        let is_active = self.has_recent_activity(now, instance);
        let Some(probe) = self.probes.get_mut(instance) else { return Verdict::Alive };
        if is_active {
            // It is probed again soon: the bytes may have been its last ones.
            probe.is_open = false;
            return Verdict::Alive;
        }
        if probe.missed < MAX_MISSED_PROBES || !probe.pending_peers.is_empty() {
            return Verdict::Wait;
        }
        let unresponsive = self.unresponsive.get(instance);
        let is_stalled = unresponsive.is_some_and(|it| now.since(it.since) >= self.stall_timeout);
        if probe.refused || is_stalled { Verdict::Dead } else { Verdict::Unresponsive }
    }

    /// Ends the probe of an upstream with the verdict that it is unresponsive.
    pub fn on_unresponsive(&mut self, now: clock::Instant, instance: &name::Instance) {
        self.close_probe(instance);
        let state = Unresponsive { since: now, reprobe_interval: REPROBE_INTERVAL };
        self.unresponsive.entry(instance.clone()).or_insert(state);
    }

    /// Whether an entry has received bytes from the upstream within [`MAX_ACTIVITY_AGE`].
    pub fn has_recent_activity(&self, now: clock::Instant, instance: &name::Instance) -> bool {
        self.last_activity.get(instance).is_some_and(|seen| now.since(*seen) < MAX_ACTIVITY_AGE)
    }
}
