//! A request that crashes every upstream that runs it, and that its client keeps sending.

use crate::scenario;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// Time after the third crash until every process must have learned of it.
const PROPAGATION_TIME: Duration = Duration::from_secs(3);

/// Maximum number of attempts that may reach upstreams after that.
const MAX_LATER_ARRIVALS: usize = 3;

/// When upstreams crashed.
fn crashes(scenario: &scenario::Scenario) -> Vec<Instant> {
    scenario.record.crashes.lock().expect("no thread panicked").clone()
}

/// Number of crashing requests that reached upstreams later than [`PROPAGATION_TIME`] after the
/// third crash.
fn count_later_arrivals(scenario: &scenario::Scenario) -> usize {
    let third = *crashes(scenario).get(2).expect("the request crashed three upstreams");
    let arrivals = scenario.record.crashing_arrivals.lock().expect("no thread panicked");
    arrivals.iter().filter(|at| **at > third + PROPAGATION_TIME).count()
}

fn assert_kept_from_upstreams(scenario: &scenario::Scenario) {
    let count = count_later_arrivals(scenario);
    assert!(
        count <= MAX_LATER_ARRIVALS,
        "{count} attempts later than {PROPAGATION_TIME:?} after the third crash, {} crashes; logs in {}",
        crashes(scenario).len(),
        scenario.fleet.folder().display()
    );
}

/// Guards against one request that crashes one upstream after the other. That happens if each entry
/// counts only its own attempts and takes each repeat by the client for a new request.
#[test]
fn a_request_that_crashes_upstreams_is_kept_from_them() {
    let scenario = scenario::Plan {
        name: "query-of-death",
        processes: 5,
        duration: Duration::from_secs(7),
        crashing_requests: scenario::CrashingRequests::Repeated,
    }
    .run(|_, _, _| {});

    assert_kept_from_upstreams(&scenario);
    let (sent, served) = scenario.clients.counts();
    assert!(served * 10 >= sent * 9, "{served} of {sent} harmless requests were served");
    let responses = scenario.crashing_responses.lock().expect("no thread panicked");
    let rejected: Vec<_> = responses.iter().filter(|response| response.status == 503).collect();
    assert!(!rejected.is_empty(), "no repeat was rejected");
    for response in rejected {
        assert!(response.head.to_lowercase().contains("retry-after"), "{}", response.head);
    }
}

/// Guards against a quarantine that ends with the leader that declared it, or that a restarted
/// process doesn't know. The run lasts beyond the first trial of the quarantined request.
#[test]
fn a_quarantine_outlasts_its_leader_and_restarts() {
    let kill_count = AtomicU64::new(0);
    let scenario = scenario::Plan {
        name: "quarantine-kept",
        processes: 5,
        duration: Duration::from_secs(24),
        crashing_requests: scenario::CrashingRequests::Repeated,
    }
    .run(|fleet, _, since| scenario::kill_in_turn(fleet, since, &kill_count));

    assert_eq!(kill_count.load(Ordering::Relaxed), 3);
    assert_kept_from_upstreams(&scenario);
}
