//! Learned output length.

use hyssopfork_gateway::output_length::Estimator;
use hyssopfork_gateway::size::Size;

fn size(hint: Option<u64>) -> Size {
    Size::new(100, 4_000, hint)
}

/// Estimator after 300 streams whose outputs in tokens are given with their hints.
fn learned(stream: impl Fn(u64) -> (Option<u64>, f64)) -> Estimator {
    let mut estimator = Estimator::new(135.0);
    for number in 0..300 {
        let (hint, output) = stream(number);
        estimator.record(size(hint), output);
    }
    estimator
}

#[test]
fn the_expected_length_follows_finished_streams() {
    let estimator = learned(|number| (None, if number % 2 == 0 { 300.0 } else { 500.0 }));

    let expected = estimator.expected(size(None));

    assert!((390.0..410.0).contains(&expected), "{expected}");
}

/// Guards against trust in hints that say nothing: they would make requests seem ten times as large
/// or small as they are.
#[test]
fn hints_without_relation_to_the_outputs_are_ignored() {
    let estimator = learned(|number| (Some([20, 60, 200, 600][number as usize % 4]), 100.0));

    let (low, high) = (estimator.expected(size(Some(20))), estimator.expected(size(Some(600))));

    assert!(low > 90.0 && high < 110.0, "{low} to {high}");
}

#[test]
fn hints_that_fit_the_outputs_are_followed() {
    let hints = [60, 120, 240];
    let estimator =
        learned(|number| (Some(hints[number as usize % 3]), hints[number as usize % 3] as f64));

    let (low, high) = (estimator.expected(size(Some(60))), estimator.expected(size(Some(240))));

    assert!((50.0..75.0).contains(&low) && (210.0..270.0).contains(&high), "{low} to {high}");
}

/// Guards against a hint that counts as it is given before anything is known of the hints.
#[test]
fn a_hint_is_followed_half_way_before_the_first_stream() {
    let estimator = Estimator::new(135.0);

    assert_eq!(estimator.expected(size(None)).round(), 135.0);
    assert_eq!(estimator.expected(size(Some(540))).round(), 270.0);
    assert!(estimator.expected(size(Some(u64::MAX))) <= 540.0);
}

#[test]
fn the_stated_maximum_bounds_the_expected_length() {
    let estimator = Estimator::new(135.0);

    assert_eq!(estimator.expected(Size::new(100, 20, Some(400))), 20.0);
}
