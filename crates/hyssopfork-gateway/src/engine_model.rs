//! Model of a group of engines: how long its declared figures let a request wait and run.
//!
//! A group runs up to its slots of requests concurrently, in steps that generate one token for each of
//! them, and processes prompts between the steps. Requests beyond the slots wait for one. All
//! predictions are pure functions of the declared figures, the typical request of the model
//! ([`Mix`]) and the number of requests at the group; what they leave out, such as the network, a
//! [`Correction`] learns from the responses.
//!
//! Invariant: each predicted time is finite and from 0 to [`MAX_PREDICTION`].

use crate::size;
use hyssopfork_fleet::declaration;
use hyssopfork_wire::name;
use std::time::Duration;

/// Longest time that is predicted.
pub const MAX_PREDICTION: Duration = Duration::from_secs(60);

/// Shortest and longest decoding step of a plausible declaration, in seconds.
const STEP_RANGE: (f64, f64) = (1e-6, 10.0);

/// Lowest and highest plausible pace of a model.
const PACE_RANGE: (f64, f64) = (0.01, 100.0);

/// Lowest plausible number of prompt tokens that are processed per second.
const MIN_PREFILL_RATE: f64 = 1.0;

/// Mean number of prompt tokens if none is declared.
const DEFAULT_PROMPT_TOKENS: f64 = 512.0;

/// Mean number of output tokens if none is declared.
pub const DEFAULT_OUTPUT_TOKENS: f64 = 128.0;

/// Samples that a declared mean counts for.
const DECLARED_MEAN_SAMPLES: f64 = 20.0;

/// Lowest weight of the newest request in a [`Mix`] (EWMA).
const MIN_MIX_WEIGHT: f64 = 0.01;

/// Tokens of a request in a [`Mix`], in multiples of the mean: one absurd request must not change the
/// prediction for all others.
const MAX_MIX_SAMPLE_FACTOR: f64 = 16.0;

/// Standard deviations of the time until places become free that are kept for a request that waits:
/// requests end at random times, so it would be late about half of the time without them.
const WAIT_DEVIATIONS: f64 = 1.0;

/// Most requests that wait for a place, as a part of the slots. A group's own queue holds some more
/// requests than its slots and rejects others.
const MAX_WAITING_RATIO: f64 = 0.25;

/// Lowest limit, as a part of a full batch: fewer requests share the fixed time of a step, so that a group
/// loses throughput with a lower limit.
const MIN_LIMIT_RATIO: f64 = 0.6;

/// Lowest weight of the newest response in a [`Correction`] (EWMA).
const MIN_CORRECTION_WEIGHT: f64 = 0.02;

/// Samples that the initial correction counts for.
const INITIAL_CORRECTION_SAMPLES: f64 = 10.0;

/// Bounds of the ratio of an observed time to the predicted one. A stalled engine must not count as a
/// slow model.
const SAMPLE_RATIO_RANGE: (f64, f64) = (0.25, 4.0);

/// Bounds of a correction.
const CORRECTION_RANGE: (f64, f64) = (0.5, 3.0);

/// Part of a group's memory that is kept free: outputs are longer or shorter than expected.
const MEMORY_MARGIN: f64 = 0.05;

/// Tokens that a request is expected to need.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Need {
    /// Tokens of the prompt, including those of an output that is continued.
    pub prompt_tokens: f64,
    /// Output tokens; at least 1.
    pub output_tokens: f64,
}

impl Need {
    /// Need of a request of this size with this expected output. `generated` tokens of the output
    /// exist already and are processed with the prompt.
    pub fn new(size: size::Size, expected_output: f64, generated: u64) -> Need {
        let max_tokens = f64::from(size::MAX_TOKENS);
        let generated = (generated as f64).min(max_tokens);
        Need {
            prompt_tokens: f64::from(size.prompt_tokens) + generated,
            output_tokens: (expected_output.min(max_tokens) - generated).max(1.0),
        }
    }

    /// Tokens in the group's memory when the output is complete.
    pub fn memory_tokens(self) -> f64 {
        self.prompt_tokens + self.output_tokens
    }

    /// Mean number of tokens in the group's memory while the output is generated.
    fn mean_context(self) -> f64 {
        self.prompt_tokens + self.output_tokens / 2.0
    }
}

/// Typical request of a model (EWMA).
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Mix {
    mean: Need,
    samples: f64,
}

