//! Connections that go silent for good while new ones work, on every link.

use crate::support::{caller, fleet, operator, wires};
use futures::future;
use hyssopfork_test_support::service;
use hyssopfork_wire::{number, patch, timing};
use std::collections::BTreeMap;
use std::time::Duration;

/// Time for all links of a kind to be in use before they go silent.
const WARM: Duration = Duration::from_millis(300);

/// Events of a stream that outlasts the silence limit.
const EVENTS: u32 = 300;

async fn served(engines: usize) -> (fleet::Fleet, operator::Operator) {
    let slow = service::Profile { response_time: Duration::from_millis(60), ..Default::default() };
    let plan = fleet::Plan { engines, service: slow, relayed: true, ..fleet::Plan::default() };
    let fleet = fleet::Fleet::start(plan);
    let operator = fleet.operator();
    let declare = patch::Operation::Declare(Box::new(fleet::declaration()));
    operator.submit("declare", 0, vec![declare]).await;
    operator.wait("everybody present", |status| operator::all_hold(status, engines + 4)).await;
    if engines > 0 {
        operator.wait("a serving group", |status| operator::serves(status, "group-1")).await;
    }
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

/// Sends one lodgement after the other through both entries for `time`.
async fn lodge(entries: Vec<std::net::SocketAddr>, time: Duration) -> Vec<(String, caller::Got)> {
    let start = std::time::Instant::now();
    let mut all = Vec::new();
    for number in 0.. {
        if start.elapsed() >= time {
            break;
        }
        let reference = format!("work-{number}");
        let body = format!("{{\"reference\":\"{reference}\"}}");
        let entry = entries[number % entries.len()];
        let got = caller::post(entry, "/lodge", Some(&reference), &body).await;
        all.push((reference, got));
    }
    all
}

/// Makes a kind of link go silent while callers lodge; what they got.
async fn lodge_through(fleet: &fleet::Fleet, link: wires::Link) -> Vec<(String, caller::Got)> {
    let time = timing::HOLDER_LEASE * 2;
    let lodged = lodge(fleet.entry_addresses.clone(), time);
    let silenced = async {
        actix_rt::time::sleep(WARM).await;
        fleet.wires.forget(link);
    };
    let (lodged, ()) = future::join(lodged, silenced).await;
    lodged
}

/// An operator's change, once every entry and agent of the small fleet has it.
async fn change_in_force(operator: &operator::Operator) -> patch::Outcome {
    let out = patch::Operation::SetZoneOut("zone-b".into(), true);
    let outcome = operator.submit("out", 1, vec![out]).await;
    operator.wait("the change in force", |status| operator::all_hold(status, 4)).await;
    outcome
}

fn assert_whole_and_once(fleet: &fleet::Fleet, lodged: &[(String, caller::Got)]) {
    let runs = runs(fleet);
    assert!(lodged.len() > 10, "{lodged:?}");
    for (reference, got) in lodged {
        assert!(got.is_answer(), "{reference}: {got:?}");
        assert_eq!(runs[reference], 1, "{reference}: {got:?}");
    }
}

// Callers notice nothing, and an operator's change is accepted and in force. All connections
// between control instances go silent while callers' keys are claimed in the log; messages on them
// are given up and the next ones go over new connections, before or after an election.
#[actix_rt::test]
async fn control_goes_on_when_its_connections_go_silent() {
    let (fleet, operator) = served(0).await;

    let lodged = lodge_through(&fleet, wires::Link::Voter).await;
    let outcome = change_in_force(&operator).await;

    assert_whole_and_once(&fleet, &lodged);
    assert_eq!(outcome, patch::Outcome::Accepted(number::Configuration(2)));
}

// Callers notice nothing. The connections of entries and agents to control go silent with a watch
// held and renewals and claims under way; each is given up after its time and asked again over
// another connection, long before the leases lapse.
#[actix_rt::test]
async fn leases_and_claims_go_on_when_connections_to_control_go_silent() {
    let (fleet, operator) = served(0).await;

    let lodged = lodge_through(&fleet, wires::Link::Control).await;
    let outcome = change_in_force(&operator).await;

    assert_whole_and_once(&fleet, &lodged);
    assert_eq!(outcome, patch::Outcome::Accepted(number::Configuration(2)));
}

// Callers notice nothing but a second's wait. The connections from entries to agents go silent
// with lodgements on them, which may not be sent again; the entry takes each up where it runs over
// a new connection, and nothing runs twice.
#[actix_rt::test]
async fn lodgements_are_taken_up_when_connections_to_agents_go_silent() {
    let (fleet, _) = served(0).await;

    let lodged = lodge_through(&fleet, wires::Link::Traffic).await;

    assert_whole_and_once(&fleet, &lodged);
}

// The caller's stream stops for a second and goes on to its end with every event once. The
// connection to the agent goes silent in the midst of it; the entry takes the answer up on a new
// connection from the byte it has.
#[actix_rt::test]
async fn a_stream_goes_on_when_its_connection_to_the_agent_goes_silent() {
    let (fleet, _) = served(2).await;
    let body = caller::completion(EVENTS);
    let stream = caller::post(fleet.entry_addresses[0], "/v1/completions", None, &body);
    let silenced = async {
        actix_rt::time::sleep(WARM).await;
        fleet.wires.forget(wires::Link::Traffic);
    };

    let (got, ()) = future::join(stream, silenced).await;

    let text = got.text();
    assert!(got.is_answer() && text.trim_end().ends_with("data: [DONE]"), "{got:?}");
    assert_eq!(text.matches("text_completion").count(), EVENTS as usize, "{got:?}");
    let started: u64 = fleet.engines.iter().map(|engine| engine.fake.counts().started).sum();
    assert_eq!(started, 1, "the stream was run anew in place of being taken up");
}

// Callers notice nothing. The connections between a group's agents go silent; its first member asks
// for the next grant over a new connection before the last one lapses.
#[actix_rt::test]
async fn a_group_serves_on_when_connections_between_its_agents_go_silent() {
    let (fleet, operator) = served(3).await;

    fleet.wires.forget(wires::Link::Peer);
    let mut all = Vec::new();
    for number in 0..20 {
        let entry = fleet.entry_addresses[number % 2];
        let body = caller::completion(2);
        all.push(caller::post(entry, "/v1/completions", None, &body).await);
        actix_rt::time::sleep(Duration::from_millis(100)).await;
    }
    operator.wait("a serving group", |status| operator::serves(status, "group-1")).await;
    let body = caller::completion(2);
    let last = caller::post(fleet.entry_addresses[0], "/v1/completions", None, &body).await;

    assert!(all.iter().all(caller::Got::is_answer), "{all:?}");
    assert!(last.is_answer(), "{last:?}");
    let lost = fleet.logs().iter().filter(|log| log.contains("name=\"GroupLost\"")).count();
    assert_eq!(lost, 0, "the group was out of service for a moment");
}

// A caller whose connection to the entry went silent sends its lodgement again over a new one,
// under the same key, and gets the whole answer; the work ran once.
#[actix_rt::test]
async fn a_resend_is_answered_when_a_callers_connection_went_silent() {
    let (fleet, _) = served(0).await;
    let entry = fleet.entry_addresses[0];
    let send = move || caller::post(entry, "/lodge", Some("one"), "{\"reference\":\"one\"}");
    let lost = actix_rt::spawn(send());

    actix_rt::time::sleep(Duration::from_millis(40)).await;
    fleet.wires.forget(wires::Link::Caller);
    actix_rt::time::sleep(timing::CONNECTION_IDLE_TIMEOUT).await;
    let resent = send().await;
    lost.abort();

    assert!(resent.is_answer(), "{resent:?}");
    assert_eq!(runs(&fleet)["one"], 1);
}
