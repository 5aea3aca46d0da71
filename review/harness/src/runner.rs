//! A runner of a plain service, as a process of its own. It does what PROTOCOL.md says: it registers, serves,
//! refuses requests for other instances, and leaves. It takes orders from its standard input (`leave`, `exit`)
//! and writes what it does to its standard output.

use crate::http;
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Time within which a call must be acknowledged.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for which a runner doesn't call a daemon that has not answered.
const AVOID: Duration = Duration::from_secs(10);

struct Runner {
    id: String,
    service: String,
    zone: String,
    address: SocketAddr,
    born: u64,
    work: Duration,
    slots: usize,
    /// Daemons, in the order in which they are called.
    control: Vec<SocketAddr>,
    /// Daemons that are reached over a path of the harness, and the paths.
    paths: BTreeMap<SocketAddr, SocketAddr>,
    preferred: Mutex<Option<SocketAddr>>,
    failed: Mutex<BTreeMap<SocketAddr, Instant>>,
    sequence: AtomicU64,
    running: AtomicUsize,
    left: AtomicBool,
}

fn say(text: impl AsRef<str>) {
    let stdout = std::io::stdout();
    let mut stdout = stdout.lock();
    let _ = writeln!(stdout, "{}", text.as_ref());
    let _ = stdout.flush();
}

/// Arguments as `KEY=VALUE`: `id`, `service`, `zone`, `address`, `born`, `work_ms`, `slots`, `control` (daemons,
/// separated by commas), `path` (`DAEMON>PATH`, several separated by commas: daemons that are reached over a path
/// of the harness).
pub fn run(arguments: &[String]) {
    let get = |key: &str| {
        let mut pairs = arguments.iter().filter_map(|it| it.split_once('='));
        pairs.find(|(it, _)| *it == key).map(|(_, value)| value.to_owned())
    };
    let number = |key: &str, default: u64| get(key).map_or(default, |it| it.parse().unwrap());
    let text = |key: &str| get(key).unwrap_or_default();
    let paths = text("path");
    let paths = paths.split(',').filter_map(|it| it.split_once('>'));
    let runner = Arc::new(Runner {
        id: text("id"),
        service: text("service"),
        zone: text("zone"),
        address: text("address").parse().unwrap(),
        born: number("born", 0),
        work: Duration::from_millis(number("work_ms", 50)),
        slots: number("slots", 40) as usize,
        control: text("control").split(',').map(|it| it.parse().unwrap()).collect(),
        paths: paths
            .map(|(daemon, path)| (daemon.parse().unwrap(), path.parse().unwrap()))
            .collect(),
        preferred: Mutex::new(None),
        failed: Mutex::new(BTreeMap::new()),
        sequence: AtomicU64::new(0),
        running: AtomicUsize::new(0),
        left: AtomicBool::new(false),
    });
    let listener = TcpListener::bind(runner.address).expect("the runner's address is free");
    let serving = runner.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let runner = serving.clone();
            thread::spawn(move || drop(runner.serve(stream)));
        }
    });
    let beating = runner.clone();
    thread::spawn(move || {
        while !beating.left.load(Ordering::Relaxed) {
            beating.beat();
            thread::sleep(Duration::from_millis(1_200));
        }
    });
    for line in std::io::stdin().lock().lines().map_while(Result::ok) {
        match line.as_str() {
            "leave" => runner.leave(),
            _ => std::process::exit(0),
        }
    }
}

impl Runner {
    fn over_path(&self, daemon: SocketAddr) -> SocketAddr {
        self.paths.get(&daemon).copied().unwrap_or(daemon)
    }

    /// Daemons to call now: the one named for pings first, those that have not answered lately last.
    fn daemons(&self, is_ping: bool) -> Vec<SocketAddr> {
        let failed = self.failed.lock().unwrap();
        let is_avoided = |it: &SocketAddr| failed.get(it).is_some_and(|at| at.elapsed() < AVOID);
        let preferred = self.preferred.lock().unwrap().filter(|_| is_ping);
        let rest =
            self.control.iter().map(|it| self.over_path(*it)).filter(|it| Some(*it) != preferred);
        let mut daemons: Vec<SocketAddr> = preferred.into_iter().chain(rest).collect();
        daemons.sort_by_key(is_avoided);
        daemons
    }

