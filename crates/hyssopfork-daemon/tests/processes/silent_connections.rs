//! Connections that become permanently silent while new ones work, on every link.

use crate::support::{client, fleet, operator, relays};
use futures::future;
use hyssopfork_test_support::service;
use hyssopfork_wire::{number, patch, timing};
use std::collections::BTreeMap;
use std::time::Duration;

/// Time for all links of a kind to be in use before they become silent.
const WARM_UP: Duration = Duration::from_millis(300);

/// Events of a stream that outlasts `CONNECTION_IDLE_TIMEOUT`.
const STREAM_EVENTS: u32 = 300;

async fn start_fleet(engines: usize) -> (fleet::Fleet, operator::Operator) {
    let slow = service::Profile { response_time: Duration::from_millis(60), ..Default::default() };
    let plan = fleet::Plan { engines, service: slow, relayed: true, ..fleet::Plan::default() };
    let fleet = fleet::Fleet::start(plan);
    let operator = fleet.operator();
    let declare = patch::Operation::Declare(Box::new(fleet::declaration()));
    operator.submit("declare", 0, vec![declare]).await;
    operator
        .wait_for("all instances present", |status| {
            operator::all_hold_current_view(status, engines + 4)
        })
        .await;
    if engines > 0 {
        operator
            .wait_for("a serving group", |status| operator::is_serving(status, "group-1"))
            .await;
    }
    (fleet, operator)
}

fn run_counts(fleet: &fleet::Fleet) -> BTreeMap<String, u64> {
    let mut runs = BTreeMap::new();
    for (work, count) in
        fleet.services.iter().flat_map(|upstream| upstream.fake.runs_by_reference())
    {
        *runs.entry(work).or_default() += count;
    }
    runs
}

/// Sends lodgements one at a time, alternating between the entries, for `time`.
async fn lodge(
    entries: Vec<std::net::SocketAddr>,
    time: Duration,
) -> Vec<(String, client::Response)> {
    let start = std::time::Instant::now();
    let mut all = Vec::new();
    for number in 0.. {
        if start.elapsed() >= time {
            break;
        }
        let reference = format!("work-{number}");
        let body = format!("{{\"reference\":\"{reference}\"}}");
        let entry = entries[number % entries.len()];
        let got = client::post(entry, "/lodge", Some(&reference), &body).await;
        all.push((reference, got));
    }
    all
}

/// Silences the open connections of a kind of link while clients lodge; returns their responses.
async fn lodge_while_silencing(
    fleet: &fleet::Fleet,
    link: relays::Link,
) -> Vec<(String, client::Response)> {
    let time = timing::HOLDER_LEASE * 2;
    let lodged = lodge(fleet.entry_addresses.clone(), time);
    let silenced = async {
        actix_rt::time::sleep(WARM_UP).await;
        fleet.relays.silence_open_connections(link);
    };
    let (lodged, ()) = future::join(lodged, silenced).await;
    lodged
}

/// Submits a change and waits until every entry and agent has it.
async fn submit_and_wait(operator: &operator::Operator) -> patch::Outcome {
    let out = patch::Operation::SetZoneOut("zone-b".into(), true);
    let outcome = operator.submit("out", 1, vec![out]).await;
    operator
        .wait_for("the change in force", |status| operator::all_hold_current_view(status, 4))
        .await;
    outcome
}

fn assert_complete_and_once(fleet: &fleet::Fleet, lodged: &[(String, client::Response)]) {
    let runs = run_counts(fleet);
    assert!(lodged.len() > 10, "{lodged:?}");
    for (reference, got) in lodged {
        assert!(got.is_complete_success(), "{reference}: {got:?}");
        assert_eq!(runs[reference], 1, "{reference}: {got:?}");
    }
}

// All connections between control instances become silent while clients' keys are claimed in the
// log. Messages on them time out and the next ones use new connections, before or after an
// election: clients notice nothing, and an operator's change is accepted and in force.
#[actix_rt::test]
async fn control_continues_when_its_connections_go_silent() {
    let (fleet, operator) = start_fleet(0).await;

    let lodged = lodge_while_silencing(&fleet, relays::Link::Voter).await;
    let outcome = submit_and_wait(&operator).await;

    assert_complete_and_once(&fleet, &lodged);
    assert_eq!(outcome, patch::Outcome::Accepted(number::Configuration(2)));
}

// The connections of entries and agents to control become silent with watches, renewals and claims
// in flight. Each call times out and is repeated over another connection long before the leases
// expire: clients notice nothing.
#[actix_rt::test]
async fn leases_and_claims_continue_when_connections_to_control_go_silent() {
    let (fleet, operator) = start_fleet(0).await;

    let lodged = lodge_while_silencing(&fleet, relays::Link::Control).await;
    let outcome = submit_and_wait(&operator).await;

    assert_complete_and_once(&fleet, &lodged);
    assert_eq!(outcome, patch::Outcome::Accepted(number::Configuration(2)));
}

/// Time that a lodgement may take when the connections to control become silent: half of the time in which
/// the outcome of a claim must be recorded.
const MAX_LODGEMENT_TIME: Duration = Duration::from_secs(1);

