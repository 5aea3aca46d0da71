//! HTTP client of the load generator, with a pool of idle connections.

use super::plan;
use bytes::{Bytes, BytesMut};
use hyssopfork_exchange::{connection, error};
use std::cell::RefCell;
use std::net;
use std::time::{Duration, Instant};

/// Time after which an idle connection is dropped: well below the keep-alive time of servers, so
/// that no request is sent on a connection that the server is closing.
const IDLE_TIMEOUT: Duration = Duration::from_secs(2);

/// Response to a request, as far as it arrived.
#[derive(Clone, Debug, Default)]
pub struct Response {
    /// HTTP status, if a response head arrived.
    pub status: Option<u16>,
    /// Whether the body is a stream of server-sent events.
    pub is_event_stream: bool,
    /// Body as far as it arrived.
    pub body: Bytes,
    /// When the first part of the body arrived.
    pub first_part_at: Option<Instant>,
    /// Why the response is incomplete; `None` if it is complete.
    pub error: Option<String>,
}

/// HTTP client that keeps idle connections to the entries.
#[derive(Default)]
pub struct Client {
    idle: RefCell<Vec<(net::SocketAddr, Instant, connection::Connection)>>,
}

impl Client {
    /// Sends a request to the first reachable entry of `entries`, as a load balancer would.
    pub async fn call(
        &self,
        entries: &[net::SocketAddr],
        request: &plan::Request,
        timeout: Duration,
    ) -> Response {
        let mut response = Response::default();
        let exchanged = self.exchange(entries, request, &mut response);
        let error = match actix_rt::time::timeout(timeout, exchanged).await {
            Ok(Ok(())) => None,
            Ok(Err(error)) => Some(error.to_string()),
            Err(_) => Some(format!("no whole answer within {} ms", timeout.as_millis())),
        };
        Response { error, ..response }
    }

    async fn exchange(
        &self,
        entries: &[net::SocketAddr],
        request: &plan::Request,
        response: &mut Response,
    ) -> Result<(), error::Error> {
        let (address, mut connection) = self.connect(entries).await?;
        let headers = request.headers();
        let head = connection::Request {
            method: &request.route.method,
            path: &request.route.path,
            headers: &headers,
        };
        let body = request.route.body.as_ref().map(ToString::to_string).unwrap_or_default();
        connection.send(&head, Bytes::from(body)).await?;
        let head = connection.read_head().await?;
        response.status = Some(head.status);
        let content_type = head.header("content-type").unwrap_or_default();
        response.is_event_stream = content_type.starts_with("text/event-stream");
        let mut received = BytesMut::new();
        while let Some(part) = connection.read_part().await.inspect_err(|_| {
            response.body = received.clone().freeze();
        })? {
            response.first_part_at.get_or_insert_with(Instant::now);
            received.extend_from_slice(&part);
        }
        response.body = received.freeze();
        self.store_idle(address, connection);
        Ok(())
    }

    async fn connect(
        &self,
        entries: &[net::SocketAddr],
    ) -> Result<(net::SocketAddr, connection::Connection), error::Error> {
        if let Some(connection) = self.take_idle(entries[0]) {
            return Ok((entries[0], connection));
        }
        let mut last_error = None;
        for &entry in entries {
            match connection::Connection::connect(entry).await {
                Ok(connection) => return Ok((entry, connection)),
                Err(error) => last_error = Some(error),
            }
        }
        Err(last_error.unwrap_or(error::Error::ConnectionLost))
    }

    fn take_idle(&self, entry: net::SocketAddr) -> Option<connection::Connection> {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|(_, since, _)| since.elapsed() < IDLE_TIMEOUT);
        let index = idle.iter().position(|(address, ..)| *address == entry)?;
        Some(idle.swap_remove(index).2)
    }

    fn store_idle(&self, address: net::SocketAddr, connection: connection::Connection) {
        if connection.is_reusable() {
            self.idle.borrow_mut().push((address, Instant::now(), connection));
        }
    }
}