impl Mix {
    /// Mix before the first request, with the declared means.
    pub fn new(performance: &declaration::Performance) -> Mix {
        let is_declared = performance.mean_prompt_tokens > 0 && performance.mean_output_tokens > 0;
        let declared = |tokens: u32, default: f64| {
            if tokens == 0 { default } else { f64::from(tokens.min(size::MAX_TOKENS)) }
        };
        Mix {
            mean: Need {
                prompt_tokens: declared(performance.mean_prompt_tokens, DEFAULT_PROMPT_TOKENS),
                output_tokens: declared(performance.mean_output_tokens, DEFAULT_OUTPUT_TOKENS),
            },
            samples: if is_declared { DECLARED_MEAN_SAMPLES } else { 0.0 },
        }
    }

    /// Adds a request that arrived.
    pub fn record(&mut self, need: Need) {
        self.samples += 1.0;
        let weight = (1.0 / self.samples).max(MIN_MIX_WEIGHT);
        let update = |mean: &mut f64, sample: f64| {
            *mean += (sample.min(*mean * MAX_MIX_SAMPLE_FACTOR) - *mean) * weight;
            *mean = mean.max(1.0);
        };
        update(&mut self.mean.prompt_tokens, need.prompt_tokens);
        update(&mut self.mean.output_tokens, need.output_tokens);
    }

    /// The typical request.
    pub fn mean(&self) -> Need {
        self.mean
    }
}

/// Figures of one group, with the pace of its model applied.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Group {
    slots: f64,
    /// Seconds of a step.
    step: f64,
    /// Seconds of a step for each running request.
    step_per_request: f64,
    /// Seconds of a step for each token of context.
    step_per_token: f64,
    /// Seconds for each token of a prompt.
    prefill_per_token: f64,
    /// Seconds for each pair of a token of a prompt and an earlier one.
    prefill_per_pair: f64,
    prefill_chunk: f64,
    stride: u32,
    /// Tokens of context that the memory holds; `None` if it is not declared.
    memory_tokens: Option<f64>,
}

impl Group {
    /// Group of a pool that serves this model; `None` if figures are missing or implausible.
    pub fn new(engine: &declaration::Engine, model: &name::Model) -> Option<Group> {
        let performance = engine.performance?;
        let pace = engine.models.iter().find(|it| it.name == *model)?.pace;
        let within = |value: f64, range: (f64, f64)| (range.0..=range.1).contains(&value);
        let step = performance.step.as_secs_f64();
        let step_per_request = performance.step_per_request.as_secs_f64();
        let step_per_token = performance.step_per_thousand_tokens.as_secs_f64() / 1_000.0;
        let pairs = performance.prefill_per_million_pairs.as_secs_f64() / 1e6;
        let is_plausible = engine.slots > 0
            && within(pace, PACE_RANGE)
            && within(step, STEP_RANGE)
            && step_per_request <= STEP_RANGE.1
            && step_per_token <= STEP_RANGE.1
            && performance.prefill_rate.is_finite()
            && performance.prefill_rate >= MIN_PREFILL_RATE;
        let chunk = performance.prefill_chunk;
        is_plausible.then(|| Group {
            slots: f64::from(engine.slots),
            step: step * pace,
            step_per_request: step_per_request * pace,
            step_per_token: step_per_token * pace,
            prefill_per_token: pace / performance.prefill_rate,
            prefill_per_pair: pairs * pace,
            prefill_chunk: if chunk == 0 { f64::from(size::MAX_TOKENS) } else { f64::from(chunk) },
            stride: performance.stride.max(1),
            memory_tokens: (performance.memory_tokens > 0)
                .then_some(performance.memory_tokens as f64),
        })
    }

    /// Tokens of one event of a stream.
    pub fn stride(&self) -> u32 {
        self.stride
    }

    /// Requests that run concurrently if enough are there; less than the slots if the memory holds
    /// fewer.
    pub fn full_batch(&self, mix: &Mix) -> f64 {
        let by_memory = self.memory_tokens.map(|tokens| tokens / mix.mean.mean_context());
        by_memory.map_or(self.slots, |requests| requests.min(self.slots)).max(1.0)
    }

    /// Part of a full group's time that the request takes: its prompt and its share of the steps of
    /// a full batch.
    pub fn work(&self, need: Need, mix: &Mix) -> Duration {
        let own_step = self.step / self.full_batch(mix)
            + self.step_per_request
            + self.step_per_token * need.mean_context();
        prediction(self.prefill_seconds(need) + need.output_tokens * own_step)
    }

