//! The experiments, one after the other on the same processes.

use super::{callers, operator, table, usage, watchers};
use hyssopfork_wire::{configuration, number, patch};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// Time for processes to settle after a change of size.
const SETTLE: Duration = Duration::from_secs(3);

/// Window over which each point is measured.
const WINDOW: Duration = Duration::from_secs(5);

/// Time between two watchers' arrivals: instances come one by one but for a start of the fleet.
const ARRIVAL: Duration = Duration::from_millis(10);

/// Watchers, in steps.
const WATCHERS: [u16; 4] = [100, 200, 400, 800];

/// Changes a second.
const CHANGES: [f64; 4] = [2.0, 5.0, 10.0, 20.0];

/// Changes whose way to every watcher is timed, and the pause after each.
const DELAYS: u32 = 40;
const PAUSE: Duration = Duration::from_millis(200);

/// Requests a second.
const REQUESTS: [f64; 4] = [50.0, 100.0, 200.0, 400.0];

/// Claimed requests a second.
const CLAIMS: [f64; 4] = [25.0, 50.0, 100.0, 200.0];

/// Streams at once.
const STREAMS: [u64; 4] = [4, 8, 16, 32];

/// Tokens of each stream.
const TOKENS: u32 = 100;

/// Members of a group.
const MEMBERS: [u32; 4] = [1, 2, 4, 8];

/// Runs every experiment and prints the table.
pub async fn run_all(fleet: &usage::Fleet) {
    let controls = fleet.addresses("control");
    let operator = operator::Operator::find(&controls).await;
    table::print_head();
    serve(fleet, &operator).await;
    members(fleet, &operator).await;
    watch(fleet, &operator).await;
}

