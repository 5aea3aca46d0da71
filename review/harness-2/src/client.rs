//! Requesters of a non-idempotent route.

use crate::http;
use std::io::Write;
use std::net::SocketAddr;
use std::ops::Range;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Time limit of a request.
const TIME_LIMIT: Duration = Duration::from_millis(1_500);

/// One attempt of a requester.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub submission: usize,
    pub id: String,
    pub sent: Instant,
    /// 0 if the channel ended without an answer.
    pub status: u16,
}

/// Sends submissions at this interval to the addresses in turn; after a promise that one has not run
/// each is sent once more, as a new attempt. Returns all attempts.
pub fn submit(
    to: &[SocketAddr],
    submissions: Range<usize>,
    interval: Duration,
) -> thread::JoinHandle<Vec<Attempt>> {
    let to = to.to_vec();
    thread::spawn(move || {
        let attempts = Arc::new(Mutex::new(Vec::new()));
        let mut pending = Vec::new();
        for submission in submissions {
            let (to, attempts) = (to.clone(), attempts.clone());
            pending.push(thread::spawn(move || {
                let began = Instant::now();
                for number in 0..2 {
                    let left = TIME_LIMIT.saturating_sub(began.elapsed());
                    let to = to[(submission + number) % to.len()];
                    let (attempt, retry_after) = attempt(to, submission, number, left);
                    let is_promise = matches!(attempt.status, 408 | 421 | 429 | 503);
                    attempts.lock().expect("no panic").push(attempt);
                    if !is_promise {
                        return;
                    }
                    // `Retry-After` is honoured up to a third of the time left.
                    let left = TIME_LIMIT.saturating_sub(began.elapsed());
                    thread::sleep(retry_after.unwrap_or(Duration::from_millis(300)).min(left / 3));
                }
            }));
            thread::sleep(interval);
        }
        pending.into_iter().for_each(|it| drop(it.join()));
        let mut attempts = attempts.lock().expect("no panic").clone();
        attempts.sort_by_key(|it| it.sent);
        attempts
    })
}

fn attempt(
    to: SocketAddr,
    submission: usize,
    number: usize,
    left: Duration,
) -> (Attempt, Option<Duration>) {
    let id = format!("{:012x}{number:04x}", 0x9c41_d07b_e200 + submission);
    let sent = Instant::now();
    let (status, retry_after) = exchange(to, &id, left).unwrap_or_default();
    (Attempt { submission, id, sent, status }, retry_after)
}

/// Status and `Retry-After` of the answer; `None` without a whole answer in time.
fn exchange(to: SocketAddr, id: &str, left: Duration) -> Option<(u16, Option<Duration>)> {
    let mut stream = std::net::TcpStream::connect_timeout(&to, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(left + Duration::from_millis(500))).ok()?;
    let body = "certificate";
    let head = format!(
        "POST /submit/certificate HTTP/1.1\r\nHost: levy.example\r\nHyssopfork-Attempt-Id: {id}\r\n\
         Hyssopfork-Deadline-Ms: {}\r\nContent-Length: {}\r\n\r\n{body}",
        left.as_millis(),
        body.len()
    );
    stream.write_all(head.as_bytes()).ok()?;
    let mut head = http::read_head(&mut stream, Vec::new()).ok()??;
    http::read_body(&mut stream, &mut head).ok()?;
    let retry_after = head.header("retry-after").and_then(|it| it.parse().ok());
    Some((head.status(), retry_after.map(Duration::from_secs_f64)))
}
