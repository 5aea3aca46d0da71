//! Request handler: forwards one client's request as the gateway core decides.

use crate::clock;
use crate::edge::{attempt, http_server, traffic};
use bytes::{Bytes, BytesMut};
use futures::stream;
use hyssopfork_gateway::{action, event, scanner};
use hyssopfork_platform::{client, headers, reply};
use hyssopfork_wire::clock as wire_clock;
use std::rc::Rc;
use std::time::Duration;
use tokio::time;

/// Handles a request up to the head of the response. The events of a stream follow in the response
/// body.
pub async fn handle(
    entry: Rc<traffic::Entry>,
    request: http_server::Request,
) -> http_server::Response {
    let head = request.head.head();
    let arrival = client::parse_request(head, request.body.clone());
    let outbound = attempt::Request {
        method: head.method.as_str().to_owned(),
        path: head.uri.path_and_query().map_or("/", |path| path.as_str()).to_owned(),
        headers: headers::forwarded_request_headers(&head.headers),
        body: request.body,
        identifier: arrival.identifier.clone(),
    };
    let handler = Handler {
        number: entry.next_request_number(),
        entry,
        outbound,
        scanner: scanner::Scanner::new(arrival.last_event),
        attempt: None,
        status: 0,
        headers: Vec::new(),
        body: BytesMut::new(),
        idle_timeout: Duration::ZERO,
        deadline: wire_clock::Instant::ORIGIN,
        is_finished: false,
    };
    handler.run(arrival).await
}

struct Handler {
    entry: Rc<traffic::Entry>,
    number: u64,
    outbound: attempt::Request,
    scanner: scanner::Scanner,
    attempt: Option<attempt::Attempt>,
    /// Status code of the response.
    status: u16,
    /// Headers of the response that are forwarded.
    headers: Vec<(String, String)>,
    /// Received part of a buffered response body.
    body: BytesMut,
    /// Time without bytes after which the core is asked what to do.
    idle_timeout: Duration,
    /// Deadline of the request.
    deadline: wire_clock::Instant,
    /// Whether the core has finished the request.
    is_finished: bool,
}

/// Outcome of waiting for the upstream.
enum Wait<T> {
    /// The awaited result.
    Completed(Result<T, event::Fault>),
    /// Nothing arrived within [`Handler::idle_timeout`].
    IdleTimeout,
    /// The deadline passed.
    DeadlineExceeded,
}

impl Drop for Handler {
    /// Handles a client disconnect. Dropping the attempt also closes its connection, which cancels
    /// the work at the upstream.
    fn drop(&mut self) {
        if !self.is_finished {
            self.entry.step(event::Event::ClientDisconnected(self.number));
        }
    }
}

impl Handler {
    async fn run(mut self, arrival: hyssopfork_gateway::arrival::Arrival) -> http_server::Response {
        let mut decision = self.step(event::Event::Arrived(self.number, Box::new(arrival)));
        loop {
            match decision {
                action::Decision::Start(start) => decision = self.start_attempt(&start).await,
                action::Decision::Wait(idle_timeout) => {
                    self.idle_timeout = idle_timeout;
                    decision = self.receive_response().await;
                }
                action::Decision::Queue(timeout) => decision = self.wait_in_queue(timeout).await,
                action::Decision::ForwardResponse => return self.forward_response(),
                action::Decision::ForwardStream => return self.forward_stream(),
                action::Decision::Reject(rejection) => return self.reject(&rejection),
                action::Decision::Abort => {
                    let reason = action::Reason::Failed;
                    return self.reject(&action::Rejection { reason, retry_after: None });
                }
            }
        }
    }

    /// Passes an event to the core. A request that the core doesn't know has failed.
    fn step(&mut self, event: event::Event) -> action::Decision {
        let decision = self.entry.step(event).unwrap_or(action::Decision::Abort);
        self.is_finished = matches!(
            decision,
            action::Decision::ForwardResponse
                | action::Decision::Reject(_)
                | action::Decision::Abort
        );
        decision
    }

