//! Runner processes and clients of a case.

use crate::fleet::Record;
use crate::http;
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::Duration;

/// What a runner said, with the time of the case.
type Events = Arc<Mutex<Vec<(f64, String)>>>;

pub struct RunnerProcess {
    child: Child,
    pub events: Events,
}

impl RunnerProcess {
    pub fn start(
        record: &Record,
        id: &str,
        born: u64,
        arguments: &[(&str, &str)],
    ) -> RunnerProcess {
        let mut child = Command::new(std::env::current_exe().unwrap())
            .arg("runner")
            .args(arguments.iter().map(|(key, value)| format!("{key}={value}")))
            .arg(format!("born={born}"))
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .expect("the runner starts");
        let output = child.stdout.take().unwrap();
        let events = Events::default();
        let (seen, record) = (events.clone(), record.clone());
        let name = format!("{id} (born {born})");
        thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                if !line.starts_with("run ") && !line.starts_with("done ") {
                    record.line(format!("runner {name}: {line}"));
                }
                seen.lock().unwrap().push((record.time(), line));
            }
        });
        RunnerProcess { child, events }
    }

    pub fn order(&mut self, order: &str) {
        let _ = writeln!(self.child.stdin.as_mut().unwrap(), "{order}");
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits for a line that begins like this; returns its time and the rest.
    pub fn wait_for(&self, begin: &str, timeout: Duration) -> Option<(f64, String)> {
        for _ in 0..timeout.as_millis() / 10 {
            let events = self.events.lock().unwrap();
            if let Some((at, line)) = events.iter().find(|(_, line)| line.starts_with(begin)) {
                return Some((*at, line[begin.len()..].to_owned()));
            }
            drop(events);
            sleep(Duration::from_millis(10));
        }
        None
    }
}

impl Drop for RunnerProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Clients that send a non_idempotent request at each interval, each on a new channel.
pub struct Clients {
    stopped: Arc<AtomicBool>,
    outcomes: Arc<Mutex<BTreeMap<String, String>>>,
}

impl Clients {
    pub fn start(record: &Record, entries: Vec<SocketAddr>, interval: Duration) -> Clients {
        let clients = Clients { stopped: Arc::default(), outcomes: Arc::default() };
        let (stopped, outcomes) = (clients.stopped.clone(), clients.outcomes.clone());
        let number = AtomicU64::new(0);
        record.line(format!("clients begin: one non_idempotent request each {interval:?}"));
        thread::spawn(move || {
            while !stopped.load(Ordering::Relaxed) {
                let number = number.fetch_add(1, Ordering::Relaxed);
                let (to, outcomes) = (entries[number as usize % entries.len()], outcomes.clone());
                thread::spawn(move || {
                    let id = format!("{number:016x}");
                    let headers = [
                        ("Host", "desk.example"),
                        ("Hyssopfork-Attempt-Id", id.as_str()),
                        ("Hyssopfork-Deadline-Ms", "3000"),
                    ];
                    let answer = http::call(
                        to,
                        "POST",
                        "/a/submit",
                        &headers,
                        b"form",
                        Duration::from_secs(4),
                    );
                    let outcome = match answer {
                        Ok(answer) => answer.status().to_string(),
                        Err(error) => format!("no answer ({})", error.kind()),
                    };
                    outcomes.lock().unwrap().insert(id, outcome);
                });
                sleep(interval);
            }
        });
        clients
    }

    pub fn stop(&self) {
        self.stopped.store(true, Ordering::Relaxed);
        sleep(Duration::from_secs(4));
    }

    pub fn outcomes(&self) -> BTreeMap<String, String> {
        self.outcomes.lock().unwrap().clone()
    }
}
