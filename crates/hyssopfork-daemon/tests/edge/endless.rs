//! Upstreams that send bytes without end, in a head or a body, until the connection is closed.

use crate::support::Edge;
use crate::{plain_upstream, support};
use hyssopfork_test_support::http;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Most bytes that are read of one response before its connection is closed: a head of 128 KB or an event
/// of 256 KB, and the buffers of both kernels.
const MAX_RESPONSE_BYTES: usize = 8 << 20;

/// Highest resident memory of an entry.
const MAX_MEMORY_BYTES: u64 = 48 << 20;

/// Longest time for which a connection to an upstream stays open: the timeout of the routes.
const ROUTE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time between two units of a slow response.
const SLOW_INTERVAL: Duration = Duration::from_millis(20);

/// Time between two calls of an upstream.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);

/// Requests of a test, and clients that send them.
const REQUESTS: usize = 40;
const CLIENTS: usize = 4;

const DECLARATION: &str = r#"{"Version":3,
 "Routes":[
  {"Name":"r1","Host":"host","PathPrefix":"/check/","Kind":"idempotent","TimeoutMs":1500,"TargetLatencyMs":150,
   "Service":"s1","MaxAttempts":2},
  {"Name":"r2","Host":"host","PathPrefix":"/stream/","Kind":"streaming","TimeoutMs":1500,"TargetLatencyMs":150,
   "Service":"s1","MaxAttempts":2,"StreamResumption":true,"GapTargetMs":200},
  {"Name":"r3","Host":"host","PathPrefix":"/other/","Kind":"idempotent","TimeoutMs":1500,"TargetLatencyMs":150,
   "Service":"s2","MaxAttempts":2}],
 "Services":[{"Name":"s1","ConnectionLimit":50},{"Name":"s2","ConnectionLimit":50},
  {"Name":"engines","ConnectionLimit":50,"InferenceEngine":{"Slots":8,"LoadsPerS":20.0,
   "loads_at_once":20,"FormationMs":100.0,
   "Models":[{"Name":"m1","size":2,"Share":1.0,"pace":1.0,"LoadTimeS":0.4,"WarmupS":0.3}]}}],
 "Tenants":[{"Name":"t1","ApiKeys":["key"]}]}"#;

/// A response without an end: how it begins, and what is repeated.
#[derive(Clone, Copy, Debug)]
struct Endless {
    prefix: &'static str,
    unit: &'static str,
    interval: Option<Duration>,
}

const fn fast(prefix: &'static str, unit: &'static str) -> Endless {
    Endless { prefix, unit, interval: None }
}

const fn slow(prefix: &'static str, unit: &'static str) -> Endless {
    Endless { prefix, unit, interval: Some(SLOW_INTERVAL) }
}

const CHUNKED: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const INTERIM: &str = "HTTP/1.1 100 Continue\r\n\r\n";
const SIGNED_EVENTS: &str = "HTTP/1.1 200 OK\r\nHyssopfork-Attempt-Id: a1\r\n\
    Hyssopfork-Server-Signature: s\r\nContent-Type: text/event-stream\r\n\
    Transfer-Encoding: chunked\r\n\r\n";

/// Responses whose bytes are no answer.
const NO_ANSWERS: [Endless; 12] = [
    fast("", "x"),
    fast("HTTP/1.1 200 OK\r\nx-a: ", "y"),
    fast("HTTP/1.1 200 OK\r\n", "x-a: b\r\n"),
    fast("", "\r\n"),
    fast("", INTERIM),
    fast("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0"),
    fast("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1", ";x=y"),
    fast("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "x-a: b\r\n"),
    fast("HTTP/1.1 200 OK\r\n\r\n", "z"),
    slow("HTTP/1.1 200 OK\r\n", "x-a: b\r\n"),
    slow("", INTERIM),
    slow(CHUNKED, "1\r\nx\r\n"),
];

/// What an upstream observed of its connections.
#[derive(Debug, Default)]
struct Record {
    open: AtomicUsize,
    /// Bytes sent on each connection, and the time until it was closed.
    closed: Mutex<Vec<(usize, Duration)>>,
}

impl Record {
    /// Waits until all connections are closed, and checks when and after how many bytes each was.
    fn check(&self, response: &Endless, max_time: Duration) {
        let since = Instant::now();
        while self.open.load(Ordering::SeqCst) > 0 {
            assert!(since.elapsed() < 2 * max_time, "{response:?} is still read");
            thread::sleep(Duration::from_millis(10));
        }
        let closed = self.closed.lock().expect("no thread panics");
        assert!(!closed.is_empty(), "{response:?} was never asked for");
        for (bytes, time) in closed.iter() {
            assert!(*bytes < MAX_RESPONSE_BYTES, "{bytes} bytes of {response:?} were read");
            assert!(*time < max_time, "{response:?} was read for {time:?}");
        }
    }
}

/// Starts an upstream that answers each request on each connection with `response`.
fn start_upstream(response: Endless, record: &Arc<Record>) -> SocketAddr {
    let listener = http::free_listener().expect("a free port");
    let address = listener.local_addr().expect("the listener is bound");
    let shared = record.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let record = shared.clone();
            thread::spawn(move || respond(stream, &response, &record));
        }
    });
    address
}

