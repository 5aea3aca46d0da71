//! The conversation with one caller: carries out what the core wants done about its request.

use crate::entry::{attempt, role};
use crate::{http, mailbox, problem};
use actix_http::body::BodyStream;
use actix_http::{Response, StatusCode};
use bytes::Bytes;
use futures::stream;
use hyssopfork_entry::{event, sse};
use hyssopfork_wire::{attempt as wire_attempt, frame, refusal};
use std::collections::HashMap;
use std::io;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};

/// Parts of an answer that wait for a slow caller; then the reading from the agent waits too.
const PARTS_LIMIT: usize = 16;

/// Time in which the server writes a part that it has taken.
const MARK_WAIT: Duration = Duration::from_millis(20);

/// Waits for a slow caller to take its last parts; 2 s in all.
const MARK_WAITS: u32 = 100;

/// Header that carries the request's identifier to the caller.
const REQUEST_HEADER: &str = "hyssopfork-request";

type Outlet = mpsc::Sender<Result<Bytes, io::Error>>;

/// Holds the conversation and gives the response; what comes after the response's head goes on in
/// a task of this thread.
///
/// When the caller goes away before the response, this future is dropped, the reply's receiver
/// with it, and the task notices.
pub async fn hold(
    request: u64,
    identifier: String,
    body: Bytes,
    mailbox: mailbox::Mailbox<role::Input>,
    commands: mpsc::UnboundedReceiver<role::Command>,
) -> http::Answer {
    let (reply, answered) = oneshot::channel();
    let conversation = Conversation {
        request,
        identifier: identifier.clone(),
        body,
        mailbox,
        reply: Some(reply),
        outlet: None,
        attempts: HashMap::new(),
        forwarded: None,
        splitter: None,
    };
    actix_rt::spawn(conversation.run(commands));
    match answered.await {
        Ok(answer) => answer,
        Err(_) => http::text(StatusCode::INTERNAL_SERVER_ERROR, "the process is ending\n"),
    }
}

struct Conversation {
    request: u64,
    identifier: String,
    body: Bytes,
    mailbox: mailbox::Mailbox<role::Input>,
    reply: Option<oneshot::Sender<http::Answer>>,
    outlet: Option<Outlet>,
    attempts: HashMap<wire_attempt::Identifier, mpsc::Receiver<attempt::Part>>,
    forwarded: Option<(wire_attempt::Identifier, mpsc::Receiver<attempt::Part>)>,
    splitter: Option<sse::Splitter>,
}

/// What the conversation has just seen.
enum Seen {
    Command(Option<role::Command>),
    Part(Option<attempt::Part>),
    Gone,
}

impl Conversation {
    async fn run(mut self, mut commands: mpsc::UnboundedReceiver<role::Command>) {
        loop {
            let seen = tokio::select! {
                biased;
                command = commands.recv() => Seen::Command(command),
                part = next(&mut self.forwarded) => Seen::Part(part),
                () = gone(&mut self.reply, &self.outlet) => Seen::Gone,
            };
            let over = match seen {
                Seen::Command(Some(command)) => self.obey(command).await,
                Seen::Command(None) => true,
                Seen::Part(part) => self.forward(part).await,
                Seen::Gone => {
                    self.post(event::Event::ClientGone(self.request));
                    true
                }
            };
            if over {
                self.mailbox.post(role::Input::Closed(self.request));
                return;
            }
        }
    }

    fn post(&self, event: event::Event) {
        self.mailbox.post(role::Input::Event(event));
    }

    /// Carries out a command; whether the conversation is over.
    async fn obey(&mut self, command: role::Command) -> bool {
        match command {
            role::Command::Start { to, offer, collect } => {
                self.start(to, *offer, collect);
                false
            }
            role::Command::Forward(attempt) => {
                if let Some(parts) = self.attempts.remove(&attempt) {
                    self.forwarded = Some((attempt, parts));
                }
                false
            }
            role::Command::Drop(attempt) => {
                self.attempts.remove(&attempt);
                if self.forwarded.as_ref().is_some_and(|(current, _)| *current == attempt) {
                    self.forwarded = None;
                }
                false
            }
            role::Command::Answer(head, body) => {
                self.respond(|identifier| answer(&head, body, identifier));
                true
            }
            role::Command::Refuse(refusal) => {
                self.respond(|identifier| refuse(&refusal, identifier));
                true
            }
            role::Command::Cut(refusal) => {
                self.cut(&refusal).await;
                true
            }
        }
    }

    fn start(&mut self, to: std::net::SocketAddr, offer: wire_attempt::Offer, collect: bool) {
        let (parts, receiver) = mpsc::channel(PARTS_LIMIT);
        self.attempts.insert(offer.attempt, receiver);
        let work = attempt::Work {
            to,
            offer,
            body: self.body.clone(),
            collect,
            mailbox: self.mailbox.clone(),
            parts,
        };
        actix_rt::spawn(work.run());
    }

    fn respond(&mut self, build: impl FnOnce(&str) -> http::Answer) {
        if let Some(reply) = self.reply.take() {
            let _caller_gone = reply.send(build(&self.identifier));
        }
    }

    /// Forwards one part; whether the conversation is over.
    async fn forward(&mut self, part: Option<attempt::Part>) -> bool {
        let Some((attempt, _)) = self.forwarded else { return false };
        match part {
            Some(attempt::Part::Head(head)) => {
                self.open(&head);
                false
            }
            Some(attempt::Part::Data(data)) => {
                self.push(&data).await;
                false
            }
            Some(attempt::Part::End) => {
                self.end(attempt);
                true
            }
            // The caller has the stream's end mark; resumed elsewhere, it would get another.
            Some(attempt::Part::Failed(_) | attempt::Part::Refused(_)) if self.has_ended() => {
                self.end(attempt);
                true
            }
            Some(attempt::Part::Failed(fault)) => {
                self.fail(attempt, fault);
                false
            }
            Some(attempt::Part::Refused(refusal)) => {
                self.post(event::Event::EventsDelivered(attempt, self.delivered()));
                self.part_lost();
                self.post(event::Event::AttemptRejected(attempt, refusal));
                false
            }
            None => {
                self.forwarded = None;
                false
            }
        }
    }

