//! The experiments, run in sequence on the same processes.

use super::{clients, operator, table, usage, watchers};
use hyssopfork_wire::{configuration, number, patch};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// Time for processes to settle after a change of load.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// Duration of each measurement.
const MEASUREMENT_TIME: Duration = Duration::from_secs(5);

/// Interval between the starts of two watchers: except when a fleet starts, instances start one by
/// one.
const WATCHER_START_INTERVAL: Duration = Duration::from_millis(10);

/// Numbers of watchers.
const WATCHER_COUNTS: [u16; 4] = [100, 200, 400, 800];

/// Changes per second.
const CHANGE_RATES: [f64; 4] = [2.0, 5.0, 10.0, 20.0];

/// Changes whose propagation to every watcher is timed.
const TIMED_CHANGES: u32 = 40;

/// Interval between timed changes.
const TIMED_CHANGE_INTERVAL: Duration = Duration::from_millis(200);

/// Requests per second.
const REQUEST_RATES: [f64; 4] = [50.0, 100.0, 200.0, 400.0];

/// Claimed requests per second.
const CLAIM_RATES: [f64; 4] = [25.0, 50.0, 100.0, 200.0];

/// Numbers of concurrent streams.
const STREAM_COUNTS: [u64; 4] = [4, 8, 16, 32];

/// Tokens of each stream.
const TOKENS_PER_STREAM: u32 = 100;

/// Numbers of members in a group.
const GROUP_SIZES: [u32; 4] = [1, 2, 4, 8];

/// Runs every experiment and prints the table.
pub async fn run_all(fleet: &usage::Fleet) {
    let controls = fleet.addresses("control");
    let operator = operator::Operator::find(&controls).await;
    table::print_head();
    measure_traffic(fleet, &operator).await;
    measure_groups(fleet, &operator).await;
    measure_watchers(fleet, &operator).await;
}

fn process_ids(fleet: &usage::Fleet) -> Vec<u32> {
    fleet.processes.values().map(|process| process.id).collect()
}

fn leader_id(fleet: &usage::Fleet, operator: &operator::Operator) -> u32 {
    fleet.processes[&operator.name].id
}

fn follower_id(fleet: &usage::Fleet, operator: &operator::Operator) -> u32 {
    let controls = fleet.of("control");
    let follower = controls.iter().find(|(name, _)| **name != operator.name);
    follower.expect("there are three control instances").1.id
}

fn print(
    role: &'static str,
    value: &'static str,
    unit: &'static str,
    scale: f64,
    points: Vec<(f64, f64)>,
) {
    table::print(&table::Row { role, value, unit, scale, points });
}

/// Measures requests, claims and tokens through the entry.
async fn measure_traffic(fleet: &usage::Fleet, operator: &operator::Operator) {
    let entry = fleet.of("entry")[0].1.clone();
    let agent = fleet.of("service")[0].1.clone();
    let leader = leader_id(fleet, operator);
    let follower = follower_id(fleet, operator);
    let mut by_request = (Vec::new(), Vec::new());
    for rate in REQUEST_RATES {
        let window = usage::Window::open(&process_ids(fleet));
        let end = Instant::now() + MEASUREMENT_TIME;
        let completed =
            clients::send_at_rate(entry.address, rate, end, |_| clients::Request::status()).await;
        let rate = completed as f64 / window.seconds();
        by_request.0.push((rate, window.share(entry.id)));
        by_request.1.push((rate, window.share(agent.id)));
    }
    print("entry", "µs of processor time", "request", 1e6, by_request.0);
    print("agent", "µs of processor time", "request", 1e6, by_request.1);
    let mut by_claim = (Vec::new(), Vec::new());
    for (step, rate) in CLAIM_RATES.into_iter().enumerate() {
        let window = usage::Window::open(&process_ids(fleet));
        let end = Instant::now() + MEASUREMENT_TIME;
        let key = |number| clients::Request::lodge(format!("claim-{step}-{number}"));
        let completed = clients::send_at_rate(entry.address, rate, end, key).await;
        let rate = completed as f64 / window.seconds();
        by_claim.0.push((rate, window.share(leader)));
        by_claim.1.push((rate, window.share(follower)));
    }
    print("control leader", "µs of processor time", "claimed request", 1e6, by_claim.0);
    print("control follower", "µs of processor time", "claimed request", 1e6, by_claim.1);
    let mut by_token = Vec::new();
    for count in STREAM_COUNTS {
        let window = usage::Window::open(&process_ids(fleet));
        let end = Instant::now() + MEASUREMENT_TIME;
        let events = clients::run_streams(entry.address, count, TOKENS_PER_STREAM, end).await;
        by_token.push((events as f64 / window.seconds(), window.share(entry.id)));
    }
    print("entry", "µs of processor time, streams of 100", "token", 1e6, by_token);
}

