//! Clients: requests at a fixed rate, and a fixed number of concurrent streams.

use bytes::Bytes;
use hyssopfork_exchange::connection;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Bearer token of the only team.
pub const TOKEN: &str = "capacity-token";

/// Sends `rate` requests per second until `end`; returns the number of complete responses.
pub async fn send_at_rate(
    entry: SocketAddr,
    rate: f64,
    end: Instant,
    build_request: impl Fn(u64) -> Request,
) -> u64 {
    let completed = Rc::new(Cell::new(0));
    let start = Instant::now();
    let mut sent = 0;
    while Instant::now() < end {
        let due = start + Duration::from_secs_f64(sent as f64 / rate);
        actix_rt::time::sleep_until(due.into()).await;
        let request = build_request(sent);
        let completed = completed.clone();
        actix_rt::spawn(async move {
            if request.send(entry).await.is_some() {
                completed.set(completed.get() + 1);
            }
        });
        sent += 1;
    }
    actix_rt::time::sleep(Duration::from_millis(300)).await;
    completed.get()
}

/// Keeps `count` streams of `tokens` tokens running until `end`; returns the number of events
/// received.
pub async fn run_streams(entry: SocketAddr, count: u64, tokens: u32, end: Instant) -> u64 {
    let streams = (0..count).map(|number| async move {
        let mut events = 0;
        let mut round = 0;
        while Instant::now() < end {
            round += 1;
            let request = Request::completion(&format!("capacity {number} {round}"), tokens);
            match request.send(entry).await {
                Some(body) => events += body.windows(6).filter(|part| *part == b"data: ").count(),
                None => actix_rt::time::sleep(Duration::from_millis(20)).await,
            }
        }
        events as u64
    });
    futures::future::join_all(streams).await.into_iter().sum()
}

/// A request.
pub struct Request {
    method: &'static str,
    path: String,
    key: Option<String>,
    body: String,
}

impl Request {
    /// A status request to a plain service.
    pub fn status() -> Request {
        Request { method: "GET", path: "/status".to_owned(), key: None, body: String::new() }
    }

    /// A lodgement under a unique key.
    pub fn lodge(key: String) -> Request {
        let body = format!("{{\"reference\":\"{key}\"}}");
        Request { method: "POST", path: "/lodge".to_owned(), key: Some(key), body }
    }

    /// A streamed completion.
    fn completion(prompt: &str, tokens: u32) -> Request {
        let body = format!(
            r#"{{"model":"model-1","prompt":"{prompt}","max_tokens":{tokens},"stream":true}}"#
        );
        Request { method: "POST", path: "/v1/completions".to_owned(), key: None, body }
    }

    /// Sends the request on its own connection; returns the body of a complete, successful
    /// response.
    async fn send(&self, entry: SocketAddr) -> Option<Bytes> {
        let mut headers = vec![
            ("authorization".to_owned(), format!("Bearer {TOKEN}")),
            ("content-type".to_owned(), "application/json".to_owned()),
        ];
        headers.extend(self.key.clone().map(|key| ("idempotency-key".to_owned(), key)));
        let request =
            connection::Request { method: self.method, path: &self.path, headers: &headers };
        let mut connection = connection::Connection::connect(entry).await.ok()?;
        connection.send(&request, Bytes::from(self.body.clone())).await.ok()?;
        let head = connection.read_head().await.ok()?;
        let body = connection.read_rest().await.ok()?;
        (head.status < 300).then_some(body)
    }
}
