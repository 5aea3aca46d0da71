//! The HTTP server on which entries offer, resume and cancel attempts.

use crate::agent::{response, role, upstream};
use crate::{http, mailbox};
use actix_http::body::BodyStream;
use actix_http::{HttpMessage, Method, Request, Response, StatusCode};
use hyssopfork_wire::attempt;
use std::net;
use std::sync::Arc;
use tokio::sync::oneshot;

/// Header that carries the offer as JSON.
pub const OFFER_HEADER: &str = "hyssopfork-offer";

/// Longest request body that an agent accepts; entries have their own, lower limit.
const MAX_BODY_BYTES: usize = 64 << 20;

/// Handles entries' requests.
#[derive(Clone, Debug)]
pub struct Server {
    /// The agent's event loop.
    pub mailbox: mailbox::Mailbox<role::Input>,
    /// The upstream's address.
    pub upstream: net::SocketAddr,
}

impl Server {
    /// Responds to one request of an entry.
    pub async fn handle(self, request: Request) -> http::Response {
        let Some(attempt) = parse_attempt(request.path()) else {
            return http::text(StatusCode::NOT_FOUND, "ask for /attempts/IDENTIFIER\n");
        };
        match *request.method() {
            Method::POST => self.offer(request, attempt).await,
            Method::GET => self.resume(&request, attempt).await,
            Method::DELETE => self.cancel(&request, attempt).await,
            _ => http::text(StatusCode::METHOD_NOT_ALLOWED, "use POST, GET or DELETE\n"),
        }
    }

    async fn offer(self, mut request: Request, attempt: attempt::Identifier) -> http::Response {
        let offer = match parse_offer(&request) {
            Some(offer) if offer.attempt == attempt => offer,
            _ => return http::text(StatusCode::BAD_REQUEST, "the offer header is malformed\n"),
        };
        let body = match http::read_body(&mut request, MAX_BODY_BYTES).await {
            Ok(body) => body,
            Err(error) => return http::text(StatusCode::BAD_REQUEST, error.to_string()),
        };
        let (reply, registered) = oneshot::channel();
        self.mailbox.post(role::Input::Offer(Box::new(offer.clone()), reply));
        match registered.await {
            Ok(role::Registration::Known(response)) => stream_response(response, 0),
            Ok(role::Registration::New(response, commands)) => {
                let exchange = upstream::Exchange {
                    offer,
                    body,
                    response: response.clone(),
                    mailbox: self.mailbox,
                    upstream: self.upstream,
                };
                actix_rt::spawn(exchange.run(commands));
                stream_response(response, 0)
            }
            Err(_) => stopping_response(),
        }
    }

    async fn resume(self, request: &Request, attempt: attempt::Identifier) -> http::Response {
        let Some(offset) = query_parameter(request, "from") else {
            return http::text(StatusCode::BAD_REQUEST, "say from which byte: ?from=BYTES\n");
        };
        let (reply, known) = oneshot::channel();
        self.mailbox.post(role::Input::Resume(attempt, reply));
        match known.await {
            Ok(Some(response)) => stream_response(response, offset as usize),
            Ok(None) => http::text(StatusCode::NOT_FOUND, "no such attempt is known here\n"),
            Err(_) => stopping_response(),
        }
    }

    async fn cancel(self, request: &Request, attempt: attempt::Identifier) -> http::Response {
        let Some(boot) = query_parameter(request, "boot") else {
            return http::text(StatusCode::BAD_REQUEST, "say which process: ?boot=NUMBER\n");
        };
        let (reply, outcome) = oneshot::channel();
        self.mailbox.post(role::Input::Cancel { attempt, boot, reply });
        match outcome.await {
            Ok(outcome) => http::json(StatusCode::OK, "application/json", &outcome),
            Err(_) => stopping_response(),
        }
    }
}

fn stopping_response() -> http::Response {
    http::text(StatusCode::SERVICE_UNAVAILABLE, "the process is ending\n")
}

fn parse_attempt(path: &str) -> Option<attempt::Identifier> {
    path.strip_prefix("/attempts/")?.parse().ok()
}

fn parse_offer(request: &Request) -> Option<attempt::Offer> {
    let header = request.headers().get(OFFER_HEADER)?;
    serde_json::from_slice(header.as_bytes()).ok()
}

fn query_parameter(request: &Request, name: &str) -> Option<u64> {
    let query = request.uri().query()?;
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name)?.1.parse().ok()
}

fn stream_response(response: Arc<response::Response>, offset: usize) -> http::Response {
    Response::build(StatusCode::OK)
        .insert_header(("content-type", "application/octet-stream"))
        .body(BodyStream::new(response::stream_frames(response, offset)))
        .map_into_boxed_body()
}
