//! The conversation with one caller: carries out what the core decides about its request.

use crate::clock;
use crate::edge::{attempt, traffic, web};
use bytes::{Bytes, BytesMut};
use futures::stream;
use hyssopfork_gateway::{action, event, scanner};
use hyssopfork_platform::{client, headers, reply};
use hyssopfork_wire::clock as wire_clock;
use std::rc::Rc;
use std::time::Duration;
use tokio::time;

/// Holds the conversation up to the answer's head; a stream's events follow in its body.
pub async fn hold(traffic: Rc<traffic::Traffic>, incoming: web::Incoming) -> web::Outgoing {
    let head = incoming.request.head();
    let arrival = client::parse_request(head, incoming.body.clone());
    let outbound = attempt::Outbound {
        method: head.method.as_str().to_owned(),
        path: head.uri.path_and_query().map_or("/", |path| path.as_str()).to_owned(),
        headers: headers::forwarded_request_headers(&head.headers),
        body: incoming.body,
        identifier: arrival.identifier.clone(),
    };
    let conversation = Conversation {
        number: traffic.number(),
        traffic,
        outbound,
        scanner: scanner::Scanner::new(arrival.last_event),
        attempt: None,
        status: 0,
        head: Vec::new(),
        body: BytesMut::new(),
        quiet: Duration::ZERO,
        limit: wire_clock::Instant::ORIGIN,
        over: false,
    };
    conversation.open(arrival).await
}

struct Conversation {
    traffic: Rc<traffic::Traffic>,
    number: u64,
    outbound: attempt::Outbound,
    scanner: scanner::Scanner,
    attempt: Option<attempt::Attempt>,
    /// Status code of the answer.
    status: u16,
    /// Headers of the answer that travel.
    head: Vec<(String, String)>,
    /// Body of a whole answer, as far as it has come.
    body: BytesMut,
    /// Silence after which to ask what to do.
    quiet: Duration,
    /// When the request's time is over.
    limit: wire_clock::Instant,
    /// Whether the core has ended the request.
    over: bool,
}

/// What a wait for the upstream came to.
enum Waited<T> {
    /// What was waited for.
    Came(Result<T, event::Fault>),
    /// Nothing came for [`Conversation::quiet`].
    Quiet,
    /// The request's time is over.
    Expired,
}

impl Drop for Conversation {
    /// The caller went away: the attempt's connection closes with this, which cancels its work.
    fn drop(&mut self) {
        if !self.over {
            self.traffic.step(event::Event::ClientDisconnected(self.number));
        }
    }
}

impl Conversation {
    async fn open(mut self, arrival: hyssopfork_gateway::arrival::Arrival) -> web::Outgoing {
        let mut decision = self.step(event::Event::Arrived(self.number, Box::new(arrival)));
        loop {
            match decision {
                action::Decision::Start(start) => decision = self.begin(&start).await,
                action::Decision::Wait(quiet) => {
                    self.quiet = quiet;
                    decision = self.receive().await;
                }
                action::Decision::Queue(patience) => decision = self.hold(patience).await,
                action::Decision::ForwardResponse => return self.deliver(),
                action::Decision::ForwardStream => return self.forward(),
                action::Decision::Reject(refusal) => return self.refuse(&refusal),
                action::Decision::Abort => {
                    let reason = action::Reason::Failed;
                    return self.refuse(&action::Rejection { reason, retry_after: None });
                }
            }
        }
    }

    /// Hands an event to the core; a request that it forgot has failed.
    fn step(&mut self, event: event::Event) -> action::Decision {
        let decision = self.traffic.step(event).unwrap_or(action::Decision::Abort);
        self.over = matches!(
            decision,
            action::Decision::ForwardResponse
                | action::Decision::Reject(_)
                | action::Decision::Abort
        );
        decision
    }

    /// Waits until the core decides about this request in the course of another's event.
    async fn hold(&mut self, patience: Duration) -> action::Decision {
        let mut decided = self.traffic.held(self.number);
        match time::timeout(patience, &mut decided).await {
            Ok(Ok(decision)) => decision,
            // It may have been decided in the moment in which the time ended.
            Ok(Err(_)) | Err(_) => match decided.try_recv() {
                Ok(decision) => decision,
                Err(_) => self.step(event::Event::QueueTimeout(self.number)),
            },
        }
    }

    /// Makes an attempt and waits for its answer; an earlier attempt's connection closes.
    async fn begin(&mut self, start: &action::Start) -> action::Decision {
        self.attempt = None;
        self.body.clear();
        self.scanner.discard_partial();
        self.quiet = start.idle_timeout;
        self.limit = start.deadline;
        let left = clock::now().until(self.limit);
        let sent = attempt::Attempt::send(&self.outbound, start, left, &self.traffic.idle).await;
        match sent {
            Ok(attempt) => self.attempt = Some(attempt),
            Err(fault) => return self.fail(fault),
        }
        self.receive().await
    }