    /// Calls the daemons in turn until one acknowledges.
    fn call(&self, method: &str, body: impl Fn() -> String) -> Option<SocketAddr> {
        let path = format!("/instances/{}", self.id);
        for daemon in self.daemons(method == "PUT") {
            let body = body();
            let headers = [("Content-Type", "application/json")];
            let sequence = self.sequence.load(Ordering::Relaxed);
            let answer = http::call(daemon, method, &path, &headers, body.as_bytes(), CALL_TIMEOUT);
            match answer {
                Ok(answer) if (200..300).contains(&answer.status()) => {
                    say(format!(
                        "{method} {path} (born {}, Sequence {sequence}): acknowledged by {daemon}",
                        self.born
                    ));
                    let text = answer.text();
                    let named = text
                        .split("\"HeartbeatAddress\":\"")
                        .nth(1)
                        .and_then(|it| it.split('"').next()?.parse().ok());
                    *self.preferred.lock().unwrap() = named.map(|it| self.over_path(it));
                    return Some(daemon);
                }
                other => {
                    let why = other.map_or_else(
                        |error| error.kind().to_string(),
                        |it| it.status().to_string(),
                    );
                    say(format!(
                        "{method} {path} (born {}, Sequence {sequence}): no ack from {daemon}: {why}",
                        self.born
                    ));
                    self.failed.lock().unwrap().insert(daemon, Instant::now());
                }
            }
        }
        None
    }

    fn beat(&self) {
        self.call("PUT", || {
            let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
            format!(
                r#"{{"Service":"{}","Address":"{}","Zone":"{}","Version":"v1","Slots":{},"State":"ready","ColdRemainingMs":0,"Sequence":{sequence},"born":{}}}"#,
                self.service, self.address, self.zone, self.slots, self.born
            )
        });
    }

    fn leave(&self) {
        self.left.store(true, Ordering::Relaxed);
        loop {
            if let Some(by) = self.call("DELETE", || String::new()) {
                return say(format!("left {by}"));
            }
        }
    }

    fn serve(&self, mut stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        while let Some(head) = http::read_head(&mut reader)? {
            let _body = http::read_body(&mut reader, &head, false)?;
            let attempt = head.header("hyssopfork-attempt-id").unwrap_or("").to_owned();
            let wanted = head.header("hyssopfork-expected-instance");
            if head.start.starts_with("GET /health ") {
                let status = if self.left.load(Ordering::Relaxed) {
                    "503 Service Unavailable"
                } else {
                    "200 OK"
                };
                write!(
                    stream,
                    "HTTP/1.1 {status}\r\nHyssopfork-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                    self.id
                )?;
                continue;
            }
            if wanted.is_some_and(|it| it != self.id) {
                write!(
                    stream,
                    "HTTP/1.1 421 Misdirected\r\nHyssopfork-Attempt-Id: {attempt}\r\nHyssopfork-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
                )?;
                continue;
            }
            let running = self.running.fetch_add(1, Ordering::Relaxed) + 1;
            if running > self.slots {
                self.running.fetch_sub(1, Ordering::Relaxed);
                write!(
                    stream,
                    "HTTP/1.1 503 Full\r\nHyssopfork-Attempt-Id: {attempt}\r\nHyssopfork-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
                )?;
                continue;
            }
            say(format!("run {attempt}"));
            thread::sleep(self.work);
            let running = self.running.fetch_sub(1, Ordering::Relaxed) - 1;
            let body = format!("answer to {attempt} by {}", self.id);
            let close =
                if self.left.load(Ordering::Relaxed) { "Connection: close\r\n" } else { "" };
            write!(
                stream,
                "HTTP/1.1 200 OK\r\nHyssopfork-Attempt-Id: {attempt}\r\nHyssopfork-Server-Signature: s.{}.{attempt}\r\nHyssopfork-Server-Load: {running},0,{}\r\n{close}Content-Length: {}\r\n\r\n{body}",
                self.id,
                self.slots,
                body.len()
            )?;
            say(format!("done {attempt}"));
            if !close.is_empty() {
                return Ok(());
            }
        }
        Ok(())
    }
}
