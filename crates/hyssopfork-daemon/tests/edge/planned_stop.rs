//! Requests that arrive at any time of a planned stop, on connections that stay open and on new ones.

use crate::support::{self, Edge};
use hyssopfork_test_support::http;
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Grace period of the process, which [`Edge`] sets, and the time for which clients go on.
const GRACE_PERIOD: Duration = Duration::from_secs(6);
const CLIENT_TIME: Duration = Duration::from_secs(8);

/// Time between two requests of a client.
const INTERVAL: Duration = Duration::from_millis(40);

/// Clients of each kind, and the times that the upstream works on their requests, in milliseconds.
const WORK_MS: [u64; 4] = [1, 100, 900, 2_500];

/// Latest time after the signal at which a request is sent whose work may be broken off at the end of the
/// grace period, and the part of that period at whose end it may be.
const LONG_REQUEST_TIME: Duration = Duration::from_secs(3);
const LAST_PART: u32 = 6;

/// Size of a response that is read slowly, in bytes, of each read, and the pause between two.
const SLOW_BYTES: usize = 600 << 10;
const SLOW_READ_BYTES: usize = 16 << 10;
const SLOW_READ_INTERVAL: Duration = Duration::from_millis(60);

const DECLARATION: &str = r#"{"Version":1,
 "Routes":[
  {"Name":"many","Host":"host","PathPrefix":"/many/","Kind":"idempotent","TimeoutMs":8000,
   "Service":"s1","MaxAttempts":2},
  {"Name":"once","Host":"host","PathPrefix":"/once/","Kind":"non_idempotent","TimeoutMs":8000,
   "Service":"s1","MaxAttempts":1}],
 "Services":[{"Name":"s1","ConnectionLimit":4000}]}"#;

/// When the upstream began to work on each request, by its identifier.
type Record = Arc<Mutex<BTreeMap<String, Vec<Instant>>>>;

fn start_upstream(record: Record) -> SocketAddr {
    let listener = http::free_listener().expect("a free port");
    let address = listener.local_addr().expect("the listener is bound");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let record = record.clone();
            thread::spawn(move || serve(stream, &record));
        }
    });
    address
}

/// Works on each request for as long as its path states; an error ends the connection.
fn serve(stream: TcpStream, record: &Record) -> Option<()> {
    let mut writer = stream.try_clone().ok()?;
    let mut reader = BufReader::new(stream);
    loop {
        let head = read_head(&mut reader)?;
        let header = |name: &str| {
            let line = head.lines().find(|line| line.to_lowercase().starts_with(name))?;
            line.split_once(':').map(|(_, value)| value.trim().to_owned())
        };
        let length = header("content-length").and_then(|it| it.parse().ok()).unwrap_or(0);
        reader.read_exact(&mut vec![0; length]).ok()?;
        let identifier = header("hyssopfork-attempt-id")?;
        let begun = Instant::now();
        record.lock().expect("no panic").entry(identifier.clone()).or_default().push(begun);
        let path = head.split(' ').nth(1)?.to_owned();
        let last = path.rsplit('/').next()?;
        let size = if last == "slow" { SLOW_BYTES } else { 800 };
        thread::sleep(Duration::from_millis(last.parse().unwrap_or(0)));
        let mut response = format!(
            "HTTP/1.1 200 OK\r\nHyssopfork-Attempt-Id: {identifier}\r\n\
             Hyssopfork-Server-Signature: s\r\nContent-Length: {size}\r\n\r\n"
        )
        .into_bytes();
        response.resize(response.len() + size, b'x');
        writer.write_all(&response).ok()?;
    }
}

fn read_head(reader: &mut impl BufRead) -> Option<String> {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if reader.read_line(&mut head).ok()? == 0 {
            return None;
        }
    }
    Some(head)
}

/// A request as its client saw it.
#[derive(Clone, Debug)]
struct Outcome {
    identifier: String,
    work: Duration,
    sent_at: Instant,
    ended_at: Instant,
    /// Status of a complete response; `None` if the connection ended before.
    status: Option<u16>,
}

/// Sends requests, each on the connection of the one before while it is open, until `end`. Connections
/// that can't be opened are tried again.
fn send_requests(
    to: SocketAddr,
    name: &str,
    route: &str,
    work_ms: u64,
    end: Instant,
) -> Vec<Outcome> {
    let mut outcomes = Vec::new();
    let mut connection: Option<BufReader<TcpStream>> = None;
    for number in 0.. {
        thread::sleep(INTERVAL);
        if Instant::now() >= end {
            break;
        }
        let mut open = match connection.take() {
            Some(open) => open,
            None => match TcpStream::connect_timeout(&to, Duration::from_millis(200)) {
                Ok(stream) => {
                    stream.set_read_timeout(Some(CLIENT_TIME)).expect("the socket is open");
                    BufReader::new(stream)
                }
                Err(_) => continue,
            },
        };
        let identifier = format!("{name}-{number}");
        let headers = format!("Hyssopfork-Attempt-Id: {identifier}\r\n");
        let request = support::request("POST", &format!("/{route}/{work_ms}"), &headers, "{}");
        let sent_at = Instant::now();
        let is_sent = open.get_mut().write_all(request.as_bytes()).is_ok();
        let response = is_sent.then(|| support::receive(&mut open)).flatten();
        let is_kept = response
            .as_ref()
            .is_some_and(|it| !it.head.to_lowercase().contains("connection: close"));
        connection = is_kept.then_some(open);
        outcomes.push(Outcome {
            identifier,
            work: Duration::from_millis(work_ms),
            sent_at,
            ended_at: Instant::now(),
            status: response.map(|it| it.status),
        });
    }
    outcomes
}