    fn end(&mut self, attempt: wire_attempt::Identifier) {
        self.outlet = None;
        self.post(event::Event::EventsDelivered(attempt, self.delivered()));
        self.post(event::Event::AttemptCompleted(attempt));
    }

    fn has_ended(&self) -> bool {
        self.splitter.as_ref().is_some_and(|splitter| splitter.has_ended())
    }

    /// Events of the stream that the caller has whole.
    fn delivered(&self) -> u64 {
        self.splitter.as_ref().map_or(0, |splitter| splitter.delivered_events())
    }

    /// The forwarded answer ended early: an event of which only a part came is dropped, since the
    /// resumed stream brings it anew.
    fn part_lost(&mut self) {
        self.forwarded = None;
        if let Some(splitter) = &mut self.splitter {
            splitter.discard_partial();
        }
    }

    fn fail(&mut self, attempt: wire_attempt::Identifier, fault: event::Fault) {
        let delivered = self.delivered();
        self.part_lost();
        self.post(event::Event::AttemptFailed { attempt, fault, delivered });
    }

    /// Begins the response; a resumed stream goes on in the response that was begun before.
    fn open(&mut self, head: &frame::Head) {
        if self.outlet.is_some() {
            return;
        }
        let (outlet, parts) = mpsc::channel(PARTS_LIMIT);
        self.outlet = Some(outlet);
        if is_event_stream(head) {
            self.splitter = Some(sse::Splitter::default());
        }
        self.respond(|identifier| {
            let body = stream::unfold(parts, |mut parts: mpsc::Receiver<_>| async move {
                parts.recv().await.map(|part| (part, parts))
            });
            build(head, identifier).body(BodyStream::new(Box::pin(body))).map_into_boxed_body()
        });
    }

    /// Hands bytes to the caller; of a stream of events only whole ones, so that the rest can be
    /// resumed on another upstream.
    async fn push(&mut self, data: &Bytes) {
        let whole = match &mut self.splitter {
            Some(splitter) => splitter.feed(data),
            None => data.clone(),
        };
        if let (Some(outlet), false) = (&self.outlet, whole.is_empty()) {
            let _caller_gone = outlet.send(Ok(whole)).await;
        }
    }

    /// A stream of events ends in an error event; then the connection breaks, in place of a clean
    /// end that would make a part look whole.
    async fn cut(&mut self, refusal: &refusal::Refusal) {
        let Some(outlet) = self.outlet.take() else {
            self.respond(|identifier| refuse(refusal, identifier));
            return;
        };
        if self.splitter.is_some() {
            let document = problem::describe(refusal, &self.identifier);
            let json = serde_json::to_string(&document).expect("documents are plain data");
            let event = format!("event: error\ndata: {json}\n\n");
            let _caller_gone = outlet.send(Ok(Bytes::from(event))).await;
            taken(&outlet).await;
        }
        let _caller_gone = outlet.send(Err(io::Error::other("the answer was cut"))).await;
    }
}

/// Waits until the server has taken all parts and had time to write them.
///
/// It drops what it has not written when a body breaks off: without the wait the mark would be lost
/// with the connection and the caller told nothing. A caller that reads nothing is not waited for.
async fn taken(outlet: &Outlet) {
    for _ in 0..MARK_WAITS {
        actix_rt::time::sleep(MARK_WAIT).await;
        if outlet.capacity() == PARTS_LIMIT || outlet.is_closed() {
            return;
        }
    }
}

async fn next(
    forwarded: &mut Option<(wire_attempt::Identifier, mpsc::Receiver<attempt::Part>)>,
) -> Option<attempt::Part> {
    match forwarded {
        Some((_, parts)) => parts.recv().await,
        None => std::future::pending().await,
    }
}

/// Resolves when the caller has gone away: before the response its receiver is dropped, after it
/// the body's.
async fn gone(reply: &mut Option<oneshot::Sender<http::Answer>>, outlet: &Option<Outlet>) {
    match (reply, outlet) {
        (Some(reply), _) => reply.closed().await,
        (None, Some(outlet)) => outlet.closed().await,
        (None, None) => std::future::pending().await,
    }
}

fn build(head: &frame::Head, identifier: &str) -> actix_http::ResponseBuilder {
    let status = StatusCode::from_u16(head.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = Response::build(status);
    for (name, value) in &head.headers {
        response.append_header((name.as_str(), value.as_str()));
    }
    response.insert_header((REQUEST_HEADER, identifier.to_owned()));
    response
}

fn answer(head: &frame::Head, body: Bytes, identifier: &str) -> http::Answer {
    build(head, identifier).body(body).map_into_boxed_body()
}

fn refuse(refusal: &refusal::Refusal, identifier: &str) -> http::Answer {
    let document = problem::describe(refusal, identifier);
    let mut answer = http::json(problem::status(refusal), problem::CONTENT_TYPE, &document);
    if let Some(seconds) = problem::retry_after_seconds(refusal) {
        let value = actix_http::header::HeaderValue::from(seconds);
        answer.headers_mut().insert(actix_http::header::RETRY_AFTER, value);
    }
    answer
}

fn is_event_stream(head: &frame::Head) -> bool {
    let is_type = |(name, value): &(String, String)| {
        name == "content-type" && value.starts_with("text/event-stream")
    };
    head.headers.iter().any(is_type)
}
