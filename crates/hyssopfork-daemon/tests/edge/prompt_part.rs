//! A part of prompts that crashes every upstream that runs a request with it.

use crate::scenario;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// Number of crashes from which on every process must learn of the part.
const MAX_CRASHES: usize = 5;

/// Time after these crashes until every process must have learned of it.
const PROPAGATION_TIME: Duration = Duration::from_secs(3);

/// Maximum number of requests with the part that may reach upstreams after that.
const MAX_LATER_ARRIVALS: usize = 3;

/// Minimum ratio of harmless requests that are served from twice that time on.
const MIN_SERVED_RATIO: f64 = 0.9;

/// Fails if too many requests with the part reached upstreams, or if harmless requests with the same
/// other parts were rejected with them.
fn assert_part_is_kept_from_upstreams(scenario: &scenario::Scenario) {
    let crashes = scenario.record.crashes.lock().expect("no thread panicked").clone();
    let logs = scenario.fleet.folder().display();
    let Some(known) = crashes.get(MAX_CRASHES - 1).or(crashes.last()) else {
        panic!("no request crashed an upstream; logs in {logs}");
    };
    let arrivals = scenario.record.crashing_arrivals.lock().expect("no thread panicked");
    let count = arrivals.iter().filter(|at| **at > *known + PROPAGATION_TIME).count();
    let served = scenario.clients.served_ratio(*known + 2 * PROPAGATION_TIME, Instant::now());
    assert!(
        count <= MAX_LATER_ARRIVALS && served >= MIN_SERVED_RATIO,
        "{count} requests with the part reached upstreams later than {PROPAGATION_TIME:?} after crash \
         {MAX_CRASHES}, {} crashes, {served:.3} of the harmless requests served; logs in {logs}",
        crashes.len(),
    );
}

/// Guards against requests that crash one upstream after the other because each of them is judged by
/// its whole content, although all have one part of their prompts in common.
#[test]
fn requests_with_a_crashing_part_are_kept_from_upstreams() {
    let scenario = scenario::Plan {
        name: "prompt-part",
        processes: 5,
        duration: Duration::from_secs(12),
        crashing_requests: scenario::CrashingRequests::WithPart { position: 1 },
    }
    .run(|_, _, _| {});

    assert_part_is_kept_from_upstreams(&scenario);
    let responses = scenario.crashing_responses.lock().expect("no thread panicked");
    let rejected: Vec<_> = responses.iter().filter(|response| response.status == 503).collect();
    assert!(!rejected.is_empty(), "no request with the part was rejected");
    for response in rejected {
        assert!(response.head.to_lowercase().contains("retry-after"), "{}", response.head);
    }
}

/// Guards against rejecting all requests of a route because the crashing part is the first of their
/// prompts, where the others have their common part.
#[test]
fn a_crashing_first_part_is_told_from_the_common_one() {
    let scenario = scenario::Plan {
        name: "prompt-part-first",
        processes: 5,
        duration: Duration::from_secs(12),
        crashing_requests: scenario::CrashingRequests::WithPart { position: 0 },
    }
    .run(|_, _, _| {});

    assert_part_is_kept_from_upstreams(&scenario);
}

/// Guards against a verdict on a part that ends with the leader, or that a restarted process doesn't
/// know. The run lasts beyond the first trial.
#[test]
fn a_quarantined_part_outlasts_its_leader_and_restarts() {
    let kill_count = AtomicU64::new(0);

    let scenario = scenario::Plan {
        name: "prompt-part-kept",
        processes: 5,
        duration: Duration::from_secs(24),
        crashing_requests: scenario::CrashingRequests::WithPart { position: 1 },
    }
    .run(|fleet, _, since| scenario::kill_in_turn(fleet, since, &kill_count));

    assert_eq!(kill_count.load(Ordering::Relaxed), 3);
    assert_part_is_kept_from_upstreams(&scenario);
}
