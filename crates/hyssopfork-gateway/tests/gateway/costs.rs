//! Decisions by the predicted cost of requests.

use crate::fixture::{self, Entry};
use hyssopfork_gateway::{action, arrival, event};

/// Requests that the entry sends before it rejects one.
fn count_sent(entry: &mut Entry, arrival: impl Fn() -> arrival::Arrival) -> usize {
    let sent = |_| matches!(entry.arrive(arrival()).1, action::Decision::Start(_));
    (0..100).map(sent).take_while(|it| *it).count()
}

/// Sends requests one after the other, each of which receives its first event after this time.
fn observe(entry: &mut Entry, count: usize, prompt_tokens: u64, millis: u64) {
    for _ in 0..count {
        let (number, decision) = entry.arrive(fixture::sized_arrival(prompt_tokens));
        fixture::started(&decision);
        entry.advance(millis);
        entry.begin_stream(number);
        // Twenty events of five tokens.
        entry.step(event::Event::EventsReceived(number, Some(20)));
        entry.step(event::Event::StreamCompleted(number));
    }
}

/// Guards against one limit for all requests: two groups of eight slots would take 16 requests, of which
/// those with prompts of 220 ms would be late.
#[test]
fn the_limit_depends_on_the_size_of_the_request() {
    let short = count_sent(&mut Entry::with_performance(), || fixture::sized_arrival(200));
    let long = count_sent(&mut Entry::with_performance(), || fixture::sized_arrival(2_200));
    let unknown = count_sent(&mut Entry::with_performance(), || fixture::arrival("stream"));

    assert_eq!((short, unknown), (16, 16));
    assert!((8..=12).contains(&long), "{long}");
}

/// Guards against declared figures that are too good: prompts of 1,500 tokens are predicted to begin
/// after 190 ms at nearly empty groups, and do so after 260 ms.
#[test]
fn observed_times_correct_the_limit() {
    let sent_after = |millis| {
        let mut entry = Entry::with_performance();
        observe(&mut entry, 200, 1_500, millis);
        count_sent(&mut entry, || fixture::sized_arrival(1_500))
    };

    let (as_predicted, slower) = (sent_after(190), sent_after(260));

    assert!(as_predicted == 16 && slower <= 10, "{as_predicted}, {slower} if slower");
}

/// Guards against a limit for all requests that decreases with each long prompt: it is late at an empty
/// group as well, and the model says so.
#[test]
fn late_responses_that_were_predicted_change_no_limit() {
    let mut entry = Entry::with_performance();
    let filling: Vec<u64> = (0..10).map(|_| entry.arrive(fixture::sized_arrival(200)).0).collect();

    entry.advance(70);
    filling.iter().for_each(|number| entry.begin_stream(*number));

    observe(&mut entry, 50, 5_000, 540);
    for number in filling {
        entry.step(event::Event::StreamCompleted(number));
    }
    let sent = count_sent(&mut entry, || fixture::arrival("stream"));

    assert!(sent >= 16, "{sent}");
}

/// Guards against an upstream, and the retry budget, that are used for a request which no group can run.
#[test]
fn a_request_larger_than_the_memory_is_rejected_at_once() {
    let mut entry = Entry::with_performance();

    let (_, decision) = entry.arrive(fixture::sized_arrival(50_000));

    let rejection = fixture::rejection(&decision);
    assert_eq!(rejection.reason, action::Reason::TooLarge);
    assert!(rejection.reason.is_not_run() && rejection.retry_after.is_some());
}

/// Guards against groups whose memory is exhausted before their slots: they would preempt requests and
/// process their prompts again.
#[test]
fn the_memory_bounds_the_requests_of_a_group() {
    let mut entry = Entry::with_performance();
    let (first, _) = entry.arrive(fixture::sized_arrival(20_000));

    let more = count_sent(&mut entry, || fixture::sized_arrival(20_000));
    entry.begin_stream(first);
    entry.step(event::Event::StreamCompleted(first));
    let after_one_ended = count_sent(&mut entry, || fixture::sized_arrival(20_000));

    // A group holds 38,000 tokens beside its margin.
    assert_eq!((more, after_one_ended), (1, 1));
}

/// Guards against a declaration without a memory, or requests without a size, that are bounded by it.
#[test]
fn an_undeclared_memory_bounds_nothing() {
    let performance =
        hyssopfork_fleet::declaration::Performance { memory_tokens: 0, ..fixture::performance() };
    let mut entry = Entry::with_performance_of(performance);

    let sent = count_sent(&mut entry, || fixture::sized_arrival(20_000));

    assert_eq!(sent, 16);
}

/// Guards against prediction errors that no metric shows.
#[test]
fn the_ratio_of_observed_to_predicted_time_is_measured() {
    let mut entry = Entry::with_performance();
    let measured = |entry: &mut Entry, arrival| {
        let (number, _) = entry.arrive(arrival);
        entry.advance(110);
        entry.begin_stream(number);
        let actions = entry.core.step(entry.now, event::Event::StreamCompleted(number));
        let ratios = actions.into_iter().filter_map(|action| match action {
            action::Action::Measure(measurement) => Some(measurement.first_event_ratio),
            _ => None,
        });
        ratios.collect::<Vec<_>>()
    };

    // The prediction is 20 ms for the prompt and 35 ms for five steps.
    assert_eq!(measured(&mut entry, fixture::sized_arrival(200)), [Some(2.0)]);
    assert_eq!(measured(&mut entry, fixture::arrival("stream")), [None]);
}
