//! Memory of an edge process whose peers don't read, and completeness of large responses.

use crate::plain_upstream;
use crate::support::{self, Edge};
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Memory of the process in the tests, in MB.
const MEMORY_MB: u64 = 160;

/// Limit of its resident memory, in bytes.
const MAX_RESIDENT_BYTES: u64 = 120 << 20;

/// Slow clients of each kind.
const SLOW_CLIENTS: usize = 150;

/// Size of a large request body, in bytes.
const BODY_BYTES: usize = 2 << 20;

/// Time for which slow clients keep coming. Those that don't read are disconnected after 5 s.
const LOAD_TIME: Duration = Duration::from_secs(8);

/// Interval between the connections of slow clients. The upstream has one thread that accepts, and
/// an upstream whose queue of connections overflows counts as unreachable.
const CONNECT_INTERVAL: Duration = Duration::from_millis(4);

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);

const FAST_CLIENTS: usize = 8;
const FAST_INTERVAL: Duration = Duration::from_millis(20);

const DECLARATION: &str = r#"{"Version":3,
 "Routes":[
  {"Name":"r1","Host":"host","PathPrefix":"/check/","Kind":"idempotent","TimeoutMs":30000,
   "Service":"s1","MaxAttempts":2},
  {"Name":"r2","Host":"host","PathPrefix":"/lodge/","Kind":"non_idempotent","TimeoutMs":30000,
   "Service":"s1","MaxAttempts":1}],
 "Services":[{"Name":"s1","ConnectionLimit":4000}],
 "Tenants":[{"Name":"t1","ApiKeys":["key"]}]}"#;

const HEADERS: &str = "Hyssopfork-Credential: key\r\nHyssopfork-Attempt-Id: a1\r\n";

/// Starts a process with a declaration and one upstream.
fn start_serving(name: &str, upstream: SocketAddr) -> Edge {
    let edge = Edge::start_with(name, &format!(r#""memory_mb": {MEMORY_MB},"#));
    let declare = support::request("PUT", "/configuration", "", DECLARATION);
    edge.call_until(edge.control_address, &declare, 200);
    edge.call_until(edge.control_address, &plain_upstream::registration(upstream, 1), 200);
    edge.call_until(edge.client_address, &get("/check/quick"), 200);
    edge
}

fn get(path: &str) -> String {
    support::request("GET", path, HEADERS, "")
}

/// Opens connections that ask for `path` and read nothing.
fn open_unread(to: SocketAddr, path: &str, count: usize) -> Vec<TcpStream> {
    let open = |_| {
        let mut stream = TcpStream::connect(to).expect("the process listens");
        stream.write_all(get(path).as_bytes()).expect("the request is sent");
        thread::sleep(CONNECT_INTERVAL);
        stream
    };
    (0..count).map(open).collect()
}

/// Sends a body that no upstream reads; returns the response.
fn send_unread_body(to: SocketAddr) -> Option<support::Response> {
    let mut stream = TcpStream::connect(to).ok()?;
    stream.set_write_timeout(Some(LOAD_TIME)).ok()?;
    stream.set_read_timeout(Some(LOAD_TIME)).ok()?;
    let head = format!(
        "POST /lodge/unread HTTP/1.1\r\nHost: host\r\n{HEADERS}Content-Length: {BODY_BYTES}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).ok()?;
    let _rejected_early = stream.write_all(&vec![b'x'; BODY_BYTES]);
    support::receive(&mut BufReader::new(stream))
}

/// Requests of fast clients that were sent and served until `stopped`.
fn run_fast_clients(to: SocketAddr, stopped: &AtomicBool) -> (usize, usize) {
    let (sent, served) = (AtomicUsize::new(0), AtomicUsize::new(0));
    thread::scope(|scope| {
        for _ in 0..FAST_CLIENTS {
            scope.spawn(|| {
                while !stopped.load(Ordering::SeqCst) {
                    let response =
                        support::call_within(to, &get("/check/quick"), Duration::from_secs(2));
                    sent.fetch_add(1, Ordering::SeqCst);
                    if response.as_ref().is_some_and(|it| it.status == 200) {
                        served.fetch_add(1, Ordering::SeqCst);
                    } else {
                        println!("fast client: {:?}", response.map(|it| (it.status, it.body)));
                    }
                    thread::sleep(FAST_INTERVAL);
                }
            });
        }
    });
    (sent.into_inner(), served.into_inner())
}

/// Announces the upstream until `stopped`. A silent one that counts as unreachable for a moment is
/// not used any more.
fn send_heartbeats(edge: &Edge, upstream: SocketAddr, stopped: &AtomicBool) {
    for sequence in 2.. {
        if stopped.load(Ordering::SeqCst) {
            return;
        }
        let _repeated_soon =
            support::call(edge.control_address, &plain_upstream::registration(upstream, sequence));
        thread::sleep(HEARTBEAT_INTERVAL);
    }
}

/// Waits until the metrics contain this line.
fn await_metric(edge: &Edge, line: &str) {
    let since = Instant::now();
    let request = "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n";
    let has_line = |text: &str| text.lines().any(|it| it == line);
    while !support::call(edge.metrics_address, request).is_some_and(|it| has_line(&it.body)) {
        assert!(since.elapsed() < Duration::from_secs(9), "no {line} in the metrics");
        thread::sleep(Duration::from_millis(100));
    }
}

/// Stops the fast clients when it is dropped, also by a failed check.
struct Stop<'a>(&'a AtomicBool);

impl Drop for Stop<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::SeqCst);
    }
}