fn ids(fleet: &usage::Fleet) -> Vec<u32> {
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

/// Requests, claims and tokens through the entry.
async fn serve(fleet: &usage::Fleet, operator: &operator::Operator) {
    let entry = fleet.of("entry")[0].1.clone();
    let agent = fleet.of("service")[0].1.clone();
    let leader = leader_id(fleet, operator);
    let follower = follower_id(fleet, operator);
    let mut by_request = (Vec::new(), Vec::new());
    for rate in REQUESTS {
        let window = usage::Window::open(&ids(fleet));
        let end = Instant::now() + WINDOW;
        let answered = callers::send_at(entry.address, rate, end, |_| callers::Ask::status()).await;
        let rate = answered as f64 / window.seconds();
        by_request.0.push((rate, window.share(entry.id)));
        by_request.1.push((rate, window.share(agent.id)));
    }
    print("entry", "µs of processor time", "request", 1e6, by_request.0);
    print("agent", "µs of processor time", "request", 1e6, by_request.1);
    let mut by_claim = (Vec::new(), Vec::new());
    for (step, rate) in CLAIMS.into_iter().enumerate() {
        let window = usage::Window::open(&ids(fleet));
        let end = Instant::now() + WINDOW;
        let key = |number| callers::Ask::lodge(format!("claim-{step}-{number}"));
        let answered = callers::send_at(entry.address, rate, end, key).await;
        let rate = answered as f64 / window.seconds();
        by_claim.0.push((rate, window.share(leader)));
        by_claim.1.push((rate, window.share(follower)));
    }
    print("control leader", "µs of processor time", "claimed request", 1e6, by_claim.0);
    print("control follower", "µs of processor time", "claimed request", 1e6, by_claim.1);
    let mut by_token = Vec::new();
    for count in STREAMS {
        let window = usage::Window::open(&ids(fleet));
        let end = Instant::now() + WINDOW;
        let events = callers::stream(entry.address, count, TOKENS, end).await;
        by_token.push((events as f64 / window.seconds(), window.share(entry.id)));
    }
    print("entry", "µs of processor time, streams of 100", "token", 1e6, by_token);
}

/// Groups of growing size: what the first member's agent spends on grants.
async fn members(fleet: &usage::Fleet, operator: &operator::Operator) {
    let mut points = Vec::new();
    for size in MEMBERS {
        let group = configuration::Group {
            pool: "engines".into(),
            model: "model-1".into(),
            size,
            priority: 1,
        };
        clear_groups(operator).await;
        operator.submit(patch::Operation::PutGroup("sized".into(), group)).await;
        actix_rt::time::sleep(SETTLE).await;
        let status = operator.status().await;
        let Some(placement) = status.view.placements.get(&"sized".into()) else { continue };
        let first = fleet.processes[placement.members[0].as_str()].id;
        let window = usage::Window::open(&ids(fleet));
        actix_rt::time::sleep(WINDOW).await;
        points.push((f64::from(size) - 1.0, window.share(first)));
    }
    print("agent, first member", "% of a core", "other member", 100.0, points);
}

async fn clear_groups(operator: &operator::Operator) {
    let status = operator.status().await;
    for group in status.view.configuration.groups.keys() {
        operator.submit(patch::Operation::RemoveGroup(group.clone())).await;
    }
    actix_rt::time::sleep(SETTLE).await;
}

/// Watchers: leases, memory, and changes.
async fn watch(fleet: &usage::Fleet, operator: &operator::Operator) {
    let tally = Arc::new(watchers::Tally::default());
    let leader = leader_id(fleet, operator);
    let follower = follower_id(fleet, operator);
    let entry = fleet.of("entry")[0].1.id;
    let agent = fleet.of("service")[0].1.id;
    let mut shares = (Vec::new(), Vec::new());
    let mut memory = (Vec::new(), Vec::new(), Vec::new(), Vec::new());
    let mut bytes = Vec::new();
    let mut opened = 0;
    for count in WATCHERS {
        while opened < count {
            watchers::open(opened, operator.leader, tally.clone());
            opened += 1;
            actix_rt::time::sleep(ARRIVAL).await;
        }
        actix_rt::time::sleep(SETTLE * 2).await;
        let window = usage::Window::open(&ids(fleet));
        let before = tally.bytes.load(Ordering::Relaxed);
        actix_rt::time::sleep(WINDOW).await;
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
    changes(fleet, operator, &tally).await;
}

/// Changes at a rate, before the largest number of watchers: first ones that concern every agent,
/// then ones that concern a single instance.
async fn changes(fleet: &usage::Fleet, operator: &operator::Operator, tally: &watchers::Tally) {
    let zone = |flip| patch::Operation::SetZoneOut("zone-z".into(), flip);
    let (shares, bytes) = change_at_rates(fleet, operator, tally, zone).await;
    print("control leader", "ms of processor time", "change for 800 agents", 1e3, shares);
    print("control leader", "KB to all holders", "change for 800 agents", 1e-3, bytes);
    let one = |flip| patch::Operation::SetDrained("probe-1".into(), flip);
    let (shares, bytes) = change_at_rates(fleet, operator, tally, one).await;
    print("control leader", "ms of processor time", "change for one of 800", 1e3, shares);
    print("control leader", "KB to all holders", "change for one of 800", 1e-3, bytes);
    let mut accepted = Vec::new();
    for count in 0..DELAYS {
        let at = operator.submit(zone(count % 2 == 0)).await;
        accepted.push((operator.status().await.view.version, at));
        actix_rt::time::sleep(PAUSE).await;
    }
    print_delays(&accepted, tally);
}

type Points = Vec<(f64, f64)>;

/// Submits one change after the other at each rate: the leader's share of a core, and the bytes a
/// second of all watchers.
async fn change_at_rates(
    fleet: &usage::Fleet,
    operator: &operator::Operator,
    tally: &watchers::Tally,
    change: impl Fn(bool) -> patch::Operation,
) -> (Points, Points) {
    let leader = leader_id(fleet, operator);
    let mut shares = Vec::new();
    let mut bytes = Vec::new();
    for rate in CHANGES {
        let window = usage::Window::open(&ids(fleet));
        let before = tally.bytes.load(Ordering::Relaxed);
        let mut count = 0;
        while window.seconds() < WINDOW.as_secs_f64() {
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

/// Time from accepting a change to each watcher's having it, in milliseconds.
fn print_delays(accepted: &[(number::Version, Instant)], tally: &watchers::Tally) {
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
