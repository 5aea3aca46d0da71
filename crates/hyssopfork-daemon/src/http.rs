//! HTTP servers and clients for all roles.

use actix_http::body::BoxBody;
use actix_http::{HttpService, Payload, Request, StatusCode};
use actix_server::{Server, ServerHandle};
use actix_service::ServiceFactoryExt;
use bytes::{Bytes, BytesMut};
use futures::StreamExt;
use quick_error::quick_error;
use serde::Serialize;
use std::convert::Infallible;
use std::time::Duration;
use std::{io, net, rc};

quick_error! {
    /// Why a request's body could not be read.
    #[derive(Debug, PartialEq, Eq)]
    pub enum Error {
        /// The body exceeds the limit.
        TooLarge(limit: usize) {
            display("the body is over {} bytes: send less, or raise entry.body_limit_bytes", limit)
        }
        /// The connection ended, or its framing broke, before the body did.
        Broken {
            display("the body did not come whole: send the request again")
        }
    }
}

/// Limits of a server's client connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Time within which a client must send a request's head.
    pub head_timeout: Duration,
    /// Time after which an idle connection is closed.
    pub keep_alive: Duration,
    /// Concurrent connections; further ones wait to be accepted.
    pub connections: usize,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            head_timeout: Duration::from_secs(5),
            keep_alive: Duration::from_secs(75),
            connections: 25_600,
        }
    }
}

/// A response ready to be sent.
pub type Response = actix_http::Response<BoxBody>;

/// Serves HTTP on `listener` with `handle`, on `threads` dedicated traffic threads.
pub fn serve<Handle, Handled>(
    name: &'static str,
    listener: net::TcpListener,
    threads: usize,
    limits: Limits,
    handle: Handle,
) -> io::Result<ServerHandle>
where
    Handle: Fn(Request) -> Handled + Clone + Send + 'static,
    Handled: Future<Output = Response> + 'static,
{
    let server = Server::build()
        .workers(threads)
        .max_concurrent_connections(limits.connections.div_ceil(threads))
        .disable_signals()
        .shutdown_timeout(1)
        .listen(name, listener, move || {
            let handle = handle.clone();
            HttpService::build()
                .client_request_timeout(limits.head_timeout)
                .keep_alive(limits.keep_alive)
                .finish(move |request: Request| {
                    let response = handle(request);
                    async move { Ok::<_, Infallible>(response.await) }
                })
                .tcp()
                .map_err(|_| ())
        })?
        .run();
    let handle = server.handle();
    actix_rt::spawn(server);
    Ok(handle)
}

/// Reads a request's complete body.
pub async fn read_body(request: &mut Request, limit: usize) -> Result<Bytes, Error> {
    let mut payload: Payload = request.take_payload();
    let mut body = BytesMut::new();
    while let Some(part) = payload.next().await {
        let part = part.map_err(|_| Error::Broken)?;
        if body.len() + part.len() > limit {
            return Err(Error::TooLarge(limit));
        }
        body.extend_from_slice(&part);
    }
    Ok(body.freeze())
}

/// A plain text response.
pub fn text(status: StatusCode, text: impl Into<String>) -> Response {
    actix_http::Response::build(status)
        .insert_header(("content-type", "text/plain; charset=utf-8"))
        .body(text.into())
        .map_into_boxed_body()
}

/// A JSON response.
pub fn json<T: Serialize>(status: StatusCode, content_type: &'static str, value: &T) -> Response {
    let text = serde_json::to_string(value).expect("documents are plain data");
    actix_http::Response::build(status)
        .insert_header(("content-type", content_type))
        .body(text)
        .map_into_boxed_body()
}

/// HTTP clients of one traffic thread.
pub struct Clients {
    /// Reuses connections.
    pub pooled: awc::Client,
    /// Opens a connection for each request; used to resume a response whose connection timed out.
    pub fresh: awc::Client,
}

thread_local! {
    static CLIENTS: rc::Rc<Clients> = rc::Rc::new(Clients::new());
}

/// HTTP clients of this thread.
pub fn clients() -> rc::Rc<Clients> {
    CLIENTS.with(rc::Rc::clone)
}

impl Clients {
    fn new() -> Clients {
        let pooled = awc::Connector::new().limit(0).timeout(Duration::from_millis(500));
        let fresh = awc::Connector::new()
            .limit(0)
            .conn_keep_alive(Duration::ZERO)
            .timeout(Duration::from_millis(500));
        Clients { pooled: build_client(pooled), fresh: build_client(fresh) }
    }
}

fn build_client(
    connector: awc::Connector<
        impl actix_service::Service<
            actix_tls::connect::ConnectInfo<awc::http::Uri>,
            Response = actix_tls::connect::Connection<awc::http::Uri, actix_rt::net::TcpStream>,
            Error = actix_tls::connect::ConnectError,
        > + Clone
        + 'static,
    >,
) -> awc::Client {
    awc::Client::builder().connector(connector).disable_timeout().disable_redirects().finish()
}

/// Hop-by-hop headers, which are not forwarded, and `content-length` and `host`, which each hop
/// sets itself.
const HOP_BY_HOP_HEADERS: [&str; 10] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "host",
];

/// Whether a header is forwarded to the next hop.
pub fn is_forwarded(name: &str) -> bool {
    !HOP_BY_HOP_HEADERS.contains(&name) && !name.starts_with("hyssopfork-")
}

/// Headers of a message that are forwarded; those whose value isn't text are left out.
pub fn forwarded_headers(headers: &actix_http::header::HeaderMap) -> Vec<(String, String)> {
    let mut forwarded = Vec::new();
    for (name, value) in headers {
        let Ok(text) = value.to_str() else { continue };
        if is_forwarded(name.as_str()) {
            forwarded.push((name.as_str().to_owned(), text.to_owned()));
        }
    }
    forwarded
}
