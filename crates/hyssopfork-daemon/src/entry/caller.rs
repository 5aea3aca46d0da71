//! The HTTP server for callers.

use crate::entry::{conversation, role};
use crate::{http, mailbox, monitor, problem};
use actix_http::header::HeaderMap;
use actix_http::{HttpMessage, Request, StatusCode};
use bytes::Bytes;
use hyssopfork_entry::{estimate, event};
use hyssopfork_wire::refusal;
use sha2::{Digest, Sha256};
use std::fmt::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::sync::mpsc;

/// Longest Idempotency-Key, in bytes.
const KEY_LIMIT: usize = 255;

/// Headers of the caller that an upstream doesn't need to see.
const PRIVATE_HEADERS: [&str; 2] = ["authorization", "idempotency-key"];

/// Where callers' requests go.
#[derive(Clone, Debug)]
pub struct Door {
    /// The entry's loop.
    pub mailbox: mailbox::Mailbox<role::Input>,
    /// Longest body, in bytes.
    pub body_limit: usize,
    /// Time that a caller may take to send a request's body.
    pub body_timeout: Duration,
    /// Counts requests.
    pub count: Arc<AtomicU64>,
    /// Answers the balancer's checks on the same port.
    pub readiness: Arc<monitor::Readiness>,
    /// Tells this process's request identifiers from others'.
    pub boot: u64,
}

impl Door {
    /// Answers one request of a caller.
    pub async fn handle(self, mut request: Request) -> http::Answer {
        match request.path() {
            "/healthz" => return http::text(StatusCode::OK, "alive\n"),
            "/readyz" => return monitor::ready(self.readiness.get()),
            _ => {}
        }
        let number = self.count.fetch_add(1, Ordering::Relaxed);
        let identifier = format!("{:016x}-{number:x}", self.boot);
        let reading = http::read_body(&mut request, self.body_limit);
        let body = match actix_rt::time::timeout(self.body_timeout, reading).await {
            Ok(Ok(body)) => body,
            Ok(Err(http::Error::TooLarge(_))) => {
                return malformed(&identifier, StatusCode::PAYLOAD_TOO_LARGE);
            }
            Ok(Err(http::Error::Broken)) => {
                return malformed(&identifier, StatusCode::BAD_REQUEST);
            }
            Err(_) => return malformed(&identifier, StatusCode::REQUEST_TIMEOUT),
        };
        let Some(arrival) = arrival(&request, &body) else {
            return malformed(&identifier, StatusCode::BAD_REQUEST);
        };
        let (commands, receiver) = mpsc::unbounded_channel();
        let arrival = Box::new(arrival);
        self.mailbox.post(role::Input::Arrived { request: number, arrival, commands });
        conversation::hold(number, identifier, body, self.mailbox, receiver).await
    }
}

fn malformed(identifier: &str, status: StatusCode) -> http::Answer {
    let refusal = refusal::Refusal::not_run(refusal::Reason::Malformed, None);
    let mut document = problem::describe(&refusal, identifier);
    document.status = status.as_u16();
    http::json(status, problem::CONTENT_TYPE, &document)
}

/// What was asked; `None` when a header that matters is malformed.
fn arrival(request: &Request, body: &Bytes) -> Option<event::Arrival> {
    let path = request.uri().path_and_query()?.as_str().to_owned();
    let method = request.method().as_str().to_owned();
    let digest = digest(&[method.as_bytes(), path.as_bytes(), body]);
    let key = match request.headers().get("idempotency-key") {
        Some(value) => Some(key(value.to_str().ok()?)?),
        None => None,
    };
    let mut headers = http::travelling(request.headers());
    headers.retain(|(name, _)| !PRIVATE_HEADERS.contains(&name.as_str()));
    let estimate = estimate::from_body(body);
    Some(event::Arrival {
        token_sha256: token(request.headers()),
        method,
        path,
        headers,
        idempotency_key: key,
        digest,
        body_bytes: body.len() as u64,
        prefix_hash: estimate.prefix_hash,
        cost_tokens: estimate.cost_tokens,
    })
}

fn key(text: &str) -> Option<String> {
    (!text.is_empty() && text.len() <= KEY_LIMIT).then(|| text.to_owned())
}

/// Each part is preceded by its length, so that no two different requests hash alike.
fn digest(parts: &[&[u8]]) -> [u8; 32] {
    let mut hasher = Sha256::new();
    for part in parts {
        hasher.update((part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    hasher.finalize().into()
}

fn token(headers: &HeaderMap) -> Option<String> {
    let value = headers.get("authorization")?.to_str().ok()?;
    let token = value.strip_prefix("Bearer ").or_else(|| value.strip_prefix("bearer "))?;
    let hash = Sha256::digest(token.trim().as_bytes());
    let mut text = String::with_capacity(hash.len() * 2);
    for byte in hash {
        write!(text, "{byte:02x}").expect("a string takes every byte");
    }
    Some(text)
}
