//! Long randomized runs with real processes: faults are injected while clients and operators send
//! requests, and the reported outcomes are compared with what the upstreams ran.

mod clients;
mod faults;
mod operators;
mod record;

use crate::support::{fleet, operator};
use hyssopfork_wire::patch;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::cell::RefCell;
use std::env;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Seed of the run in continuous integration.
const SEED: u64 = 1;

/// Seed whose runs restarted idle engines.
const IDLE_RESTART_SEED: u64 = 71117;

/// Duration of the runs in continuous integration.
const DURATION_SECONDS: u64 = 12;

/// Clients for each kind of request.
const CLIENTS_PER_KIND: u64 = 3;

/// Requests that must all be completed once the faults have ended.
const FINAL_REQUESTS: u64 = 10;

fn read_setting(name: &str, default: u64) -> u64 {
    env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

fn random_stream(seed: u64, stream: u64) -> ChaCha8Rng {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    random.set_stream(stream);
    random
}

// Processes are killed and paused, disks are lost, upstreams die and become cold, and zones are
// taken out and brought in, alone and together. Every reported outcome must match what ran, and
// once the faults have ended every request must be completed again.
#[actix_rt::test]
async fn reported_outcomes_match_what_ran_under_random_faults() {
    let seed = read_setting("HYSSOPFORK_SOAK_SEED", SEED);
    run(seed, Duration::from_secs(read_setting("HYSSOPFORK_SOAK_SECONDS", DURATION_SECONDS))).await;
}

// Engines of this seed restarted while idle and were sent requests without their model.
#[actix_rt::test]
async fn reported_outcomes_match_what_ran_when_idle_engines_restart() {
    run(IDLE_RESTART_SEED, Duration::from_secs(DURATION_SECONDS)).await;
}

async fn run(seed: u64, duration: Duration) {
    let plan = fleet::Plan { engines: 5, services: 3, ..fleet::Plan::default() };
    let mut fleet = fleet::Fleet::start(plan);
    let operator = fleet.operator();
    let declare = patch::Operation::Declare(Box::new(fleet::declaration()));
    operator.submit("declare", 0, vec![declare]).await;
    operator
        .wait_for("all instances present", |status| operator::all_hold_current_view(status, 10))
        .await;
    operator.wait_for("a serving group", |status| operator::is_serving(status, "group-1")).await;
    let record = Rc::new(RefCell::new(record::Record::default()));
    let end = Instant::now() + duration;

    let mut tasks = Vec::new();
    for number in 0..CLIENTS_PER_KIND {
        let client = clients::Client {
            number,
            entries: fleet.entry_addresses.clone(),
            record: record.clone(),
            end,
        };
        tasks.push(actix_rt::spawn(client.clone().stream(random_stream(seed, 10 + number))));
        tasks
            .push(actix_rt::spawn(client.clone().lodge_with_key(random_stream(seed, 20 + number))));
        tasks.push(actix_rt::spawn(client.clone().lodge(random_stream(seed, 30 + number))));
        tasks.push(actix_rt::spawn(client.request_status(random_stream(seed, 40 + number))));
    }
    let operators = operators::Operators::new(&fleet, record.clone(), end);
    tasks.push(actix_rt::spawn(operators.run(random_stream(seed, 50))));
    faults::run(&mut fleet, record.clone(), random_stream(seed, 60), end).await;
    for task in tasks {
        task.await.unwrap();
    }
    operator
        .wait_for("a serving group again", |status| operator::is_serving(status, "group-1"))
        .await;
    operator
        .wait_for("all instances present again", |status| {
            operator::all_hold_current_view(status, 10)
        })
        .await;
    let last = clients::Client {
        number: 99,
        entries: fleet.entry_addresses.clone(),
        record: record.clone(),
        end: Instant::now() + operator::WAIT_TIMEOUT,
    };
    let unanswered = last.find_unanswered(FINAL_REQUESTS).await;

    let record = record.borrow();
    println!("seed {seed}: {record}");
    let violations = record.find_violations(&fleet);
    if !violations.is_empty() || !unanswered.is_empty() {
        println!("seed {seed}: logs are kept in {}", fleet.copy_logs(seed).display());
    }
    assert!(violations.is_empty(), "seed {seed}: {violations:#?}");
    assert!(unanswered.is_empty(), "seed {seed}: not answered after the faults: {unanswered:#?}");
}
