//! A runner of a plain service, as the users' pages describe it: it registers itself, runs requests,
//! refuses those for another runner, tells its load and its health, and may be cold.

use crate::http;
use crate::record::Record;
use std::collections::BTreeMap;
use std::io::{BufReader, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Properties of the service that the configuration declares.
#[derive(Clone, Copy)]
pub struct Service {
    pub slots: usize,
    pub work: Duration,
    pub cold_time: Duration,
    /// Requests in a second that crash a cold runner: well above the declared rate.
    pub crash_rate: usize,
}

#[derive(Default)]
struct State {
    cold_until: Option<Instant>,
    /// Requests that arrived and were not refused with 421: when, and whether it was cold then.
    arrivals: Vec<(Instant, bool)>,
    /// Open connections, by their numbers.
    connections: BTreeMap<u64, TcpStream>,
}

/// A runner.
pub struct Runner {
    id: String,
    zone: String,
    address: SocketAddr,
    born: u64,
    service: Service,
    state: Mutex<State>,
    running: AtomicUsize,
    sequence: AtomicU64,
    is_up: AtomicBool,
    /// Number of acknowledged pings.
    acknowledged: AtomicUsize,
    record: Arc<Record>,
}

impl Runner {
    /// Starts a runner at a free port of `ip`. It is warm, since it starts before the traffic.
    pub fn start(
        id: &str,
        zone: &str,
        ip: Ipv4Addr,
        service: Service,
        controls: Vec<SocketAddr>,
        record: &Arc<Record>,
    ) -> Arc<Runner> {
        let listener = TcpListener::bind((ip, 0));
        let listener = listener.expect("the runner's address is free");
        let address = listener.local_addr().expect("bound");
        let born = SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970").as_millis();
        let runner = Arc::new(Runner {
            id: id.to_owned(),
            zone: zone.to_owned(),
            address,
            born: born as u64,
            service,
            state: Mutex::default(),
            running: AtomicUsize::new(0),
            sequence: AtomicU64::new(0),
            is_up: AtomicBool::new(true),
            acknowledged: AtomicUsize::new(0),
            record: record.clone(),
        });
        record.line(&format!("runner {id} starts at {address}"));
        listener.set_nonblocking(true).expect("a listener");
        let accepting = runner.clone();
        thread::spawn(move || accepting.accept(&listener));
        let pinging = runner.clone();
        thread::spawn(move || pinging.ping(controls));
        runner
    }

    /// Ends as a crash does.
    fn crash(&self) {
        if !self.is_up.swap(false, Ordering::SeqCst) {
            return;
        }
        let state = self.state.lock().expect("no holder panics");
        for connection in state.connections.values() {
            let _closed = connection.shutdown(Shutdown::Both);
        }
        self.record.say(&format!("runner {} crashes", self.id));
    }

    pub fn is_up(&self) -> bool {
        self.is_up.load(Ordering::SeqCst)
    }

    /// Becomes cold, as a runner may at any moment.
    pub fn become_cold(&self) {
        let mut state = self.state.lock().expect("no holder panics");
        state.cold_until = Some(Instant::now() + self.service.cold_time);
        self.record.line(&format!("runner {} becomes cold", self.id));
    }

    fn cold_remaining(&self) -> Duration {
        let state = self.state.lock().expect("no holder panics");
        let remaining = state.cold_until.map(|it| it.saturating_duration_since(Instant::now()));
        remaining.unwrap_or_default()
    }

    /// Number of acknowledged pings.
    pub fn acknowledged(&self) -> usize {
        self.acknowledged.load(Ordering::SeqCst)
    }

    /// Requests that arrived so far.
    pub fn arrivals(&self) -> usize {
        self.state.lock().expect("no holder panics").arrivals.len()
    }

    /// Most requests that arrived within one second while it was cold.
    pub fn busiest_cold_second(&self) -> usize {
        let state = self.state.lock().expect("no holder panics");
        let cold: Vec<Instant> =
            state.arrivals.iter().filter(|(_, is_cold)| *is_cold).map(|(at, _)| *at).collect();
        let within = |from: &Instant| {
            let end = *from + Duration::from_secs(1);
            cold.iter().filter(|at| **at >= *from && **at < end).count()
        };
        cold.iter().map(within).max().unwrap_or_default()
    }

    fn accept(self: Arc<Self>, listener: &TcpListener) {
        let mut number = 0;
        while self.is_up() {
            match listener.accept() {
                Ok((stream, _)) => {
                    number += 1;
                    let runner = self.clone();
                    thread::spawn(move || runner.serve_connection(stream, number));
                }
                Err(_) => thread::sleep(Duration::from_millis(1)),
            }
        }
    }

    /// Serves a connection, which a crash closes.
    fn serve_connection(&self, stream: TcpStream, number: u64) {
        let configured = stream.set_nonblocking(false).and_then(|()| stream.set_nodelay(true));
        let Ok(kept) = configured.and_then(|()| stream.try_clone()) else { return };
        self.state.lock().expect("no holder panics").connections.insert(number, kept);
        self.serve(stream);
        self.state.lock().expect("no holder panics").connections.remove(&number);
    }

    fn serve(&self, mut stream: TcpStream) {
        let Ok(reading) = stream.try_clone() else { return };
        let mut reader = BufReader::new(reading);
        while self.is_up() {
            let Ok(head) = http::read_head(&mut reader) else { return };
            if head.is_empty() {
                return;
            }
            let request = http::Response { status: 0, head, body: Vec::new() };
            let length = request.header("content-length").and_then(|it| it.parse().ok());
            let mut body = vec![0; length.unwrap_or(0)];
            if reader.read_exact(&mut body).is_err() {
                return;
            }
            let answer = self.answer(&request);
            let Some(answer) = answer else { return };
            if !self.is_up() || stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// The answer to a request; `None` if the runner crashes.
    fn answer(&self, request: &http::Response) -> Option<String> {
        let path = request.head.split(' ').nth(1).unwrap_or_default().to_owned();
        let running = self.running.load(Ordering::SeqCst);
        let slots = self.service.slots;
        let load = format!("Hyssopfork-Server-Load: {running},0,{slots}\r\n");
        if path == "/health" {
            let cold = self.cold_remaining().as_millis();
            return Some(format!(
                "HTTP/1.1 200 OK\r\nHyssopfork-Instance-Id: {}\r\nHyssopfork-Cold-Remaining-Ms: {cold}\r\n{load}Content-Length: 0\r\n\r\n",
                self.id
            ));
        }
        let attempt = request.header("hyssopfork-attempt-id").unwrap_or_default().to_owned();
        let expected = request.header("hyssopfork-expected-instance");
        if expected.is_some_and(|expected| expected != self.id) {
            return Some(format!(
                "HTTP/1.1 421 Misdirected Request\r\nHyssopfork-Attempt-Id: {attempt}\r\nHyssopfork-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            ));
        }
        let is_cold = !self.cold_remaining().is_zero();
        let now = Instant::now();
        let recent = {
            let mut state = self.state.lock().expect("no holder panics");
            state.arrivals.push((now, is_cold));
            let is_recent =
                |(at, was_cold): &&(Instant, bool)| *was_cold && now - *at < Duration::from_secs(1);
            state.arrivals.iter().rev().take(1_000).filter(is_recent).count()
        };
        self.record.line(&format!("runner {} gets {attempt}, cold: {is_cold}", self.id));
        if is_cold && recent > self.service.crash_rate {
            self.crash();
            return None;
        }
        if self.running.fetch_add(1, Ordering::SeqCst) >= slots {
            self.running.fetch_sub(1, Ordering::SeqCst);
            return Some(format!(
                "HTTP/1.1 503 Service Unavailable\r\nHyssopfork-Attempt-Id: {attempt}\r\nHyssopfork-Not-Executed: 1\r\n{load}Content-Length: 0\r\n\r\n"
            ));
        }
        thread::sleep(self.service.work);
        self.running.fetch_sub(1, Ordering::SeqCst);
        Some(format!(
            "HTTP/1.1 200 OK\r\nHyssopfork-Attempt-Id: {attempt}\r\nHyssopfork-Server-Signature: s.{attempt}\r\n{load}Content-Type: text/plain\r\nContent-Length: 4\r\n\r\ndone"
        ))
    }

    /// Sends a ping each heartbeat interval, to the next daemon after a failure.
    fn ping(&self, controls: Vec<SocketAddr>) {
        let mut next = 0;
        let mut named: Option<SocketAddr> = None;
        while self.is_up() {
            let started = Instant::now();
            let mut tries = 0;
            while self.is_up() && tries < 8 {
                tries += 1;
                let to = named.unwrap_or(controls[next % controls.len()]);
                match self.ping_once(to) {
                    Some(address) => {
                        named = address.or(named);
                        break;
                    }
                    None => {
                        named = None;
                        next += 1;
                        thread::sleep(Duration::from_millis(50));
                    }
                }
            }
            while self.is_up() && started.elapsed() < crate::system::HEARTBEAT {
                thread::sleep(Duration::from_millis(5));
            }
        }
    }

    /// Sends one ping; returns the address for the next ones if it was acknowledged.
    fn ping_once(&self, to: SocketAddr) -> Option<Option<SocketAddr>> {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let cold = self.cold_remaining().as_millis();
        let body = format!(
            r#"{{"Service":"desk","Address":"{}","Zone":"{}","Version":"v1","Slots":{},"State":"ready","ColdRemainingMs":{cold},"Sequence":{sequence},"born":{}}}"#,
            self.address, self.zone, self.service.slots, self.born
        );
        let path = format!("/instances/{}", self.id);
        let mut to = to;
        for _ in 0..3 {
            let answer = http::call(to, "PUT", &path, &[], &body, Duration::from_secs(1)).ok()?;
            let target = answer
                .header("location")
                .and_then(|it| it.strip_prefix("http://")?.split('/').next()?.parse().ok());
            match (answer.status, target) {
                (307, Some(target)) => to = target,
                (200..300, _) => {
                    self.record.line(&format!(
                        "ping {sequence} of {} is acknowledged by {to}, cold for {cold} ms",
                        self.id
                    ));
                    self.acknowledged.fetch_add(1, Ordering::SeqCst);
                    let text = answer.text();
                    let named = text.split("\"HeartbeatAddress\":\"").nth(1);
                    return Some(named.and_then(|it| it.split('"').next()?.parse().ok()));
                }
                _ => return None,
            }
        }
        None
    }
}
