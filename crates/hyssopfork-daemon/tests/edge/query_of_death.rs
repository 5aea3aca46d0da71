//! A request that crashes whatever upstream runs it, and that its client repeats.

use crate::{fleet, fragile, support};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Time after a third crash in which every process must know of it.
const CONTACT_WINDOW: Duration = Duration::from_secs(3);

/// Attempts that may reach upstreams after that.
const MAX_LATER_ARRIVALS: usize = 3;

/// Time for which the request is repeated.
const REPEATED_FOR: Duration = Duration::from_secs(7);

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

/// Guards against one request that takes upstream after upstream: each entry saw only its own attempts,
/// and its client's repeats were new requests to each.
#[test]
fn a_request_that_crashes_upstreams_is_kept_from_them() {
    let fleet = fleet::Fleet::start("query-of-death", 3, 2);
    let control: Vec<SocketAddr> = fleet.nodes.iter().map(|node| node.control).collect();
    let entries: Vec<SocketAddr> = fleet.nodes.iter().map(|node| node.callers).collect();
    let declare = support::request("PUT", "/configuration", "", DECLARATION);
    fleet::Fleet::insist(&control, &declare, 100).expect("it is acknowledged");
    let record = Arc::<fragile::Record>::default();
    let (port, innocents) = (support::free_port(), Arc::<Innocents>::default());
    let answers = Arc::<Mutex<Vec<support::Answer>>>::default();

    thread::scope(|scope| {
        for place in 0..UPSTREAMS {
            let (record, control) = (&record, &control);
            scope.spawn(move || fragile::run(record, place, port, control));
        }
        for entry in &entries {
            until_served(*entry);
        }
        for client in 0..6 {
            let (record, innocents, entries) = (&record, &innocents, &entries);
            scope.spawn(move || innocents.send(record, client, entries));
        }
        let begun = Instant::now();
        for count in 0.. {
            if begun.elapsed() >= REPEATED_FOR {
                break;
            }
            let (answers, to) = (answers.clone(), entries[count % entries.len()]);
            scope.spawn(move || {
                let request = request(&format!("d{count}"), fragile::DEADLY);
                let answer = support::call_within(to, &request, Duration::from_secs(3));
                answers.lock().expect("no holder panics").extend(answer);
            });
            thread::sleep(REPEAT_INTERVAL);
        }
        record.stop();
    });

    let crashes = record.crashes.lock().expect("no holder panics").clone();
    let arrivals = record.arrivals.lock().expect("no holder panics").clone();
    let third = *crashes.get(2).expect("it crashes three upstreams first");
    let later = arrivals.iter().filter(|at| **at > third + CONTACT_WINDOW).count();
    assert!(
        later <= MAX_LATER_ARRIVALS,
        "{later} attempts later than {CONTACT_WINDOW:?} after the third crash, {} crashes; logs in {}",
        crashes.len(),
        fleet.folder().display()
    );
    let (sent, served) = (&innocents.sent, &innocents.served);
    let (sent, served) = (sent.load(Ordering::Relaxed), served.load(Ordering::Relaxed));
    assert!(served * 10 >= sent * 9, "{served} of {sent} harmless requests were served");
    let answers = answers.lock().expect("no holder panics");
    let rejected = answers.iter().filter(|answer| answer.status == 503);
    assert!(rejected.clone().count() > 0, "no repeat was rejected");
    for answer in rejected {
        assert!(answer.head.to_lowercase().contains("retry-after"), "{}", answer.head);
    }
}

fn until_served(entry: SocketAddr) {
    let since = Instant::now();
    while support::call(entry, &request("first", "first")).is_none_or(|it| it.status != 200) {
        assert!(since.elapsed() < Duration::from_secs(20), "{entry} serves nothing");
        thread::sleep(Duration::from_millis(50));
    }
}