    /// [`Group::work`] in multiples of a slot, in seconds: the concurrency that one such request per
    /// second amounts to.
    pub fn slot_seconds(&self, need: Need, mix: &Mix) -> f64 {
        self.work(need, mix).as_secs_f64() * self.slots
    }

    /// Time that the request runs in a group with `running` requests, including it.
    pub fn duration(&self, need: Need, running: f64, mix: &Mix) -> Duration {
        let seconds =
            self.prefill_seconds(need) + need.output_tokens * self.step_seconds(running, mix);
        prediction(seconds)
    }

    /// Time between two events of a stream in a group with `running` requests.
    pub fn event_interval(&self, running: f64, mix: &Mix) -> Duration {
        prediction(f64::from(self.stride) * self.step_seconds(running, mix))
    }

    /// Typical requests that a full group completes per second.
    pub fn throughput(&self, mix: &Mix) -> f64 {
        1.0 / self.work(mix.mean, mix).as_secs_f64().max(STEP_RANGE.0)
    }

    /// Time from the arrival of a request to its first event at a group that has `load` other
    /// requests.
    pub fn first_event(
        &self,
        need: Need,
        load: f64,
        mix: &Mix,
        correction: Correction,
    ) -> Prediction {
        let batch = self.full_batch(mix);
        let waiting = time_until_place(load, batch, self.throughput(mix)).as_secs_f64();
        let running = (load.max(0.0) + 1.0).min(batch);
        let beginning = self.first_event_seconds(need, running, mix);
        let factor = correction.factor();
        Prediction {
            by_figures: prediction(waiting + beginning),
            corrected: prediction(waiting * factor.max(1.0) + beginning * factor),
        }
    }

    /// Requests that the group may have, including this one, so that its first event is predicted
    /// within `time`.
    ///
    /// A request that can't begin in time even at an empty group gets the limit of a full batch:
    /// fewer requests at the group would not make it be on time.
    pub fn limit(&self, need: Need, time: Duration, mix: &Mix, correction: Correction) -> f64 {
        let factor = correction.factor();
        let time = time.as_secs_f64() / factor;
        let batch = self.full_batch(mix);
        let at_full = self.first_event_seconds(need, batch, mix);
        if at_full <= time {
            let places = (time - at_full) * factor.min(1.0) * self.throughput(mix);
            // The deviation of the time until some places become free grows with their square root.
            let root =
                ((WAIT_DEVIATIONS * WAIT_DEVIATIONS + 4.0 * places).sqrt() - WAIT_DEVIATIONS) / 2.0;
            return batch + (root * root).min(self.slots * MAX_WAITING_RATIO);
        }
        let at_empty = self.first_event_seconds(need, 1.0, mix);
        if at_empty > time {
            return batch;
        }
        // The time grows linearly with the running requests.
        let running = 1.0 + (batch - 1.0) * (time - at_empty) / (at_full - at_empty);
        running.max(batch * MIN_LIMIT_RATIO)
    }

    /// Whether the memory holds the request alone; if not, the group never runs it.
    pub fn fits(&self, need: Need) -> bool {
        self.memory_tokens.is_none_or(|tokens| need.memory_tokens() <= tokens)
    }

    /// Bound of the tokens at a group for this request; `None` if the memory is not declared.
    pub fn memory(&self, need: Need, mix: &Mix) -> Option<Memory> {
        let capacity = self.memory_tokens?;
        Some(Memory {
            capacity: capacity * (1.0 - MEMORY_MARGIN),
            need: need.memory_tokens(),
            typical: mix.mean.memory_tokens(),
            slots: self.slots,
        })
    }

    /// Time from the beginning of the request's prompt to its first event, with `running` requests.
    fn first_event_seconds(&self, need: Need, running: f64, mix: &Mix) -> f64 {
        self.prefill_seconds(need) + self.first_steps(need) * self.step_seconds(running, mix)
    }

    /// Steps until the first event: one after each chunk of the prompt but the last, and a stride.
    fn first_steps(&self, need: Need) -> f64 {
        (need.prompt_tokens / self.prefill_chunk).ceil().max(1.0) - 1.0 + f64::from(self.stride)
    }

    fn prefill_seconds(&self, need: Need) -> f64 {
        let tokens = need.prompt_tokens;
        tokens * self.prefill_per_token + tokens * tokens / 2.0 * self.prefill_per_pair
    }

