//! Predictions of the times of requests at a group of engines.

use crate::fixture;
use hyssopfork_fleet::declaration;
use hyssopfork_gateway::engine_model::{self, Correction, Group, MAX_PREDICTION, Mix, Need};
use hyssopfork_gateway::size::{MAX_TOKENS, Size};
use hyssopfork_wire::name;
use proptest::prelude::*;
use std::time::Duration;

fn group_with(slots: u32, pace: f64, performance: declaration::Performance) -> Option<Group> {
    let declaration = fixture::declaration_with(performance);
    let mut engine =
        declaration.pools[&name::Pool::from("engines")].engine.clone().expect("a pool of engines");
    engine.slots = slots;
    engine.models[0].pace = pace;
    Group::new(&engine, &name::Model::from("large"))
}

fn group(slots: u32) -> Group {
    group_with(slots, 1.0, fixture::performance()).expect("plausible figures")
}

fn need(prompt: u64, output: f64) -> Need {
    Need::new(Size::new(prompt, 1_000, None), output, 0)
}

fn mix() -> Mix {
    Mix::new(&fixture::performance())
}

/// Time to the first event without a correction.
fn first_event(group: Group, need: Need, load: f64) -> Duration {
    group.first_event(need, load, &mix(), Correction::default()).by_figures
}

/// Limit for a request with a prompt of this many tokens and 300 ms to its first event.
fn corrected_limit(prompt: u64, correction: Correction) -> f64 {
    group(8).limit(need(prompt, 100.0), Duration::from_millis(300), &mix(), correction)
}

/// The times of the fixture's figures, computed by hand: a step of 14 ms with eight requests, a prompt
/// of 200 tokens in 20 ms.
#[test]
fn times_follow_the_declared_figures() {
    let group = group(8);

    assert_eq!(group.work(need(200, 100.0), &mix()), Duration::from_millis(20 + 175));
    assert_eq!(group.event_interval(1.0, &mix()), Duration::from_millis(5 * 7));
    assert_eq!(first_event(group, need(200, 100.0), 0.0), Duration::from_millis(20 + 35));
    // Seven others process their prompts of 20 ms within 100 steps.
    assert_eq!(group.event_interval(8.0, &mix()), Duration::from_millis(5 * 14 + 7));
}

/// Guards against a concurrency in other units than the slots of a full group: the work of the
/// requests that a full group runs must fill its time.
#[test]
fn the_work_of_a_full_batch_fills_its_time() {
    let group = group(8);

    let duration = group.duration(mix().mean(), 8.0, &mix());

    assert_eq!(group.work(mix().mean(), &mix()) * 8, duration);
    assert!((group.throughput(&mix()) - 8.0 / duration.as_secs_f64()).abs() < 1e-6);
}

#[test]
fn a_long_prompt_takes_more_of_a_group_than_a_short_one() {
    let group = group(8);

    let long = group.work(need(2_000, 100.0), &mix());

    assert_eq!(long, Duration::from_millis(200 + 175));
}

#[test]
fn a_pace_applies_to_all_times() {
    let slow = group_with(8, 2.0, fixture::performance()).expect("plausible figures");

    assert_eq!(slow.work(need(200, 100.0), &mix()), group(8).work(need(200, 100.0), &mix()) * 2);
    let of_short = |group| first_event(group, need(200, 100.0), 9.0);
    assert_eq!(of_short(slow), of_short(group(8)) * 2);
}

/// Guards against a prediction by slots that the memory doesn't allow to fill.
#[test]
fn the_memory_limits_the_batch() {
    let performance = declaration::Performance { memory_tokens: 1_000, ..fixture::performance() };

    let group = group_with(8, 1.0, performance).expect("plausible figures");

    assert_eq!(group.full_batch(&mix()), 4.0);
}

/// Guards against preemption: others' requests are as large as the entry's own, of which there are few.
#[test]
fn the_tokens_of_a_group_are_extrapolated_from_the_own_ones() {
    let memory = group(8).memory(need(9_900, 100.0), &mix()).expect("a declared memory");

    // Of 38,000 tokens, two own requests have 20,000 and two others 13,533.
    assert!(memory.excess(2, 20_000, 4.0) > 0.0);
    assert!(memory.excess(2, 20_000, 2.0) < 0.0);
    assert!(memory.excess(2, 600, 8.0) < 0.0);
    // Of forty requests with 80,000 tokens, eight run.
    assert!(memory.excess(40, 80_000, 40.0) < 0.0);
}

/// Guards against a request that no group ever takes because a margin is kept for others.
#[test]
fn a_request_of_the_size_of_the_memory_fits_into_an_empty_group() {
    let need = need(39_900, 100.0);
    let memory = group(8).memory(need, &mix()).expect("a declared memory");

    assert!(group(8).fits(need));
    assert!(memory.excess(0, 0, 0.4) <= 0.0);
    assert!(memory.excess(1, 300, 1.0) > 0.0);
}

#[test]
fn a_request_beyond_the_slots_waits_for_one() {
    let group = group(8);

    let free = first_event(group, mix().mean(), 7.0);
    let waiting = first_event(group, mix().mean(), 9.0);

    let places = 2.0 / group.throughput(&mix());
    assert!(((waiting - free).as_secs_f64() - places).abs() < 1e-6, "{free:?}, {waiting:?}");
    assert_eq!(
        engine_model::time_until_place(9.0, 8.0, group.throughput(&mix())).as_millis(),
        (places * 1e3) as u128
    );
}

