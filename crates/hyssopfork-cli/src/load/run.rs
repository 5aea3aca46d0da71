//! A run: sends every request when it is due and writes down what came of it.

use super::{answer, caller, plan, schedule};
use crate::history;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cell::{Cell, RefCell};
use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};
use std::net;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// What to run.
#[derive(Clone, Debug)]
pub struct Order {
    /// Entries, used in turn.
    pub entries: Vec<net::SocketAddr>,
    /// What is sent.
    pub plan: plan::Plan,
    /// Requests a second.
    pub rate: f64,
    /// How arrivals are spread.
    pub arrivals: schedule::Arrivals,
    /// Time during which requests are sent.
    pub duration: Duration,
    /// Seed of everything random.
    pub seed: u64,
    /// Of 100 requests with a key, how many are sent again after their end, over another entry.
    pub resend_percent: u32,
    /// Time after which a caller gives up.
    pub limit: Duration,
    /// Most requests at once; what is due beyond it is noted as an error, never sent late unseen.
    pub outstanding: usize,
    /// Start of every reference, so that runs against the same back ends differ.
    pub label: String,
}

struct Run {
    order: Order,
    started: Instant,
    caller: caller::Caller,
    outstanding: Cell<usize>,
    lines: RefCell<Vec<history::Line>>,
}

/// Sends all and returns what came of each, in the order in which they ended.
pub async fn run(order: Order) -> Vec<history::Line> {
    let mut random = ChaCha8Rng::seed_from_u64(order.seed);
    let due = schedule::draw(order.arrivals, order.rate, order.duration, &mut random);
    let run = Rc::new(Run {
        started: Instant::now(),
        caller: caller::Caller::default(),
        outstanding: Cell::new(0),
        lines: RefCell::new(Vec::with_capacity(due.len())),
        order,
    });
    let mut callers = Vec::with_capacity(due.len());
    for (number, due) in due.into_iter().enumerate() {
        let reference = format!("{}-{number}", run.order.label);
        let request = run.order.plan.draw(reference, &mut random);
        let again = request.route.key && random.random_range(0..100) < run.order.resend_percent;
        let wait = due.saturating_sub(run.started.elapsed());
        actix_rt::time::sleep(wait).await;
        callers.push(actix_rt::spawn(call(run.clone(), number, request, due, again)));
    }
    futures::future::join_all(callers).await;
    run.lines.take()
}

async fn call(run: Rc<Run>, number: usize, request: plan::Request, due: Duration, again: bool) {
    if run.outstanding.get() >= run.order.outstanding {
        run.lines.borrow_mut().push(unsent(&run, &request, due));
        return;
    }
    run.outstanding.set(run.outstanding.get() + 1);
    send(&run, number, &request, due, "").await;
    if again {
        send(&run, number + 1, &request, run.started.elapsed(), "-again").await;
    }
    run.outstanding.set(run.outstanding.get() - 1);
}

async fn send(run: &Run, number: usize, request: &plan::Request, due: Duration, mark: &str) {
    let mut entries = run.order.entries.clone();
    let count = entries.len();
    entries.rotate_left(number % count);
    let sent = run.started.elapsed();
    let received = run.caller.call(&entries, request, run.order.limit).await;
    let ended = run.started.elapsed();
    let judged = answer::judge(request, &received);
    let line = history::Line {
        request: format!("{}{mark}", request.reference),
        first_us: received.first.map(|first| micros(first.duration_since(run.started))),
        sent_us: micros(sent),
        answered_us: micros(ended),
        kind: judged.kind,
        status: received.status,
        reason: judged.reason,
        whole: judged.whole,
        right: judged.right,
        digest: digest(&received.body),
        ..unsent(run, request, due)
    };
    run.lines.borrow_mut().push(line);
}

/// A line for a request that was not sent since too many were outstanding.
fn unsent(run: &Run, request: &plan::Request, due: Duration) -> history::Line {
    history::Line {
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
        kind: history::Kind::Error,
        status: None,
        reason: Some("not sent: too many outstanding; raise --outstanding or lower --rate".into()),
        whole: false,
        right: false,
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