    /// Mean time of a step, including the other requests' prompts that are processed before it.
    fn step_seconds(&self, running: f64, mix: &Mix) -> f64 {
        let running = running.max(1.0);
        let context = mix.mean.mean_context();
        let step = self.step + running * (self.step_per_request + context * self.step_per_token);
        // While a request generates its output, each of the others begins once on average.
        let prompts = (running - 1.0) * self.prefill_seconds(mix.mean) / mix.mean.output_tokens;
        step + prompts
    }
}

/// Correction of the predicted time to the first event of a model's requests, learned from responses
/// (EWMA of the logarithm of the ratio, which a few very late responses hardly change).
///
/// It can lengthen the predicted wait for a place but not shorten it: first events that come early after
/// short waits or none don't show that requests end earlier.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Correction {
    log_ratio: f64,
    samples: f64,
}

impl Default for Correction {
    /// No correction.
    fn default() -> Correction {
        Correction { log_ratio: 0.0, samples: INITIAL_CORRECTION_SAMPLES }
    }
}

impl Correction {
    /// Adds a first event that came after `observed`, while the uncorrected prediction was
    /// `predicted`.
    pub fn record(&mut self, predicted: Duration, observed: Duration) {
        let Some(ratio) = ratio(observed, predicted) else { return };
        let sample = ratio.clamp(SAMPLE_RATIO_RANGE.0, SAMPLE_RATIO_RANGE.1).ln();
        self.samples += 1.0;
        let weight = (1.0 / self.samples).max(MIN_CORRECTION_WEIGHT);
        self.log_ratio += (sample - self.log_ratio) * weight;
    }

    /// Factor of predicted times.
    pub fn factor(&self) -> f64 {
        self.log_ratio.exp().clamp(CORRECTION_RANGE.0, CORRECTION_RANGE.1)
    }
}

/// Observed time in multiples of the predicted one; `None` if there is nothing to compare.
pub fn ratio(observed: Duration, predicted: Duration) -> Option<f64> {
    let ratio = observed.as_secs_f64() / predicted.as_secs_f64();
    ratio.is_finite().then_some(ratio)
}

/// Bound of the tokens at a group for one request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Memory {
    /// Tokens that the memory holds, less a margin.
    capacity: f64,
    /// Tokens of the request.
    need: f64,
    /// Tokens of a typical request.
    typical: f64,
    slots: f64,
}

impl Memory {
    /// Typical requests by which a group with `load` requests exceeds the memory with this one; not
    /// above 0 if it fits. Of the load, the entry's `own_requests` have `own_tokens` tokens; the others
    /// are assumed to be like them. Requests that wait for a slot use no memory.
    ///
    /// A request fits into an empty group in any case: the margin is for others that run with it.
    pub fn excess(&self, own_requests: u32, own_tokens: u64, load: f64) -> f64 {
        if load < 1.0 {
            return 0.0;
        }
        let load = load.min(f64::from(u32::MAX));
        let (own_requests, own_tokens) = (f64::from(own_requests), own_tokens as f64);
        let mean = (own_tokens + self.typical) / (own_requests + 1.0);
        let tokens = own_tokens + (load - own_requests).max(0.0) * mean;
        let running_ratio = (self.slots / load).min(1.0);
        (tokens * running_ratio + self.need - self.capacity) / self.typical.max(1.0)
    }
}

/// What the selection of a group for one request depends on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Forecast {
    /// Requests that a group may have, including this one, so that it begins on time.
    pub limit: f64,
    /// Requests that a full group completes per second.
    pub throughput: f64,
    /// Bound of the tokens at a group; `None` if its memory is not declared.
    pub memory: Option<Memory>,
}

/// Predicted time to the first event of an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Prediction {
    /// Time by the declared figures.
    pub by_figures: Duration,
    /// Time with the correction of the model.
    pub corrected: Duration,
}

/// Time until a group with `load` requests, of which it may have `limit`, has a place for another one;
/// it completes `throughput` requests per second.
pub fn time_until_place(load: f64, limit: f64, throughput: f64) -> Duration {
    prediction((load + 1.0 - limit).max(0.0) / throughput)
}

/// The time, within the bounds of a prediction.
fn prediction(seconds: f64) -> Duration {
    let max = MAX_PREDICTION.as_secs_f64();
    if seconds.is_nan() { MAX_PREDICTION } else { Duration::from_secs_f64(seconds.clamp(0.0, max)) }
}
