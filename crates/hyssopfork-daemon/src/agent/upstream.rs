//! The HTTP exchange with the upstream for one attempt.

use crate::agent::{engine, response, role};
use crate::{clock, http, mailbox};
use bytes::Bytes;
use hyssopfork_agent::event;
use hyssopfork_exchange::{connection, error};
use hyssopfork_wire::{attempt, frame};
use std::net;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;

/// Timeout for connecting to the upstream.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Header with the fencing number of the group that serves the request.
const FENCE_HEADER: &str = "hyssopfork-fence";

/// Header with the number of stream events that the client already has.
const RESUME_HEADER: &str = "hyssopfork-resume-from";

/// Header with the attempt's identifier, for the upstream's logs.
const ATTEMPT_HEADER: &str = "hyssopfork-attempt";

/// Media type of server-sent events.
const EVENT_STREAM: &str = "text/event-stream";

/// Lowest status of an engine's response that counts as a failure of the engine: it restarted
/// without its model, or is overloaded.
///
/// If such a response were forwarded, the client would get an error that another engine could have
/// avoided, and requests would still be admitted until the next probe: six requests went to an
/// engine without a model. A service's errors are its responses to clients and are forwarded.
const MIN_SERVER_ERROR_STATUS: u16 = 500;

/// Last event of an engine's event stream.
const END_MARKER: &[u8] = b"data: [DONE]";

/// Length of the end of a stream in which the end marker must appear.
const END_MARKER_WINDOW_BYTES: usize = 32;

/// A command of the agent's core for one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Command {
    /// Connect, and ask the core again just before the first byte.
    Connect,
    /// Send the request.
    Forward,
    /// Stop at any stage.
    Abort,
}

/// The exchange with the upstream for one attempt.
#[derive(Debug)]
pub struct Exchange {
    /// The entry's offer.
    pub offer: attempt::Offer,
    /// Body of the client's request.
    pub body: Bytes,
    /// Buffer for the response.
    pub response: Arc<response::Response>,
    /// The agent's event loop.
    pub mailbox: mailbox::Mailbox<role::Input>,
    /// The upstream's address.
    pub upstream: net::SocketAddr,
}

impl Exchange {
    /// Runs the exchange as the core commands.
    ///
    /// The core is asked a second time once the connection is open, so that nothing time-consuming
    /// lies between its last check of the clock and the first byte.
    pub async fn run(self, mut commands: mpsc::UnboundedReceiver<Command>) {
        if commands.recv().await != Some(Command::Connect) {
            return;
        }
        let (connection, connected) = match self.open().await {
            Ok(opened) => opened,
            Err(fault) => {
                return self.post(event::Event::ResponseFailed(self.offer.attempt, fault));
            }
        };
        self.post(connected);
        if commands.recv().await != Some(Command::Forward) {
            return;
        }
        self.response.set_started();
        let result = tokio::select! {
            result = self.transfer(connection) => result,
            () = wait_for_abort(&mut commands) => return,
        };
        match result {
            Ok(()) => {
                self.response.complete();
                self.post(event::Event::ResponseCompleted(self.offer.attempt));
            }
            Err(fault) => self.post(event::Event::ResponseFailed(self.offer.attempt, fault)),
        }
    }

    fn post(&self, event: event::Event) {
        self.mailbox.post(role::Input::Event(event));
    }

    /// Sends the request and reads the response.
    ///
    /// This doesn't use awc, which reports a connection that was closed before the response's head
    /// as one that was never established, and ends a truncated body like a complete one. The first
    /// would run work twice, the second would pass a partial response as complete.
    async fn transfer(&self, mut connection: connection::Connection) -> Result<(), event::Fault> {
        let headers = self.headers();
        let request = connection::Request {
            method: &self.offer.method,
            path: &self.offer.path,
            headers: &headers,
        };
        connection.send(&request, self.body.clone()).await.map_err(to_fault)?;
        let head = connection.read_head().await.map_err(to_fault)?;
        if self.offer.group.is_some() && head.status >= MIN_SERVER_ERROR_STATUS {
            return Err(event::Fault::Broken);
        }
        let head = frame::Head { status: head.status, headers: forwarded_headers(head.headers) };
        let needs_end_marker = is_event_stream(&head) && self.offer.group.is_some();
        self.response.set_head(head);
        self.post(event::Event::ResponseStarted(self.offer.attempt));
        let mut tail = Vec::new();
        while let Some(part) = connection.read_part().await.map_err(to_fault)? {
            if !self.response.append(&part) {
                return Err(event::Fault::Broken);
            }
            keep_tail(&mut tail, &part);
        }
        if needs_end_marker && !tail.windows(END_MARKER.len()).any(|window| window == END_MARKER) {
            return Err(event::Fault::Broken);
        }
        Ok(())
    }

    /// Connects to the upstream, and requests the health of an engine on the same connection.
    async fn open(&self) -> Result<(connection::Connection, event::Event), event::Fault> {
        let attempt = self.offer.attempt;
        let mut connection = self.connect().await?;
        if self.offer.group.is_none() {
            return Ok((connection, event::Event::Connected(attempt)));
        }
        let sent_at = clock::now();
        let health = engine::request_health_on(&mut connection).await;
        let health = health.ok_or(event::Fault::Unreachable)?;
        if !connection.is_reusable() {
            connection = self.connect().await?;
        }
        Ok((connection, event::Event::EngineConnected { attempt, sent_at, health }))
    }

    async fn connect(&self) -> Result<connection::Connection, event::Fault> {
        let opened = connection::Connection::connect(self.upstream);
        let opened = tokio::time::timeout(CONNECT_TIMEOUT, opened).await;
        opened.map_err(|_| event::Fault::Unreachable)?.map_err(to_fault)
    }

    fn headers(&self) -> Vec<(String, String)> {
        let mut headers = self.offer.headers.clone();
        headers.push((ATTEMPT_HEADER.to_owned(), self.offer.attempt.to_string()));
        if let Some((_, fence)) = &self.offer.group {
            headers.push((FENCE_HEADER.to_owned(), fence.to_string()));
        }
        if self.offer.resume_from > 0 {
            headers.push((RESUME_HEADER.to_owned(), self.offer.resume_from.to_string()));
        }
        headers
    }
}

async fn wait_for_abort(commands: &mut mpsc::UnboundedReceiver<Command>) {
    while let Some(order) = commands.recv().await {
        if order == Command::Abort {
            return;
        }
    }
    std::future::pending().await
}

/// Distinguishes failures before the first byte, after which the core may report the request as not
/// run, from later ones.
fn to_fault(error: error::Error) -> event::Fault {
    match error {
        error::Error::Unreachable(..) | error::Error::Unsendable(_) => event::Fault::Unreachable,
        error::Error::ConnectionLost
        | error::Error::NotRead
        | error::Error::Malformed(_)
        | error::Error::TooLong(_)
        | error::Error::Unframed => event::Fault::Broken,
    }
}

fn forwarded_headers(headers: Vec<(String, String)>) -> Vec<(String, String)> {
    headers.into_iter().filter(|(name, _)| http::is_forwarded(name)).collect()
}

fn is_event_stream(head: &frame::Head) -> bool {
    let is_type = |(name, value): &(String, String)| {
        name == "content-type" && value.starts_with(EVENT_STREAM)
    };
    head.headers.iter().any(is_type)
}

fn keep_tail(tail: &mut Vec<u8>, part: &[u8]) {
    tail.extend_from_slice(part);
    let excess = tail.len().saturating_sub(END_MARKER_WINDOW_BYTES);
    tail.drain(..excess);
}
