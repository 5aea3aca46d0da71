//! Expected output length of the requests of one route, learned from finished streams.
//!
//! A client's hint is often far off, so it is not taken as it is: a regression in the logarithms of both
//! shows how much of a hint's deviation from the typical hint is found in the outputs.

use crate::size;

/// Lowest weight of the newest sample (EWMA).
const MIN_SAMPLE_WEIGHT: f64 = 0.02;

/// Samples that the state before the first stream counts for.
const INITIAL_SAMPLES: f64 = 8.0;

/// Variance of the logarithm of the hints before the first stream.
const INITIAL_HINT_VARIANCE: f64 = 0.5;

/// Part of a hint's deviation that is believed before the first stream.
const INITIAL_SLOPE: f64 = 0.5;

/// Factor by which a hint can change the expected length, up or down.
const MAX_HINT_FACTOR: f64 = 4.0;

/// Estimator of the output length.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimator {
    samples: f64,
    mean: f64,
    hinted_samples: f64,
    /// Mean of outputs divided by the factor that their hints gave.
    hinted_mean: f64,
    /// Mean logarithm of the hints.
    log_hint: f64,
    /// Mean logarithm of the outputs with hints.
    log_output: f64,
    variance: f64,
    covariance: f64,
}

impl Estimator {
    /// Estimator before the first stream, with a typical number of output tokens.
    pub fn new(typical_tokens: f64) -> Estimator {
        let typical = typical_tokens.max(1.0);
        Estimator {
            samples: INITIAL_SAMPLES,
            mean: typical,
            hinted_samples: INITIAL_SAMPLES,
            hinted_mean: typical,
            log_hint: typical.ln(),
            log_output: typical.ln(),
            variance: INITIAL_HINT_VARIANCE,
            covariance: INITIAL_HINT_VARIANCE * INITIAL_SLOPE,
        }
    }

    /// Expected number of output tokens of a request of this size; at least 1.
    pub fn expected(&self, size: size::Size) -> f64 {
        let expected = match size.expected_output_tokens {
            Some(hint) => self.hinted_mean * self.hint_factor(hint),
            None => self.mean,
        };
        // Without a maximum the client sets none.
        let max =
            if size.max_output_tokens == 0 { size::MAX_TOKENS } else { size.max_output_tokens };
        expected.clamp(1.0, f64::from(max))
    }

    /// Adds a finished stream of this many tokens.
    pub fn record(&mut self, size: size::Size, output_tokens: f64) {
        let output = output_tokens.clamp(1.0, f64::from(size::MAX_TOKENS));
        self.samples += 1.0;
        self.mean += (output - self.mean) * sample_weight(self.samples);
        let Some(hint) = size.expected_output_tokens else { return };
        self.hinted_samples += 1.0;
        let weight = sample_weight(self.hinted_samples);
        self.hinted_mean += (output / self.hint_factor(hint) - self.hinted_mean) * weight;
        let hint_deviation = log_hint(hint) - self.log_hint;
        let output_deviation = output.ln() - self.log_output;
        self.log_hint += hint_deviation * weight;
        self.log_output += output_deviation * weight;
        let keep = 1.0 - weight;
        self.variance = keep * (self.variance + weight * hint_deviation * hint_deviation);
        self.covariance = keep * (self.covariance + weight * hint_deviation * output_deviation);
    }

    /// Factor by which a request with this hint is expected to differ from the typical one.
    fn hint_factor(&self, hint: u32) -> f64 {
        let slope =
            if self.variance > f64::EPSILON { self.covariance / self.variance } else { 0.0 };
        let factor = (slope.clamp(0.0, 1.0) * (log_hint(hint) - self.log_hint)).exp();
        factor.clamp(1.0 / MAX_HINT_FACTOR, MAX_HINT_FACTOR)
    }
}

fn log_hint(hint: u32) -> f64 {
    f64::from(hint.max(1)).ln()
}

fn sample_weight(samples: f64) -> f64 {
    (1.0 / samples).max(MIN_SAMPLE_WEIGHT)
}
