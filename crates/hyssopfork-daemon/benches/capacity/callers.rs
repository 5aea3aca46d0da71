//! Callers: requests at a rate, and streams at a number.

use bytes::Bytes;
use hyssopfork_exchange::connection;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Bearer token of the one team.
pub const TOKEN: &str = "capacity-token";

/// Sends requests at `rate` a second until `end`; returns how many were answered whole.
pub async fn send_at(
    entry: SocketAddr,
    rate: f64,
    end: Instant,
    request: impl Fn(u64) -> Ask,
) -> u64 {
    let answered = Rc::new(Cell::new(0));
    let start = Instant::now();
    let mut sent = 0;
    while Instant::now() < end {
        let due = start + Duration::from_secs_f64(sent as f64 / rate);
        actix_rt::time::sleep_until(due.into()).await;
        let ask = request(sent);
        let answered = answered.clone();
        actix_rt::spawn(async move {
            if ask.send(entry).await.is_some() {
                answered.set(answered.get() + 1);
            }
        });
        sent += 1;
    }
    actix_rt::time::sleep(Duration::from_millis(300)).await;
    answered.get()
}

/// Keeps `count` streams of `tokens` tokens running until `end`; returns the events that came.
pub async fn stream(entry: SocketAddr, count: u64, tokens: u32, end: Instant) -> u64 {
    let streams = (0..count).map(|number| async move {
        let mut events = 0;
        let mut round = 0;
        while Instant::now() < end {
            round += 1;
            let ask = Ask::completion(&format!("capacity {number} {round}"), tokens);
            match ask.send(entry).await {
                Some(body) => events += body.windows(6).filter(|part| *part == b"data: ").count(),
                None => actix_rt::time::sleep(Duration::from_millis(20)).await,
            }
        }
        events as u64
    });
    futures::future::join_all(streams).await.into_iter().sum()
}

/// One request.
pub struct Ask {
    method: &'static str,
    path: String,
    key: Option<String>,
    body: String,
}

impl Ask {
    /// A status check of a plain service.
    pub fn status() -> Ask {
        Ask { method: "GET", path: "/status".to_owned(), key: None, body: String::new() }
    }

    /// A lodgement under a key of its own.
    pub fn lodge(key: String) -> Ask {
        let body = format!("{{\"reference\":\"{key}\"}}");
        Ask { method: "POST", path: "/lodge".to_owned(), key: Some(key), body }
    }

    /// A streamed completion.
    fn completion(prompt: &str, tokens: u32) -> Ask {
        let body = format!(
            r#"{{"model":"model-1","prompt":"{prompt}","max_tokens":{tokens},"stream":true}}"#
        );
        Ask { method: "POST", path: "/v1/completions".to_owned(), key: None, body }
    }

    /// Sends it on a connection of its own; the whole body of a good answer.
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
