//! Plain upstreams that entries can't reach.

use crate::fixture;
use hyssopfork_fleet::groups::{self, order};
use hyssopfork_fleet::{declaration, notice, peer, registry, view};
use hyssopfork_wire::{clock, name, number};
use std::collections::BTreeSet;
use std::net;
use std::time::Duration;

/// Silence timeout of a fleet whose upstreams call each 5 s.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(11_500);

/// A leader that knows one plain upstream.
struct Leader {
    now: clock::Instant,
    registry: registry::Registry,
    groups: groups::Groups,
    declaration: declaration::Declaration,
}

impl Leader {
    fn new() -> Leader {
        let now = fixture::at(1_000);
        let mut registry = registry::Registry::new(SILENCE_TIMEOUT);
        let mut announcement = fixture::announcement("p1");
        announcement.pool = name::Pool::from("plain");
        registry.record_announcement(now, announcement);
        Leader {
            now,
            registry,
            groups: groups::Groups::new(now, number::Term(1), true),
            declaration: fixture::declaration(1),
        }
    }

    fn report(&mut self, entry: u16, evidence: &peer::Evidence) {
        self.groups.on_evidence(self.now, fixture::address(entry), evidence);
    }

    fn review(&mut self) -> Vec<groups::Command> {
        self.now = self.now + Duration::from_millis(100);
        let zones_out = BTreeSet::new();
        self.groups.reconcile(self.now, &self.registry, &self.declaration, &peers(), &zones_out)
    }

    fn on_probe(&mut self, result: order::Liveness) -> Vec<groups::Command> {
        self.groups.on_probe_result(self.now, &plain(), result, &mut self.registry)
    }

    fn status(&mut self) -> view::Status {
        self.registry.published(self.now)[&plain()].status
    }
}

fn plain() -> name::Instance {
    name::Instance::from("p1")
}

fn peers() -> BTreeSet<net::SocketAddr> {
    [fixture::address(2), fixture::address(3)].into()
}

fn unreachable() -> peer::Evidence {
    peer::Evidence { stalled: vec![plain()], ..peer::Evidence::default() }
}

fn probes(commands: &[groups::Command]) -> usize {
    let is_probe = |command: &&groups::Command| {
        matches!(command, groups::Command::Probe(_, _, order::Probe::Connection))
    };
    commands.iter().filter(is_probe).count()
}

/// Guards against entries of a large fleet that learn one after the other, each by a client's request,
/// that an upstream is dead.
#[test]
fn an_upstream_that_one_entry_cannot_reach_is_silent_for_all_once_probes_fail() {
    let mut leader = Leader::new();
    leader.report(5, &unreachable());

    let commands = leader.review();
    assert_eq!(probes(&commands), 1);
    for _ in 0..3 {
        leader.on_probe(order::Liveness::TimedOut);
    }
    assert_eq!(leader.status(), view::Status::Present, "peers have not answered");
    for peer in peers() {
        let registry = &mut leader.registry;
        leader.groups.on_indirect_probe_result(leader.now, peer, &plain(), false, registry);
    }

    assert_eq!(leader.status(), view::Status::Silent);
    assert_eq!(probes(&leader.review()), 0, "a dead upstream is not probed again");
}

/// Guards against an upstream that all entries stop using because one of them is cut off from it.
#[test]
fn an_upstream_that_answers_a_probe_or_another_entry_stays_present() {
    let mut leader = Leader::new();
    leader.report(5, &unreachable());
    leader.review();
    leader.on_probe(order::Liveness::Alive);
    assert_eq!(leader.status(), view::Status::Present);

    let progress = vec![(plain(), Duration::ZERO)];
    leader.report(6, &peer::Evidence { progressing: progress, ..peer::Evidence::default() });
    assert_eq!(probes(&leader.review()), 0, "another entry receives bytes from it");
}

/// Guards against probes of upstreams that no entry has reported.
#[test]
fn an_upstream_without_reports_is_not_probed() {
    let mut leader = Leader::new();

    assert_eq!(probes(&leader.review()), 0);
}

/// Guards against an upstream that stays unused after it is reachable again.
#[test]
fn an_upstream_that_calls_again_is_present() {
    let mut leader = Leader::new();
    leader.registry.mark_dead(&plain());
    assert_eq!(leader.status(), view::Status::Silent);

    let announcement = hyssopfork_fleet::announcement::Announcement {
        pool: name::Pool::from("plain"),
        sequence: 2,
        ..fixture::announcement("p1")
    };
    let outcome = leader.registry.record_announcement(leader.now, announcement);

    assert_eq!(outcome, registry::Outcome::Changed);
    let record = leader.registry.get(&plain()).expect("it is known");
    assert!(notice::Notice::for_announcement(outcome, record).is_some());
    assert_eq!(leader.status(), view::Status::Present);
}
