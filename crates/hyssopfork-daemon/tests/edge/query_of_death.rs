//! A request that crashes every upstream that runs it, and that its client keeps sending.

use crate::{fleet, fragile, scene};
use rustix::process::Signal;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// Time after the third crash until every process must have learned of it.
const CONTACT_WINDOW: Duration = Duration::from_secs(3);

/// Maximum number of attempts that may reach upstreams after that.
const MAX_LATER_ARRIVALS: usize = 3;

/// When upstreams crashed.
fn crashes(scene: &scene::Scene) -> Vec<Instant> {
    scene.record.crashes.lock().expect("no holder panics").clone()
}

/// Number of crashing requests that reached upstreams later than [`CONTACT_WINDOW`] after the third
/// crash.
fn later_arrivals(scene: &scene::Scene) -> usize {
    let third = *crashes(scene).get(2).expect("it crashes three upstreams first");
    let arrivals = scene.record.arrivals.lock().expect("no holder panics");
    arrivals.iter().filter(|at| **at > third + CONTACT_WINDOW).count()
}

fn assert_kept_from_upstreams(scene: &scene::Scene) {
    let later = later_arrivals(scene);
    assert!(
        later <= MAX_LATER_ARRIVALS,
        "{later} attempts later than {CONTACT_WINDOW:?} after the third crash, {} crashes; logs in {}",
        crashes(scene).len(),
        scene.fleet.folder().display()
    );
}

/// Guards against one request that crashes one upstream after the other. That happens if each entry
/// counts only its own attempts and takes each repeat by the client for a new request.
#[test]
fn a_request_that_crashes_upstreams_is_kept_from_them() {
    let scene = scene::Plan {
        name: "query-of-death",
        processes: 5,
        time: Duration::from_secs(7),
        deadly: true,
    }
    .play(|_, _, _| {});

    assert_kept_from_upstreams(&scene);
    let (sent, served) = scene.clients.counts();
    assert!(served * 10 >= sent * 9, "{served} of {sent} harmless requests were served");
    let answers = scene.answers.lock().expect("no holder panics");
    let rejected: Vec<_> = answers.iter().filter(|answer| answer.status == 503).collect();
    assert!(!rejected.is_empty(), "no repeat was rejected");
    for answer in rejected {
        assert!(answer.head.to_lowercase().contains("retry-after"), "{}", answer.head);
    }
}

/// Guards against a quarantine that ends with the leader that declared it, or that a restarted
/// process doesn't know. The run lasts beyond the first trial of the quarantined request.
#[test]
fn a_quarantine_outlasts_its_leader_and_restarts() {
    let killed = AtomicU64::new(0);
    let kill_in_turn = |fleet: &mut fleet::Fleet, _: &fragile::Record, since: Duration| {
        let place = killed.load(Ordering::Relaxed) as usize;
        if place < 3 && since >= Duration::from_secs(3 + 3 * place as u64) {
            fleet.signal(place, Signal::KILL);
            fleet.reap(place);
            fleet.boot(place, false);
            killed.fetch_add(1, Ordering::Relaxed);
        }
    };

    let scene = scene::Plan {
        name: "quarantine-kept",
        processes: 5,
        time: Duration::from_secs(24),
        deadly: true,
    }
    .play(kill_in_turn);

    assert_eq!(killed.load(Ordering::Relaxed), 3);
    assert_kept_from_upstreams(&scene);
}