    /// Waits in the queue until an event of another request makes the core decide about this one.
    async fn wait_in_queue(&mut self, timeout: Duration) -> action::Decision {
        let mut receiver = self.entry.register_waiter(self.number);
        match time::timeout(timeout, &mut receiver).await {
            Ok(Ok(decision)) => decision,
            // The decision may have arrived just as the timeout passed.
            Ok(Err(_)) | Err(_) => match receiver.try_recv() {
                Ok(decision) => decision,
                Err(_) => self.step(event::Event::QueueTimeout(self.number)),
            },
        }
    }

    /// Starts an attempt and waits for its response. The connection of the previous attempt closes.
    async fn start_attempt(&mut self, start: &action::Start) -> action::Decision {
        self.attempt = None;
        self.body.clear();
        self.scanner.discard_partial();
        self.idle_timeout = start.idle_timeout;
        self.deadline = start.deadline;
        let remaining = clock::now().until(self.deadline);
        let result =
            attempt::Attempt::send(&self.outbound, start, remaining, &self.entry.idle_connections)
                .await;
        match result {
            Ok(attempt) => self.attempt = Some(attempt),
            Err(fault) => return self.on_fault(fault),
        }
        self.receive_response().await
    }

    /// Waits for the head of the response, and for the body unless it is a stream.
    async fn receive_response(&mut self) -> action::Decision {
        let Some(mut attempt) = self.attempt.take() else {
            return self.on_fault(event::Fault::ConnectionLost);
        };
        if attempt.response().status == 0 {
            match self.wait(attempt.read_head()).await {
                Wait::Completed(Ok(head)) => self.headers = attempt::forwarded_headers(head),
                other => return self.on_incomplete_wait(attempt, other),
            }
            if let Some(fault) = attempt.response().fault(&self.outbound.identifier) {
                let head = attempt.response().head();
                return self.step(event::Event::AttemptFailed(self.number, fault, Some(head)));
            }
        }
        let response = attempt.response();
        let head = response.head();
        self.status = head.status;
        if response.is_event_stream && head.status == 200 {
            self.attempt = Some(attempt);
            return self.step(event::Event::HeadReceived(self.number, head));
        }
        let mut body = std::mem::take(&mut self.body);
        let wait = self.wait(attempt.read_rest(&mut body)).await;
        self.body = body;
        match wait {
            Wait::Completed(Ok(())) => {
                let decision = self.step(event::Event::ResponseReceived(self.number, head));
                attempt.release(&self.entry.idle_connections);
                decision
            }
            other => self.on_incomplete_wait(attempt, other),
        }
    }

    /// Waits for `work` until the idle timeout or the deadline passes.
    async fn wait<T>(&self, work: impl Future<Output = Result<T, event::Fault>>) -> Wait<T> {
        let remaining = clock::now().until(self.deadline);
        if remaining.is_zero() {
            return Wait::DeadlineExceeded;
        }
        match time::timeout(remaining.min(self.idle_timeout), work).await {
            Ok(result) => Wait::Completed(result),
            Err(_) if remaining <= self.idle_timeout => Wait::DeadlineExceeded,
            Err(_) => Wait::IdleTimeout,
        }
    }

    /// Asks the core what to do after a wait without a result. The attempt is kept if the core
    /// decides to wait.
    fn on_incomplete_wait<T>(
        &mut self,
        attempt: attempt::Attempt,
        wait: Wait<T>,
    ) -> action::Decision {
        let decision = match wait {
            Wait::IdleTimeout => self.step(event::Event::IdleTimeout(self.number)),
            Wait::DeadlineExceeded => self.step(event::Event::DeadlineExceeded(self.number)),
            Wait::Completed(Err(fault)) => return self.on_fault(fault),
            Wait::Completed(Ok(_)) => return self.on_fault(event::Fault::InvalidResponse),
        };
        if matches!(decision, action::Decision::Wait(_)) {
            self.attempt = Some(attempt);
        }
        decision
    }

