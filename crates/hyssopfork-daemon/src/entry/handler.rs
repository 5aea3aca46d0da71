//! The handler of one client request: carries out the core's commands and writes the response.

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

/// Parts of a response that are buffered for a slow client before reading from the agent pauses.
const MAX_BUFFERED_PARTS: usize = 16;

/// Interval at which the handler checks whether the server has taken the error event; also the time
/// that the server gets to write a part that it has taken.
const ERROR_EVENT_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Checks before a slow client is no longer waited for; 2 s in all.
const MAX_ERROR_EVENT_POLLS: u32 = 100;

/// Response header with the request's identifier.
const REQUEST_HEADER: &str = "hyssopfork-request";

type BodySender = mpsc::Sender<Result<Bytes, io::Error>>;

/// Handles a request and returns its response; a task on this thread writes the body.
///
/// When the client disconnects before the response, this future and the reply's receiver are
/// dropped, which the task detects.
pub async fn handle(
    request: u64,
    identifier: String,
    body: Bytes,
    mailbox: mailbox::Mailbox<role::Input>,
    commands: mpsc::UnboundedReceiver<role::Command>,
) -> http::Response {
    let (reply, response) = oneshot::channel();
    let handler = Handler {
        request,
        identifier: identifier.clone(),
        body,
        mailbox,
        reply: Some(reply),
        body_sender: None,
        attempts: HashMap::new(),
        forwarded: None,
        splitter: None,
    };
    actix_rt::spawn(handler.run(commands));
    match response.await {
        Ok(response) => response,
        Err(_) => http::text(StatusCode::INTERNAL_SERVER_ERROR, "the process is ending\n"),
    }
}

struct Handler {
    request: u64,
    identifier: String,
    body: Bytes,
    mailbox: mailbox::Mailbox<role::Input>,
    reply: Option<oneshot::Sender<http::Response>>,
    body_sender: Option<BodySender>,
    attempts: HashMap<wire_attempt::Identifier, mpsc::Receiver<attempt::Part>>,
    forwarded: Option<(wire_attempt::Identifier, mpsc::Receiver<attempt::Part>)>,
    splitter: Option<sse::Splitter>,
}

/// What the handler reacts to.
enum Input {
    Command(Option<role::Command>),
    Part(Option<attempt::Part>),
    ClientGone,
}

impl Handler {
    async fn run(mut self, mut commands: mpsc::UnboundedReceiver<role::Command>) {
        loop {
            let input = tokio::select! {
                biased;
                command = commands.recv() => Input::Command(command),
                part = next_part(&mut self.forwarded) => Input::Part(part),
                () = wait_for_client_gone(&mut self.reply, &self.body_sender) => Input::ClientGone,
            };
            let is_finished = match input {
                Input::Command(Some(command)) => self.on_command(command).await,
                Input::Command(None) => true,
                Input::Part(part) => self.on_part(part).await,
                Input::ClientGone => {
                    self.post(event::Event::ClientGone(self.request));
                    true
                }
            };
            if is_finished {
                self.mailbox.post(role::Input::RequestClosed(self.request));
                return;
            }
        }
    }

    fn post(&self, event: event::Event) {
        self.mailbox.post(role::Input::Event(event));
    }

    /// Carries out a command; returns whether the request is finished.
    async fn on_command(&mut self, command: role::Command) -> bool {
        match command {
            role::Command::StartAttempt { to, offer, collect } => {
                self.start_attempt(to, *offer, collect);
                false
            }
            role::Command::ForwardResponse(attempt) => {
                if let Some(parts) = self.attempts.remove(&attempt) {
                    self.forwarded = Some((attempt, parts));
                }
                false
            }
            role::Command::DropAttempt(attempt) => {
                self.attempts.remove(&attempt);
                if self.forwarded.as_ref().is_some_and(|(current, _)| *current == attempt) {
                    self.forwarded = None;
                }
                false
            }
            role::Command::Respond(head, body) => {
                self.respond(|identifier| complete_response(&head, body, identifier));
                true
            }
            role::Command::Reject(refusal) => {
                self.respond(|identifier| problem_response(&refusal, identifier));
                true
            }
            role::Command::Abort(refusal) => {
                self.abort(&refusal).await;
                true
            }
        }
    }

