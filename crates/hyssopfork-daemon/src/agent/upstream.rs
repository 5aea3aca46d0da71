//! The upstream's side of one attempt.

use crate::agent::{answer, role};
use crate::{http, mailbox};
use actix_http::Method;
use bytes::Bytes;
use futures::StreamExt;
use hyssopfork_agent::event;
use hyssopfork_wire::{attempt, frame};
use std::net;
use std::sync::Arc;
use std::time::Duration;
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
    pub async fn run(self, mut orders: mpsc::UnboundedReceiver<Order>) {
        if orders.recv().await != Some(Order::Prepare) {
            return;
        }
        self.post(event::Event::Ready(self.offer.attempt));
        if orders.recv().await != Some(Order::Forward) {
            return;
        }
        self.answer.started();
        let result = tokio::select! {
            result = self.exchange() => result,
            () = aborted(&mut orders) => return,
        };
        match result {
            Ok(()) => {
                self.answer.end();
                self.post(event::Event::Ended(self.offer.attempt));
            }
            Err(fault) => self.post(event::Event::Failed(self.offer.attempt, fault)),
        }
    }

    fn post(&self, event: event::Event) {
        self.mailbox.post(role::Input::Event(event));
    }

    async fn exchange(&self) -> Result<(), event::Fault> {
        let mut response = self.request().send_body(self.body.clone()).await.map_err(fault)?;
        let head = frame::Head {
            status: response.status().as_u16(),
            headers: http::travelling(response.headers()),
        };
        if !is_delimited(&response) {
            return Err(event::Fault::Broken);
        }
        let marked = is_event_stream(&head) && self.offer.group.is_some();
        self.answer.head(head);
        self.post(event::Event::Begun(self.offer.attempt));
        let mut tail = Vec::new();
        while let Some(part) = response.next().await {
            let part = part.map_err(|_| event::Fault::Broken)?;
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

    fn request(&self) -> awc::ClientRequest {
        let url = format!("http://{}{}", self.upstream, self.offer.path);
        let method = Method::from_bytes(self.offer.method.as_bytes()).unwrap_or(Method::POST);
        let mut request = http::clients().fresh.request(method, url).no_decompress();
        for (name, value) in &self.offer.headers {
            request = request.insert_header((name.as_str(), value.as_str()));
        }
        request = request.insert_header((ATTEMPT_HEADER, self.offer.attempt.to_string()));
        if let Some((_, fence)) = &self.offer.group {
            request = request.insert_header((FENCE_HEADER, fence.to_string()));
        }
        if self.offer.resume_from > 0 {
            request = request.insert_header((RESUME_HEADER, self.offer.resume_from.to_string()));
        }
        request.timeout(Duration::from_secs(3_600))
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
fn fault(error: awc::error::SendRequestError) -> event::Fault {
    match error {
        awc::error::SendRequestError::Connect(_) | awc::error::SendRequestError::Url(_) => {
            event::Fault::Unreachable
        }
        _ => event::Fault::Broken,
    }
}

/// Whether the answer's own framing shows its end. A body that ends with its connection could be
/// cut anywhere and look whole.
fn is_delimited<S>(response: &awc::ClientResponse<S>) -> bool {
    let bodiless = matches!(response.status().as_u16(), 204 | 304);
    let headers = response.headers();
    bodiless || headers.contains_key("content-length") || headers.contains_key("transfer-encoding")
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
