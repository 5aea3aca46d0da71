//! Parameters of the model, with their reasons. None comes from a real engine: the users have not
//! named theirs yet.

use std::time::Duration;

/// Upstreams of the pool: the size of the users' pools today.
pub const UPSTREAMS: usize = 30;

/// Availability zones: the present number.
pub const ZONES: usize = 3;

/// Entry processes in front of the pool: "a few".
pub const ENTRIES: usize = 3;

/// Requests that an upstream runs in one batch, and its declared concurrency: its memory for
/// contexts is full then, and further requests wait inside it.
pub const BATCH_SIZE: usize = 16;

/// Time of a decoding step with an empty batch: reading the weights once.
pub const STEP_TIME: Duration = Duration::from_millis(20);

/// Additional time of a step for each request in the batch: reading its context. With a full batch
/// a token takes 36 ms, within the 43 ms that 95 in 100 are promised in two years.
pub const STEP_TIME_PER_REQUEST: Duration = Duration::from_millis(1);

/// Cost of a prompt token as a share of a generated one's: prompts are computed in parallel.
pub const PREFILL_COST: f64 = 0.01;

/// Requests inside an upstream, running and waiting, at which it runs out of memory and crashes.
pub const CRASH_REQUESTS: usize = 192;

/// Time until a crashed upstream runs again, cold.
pub const RESTART_TIME: Duration = Duration::from_secs(10);

/// Requests that a cold upstream handles; more than one and a half times as many crash it.
pub const COLD_CAPACITY: f64 = 4.0;

/// Growth of a cold upstream's capacity with each completed request, up to the batch size.
pub const COLD_GROWTH: f64 = 1.0;

/// Speed of an upstream that has completed no request, as a share of a warm one's.
pub const COLD_SPEED: f64 = 0.25;

/// Prompt prefixes that an upstream's memory holds beside the contexts.
pub const CACHED_PREFIXES: usize = 32;

/// One-way delay between an entry process and an agent, within a zone or between nearby ones.
pub const NETWORK_DELAY: Duration = Duration::from_millis(1);

/// Interval between two ticks of an entry process.
pub const TICK_INTERVAL: Duration = Duration::from_millis(10);

/// Prompt and response of a short request, in tokens: a summary of a page.
pub const SHORT_TOKENS: (f64, f64) = (400.0, 48.0);

/// Time within which a short request's response must start.
pub const SHORT_START_TIMEOUT: Duration = Duration::from_secs(2);

/// Size of a long job as a multiple of a short request.
pub const LONG_FACTOR: f64 = 100.0;

/// Time within which a long job's response must start.
pub const LONG_START_TIMEOUT: Duration = Duration::from_secs(60);

/// Prompt and response of a status check, in tokens.
pub const STATUS_TOKENS: (f64, f64) = (10.0, 1.0);

/// Time within which a status check's response must start.
pub const STATUS_START_TIMEOUT: Duration = Duration::from_secs(1);

/// Teams of the pool; their shares of the load are proportional to one over their rank (Zipf).
pub const TEAMS: usize = 10;

/// Largest error of the entry processes' cost estimates: a factor between one over this and this.
pub const ESTIMATE_SPREAD: f64 = 2.0;

/// Cost of one short request, in generated tokens.
pub const fn short_request_tokens() -> f64 {
    SHORT_TOKENS.0 * PREFILL_COST + SHORT_TOKENS.1
}

/// Short requests per second that `upstreams` warm upstreams serve with full batches and without
/// cached prompts.
pub fn capacity(upstreams: usize) -> f64 {
    let step = STEP_TIME.as_secs_f64() + STEP_TIME_PER_REQUEST.as_secs_f64() * BATCH_SIZE as f64;
    upstreams as f64 * BATCH_SIZE as f64 / step / short_request_tokens()
}
