//! The HTTP server for clients.

use crate::entry::{handler, role};
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

/// Longest accepted Idempotency-Key.
const MAX_KEY_BYTES: usize = 255;

/// Request headers that are consumed by the entry and not forwarded to upstreams.
const ENTRY_ONLY_HEADERS: [&str; 2] = ["authorization", "idempotency-key"];

/// Handles clients' requests.
#[derive(Clone, Debug)]
pub struct Server {
    /// The entry's event loop.
    pub mailbox: mailbox::Mailbox<role::Input>,
    /// Longest request body.
    pub max_body_bytes: usize,
    /// Time within which a client must send a request's body.
    pub body_timeout: Duration,
    /// Number of the next request.
    pub next_request: Arc<AtomicU64>,
    /// Readiness, for the load balancer's health checks on the same port.
    pub readiness: Arc<monitor::Readiness>,
    /// Random number of this process; makes its request identifiers unique.
    pub boot: u64,
}

impl Server {
    /// Responds to one request of a client.
    pub async fn handle(self, mut request: Request) -> http::Response {
        match request.path() {
            "/healthz" => return http::text(StatusCode::OK, "alive\n"),
            "/readyz" => return monitor::readiness_response(self.readiness.get()),
            _ => {}
        }
        let number = self.next_request.fetch_add(1, Ordering::Relaxed);
        let identifier = format!("{:016x}-{number:x}", self.boot);
        let reading = http::read_body(&mut request, self.max_body_bytes);
        let body = match actix_rt::time::timeout(self.body_timeout, reading).await {
            Ok(Ok(body)) => body,
            Ok(Err(http::Error::TooLarge(_))) => {
                return malformed_response(&identifier, StatusCode::PAYLOAD_TOO_LARGE);
            }
            Ok(Err(http::Error::Broken)) => {
                return malformed_response(&identifier, StatusCode::BAD_REQUEST);
            }
            Err(_) => return malformed_response(&identifier, StatusCode::REQUEST_TIMEOUT),
        };
        let Some(arrival) = parse_request(&request, &body) else {
            return malformed_response(&identifier, StatusCode::BAD_REQUEST);
        };
        let (commands, receiver) = mpsc::unbounded_channel();
        let arrival = Box::new(arrival);
        self.mailbox.post(role::Input::RequestArrived { request: number, arrival, commands });
        handler::handle(number, identifier, body, self.mailbox, receiver).await
    }
}

fn malformed_response(identifier: &str, status: StatusCode) -> http::Response {
    let refusal = refusal::Refusal::not_run(refusal::Reason::Malformed, None);
    let mut document = problem::describe(&refusal, identifier);
    document.status = status.as_u16();
    http::json(status, problem::CONTENT_TYPE, &document)
}

/// The request as the core needs it; `None` when a relevant header is malformed.
fn parse_request(request: &Request, body: &Bytes) -> Option<event::Arrival> {
    let path = request.uri().path_and_query()?.as_str().to_owned();
    let method = request.method().as_str().to_owned();
    let digest = hash_request(&[method.as_bytes(), path.as_bytes(), body]);
    let key = match request.headers().get("idempotency-key") {
        Some(value) => Some(parse_key(value.to_str().ok()?)?),
        None => None,
    };
    let mut headers = http::forwarded_headers(request.headers());
    headers.retain(|(name, _)| !ENTRY_ONLY_HEADERS.contains(&name.as_str()));
    let estimate = estimate::from_body(body);
    Some(event::Arrival {
        token_sha256: hash_token(request.headers()),
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

fn parse_key(text: &str) -> Option<String> {
    (!text.is_empty() && text.len() <= MAX_KEY_BYTES).then(|| text.to_owned())
}

/// Hashes each part after its length, so that moving bytes between parts changes the digest.
fn hash_request(parts: &[&[u8]]) -> [u8; 32] {
    let mut hasher = Sha256::new();
    for part in parts {
        hasher.update((part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    hasher.finalize().into()
}

fn hash_token(headers: &HeaderMap) -> Option<String> {
    let value = headers.get("authorization")?.to_str().ok()?;
    let token = value.strip_prefix("Bearer ").or_else(|| value.strip_prefix("bearer "))?;
    let hash = Sha256::digest(token.trim().as_bytes());
    let mut text = String::with_capacity(hash.len() * 2);
    for byte in hash {
        write!(text, "{byte:02x}").expect("writing to a string cannot fail");
    }
    Some(text)
}
