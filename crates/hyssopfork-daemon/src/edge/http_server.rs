//! HTTP/1.1 server that detects client disconnects.
//!
//! It keeps reading from a connection while its request is handled, so that work for a client that
//! has disconnected is cancelled at once. It can also abort a response in such a way that the
//! client can't take it for a complete one.

use actix_http::body::BodySize;
use actix_http::error::ParseError;
use actix_http::h1::{Codec, Message, MessageType};
use actix_http::header::{HeaderName, HeaderValue};
use actix_http::{
    ConnectionType, Request as RequestHead, Response as ResponseHead, ServiceConfig, StatusCode,
};
use bytes::{Bytes, BytesMut};
use futures::stream::{LocalBoxStream, StreamExt};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use std::{io, net};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::ReadHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time;
use tokio_util::codec::{Decoder, Encoder};

/// Maximum size of pipelined requests that are read while another one is handled, in bytes. A
/// client that sends more is blocked by flow control.
const MAX_PIPELINED_BYTES: usize = 64 << 10;

/// Timeout for writing to a client. A client that doesn't read would otherwise hold memory.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

/// A request with its complete body.
pub struct Request {
    /// Head.
    pub head: RequestHead,
    /// Body.
    pub body: Bytes,
}

/// Error of a response body whose rest will not follow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Aborted;

/// Body of a response.
pub enum Body {
    /// Complete body.
    Complete(Bytes),
    /// Stream of parts.
    Stream(LocalBoxStream<'static, Result<Bytes, Aborted>>),
}

/// A response.
pub struct Response {
    /// HTTP status code.
    pub status: u16,
    /// Headers, except those of the connection and the body's length.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Body,
}

impl Response {
    /// Creates a response with a complete body.
    pub fn new(status: u16, headers: Vec<(String, String)>, body: Bytes) -> Response {
        Response { status, headers, body: Body::Complete(body) }
    }
}

/// Limits of client requests and connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of a request head, in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Timeout for receiving a request head, and for each read of a body.
    pub head_timeout: Duration,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
}

/// Shutdown phase of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Phase {
    /// Serves requests.
    #[default]
    Serving,
    /// Serves requests and asks clients to open new connections elsewhere.
    Draining,
    /// Accepts no connections and closes idle ones.
    Closing,
}

/// State shared by the connections of a server.
pub struct Shared {
    /// Limits in force.
    pub limits: Cell<Limits>,
    /// Shutdown phase.
    pub phase: watch::Receiver<Phase>,
    config: RefCell<Option<ServiceConfig>>,
}

impl Shared {
    /// Creates the state.
    pub fn new(limits: Limits, phase: watch::Receiver<Phase>) -> Shared {
        Shared { limits: Cell::new(limits), phase, config: RefCell::new(None) }
    }

    /// Resolves when the process enters [`Phase::Closing`].
    async fn wait_for_closing(&self) {
        let mut phase = self.phase.clone();
        while *phase.borrow_and_update() != Phase::Closing {
            if phase.changed().await.is_err() {
                return std::future::pending().await;
            }
        }
    }

    /// Configuration of the codec. All connections share it, because it runs a clock of its own.
    fn config(&self) -> ServiceConfig {
        self.config.borrow_mut().get_or_insert_with(ServiceConfig::default).clone()
    }
}

/// Why a request could not be read.
enum Fault {
    /// The connection is closed; no response is possible.
    Closed,
    /// The request is rejected with this status.
    Rejected(StatusCode),
}

