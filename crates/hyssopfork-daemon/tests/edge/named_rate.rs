//! Rate limits that upstreams name for all entries together.

use crate::{crashing_upstream, fleet, scenario};
use std::cell::Cell;
use std::time::{Duration, Instant};

/// Rate limit that the upstreams name, in requests per second.
const RATE_LIMIT: f64 = 2.0;

/// Time after a change of the rate limit until every process must have learned of it.
const PROPAGATION_TIME: Duration = Duration::from_secs(3);

/// Length of the time window in which requests are counted.
const COUNTING_WINDOW: Duration = Duration::from_secs(4);

/// Maximum number of requests that an upstream may receive in [`COUNTING_WINDOW`].
const MAX_REQUESTS: usize = (RATE_LIMIT * 4.0 * 1.5) as usize + 5;

/// Highest number of requests that the upstream at `index` received in any [`COUNTING_WINDOW`]
/// between two moments.
fn max_requests_in_window(
    scenario: &scenario::Scenario,
    index: usize,
    from: Instant,
    to: Instant,
) -> usize {
    let requests = scenario.record.requests.lock().expect("no thread panicked");
    let times: Vec<Instant> = requests
        .iter()
        .filter(|request| request.upstream == index && (from..to).contains(&request.at))
        .map(|request| request.at)
        .collect();
    let requests_from = |first: &Instant| {
        times.iter().filter(|at| (*first..*first + COUNTING_WINDOW).contains(*at)).count()
    };
    times.iter().map(requests_from).max().unwrap_or(0)
}

/// Requests per second that all upstreams together received between two moments.
fn total_rate(scenario: &scenario::Scenario, from: Instant, to: Instant) -> f64 {
    let requests = scenario.record.requests.lock().expect("no thread panicked");
    let count = requests.iter().filter(|request| (from..to).contains(&request.at)).count();
    count as f64 / to.duration_since(from).as_secs_f64()
}

/// Guards against entries that each use the whole rate limit, which multiplies it by the number of
/// entries, and against a limit that stays in force after the upstreams no longer name it.
#[test]
fn a_named_rate_is_kept_by_all_entries_together() {
    let named_at = Cell::new(None);
    let lifted_at = Cell::new(None);
    let name_then_lift =
        |_: &mut fleet::Fleet, record: &crashing_upstream::Record, since: Duration| {
            let mut rate = record.rate_limit.lock().expect("no thread panicked");
            if named_at.get().is_none() && since >= Duration::from_secs(1) {
                *rate = Some(RATE_LIMIT);
                named_at.set(Some(Instant::now()));
            }
            if lifted_at.get().is_none() && since >= Duration::from_secs(10) {
                *rate = None;
                lifted_at.set(Some(Instant::now()));
            }
        };

    let duration = Duration::from_secs(17);
    let scenario = scenario::Plan {
        name: "named-rate",
        processes: 5,
        duration,
        crashing_requests: scenario::CrashingRequests::None,
    }
    .run(name_then_lift);

    let end = Instant::now();
    let named_at = named_at.get().expect("the rate limit was named");
    let lifted_at = lifted_at.get().expect("the rate limit was lifted");
    for index in 0..scenario::UPSTREAM_COUNT {
        let received =
            max_requests_in_window(&scenario, index, named_at + PROPAGATION_TIME, lifted_at);
        assert!(
            received <= MAX_REQUESTS,
            "upstream {index} received {received} requests, {MAX_REQUESTS} allowed"
        );
    }
    let total_limit = RATE_LIMIT * scenario::UPSTREAM_COUNT as f64;
    let limited_rate = total_rate(&scenario, named_at + PROPAGATION_TIME, lifted_at);
    let unlimited_rate = total_rate(&scenario, lifted_at + PROPAGATION_TIME, end);
    assert!(
        limited_rate > total_limit * 0.6,
        "{limited_rate} requests per second, {total_limit} allowed"
    );
    assert!(
        unlimited_rate > total_limit * 2.0,
        "{unlimited_rate} requests per second without a named rate limit"
    );
}
