//! A client of an entry.

use super::fleet;
use actix_http::StatusCode;
use bytes::{Bytes, BytesMut};
use hyssopfork_exchange::{connection, error};
use std::net::SocketAddr;
use std::time::Duration;

/// Timeout of a request.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(30);

/// The response, as far as it was received.
#[derive(Debug)]
pub struct Response {
    /// HTTP status; `None` when no head was received.
    pub status: Option<StatusCode>,
    /// The received part of the body.
    pub body: Bytes,
    /// Whether the response is complete by its own framing.
    pub complete: bool,
    /// The Retry-After header.
    pub retry_after: Option<String>,
}

impl Response {
    /// Whether the response is complete and its status a success.
    pub fn is_complete_success(&self) -> bool {
        self.complete && self.status.is_some_and(|status| status.is_success())
    }

    /// Whether the response reports that the work did not run.
    pub fn says_not_run(&self) -> bool {
        self.text().contains("\"ran\":\"not_run\"")
    }

    /// Whether the response reports that the work may have run.
    pub fn says_may_have_run(&self) -> bool {
        self.text().contains("\"ran\":\"may_have_run\"")
    }

    /// The body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Sends a POST request as the team, with the key if one is given.
pub async fn post(entry: SocketAddr, path: &str, key: Option<&str>, body: &str) -> Response {
    let mut headers = vec![
        ("authorization".to_owned(), format!("Bearer {}", fleet::TOKEN)),
        ("content-type".to_owned(), "application/json".to_owned()),
    ];
    headers.extend(key.map(|key| ("idempotency-key".to_owned(), key.to_owned())));
    receive(entry, &connection::Request { method: "POST", path, headers: &headers }, body).await
}

/// Sends a GET request as the team.
pub async fn get(entry: SocketAddr, path: &str) -> Response {
    let headers = [("authorization".to_owned(), format!("Bearer {}", fleet::TOKEN))];
    receive(entry, &connection::Request { method: "GET", path, headers: &headers }, "").await
}

async fn receive(entry: SocketAddr, request: &connection::Request<'_>, body: &str) -> Response {
    let mut got = Response { status: None, body: Bytes::new(), complete: false, retry_after: None };
    let exchange = exchange(entry, request, body, &mut got);
    let ended = actix_rt::time::timeout(RESPONSE_TIMEOUT, exchange).await;
    got.complete = matches!(ended, Ok(Ok(())));
    got
}

/// Sends the request without awc, which takes a truncated response for a complete one.
async fn exchange(
    entry: SocketAddr,
    request: &connection::Request<'_>,
    body: &str,
    got: &mut Response,
) -> Result<(), error::Error> {
    let mut connection = connection::Connection::connect(entry).await?;
    connection.send(request, Bytes::from(body.to_owned())).await?;
    let head = connection.read_head().await?;
    got.status = StatusCode::from_u16(head.status).ok();
    got.retry_after = head.header("retry-after").map(str::to_owned);
    let mut received = BytesMut::new();
    while let Some(part) = connection.read_part().await? {
        received.extend_from_slice(&part);
        got.body = received.clone().freeze();
    }
    Ok(())
}

/// Request body of a streamed completion.
pub fn completion_body(tokens: u32) -> String {
    format!(
        r#"{{"model":"model-1","prompt":"emissions of plant 7","max_tokens":{tokens},"stream":true}}"#
    )
}