    fn start_attempt(
        &mut self,
        to: std::net::SocketAddr,
        offer: wire_attempt::Offer,
        collect: bool,
    ) {
        let (parts, receiver) = mpsc::channel(MAX_BUFFERED_PARTS);
        self.attempts.insert(offer.attempt, receiver);
        let attempt = attempt::Attempt {
            to,
            offer,
            body: self.body.clone(),
            collect,
            mailbox: self.mailbox.clone(),
            parts,
        };
        actix_rt::spawn(attempt.run());
    }

    fn respond(&mut self, build: impl FnOnce(&str) -> http::Response) {
        if let Some(reply) = self.reply.take() {
            let _client_gone = reply.send(build(&self.identifier));
        }
    }

    /// Forwards one part; returns whether the request is finished.
    async fn on_part(&mut self, part: Option<attempt::Part>) -> bool {
        let Some((attempt, _)) = self.forwarded else { return false };
        match part {
            Some(attempt::Part::Head(head)) => {
                self.start_response(&head);
                false
            }
            Some(attempt::Part::Data(data)) => {
                self.send_data(&data).await;
                false
            }
            Some(attempt::Part::End) => {
                self.complete(attempt);
                true
            }
            // The client already has the stream's end marker; a resumed stream would send another.
            Some(attempt::Part::Failed(_) | attempt::Part::Rejected(_)) if self.has_ended() => {
                self.complete(attempt);
                true
            }
            Some(attempt::Part::Failed(fault)) => {
                self.on_failed(attempt, fault);
                false
            }
            Some(attempt::Part::Rejected(refusal)) => {
                self.post(event::Event::EventsDelivered(attempt, self.delivered_events()));
                self.discard_partial_event();
                self.post(event::Event::AttemptRejected(attempt, refusal));
                false
            }
            None => {
                self.forwarded = None;
                false
            }
        }
    }

    fn complete(&mut self, attempt: wire_attempt::Identifier) {
        self.body_sender = None;
        self.post(event::Event::EventsDelivered(attempt, self.delivered_events()));
        self.post(event::Event::AttemptCompleted(attempt));
    }

    fn has_ended(&self) -> bool {
        self.splitter.as_ref().is_some_and(|splitter| splitter.has_ended())
    }

    /// Number of events that were sent to the client in full.
    fn delivered_events(&self) -> u64 {
        self.splitter.as_ref().map_or(0, |splitter| splitter.delivered_events())
    }

    /// Stops forwarding after a failure. A partially received event is dropped, since the resumed
    /// stream sends it again.
    fn discard_partial_event(&mut self) {
        self.forwarded = None;
        if let Some(splitter) = &mut self.splitter {
            splitter.discard_partial();
        }
    }

    fn on_failed(&mut self, attempt: wire_attempt::Identifier, fault: event::Fault) {
        let delivered = self.delivered_events();
        self.discard_partial_event();
        self.post(event::Event::AttemptFailed { attempt, fault, delivered });
    }

    /// Starts the response; a resumed stream continues the response that was started before.
    fn start_response(&mut self, head: &frame::Head) {
        if self.body_sender.is_some() {
            return;
        }
        let (body_sender, parts) = mpsc::channel(MAX_BUFFERED_PARTS);
        self.body_sender = Some(body_sender);
        if is_event_stream(head) {
            self.splitter = Some(sse::Splitter::default());
        }
        self.respond(|identifier| {
            let body = stream::unfold(parts, |mut parts: mpsc::Receiver<_>| async move {
                parts.recv().await.map(|part| (part, parts))
            });
            response_builder(head, identifier)
                .body(BodyStream::new(Box::pin(body)))
                .map_into_boxed_body()
        });
    }

