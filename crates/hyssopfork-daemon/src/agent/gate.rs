//! The HTTP server on which entries offer, take up and cancel attempts.

use crate::agent::{answer, role, upstream};
use crate::{http, mailbox};
use actix_http::body::BodyStream;
use actix_http::{HttpMessage, Method, Request, Response, StatusCode};
use hyssopfork_wire::attempt;
use std::net;
use std::sync::Arc;
use tokio::sync::oneshot;

/// Header that carries the offer as JSON.
pub const OFFER_HEADER: &str = "hyssopfork-offer";

/// Longest request body that an agent takes, in bytes; entries have their own, lower limit.
const BODY_LIMIT: usize = 64 << 20;

/// Where the gate's requests go.
#[derive(Clone, Debug)]
pub struct Gate {
    /// The agent's loop.
    pub mailbox: mailbox::Mailbox<role::Input>,
    /// The back end.
    pub upstream: net::SocketAddr,
}

impl Gate {
    /// Answers one request of an entry.
    pub async fn handle(self, request: Request) -> http::Answer {
        let Some(attempt) = attempt_of(request.path()) else {
            return http::text(StatusCode::NOT_FOUND, "ask for /attempts/IDENTIFIER\n");
        };
        match *request.method() {
            Method::POST => self.offer(request, attempt).await,
            Method::GET => self.take_up(&request, attempt).await,
            Method::DELETE => self.cancel(&request, attempt).await,
            _ => http::text(StatusCode::METHOD_NOT_ALLOWED, "use POST, GET or DELETE\n"),
        }
    }

    async fn offer(self, mut request: Request, attempt: attempt::Identifier) -> http::Answer {
        let offer = match offer_of(&request) {
            Some(offer) if offer.attempt == attempt => offer,
            _ => return http::text(StatusCode::BAD_REQUEST, "the offer header is malformed\n"),
        };
        let body = match http::read_body(&mut request, BODY_LIMIT).await {
            Ok(body) => body,
            Err(error) => return http::text(StatusCode::BAD_REQUEST, error.to_string()),
        };
        let (reply, offered) = oneshot::channel();
        self.mailbox.post(role::Input::Offer(Box::new(offer.clone()), reply));
        match offered.await {
            Ok(role::Offered::Known(answer)) => stream(answer, 0),
            Ok(role::Offered::New(answer, orders)) => {
                let work = upstream::Work {
                    offer,
                    body,
                    answer: answer.clone(),
                    mailbox: self.mailbox,
                    upstream: self.upstream,
                };
                actix_rt::spawn(work.run(orders));
                stream(answer, 0)
            }
            Err(_) => leaving(),
        }
    }

    async fn take_up(self, request: &Request, attempt: attempt::Identifier) -> http::Answer {
        let Some(offset) = parameter(request, "from") else {
            return http::text(StatusCode::BAD_REQUEST, "say from which byte: ?from=BYTES\n");
        };
        let (reply, known) = oneshot::channel();
        self.mailbox.post(role::Input::TakeUp(attempt, reply));
        match known.await {
            Ok(Some(answer)) => stream(answer, offset as usize),
            Ok(None) => http::text(StatusCode::NOT_FOUND, "no such attempt is known here\n"),
            Err(_) => leaving(),
        }
    }

    async fn cancel(self, request: &Request, attempt: attempt::Identifier) -> http::Answer {
        let Some(boot) = parameter(request, "boot") else {
            return http::text(StatusCode::BAD_REQUEST, "say which process: ?boot=NUMBER\n");
        };
        let (reply, outcome) = oneshot::channel();
        self.mailbox.post(role::Input::Cancel { attempt, boot, reply });
        match outcome.await {
            Ok(outcome) => http::json(StatusCode::OK, "application/json", &outcome),
            Err(_) => leaving(),
        }
    }
}

fn leaving() -> http::Answer {
    http::text(StatusCode::SERVICE_UNAVAILABLE, "the process is ending\n")
}

fn attempt_of(path: &str) -> Option<attempt::Identifier> {
    path.strip_prefix("/attempts/")?.parse().ok()
}

fn offer_of(request: &Request) -> Option<attempt::Offer> {
    let header = request.headers().get(OFFER_HEADER)?;
    serde_json::from_slice(header.as_bytes()).ok()
}

fn parameter(request: &Request, name: &str) -> Option<u64> {
    let query = request.uri().query()?;
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name)?.1.parse().ok()
}

fn stream(answer: Arc<answer::Answer>, offset: usize) -> http::Answer {
    Response::build(StatusCode::OK)
        .insert_header(("content-type", "application/octet-stream"))
        .body(BodyStream::new(answer::read(answer, offset)))
        .map_into_boxed_body()
}
