//! Requests to the fake upstreams.

use bytes::Bytes;
use hyssopfork_exchange::connection;
use serde_json::Value;
use std::net::SocketAddr;

/// A complete response.
pub struct Answer {
    pub status: u16,
    pub body: String,
}

impl Answer {
    /// Parses the body as JSON.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).expect("the body is JSON")
    }
}

/// Sends a request and returns its response; `None` if the response is truncated or missing.
pub async fn call(method: &str, address: SocketAddr, path: &str, body: &str) -> Option<Answer> {
    send(method, address, path, body, &[]).await
}

/// Sends a request with headers; otherwise the same as [`call`].
pub async fn send(
    method: &str,
    address: SocketAddr,
    path: &str,
    body: &str,
    headers: &[(String, String)],
) -> Option<Answer> {
    let mut connection = connection::Connection::connect(address).await.ok()?;
    let request = connection::Request { method, path, headers };
    connection.send(&request, Bytes::from(body.to_owned())).await.ok()?;
    let status = connection.read_head().await.ok()?.status;
    let rest = connection.read_rest().await.ok()?;
    let body = String::from_utf8(rest.to_vec()).expect("fakes answer in text");
    Some(Answer { status, body })
}