    /// Sends bytes to the client; of an event stream only complete events, so that the rest can be
    /// resumed on another upstream.
    async fn send_data(&mut self, data: &Bytes) {
        let complete = match &mut self.splitter {
            Some(splitter) => splitter.feed(data),
            None => data.clone(),
        };
        if let (Some(body_sender), false) = (&self.body_sender, complete.is_empty()) {
            let _client_gone = body_sender.send(Ok(complete)).await;
        }
    }

    /// Ends an event stream with an error event and then breaks the connection: a clean end would
    /// make the partial response look complete.
    async fn abort(&mut self, refusal: &refusal::Refusal) {
        let Some(body_sender) = self.body_sender.take() else {
            self.respond(|identifier| problem_response(refusal, identifier));
            return;
        };
        if self.splitter.is_some() {
            let document = problem::describe(refusal, &self.identifier);
            let json = serde_json::to_string(&document).expect("documents are plain data");
            let event = format!("event: error\ndata: {json}\n\n");
            let _client_gone = body_sender.send(Ok(Bytes::from(event))).await;
            wait_until_sent(&body_sender).await;
        }
        let _client_gone =
            body_sender.send(Err(io::Error::other("the response was aborted"))).await;
    }
}

/// Waits until the server has taken all parts and had time to write them.
///
/// The server drops unwritten parts when a body ends in an error: without the wait the error event
/// would be lost with the connection. A client that doesn't read is not waited for longer than 2 s.
async fn wait_until_sent(body_sender: &BodySender) {
    for _ in 0..MAX_ERROR_EVENT_POLLS {
        actix_rt::time::sleep(ERROR_EVENT_POLL_INTERVAL).await;
        if body_sender.capacity() == MAX_BUFFERED_PARTS || body_sender.is_closed() {
            return;
        }
    }
}

async fn next_part(
    forwarded: &mut Option<(wire_attempt::Identifier, mpsc::Receiver<attempt::Part>)>,
) -> Option<attempt::Part> {
    match forwarded {
        Some((_, parts)) => parts.recv().await,
        None => std::future::pending().await,
    }
}

/// Resolves when the client has disconnected: the receiver of the response is dropped before the
/// response is sent, the receiver of its body afterwards.
async fn wait_for_client_gone(
    reply: &mut Option<oneshot::Sender<http::Response>>,
    body_sender: &Option<BodySender>,
) {
    match (reply, body_sender) {
        (Some(reply), _) => reply.closed().await,
        (None, Some(body_sender)) => body_sender.closed().await,
        (None, None) => std::future::pending().await,
    }
}

fn response_builder(head: &frame::Head, identifier: &str) -> actix_http::ResponseBuilder {
    let status = StatusCode::from_u16(head.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = Response::build(status);
    for (name, value) in &head.headers {
        response.append_header((name.as_str(), value.as_str()));
    }
    response.insert_header((REQUEST_HEADER, identifier.to_owned()));
    response
}

fn complete_response(head: &frame::Head, body: Bytes, identifier: &str) -> http::Response {
    response_builder(head, identifier).body(body).map_into_boxed_body()
}

fn problem_response(refusal: &refusal::Refusal, identifier: &str) -> http::Response {
    let document = problem::describe(refusal, identifier);
    let mut response = http::json(problem::status(refusal), problem::CONTENT_TYPE, &document);
    if let Some(seconds) = problem::retry_after_seconds(refusal) {
        let value = actix_http::header::HeaderValue::from(seconds);
        response.headers_mut().insert(actix_http::header::RETRY_AFTER, value);
    }
    response
}

fn is_event_stream(head: &frame::Head) -> bool {
    let is_type = |(name, value): &(String, String)| {
        name == "content-type" && value.starts_with("text/event-stream")
    };
    head.headers.iter().any(is_type)
}
