//! The upstream's side of one attempt.

use crate::agent::{answer, role};
use crate::{http, mailbox};
use bytes::Bytes;
use hyssopfork_agent::event;
use hyssopfork_exchange::{connection, error};
use hyssopfork_wire::{attempt, frame};
use std::net;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;

/// Time in which the upstream's connection must be there.
const CONNECT_LIMIT: Duration = Duration::from_millis(500);

/// Header that tells the engine the fencing number of the group that serves.
const FENCE_HEADER: &str = "hyssopfork-fence";

/// Header that tells the engine how many events of the stream the caller already has.
const RESUME_HEADER: &str = "hyssopfork-resume-from";

/// Header that carries the attempt's identifier into the upstream's own logs.
const ATTEMPT_HEADER: &str = "hyssopfork-attempt";

/// Media type of server-sent events.
const EVENT_STREAM: &str = "text/event-stream";

/// Status from which on an engine's answer is a failure of its own: it restarted without its model,
/// or is overloaded.
///
/// Passed on as an answer, the caller would get it in place of another engine's work, and the gate
/// would stay open until the next probe: six requests went to an engine without a model. A service's
/// failures are answers to its callers and pass.
const SERVER_ERROR: u16 = 500;

/// Last event of an engine's stream.
const END_MARK: &[u8] = b"data: [DONE]";

/// Bytes of the end of a stream in which its end mark must stand.
const END_WINDOW: usize = 32;

/// An order of the agent's core for one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Order {
    /// Get ready and ask again just before the first byte.
    Prepare,
    /// Write the request now.
    Forward,
    /// Stop, whatever has been reached.
    Abort,
}

/// One attempt's work.
#[derive(Debug)]
pub struct Work {
    /// What the entry offered.
    pub offer: attempt::Offer,
    /// Body of the caller's request.
    pub body: Bytes,
    /// Where the answer goes.
    pub answer: Arc<answer::Answer>,
    /// The agent's loop.
    pub mailbox: mailbox::Mailbox<role::Input>,
    /// The back end.
    pub upstream: net::SocketAddr,
}

impl Work {
    /// Carries the attempt through under the core's orders.
    ///
    /// The core is asked a second time once the connection is open, so that nothing that takes
    /// time lies between its last look at the clock and the first byte.
    pub async fn run(self, mut orders: mpsc::UnboundedReceiver<Order>) {
        if orders.recv().await != Some(Order::Prepare) {
            return;
        }
        let connection = match self.connect().await {
            Ok(connection) => connection,
            Err(fault) => {
                return self.post(event::Event::ResponseFailed(self.offer.attempt, fault));
            }
        };
        self.post(event::Event::Connected(self.offer.attempt));
        if orders.recv().await != Some(Order::Forward) {
            return;
        }
        self.answer.started();
        let result = tokio::select! {
            result = self.exchange(connection) => result,
            () = aborted(&mut orders) => return,
        };
        match result {
            Ok(()) => {
                self.answer.end();
                self.post(event::Event::ResponseCompleted(self.offer.attempt));
            }
            Err(fault) => self.post(event::Event::ResponseFailed(self.offer.attempt, fault)),
        }
    }

    fn post(&self, event: event::Event) {
        self.mailbox.post(role::Input::Event(event));
    }

    /// Not by awc: it reports a connection that was closed before the answer's head as one that
    /// could not be made, and ends a cut body like a whole one. The first runs work twice, the
    /// second gives half an answer as a whole one.
    async fn exchange(&self, mut connection: connection::Connection) -> Result<(), event::Fault> {
        let headers = self.headers();
        let request = connection::Request {
            method: &self.offer.method,
            path: &self.offer.path,
            headers: &headers,
        };
        connection.send(&request, self.body.clone()).await.map_err(fault)?;
        let head = connection.read_head().await.map_err(fault)?;
        if self.offer.group.is_some() && head.status >= SERVER_ERROR {
            return Err(event::Fault::Broken);
        }
        let head = frame::Head { status: head.status, headers: travelling(head.headers) };
        let marked = is_event_stream(&head) && self.offer.group.is_some();
        self.answer.head(head);
        self.post(event::Event::ResponseStarted(self.offer.attempt));
        let mut tail = Vec::new();
        while let Some(part) = connection.read_part().await.map_err(fault)? {
            if !self.answer.data(&part) {
                return Err(event::Fault::Broken);
            }
            keep_tail(&mut tail, &part);
        }
        if marked && !tail.windows(END_MARK.len()).any(|window| window == END_MARK) {
            return Err(event::Fault::Broken);
        }
        Ok(())
    }

    async fn connect(&self) -> Result<connection::Connection, event::Fault> {
        let opened = connection::Connection::connect(self.upstream);
        let opened = tokio::time::timeout(CONNECT_LIMIT, opened).await;
        opened.map_err(|_| event::Fault::Unreachable)?.map_err(fault)
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

async fn aborted(orders: &mut mpsc::UnboundedReceiver<Order>) {
    while let Some(order) = orders.recv().await {
        if order == Order::Abort {
            return;
        }
    }
    std::future::pending().await
}

/// Whether any byte may have reached the upstream decides what the core may say.
fn fault(error: error::Error) -> event::Fault {
    match error {
        error::Error::Unreachable(..) | error::Error::Unsendable(_) => event::Fault::Unreachable,
        error::Error::ConnectionLost | error::Error::Malformed(_) | error::Error::Unframed => {
            event::Fault::Broken
        }
    }
}

fn travelling(headers: Vec<(String, String)>) -> Vec<(String, String)> {
    headers.into_iter().filter(|(name, _)| http::travels(name)).collect()
}

fn is_event_stream(head: &frame::Head) -> bool {
    let is_type = |(name, value): &(String, String)| {
        name == "content-type" && value.starts_with(EVENT_STREAM)
    };
    head.headers.iter().any(is_type)
}

fn keep_tail(tail: &mut Vec<u8>, part: &[u8]) {
    tail.extend_from_slice(part);
    let excess = tail.len().saturating_sub(END_WINDOW);
    tail.drain(..excess);
}
