//! Demand for a model.

use crate::fixture;
use hyssopfork_fleet::declaration;
use hyssopfork_gateway::demand::Meter;
use hyssopfork_gateway::{action, arrival, event, size};
use hyssopfork_wire::name;
use std::time::Duration;

/// Concurrency that a meter reports after `seconds` of arrivals at this rate, each of which takes
/// `duration`.
fn measure(seconds: u64, per_second: u64, duration: Duration) -> f64 {
    let start = 1_000;
    let mut meter = Meter::new(fixture::at(start));
    let interval = 1_000 / per_second;
    for millis in (0..seconds * 1_000).step_by(interval as usize) {
        meter.on_arrival(fixture::at(start + millis), None);
        if millis >= duration.as_millis() as u64 {
            meter.on_completed(duration);
        }
    }
    meter.concurrency(fixture::at(start + seconds * 1_000))
}

#[test]
fn concurrency_is_the_arrival_rate_times_the_duration() {
    let concurrency = measure(20, 50, Duration::from_millis(1_200));

    assert!((57.0..63.0).contains(&concurrency), "{concurrency}");
}

/// Guards against a plan that rests on the first requests of a model with few of them: the short ones
/// complete first.
#[test]
fn a_slow_model_is_not_underestimated_after_three_seconds() {
    let concurrency = measure(3, 2, Duration::from_millis(1_700));

    assert!((2.7..4.5).contains(&concurrency), "{concurrency}");
}

#[test]
fn demand_fades_when_requests_end() {
    let mut meter = Meter::new(fixture::at(1_000));
    for millis in (0..10_000).step_by(20) {
        meter.on_arrival(fixture::at(1_000 + millis), None);
    }

    let before = meter.concurrency(fixture::at(11_000));
    let after = meter.concurrency(fixture::at(21_000));

    assert!(before > 50.0 && after < before / 20.0, "{before} to {after}");
}

/// Guards against meters for each model name that clients invent, which would use up the memory.
#[test]
fn only_declared_models_are_metered() {
    let mut entry = fixture::Entry::with_view();
    for number in 0..50 {
        let model = Some(name::Model::new(format!("invented-{number}")));
        entry.arrive(arrival::Arrival { model, ..fixture::arrival("stream") });
    }
    entry.arrive(fixture::arrival("stream"));

    entry.step(event::Event::Tick);

    let report = entry.reports.last().expect("it reports");
    let models: Vec<&str> = report.demands.iter().map(|it| it.model.as_str()).collect();
    assert_eq!(models, ["large"]);
}

/// Concurrency in thousandths that an entry reports after two seconds with a request of this size
/// every 20 ms, none of which completes.
fn reported_concurrency(size: Option<size::Size>) -> (u64, usize) {
    let mut entry = fixture::Entry::with_performance();
    let mut rejected = 0;
    for _ in 0..100 {
        entry.advance(20);
        let (_, decision) = entry.arrive(arrival::Arrival { size, ..fixture::arrival("stream") });
        rejected += usize::from(matches!(decision, action::Decision::Reject(_)));
    }
    entry.step(event::Event::Tick);
    let report = entry.reports.last().expect("it reports");
    (report.demands[0].concurrency_millis, rejected)
}

/// Guards against a plan that underestimates a model with long prompts by half: its groups are busy
/// with prompts while few of their slots are taken. By the fixture's figures, a request with 100 output
/// tokens takes 375 ms of a group with a prompt of 2,000 tokens and 195 ms with one of 200; 50 of them
/// arrive a second.
#[test]
fn requests_count_by_their_prompts_and_outputs() {
    let (long, rejected) = reported_concurrency(Some(size::Size::new(2_000, 100, Some(100))));
    let (short, _) = reported_concurrency(Some(size::Size::new(200, 100, Some(100))));

    let groups = |millis: u64| millis as f64 / 1_000.0 / f64::from(fixture::SLOTS);
    assert!(rejected > 50, "{rejected}");
    assert!((18.0..19.5).contains(&groups(long)), "{}", groups(long));
    assert!((9.3..10.2).contains(&groups(short)), "{}", groups(short));
}

/// Guards against a client that moves the groups of other models by the sizes that it states.
#[test]
fn absurd_sizes_hardly_count() {
    let usual = size::Size::new(200, 100, Some(100));
    let reported = |odd, memory_tokens| {
        let performance = declaration::Performance { memory_tokens, ..fixture::performance() };
        let mut entry = fixture::Entry::with_performance_of(performance);
        for number in 0..1_000 {
            entry.advance(20);
            let size = Some(if number == 990 { odd } else { usual });
            entry.arrive(arrival::Arrival { size, ..fixture::arrival("stream") });
        }
        entry.step(event::Event::Tick);
        entry.reports.last().expect("it reports").demands[0].concurrency_millis
    };
    let largest = size::Size::new(u64::MAX, u64::MAX, Some(u64::MAX));

    let calm = reported(usual, 40_000);
    let (too_large, bounded) = (reported(largest, 40_000), reported(largest, 0));

    assert!(too_large <= calm, "{calm} to {too_large}");
    assert!(bounded < calm * 6 / 5, "{calm} to {bounded}");
}

#[test]
fn requests_of_unknown_size_count_by_the_mean_duration() {
    let (concurrency, _) = reported_concurrency(None);

    // 50 per second, with the duration before the first completion.
    assert!((70_000..80_000).contains(&concurrency), "{concurrency}");
}

/// Guards against a demand that rests on declared or hinted outputs while streams are longer.
#[test]
fn requests_count_by_the_length_of_finished_streams() {
    let mut entry = fixture::Entry::with_performance();
    let sized = || arrival::Arrival {
        size: Some(size::Size::new(200, 2_000, None)),
        ..fixture::arrival("stream")
    };
    for _ in 0..200 {
        let (number, _) = entry.arrive(sized());
        entry.begin_stream(number);
        entry.step(event::Event::EventsReceived(number, Some(200)));
        entry.step(event::Event::StreamCompleted(number));
    }
    entry.advance(30_000);
    for _ in 0..1_000 {
        entry.advance(20);
        entry.arrive(sized());
    }

    entry.step(event::Event::Tick);

    // Outputs of 1,000 tokens take 1,770 ms of a group's time, those of the declared 100 tokens 195 ms.
    let concurrency = entry.reports.last().expect("it reports").demands[0].concurrency_millis;
    let groups = concurrency as f64 / 1_000.0 / f64::from(fixture::SLOTS);
    assert!((80.0..90.0).contains(&groups), "{groups}");
}
