//! When requests are due.

use rand::RngExt;
use std::time::Duration;

/// How arrivals are spread.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum Arrivals {
    /// Independent of each other, as from many callers: gaps are exponentially distributed.
    Poisson,
    /// Evenly spaced.
    Constant,
}

/// Due times within `duration`, ascending.
pub fn sample_due_times(
    arrivals: Arrivals,
    rate: f64,
    duration: Duration,
    random: &mut impl RngExt,
) -> Vec<Duration> {
    let limit = duration.as_secs_f64();
    let mut at = 0.0;
    let next_due = |number: u32| {
        at = match arrivals {
            // From the number and not from the time before, so that rounding doesn't add up.
            Arrivals::Constant => f64::from(number) / rate,
            Arrivals::Poisson => at + sample_gap(rate, random),
        };
        at
    };
    let times = (1..).map(next_due).take_while(|&at| at < limit);
    times.map(Duration::from_secs_f64).collect()
}

/// A gap whose mean is the inverse of the rate.
fn sample_gap(rate: f64, random: &mut impl RngExt) -> f64 {
    let uniform: f64 = random.random();
    -(1.0 - uniform).ln() / rate
}
