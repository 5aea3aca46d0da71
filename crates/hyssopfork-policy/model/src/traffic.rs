//! Traffic: seeded open-loop arrivals, the same for every kind of entry process.

use crate::parameters;
use hyssopfork_wire::{clock, configuration, name};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// A request of a client.
#[derive(Clone, Debug)]
pub struct Request {
    /// Time of arrival.
    pub arrives_at: clock::Instant,
    /// Team of the client.
    pub team: name::Team,
    /// Class of its route.
    pub class: configuration::Class,
    /// Work before its response starts, in tokens.
    pub prefill: f64,
    /// Work from the start to the end of its response, in tokens.
    pub decode: f64,
    /// Cost as an entry process estimates it, in tokens.
    pub cost: u32,
    /// Time within which the response must start.
    pub start_timeout: Duration,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// Prompt prefix.
    pub prefix: Option<u64>,
    /// Times that its client has sent it before.
    pub resend_count: u32,
}

impl Request {
    /// Time by which its response must have started.
    pub fn deadline(&self) -> clock::Instant {
        self.arrives_at + self.start_timeout
    }

    /// Its work in tokens.
    pub fn tokens(&self) -> f64 {
        self.prefill + self.decode
    }
}

/// Length of a source's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Length {
    /// A short request.
    Short,
    /// A job of [`parameters::LONG_FACTOR`] times a short one.
    Long,
    /// A status check.
    Status,
}

/// Clients with the same kind of requests.
#[derive(Clone, Debug)]
pub struct Source {
    /// Their team.
    pub team: String,
    /// Requests per second.
    pub rate: f64,
    /// Length of the requests.
    pub length: Length,
    /// Class of the route that they use.
    pub class: configuration::Class,
    /// First and last second of the arrivals.
    pub seconds: (f64, f64),
    /// Number of prompt prefixes, drawn with Zipf-distributed shares; 0 for none.
    pub prefixes: usize,
    /// Share of repeatable requests.
    pub repeatable_share: f64,
}

impl Source {
    /// Short interactive requests of a team during the whole of `seconds`.
    pub fn short(team: &str, rate: f64, seconds: f64) -> Source {
        Source {
            team: team.to_owned(),
            rate,
            length: Length::Short,
            class: configuration::Class::Interactive,
            seconds: (0.0, seconds),
            prefixes: 0,
            repeatable_share: 0.8,
        }
    }

    /// The same source with another length and class.
    pub fn with_kind(self, length: Length, class: configuration::Class) -> Source {
        Source { length, class, ..self }
    }

    /// The same source, only between two seconds of the run.
    pub fn between(self, from: f64, to: f64) -> Source {
        Source { seconds: (from, to), ..self }
    }

    /// The same source with a number of prompt prefixes.
    pub fn with_prefixes(self, prefixes: usize) -> Source {
        Source { prefixes, ..self }
    }
}

/// Ten teams with Zipf-distributed shares of `rate` short requests per second.
pub fn teams(rate: f64, seconds: f64) -> Vec<Source> {
    let total: f64 = (1..=parameters::TEAMS).map(|rank| 1.0 / rank as f64).sum();
    let share = |rank: usize| rate / rank as f64 / total;
    let team = |rank: usize| Source::short(&format!("team-{rank:02}"), share(rank), seconds);
    (1..=parameters::TEAMS).map(team).collect()
}

/// All arrivals of the sources, in order.
pub fn arrivals(sources: &[Source], seed: u64) -> Vec<Request> {
    let mut requests = Vec::new();
    for (index, source) in sources.iter().enumerate() {
        let mut rng =
            ChaCha8Rng::seed_from_u64(seed.wrapping_mul(1_000).wrapping_add(index as u64));
        let mut at = source.seconds.0;
        loop {
            at += exponential(&mut rng, 1.0 / source.rate);
            if at >= source.seconds.1 {
                break;
            }
            requests.push(request(source, at, &mut rng));
        }
    }
    requests.sort_by_key(|request| request.arrives_at);
    requests
}

fn request(source: &Source, at: f64, rng: &mut ChaCha8Rng) -> Request {
    let ((prompt, response), start_timeout) = match source.length {
        Length::Short => (parameters::SHORT_TOKENS, parameters::SHORT_START_TIMEOUT),
        Length::Status => (parameters::STATUS_TOKENS, parameters::STATUS_START_TIMEOUT),
        Length::Long => {
            let (prompt, response) = parameters::SHORT_TOKENS;
            (
                (prompt * parameters::LONG_FACTOR, response * parameters::LONG_FACTOR),
                parameters::LONG_START_TIMEOUT,
            )
        }
    };
    let prefill = prompt * parameters::PREFILL_COST;
    // Between half and one and a half of the mean: responses vary, prompts of a route hardly do.
    let decode = response * rng.random_range(0.5..1.5);
    let spread = parameters::ESTIMATE_SPREAD.ln();
    let error: f64 = rng.random_range(-spread..spread);
    Request {
        arrives_at: clock::Instant::from_micros((at * 1e6) as u64),
        team: source.team.as_str().into(),
        class: source.class,
        prefill,
        decode,
        cost: ((prefill + decode) * error.exp()).ceil() as u32,
        start_timeout,
        repeatable: rng.random_range(0.0..1.0) < source.repeatable_share,
        prefix: (source.prefixes > 0).then(|| zipf(rng, source.prefixes)),
        resend_count: 0,
    }
}

fn exponential(rng: &mut ChaCha8Rng, mean: f64) -> f64 {
    let uniform: f64 = rng.random_range(0.0..1.0);
    -(1.0 - uniform).ln() * mean
}

fn zipf(rng: &mut ChaCha8Rng, count: usize) -> u64 {
    let total: f64 = (1..=count).map(|rank| 1.0 / rank as f64).sum();
    let mut left = rng.random_range(0.0..total);
    for rank in 1..=count {
        left -= 1.0 / rank as f64;
        if left <= 0.0 {
            return rank as u64;
        }
    }
    count as u64
}
