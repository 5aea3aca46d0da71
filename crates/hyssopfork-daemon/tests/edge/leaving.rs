//! Upstreams that state in their responses that they leave.

use crate::{crashing_upstream, fleet, scenario};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Time after a response that states it in which an entry may still send requests.
const DRAIN_TIME: Duration = Duration::from_secs(2);

/// Time after the first such response until every entry must have learned of it.
const PROPAGATION_TIME: Duration = Duration::from_secs(3);

const LEAVING: [usize; 2] = [1, 6];

/// Upstream and entry.
type Pair = (usize, Option<usize>);

/// When each upstream first stated to each entry that it leaves.
fn first_responses(record: &crashing_upstream::Record) -> BTreeMap<Pair, Instant> {
    let responses = record.leaving_responses.lock().expect("no thread panicked");
    let mut first = BTreeMap::new();
    for response in responses.iter() {
        let pair = (response.upstream, scenario::entry_of(&response.identifier));
        first.entry(pair).or_insert(response.at);
    }
    first
}

/// Guards against entries that keep sending requests to an upstream that leaves but still announces
/// itself as ready, for example because its calls to the control address are lost.
#[test]
fn an_upstream_that_states_that_it_leaves_receives_no_more_requests() {
    let start_leaving =
        |_: &mut fleet::Fleet, record: &crashing_upstream::Record, since: Duration| {
            if since >= Duration::from_secs(2) {
                record.leaving.lock().expect("no thread panicked").extend(LEAVING);
            }
        };

    let scenario = scenario::Plan {
        name: "leaving",
        processes: 5,
        duration: Duration::from_secs(9),
        crashing_requests: scenario::CrashingRequests::None,
    }
    .run(start_leaving);

    let first = first_responses(&scenario.record);
    let stated: Vec<Instant> = first.values().copied().collect();
    let stated_at = stated.iter().min().expect("the upstreams responded");
    let requests = scenario.record.requests.lock().expect("no thread panicked");
    let to_leaving: Vec<_> =
        requests.iter().filter(|request| LEAVING.contains(&request.upstream)).collect();
    let after_drain = to_leaving.iter().filter(|request| {
        let pair = (request.upstream, scenario::entry_of(&request.identifier));
        first.get(&pair).is_some_and(|stated| request.at > *stated + DRAIN_TIME)
    });
    let after_propagation =
        to_leaving.iter().filter(|request| request.at > *stated_at + PROPAGATION_TIME);
    assert_eq!(after_drain.count(), 0, "requests from entries that the upstream had told");
    assert_eq!(after_propagation.count(), 0, "requests from any entry");
}
