//! Scenario of several edge processes in front of several upstreams, under client load.

use crate::{fleet, fragile, support};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Interval between the steps of a test.
const STEP_INTERVAL: Duration = Duration::from_millis(100);

/// Number of upstreams.
pub const UPSTREAMS: usize = 8;

const CLIENTS: usize = 6;

const DECLARATION: &str = r#"{"Version":3,
 "Routes":[{"Name":"r1","Host":"host","PathPrefix":"/check/","Kind":"idempotent","TimeoutMs":2000,
   "Service":"s1","MaxAttempts":2}],
 "Services":[{"Name":"s1","ConnectionLimit":200}],
 "Tenants":[{"Name":"t1","ApiKeys":["key"]}]}"#;

fn request(identifier: &str, body: &str) -> String {
    let headers = format!("Hyssopfork-Credential: key\r\nHyssopfork-Attempt-Id: {identifier}\r\n");
    support::request("POST", "/check/x", &headers, body)
}

/// Clients that send harmless requests until the test stops.
#[derive(Default)]
pub struct Clients {
    sent: AtomicU64,
    served: AtomicU64,
}

impl Clients {
    /// Number of requests sent, and of those served.
    pub fn counts(&self) -> (u64, u64) {
        (self.sent.load(Ordering::Relaxed), self.served.load(Ordering::Relaxed))
    }

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

/// Parameters of a scenario.
pub struct Plan {
    /// Name of the folder of the processes.
    pub name: &'static str,
    /// Number of processes, three of which have a data folder.
    pub processes: usize,
    /// Duration.
    pub time: Duration,
    /// Whether a client sends the crashing request at each step.
    pub deadly: bool,
}

/// A scenario that has been run: processes, upstreams and clients.
pub struct Scene {
    pub fleet: fleet::Fleet,
    pub record: Arc<fragile::Record>,
    pub clients: Clients,
    /// Responses to the crashing request.
    pub answers: Mutex<Vec<support::Answer>>,
}

impl Plan {
    /// Runs the scenario. Calls `step` every 100 ms with the time since the first call.
    pub fn play(self, step: impl Fn(&mut fleet::Fleet, &fragile::Record, Duration)) -> Scene {
        let mut fleet = fleet::Fleet::start(self.name, 3, self.processes - 3);
        let control: Vec<SocketAddr> = fleet.nodes.iter().map(|node| node.control).collect();
        let entries: Vec<SocketAddr> = fleet.nodes.iter().map(|node| node.callers).collect();
        let declare = support::request("PUT", "/configuration", "", DECLARATION);
        fleet::Fleet::insist(&control, &declare, 100).expect("it is acknowledged");
        let record = Arc::<fragile::Record>::default();
        let port = support::free_port();
        let (clients, answers) = (Clients::default(), Mutex::default());
        thread::scope(|scope| {
            let (record, control, entries) = (&record, &control, &entries);
            let (clients, answers) = (&clients, &answers);
            for place in 0..UPSTREAMS {
                scope.spawn(move || fragile::run(record, place, port, control));
            }
            entries.iter().copied().for_each(until_served);
            for client in 0..CLIENTS {
                scope.spawn(move || clients.send(record, client, entries));
            }
            let begun = Instant::now();
            for count in 0.. {
                if begun.elapsed() >= self.time {
                    break;
                }
                if self.deadly {
                    let to = entries[count % entries.len()];
                    scope.spawn(move || repeat(to, count, answers));
                }
                step(&mut fleet, record, begun.elapsed());
                thread::sleep(STEP_INTERVAL);
            }
            record.stop();
        });
        Scene { fleet, record, clients, answers }
    }
}

fn repeat(to: SocketAddr, count: usize, answers: &Mutex<Vec<support::Answer>>) {
    let request = request(&format!("d{count}"), fragile::DEADLY);
    let answer = support::call_within(to, &request, Duration::from_secs(3));
    answers.lock().expect("no holder panics").extend(answer);
}

fn until_served(entry: SocketAddr) {
    let since = Instant::now();
    while support::call(entry, &request("first", "first")).is_none_or(|it| it.status != 200) {
        assert!(since.elapsed() < Duration::from_secs(20), "{entry} serves nothing");
        thread::sleep(Duration::from_millis(50));
    }
}
