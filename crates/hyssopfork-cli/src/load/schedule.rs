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
pub fn draw(
    arrivals: Arrivals,
    rate: f64,
    duration: Duration,
    random: &mut impl RngExt,
) -> Vec<Duration> {
    let mut due = Vec::new();
    let mut at = 0.0;
    loop {
        at += gap(arrivals, rate, random);
        if at >= duration.as_secs_f64() {
            return due;
        }
        due.push(Duration::from_secs_f64(at));
    }
}

fn gap(arrivals: Arrivals, rate: f64, random: &mut impl RngExt) -> f64 {
    match arrivals {
        Arrivals::Constant => 1.0 / rate,
        Arrivals::Poisson => {
            let uniform: f64 = random.random();
            -(1.0 - uniform).ln() / rate
        }
    }
}
