//! Clients that send requests at an even rate, each with an identifier of its own.

use crate::http;
use crate::record::Record;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

pub struct Clients {
    is_over: AtomicBool,
    sent: AtomicUsize,
    outcomes: Mutex<BTreeMap<String, usize>>,
}

impl Clients {
    /// Sends `per_second` requests a second to the entries in turn, each on a new connection.
    pub fn start(
        entries: Vec<SocketAddr>,
        per_second: usize,
        method: &'static str,
        path: &'static str,
        record: &Arc<Record>,
    ) -> Arc<Clients> {
        let clients = Arc::new(Clients {
            is_over: AtomicBool::new(false),
            sent: AtomicUsize::new(0),
            outcomes: Mutex::default(),
        });
        let (shared, record) = (clients.clone(), record.clone());
        thread::spawn(move || {
            let interval = Duration::from_secs(1) / per_second as u32;
            let mut due = Instant::now();
            while !shared.is_over.load(Ordering::SeqCst) {
                let number = shared.sent.fetch_add(1, Ordering::SeqCst);
                let to = entries[number % entries.len()];
                let (clients, record) = (shared.clone(), record.clone());
                thread::spawn(move || clients.send(to, method, path, number, &record));
                due += interval;
                thread::sleep(due.saturating_duration_since(Instant::now()));
            }
        });
        clients
    }

    fn send(
        &self,
        to: SocketAddr,
        method: &'static str,
        path: &'static str,
        number: usize,
        record: &Record,
    ) {
        let id = format!("{number:016x}");
        let headers = [
            ("Host", "desk.example".to_owned()),
            ("Hyssopfork-Attempt-Id", id.clone()),
            ("Hyssopfork-Deadline-Ms", "1500".to_owned()),
        ];
        let body = if method == "POST" { "{}" } else { "" };
        let answer = http::call(to, method, path, &headers, body, Duration::from_millis(1_600));
        let outcome = match &answer {
            Ok(answer) => answer.status.to_string(),
            Err(error) => format!("none ({:?})", error.kind()),
        };
        record.line(&format!("answer to {id} by {to}: {outcome}"));
        *self.outcomes.lock().expect("no holder panics").entry(outcome).or_default() += 1;
    }

    /// Stops sending and waits for the last answers; returns how often each came.
    pub fn stop(&self) -> BTreeMap<String, usize> {
        self.is_over.store(true, Ordering::SeqCst);
        thread::sleep(Duration::from_millis(1_700));
        self.outcomes.lock().expect("no holder panics").clone()
    }
}
