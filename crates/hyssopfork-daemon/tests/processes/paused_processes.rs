//! Processes that are paused during a change and resume with pending requests, and agents that
//! restart while their upstream has work.

use crate::support::{client, fleet, operator, relays};
use futures::future;
use hyssopfork_test_support::service;
use hyssopfork_wire::{patch, timing};
use std::net::SocketAddr;
use std::time::Duration;

/// Time within which an accepted change must be in force, with a margin for a busy test machine.
const IN_FORCE_WAIT: Duration = Duration::from_secs(4);

/// Deadline of lodgements; they are still pending when the paused process resumes.
const DEADLINE_MS: u64 = 7_000;

/// Lodgements that are pending concurrently.
const PENDING_REQUESTS: usize = 8;

async fn start_fleet(plan: fleet::Plan) -> (fleet::Fleet, operator::Operator) {
    let fleet = fleet::Fleet::start(plan);
    let operator = fleet.operator();
    let mut declared = fleet::declaration();
    declared.routes.get_mut(&"lodge".into()).unwrap().deadline_ms = DEADLINE_MS;
    let declare = patch::Operation::Declare(Box::new(declared));
    operator.submit("declare", 0, vec![declare]).await;
    let holders = plan.entries + plan.services;
    operator
        .wait_for("all instances present", |status| {
            operator::all_hold_current_view(status, holders)
        })
        .await;
    (fleet, operator)
}

fn services_only() -> fleet::Plan {
    fleet::Plan { engines: 0, relayed: true, ..fleet::Plan::default() }
}

fn run_count(fleet: &fleet::Fleet, index: usize) -> u64 {
    fleet.services[index].fake.runs_by_reference().values().sum()
}

async fn lodge(entry: SocketAddr, name: &str, count: usize) -> Vec<client::Response> {
    let sends = (0..count).map(|number| async move {
        let body = format!("{{\"reference\":\"{name}-{number}\"}}");
        client::post(entry, "/lodge", None, &body).await
    });
    future::join_all(sends).await
}

fn reports_outcome(got: &client::Response) -> bool {
    got.is_complete_success() || got.says_not_run() || got.says_may_have_run()
}

/// Takes zone-b out while the paused processes are cut off from control, so that the change isn't
/// waiting in their sockets when they resume.
async fn take_zone_out(fleet: &fleet::Fleet, operator: &operator::Operator, paused: &[&str]) {
    paused.iter().for_each(|name| fleet.relays.silence_link(relays::Link::Control, name));
    let out = patch::Operation::SetZoneOut("zone-b".into(), true);
    operator.submit("out", 1, vec![out]).await;
    actix_rt::time::sleep(IN_FORCE_WAIT).await;
}

fn assert_ran_once(fleet: &fleet::Fleet) {
    for upstream in &fleet.services {
        let ran = upstream.fake.runs_by_reference();
        assert!(ran.values().all(|count| *count == 1), "{ran:?}");
    }
}

// Zone-b is taken out while an entry with waiting requests is paused. It resumes with its old view,
// in which zone-b is in, and an expired lease: its requests are served by another zone or rejected
// as not run.
#[actix_rt::test]
async fn an_entry_paused_while_a_zone_is_taken_out_sends_it_nothing() {
    let (fleet, operator) = start_fleet(services_only()).await;
    let entry = fleet.entry_addresses[0];

    fleet.entries[0].pause();
    let waiting = actix_rt::spawn(lodge(entry, "waiting", PENDING_REQUESTS));
    take_zone_out(&fleet, &operator, &["entry-1"]).await;
    let before = run_count(&fleet, 1);
    fleet.entries[0].resume();
    let got = waiting.await.unwrap();

    assert_eq!(run_count(&fleet, 1), before);
    assert!(got.iter().all(|got| got.is_complete_success() || got.says_not_run()), "{got:?}");
    assert_ran_once(&fleet);
}

// Zone-b is taken out while its agent is paused with offers in its sockets. It resumes before it
// learns of the change, and only its expired lease prevents it from forwarding them. Clients get a
// response or a correct `ran`.
#[actix_rt::test]
async fn an_agent_paused_while_its_zone_is_taken_out_starts_nothing() {
    let (fleet, operator) = start_fleet(services_only()).await;
    let entry = fleet.entry_addresses[0];

    fleet.services[1].agent.pause();
    let waiting = actix_rt::spawn(lodge(entry, "waiting", PENDING_REQUESTS));
    take_zone_out(&fleet, &operator, &["service-2"]).await;
    fleet.services[1].agent.resume();
    let got = waiting.await.unwrap();
    actix_rt::time::sleep(timing::CONNECTION_IDLE_TIMEOUT).await;

    assert_eq!(run_count(&fleet, 1), 0);
    assert!(got.iter().all(reports_outcome), "{got:?}");
    assert_ran_once(&fleet);
}

// As above, with an entry paused as well: both resume with the view in which zone-b is in.
#[actix_rt::test]
async fn an_entry_and_an_agent_paused_together_start_nothing() {
    let (fleet, operator) = start_fleet(services_only()).await;
    let entry = fleet.entry_addresses[0];

    fleet.services[1].agent.pause();
    let sent = actix_rt::spawn(lodge(entry, "sent", PENDING_REQUESTS));
    actix_rt::time::sleep(timing::KEEP_ALIVE_INTERVAL).await;
    fleet.entries[0].pause();
    let waiting = actix_rt::spawn(lodge(entry, "waiting", PENDING_REQUESTS));
    take_zone_out(&fleet, &operator, &["entry-1", "service-2"]).await;
    fleet.services[1].agent.resume();
    fleet.entries[0].resume();
    let (sent, waiting) = (sent.await.unwrap(), waiting.await.unwrap());
    actix_rt::time::sleep(timing::CONNECTION_IDLE_TIMEOUT).await;

    assert_eq!(run_count(&fleet, 1), 0);
    assert!(sent.iter().chain(&waiting).all(reports_outcome), "{sent:?} {waiting:?}");
    assert_ran_once(&fleet);
}

// An agent is killed while its cold upstream runs as much work as it can bear. Clients are told
// that the work may have run, and none of it runs again. The new agent process finds the upstream
// with the old work: a concurrent burst must wait for it.
#[actix_rt::test]
async fn a_restarted_agent_counts_the_work_of_its_upstream() {
    let service = service::Profile {
        response_time: Duration::from_millis(1_500),
        cold_capacity: 2,
        warmup_requests: 1_000,
    };
    let plan = fleet::Plan { services: 1, entries: 1, service, ..services_only() };
    let (mut fleet, _) = start_fleet(plan).await;
    let entry = fleet.entry_addresses[0];

    let lost = actix_rt::spawn(lodge(entry, "lost", 2));
    actix_rt::time::sleep(Duration::from_millis(300)).await;
    fleet.services[0].agent.kill();
    fleet.services[0].agent.restart();
    let burst = lodge(entry, "burst", 4).await;
    let lost = lost.await.unwrap();

    assert_eq!(fleet.services[0].fake.crash_count(), 0);
    assert!(lost.iter().chain(&burst).all(reports_outcome), "{lost:?} {burst:?}");
    assert_ran_once(&fleet);
}