    fn on_fault(&mut self, fault: event::Fault) -> action::Decision {
        self.step(event::Event::AttemptFailed(self.number, fault, None))
    }

    fn forward_response(&mut self) -> http_server::Response {
        let body = std::mem::take(&mut self.body).freeze();
        http_server::Response::new(self.status, std::mem::take(&mut self.headers), body)
    }

    fn reject(&self, rejection: &action::Rejection) -> http_server::Response {
        let reply = reply::rejection_reply(rejection);
        let headers = reply.headers.into_iter().map(|(name, value)| (name.to_owned(), value));
        http_server::Response::new(reply.status, headers.collect(), reply.body)
    }

    fn forward_stream(mut self) -> http_server::Response {
        let headers = std::mem::take(&mut self.headers);
        let parts = stream::unfold(self, |mut handler| async move {
            let part = handler.next_part().await?;
            Some((part, handler))
        });
        http_server::Response {
            status: 200,
            headers,
            body: http_server::Body::Stream(Box::pin(parts)),
        }
    }

    /// Returns the next events of the stream; `None` after the last one.
    async fn next_part(&mut self) -> Option<Result<Bytes, http_server::Aborted>> {
        if self.is_finished {
            return None;
        }
        loop {
            let decision = match self.read_events().await {
                // A chunk without bytes would mark the end of the response.
                Read::Events(events) if events.is_empty() => continue,
                Read::Events(events) => return Some(Ok(events)),
                Read::End => return None,
                Read::Decided(decision) => decision,
            };
            let mut decision = decision;
            while let action::Decision::Start(start) = &decision {
                let start = start.clone();
                decision = self.start_attempt(&start).await;
            }
            match decision {
                action::Decision::Wait(idle_timeout) => self.idle_timeout = idle_timeout,
                action::Decision::ForwardStream => {}
                _ => return Some(Err(http_server::Aborted)),
            }
        }
    }

    async fn read_events(&mut self) -> Read {
        let Some(mut attempt) = self.attempt.take() else {
            return Read::Decided(self.on_fault(event::Fault::ConnectionLost));
        };
        if attempt.response().status == 0 {
            self.attempt = Some(attempt);
            return Read::Decided(self.receive_response().await);
        }
        match self.wait(attempt.read_part()).await {
            Wait::Completed(Ok(Some(bytes))) => self.scan_events(attempt, &bytes),
            Wait::Completed(Ok(None)) if self.scanner.is_at_event_boundary() => {
                self.entry.step(event::Event::StreamCompleted(self.number));
                self.is_finished = true;
                attempt.release(&self.entry.idle_connections);
                Read::End
            }
            Wait::Completed(Ok(None)) => Read::Decided(self.on_fault(event::Fault::ConnectionLost)),
            other => Read::Decided(self.on_incomplete_wait(attempt, other)),
        }
    }

    fn scan_events(&mut self, attempt: attempt::Attempt, bytes: &[u8]) -> Read {
        match self.scanner.feed(bytes) {
            Ok(events) => {
                self.attempt = Some(attempt);
                self.idle_timeout = hyssopfork_gateway::target::SUSPECT_TIMEOUT;
                let last_event = self.scanner.last_event();
                self.entry.step(event::Event::EventsReceived(self.number, last_event));
                Read::Events(events)
            }
            Err(scanner::OutOfOrder { .. }) => {
                Read::Decided(self.on_fault(event::Fault::InvalidResponse))
            }
        }
    }
}

/// Outcome of reading from a stream.
enum Read {
    /// Complete events; empty if only part of an event has arrived.
    Events(Bytes),
    /// End of the stream, after the last event.
    End,
    /// The core decided otherwise.
    Decided(action::Decision),
}