/// Measures the processor time for grants of the first member's agent, in groups of growing size.
async fn measure_groups(fleet: &usage::Fleet, operator: &operator::Operator) {
    let mut points = Vec::new();
    for size in GROUP_SIZES {
        let group = configuration::Group {
            pool: "engines".into(),
            model: "model-1".into(),
            size,
            priority: 1,
        };
        clear_groups(operator).await;
        operator.submit(patch::Operation::PutGroup("sized".into(), group)).await;
        actix_rt::time::sleep(SETTLE_TIME).await;
        let status = operator.status().await;
        let Some(placement) = status.view.placements.get(&"sized".into()) else { continue };
        let first = fleet.processes[placement.members[0].as_str()].id;
        let window = usage::Window::open(&process_ids(fleet));
        actix_rt::time::sleep(MEASUREMENT_TIME).await;
        points.push((f64::from(size) - 1.0, window.share(first)));
    }
    print("agent, first member", "% of a core", "other member", 100.0, points);
}

async fn clear_groups(operator: &operator::Operator) {
    let status = operator.status().await;
    for group in status.view.configuration.groups.keys() {
        operator.submit(patch::Operation::RemoveGroup(group.clone())).await;
    }
    actix_rt::time::sleep(SETTLE_TIME).await;
}

/// Measures watchers: leases, memory and changes.
async fn measure_watchers(fleet: &usage::Fleet, operator: &operator::Operator) {
    let tally = Arc::new(watchers::Tally::default());
    let leader = leader_id(fleet, operator);
    let follower = follower_id(fleet, operator);
    let entry = fleet.of("entry")[0].1.id;
    let agent = fleet.of("service")[0].1.id;
    let mut shares = (Vec::new(), Vec::new());
    let mut memory = (Vec::new(), Vec::new(), Vec::new(), Vec::new());
    let mut bytes = Vec::new();
    let mut opened = 0;
    for count in WATCHER_COUNTS {
        while opened < count {
            watchers::start(opened, operator.leader, tally.clone());
            opened += 1;
            actix_rt::time::sleep(WATCHER_START_INTERVAL).await;
        }
        actix_rt::time::sleep(SETTLE_TIME * 2).await;
        let window = usage::Window::open(&process_ids(fleet));
        let before = tally.bytes.load(Ordering::Relaxed);
        actix_rt::time::sleep(MEASUREMENT_TIME).await;
        let rate = (tally.bytes.load(Ordering::Relaxed) - before) as f64 / window.seconds();
        let count = f64::from(count);
        shares.0.push((count, window.share(leader)));
        shares.1.push((count, window.share(follower)));
        bytes.push((count, rate));
        memory.0.push((count, usage::resident(leader)));
        memory.1.push((count, usage::resident(follower)));
        memory.2.push((count, usage::resident(entry)));
        memory.3.push((count, usage::resident(agent)));
    }
    print("control leader", "% of a core", "holder of a lease", 100.0, shares.0);
    print("control follower", "% of a core", "holder of a lease", 100.0, shares.1);
    print("control leader", "bytes a second", "holder of a lease", 1.0, bytes);
    print("control leader", "KiB resident", "holder of a lease", 1.0 / 1024.0, memory.0);
    print("control follower", "KiB resident", "instance in the view", 1.0 / 1024.0, memory.1);
    print("entry", "KiB resident", "instance in the view", 1.0 / 1024.0, memory.2);
    print("agent", "KiB resident", "instance in the view", 1.0 / 1024.0, memory.3);
    measure_changes(fleet, operator, &tally).await;
}

