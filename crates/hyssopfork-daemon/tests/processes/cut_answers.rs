//! Back ends that break off: before their answer's head, and within its body.

use crate::support::{caller, fleet, operator};
use hyssopfork_test_support::fault_injection;
use hyssopfork_wire::patch;
use std::time::Duration;

async fn served(engines: usize) -> fleet::Fleet {
    let plan = fleet::Plan { engines, services: 1, ..fleet::Plan::default() };
    let fleet = fleet::Fleet::start(plan);
    let operator = fleet.operator();
    let declare = patch::Operation::Declare(Box::new(fleet::declaration()));
    operator.submit("declare", 0, vec![declare]).await;
    operator.wait("everybody present", |status| operator::all_hold(status, engines + 3)).await;
    if engines > 0 {
        operator.wait("a serving group", |status| operator::serves(status, "group-1")).await;
    }
    fleet
}

async fn lodge(fleet: &fleet::Fleet, key: Option<&str>) -> caller::Got {
    caller::post(fleet.entry_addresses[0], "/lodge", key, "{\"reference\":\"r\"}").await
}

// The service does the work and its connection closes before the head of the answer. What came
// back is nothing at all, just as when nobody had been there: an agent that takes the one for the
// other says "not run", the entry sends the work once more, and it has run twice.
#[actix_rt::test]
async fn a_connection_closed_before_the_head_is_work_that_may_have_run() {
    for key in [Some("k"), None] {
        let fleet = served(0).await;
        fleet.services[0].fake.inject(fault_injection::Command::Cut(0));

        let got = lodge(&fleet, key).await;

        assert_eq!(fleet.services[0].fake.runs_by_reference()["r"], 1, "{got:?}");
        assert!(got.says_may_have_run(), "{got:?}");
    }
}

// The service promises a length and its connection closes after five bytes. An agent that takes
// the connection's end for the answer's end hands half a receipt on as a whole one, and the log
// keeps it as the outcome for good.
#[actix_rt::test]
async fn an_answer_cut_before_its_length_is_not_given_as_whole() {
    for key in [Some("k"), None] {
        let fleet = served(0).await;
        fleet.services[0].fake.inject(fault_injection::Command::Cut(5));

        let got = lodge(&fleet, key).await;

        assert_eq!(fleet.services[0].fake.runs_by_reference()["r"], 1, "{got:?}");
        assert!(!got.is_answer(), "{got:?}");
    }
}

// The only group's engine breaks off within a stream. The caller has its first events; the rest
// is resumed, or the stream ends in a mark and never cleanly.
#[actix_rt::test]
async fn a_stream_cut_within_is_whole_in_the_end_or_marked() {
    let fleet = served(2).await;
    for engine in &fleet.engines {
        engine.fake.inject(fault_injection::Command::Cut(3));
    }

    let got =
        caller::post(fleet.entry_addresses[0], "/v1/completions", None, &caller::completion(12))
            .await;

    let text = got.text();
    let whole = got.is_answer() && text.trim_end().ends_with("data: [DONE]");
    assert!(whole || text.contains("event: error"), "{got:?}");
    assert_eq!(whole, text.matches("text_completion").count() == 12, "{got:?}");
}

// Every engine dies while a stream runs, and nothing is left to resume on. The caller has a part
// and the entry breaks the connection so that it doesn't look whole; the mark that says why is
// written just before, and must have gone out before the connection is gone.
#[actix_rt::test]
async fn a_stream_that_nobody_can_go_on_with_ends_in_its_mark() {
    let fleet = served(2).await;
    let entry = fleet.entry_addresses[0];
    let streamed = actix_rt::spawn(async move {
        caller::post(entry, "/v1/completions", None, &caller::completion(1_000)).await
    });

    actix_rt::time::sleep(Duration::from_millis(400)).await;
    for engine in &fleet.engines {
        engine.fake.inject(fault_injection::Command::Die(Duration::from_secs(60)));
    }
    let got = streamed.await.unwrap();

    assert!(!got.is_answer(), "{got:?}");
    let text = got.text();
    let mark = text.rsplit("\n\n").find(|event| !event.is_empty()).unwrap_or_default();
    assert!(mark.starts_with("event: error") && got.says_may_have_run(), "{mark:?}");
}

// An idle engine starts anew between two probes of its agent and holds no model. The first request
// finds out: the engine says 503 to it. Taken for an answer of the model's, that would be what the
// caller gets, and the gate would stay open for the next requests until a probe tells.
#[actix_rt::test]
async fn an_engine_that_lost_its_model_is_found_out_by_the_first_request() {
    let fleet = served(2).await;
    for engine in &fleet.engines {
        engine.fake.inject(fault_injection::Command::Die(Duration::from_millis(1)));
    }
    actix_rt::time::sleep(Duration::from_millis(5)).await;

    for _ in 0..4 {
        let body = caller::completion(4);
        let got = caller::post(fleet.entry_addresses[0], "/v1/completions", None, &body).await;
        assert!(!got.text().contains("holds no model"), "{got:?}");
    }

    let misdirected: u64 =
        fleet.engines.iter().map(|engine| engine.fake.counts().misdirected).sum();
    assert!(misdirected <= 1, "{misdirected} requests went to an engine without a model");
}