/// Runs `slow` beside fast clients and checks the memory of the process and the fast clients.
fn check_bounded(name: &str, slow: impl FnOnce(&Edge)) {
    let (upstream, _) = plain_upstream::start();
    let edge = start_serving(name, upstream);
    let stopped = AtomicBool::new(false);
    let (sent, served) = thread::scope(|scope| {
        let fast = scope.spawn(|| run_fast_clients(edge.client_address, &stopped));
        scope.spawn(|| send_heartbeats(&edge, upstream, &stopped));
        let stop = Stop(&stopped);
        slow(&edge);
        drop(stop);
        fast.join().expect("no fast client panicked")
    });

    // What is counted for a request must not outlast it, or the budget would shrink for good.
    await_metric(&edge, "hyssopfork_held_bytes 0");
    let peak = edge.peak_memory();
    println!("{name}: peak {} KB, fast {served} of {sent}", peak >> 10);
    assert!(peak <= MAX_RESIDENT_BYTES, "{} MB", peak >> 20);
    assert!(sent > 100 && served * 100 >= sent * 99, "{served} of {sent}");
}

/// Guards against responses and events that are held for clients that don't read them.
#[test]
fn unread_responses_and_streams_take_bounded_memory() {
    check_bounded("unread-responses", |edge| {
        let to = edge.client_address;
        let mut held = Vec::new();
        for round in 0..2 {
            for path in ["/check/sized", "/check/chunked", "/check/events"] {
                held.extend(open_unread(to, path, SLOW_CLIENTS / 2));
            }
            if round == 0 {
                thread::sleep(LOAD_TIME / 2);
            }
        }
        thread::sleep(LOAD_TIME / 2);
    });
}

/// Guards against bodies that are held for upstreams that don't read them. Requests beyond the
/// budget are rejected, with a status that is true; the others fail when their upstream has read
/// nothing for 5 s, and may have run.
#[test]
fn unread_bodies_take_bounded_memory() {
    check_bounded("unread-bodies", |edge| {
        let to = edge.client_address;
        let (rejected, failed) = thread::scope(|scope| {
            let senders: Vec<_> =
                (0..SLOW_CLIENTS).map(|_| scope.spawn(move || send_unread_body(to))).collect();
            let responses = senders.into_iter().filter_map(|it| it.join().expect("no panic"));
            let (rejected, others): (Vec<_>, Vec<_>) =
                responses.partition(|it| it.status == 503 && it.body.contains("\"memory\""));
            assert!(rejected.iter().all(|it| it.head.to_lowercase().contains("retry-after")));
            assert!(others.iter().all(|it| it.status == 502), "{others:?}");
            (rejected.len(), others.len())
        });
        assert!(rejected > 0, "no request was rejected for lack of memory");
        assert!(failed > 0, "no upstream that reads nothing counted as failed");
    });
}

/// Guards against a large response that is changed on its way, or forwarded only in part.
#[test]
fn large_responses_arrive_complete() {
    let (upstream, _) = plain_upstream::start();
    let edge = start_serving("large", upstream);

    for path in ["/check/sized", "/lodge/chunked"] {
        let response = support::call(edge.client_address, &get(path)).expect("it is complete");

        assert_eq!(response.status, 200);
        assert!(response.head.to_lowercase().contains("hyssopfork-server-signature: s"));
        assert_eq!(response.body.len(), plain_upstream::LARGE_BYTES);
        assert!(response.body.bytes().all(|byte| byte == b'x'));
    }
}

/// Guards against a response that is forwarded as it arrives and taken for a complete one although
/// its upstream broke off.
#[test]
fn truncated_large_responses_are_never_complete() {
    let (upstream, record) = plain_upstream::start();
    let edge = start_serving("truncated", upstream);
    let before = record.requests.load(Ordering::SeqCst);

    for path in ["/check/truncated", "/check/chunks-truncated", "/lodge/truncated"] {
        assert!(support::call(edge.client_address, &get(path)).is_none(), "{path}");
    }

    assert_eq!(record.requests.load(Ordering::SeqCst) - before, 3, "none was sent again");
}

/// Guards against clients that hold a response for as long as they like.
#[test]
fn a_client_that_does_not_read_is_disconnected() {
    let (upstream, _) = plain_upstream::start();
    let edge = start_serving("stalled", upstream);
    let mut unread = open_unread(edge.client_address, "/check/sized", 1);

    await_metric(&edge, "hyssopfork_stalled_clients_total 1");

    let mut received = Vec::new();
    let _reset = unread[0].read_to_end(&mut received);
    assert!(received.len() < plain_upstream::LARGE_BYTES);
}
