//! Processes that freeze past a change and thaw with work waiting, and agents that start anew
//! before an upstream that has work.

use crate::support::{caller, fleet, operator, wires};
use futures::future;
use hyssopfork_test_support::service;
use hyssopfork_wire::{patch, timing};
use std::net::SocketAddr;
use std::time::Duration;

/// Longer than the bound within which an accepted change is in force, for a busy test machine.
const A_FEW_SECONDS: Duration = Duration::from_secs(4);

/// Deadline of lodgements: they still wait when what was frozen thaws.
const DEADLINE_MS: u64 = 7_000;

/// Lodgements that wait at once.
const WAITING: usize = 8;

async fn served(plan: fleet::Plan) -> (fleet::Fleet, operator::Operator) {
    let fleet = fleet::Fleet::start(plan);
    let operator = fleet.operator();
    let mut declared = fleet::declaration();
    declared.routes.get_mut(&"lodge".into()).unwrap().deadline_ms = DEADLINE_MS;
    let declare = patch::Operation::Declare(Box::new(declared));
    operator.submit("declare", 0, vec![declare]).await;
    let holders = plan.entries + plan.services;
    operator.wait("everybody present", |status| operator::all_hold(status, holders)).await;
    (fleet, operator)
}

fn services() -> fleet::Plan {
    fleet::Plan { engines: 0, relayed: true, ..fleet::Plan::default() }
}

fn ran(fleet: &fleet::Fleet, place: usize) -> u64 {
    fleet.services[place].fake.runs_by_reference().values().sum()
}

async fn lodge(entry: SocketAddr, name: &str, count: usize) -> Vec<caller::Got> {
    let sends = (0..count).map(|number| async move {
        let body = format!("{{\"reference\":\"{name}-{number}\"}}");
        caller::post(entry, "/lodge", None, &body).await
    });
    future::join_all(sends).await
}

fn is_honest(got: &caller::Got) -> bool {
    got.is_answer() || got.says_not_run() || got.says_may_have_run()
}

/// Takes zone-b out while those who are frozen are cut off from control, so that the news doesn't
/// wait in their sockets when they thaw.
async fn take_out(fleet: &fleet::Fleet, operator: &operator::Operator, frozen: &[&str]) {
    frozen.iter().for_each(|name| fleet.wires.silence(wires::Link::Control, name));
    let out = patch::Operation::SetZoneOut("zone-b".into(), true);
    operator.submit("out", 1, vec![out]).await;
    actix_rt::time::sleep(A_FEW_SECONDS).await;
}

fn assert_once(fleet: &fleet::Fleet) {
    for upstream in &fleet.services {
        let ran = upstream.fake.runs_by_reference();
        assert!(ran.values().all(|count| *count == 1), "{ran:?}");
    }
}

// Callers whose requests waited in a frozen entry are answered by another zone, or told truly that
// nothing ran. Zone-b is taken out while the entry is frozen; it thaws with the view it had, in
// which zone-b is in, and with a lease that has lapsed.
#[actix_rt::test]
async fn an_entry_that_froze_past_a_zones_end_sends_it_nothing() {
    let (fleet, operator) = served(services()).await;
    let entry = fleet.entry_addresses[0];

    fleet.entries[0].pause();
    let waiting = actix_rt::spawn(lodge(entry, "waiting", WAITING));
    take_out(&fleet, &operator, &["entry-1"]).await;
    let before = ran(&fleet, 1);
    fleet.entries[0].resume();
    let got = waiting.await.unwrap();

    assert_eq!(ran(&fleet, 1), before);
    assert!(got.iter().all(|got| got.is_answer() || got.says_not_run()), "{got:?}");
    assert_once(&fleet);
}

// Callers whose requests were sent to a frozen agent are told the truth. Zone-b is taken out while
// its agent is frozen with offers in its sockets; it thaws before it has heard of the change, and
// only its lapsed lease keeps it from forwarding them.
#[actix_rt::test]
async fn an_agent_that_froze_past_its_zones_end_starts_nothing() {
    let (fleet, operator) = served(services()).await;
    let entry = fleet.entry_addresses[0];

    fleet.services[1].agent.pause();
    let waiting = actix_rt::spawn(lodge(entry, "waiting", WAITING));
    take_out(&fleet, &operator, &["service-2"]).await;
    fleet.services[1].agent.resume();
    let got = waiting.await.unwrap();
    actix_rt::time::sleep(timing::CONNECTION_IDLE_TIMEOUT).await;

    assert_eq!(ran(&fleet, 1), 0);
    assert!(got.iter().all(is_honest), "{got:?}");
    assert_once(&fleet);
}

// As above, with an entry frozen as well: both thaw with the view in which zone-b is in.
#[actix_rt::test]
async fn an_entry_and_an_agent_that_froze_together_start_nothing() {
    let (fleet, operator) = served(services()).await;
    let entry = fleet.entry_addresses[0];

    fleet.services[1].agent.pause();
    let sent = actix_rt::spawn(lodge(entry, "sent", WAITING));
    actix_rt::time::sleep(timing::KEEP_ALIVE_INTERVAL).await;
    fleet.entries[0].pause();
    let waiting = actix_rt::spawn(lodge(entry, "waiting", WAITING));
    take_out(&fleet, &operator, &["entry-1", "service-2"]).await;
    fleet.services[1].agent.resume();
    fleet.entries[0].resume();
    let (sent, waiting) = (sent.await.unwrap(), waiting.await.unwrap());
    actix_rt::time::sleep(timing::CONNECTION_IDLE_TIMEOUT).await;

    assert_eq!(ran(&fleet, 1), 0);
    assert!(sent.iter().chain(&waiting).all(is_honest), "{sent:?} {waiting:?}");
    assert_once(&fleet);
}

// Callers whose work was on a cold upstream when its agent was killed are told that it may have
// run; nothing of it runs again. The new agent process finds the upstream with work that the old
// one sent, as much as it bears while cold: a burst that comes at once must wait for it.
#[actix_rt::test]
async fn an_agent_that_starts_anew_counts_the_work_that_its_upstream_has() {
    let service = service::Profile {
        response_time: Duration::from_millis(1_500),
        cold_capacity: 2,
        warmup_requests: 1_000,
    };
    let plan = fleet::Plan { services: 1, entries: 1, service, ..services() };
    let (mut fleet, _) = served(plan).await;
    let entry = fleet.entry_addresses[0];

    let lost = actix_rt::spawn(lodge(entry, "lost", 2));
    actix_rt::time::sleep(Duration::from_millis(300)).await;
    fleet.services[0].agent.kill();
    fleet.services[0].agent.restart();
    let burst = lodge(entry, "burst", 4).await;
    let lost = lost.await.unwrap();

    assert_eq!(fleet.services[0].fake.crash_count(), 0);
    assert!(lost.iter().chain(&burst).all(is_honest), "{lost:?} {burst:?}");
    assert_once(&fleet);
}
