//! HTTP endpoints for operators and upstreams, for metrics and for the load balancer's readiness
//! check.

use crate::edge::{control, http_server, traffic};
use crate::{log, mailbox, notice};
use actix_http::StatusCode;
use bytes::Bytes;
use hyssopfork_fleet::{action, declaration, document, event, peer};
use hyssopfork_platform::{operator, registration, reply};
use hyssopfork_telemetry::metrics;
use hyssopfork_wire::name;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::sync::oneshot;

/// Endpoints of the control address.
#[derive(Clone)]
pub struct Control {
    /// Mailbox of the control role.
    pub mailbox: mailbox::Mailbox<control::Input>,
    /// Port of the control address, the same on every instance.
    pub port: u16,
}

impl Control {
    /// Handles a request.
    pub async fn handle(self, http_request: http_server::Request) -> http_server::Response {
        let path = http_request.head.path().to_owned();
        let method = http_request.head.method().as_str().to_owned();
        let reply = match operator::parse_request(&method, &path) {
            Some(call) => match convert_request(call, &http_request.body) {
                Ok(request) => self.execute(request, &path).await,
                Err(why) => {
                    log::notice(&notice::Notice::CallRefused(
                        format!("{method} {path}"),
                        why.clone(),
                    ));
                    reply::error_reply(StatusCode::BAD_REQUEST.as_u16(), &why)
                }
            },
            None => reply::error_reply(StatusCode::NOT_FOUND.as_u16(), "nothing is offered here"),
        };
        into_response(reply)
    }

    async fn execute(&self, request: event::Request, path: &str) -> reply::Reply {
        let (sender, receiver) = oneshot::channel();
        self.mailbox.post(control::Input::Call(Box::new(request), sender));
        let reply = receiver.await.ok();
        reply
            .and_then(|reply: action::Reply| reply::control_reply(reply, path, self.port))
            .unwrap_or_else(|| reply::unavailable_reply("the process is ending; ask elsewhere"))
    }
}

/// Converts a call into a request of the control role; the error says what is wrong with it.
fn convert_request(call: operator::Request, body: &Bytes) -> Result<event::Request, String> {
    Ok(match call {
        operator::Request::Read => event::Request::Read,
        operator::Request::TakeOut(zone) => event::Request::TakeOut(zone),
        operator::Request::BringIn(zone) => event::Request::BringIn(zone),
        operator::Request::Depart(instance) => {
            let instance = name::Instance::new(instance);
            event::Request::Register(peer::Registration::Departed(instance))
        }
        operator::Request::Announce(instance) => {
            let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
            let now_ms = u64::try_from(now.as_millis()).unwrap_or(u64::MAX);
            let announcement = registration::parse_announcement(&instance, body, now_ms);
            event::announced(announcement.map_err(|error| error.to_string())?)
        }
        operator::Request::Declare => {
            let declaration = operator::parse_declaration(body)
                .map_err(|error| format!("the declaration can't be read: {error}"))?;
            let faults = declaration.faults();
            if !faults.is_empty() {
                return Err(join_faults(&faults));
            }
            let document = document::Document { version: declaration.version, bytes: body.clone() };
            event::Request::Declare(Box::new(declaration), document)
        }
    })
}

fn join_faults(faults: &[declaration::Fault]) -> String {
    let faults: Vec<String> = faults.iter().map(|fault| fault.to_string()).collect();
    faults.join("; ")
}

fn into_response(reply: reply::Reply) -> http_server::Response {
    let headers = reply.headers.into_iter().map(|(name, value)| (name.to_owned(), value));
    http_server::Response::new(reply.status, headers.collect(), reply.body)
}

/// Returns the metrics in the Prometheus text format.
pub async fn get_metrics(
    registry: Arc<metrics::Registry>,
    http_request: http_server::Request,
) -> http_server::Response {
    if http_request.head.path() != "/metrics" {
        return into_response(reply::error_reply(
            StatusCode::NOT_FOUND.as_u16(),
            "ask for /metrics",
        ));
    }
    let content_type = ("content-type".to_owned(), "text/plain; version=0.0.4".to_owned());
    http_server::Response::new(
        StatusCode::OK.as_u16(),
        vec![content_type],
        registry.encode().into(),
    )
}

/// Returns 200 if the process accepts new connections and 503 otherwise.
pub async fn get_readiness(
    status: Arc<traffic::Status>,
    _http_request: http_server::Request,
) -> http_server::Response {
    let ready = status.ready.load(Ordering::Relaxed);
    let code = if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
    http_server::Response::new(code.as_u16(), Vec::new(), Bytes::new())
}
