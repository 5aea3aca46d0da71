//! Scenario of several edge processes in front of several upstreams, under client load.

use crate::{crashing_upstream, fleet, support};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Interval between the steps of a test.
const STEP_INTERVAL: Duration = Duration::from_millis(100);

/// Number of upstreams.
pub const UPSTREAM_COUNT: usize = 8;

/// Number of clients, each of which has one request in flight.
pub const CLIENT_COUNT: usize = 6;

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

    fn send(&self, record: &crashing_upstream::Record, client: usize, entries: &[SocketAddr]) {
        for count in 0.. {
            if record.is_stopped() {
                return;
            }
            let entry = (client + count) % entries.len();
            let identifier = format!("{entry}-c{client}-{count}");
            let request = request(&identifier, &format!("{client} {count}"));
            let to = entries[entry];
            let response = support::call_within(to, &request, Duration::from_secs(3));
            self.sent.fetch_add(1, Ordering::Relaxed);
            if response.is_some_and(|response| response.status == 200) {
                self.served.fetch_add(1, Ordering::Relaxed);
            }
            thread::sleep(Duration::from_millis(20));
        }
    }
}

/// Index of the entry that received a client's request with this identifier.
pub fn entry_of(identifier: &str) -> Option<usize> {
    identifier.split('-').next()?.parse().ok()
}

/// Parameters of a scenario.
pub struct Plan {
    /// Name of the folder of the processes.
    pub name: &'static str,
    /// Number of processes, three of which have a data folder.
    pub processes: usize,
    /// Duration.
    pub duration: Duration,
    /// Whether a client sends the crashing request at each step.
    pub sends_crashing_requests: bool,
}

/// A scenario that has been run: processes, upstreams and clients.
pub struct Scenario {
    pub fleet: fleet::Fleet,
    pub record: Arc<crashing_upstream::Record>,
    pub clients: Clients,
    /// Responses to the crashing request.
    pub crashing_responses: Mutex<Vec<support::Response>>,
}

impl Plan {
    /// Runs the scenario. Calls `step` every 100 ms with the time since the first call.
    pub fn run(
        self,
        step: impl Fn(&mut fleet::Fleet, &crashing_upstream::Record, Duration),
    ) -> Scenario {
        let mut fleet = fleet::Fleet::start(self.name, 3, self.processes - 3);
        let control: Vec<SocketAddr> =
            fleet.nodes.iter().map(|node| node.control_address).collect();
        let entries: Vec<SocketAddr> = fleet.nodes.iter().map(|node| node.client_address).collect();
        let declare = support::request("PUT", "/configuration", "", DECLARATION);
        fleet::Fleet::call_until_ok(&control, &declare, 100)
            .expect("the declaration is acknowledged");
        let record = Arc::<crashing_upstream::Record>::default();
        let port = support::free_port();
        let (clients, responses) = (Clients::default(), Mutex::default());
        thread::scope(|scope| {
            let (record, control, entries) = (&record, &control, &entries);
            let (clients, responses) = (&clients, &responses);
            for index in 0..UPSTREAM_COUNT {
                scope.spawn(move || crashing_upstream::run(record, index, port, control));
            }
            entries.iter().copied().for_each(wait_until_served);
            for client in 0..CLIENT_COUNT {
                scope.spawn(move || clients.send(record, client, entries));
            }
            let started = Instant::now();
            for count in 0.. {
                if started.elapsed() >= self.duration {
                    break;
                }
                if self.sends_crashing_requests {
                    let to = entries[count % entries.len()];
                    scope.spawn(move || send_crashing_request(to, count, responses));
                }
                step(&mut fleet, record, started.elapsed());
                thread::sleep(STEP_INTERVAL);
            }
            record.stop();
        });
        Scenario { fleet, record, clients, crashing_responses: responses }
    }
}

fn send_crashing_request(to: SocketAddr, count: usize, responses: &Mutex<Vec<support::Response>>) {
    let request = request(&format!("d{count}"), crashing_upstream::CRASHING_BODY);
    let response = support::call_within(to, &request, Duration::from_secs(3));
    responses.lock().expect("no thread panicked").extend(response);
}

fn wait_until_served(entry: SocketAddr) {
    let since = Instant::now();
    while support::call(entry, &request("first", "first")).is_none_or(|it| it.status != 200) {
        assert!(since.elapsed() < Duration::from_secs(20), "{entry} served no request within 20 s");
        thread::sleep(Duration::from_millis(50));
    }
}
