//! An attempt to run a request at one upstream.

use crate::edge::connection_pool;
use bytes::{Bytes, BytesMut};
use hyssopfork_exchange::{connection, error};
use hyssopfork_gateway::{action, event, response};
use hyssopfork_platform::{headers, upstream};
use std::time::Duration;
use tokio::time;

/// Timeout for opening a connection. Opening takes 2 ms, and a lost packet is retransmitted only
/// after 1 s.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Maximum size of a buffered response, in bytes. A larger one is rejected as invalid, to bound
/// memory use.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// A client's request in the form that is sent to upstreams.
pub struct Request {
    /// HTTP method.
    pub method: String,
    /// Path and query, unchanged.
    pub path: String,
    /// Headers that are forwarded.
    pub headers: Vec<(String, String)>,
    /// Body.
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
        outbound: &Request,
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
        let result =
            time::timeout(remaining, connection.send(&request, outbound.body.clone())).await;
        match result {
            Ok(Ok(())) => Ok(Attempt { key, connection, response: response::Response::default() }),
            Ok(Err(error::Error::Unsendable(_))) => Err(event::Fault::NotRun),
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

    /// Receives the next part of the body, with further parts that have arrived already; `None` at
    /// the end of the body. Cancel safe.
    pub async fn read_part(&mut self) -> Result<Option<Bytes>, event::Fault> {
        let Some(first) = self.connection.read_part().await.map_err(fault_of)? else {
            return Ok(None);
        };
        let Some(second) = self.connection.buffered_part().map_err(fault_of)? else {
            return Ok(Some(first));
        };
        let mut parts = BytesMut::from(first.as_ref());
        parts.extend_from_slice(&second);
        while let Some(part) = self.connection.buffered_part().map_err(fault_of)? {
            parts.extend_from_slice(&part);
        }
        Ok(Some(parts.freeze()))
    }

    /// Receives the rest of the response and appends it to `body`. Cancel safe.
    pub async fn read_rest(&mut self, body: &mut BytesMut) -> Result<(), event::Fault> {
        while let Some(part) = self.connection.read_part().await.map_err(fault_of)? {
            body.extend_from_slice(&part);
            if body.len() > MAX_RESPONSE_BYTES {
                return Err(event::Fault::InvalidResponse);
            }
        }
        Ok(())
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
    let connecting = connection::Connection::connect(key.1);
    match time::timeout(remaining.min(CONNECT_TIMEOUT), connecting).await {
        Ok(Ok(mut connection)) => {
            connection.allow_unframed();
            Ok(connection)
        }
        Ok(Err(_)) | Err(_) => Err(event::Fault::Unreachable),
    }
}

fn fault_of(error: error::Error) -> event::Fault {
    match error {
        error::Error::Unreachable(..) => event::Fault::Unreachable,
        error::Error::Unsendable(_) => event::Fault::NotRun,
        error::Error::ConnectionLost => event::Fault::ConnectionLost,
        error::Error::Malformed(_) | error::Error::Unframed => event::Fault::InvalidResponse,
    }
}

/// Filters the headers of a response that are forwarded to the client.
pub fn forwarded_headers(head: Vec<(String, String)>) -> Vec<(String, String)> {
    head.into_iter().filter(|(name, _)| headers::is_forwarded_to_client(name)).collect()
}