/// Reads a large response slowly; returns the number of bytes of its body.
fn read_slowly(to: SocketAddr, identifier: &str) -> usize {
    let headers = format!("Hyssopfork-Attempt-Id: {identifier}\r\n");
    let request = support::request("POST", "/many/slow", &headers, "{}");
    let mut stream = TcpStream::connect(to).expect("the process accepts");
    stream.write_all(request.as_bytes()).expect("the request is sent");
    let mut reader = BufReader::with_capacity(1 << 10, stream);
    read_head(&mut reader).expect("the response begins");
    let mut body = vec![0; SLOW_READ_BYTES];
    let mut total = 0;
    while total < SLOW_BYTES {
        thread::sleep(SLOW_READ_INTERVAL);
        match reader.read(&mut body) {
            Ok(0) | Err(_) => break,
            Ok(count) => total += count,
        }
    }
    total
}

/// Whether the request may end without a response: its work was not over in the last part of the grace
/// period, and it was sent early.
fn may_be_broken_off(outcome: &Outcome, signalled_at: Instant, begun: Instant) -> bool {
    let last_part = signalled_at + GRACE_PERIOD - GRACE_PERIOD / LAST_PART;
    outcome.sent_at <= signalled_at + LONG_REQUEST_TIME && begun + outcome.work >= last_part
}

/// Guards against requests that are taken late in the grace period of a planned stop, passed on, and cut at
/// its end without a response, and against responses that end with the process.
#[test]
fn requests_during_a_planned_stop_are_answered_or_not_passed_on() {
    let record = Record::default();
    let upstream = start_upstream(record.clone());
    let edge = Edge::start("planned-stop");
    let declare = support::request("PUT", "/configuration", "", DECLARATION);
    edge.call_until(edge.control_address, &declare, 200);
    let body = format!(
        r#"{{"Service":"s1","Address":"{upstream}","Zone":"z1","Slots":4000,"State":"ready",
            "Sequence":1,"born":1}}"#
    );
    let register = support::request("PUT", "/instances/i-1", "", &body);
    edge.call_until(edge.control_address, &register, 200);
    let probe = support::request("POST", "/many/1", "Hyssopfork-Attempt-Id: probe\r\n", "{}");
    edge.call_until(edge.client_address, &probe, 200);

    let to = edge.client_address;
    let end = Instant::now() + CLIENT_TIME;
    let clients: Vec<_> = WORK_MS
        .into_iter()
        .flat_map(|work_ms| ["many", "once"].map(|route| (route, work_ms)))
        .map(|(route, work_ms)| {
            let name = format!("{route}-{work_ms}");
            thread::spawn(move || send_requests(to, &name, route, work_ms, end))
        })
        .collect();
    let slow: Vec<_> =
        (0..4).map(|it| thread::spawn(move || read_slowly(to, &format!("slow-{it}")))).collect();
    thread::sleep(Duration::from_millis(600));
    let signalled_at = Instant::now();
    edge.terminate();

    let outcomes: Vec<Outcome> =
        clients.into_iter().flat_map(|it| it.join().expect("no client panics")).collect();
    let record = record.lock().expect("no panic");
    let begun =
        |outcome: &Outcome| record.get(&outcome.identifier).and_then(|it| it.first().copied());
    let lost: Vec<&Outcome> = outcomes
        .iter()
        .filter(|it| it.status.is_none())
        .filter(|it| begun(it).is_some_and(|begun| !may_be_broken_off(it, signalled_at, begun)))
        .collect();
    assert!(lost.is_empty(), "signalled at {signalled_at:?}, lost: {lost:?}");
    let held = outcomes.iter().filter(|it| it.status.is_none() && begun(it).is_none());
    let held: Vec<&Outcome> =
        held.filter(|it| it.ended_at > it.sent_at + Duration::from_millis(200)).collect();
    assert!(held.is_empty(), "read and ended without a response: {held:?}");
    let is_false = |it: &&Outcome| it.status == Some(503) && begun(it).is_some();
    let refused: Vec<&Outcome> = outcomes.iter().filter(is_false).collect();
    assert!(refused.is_empty(), "refused as not run: {refused:?}");
    let late = outcomes.iter().filter(|it| it.sent_at > signalled_at && it.status == Some(200));
    assert!(late.count() > 20, "requests are served during the stop");
    for client in slow {
        assert_eq!(client.join().expect("no client panics"), SLOW_BYTES);
    }
}
