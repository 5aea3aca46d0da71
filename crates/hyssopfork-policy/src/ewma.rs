//! Exponentially weighted moving average (EWMA): a sample's weight decays with the number of later
//! samples, by a factor of e over each `span` of them.

/// Exponentially weighted moving average; empty until the first sample.
#[derive(Clone, Copy, Debug)]
pub struct Ewma {
    span: f64,
    sample_count: f64,
    mean: f64,
}

impl Ewma {
    /// An empty average over about the last `span` samples.
    pub const fn new(span: f64) -> Ewma {
        Ewma { span, sample_count: 0.0, mean: 0.0 }
    }

    /// Adds a sample. The first `span` samples weigh alike, so that the mean is accurate early.
    pub fn add(&mut self, sample: f64) {
        self.sample_count = (self.sample_count + 1.0).min(self.span);
        self.mean += (sample - self.mean) / self.sample_count;
    }

    /// The mean; `None` before the first sample.
    pub fn mean(&self) -> Option<f64> {
        (self.sample_count > 0.0).then_some(self.mean)
    }

    /// Number of samples added, at most the span.
    pub fn sample_count(&self) -> f64 {
        self.sample_count
    }
}
