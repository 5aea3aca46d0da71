//! Requests that may not be repeated, under kills of entries, agents and the leader.

use crate::support::{caller, fleet, operator};
use futures::future;
use hyssopfork_test_support::{fault_injection, service};
use hyssopfork_wire::patch;
use std::collections::BTreeMap;
use std::time::Duration;

async fn served() -> (fleet::Fleet, operator::Operator) {
    let slow = service::Profile { response_time: Duration::from_millis(100), ..Default::default() };
    let plan = fleet::Plan { engines: 0, service: slow, ..fleet::Plan::default() };
    let fleet = fleet::Fleet::start(plan);
    let operator = fleet.operator();
    let declare = patch::Operation::Declare(Box::new(fleet::declaration()));
    operator.submit("declare", 0, vec![declare]).await;
    operator.wait("everybody present", |status| operator::all_hold(status, 4)).await;
    (fleet, operator)
}

fn runs(fleet: &fleet::Fleet) -> BTreeMap<String, u64> {
    let mut runs = BTreeMap::new();
    for (work, count) in
        fleet.services.iter().flat_map(|upstream| upstream.fake.runs_by_reference())
    {
        *runs.entry(work).or_default() += count;
    }
    runs
}

// Two callers send the same key at once through two entries: the work runs once, and whoever
// doesn't get its answer is told that it is in progress; a resend gets the recorded answer.
#[actix_rt::test]
async fn one_key_through_two_entries_runs_once() {
    let (fleet, _) = served().await;
    let send = |entry: usize| {
        caller::post(fleet.entry_addresses[entry], "/lodge", Some("one"), "{\"reference\":\"one\"}")
    };

    let (first, second) = future::join(send(0), send(1)).await;
    let resent = send(1).await;

    let answers = [&first, &second].into_iter().filter(|got| got.is_answer()).count();
    assert!(answers >= 1, "{first:?} {second:?}");
    assert!(resent.is_answer(), "{resent:?}");
    assert_eq!(runs(&fleet).values().sum::<u64>(), 1, "{:?}", runs(&fleet));
}

// A caller whose entry is killed while its lodgement runs sends the same key again through the
// other entry: it never runs twice, and the caller is told the truth that it may have run.
#[actix_rt::test]
async fn a_resend_after_the_entry_was_killed_runs_nothing_twice() {
    let (mut fleet, _) = served().await;
    let address = fleet.entry_addresses[0];
    let sent = actix_rt::spawn(async move {
        let sends = (0..8).map(|number| async move {
            let key = format!("key-{number}");
            let body = format!("{{\"reference\":\"{key}\"}}");
            caller::post(address, "/lodge", Some(&key), &body).await
        });
        future::join_all(sends).await
    });

    actix_rt::time::sleep(Duration::from_millis(40)).await;
    fleet.entries[0].kill();
    let first = sent.await.unwrap();
    let mut resent = Vec::new();
    for number in 0..8 {
        let key = format!("key-{number}");
        let body = format!("{{\"reference\":\"{key}\"}}");
        let got = caller::post(fleet.entry_addresses[1], "/lodge", Some(&key), &body).await;
        resent.push(got);
    }

    assert!(runs(&fleet).values().all(|count| *count <= 1), "{:?}", runs(&fleet));
    for (got, again) in first.iter().zip(&resent) {
        let honest = again.is_answer() || again.says_may_have_run() || again.says_not_run();
        assert!(honest, "{got:?} then {again:?}");
    }
}

// A caller's lodgement is under way when its agent is killed: it is told that the work may have
// run, and a resend of the key doesn't run it again on the other upstream.
#[actix_rt::test]
async fn a_killed_agent_leaves_the_outcome_unknown() {
    let (mut fleet, operator) = served().await;
    let address = fleet.entry_addresses[0];
    let send = move || caller::post(address, "/lodge", Some("k"), "{\"reference\":\"k\"}");
    let sent = actix_rt::spawn(send());

    actix_rt::time::sleep(Duration::from_millis(60)).await;
    let place = usize::from(fleet.services[0].fake.runs_by_reference().is_empty());
    fleet.services[place].agent.kill();
    let first = sent.await.unwrap();
    operator.status().await;
    let resent = send().await;

    assert!(first.says_may_have_run() || first.is_answer(), "{first:?}");
    assert!(!resent.says_not_run(), "{resent:?}");
    assert_eq!(runs(&fleet).values().sum::<u64>(), 1, "{:?}", runs(&fleet));
}

// Found by a long run: a lodgement without a key ran twice. The upstream took the request, ran it
// and closed the connection without an answer; the client library reports that as a failed
// connection, the agent said "not run", and the entry sent it to the other upstream.
#[actix_rt::test]
async fn a_connection_closed_without_an_answer_may_have_run() {
    let (fleet, _) = served().await;
    let cut = fault_injection::Command::Cut(0);
    fleet.services.iter().for_each(|upstream| upstream.fake.inject(cut));

    let body = "{\"reference\":\"closed\"}";
    let got = caller::post(fleet.entry_addresses[0], "/lodge", None, body).await;

    assert!(got.says_may_have_run(), "{got:?}");
    assert_eq!(runs(&fleet).values().sum::<u64>(), 1, "{:?}", runs(&fleet));
}

// The caller must not take a part of an answer for the whole. The upstream's answer breaks off
// after a few bytes; the client library hands such a body out with a clean end.
#[actix_rt::test]
async fn an_answer_that_breaks_off_is_not_passed_on_as_whole() {
    let (fleet, _) = served().await;
    let cut = fault_injection::Command::Cut(5);
    fleet.services.iter().for_each(|upstream| upstream.fake.inject(cut));

    let body = "{\"reference\":\"part\"}";
    let got = caller::post(fleet.entry_addresses[0], "/lodge", Some("part"), body).await;

    assert!(got.says_may_have_run(), "{got:?}");
}
