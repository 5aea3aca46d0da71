//! Pauses that upstreams ask for when they reject requests.

use crate::{crashing_upstream, fleet, scenario};
use std::collections::BTreeSet;
use std::time::Duration;

/// Pause that the upstreams ask for with each rejection.
const PAUSE: Duration = Duration::from_secs(3);

/// Time after a rejection in which requests that were sent before may still arrive.
const IN_FLIGHT_TIME: Duration = Duration::from_millis(500);

/// Maximum number of requests from one entry during the rest of the pause.
const MAX_REQUESTS: usize = 2;

/// Time from the start of one period of rejections to the next.
const PERIOD: Duration = Duration::from_secs(7);

/// Most requests that an upstream received from one entry during a pause that it had asked this
/// entry for.
fn max_requests_in_pause(record: &crashing_upstream::Record) -> usize {
    let requests = record.requests.lock().expect("no thread panicked");
    let rejections = record.rejections.lock().expect("no thread panicked");
    let in_pause = |rejection: &crashing_upstream::Arrival| {
        let pause = rejection.at + IN_FLIGHT_TIME..rejection.at + PAUSE;
        let entry = scenario::entry_of(&rejection.identifier);
        let counted = requests.iter().filter(|request| {
            request.upstream == rejection.upstream
                && scenario::entry_of(&request.identifier) == entry
                && pause.contains(&request.at)
        });
        counted.count()
    };
    rejections.iter().map(in_pause).max().unwrap_or(0)
}

/// Lets these upstreams reject all requests for [`PAUSE`] in each [`PERIOD`].
fn reject_periodically(record: &crashing_upstream::Record, rejecting: &[usize], since: Duration) {
    let in_period = since.as_millis() % PERIOD.as_millis();
    let mut retry_after = record.retry_after.lock().expect("no thread panicked");
    retry_after.clear();
    if (1_000..1_000 + PAUSE.as_millis()).contains(&in_period) {
        let seconds = PAUSE.as_secs().to_string();
        retry_after.extend(rejecting.iter().map(|index| (*index, seconds.clone())));
    }
}

/// Load that seven of eight upstreams can't take.
const FULL_LOAD: scenario::Load = scenario::Load { clients: 30, slots: 4 };

/// Runs clients for two periods while these upstreams reject requests.
fn run(name: &'static str, load: scenario::Load, rejecting: &[usize]) -> scenario::Scenario {
    let reject = |_: &mut fleet::Fleet, record: &crashing_upstream::Record, since: Duration| {
        reject_periodically(record, rejecting, since);
    };
    let plan = scenario::Plan {
        name,
        processes: 5,
        duration: PERIOD * 2,
        crashing_requests: scenario::CrashingRequests::None,
    };
    plan.run_with_load(load, reject)
}

/// Guards against an entry that keeps sending requests to an upstream that has asked it for a pause,
/// and ends requests without a response although other upstreams have capacity.
#[test]
fn an_upstream_receives_no_requests_in_a_pause_that_it_asked_for() {
    let scenario = run("pause", scenario::Load::LIGHT, &[2, 5]);

    let received = max_requests_in_pause(&scenario.record);
    assert!(received <= MAX_REQUESTS, "{received} requests in one pause, {MAX_REQUESTS} allowed");
    let (sent, served) = scenario.clients.counts();
    // The upstreams stop while each client has a request in flight.
    let unserved = sent - served;
    assert!(
        unserved <= scenario::CLIENT_COUNT as u64,
        "{unserved} of {sent} requests not served, although six upstreams accept them"
    );
}

/// Guards against entries that send requests after all if no other upstream is left, and that no
/// longer use the upstreams after the pause.
#[test]
fn all_upstreams_may_pause_at_once() {
    let everyone: Vec<usize> = (0..scenario::UPSTREAM_COUNT).collect();

    let scenario = run("pause-all", FULL_LOAD, &everyone);

    let received = max_requests_in_pause(&scenario.record);
    assert!(received <= MAX_REQUESTS, "{received} requests in one pause, {MAX_REQUESTS} allowed");
    let requests = scenario.record.requests.lock().expect("no thread panicked");
    let rejections = scenario.record.rejections.lock().expect("no thread panicked");
    let last_rejection = rejections.iter().map(|it| it.at).max().expect("requests were rejected");
    let accepted = requests.iter().filter(|it| it.at > last_rejection).map(|it| it.upstream);
    assert_eq!(accepted.collect::<BTreeSet<_>>().len(), scenario::UPSTREAM_COUNT);
}
