//! Machines are stopped and started in turn while clients read large answers slowly.

use crate::Outcome;
use crate::cold_zone::SERVICE;
use crate::http;
use crate::record::Record;
use crate::runner::Runner;
use crate::system::System;
use std::io::{BufReader, Read};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Machines that are stopped at the same time.
const AT_ONCE: usize = 2;
/// Bytes that a client reads at once, and the pause after it: about 100 KB a second.
const READ_BYTES: usize = 8 << 10;
const READ_PAUSE: Duration = Duration::from_millis(80);

fn configuration() -> String {
    r#"{"Version":7,"Routes":[{"Name":"submit","Host":"desk.example","PathPrefix":"/submit/","Kind":"non_idempotent","TimeoutMs":30000,"TargetLatencyMs":1000,"Priority":1,"Service":"desk","MaxAttempts":1,"Anonymous":true}],"Services":[{"Name":"desk","HealthPath":"/health","ConnectionLimit":120,"Protocol":"h1","TransportSecurity":false,"ColdStartS":0.0,"ColdPerS":0.0}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},"Tenants":[]}"#.to_owned()
}

/// How an answer ended.
#[derive(Debug, PartialEq)]
enum End {
    Complete,
    /// After this many bytes of its body.
    Early(usize),
    None,
}

/// Reads the bytes that arrive, slowly.
struct Slow(TcpStream);

impl Read for Slow {
    fn read(&mut self, buffer: &mut [u8]) -> std::io::Result<usize> {
        thread::sleep(READ_PAUSE);
        let most = buffer.len().min(READ_BYTES);
        self.0.read(&mut buffer[..most])
    }
}

fn request(to: SocketAddr, id: &str, length: usize) -> std::io::Result<(End, u16)> {
    let stream = TcpStream::connect(to)?;
    stream.set_read_timeout(Some(Duration::from_secs(20)))?;
    let headers = [
        ("Host", "desk.example".to_owned()),
        ("Hyssopfork-Attempt-Id", id.to_owned()),
        ("Hyssopfork-Deadline-Ms", "30000".to_owned()),
    ];
    let path = format!("/submit/large/{length}");
    http::write_request(&stream, to, "POST", &path, &headers, "{}")?;
    let mut reader = BufReader::with_capacity(READ_BYTES, Slow(stream));
    let head = http::read_head(&mut reader)?;
    let status = head.split(' ').nth(1).and_then(|it| it.parse().ok()).unwrap_or(0);
    if status != 200 {
        return Ok((End::None, status));
    }
    let mut bytes = 0;
    loop {
        match http::read_chunk(&mut reader) {
            Ok(Some(chunk)) => bytes += chunk.len(),
            Ok(None) if bytes == length => return Ok((End::Complete, status)),
            Ok(None) | Err(_) => return Ok((End::Early(bytes), status)),
        }
    }
}

pub fn run(has_trouble: bool, record: &Arc<Record>) -> Outcome {
    let zones = ["z1", "z2", "z3", "z1", "z2", "z3"];
    let mut system = System::start(&zones, 3, record);
    let all: Vec<usize> = (0..zones.len()).collect();
    let ip = Ipv4Addr::new(127, 0, 22, 1);
    let _runner = Runner::start("i-one", "z1", ip, None, SERVICE, false, system.controls(), record);
    let accepted =
        system.order(&all, "PUT", "/configuration", &configuration(), Duration::from_secs(15));
    if !accepted.is_some_and(|(status, _)| status == 200)
        || !system.wait_until_ready(&all, Duration::from_secs(10))
    {
        return Outcome::CouldNotRun("the system did not start");
    }
    thread::sleep(Duration::from_secs(4));
    let (mut complete, mut early) = (0, 0);
    for (round, stopped) in all.chunks(AT_ONCE).rev().enumerate() {
        let readers: Vec<_> = stopped
            .iter()
            .map(|index| {
                let (to, record) = (system.clients(*index), record.clone());
                let length = 900_000 + 23_000 * index;
                let id = format!("{:016x}", round * 16 + index);
                thread::spawn(move || {
                    let started = Instant::now();
                    let end = request(to, &id, length);
                    record.say(&format!(
                        "answer to {id} by {to}, {length} bytes: {end:?} after {} ms",
                        started.elapsed().as_millis()
                    ));
                    matches!(end, Ok((End::Complete, _)))
                })
            })
            .collect();
        thread::sleep(Duration::from_millis(1_500));
        if has_trouble {
            stopped.iter().for_each(|index| system.signal(*index, "TERM"));
        }
        let stopped_at = Instant::now();
        if has_trouble {
            for index in stopped {
                system.wait_for_end(*index);
                record.say(&format!("edge-{index} ended {} ms after SIGTERM", stopped_at.elapsed().as_millis()));
                system.start_node(*index, false, &[0, 1, 2]);
            }
        }
        for reader in readers {
            match reader.join() {
                Ok(true) => complete += 1,
                Ok(false) | Err(_) => early += 1,
            }
        }
        if !system.wait_until_ready(stopped, Duration::from_secs(10)) {
            return Outcome::CouldNotRun("a machine did not come back");
        }
        thread::sleep(Duration::from_secs(5));
    }
    record.say(&format!("{complete} answers were complete, {early} ended early"));
    if early > 0 { Outcome::Broken } else { Outcome::Held }
}