/// Number of times that the connections become silent.
const SILENCES: usize = 5;

/// Guards against a claim whose record waits for each silent connection to control in turn, and runs out of
/// time.
#[actix_rt::test]
async fn a_claim_waits_for_one_silent_connection_to_control_only() {
    let (fleet, _) = start_fleet(0).await;
    let mut longest = Duration::ZERO;

    for silence in 0..SILENCES {
        for number in 0..20 {
            let reference = format!("work-{silence}-{number}");
            let body = format!("{{\"reference\":\"{reference}\"}}");
            let entry = fleet.entry_addresses[number % fleet.entry_addresses.len()];
            let since = std::time::Instant::now();
            let lodgement = client::post(entry, "/lodge", Some(&reference), &body);
            let silenced = async {
                if number == 10 {
                    // The claim is made, and its outcome is not recorded yet.
                    actix_rt::time::sleep(Duration::from_millis(40)).await;
                    fleet.relays.silence_open_connections(relays::Link::Control);
                }
            };
            let (got, ()) = future::join(lodgement, silenced).await;
            longest = longest.max(since.elapsed());
            assert!(got.is_complete_success(), "{reference}: {got:?}");
        }
    }

    assert!(longest <= MAX_LODGEMENT_TIME, "a lodgement took {longest:?}");
}

// The connections from entries to agents become silent with lodgements on them, which may not be
// sent again. The entry resumes each one over a new connection: clients notice a delay of a second,
// and nothing runs twice.
#[actix_rt::test]
async fn lodgements_are_resumed_when_connections_to_agents_go_silent() {
    let (fleet, _) = start_fleet(0).await;

    let lodged = lodge_while_silencing(&fleet, relays::Link::Traffic).await;

    assert_complete_and_once(&fleet, &lodged);
}

// The connection to the agent becomes silent in the middle of a stream. The entry resumes the
// response on a new connection from the first missing byte: the stream pauses for a second and then
// completes with every event once.
#[actix_rt::test]
async fn a_stream_continues_when_its_connection_to_the_agent_goes_silent() {
    let (fleet, _) = start_fleet(2).await;
    let body = client::completion_body(STREAM_EVENTS);
    let stream = client::post(fleet.entry_addresses[0], "/v1/completions", None, &body);
    let silenced = async {
        actix_rt::time::sleep(WARM_UP).await;
        fleet.relays.silence_open_connections(relays::Link::Traffic);
    };

    let (got, ()) = future::join(stream, silenced).await;

    let text = got.text();
    assert!(got.is_complete_success() && text.trim_end().ends_with("data: [DONE]"), "{got:?}");
    assert_eq!(text.matches("text_completion").count(), STREAM_EVENTS as usize, "{got:?}");
    let started: u64 = fleet.engines.iter().map(|engine| engine.fake.counts().started).sum();
    assert_eq!(started, 1, "the stream was run again instead of being resumed");
}

// The connections between a group's agents become silent. Its first member requests the next grant
// over a new connection before the last one expires: clients notice nothing.
#[actix_rt::test]
async fn a_group_keeps_serving_when_connections_between_its_agents_go_silent() {
    let (fleet, operator) = start_fleet(3).await;

    fleet.relays.silence_open_connections(relays::Link::Peer);
    let mut all = Vec::new();
    for number in 0..20 {
        let entry = fleet.entry_addresses[number % 2];
        let body = client::completion_body(2);
        all.push(client::post(entry, "/v1/completions", None, &body).await);
        actix_rt::time::sleep(Duration::from_millis(100)).await;
    }
    operator.wait_for("a serving group", |status| operator::is_serving(status, "group-1")).await;
    let body = client::completion_body(2);
    let last = client::post(fleet.entry_addresses[0], "/v1/completions", None, &body).await;

    assert!(all.iter().all(client::Response::is_complete_success), "{all:?}");
    assert!(last.is_complete_success(), "{last:?}");
    let lost = fleet.read_logs().iter().filter(|log| log.contains("name=\"GroupLost\"")).count();
    assert_eq!(lost, 0, "the group was temporarily out of service");
}

// A client whose connection to the entry became silent resends its lodgement over a new one, under
// the same key, and gets the complete response; the work ran once.
#[actix_rt::test]
async fn a_resend_is_answered_when_a_clients_connection_went_silent() {
    let (fleet, _) = start_fleet(0).await;
    let entry = fleet.entry_addresses[0];
    let send = move || client::post(entry, "/lodge", Some("one"), "{\"reference\":\"one\"}");
    let lost = actix_rt::spawn(send());

    actix_rt::time::sleep(Duration::from_millis(40)).await;
    fleet.relays.silence_open_connections(relays::Link::Client);
    actix_rt::time::sleep(timing::CONNECTION_IDLE_TIMEOUT).await;
    let resent = send().await;
    lost.abort();

    assert!(resent.is_complete_success(), "{resent:?}");
    assert_eq!(run_counts(&fleet)["one"], 1);
}
