//! Soak test: declarations of thousands of routes while processes are killed, paused and stopped in
//! series.
//!
//! Invariants during faults: no read returns an older declaration than one acknowledged 2 s before
//! it, and a route that every declaration contains is never rejected. After each series of faults:
//! every process serves the declaration that is read back, which is no older than the newest
//! acknowledged one.

use crate::{fleet, support};
use rustix::process::Signal;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Defaults of the seed and of the duration in seconds; `HYSSOPFORK_SOAK_SEED` and
/// `HYSSOPFORK_SOAK_SECONDS` override them.
const SEED: u64 = 1;
const SECONDS: u64 = 25;

/// Time after an acknowledgement from which on no older declaration may be read back.
const APPLY_TIME: Duration = Duration::from_secs(2);

/// Time without faults after which every process must serve the newest declaration.
const CALM: Duration = Duration::from_secs(5);

/// Number of routes that each version adds to the declaration.
const ROUTES: u64 = 300;

/// Maximum number of routes of a declaration.
const MAX_ROUTES: u64 = 6_000;

const READ: &str = "GET /configuration HTTP/1.1\r\nHost: x\r\n\r\n";
const KEY: &str = "Hyssopfork-Credential: key\r\nHyssopfork-Attempt-Id: a1\r\n";
const GOOD: &str = "HTTP/1.1 200 OK\r\nHyssopfork-Attempt-Id: a1\r\n\
    Hyssopfork-Server-Signature: s\r\nContent-Length: 4\r\n\r\nfine";

/// Linear congruential generator, which yields the same numbers on every machine.
struct Random(u64);

impl Random {
    fn below(&mut self, bound: u64) -> u64 {
        self.0 =
            self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % bound
    }
}

/// State shared by the clients, the upstream and the operator.
#[derive(Default)]
struct Record {
    stopped: AtomicBool,
    served: AtomicU64,
    /// Acknowledged versions, with the time of acknowledgement.
    acknowledged: Mutex<Vec<(u64, Instant)>>,
    violations: Mutex<Vec<String>>,
}

impl Record {
    fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::Relaxed)
    }

    fn newest(&self) -> u64 {
        self.acknowledged
            .lock()
            .expect("no holder panics")
            .last()
            .map_or(0, |(version, _)| *version)
    }

    /// Newest version that was acknowledged before `moment`.
    fn acknowledged_before(&self, moment: Instant) -> u64 {
        let acknowledged = self.acknowledged.lock().expect("no holder panics");
        acknowledged.iter().filter(|(_, at)| *at < moment).map(|(it, _)| *it).max().unwrap_or(0)
    }

    fn violated(&self, what: String) {
        self.violations.lock().expect("no holder panics").push(what);
    }
}

/// Declaration of version `version`: the route that only it contains, and routes whose number grows
/// with the version. Every version contains `r-0`.
fn declaration(version: u64) -> String {
    let route = |place: u64| {
        format!(
            r#"{{"Name":"r-{place}","Host":"host","PathPrefix":"/r{place}/","Kind":"idempotent","TimeoutMs":{},"Service":"s1","MaxAttempts":2}}"#,
            2_000 + version
        )
    };
    let routes: Vec<String> = (0..(ROUTES * version).min(MAX_ROUTES)).map(route).collect();
    format!(
        r#"{{"Version":{version},"Routes":[{},{}],"Services":[{{"Name":"s1","ConnectionLimit":500}}],"Tenants":[{{"Name":"t1","ApiKeys":["key"]}}]}}"#,
        route_of(version),
        routes.join(",")
    )
}

/// The route that only version `version` contains.
fn route_of(version: u64) -> String {
    format!(
        r#"{{"Name":"v-{version}","Host":"host","PathPrefix":"/v{version}/","Kind":"idempotent","TimeoutMs":2000,"Service":"s1","MaxAttempts":2}}"#
    )
}

/// Declares the next version.
fn declare_next(record: &Record, control: &[SocketAddr]) {
    let version = record.newest() + 1;
    let request = support::request("PUT", "/configuration", "", &declaration(version));
    if fleet::Fleet::insist(control, &request, 4).is_some() {
        let mut acknowledged = record.acknowledged.lock().expect("no holder panics");
        acknowledged.push((version, Instant::now()));
    }
}

/// Reads the declaration back from one process after the other and checks its version.
fn read_back(record: &Record, control: &[SocketAddr]) {
    for to in control.iter().cycle() {
        if record.is_stopped() {
            return;
        }
        let sent = Instant::now();
        let answer = support::call_within(*to, READ, Duration::from_secs(2));
        if let Some(answer) = answer.filter(|answer| answer.status == 200) {
            let read = version_of(&answer);
            let least = record.acknowledged_before(sent - APPLY_TIME);
            if read.is_none_or(|read| read < least) {
                record.violated(format!("{to} read {read:?} back, {least} was acknowledged"));
            }
        }
        thread::sleep(Duration::from_millis(100));
    }
}

/// Sends requests on one connection for as long as the process keeps it open.
fn request_on(record: &Record, to: SocketAddr) {
    let request = support::request("GET", "/r0/x", KEY, "");
    while !record.is_stopped() {
        let Ok(mut stream) = TcpStream::connect(to) else {
            thread::sleep(Duration::from_millis(50));
            continue;
        };
        let _timeout = stream.set_read_timeout(Some(Duration::from_secs(5)));
        let mut reader = BufReader::new(stream.try_clone().expect("it is open"));
        while !record.is_stopped() && stream.write_all(request.as_bytes()).is_ok() {
            let Some(answer) = support::receive(&mut reader) else { break };
            match answer.status {
                200 => drop(record.served.fetch_add(1, Ordering::Relaxed)),
                400..=404 | 413 => record.violated(format!("{to} answers {}", answer.status)),
                _ => {}
            }
            if answer.head.to_lowercase().contains("connection: close") {
                break;
            }
            thread::sleep(Duration::from_millis(10));
        }
    }
}

