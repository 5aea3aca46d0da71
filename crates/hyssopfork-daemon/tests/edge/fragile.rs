//! Upstreams that crash on a certain request and restart after a delay. They can name a rate limit.

use crate::{fleet, support};
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Body of the request that crashes an upstream.
pub const DEADLY: &str = "deadly";

/// Time that a request runs, including one that then crashes its upstream.
const RUN: Duration = Duration::from_millis(80);

/// Time from a crash until the upstream restarts.
const DOWN: Duration = Duration::from_millis(1_500);

/// Interval between announcements.
const HEARTBEAT: Duration = Duration::from_millis(300);

/// Interval at which the listener is polled for connections.
const ACCEPT_INTERVAL: Duration = Duration::from_millis(2);

/// What the upstreams of a test observed, and what the test sets for them.
#[derive(Debug, Default)]
pub struct Record {
    stopped: AtomicBool,
    /// When crashing requests arrived.
    pub arrivals: Mutex<Vec<Instant>>,
    /// When upstreams crashed.
    pub crashes: Mutex<Vec<Instant>>,
    /// Rate limit that each upstream names, in requests per second.
    pub named_rate: Mutex<Option<f64>>,
    /// All requests: index of the upstream and time of arrival.
    pub requests: Mutex<Vec<(usize, Instant)>>,
}

impl Record {
    /// Stops the upstreams.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::Relaxed);
    }

    /// Whether the upstreams are to stop.
    pub fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::Relaxed)
    }
}

/// One process of an upstream.
struct Process {
    place: usize,
    address: SocketAddr,
    instance: String,
    crashed: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
}

impl Process {
    fn is_over(&self, record: &Record) -> bool {
        record.is_stopped() || self.crashed.load(Ordering::Relaxed)
    }
}

/// Runs an upstream, which restarts after each crash, until the test stops it.
pub fn run(record: &Arc<Record>, place: usize, port: u16, control: &[SocketAddr]) {
    let address = SocketAddr::from(([127, 0, 2, place as u8 + 1], port));
    for life in 0.. {
        if record.is_stopped() {
            return;
        }
        let listener = TcpListener::bind(address).expect("the address is free");
        let process = Arc::new(Process {
            place,
            address,
            instance: format!("i-{place}-{life}"),
            crashed: AtomicBool::new(false),
            connections: Mutex::default(),
        });
        let (announced, watched, to) = (process.clone(), record.clone(), control.to_vec());
        let announcer = thread::spawn(move || announce(&announced, &watched, &to));
        accept(&listener, &process, record);
        drop(listener);
        for connection in process.connections.lock().expect("no holder panics").drain(..) {
            let _already_closed = connection.shutdown(Shutdown::Both);
        }
        announcer.join().expect("it doesn't panic");
        thread::sleep(DOWN);
    }
}

fn accept(listener: &TcpListener, process: &Arc<Process>, record: &Arc<Record>) {
    listener.set_nonblocking(true).expect("it is open");
    while !process.is_over(record) {
        let Ok((stream, _)) = listener.accept() else {
            thread::sleep(ACCEPT_INTERVAL);
            continue;
        };
        stream.set_nonblocking(false).expect("it is open");
        let kept = stream.try_clone().expect("it is open");
        process.connections.lock().expect("no holder panics").push(kept);
        let (process, record) = (process.clone(), record.clone());
        thread::spawn(move || serve(stream, &process, &record));
    }
}

fn announce(process: &Process, record: &Record, control: &[SocketAddr]) {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("the clock is set");
    let born = now.as_millis();
    for sequence in 1.. {
        if process.is_over(record) {
            return;
        }
        let body = format!(
            r#"{{"Service":"s1","Address":"{}","Zone":"z1","Slots":16,"State":"ready","Sequence":{sequence},"born":{born}}}"#,
            process.address
        );
        let path = format!("/instances/{}", process.instance);
        let request = support::request("PUT", &path, "", &body);
        let _again_soon = fleet::Fleet::insist(control, &request, 1);
        thread::sleep(HEARTBEAT);
    }
}

fn serve(stream: TcpStream, process: &Process, record: &Record) {
    let mut writer = stream.try_clone().expect("it is open");
    let mut reader = BufReader::new(stream);
    while let Some((identifier, body)) = receive(&mut reader) {
        let arrival = (process.place, Instant::now());
        record.requests.lock().expect("no holder panics").push(arrival);
        let deadly = body == DEADLY;
        if deadly {
            record.arrivals.lock().expect("no holder panics").push(Instant::now());
        }
        thread::sleep(RUN);
        if deadly {
            if !process.crashed.swap(true, Ordering::Relaxed) {
                record.crashes.lock().expect("no holder panics").push(Instant::now());
            }
            return;
        }
        let rate = *record.named_rate.lock().expect("no holder panics");
        let limit = rate.map(|rate| format!("Server-Limit: {rate:.1}\r\n")).unwrap_or_default();
        let answer = format!(
            "HTTP/1.1 200 OK\r\nHyssopfork-Attempt-Id: {identifier}\r\n{limit}\
             Hyssopfork-Server-Signature: s\r\nContent-Length: 4\r\n\r\nfine"
        );
        if process.is_over(record) || writer.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

/// Receives a request; returns its attempt identifier and body.
fn receive(reader: &mut impl BufRead) -> Option<(String, String)> {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if reader.read_line(&mut head).ok()? == 0 {
            return None;
        }
    }
    let lower = head.to_lowercase();
    let field = |name: &str| lower.split(name).nth(1)?.split("\r\n").next().map(str::to_owned);
    let length = field("\r\ncontent-length: ")?.parse().ok()?;
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some((field("\r\nhyssopfork-attempt-id: ")?, String::from_utf8(body).ok()?))
}
