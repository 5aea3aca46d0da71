//! Rate limits that upstreams name for all entries together.

use crate::{fleet, fragile, scene};
use std::cell::Cell;
use std::time::{Duration, Instant};

/// Rate limit that the upstreams name, in requests per second.
const RATE: f64 = 2.0;

/// Time after a change of the rate limit until every process must have learned of it.
const CONTACT_WINDOW: Duration = Duration::from_secs(3);

/// Length of the time window in which requests are counted.
const COUNTING_SPAN: Duration = Duration::from_secs(4);

/// Maximum number of requests that an upstream may receive in [`COUNTING_SPAN`].
const MAX_REQUESTS: usize = (RATE * 4.0 * 1.5) as usize + 5;

/// Highest number of requests that the upstream at `place` received in any [`COUNTING_SPAN`]
/// between two moments.
fn most(scene: &scene::Scene, place: usize, from: Instant, to: Instant) -> usize {
    let requests = scene.record.requests.lock().expect("no holder panics");
    let at: Vec<Instant> = requests
        .iter()
        .filter(|(of, at)| *of == place && (from..to).contains(at))
        .map(|(_, at)| *at)
        .collect();
    let within = |first: &Instant| {
        at.iter().filter(|at| (*first..*first + COUNTING_SPAN).contains(*at)).count()
    };
    at.iter().map(within).max().unwrap_or(0)
}

/// Requests per second that all upstreams together received between two moments.
fn overall(scene: &scene::Scene, from: Instant, to: Instant) -> f64 {
    let requests = scene.record.requests.lock().expect("no holder panics");
    let count = requests.iter().filter(|(_, at)| (from..to).contains(at)).count();
    count as f64 / to.duration_since(from).as_secs_f64()
}

/// Guards against entries that each use the whole rate limit, which multiplies it by the number of
/// entries, and against a limit that stays in force after the upstreams no longer name it.
#[test]
fn a_named_rate_is_kept_by_all_entries_together() {
    let named = Cell::new(None);
    let lifted = Cell::new(None);
    let name_then_lift = |_: &mut fleet::Fleet, record: &fragile::Record, since: Duration| {
        let mut rate = record.named_rate.lock().expect("no holder panics");
        if named.get().is_none() && since >= Duration::from_secs(1) {
            *rate = Some(RATE);
            named.set(Some(Instant::now()));
        }
        if lifted.get().is_none() && since >= Duration::from_secs(10) {
            *rate = None;
            lifted.set(Some(Instant::now()));
        }
    };

    let time = Duration::from_secs(17);
    let scene =
        scene::Plan { name: "named-rate", processes: 5, time, deadly: false }.play(name_then_lift);

    let end = Instant::now();
    let named = named.get().expect("it was named");
    let lifted = lifted.get().expect("it was lifted");
    for place in 0..scene::UPSTREAMS {
        let got = most(&scene, place, named + CONTACT_WINDOW, lifted);
        assert!(got <= MAX_REQUESTS, "upstream {place} got {got}, {MAX_REQUESTS} allowed");
    }
    let all = RATE * scene::UPSTREAMS as f64;
    let limited = overall(&scene, named + CONTACT_WINDOW, lifted);
    let free = overall(&scene, lifted + CONTACT_WINDOW, end);
    assert!(limited > all * 0.6, "{limited} requests a second of {all} that the upstreams take");
    assert!(free > all * 2.0, "{free} requests a second once no rate is named");
}