/// Announces the upstream periodically to any process that responds.
fn announce(record: &Record, upstream: SocketAddr, control: &[SocketAddr]) {
    let mut sequence = 0;
    while !record.is_stopped() {
        sequence += 1;
        let body = format!(
            r#"{{"Service":"s1","Address":"{upstream}","Zone":"z1","Slots":400,"State":"ready","Sequence":{sequence},"born":1}}"#
        );
        let request = support::request("PUT", "/instances/i-1", "", &body);
        let _again_soon = fleet::Fleet::insist(control, &request, 1);
        thread::sleep(Duration::from_millis(400));
    }
}

/// Injects one fault of a series. At most one of the processes with a disk is down at a time.
fn impair(fleet: &mut fleet::Fleet, random: &mut Random) {
    let place = random.below(fleet.nodes.len() as u64) as usize;
    let away = Duration::from_millis(50 + random.below(1_500));
    match random.below(5) {
        0 | 1 => {
            fleet.signal(place, Signal::KILL);
            fleet.reap(place);
            thread::sleep(away);
            fleet.boot(place, false);
        }
        2 => {
            fleet.signal(place, Signal::KILL);
            fleet.reap(place);
            fleet.wipe(place);
            fleet.boot(place, false);
            thread::sleep(CALM);
        }
        3 => {
            fleet.signal(place, Signal::STOP);
            thread::sleep(away * 2);
            fleet.signal(place, Signal::CONT);
        }
        _ => {
            fleet.signal(place, Signal::TERM);
            fleet.reap(place);
            fleet.boot(place, false);
        }
    }
}

/// Checks that the same declaration is in force at every process: the one that is read back, which
/// is the newest acknowledged one, or a newer one whose acknowledgement was lost.
fn check_calm(record: &Record, nodes: &[fleet::Node], control: &[SocketAddr]) {
    let read = fleet::Fleet::insist(control, READ, 4).and_then(|answer| version_of(&answer));
    let Some(version) = read.filter(|version| *version >= record.newest()) else {
        let newest = record.newest();
        return record
            .violated(format!("{read:?} is read back in a calm, {newest} was acknowledged"));
    };
    for node in nodes {
        let path = format!("/v{version}/x");
        let request = support::request("GET", &path, KEY, "");
        let answer = support::call_within(node.callers, &request, Duration::from_secs(3));
        let status = answer.map(|answer| answer.status);
        if status != Some(200) {
            record.violated(format!("{} answers {status:?} to {path} in a calm", node.callers));
        }
    }
}

/// Version of the declaration in a response.
fn version_of(answer: &support::Answer) -> Option<u64> {
    answer.body.split(&[':', ','][..]).nth(1)?.parse().ok()
}

fn number(name: &str, usual: u64) -> u64 {
    std::env::var(name).ok().and_then(|it| it.parse().ok()).unwrap_or(usual)
}

#[test]
fn declarations_survive_series_of_faults() {
    let seed = number("HYSSOPFORK_SOAK_SEED", SEED);
    let end = Instant::now() + Duration::from_secs(number("HYSSOPFORK_SOAK_SECONDS", SECONDS));
    let mut random = Random(seed);
    let (upstream, _) = support::upstream(GOOD);
    let mut fleet = fleet::Fleet::start(&format!("soak-{seed}"), 3, 2);
    let control: Vec<SocketAddr> = fleet.nodes.iter().map(|node| node.control).collect();
    let record = Arc::<Record>::default();
    let request = support::request("PUT", "/configuration", "", &declaration(1));
    assert!(fleet::Fleet::insist(&control, &request, 40).is_some(), "the first is acknowledged");
    record.acknowledged.lock().expect("nobody else runs").push((1, Instant::now()));

    thread::scope(|scope| {
        let shared = &record;
        scope.spawn(|| announce(shared, upstream, &control));
        scope.spawn(|| read_back(shared, &control));
        let clients: Vec<SocketAddr> = fleet.nodes.iter().map(|node| node.callers).collect();
        thread::sleep(Duration::from_millis(800));
        for to in clients {
            scope.spawn(move || request_on(shared, to));
        }
        while Instant::now() < end {
            let changes = AtomicBool::new(true);
            let pause = Duration::from_millis(200 + random.below(800));
            thread::scope(|series| {
                series.spawn(|| {
                    while changes.load(Ordering::Relaxed) {
                        declare_next(shared, &control);
                        thread::sleep(pause);
                    }
                });
                for _ in 0..1 + random.below(3) {
                    impair(&mut fleet, &mut random);
                }
                changes.store(false, Ordering::Relaxed);
            });
            thread::sleep(CALM);
            check_calm(shared, &fleet.nodes, &control);
        }
        record.stopped.store(true, Ordering::Relaxed);
    });

    let violations = record.violations.lock().expect("all have ended");
    let served = record.served.load(Ordering::Relaxed);
    println!("seed {seed}: version {}, {served} served", record.newest());
    let logs = fleet.folder().display();
    assert!(violations.is_empty(), "seed {seed}, logs in {logs}: {violations:#?}");
    assert!(served > 100, "seed {seed}: {served} served");
}
