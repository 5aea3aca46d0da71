//! Due times of requests.

use rand::RngExt;
use std::time::Duration;

/// Distribution of arrivals.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum Arrivals {
    /// Independent of each other, as from many clients: gaps are exponentially distributed.
    Poisson,
    /// Evenly spaced.
    Constant,
}

/// Samples the due times within `duration`, in ascending order.
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
            // Computed from the number, so that rounding errors do not accumulate.
            Arrivals::Constant => f64::from(number) / rate,
            Arrivals::Poisson => at + sample_gap(rate, random),
        };
        at
    };
    let times = (1..).map(next_due).take_while(|&at| at < limit);
    times.map(Duration::from_secs_f64).collect()
}

/// Samples a gap with mean `1 / rate`.
fn sample_gap(rate: f64, random: &mut impl RngExt) -> f64 {
    let uniform: f64 = random.random();
    -(1.0 - uniform).ln() / rate
}
