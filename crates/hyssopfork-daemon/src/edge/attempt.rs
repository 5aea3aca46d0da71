//! An attempt to run a request at one upstream.

use crate::edge::connection_pool;
use bytes::{Bytes, BytesMut};
use hyssopfork_exchange::{connection, error};
use hyssopfork_gateway::{action, content, event, response};
use hyssopfork_platform::{headers, upstream};
use std::time::Duration;
use tokio::time;

/// Timeout for opening a connection. Opening takes 2 ms, and a lost packet is retransmitted only
/// after 1 s.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Time after which sending a request fails if the upstream accepts no bytes of it.
pub const WRITE_TIMEOUT: Duration = Duration::from_secs(5);

/// Size of the kernel's buffers for a connection to an upstream, in bytes.
const SOCKET_BUFFER_BYTES: u32 = 64 << 10;

/// Size of the parts of a response that are forwarded as they arrive, in bytes. Larger ones that
/// have arrived are forwarded one after the other.
pub const PART_BYTES: usize = 16 << 10;

/// A client's request in the form that is sent to upstreams.
pub struct Request {
    /// HTTP method.
    pub method: String,
    /// Path and query, unchanged.
    pub path: String,
    /// Headers that are forwarded.
    pub headers: Vec<(String, String)>,
    /// Body; empty once one that is too large to be kept is written to an upstream.
    pub body: Bytes,
    /// Attempt identifier that the client sent.
    pub identifier: String,
}

/// An attempt whose request was sent.
pub struct Attempt {
    key: connection_pool::Key,
    connection: connection::Connection,
    response: response::Response,
}

impl Attempt {
    /// Sends the request on an idle connection or a new one.
    pub async fn send(
        outbound: &mut Request,
        start: &action::Start,
        remaining: Duration,
        pool: &connection_pool::Pool,
    ) -> Result<Attempt, event::Fault> {
        let key = (start.instance.clone(), start.address);
        let reused = if start.new_connection { None } else { pool.take(&key) };
        let mut connection = match reused {
            Some(connection) => connection,
            None => connect(&key, remaining).await?,
        };
        let mut headers = outbound.headers.clone();
        headers.extend(upstream::request_headers(start, remaining));
        let request = connection::Request {
            method: &outbound.method,
            path: &outbound.path,
            headers: &headers,
        };
        let body = if outbound.body.len() > content::MAX_KEPT_BODY_BYTES {
            std::mem::take(&mut outbound.body)
        } else {
            outbound.body.clone()
        };
        let result = time::timeout(remaining, connection.send(&request, body)).await;
        match result {
            Ok(Ok(())) => Ok(Attempt { key, connection, response: response::Response::default() }),
            Ok(Err(error::Error::Unsendable(_))) => Err(event::Fault::NotRun),
            Ok(Err(error::Error::NotRead)) => Err(event::Fault::BodyNotRead),
            Ok(Err(_)) | Err(_) => Err(event::Fault::ConnectionLost),
        }
    }

    /// Receives the head of the response. Cancel safe.
    pub async fn read_head(&mut self) -> Result<Vec<(String, String)>, event::Fault> {
        let head = self.connection.read_head().await.map_err(fault_of)?;
        self.response = upstream::parse_response(head.status, &head.headers);
        Ok(head.headers)
    }

    /// Head of the response; the default until [`Attempt::read_head`] has completed.
    pub fn response(&self) -> &response::Response {
        &self.response
    }

    /// Whether the response ends with its connection, so that only its content can show its end.
    pub fn is_unframed(&self) -> bool {
        self.connection.is_unframed()
    }

    /// Receives the next part of the body, with further parts that have arrived already; `None` at
    /// the end of the body. Cancel safe.
    pub async fn read_part(&mut self) -> Result<Option<Bytes>, event::Fault> {
        let Some(first) = self.connection.read_part().await.map_err(fault_of)? else {
            return Ok(None);
        };
        if first.len() >= PART_BYTES {
            return Ok(Some(first));
        }
        let Some(second) = self.connection.buffered_part().map_err(fault_of)? else {
            return Ok(Some(first));
        };
        let mut parts = BytesMut::from(first.as_ref());
        parts.extend_from_slice(&second);
        while parts.len() < PART_BYTES {
            let Some(part) = self.connection.buffered_part().map_err(fault_of)? else { break };
            parts.extend_from_slice(&part);
        }
        Ok(Some(parts.freeze()))
    }

    /// Receives the rest of the response and appends it to `body`, as long as `may_hold` allows its
    /// length. Returns whether the response is complete. Cancel safe.
    pub async fn read_rest(
        &mut self,
        body: &mut BytesMut,
        may_hold: impl Fn(usize) -> bool,
    ) -> Result<bool, event::Fault> {
        while may_hold(body.len()) {
            let Some(part) = self.connection.read_part().await.map_err(fault_of)? else {
                return Ok(true);
            };
            body.extend_from_slice(&part);
        }
        Ok(false)
    }

    /// Returns the connection to the pool if it can be reused.
    pub fn release(self, pool: &connection_pool::Pool) {
        let keep_alive = self.response.keep_alive;
        pool.put(self.key, self.connection, keep_alive);
    }
}

async fn connect(
    key: &connection_pool::Key,
    remaining: Duration,
) -> Result<connection::Connection, event::Fault> {
    let connecting = connection::Connection::connect_with_buffers(key.1, SOCKET_BUFFER_BYTES);
    match time::timeout(remaining.min(CONNECT_TIMEOUT), connecting).await {
        Ok(Ok(mut connection)) => {
            connection.allow_unframed();
            connection.set_write_timeout(WRITE_TIMEOUT);
            Ok(connection)
        }
        Ok(Err(_)) | Err(_) => Err(event::Fault::Unreachable),
    }
}

fn fault_of(error: error::Error) -> event::Fault {
    match error {
        error::Error::Unreachable(..) => event::Fault::Unreachable,
        error::Error::Unsendable(_) => event::Fault::NotRun,
        error::Error::NotRead => event::Fault::BodyNotRead,
        error::Error::ConnectionLost => event::Fault::ConnectionLost,
        error::Error::Malformed(_) | error::Error::TooLong(_) | error::Error::Unframed => {
            event::Fault::InvalidResponse
        }
    }
}

/// Length of the body that the head of a response states.
pub fn content_length(head: &[(String, String)]) -> Option<u64> {
    let length = head.iter().find(|(name, _)| name == "content-length");
    length.and_then(|(_, value)| value.trim().parse().ok())
}

/// Filters the headers of a response that are forwarded to the client.
pub fn forwarded_headers(head: Vec<(String, String)>) -> Vec<(String, String)> {
    head.into_iter().filter(|(name, _)| headers::is_forwarded_to_client(name)).collect()
}