/// Serves every connection of `listener` on this thread until the process exits.
pub async fn serve<Handler, Handling>(
    listener: net::TcpListener,
    shared: Rc<Shared>,
    handler: Handler,
) -> io::Result<()>
where
    Handler: Fn(Request) -> Handling + Clone + 'static,
    Handling: Future<Output = Response> + 'static,
{
    let listener = TcpListener::from_std(listener)?;
    loop {
        let accepted = tokio::select! {
            biased;
            // The kernel refuses new connections from now on, so their clients go elsewhere at once.
            () = shared.wait_for_closing() => return Ok(()),
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => {
                let connection = Connection {
                    codec: Codec::new(shared.config()),
                    buffer: BytesMut::new(),
                    shared: shared.clone(),
                };
                let handler = handler.clone();
                actix_rt::spawn(async move { connection.run(stream, handler).await });
            }
            // Out of file descriptors: waits until open connections close.
            Err(error) => {
                tracing::warn!(%error, "server cannot accept a connection");
                time::sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

struct Connection {
    codec: Codec,
    buffer: BytesMut,
    shared: Rc<Shared>,
}

impl Connection {
    async fn run<Handler, Handling>(mut self, mut stream: TcpStream, handler: Handler)
    where
        Handler: Fn(Request) -> Handling,
        Handling: Future<Output = Response>,
    {
        if stream.set_nodelay(true).is_err() {
            return;
        }
        loop {
            let request = match self.read_request(&mut stream).await {
                Ok(request) => request,
                Err(Fault::Closed) => return,
                Err(Fault::Rejected(status)) => return self.reject(&mut stream, status).await,
            };
            // The request might not complete before the process exits. The response tells the client
            // that it has not run.
            if *self.shared.phase.borrow() == Phase::Closing {
                return self.reject(&mut stream, StatusCode::SERVICE_UNAVAILABLE).await;
            }
            let (mut reader, mut writer) = stream.split();
            let response = tokio::select! {
                biased;
                response = handler(request) => response,
                () = wait_for_disconnect(&mut reader, &mut self.buffer) => return,
            };
            let close = *self.shared.phase.borrow() != Phase::Serving;
            if self.write_response(&mut reader, &mut writer, response, close).await.is_err() {
                return;
            }
            if close || !self.codec.keep_alive() {
                let _peer_gone = stream.shutdown().await;
                return;
            }
        }
    }

    /// Reads a request.
    async fn read_request(&mut self, stream: &mut TcpStream) -> Result<Request, Fault> {
        let limits = self.shared.limits.get();
        if self.buffer.is_empty() {
            self.wait_for_request(stream, limits).await?;
        }
        let reading = time::timeout(limits.head_timeout, self.read_head(stream, limits));
        let head = match reading.await {
            Ok(head) => head?,
            Err(_) => return Err(Fault::Rejected(StatusCode::REQUEST_TIMEOUT)),
        };
        let body = self.read_body(stream, limits).await?;
        Ok(Request { head, body })
    }

    /// Waits for the first byte of a request on an idle connection.
    async fn wait_for_request(
        &mut self,
        stream: &mut TcpStream,
        limits: Limits,
    ) -> Result<(), Fault> {
        let shared = self.shared.clone();
        tokio::select! {
            biased;
            read = stream.read_buf(&mut self.buffer) => match read {
                Ok(0) | Err(_) => Err(Fault::Closed),
                Ok(_) => Ok(()),
            },
            () = shared.wait_for_closing() => Err(Fault::Closed),
            () = time::sleep(limits.idle_timeout) => Err(Fault::Closed),
        }
    }

    async fn read_head(
        &mut self,
        stream: &mut TcpStream,
        limits: Limits,
    ) -> Result<RequestHead, Fault> {
        loop {
            match self.codec.decode(&mut self.buffer) {
                Ok(Some(Message::Item(head))) => return Ok(head),
                Ok(Some(Message::Chunk(_))) => {
                    return Err(Fault::Rejected(StatusCode::BAD_REQUEST));
                }
                Ok(None) if self.buffer.len() > limits.head_bytes => {
                    return Err(Fault::Rejected(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE));
                }
                Ok(None) => self.read_more(stream).await?,
                Err(ParseError::TooLarge) => {
                    return Err(Fault::Rejected(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE));
                }
                Err(_) => return Err(Fault::Rejected(StatusCode::BAD_REQUEST)),
            }
        }
    }

    async fn read_body(&mut self, stream: &mut TcpStream, limits: Limits) -> Result<Bytes, Fault> {
        if !matches!(self.codec.message_type(), MessageType::Payload) {
            return Ok(Bytes::new());
        }
        let mut body = BytesMut::new();
        loop {
            match self.codec.decode(&mut self.buffer) {
                Ok(Some(Message::Chunk(Some(part)))) => body.extend_from_slice(&part),
                Ok(Some(Message::Chunk(None))) => return Ok(body.freeze()),
                Ok(Some(Message::Item(_))) | Err(_) => {
                    return Err(Fault::Rejected(StatusCode::BAD_REQUEST));
                }
                Ok(None) => {
                    let reading = time::timeout(limits.head_timeout, self.read_more(stream));
                    reading.await.map_err(|_| Fault::Rejected(StatusCode::REQUEST_TIMEOUT))??;
                }
            }
            if body.len() > limits.body_bytes {
                return Err(Fault::Rejected(StatusCode::PAYLOAD_TOO_LARGE));
            }
        }
    }

    async fn read_more(&mut self, stream: &mut TcpStream) -> Result<(), Fault> {
        match stream.read_buf(&mut self.buffer).await {
            Ok(0) | Err(_) => Err(Fault::Closed),
            Ok(_) => Ok(()),
        }
    }

    /// Rejects a request and closes the connection, because it isn't known where the next request
    /// would begin.
    async fn reject(&mut self, stream: &mut TcpStream, status: StatusCode) {
        let mut bytes = BytesMut::new();
        let response = Response::new(status.as_u16(), Vec::new(), Bytes::new());
        if self.encode_head(&response, BodySize::Sized(0), true, &mut bytes).is_ok()
            && stream.write_all(&bytes).await.is_ok()
        {
            let _peer_gone = stream.shutdown().await;
        }
    }

    /// Writes a response; after an error the connection can't be used any more.
    async fn write_response(
        &mut self,
        reader: &mut ReadHalf<'_>,
        writer: &mut (impl AsyncWriteExt + Unpin),
        response: Response,
        close: bool,
    ) -> io::Result<()> {
        let mut bytes = BytesMut::new();
        match response.body {
            Body::Complete(ref body) => {
                let size = BodySize::Sized(body.len() as u64);
                self.encode_head(&response, size, close, &mut bytes)?;
                self.codec.encode(Message::Chunk(Some(body.clone())), &mut bytes)?;
                write(writer, &bytes).await
            }
            Body::Stream(_) => {
                self.encode_head(&response, BodySize::Stream, close, &mut bytes)?;
                let Body::Stream(parts) = response.body else { return Ok(()) };
                self.write_stream(reader, writer, parts, bytes).await
            }
        }
    }

    /// Writes the parts of a streamed response as they arrive. `bytes` holds the head, which is
    /// sent with the first part.
    async fn write_stream(
        &mut self,
        reader: &mut ReadHalf<'_>,
        writer: &mut (impl AsyncWriteExt + Unpin),
        mut parts: LocalBoxStream<'static, Result<Bytes, Aborted>>,
        mut bytes: BytesMut,
    ) -> io::Result<()> {
        loop {
            let part = tokio::select! {
                biased;
                part = parts.next() => part,
                () = wait_for_disconnect(reader, &mut self.buffer) => return Err(connection_aborted()),
            };
            match part {
                // An empty chunk marks the end of a chunked body.
                Some(Ok(part)) if part.is_empty() => continue,
                Some(Ok(part)) => self.codec.encode(Message::Chunk(Some(part)), &mut bytes)?,
                None => {
                    self.codec.encode(Message::Chunk(None), &mut bytes)?;
                    return write(writer, &bytes).await;
                }
                Some(Err(Aborted)) => {
                    write(writer, &bytes).await?;
                    return Err(connection_aborted());
                }
            }
            write(writer, &bytes).await?;
            bytes.clear();
        }
    }

    fn encode_head(
        &mut self,
        response: &Response,
        size: BodySize,
        close: bool,
        bytes: &mut BytesMut,
    ) -> io::Result<()> {
        let status = StatusCode::from_u16(response.status).unwrap_or(StatusCode::BAD_GATEWAY);
        let mut head = ResponseHead::with_body(status, ());
        for (name, value) in &response.headers {
            let name = HeaderName::from_bytes(name.as_bytes());
            if let (Ok(name), Ok(value)) = (name, HeaderValue::from_str(value)) {
                head.headers_mut().append(name, value);
            }
        }
        if close {
            head.head_mut().set_connection_type(ConnectionType::Close);
        }
        self.codec.encode(Message::Item((head, size)), bytes)
    }
}

async fn write(writer: &mut (impl AsyncWriteExt + Unpin), bytes: &[u8]) -> io::Result<()> {
    time::timeout(WRITE_TIMEOUT, writer.write_all(bytes)).await.map_err(|_| connection_aborted())?
}

fn connection_aborted() -> io::Error {
    io::Error::from(io::ErrorKind::ConnectionAborted)
}

/// Resolves when the client has closed its connection. Bytes that it sends meanwhile are buffered
/// up to [`MAX_PIPELINED_BYTES`]; beyond that, nothing is read and a disconnect isn't detected.
async fn wait_for_disconnect(reader: &mut ReadHalf<'_>, buffer: &mut BytesMut) {
    while buffer.len() < MAX_PIPELINED_BYTES {
        match reader.read_buf(buffer).await {
            Ok(0) | Err(_) => return,
            Ok(_) => {}
        }
    }
    std::future::pending().await
}