/// Guards against a fixed limit: with a full batch, a request whose first event takes 97 ms of 300 ms
/// can wait for a place, one whose prompt takes 220 ms can't be on time, and one of 5,000 tokens is late
/// at an empty group as well.
#[test]
fn the_limit_is_the_highest_load_at_which_a_request_is_on_time() {
    let limit = |prompt| corrected_limit(prompt, Correction::default());
    let begins = |prompt, load| first_event(group(8), need(prompt, 100.0), load).as_millis();

    let (short, long, longest) = (limit(200), limit(2_200), limit(5_000));

    assert!((8.3..8.5).contains(&short), "{short}");
    assert!(begins(200, short - 1.0) < 300);
    assert!((6.0..7.0).contains(&long), "{long}");
    assert_eq!(begins(2_200, long - 1.0), 300);
    assert_eq!(longest, 8.0);
}

/// Guards against groups whose own queues are filled because requests have time.
#[test]
fn requests_with_much_time_wait_in_small_numbers() {
    let limit =
        group(48).limit(need(200, 100.0), Duration::from_secs(30), &mix(), Correction::default());

    assert_eq!(limit, 48.0 * 1.25);
}

#[test]
fn the_correction_follows_observed_times() {
    let mut correction = Correction::default();
    let (predicted, observed) = (Duration::from_millis(100), Duration::from_millis(150));

    (0..300).for_each(|_| correction.record(predicted, observed));

    assert!((1.45..1.51).contains(&correction.factor()), "{}", correction.factor());
}

/// Guards against more waiting requests than places become free, because first events come earlier after
/// a prompt than predicted.
#[test]
fn a_correction_below_one_shortens_no_wait() {
    let mut correction = Correction::default();
    let predicted = Duration::from_millis(100);
    (0..300).for_each(|_| correction.record(predicted, predicted / 2));

    let waiting = group(8).first_event(mix().mean(), 9.0, &mix(), correction);
    let limit = corrected_limit(200, correction);

    // Two places become free within 390 ms, and 97 ms are halved.
    assert!((435..442).contains(&waiting.corrected.as_millis()), "{waiting:?}");
    // Of 300 ms, 251 ms are left to wait: 1.29 places on average.
    assert!((8.5..8.6).contains(&limit), "{limit}");
}

/// Guards against a model that one stalled engine makes seem slow, and against a division by zero.
#[test]
fn a_few_absurd_times_hardly_change_the_correction() {
    let mut correction = Correction::default();
    let predicted = Duration::from_millis(100);
    (0..300).for_each(|_| correction.record(predicted, predicted));

    (0..3).for_each(|_| correction.record(predicted, Duration::from_secs(60)));
    correction.record(Duration::ZERO, predicted);
    correction.record(Duration::ZERO, Duration::ZERO);

    assert!(correction.factor() < 1.1, "{}", correction.factor());
}

#[test]
fn missing_and_implausible_figures_disable_the_model() {
    use declaration::Performance;
    let declared = fixture::performance();

    let implausible = [
        group_with(0, 1.0, declared),
        group_with(8, 0.0, declared),
        group_with(8, f64::NAN, declared),
        group_with(8, 1.0, Performance { step: Duration::ZERO, ..declared }),
        group_with(8, 1.0, Performance { step: Duration::MAX, ..declared }),
        group_with(8, 1.0, Performance { step_per_request: Duration::MAX, ..declared }),
        group_with(8, 1.0, Performance { prefill_rate: f64::NAN, ..declared }),
        group_with(8, 1.0, Performance { prefill_rate: -1.0, ..declared }),
    ];

    assert_eq!(implausible, [None; 8]);
}

proptest! {
    /// Guards against a panic or an endless wait by a request or declaration with absurd figures.
    #[test]
    fn predictions_are_bounded(
        prompt: u64,
        output in prop::num::f64::ANY,
        generated: u64,
        load in prop::num::f64::ANY,
        means: (u32, u32, u64, u32),
        millis in 0..u64::MAX / 1_000_000,
        slots in 1u32..,
    ) {
        let performance = declaration::Performance {
            mean_prompt_tokens: means.0,
            mean_output_tokens: means.1,
            memory_tokens: means.2,
            prefill_chunk: means.3,
            prefill_per_million_pairs: Duration::from_millis(millis),
            ..fixture::performance()
        };
        let group = group_with(slots, 1.0, performance).expect("plausible figures");
        let mut mix = Mix::new(&performance);
        let need = Need::new(Size::new(prompt, prompt, Some(prompt)), output, generated);
        mix.record(need);
        let mut correction = Correction::default();
        correction.record(Duration::from_millis(millis), Duration::from_millis(prompt >> 20));

        let first = group.first_event(need, load, &mix, correction).corrected;
        let interval = group.event_interval(load, &mix);
        let limit = group.limit(need, first, &mix, correction);
        let (duration, work) = (group.duration(need, load, &mix), group.work(need, &mix));

        prop_assert!([first, interval, duration, work].iter().all(|it| *it <= MAX_PREDICTION));
        prop_assert!((0.5..=f64::from(slots) * 1.25).contains(&limit), "{limit}");
        prop_assert!(group.memory(need, &mix).is_none_or(|it| !it.excess(1, prompt, load).is_nan()));
        prop_assert!(group.slot_seconds(need, &mix).is_finite());
        prop_assert!(group.throughput(&mix).is_finite() && group.throughput(&mix) > 0.0);
        prop_assert!(need.memory_tokens() <= 3.0 * f64::from(MAX_TOKENS));
    }
}
