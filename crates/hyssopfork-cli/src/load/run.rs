//! Load run: sends every request at its due time and records its outcome.

use super::{answer, client, plan, schedule};
use crate::history;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cell::{Cell, RefCell};
use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};
use std::net;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Options of a run.
#[derive(Clone, Debug)]
pub struct Options {
    /// Entries, used in rotation.
    pub entries: Vec<net::SocketAddr>,
    /// Plan that requests are sampled from.
    pub plan: plan::Plan,
    /// Requests per second.
    pub rate: f64,
    /// Distribution of arrivals.
    pub arrivals: schedule::Arrivals,
    /// Period during which requests are sent.
    pub duration: Duration,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Percentage of requests with a key that are sent again after they end, to the next entry.
    pub resend_percent: u32,
    /// Time after which a client gives up.
    pub request_timeout: Duration,
    /// Most requests in flight; further due requests are recorded as errors instead of being sent
    /// late unnoticed.
    pub max_in_flight: usize,
    /// Prefix of every reference, so that runs against the same back ends are told apart.
    pub reference_prefix: String,
}

/// State shared by the requests of a run.
struct Run {
    options: Options,
    started: Instant,
    client: client::Client,
    in_flight: Cell<usize>,
    records: RefCell<Vec<history::Record>>,
}

/// Sends all requests and returns their records, in the order in which the requests ended.
pub async fn run(options: Options) -> Vec<history::Record> {
    let mut random = ChaCha8Rng::seed_from_u64(options.seed);
    let due =
        schedule::sample_due_times(options.arrivals, options.rate, options.duration, &mut random);
    let run = Rc::new(Run {
        started: Instant::now(),
        client: client::Client::default(),
        in_flight: Cell::new(0),
        records: RefCell::new(Vec::with_capacity(due.len())),
        options,
    });
    let mut requests = Vec::with_capacity(due.len());
    for (number, due) in due.into_iter().enumerate() {
        let reference = format!("{}-{number}", run.options.reference_prefix);
        let request = run.options.plan.sample_request(reference, &mut random);
        let resend = request.route.key && random.random_range(0..100) < run.options.resend_percent;
        let wait = due.saturating_sub(run.started.elapsed());
        actix_rt::time::sleep(wait).await;
        requests.push(actix_rt::spawn(run_request(run.clone(), number, request, due, resend)));
    }
    futures::future::join_all(requests).await;
    run.records.take()
}

async fn run_request(
    run: Rc<Run>,
    number: usize,
    request: plan::Request,
    due: Duration,
    resend: bool,
) {
    if run.in_flight.get() >= run.options.max_in_flight {
        run.records.borrow_mut().push(unsent_record(&run, &request, due));
        return;
    }
    run.in_flight.set(run.in_flight.get() + 1);
    send_request(&run, number, &request, due, "").await;
    if resend {
        send_request(&run, number + 1, &request, run.started.elapsed(), "-again").await;
    }
    run.in_flight.set(run.in_flight.get() - 1);
}

async fn send_request(
    run: &Run,
    number: usize,
    request: &plan::Request,
    due: Duration,
    suffix: &str,
) {
    let mut entries = run.options.entries.clone();
    let count = entries.len();
    entries.rotate_left(number % count);
    let sent = run.started.elapsed();
    let response = run.client.call(&entries, request, run.options.request_timeout).await;
    let ended = run.started.elapsed();
    let classification = answer::classify(request, &response);
    let record = history::Record {
        request: format!("{}{suffix}", request.reference),
        first_us: response.first_part_at.map(|first| micros(first.duration_since(run.started))),
        sent_us: micros(sent),
        answered_us: micros(ended),
        outcome: classification.outcome,
        status: response.status,
        reason: classification.reason,
        complete: classification.complete,
        correct: classification.correct,
        digest: digest(&response.body),
        ..unsent_record(run, request, due)
    };
    run.records.borrow_mut().push(record);
}

/// Creates the record of a request that was not sent because too many were in flight.
fn unsent_record(run: &Run, request: &plan::Request, due: Duration) -> history::Record {
    history::Record {
        request: request.reference.clone(),
        reference: request.reference.clone(),
        team: request.team.team.clone(),
        route: request.route.route.clone(),
        class: request.route.class,
        repeatable: request.route.repeatable,
        key: request.route.key.then(|| request.reference.clone()),
        intended_us: micros(due),
        sent_us: micros(due),
        first_us: None,
        answered_us: micros(run.started.elapsed().max(due)),
        outcome: history::Outcome::Error,
        status: None,
        reason: Some("not sent: too many outstanding; raise --outstanding or lower --rate".into()),
        complete: false,
        correct: false,
        digest: String::new(),
    }
}

fn micros(time: Duration) -> u64 {
    time.as_micros() as u64
}

fn digest(body: &[u8]) -> String {
    let mut hasher = DefaultHasher::new();
    body.hash(&mut hasher);
    format!("{:016x}", hasher.finish())
}