/// Sends the response until the connection is closed. A connection without a request doesn't count.
fn respond(mut stream: TcpStream, response: &Endless, record: &Record) {
    if !matches!(stream.read(&mut [0; 4096]), Ok(1..)) {
        return;
    }
    record.open.fetch_add(1, Ordering::SeqCst);
    let since = Instant::now();
    let repeats = if response.interval.is_some() { 1 } else { 4_096 / response.unit.len() };
    let units = response.unit.repeat(repeats);
    let mut bytes = 0;
    let mut part = response.prefix.as_bytes();
    while stream.write_all(part).is_ok() {
        bytes += part.len();
        part = units.as_bytes();
        thread::sleep(response.interval.unwrap_or_default());
    }
    record.closed.lock().expect("no thread panics").push((bytes, since.elapsed()));
    record.open.fetch_sub(1, Ordering::SeqCst);
}

fn registration(service: &str, instance: &str, address: SocketAddr, sequence: usize) -> String {
    let body = format!(
        r#"{{"Service":"{service}","Address":"{address}","Zone":"z1","Slots":8,"State":"ready",
            "Sequence":{sequence},"born":1}}"#
    );
    support::request("PUT", &format!("/instances/{instance}"), "", &body)
}

/// An entry with a sound upstream of each plain service, and the endless one.
struct Site {
    edge: Edge,
    record: Arc<Record>,
    is_over: Arc<AtomicBool>,
}

impl Drop for Site {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::SeqCst);
    }
}

impl Site {
    fn start(name: &str, service: &'static str, response: Endless) -> Site {
        let site = Site::start_sound(name);
        site.register(service, "i-3", start_upstream(response, &site.record));
        site
    }

    /// Starts an entry with the sound upstreams only.
    fn start_sound(name: &str) -> Site {
        let site =
            Site { edge: Edge::start(name), record: Arc::default(), is_over: Arc::default() };
        let edge = &site.edge;
        let declare = support::request("PUT", "/configuration", "", DECLARATION);
        edge.call_until(edge.control_address, &declare, 200);
        site.register("s1", "i-1", plain_upstream::start().0);
        site.register("s2", "i-2", plain_upstream::start().0);
        // The entry earns the retries of a few requests.
        edge.call_until(edge.client_address, &get("/other/x"), 200);
        edge.call_until(edge.client_address, &get("/check/x"), 200);
        assert_eq!(site.count_served("/check/x"), REQUESTS);
        site
    }

    /// Registers an upstream and sends its heartbeats.
    fn register(&self, service: &'static str, instance: &'static str, address: SocketAddr) {
        let (to, is_over) = (self.edge.control_address, self.is_over.clone());
        self.edge.call_until(to, &registration(service, instance, address, 1), 200);
        thread::spawn(move || {
            for sequence in 2.. {
                thread::sleep(HEARTBEAT_INTERVAL);
                if is_over.load(Ordering::SeqCst) {
                    return;
                }
                let _any = support::call(to, &registration(service, instance, address, sequence));
            }
        });
    }

    /// Sends requests, a few at a time; returns how many were answered completely and correctly.
    fn count_served(&self, path: &'static str) -> usize {
        let clients = (0..CLIENTS).map(|_| {
            let to = self.edge.client_address;
            thread::spawn(move || {
                let is_served = |_: &usize| {
                    let response = support::call_within(to, &get(path), 2 * ROUTE_TIMEOUT);
                    response
                        .is_some_and(|response| response.status == 200 && response.body == "fine")
                };
                (0..REQUESTS / CLIENTS).filter(is_served).count()
            })
        });
        let clients: Vec<_> = clients.collect();
        clients.into_iter().map(|client| client.join().expect("no client panics")).sum()
    }

    fn check_memory(&self, response: &Endless) {
        let memory = self.edge.peak_memory();
        assert!(memory < MAX_MEMORY_BYTES, "{memory} bytes beside {response:?}");
    }
}

fn get(path: &str) -> String {
    let headers = "Hyssopfork-Credential: key\r\nHyssopfork-Attempt-Id: a1\r\n";
    support::request("GET", path, headers, "")
}

/// Guards against an entry that fills its memory with a response without an end, keeps its connection, or
/// passes its bytes on, and against requests that are not tried elsewhere.
#[test]
fn requests_are_served_beside_upstreams_whose_responses_have_no_end() {
    let threads = NO_ANSWERS.iter().enumerate().map(|(index, response)| {
        thread::spawn(move || {
            let site = Site::start(&format!("endless-{index}"), "s1", *response);

            let served = site.count_served("/check/x");
            let others = site.count_served("/other/x");

            assert_eq!((served, others), (REQUESTS, REQUESTS), "beside {response:?}");
            site.record.check(response, 2 * ROUTE_TIMEOUT);
            let asked = site.record.closed.lock().expect("no thread panics").len();
            assert!(asked <= REQUESTS / 4, "{asked} requests went to {response:?}");
            site.check_memory(response);
        })
    });
    for thread in threads.collect::<Vec<_>>() {
        thread.join().expect("the requests are served");
    }
}

