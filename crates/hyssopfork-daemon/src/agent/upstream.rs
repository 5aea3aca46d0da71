//! The upstream's side of one attempt.

use crate::agent::{answer, connection, role};
use crate::{http, mailbox};
use actix_http::header::{HeaderName, HeaderValue};
use actix_http::{Method, RequestHead};
use bytes::Bytes;
use hyssopfork_agent::event;
use hyssopfork_wire::{attempt, frame};
use std::net;
use std::sync::Arc;
use tokio::sync::mpsc;

/// Header that tells the engine the fencing number of the group that serves.
const FENCE_HEADER: &str = "hyssopfork-fence";

/// Header that tells the engine how many events of the stream the caller already has.
const RESUME_HEADER: &str = "hyssopfork-resume-from";

/// Header that carries the attempt's identifier into the upstream's own logs.
const ATTEMPT_HEADER: &str = "hyssopfork-attempt";

/// Media type of server-sent events.
const EVENT_STREAM: &str = "text/event-stream";

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
    /// The core is asked a second time after the connection is open, so that nothing that takes
    /// time lies between its last look at the clock and the first byte.
    pub async fn run(self, mut orders: mpsc::UnboundedReceiver<Order>) {
        if orders.recv().await != Some(Order::Prepare) {
            return;
        }
        let connection = match connection::Connection::open(self.upstream).await {
            Ok(connection) => connection,
            Err(error) => return self.fail(&error),
        };
        self.post(event::Event::Ready(self.offer.attempt));
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
                self.post(event::Event::Ended(self.offer.attempt));
            }
            Err(error) => self.fail(&error),
        }
    }

    fn post(&self, event: event::Event) {
        self.mailbox.post(role::Input::Event(event));
    }

    /// Whether any byte may have reached the upstream decides what the core may say.
    fn fail(&self, error: &connection::Error) {
        let fault = match error {
            connection::Error::Unreachable => event::Fault::Unreachable,
            connection::Error::Broken => event::Fault::Broken,
        };
        self.post(event::Event::Failed(self.offer.attempt, fault));
    }

    async fn exchange(&self, connection: connection::Connection) -> Result<(), connection::Error> {
        let mut incoming = connection.send(self.head(), self.body.clone()).await?;
        let head = frame::Head {
            status: incoming.head.status.as_u16(),
            headers: http::travelling(&incoming.head.headers),
        };
        let marked = is_event_stream(&head) && self.offer.group.is_some();
        self.answer.head(head);
        self.post(event::Event::Begun(self.offer.attempt));
        let mut tail = Vec::new();
        while let Some(part) = incoming.next().await? {
            if !self.answer.data(&part) {
                return Err(connection::Error::Broken);
            }
            keep_tail(&mut tail, &part);
        }
        if marked && !tail.windows(END_MARK.len()).any(|window| window == END_MARK) {
            return Err(connection::Error::Broken);
        }
        Ok(())
    }

    fn head(&self) -> RequestHead {
        let mut head = RequestHead::default();
        head.method = Method::from_bytes(self.offer.method.as_bytes()).unwrap_or(Method::POST);
        head.uri = self.offer.path.parse().unwrap_or_default();
        for (name, value) in &self.offer.headers {
            append(&mut head, name, value);
        }
        append(&mut head, "host", &self.upstream.to_string());
        append(&mut head, ATTEMPT_HEADER, &self.offer.attempt.to_string());
        if let Some((_, fence)) = &self.offer.group {
            append(&mut head, FENCE_HEADER, &fence.to_string());
        }
        if self.offer.resume_from > 0 {
            append(&mut head, RESUME_HEADER, &self.offer.resume_from.to_string());
        }
        head
    }
}

/// Adds a header; one that HTTP doesn't allow is left out, since the entry has read it as HTTP.
fn append(head: &mut RequestHead, name: &str, value: &str) {
    let name = HeaderName::from_bytes(name.as_bytes());
    if let (Ok(name), Ok(value)) = (name, HeaderValue::from_str(value)) {
        head.headers.append(name, value);
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
