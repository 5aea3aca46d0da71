//! A sound runner of a plain service.

use crate::http::{self, Head};
use std::io::{self, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// HeartbeatIntervalMs of the site.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_200);

/// A run of a request.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub began: Instant,
    /// Status of the answer; `None` until it is written, or if it could not be.
    pub status: Option<u16>,
}

/// One lifetime of a runner.
pub struct Runner {
    pub instance: String,
    pub address: SocketAddr,
    service: String,
    zone: String,
    born: u64,
    sequence: AtomicU64,
    pub runs: Mutex<Vec<Run>>,
    /// Time that a run takes.
    work: Duration,
    /// Statuses, one after the other, of two in five answers, each to a request that has run.
    failures: Mutex<Vec<u16>>,
    is_draining: AtomicBool,
    has_ended: AtomicBool,
    channels: Mutex<Vec<TcpStream>>,
}

/// Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("a time");
    now.as_millis() as u64
}

impl Runner {
    /// Starts a lifetime that began at `born` by the clock of its machine, at this address.
    pub fn start(
        service: &str,
        zone: &str,
        instance: &str,
        address: SocketAddr,
        born: u64,
        work: Duration,
    ) -> Arc<Runner> {
        let listener = TcpListener::bind(address).expect("a free address");
        let runner = Arc::new(Runner {
            instance: instance.to_owned(),
            address: listener.local_addr().expect("bound"),
            service: service.to_owned(),
            zone: zone.to_owned(),
            born,
            sequence: AtomicU64::new(0),
            runs: Mutex::default(),
            work,
            failures: Mutex::default(),
            is_draining: AtomicBool::new(false),
            has_ended: AtomicBool::new(false),
            channels: Mutex::default(),
        });
        let serving = runner.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if serving.has_ended.load(Ordering::SeqCst) {
                    return;
                }
                if let Ok(channel) = stream.try_clone() {
                    serving.channels.lock().expect("no panic").push(channel);
                }
                let runner = serving.clone();
                thread::spawn(move || drop(runner.serve(stream)));
            }
        });
        runner
    }

    /// Beats until the lifetime ends: at an address that an ack names, or at one of these in turn.
    pub fn beat(self: &Arc<Runner>, controls: Vec<SocketAddr>) {
        let runner = self.clone();
        thread::spawn(move || {
            let mut next = 0;
            let mut named = None;
            while !runner.has_ended.load(Ordering::SeqCst) {
                let to = named.unwrap_or(controls[next % controls.len()]);
                match runner.announce(to) {
                    Some(address) => named = address.or(named),
                    None => {
                        named = None;
                        next += 1;
                        thread::sleep(Duration::from_millis(50));
                        continue;
                    }
                }
                thread::sleep(HEARTBEAT_INTERVAL);
            }
        });
    }

    /// One ping; `None` without an ack, else the address that the ack names.
    pub fn announce(&self, to: SocketAddr) -> Option<Option<SocketAddr>> {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let state = if self.is_draining.load(Ordering::SeqCst) { "draining" } else { "ready" };
        let body = format!(
            r#"{{"Service":"{}","Address":"{}","Zone":"{}","Version":"v1","Slots":32,"State":"{state}","ColdRemainingMs":0,"Sequence":{sequence},"born":{}}}"#,
            self.service, self.address, self.zone, self.born
        );
        let path = format!("/instances/{}", self.instance);
        let reply = http::call_control(to, "PUT", &path, &body, Duration::from_secs(1))?;
        if reply.status != 200 {
            return None;
        }
        let body: serde_json::Value = serde_json::from_slice(&reply.body).unwrap_or_default();
        Some(body["HeartbeatAddress"].as_str().and_then(|it| it.parse().ok()))
    }

    /// From now on, two in five answers have these statuses in turn although the request has run.
    pub fn fail_with(&self, statuses: &[u16]) {
        *self.failures.lock().expect("no panic") = statuses.to_vec();
    }

    /// Reports from now on that it drains.
    pub fn drain(&self) {
        self.is_draining.store(true, Ordering::SeqCst);
    }

    /// Reports that it is gone, to one process after the other until one acknowledges it.
    pub fn depart(&self, controls: &[SocketAddr]) -> bool {
        let path = format!("/instances/{}", self.instance);
        controls.iter().any(|to| {
            let reply = http::call_control(*to, "DELETE", &path, "", Duration::from_secs(1));
            reply.is_some_and(|it| it.status == 200)
        })
    }

    /// Ends the lifetime: nothing listens any more, and its channels are closed.
    pub fn end(&self) {
        self.has_ended.store(true, Ordering::SeqCst);
        // Wakes the thread that accepts channels, which then closes the listener.
        drop(TcpStream::connect(self.address));
        for channel in self.channels.lock().expect("no panic").drain(..) {
            let _closed = channel.shutdown(Shutdown::Both);
        }
    }

    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut rest = Vec::new();
        while let Some(mut head) = http::read_head(&mut stream, rest)? {
            http::read_body(&mut stream, &mut head)?;
            rest = std::mem::take(&mut head.rest);
            self.answer(&mut stream, &head)?;
        }
        Ok(())
    }

    fn answer(&self, stream: &mut TcpStream, head: &Head) -> io::Result<()> {
        let id = head.header("hyssopfork-attempt-id").unwrap_or_default().to_owned();
        let expected = head.header("hyssopfork-expected-instance");
        if expected.is_some_and(|it| it != self.instance) {
            let head = "HTTP/1.1 421 Misdirected Request\r\nHyssopfork-Not-Executed: 1\r\n\
                 Content-Length: 0\r\n\r\n";
            return stream.write_all(head.as_bytes());
        }
        let number = {
            let mut runs = self.runs.lock().expect("no panic");
            runs.push(Run { id: id.clone(), began: Instant::now(), status: None });
            runs.len() - 1
        };
        thread::sleep(self.work);
        let status = {
            let failures = self.failures.lock().expect("no panic");
            match number % 5 {
                1 | 3 if !failures.is_empty() => failures[number / 5 % failures.len()],
                _ => 200,
            }
        };
        let body = vec![b'x'; 800];
        let head = format!(
            "HTTP/1.1 {status} {}\r\nHyssopfork-Attempt-Id: {id}\r\n\
             Hyssopfork-Server-Signature: {}.{number}\r\nContent-Length: {}\r\n\r\n",
            if status == 200 { "OK" } else { "Failed" },
            self.instance,
            body.len()
        );
        let mut answer = head.into_bytes();
        answer.extend(body);
        stream.write_all(&answer)?;
        self.runs.lock().expect("no panic")[number].status = Some(status);
        Ok(())
    }
}
