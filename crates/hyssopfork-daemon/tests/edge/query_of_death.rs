//! A request that crashes whatever upstream runs it, and that its client repeats.

use crate::{fleet, fragile, support};
use rustix::process::Signal;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Time after a third crash in which every process must know of it.
const CONTACT_WINDOW: Duration = Duration::from_secs(3);

/// Attempts that may reach upstreams after that.
const MAX_LATER_ARRIVALS: usize = 3;

/// Time between repeats.
const REPEAT_INTERVAL: Duration = Duration::from_millis(100);

const UPSTREAMS: usize = 8;

const DECLARATION: &str = r#"{"Version":3,
 "Routes":[{"Name":"r1","Host":"host","PathPrefix":"/check/","Kind":"idempotent","TimeoutMs":2000,
   "Service":"s1","MaxAttempts":2}],
 "Services":[{"Name":"s1","ConnectionLimit":200}],
 "Tenants":[{"Name":"t1","ApiKeys":["key"]}]}"#;

fn request(identifier: &str, body: &str) -> String {
    let headers = format!("Hyssopfork-Credential: key\r\nHyssopfork-Attempt-Id: {identifier}\r\n");
    support::request("POST", "/check/x", &headers, body)
}

/// Clients whose requests do no harm, until the test is over; how many were served, of how many.
#[derive(Default)]
struct Innocents {
    sent: AtomicU64,
    served: AtomicU64,
}

impl Innocents {
    fn send(&self, record: &fragile::Record, client: usize, entries: &[SocketAddr]) {
        for count in 0.. {
            if record.is_stopped() {
                return;
            }
            let request = request(&format!("c{client}-{count}"), &format!("{client} {count}"));
            let to = entries[(client + count) % entries.len()];
            let answer = support::call_within(to, &request, Duration::from_secs(3));
            self.sent.fetch_add(1, Ordering::Relaxed);
            if answer.is_some_and(|answer| answer.status == 200) {
                self.served.fetch_add(1, Ordering::Relaxed);
            }
            thread::sleep(Duration::from_millis(20));
        }
    }
}

/// Five processes before eight upstreams, with clients that do no harm.
struct Scene {
    fleet: fleet::Fleet,
    record: Arc<fragile::Record>,
    innocents: Innocents,
    /// Answers to the deadly request.
    answers: Mutex<Vec<support::Answer>>,
}

impl Scene {
    /// Plays the scene with the deadly request repeated for `time`. `meanwhile` is called with each
    /// repeat, and the time since the first.
    fn play(name: &str, time: Duration, meanwhile: impl Fn(&mut fleet::Fleet, Duration)) -> Scene {
        let mut fleet = fleet::Fleet::start(name, 3, 2);
        let control: Vec<SocketAddr> = fleet.nodes.iter().map(|node| node.control).collect();
        let entries: Vec<SocketAddr> = fleet.nodes.iter().map(|node| node.callers).collect();
        let declare = support::request("PUT", "/configuration", "", DECLARATION);
        fleet::Fleet::insist(&control, &declare, 100).expect("it is acknowledged");
        let record = Arc::<fragile::Record>::default();
        let port = support::free_port();
        let innocents = Innocents::default();
        let answers = Mutex::default();
        thread::scope(|scope| {
            let (record, control, entries) = (&record, &control, &entries);
            let (innocents, answers) = (&innocents, &answers);
            for place in 0..UPSTREAMS {
                scope.spawn(move || fragile::run(record, place, port, control));
            }
            entries.iter().copied().for_each(until_served);
            for client in 0..6 {
                scope.spawn(move || innocents.send(record, client, entries));
            }
            let begun = Instant::now();
            for count in 0.. {
                if begun.elapsed() >= time {
                    break;
                }
                let to = entries[count % entries.len()];
                scope.spawn(move || repeat(to, count, answers));
                meanwhile(&mut fleet, begun.elapsed());
                thread::sleep(REPEAT_INTERVAL);
            }
            record.stop();
        });
        Scene { fleet, record, innocents, answers }
    }

    /// When upstreams crashed.
    fn crashes(&self) -> Vec<Instant> {
        self.record.crashes.lock().expect("no holder panics").clone()
    }

    /// Deadly requests that reached upstreams after the contact window of the third crash.
    fn later_arrivals(&self) -> usize {
        let third = *self.crashes().get(2).expect("it crashes three upstreams first");
        let arrivals = self.record.arrivals.lock().expect("no holder panics");
        arrivals.iter().filter(|at| **at > third + CONTACT_WINDOW).count()
    }

    fn assert_kept_from_upstreams(&self) {
        let later = self.later_arrivals();
        assert!(
            later <= MAX_LATER_ARRIVALS,
            "{later} attempts later than {CONTACT_WINDOW:?} after the third crash, {} crashes; logs in {}",
            self.crashes().len(),
            self.fleet.folder().display()
        );
    }
}

fn repeat(to: SocketAddr, count: usize, answers: &Mutex<Vec<support::Answer>>) {
    let request = request(&format!("d{count}"), fragile::DEADLY);
    let answer = support::call_within(to, &request, Duration::from_secs(3));
    answers.lock().expect("no holder panics").extend(answer);
}

/// Guards against one request that takes upstream after upstream: each entry saw only its own attempts,
/// and its client's repeats were new requests to each.
#[test]
fn a_request_that_crashes_upstreams_is_kept_from_them() {
    let scene = Scene::play("query-of-death", Duration::from_secs(7), |_, _| {});

    scene.assert_kept_from_upstreams();
    let (sent, served) = (&scene.innocents.sent, &scene.innocents.served);
    let (sent, served) = (sent.load(Ordering::Relaxed), served.load(Ordering::Relaxed));
    assert!(served * 10 >= sent * 9, "{served} of {sent} harmless requests were served");
    let answers = scene.answers.lock().expect("no holder panics");
    let rejected: Vec<_> = answers.iter().filter(|answer| answer.status == 503).collect();
    assert!(!rejected.is_empty(), "no repeat was rejected");
    for answer in rejected {
        assert!(answer.head.to_lowercase().contains("retry-after"), "{}", answer.head);
    }
}

/// Guards against a quarantine that ends with the leader that declared it, or that a process doesn't know
/// that has just started.
#[test]
fn a_quarantine_outlasts_its_leader_and_restarts() {
    let killed = AtomicU64::new(0);
    let kill_in_turn = |fleet: &mut fleet::Fleet, since: Duration| {
        let place = killed.load(Ordering::Relaxed) as usize;
        if place < 3 && since >= Duration::from_secs(3 + 3 * place as u64) {
            fleet.signal(place, Signal::KILL);
            fleet.reap(place);
            fleet.boot(place, false);
            killed.fetch_add(1, Ordering::Relaxed);
        }
    };

    let scene = Scene::play("quarantine-kept", Duration::from_secs(12), kill_in_turn);

    assert_eq!(killed.load(Ordering::Relaxed), 3);
    scene.assert_kept_from_upstreams();
}

fn until_served(entry: SocketAddr) {
    let since = Instant::now();
    while support::call(entry, &request("first", "first")).is_none_or(|it| it.status != 200) {
        assert!(since.elapsed() < Duration::from_secs(20), "{entry} serves nothing");
        thread::sleep(Duration::from_millis(50));
    }
}