    /// Waits for the answer's head, and for the rest where it isn't a stream.
    async fn receive(&mut self) -> action::Decision {
        let Some(mut attempt) = self.attempt.take() else {
            return self.fail(event::Fault::ConnectionLost);
        };
        if attempt.answer().status == 0 {
            match self.wait(attempt.head()).await {
                Waited::Came(Ok(head)) => self.head = attempt::travelling(head),
                other => return self.pause(attempt, other),
            }
            if let Some(fault) = attempt.answer().fault(&self.outbound.identifier) {
                let load = attempt.answer().load;
                return self.step(event::Event::AttemptFailed(self.number, fault, load));
            }
        }
        let answer = attempt.answer();
        let head = answer.head();
        self.status = head.status;
        if answer.is_event_stream && head.status == 200 {
            self.attempt = Some(attempt);
            return self.step(event::Event::HeadReceived(self.number, head));
        }
        let mut body = std::mem::take(&mut self.body);
        let waited = self.wait(attempt.rest(&mut body)).await;
        self.body = body;
        match waited {
            Waited::Came(Ok(())) => {
                let decision = self.step(event::Event::ResponseReceived(self.number, head));
                attempt.keep(&self.traffic.idle);
                decision
            }
            other => self.pause(attempt, other),
        }
    }

    /// Waits for `work` until it is quiet for too long or the request's time is over.
    async fn wait<T>(&self, work: impl Future<Output = Result<T, event::Fault>>) -> Waited<T> {
        let left = clock::now().until(self.limit);
        if left.is_zero() {
            return Waited::Expired;
        }
        match time::timeout(left.min(self.quiet), work).await {
            Ok(came) => Waited::Came(came),
            Err(_) if left <= self.quiet => Waited::Expired,
            Err(_) => Waited::Quiet,
        }
    }

    /// Asks the core about a wait that came to nothing; the attempt stays if it is to be waited for.
    fn pause<T>(&mut self, attempt: attempt::Attempt, waited: Waited<T>) -> action::Decision {
        let decision = match waited {
            Waited::Quiet => self.step(event::Event::IdleTimeout(self.number)),
            Waited::Expired => self.step(event::Event::DeadlineExceeded(self.number)),
            Waited::Came(Err(fault)) => return self.fail(fault),
            Waited::Came(Ok(_)) => return self.fail(event::Fault::InvalidResponse),
        };
        if matches!(decision, action::Decision::Wait(_)) {
            self.attempt = Some(attempt);
        }
        decision
    }

    fn fail(&mut self, fault: event::Fault) -> action::Decision {
        self.step(event::Event::AttemptFailed(self.number, fault, None))
    }

    fn deliver(&mut self) -> web::Outgoing {
        let body = std::mem::take(&mut self.body).freeze();
        web::Outgoing::whole(self.status, std::mem::take(&mut self.head), body)
    }

    fn refuse(&self, refusal: &action::Rejection) -> web::Outgoing {
        let reply = reply::rejection_reply(refusal);
        let headers = reply.headers.into_iter().map(|(name, value)| (name.to_owned(), value));
        web::Outgoing::whole(reply.status, headers.collect(), reply.body)
    }

    fn forward(mut self) -> web::Outgoing {
        let headers = std::mem::take(&mut self.head);
        let parts = stream::unfold(self, |mut conversation| async move {
            let part = conversation.next().await?;
            Some((part, conversation))
        });
        web::Outgoing { status: 200, headers, body: web::Body::Parts(Box::pin(parts)) }
    }

    /// The next events of the stream; `None` when all have gone out.
    async fn next(&mut self) -> Option<Result<Bytes, web::Broken>> {
        if self.over {
            return None;
        }
        loop {
            let decision = match self.pull().await {
                // A part without bytes would read as the end of the answer.
                Pulled::Events(events) if events.is_empty() => continue,
                Pulled::Events(events) => return Some(Ok(events)),
                Pulled::End => return None,
                Pulled::Decided(decision) => decision,
            };
            let mut decision = decision;
            while let action::Decision::Start(start) = &decision {
                let start = start.clone();
                decision = self.begin(&start).await;
            }
            match decision {
                action::Decision::Wait(quiet) => self.quiet = quiet,
                action::Decision::ForwardStream => {}
                _ => return Some(Err(web::Broken)),
            }
        }
    }

    async fn pull(&mut self) -> Pulled {
        let Some(mut attempt) = self.attempt.take() else {
            return Pulled::Decided(self.fail(event::Fault::ConnectionLost));
        };
        if attempt.answer().status == 0 {
            self.attempt = Some(attempt);
            return Pulled::Decided(self.receive().await);
        }
        match self.wait(attempt.part()).await {
            Waited::Came(Ok(Some(bytes))) => self.scan(attempt, &bytes),
            Waited::Came(Ok(None)) if self.scanner.is_at_event_boundary() => {
                self.traffic.step(event::Event::StreamCompleted(self.number));
                self.over = true;
                attempt.keep(&self.traffic.idle);
                Pulled::End
            }
            Waited::Came(Ok(None)) => Pulled::Decided(self.fail(event::Fault::ConnectionLost)),
            other => Pulled::Decided(self.pause(attempt, other)),
        }
    }

    fn scan(&mut self, attempt: attempt::Attempt, bytes: &[u8]) -> Pulled {
        match self.scanner.feed(bytes) {
            Ok(events) => {
                self.attempt = Some(attempt);
                self.quiet = hyssopfork_gateway::target::SUSPECT_TIMEOUT;
                let last = self.scanner.last_event();
                self.traffic.step(event::Event::EventsReceived(self.number, last));
                Pulled::Events(events)
            }
            Err(scanner::OutOfOrder { .. }) => {
                Pulled::Decided(self.fail(event::Fault::InvalidResponse))
            }
        }
    }
}

/// What pulling at a stream came to.
enum Pulled {
    /// Whole events; none when only the beginning of one came.
    Events(Bytes),
    /// The end, after the last event.
    End,
    /// The core decided something else.
    Decided(action::Decision),
}
