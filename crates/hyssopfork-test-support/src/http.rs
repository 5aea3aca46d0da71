//! HTTP server on its own thread, and the responses of the fake upstreams.

use actix_http::body::{BodyStream, BoxBody, SizedStream};
use actix_http::{HttpMessage, HttpService, Request, Response, StatusCode, header};
use actix_server::ServerHandle;
use bytes::{Bytes, BytesMut};
use futures::{StreamExt, stream};
use std::cell::OnceCell;
use std::convert::Infallible;
use std::future::Future;
use std::os::fd::AsFd;
use std::sync::mpsc;
use std::time::Duration;
use std::{io, net, thread};
use tokio::net::TcpStream;

/// Media type of JSON.
pub const JSON: &str = "application/json";
/// Media type of server-sent events.
pub const EVENT_STREAM: &str = "text/event-stream";

/// Time for written bytes to be sent before a connection is aborted.
const FLUSH_DELAY: Duration = Duration::from_millis(20);

/// Connection of a request.
struct Connection {
    stream: net::TcpStream,
    /// Incarnation of the upstream that received the first request.
    incarnation: OnceCell<u64>,
}

/// A running HTTP server; stops when dropped.
pub struct Server {
    address: net::SocketAddr,
    handle: ServerHandle,
    thread: Option<thread::JoinHandle<()>>,
}

impl Server {
    /// Starts a server that answers the requests on `listener` with `handler`.
    pub fn start<H, F>(listener: net::TcpListener, handler: H) -> io::Result<Server>
    where
        H: Fn(Request) -> F + Clone + Send + 'static,
        F: Future<Output = Response<BoxBody>> + 'static,
    {
        let address = listener.local_addr()?;
        let (sender, receiver) = mpsc::channel();
        let thread = thread::spawn(move || serve(listener, handler, sender));
        let handle = receiver.recv().map_err(|_| io::Error::other("the server did not start"))?;
        Ok(Server { address, handle, thread: Some(thread) })
    }

    /// Returns the listen address.
    pub fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Waits until the server stops by itself, which happens only on a failure.
    pub fn wait(mut self) {
        if let Some(thread) = self.thread.take() {
            thread.join().ok();
        }
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        let Some(thread) = self.thread.take() else { return };
        futures::executor::block_on(self.handle.stop(false));
        thread.join().ok();
    }
}

fn serve<H, F>(listener: net::TcpListener, handler: H, started: mpsc::Sender<ServerHandle>)
where
    H: Fn(Request) -> F + Clone + Send + 'static,
    F: Future<Output = Response<BoxBody>> + 'static,
{
    let factory = move || {
        let handler = handler.clone();
        HttpService::build()
            .h1_allow_half_closed(false)
            .on_connect_ext(|stream: &TcpStream, data| {
                // A second handle of the socket lets a handler close the connection before any
                // response head is sent.
                if let Ok(handle) = stream.as_fd().try_clone_to_owned() {
                    let stream = net::TcpStream::from(handle);
                    data.insert(Connection { stream, incarnation: OnceCell::new() });
                }
            })
            .finish(move |request: Request| {
                let response = handler(request);
                async move { Ok::<_, Infallible>(response.await) }
            })
            .tcp()
    };
    actix_rt::System::new().block_on(async move {
        let builder = actix_server::Server::build().workers(1).disable_signals();
        let Ok(bound) = builder.listen("fake", listener, factory) else { return };
        let server = bound.run();
        started.send(server.handle()).ok();
        server.await.ok();
    });
}

/// Binds a listener to a free loopback port.
pub fn free_listener() -> io::Result<net::TcpListener> {
    net::TcpListener::bind((net::Ipv4Addr::LOCALHOST, 0))
}

/// Reads the body of a request; of a truncated body, returns the part that was received.
pub async fn read_body(request: &mut Request) -> Bytes {
    let mut whole = BytesMut::new();
    while let Some(Ok(part)) = request.payload().next().await {
        whole.extend_from_slice(&part);
    }
    whole.freeze()
}

/// Returns the value of a header, if it is text.
pub fn header_text<'a>(request: &'a Request, name: &str) -> Option<&'a str> {
    request.headers().get(name)?.to_str().ok()
}

/// Returns the value of a `key=value` pair of the query string.
pub fn query_value<'a>(request: &'a Request, key: &str) -> Option<&'a str> {
    let query = request.uri().query()?;
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.into_iter().find(|(name, _)| *name == key).map(|(_, value)| value)
}

/// Returns a response with a JSON body.
pub fn json(status: StatusCode, value: &serde_json::Value) -> Response<BoxBody> {
    let mut response = Response::build(status);
    response.insert_header((header::CONTENT_TYPE, JSON));
    response.body(value.to_string()).map_into_boxed_body()
}

/// Returns a JSON response whose body is cut off after `limit` bytes, if given, while its
/// `content-length` states the full length.
pub fn sized_json(status: StatusCode, whole: Bytes, limit: Option<usize>) -> Response<BoxBody> {
    let mut response = Response::build(status);
    response.insert_header((header::CONTENT_TYPE, JSON));
    let length = whole.len() as u64;
    let body = SizedStream::new(length, Box::pin(body_parts(whole, limit)));
    response.message_body(body).expect("the head is well formed").map_into_boxed_body()
}

/// Returns a streamed response of server-sent events; an error in `events` aborts the connection.
pub fn events<S>(events: S) -> Response<BoxBody>
where
    S: stream::Stream<Item = Result<Bytes, io::Error>> + 'static,
{
    let mut response = Response::build(StatusCode::OK);
    response.insert_header((header::CONTENT_TYPE, EVENT_STREAM));
    let body = BodyStream::new(Box::pin(events));
    response.message_body(body).expect("the head is well formed").map_into_boxed_body()
}

/// Whether an earlier incarnation than `incarnation` received the first request of this connection.
/// The connections of a process end with it.
pub fn is_connected_to_earlier(request: &Request, incarnation: u64) -> bool {
    let connection: Option<&Connection> = request.conn_data();
    connection.is_some_and(|it| *it.incarnation.get_or_init(|| incarnation) != incarnation)
}

/// Closes the connection of the request without a response, as a crashing upstream does.
pub fn drop_connection(request: &Request) -> Response<BoxBody> {
    if let Some(Connection { stream, .. }) = request.conn_data() {
        stream.shutdown(net::Shutdown::Both).ok();
    }
    Response::new(StatusCode::INTERNAL_SERVER_ERROR)
}

fn body_parts(
    whole: Bytes,
    limit: Option<usize>,
) -> impl stream::Stream<Item = Result<Bytes, io::Error>> + 'static {
    let sent_bytes = limit.map_or(whole.len(), |limit| limit.min(whole.len()));
    let first = whole.slice(..sent_bytes);
    let is_truncated = sent_bytes < whole.len();
    let head = stream::iter((sent_bytes > 0).then_some(Ok(first)));
    head.chain(stream::iter(is_truncated.then_some(())).then(move |()| abort_body(sent_bytes)))
}

/// Aborts a body with an error; waits first until the preceding part has been sent.
async fn abort_body(sent_bytes: usize) -> Result<Bytes, io::Error> {
    if sent_bytes > 0 {
        actix_rt::time::sleep(FLUSH_DELAY).await;
    }
    Err(io::Error::other("response cut off by an injected fault"))
}