/// Measures changes at several rates with the largest number of watchers: first changes that affect
/// every agent, then changes that affect a single instance.
async fn measure_changes(
    fleet: &usage::Fleet,
    operator: &operator::Operator,
    tally: &watchers::Tally,
) {
    let zone = |flip| patch::Operation::SetZoneOut("zone-z".into(), flip);
    let (shares, bytes) = submit_at_rates(fleet, operator, tally, zone).await;
    print("control leader", "ms of processor time", "change for 800 agents", 1e3, shares);
    print("control leader", "KB to all holders", "change for 800 agents", 1e-3, bytes);
    let one = |flip| patch::Operation::SetDrained("probe-1".into(), flip);
    let (shares, bytes) = submit_at_rates(fleet, operator, tally, one).await;
    print("control leader", "ms of processor time", "change for one of 800", 1e3, shares);
    print("control leader", "KB to all holders", "change for one of 800", 1e-3, bytes);
    let mut accepted = Vec::new();
    for count in 0..TIMED_CHANGES {
        let at = operator.submit(zone(count % 2 == 0)).await;
        accepted.push((operator.status().await.view.version, at));
        actix_rt::time::sleep(TIMED_CHANGE_INTERVAL).await;
    }
    print_propagation_times(&accepted, tally);
}

type Points = Vec<(f64, f64)>;

/// Submits changes in sequence at each rate; returns the leader's share of a core and the bytes per
/// second of all watchers.
async fn submit_at_rates(
    fleet: &usage::Fleet,
    operator: &operator::Operator,
    tally: &watchers::Tally,
    change: impl Fn(bool) -> patch::Operation,
) -> (Points, Points) {
    let leader = leader_id(fleet, operator);
    let mut shares = Vec::new();
    let mut bytes = Vec::new();
    for rate in CHANGE_RATES {
        let window = usage::Window::open(&process_ids(fleet));
        let before = tally.bytes.load(Ordering::Relaxed);
        let mut count = 0;
        while window.seconds() < MEASUREMENT_TIME.as_secs_f64() {
            operator.submit(change(count % 2 == 0)).await;
            count += 1;
            actix_rt::time::sleep(Duration::from_secs_f64(1.0 / rate)).await;
        }
        let done = f64::from(count) / window.seconds();
        shares.push((done, window.share(leader)));
        let sent = tally.bytes.load(Ordering::Relaxed) - before;
        bytes.push((done, sent as f64 / window.seconds()));
    }
    (shares, bytes)
}

/// Prints the time from the acceptance of a change to its receipt by each watcher, in milliseconds.
fn print_propagation_times(accepted: &[(number::Version, Instant)], tally: &watchers::Tally) {
    let mut delays: Vec<f64> = Vec::new();
    for (version, seen) in tally.seen.lock().expect("no holder panics").iter() {
        let accepted = accepted.iter().find(|(other, _)| other == version);
        if let Some((_, at)) = accepted {
            delays.push(seen.saturating_duration_since(*at).as_secs_f64() * 1e3);
        }
    }
    delays.sort_by(f64::total_cmp);
    let at = |share: f64| delays.get((delays.len() as f64 * share) as usize).copied();
    println!();
    println!(
        "Time from accepting to having a change, over {} deliveries to 800 holders: median {:.1} ms, \
         99 in 100 {:.1} ms, longest {:.1} ms.",
        delays.len(),
        at(0.5).unwrap_or(f64::NAN),
        at(0.99).unwrap_or(f64::NAN),
        delays.last().copied().unwrap_or(f64::NAN),
    );
}
