//! Calls to the fakes.

use bytes::Bytes;
use hyssopfork_exchange::connection;
use serde_json::Value;
use std::net::SocketAddr;

/// A whole answer.
pub struct Answer {
    pub status: u16,
    pub body: String,
}

impl Answer {
    /// The body as JSON.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).expect("the body is JSON")
    }
}

/// One call's whole answer; `None` when it was cut or never came.
pub async fn call(method: &str, address: SocketAddr, path: &str, body: &str) -> Option<Answer> {
    send(method, address, path, body, &[]).await
}

/// As [`call`], with headers.
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
