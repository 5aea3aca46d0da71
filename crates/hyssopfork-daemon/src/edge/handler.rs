//! Request handler: forwards one client's request as the gateway core decides.

use crate::clock;
use crate::edge::{attempt, http_server, memory, traffic};
use bytes::{Bytes, BytesMut};
use futures::stream;
use hyssopfork_gateway::{action, event, scanner};
use hyssopfork_platform::{client, headers, reply};
use hyssopfork_wire::clock as wire_clock;
use std::rc::Rc;
use std::time::Duration;
use tokio::time;

/// Maximum size of a response that is buffered whole, so that a truncated one can be retried, in
/// bytes. A larger one is forwarded as it arrives.
const MAX_BUFFERED_BYTES: usize = 64 << 10;

/// Size up to which a response is buffered even if the memory budget is used up, in bytes. It is
/// part of what is counted for each request.
const MIN_BUFFERED_BYTES: usize = 4 << 10;

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
        length: None,
        is_large: false,
        held: request.held,
        unread: memory::Unread::default(),
        part_returned_at: None,
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
    /// Received part of a response body that is not forwarded yet.
    body: BytesMut,
    /// Length of the response body, if the upstream states it.
    length: Option<u64>,
    /// Whether the response is a large one, which is forwarded as it arrives.
    is_large: bool,
    /// Memory counted for the request.
    held: Rc<memory::Reservation>,
    /// Time for which the client has not read.
    unread: memory::Unread,
    /// When the last part was returned, to be written to the client.
    part_returned_at: Option<time::Instant>,
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
                action::Decision::ForwardStream if self.is_large => {
                    return self.forward_large_response();
                }
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
        self.body = BytesMut::new();
        self.is_large = false;
        self.scanner.discard_partial();
        self.idle_timeout = start.idle_timeout;
        self.deadline = start.deadline;
        let remaining = clock::now().until(self.deadline);
        let result = attempt::Attempt::send(
            &mut self.outbound,
            start,
            remaining,
            &self.entry.idle_connections,
        )
        .await;
        self.held.resize(self.outbound.body.len());
        match result {
            Ok(attempt) => self.attempt = Some(attempt),
            Err(fault) => {
                if fault == event::Fault::BodyNotRead {
                    self.entry.on_upstream_stalled(&start.instance, attempt::WRITE_TIMEOUT);
                }
                return self.on_fault(fault);
            }
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
                Wait::Completed(Ok(head)) => {
                    self.length = attempt::content_length(&head);
                    self.headers = attempt::forwarded_headers(head);
                }
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
        let held = self.held.clone();
        let request_bytes = self.outbound.body.len();
        let may_hold = move |length: usize| {
            length < MIN_BUFFERED_BYTES
                || length <= MAX_BUFFERED_BYTES && held.resize(request_bytes + length)
        };
        let wait = self.wait(attempt.read_rest(&mut body, may_hold)).await;
        self.body = body;
        match wait {
            Wait::Completed(Ok(false)) => {
                self.is_large = true;
                self.attempt = Some(attempt);
                self.step(event::Event::LargeResponseReceived(self.number, head))
            }
            Wait::Completed(Ok(true)) => {
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
            handler.on_part_taken();
            let part = handler.next_part().await?;
            handler.part_returned_at = Some(time::Instant::now());
            Some((part, handler))
        });
        http_server::Response {
            status: 200,
            headers,
            body: http_server::Body::Stream(Box::pin(parts)),
        }
    }

    /// Forwards a response that is too large to be buffered as it arrives.
    fn forward_large_response(mut self) -> http_server::Response {
        let (status, headers) = (self.status, std::mem::take(&mut self.headers));
        let length = self.length;
        let parts = Box::pin(stream::unfold(self, |mut handler| async move {
            handler.on_part_taken();
            let part = handler.next_large_part().await?;
            handler.part_returned_at = Some(time::Instant::now());
            Some((part, handler))
        }));
        let body = match length {
            Some(length) => http_server::Body::Sized(length, parts),
            None => http_server::Body::Stream(parts),
        };
        http_server::Response { status, headers, body }
    }

    /// Records the time that the client took for the last part. It doesn't count against the
    /// deadline of a large response, which is a deadline for the upstream.
    fn on_part_taken(&mut self) {
        let Some(returned_at) = self.part_returned_at.take() else { return };
        let after = returned_at.elapsed();
        self.unread.on_part_taken(after);
        if self.is_large {
            self.deadline = self.deadline + after;
        }
    }

    /// Returns the next part of a large response; `None` after the last one.
    async fn next_large_part(&mut self) -> Option<Result<Bytes, http_server::Aborted>> {
        if self.is_finished {
            return None;
        }
        if !self.body.is_empty() {
            let part = self.body.split_to(self.body.len().min(attempt::PART_BYTES));
            if self.body.is_empty() {
                self.body = BytesMut::new();
            }
            return Some(Ok(part.freeze()));
        }
        self.held.resize(self.outbound.body.len());
        loop {
            let Some(mut attempt) = self.attempt.take() else {
                self.on_fault(event::Fault::ConnectionLost);
                return Some(Err(http_server::Aborted));
            };
            let started = time::Instant::now();
            let decision = match self.wait(attempt.read_part()).await {
                Wait::Completed(Ok(Some(part))) => {
                    self.unread.on_part_received(started.elapsed());
                    self.attempt = Some(attempt);
                    return Some(Ok(part));
                }
                Wait::Completed(Ok(None)) => {
                    self.entry.step(event::Event::StreamCompleted(self.number));
                    self.is_finished = true;
                    attempt.release(&self.entry.idle_connections);
                    return None;
                }
                Wait::Completed(Err(fault)) => {
                    self.on_fault(self.attributed_fault(fault, started));
                    return Some(Err(http_server::Aborted));
                }
                other => self.on_incomplete_wait(attempt, other),
            };
            match decision {
                action::Decision::Wait(idle_timeout) => self.idle_timeout = idle_timeout,
                _ => return Some(Err(http_server::Aborted)),
            }
        }
    }

    /// Fault of a response whose read began at `started`. If the client had not read for some time,
    /// the end of the connection is not the upstream's fault.
    fn attributed_fault(&self, fault: event::Fault, started: time::Instant) -> event::Fault {
        let is_lost = fault == event::Fault::ConnectionLost;
        if is_lost && self.unread.explains_end(started.elapsed()) {
            event::Fault::ResponseNotRead
        } else {
            fault
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
            loop {
                decision = match decision {
                    action::Decision::Start(start) => self.start_attempt(&start).await,
                    action::Decision::Queue(timeout) => self.wait_in_queue(timeout).await,
                    _ => break,
                };
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
        let started = time::Instant::now();
        match self.wait(attempt.read_part()).await {
            Wait::Completed(Ok(Some(bytes))) => {
                self.unread.on_part_received(started.elapsed());
                self.scan_events(attempt, &bytes)
            }
            Wait::Completed(Ok(None)) if self.is_stream_complete(&attempt) => {
                self.entry.step(event::Event::StreamCompleted(self.number));
                self.is_finished = true;
                attempt.release(&self.entry.idle_connections);
                Read::End
            }
            Wait::Completed(Ok(None)) => {
                let fault = self.attributed_fault(event::Fault::ConnectionLost, started);
                Read::Decided(self.on_fault(fault))
            }
            Wait::Completed(Err(fault)) => {
                let fault = self.attributed_fault(fault, started);
                Read::Decided(self.on_fault(fault))
            }
            other => Read::Decided(self.on_incomplete_wait(attempt, other)),
        }
    }

    /// Whether the stream may end here. One that ends with its connection before the first event was
    /// broken off.
    fn is_stream_complete(&self, attempt: &attempt::Attempt) -> bool {
        self.scanner.is_at_event_boundary() && (!attempt.is_unframed() || self.scanner.has_events())
    }

    fn scan_events(&mut self, attempt: attempt::Attempt, bytes: &[u8]) -> Read {
        match self.scanner.feed(bytes) {
            Ok(_) if self.scanner.is_event_too_large() => {
                Read::Decided(self.on_fault(event::Fault::InvalidResponse))
            }
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
