//! One caller's request, from connection to last byte.

use super::plan;
use bytes::{Bytes, BytesMut};
use hyssopfork_exchange::{connection, error};
use std::cell::RefCell;
use std::net;
use std::time::{Duration, Instant};

/// Time after which an idle connection is not used again: well below servers' keep-alive, so that
/// no request meets a connection that is being closed.
const IDLE_LIMIT: Duration = Duration::from_secs(2);

/// What came back.
#[derive(Clone, Debug, Default)]
pub struct Received {
    /// HTTP status, when a head came.
    pub status: Option<u16>,
    /// Whether the answer is a stream of events.
    pub events: bool,
    /// Body as far as it came.
    pub body: Bytes,
    /// When its first part came.
    pub first: Option<Instant>,
    /// Why it is not whole; `None` when it is.
    pub fault: Option<String>,
}

/// Callers of some entries, which keep connections between requests.
#[derive(Default)]
pub struct Caller {
    idle: RefCell<Vec<(net::SocketAddr, Instant, connection::Connection)>>,
}

impl Caller {
    /// Sends a request to the first of `entries` that can be reached, as a balancer would.
    pub async fn call(
        &self,
        entries: &[net::SocketAddr],
        request: &plan::Request,
        limit: Duration,
    ) -> Received {
        let mut received = Received::default();
        let exchange = self.exchange(entries, request, &mut received);
        let fault = match actix_rt::time::timeout(limit, exchange).await {
            Ok(Ok(())) => None,
            Ok(Err(error)) => Some(error.to_string()),
            Err(_) => Some(format!("no whole answer within {} ms", limit.as_millis())),
        };
        Received { fault, ..received }
    }

    async fn exchange(
        &self,
        entries: &[net::SocketAddr],
        request: &plan::Request,
        received: &mut Received,
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
        received.status = Some(head.status);
        let media = head.header("content-type").unwrap_or_default();
        received.events = media.starts_with("text/event-stream");
        let mut whole = BytesMut::new();
        while let Some(part) = connection.read_part().await.inspect_err(|_| {
            received.body = whole.clone().freeze();
        })? {
            received.first.get_or_insert_with(Instant::now);
            whole.extend_from_slice(&part);
        }
        received.body = whole.freeze();
        self.keep(address, connection);
        Ok(())
    }

    async fn connect(
        &self,
        entries: &[net::SocketAddr],
    ) -> Result<(net::SocketAddr, connection::Connection), error::Error> {
        if let Some(connection) = self.take(entries[0]) {
            return Ok((entries[0], connection));
        }
        let mut last = None;
        for &entry in entries {
            match connection::Connection::connect(entry).await {
                Ok(connection) => return Ok((entry, connection)),
                Err(error) => last = Some(error),
            }
        }
        Err(last.unwrap_or(error::Error::ConnectionLost))
    }

    fn take(&self, entry: net::SocketAddr) -> Option<connection::Connection> {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|(_, since, _)| since.elapsed() < IDLE_LIMIT);
        let place = idle.iter().position(|(address, ..)| *address == entry)?;
        Some(idle.swap_remove(place).2)
    }

    fn keep(&self, address: net::SocketAddr, connection: connection::Connection) {
        if connection.is_reusable() {
            self.idle.borrow_mut().push((address, Instant::now(), connection));
        }
    }
}