/// Guards against a stream that fills an entry's memory with an event without an end.
#[test]
fn streams_whose_events_have_no_end_are_closed() {
    let events = [
        fast(SIGNED_EVENTS, "1000\r\n"),
        fast(SIGNED_EVENTS, "3\r\nabc\r\n"),
        slow(SIGNED_EVENTS, "3\r\nabc\r\n"),
    ];
    for (index, response) in events.iter().enumerate() {
        let site = Site::start(&format!("endless-stream-{index}"), "s1", *response);

        site.count_served("/stream/x");
        let others = site.count_served("/other/x");

        assert_eq!(others, REQUESTS, "beside {response:?}");
        site.record.check(response, 2 * ROUTE_TIMEOUT);
        site.check_memory(response);
    }
}

/// Guards against a leader that fills its memory with the reports of an engine, or keeps asking on
/// connections that never end.
#[test]
fn reports_without_an_end_are_closed() {
    let report = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let reports = [
        fast("", "x"),
        fast("", INTERIM),
        fast("HTTP/1.1 200 OK\r\n\r\n", "{"),
        fast(report, "8\r\n[[[[[[[[\r\n"),
        slow(report, "1\r\n[\r\n"),
        slow("HTTP/1.1 200 OK\r\n", "x-a: b\r\n"),
    ];
    for (index, response) in reports.iter().enumerate() {
        let site = Site::start(&format!("endless-report-{index}"), "engines", *response);

        thread::sleep(Duration::from_secs(1));
        let others = site.count_served("/other/x");

        assert_eq!(others, REQUESTS, "beside {response:?}");
        site.check_memory(response);
        // The leader goes on asking, on a new connection each time.
        let closed = site.record.closed.lock().expect("no thread panics");
        assert!(!closed.is_empty(), "{response:?} was never asked for");
        for (bytes, time) in closed.iter() {
            assert!(*bytes < MAX_RESPONSE_BYTES, "{bytes} bytes of {response:?} were read");
            assert!(*time < Duration::from_millis(700), "{response:?} was read for {time:?}");
        }
    }
}

const REPORT: &str = r#"{"Phase":"combined","Models":[],"Busy":false,"Sequence":0,"QueuedRequests":0,
    "ActiveRequests":0,"KvUsed":0,"KvTotal":90000,"KvHandles":0}"#;

/// Starts an engine whose reports are sound and whose responses to orders have no end.
fn start_engine(response: Endless, record: &Arc<Record>) -> SocketAddr {
    let listener = http::free_listener().expect("a free port");
    let address = listener.local_addr().expect("the listener is bound");
    let shared = record.clone();
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let record = shared.clone();
            thread::spawn(move || {
                let mut start = [0; 4];
                if !matches!(stream.peek(&mut start), Ok(1..)) {
                    return;
                }
                if start.starts_with(b"POST") {
                    return respond(stream, &response, &record);
                }
                let _any = stream.read(&mut [0; 4096]);
                let length = REPORT.len();
                let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n");
                let _any = stream.write_all((head + REPORT).as_bytes());
            });
        }
    });
    address
}

/// Guards against a leader that fills its memory with the responses of an engine to its orders, or keeps
/// the connections.
#[test]
fn responses_to_orders_without_an_end_are_closed() {
    let responses = [
        fast("", "x"),
        fast("", INTERIM),
        fast("HTTP/1.1 202 Accepted\r\n", "x-a: b\r\n"),
        fast("HTTP/1.1 202 Accepted\r\nTransfer-Encoding: chunked\r\n\r\n", "8\r\n[[[[[[[[\r\n"),
        slow("HTTP/1.1 202 Accepted\r\n", "x-a: b\r\n"),
    ];
    let threads = responses.into_iter().enumerate().map(|(index, response)| {
        thread::spawn(move || {
            let site = Site::start_sound(&format!("endless-order-{index}"));
            for instance in ["e-1", "e-2"] {
                site.register("engines", instance, start_engine(response, &site.record));
            }
            let since = Instant::now();
            let is_asked = || !site.record.closed.lock().expect("no thread panics").is_empty();
            while !is_asked() && since.elapsed() < Duration::from_secs(15) {
                thread::sleep(Duration::from_millis(50));
            }
            thread::sleep(Duration::from_secs(2));
            let others = site.count_served("/other/x");

            assert_eq!(others, REQUESTS, "beside {response:?}");
            site.check_memory(&response);
            let closed = site.record.closed.lock().expect("no thread panics");
            assert!(!closed.is_empty(), "no order was sent to {response:?}");
            for (bytes, time) in closed.iter() {
                assert!(*bytes < MAX_RESPONSE_BYTES, "{bytes} bytes of {response:?} were read");
                assert!(*time < Duration::from_millis(900), "{response:?} was read for {time:?}");
            }
        })
    });
    for thread in threads.collect::<Vec<_>>() {
        thread.join().expect("the orders end");
    }
}
