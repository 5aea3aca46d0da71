//! HTTP/1.1 server that detects client disconnects.
//!
//! It keeps reading from a connection while its request is handled, so that work for a client that
//! has disconnected is cancelled at once. It can also abort a response in such a way that the
//! client can't take it for a complete one.

use actix_http::body::BodySize;
use actix_http::error::ParseError;
use actix_http::h1::{Codec, Message, MessageType};
use actix_http::header::{HeaderName, HeaderValue};
use actix_http::{ConnectionType, Request, Response, ServiceConfig, StatusCode};
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
const AHEAD_LIMIT: usize = 64 << 10;

/// Timeout for writing to a client. A client that doesn't read would otherwise hold memory.
const WRITE_LIMIT: Duration = Duration::from_secs(10);

/// A request with its complete body.
pub struct Incoming {
    /// Head.
    pub request: Request,
    /// Body.
    pub body: Bytes,
}

/// Error of a response body whose rest will not follow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Broken;

/// Body of a response.
pub enum Body {
    /// Complete body.
    Whole(Bytes),
    /// Stream of parts.
    Parts(LocalBoxStream<'static, Result<Bytes, Broken>>),
}

/// A response.
pub struct Outgoing {
    /// HTTP status code.
    pub status: u16,
    /// Headers, except those of the connection and the body's length.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Body,
}

impl Outgoing {
    /// Creates a response with a complete body.
    pub fn whole(status: u16, headers: Vec<(String, String)>, body: Bytes) -> Outgoing {
        Outgoing { status, headers, body: Body::Whole(body) }
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
    Leaving,
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
    async fn closing(&self) {
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
    Told(StatusCode),
}

/// Serves every connection of `listener` on this thread until the process exits.
pub async fn serve<Handle, Handled>(
    listener: net::TcpListener,
    shared: Rc<Shared>,
    handle: Handle,
) -> io::Result<()>
where
    Handle: Fn(Incoming) -> Handled + Clone + 'static,
    Handled: Future<Output = Outgoing> + 'static,
{
    let listener = TcpListener::from_std(listener)?;
    loop {
        let accepted = tokio::select! {
            biased;
            // The kernel refuses new connections from now on, so their clients go elsewhere at once.
            () = shared.closing() => return Ok(()),
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => {
                let connection = Connection {
                    codec: Codec::new(shared.config()),
                    buffer: BytesMut::new(),
                    shared: shared.clone(),
                };
                let handle = handle.clone();
                actix_rt::spawn(async move { connection.run(stream, handle).await });
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
    async fn run<Handle, Handled>(mut self, mut stream: TcpStream, handle: Handle)
    where
        Handle: Fn(Incoming) -> Handled,
        Handled: Future<Output = Outgoing>,
    {
        if stream.set_nodelay(true).is_err() {
            return;
        }
        loop {
            let incoming = match self.read(&mut stream).await {
                Ok(incoming) => incoming,
                Err(Fault::Closed) => return,
                Err(Fault::Told(status)) => return self.refuse(&mut stream, status).await,
            };
            // The request might not complete before the process exits. The response tells the client
            // that it has not run.
            if *self.shared.phase.borrow() == Phase::Closing {
                return self.refuse(&mut stream, StatusCode::SERVICE_UNAVAILABLE).await;
            }
            let (mut reader, mut writer) = stream.split();
            let answer = tokio::select! {
                biased;
                answer = handle(incoming) => answer,
                () = gone(&mut reader, &mut self.buffer) => return,
            };
            let closes = *self.shared.phase.borrow() != Phase::Serving;
            if self.answer(&mut reader, &mut writer, answer, closes).await.is_err() {
                return;
            }
            if closes || !self.codec.keep_alive() {
                let _peer_gone = stream.shutdown().await;
                return;
            }
        }
    }

    /// Reads a request.
    async fn read(&mut self, stream: &mut TcpStream) -> Result<Incoming, Fault> {
        let limits = self.shared.limits.get();
        if self.buffer.is_empty() {
            self.await_first(stream, limits).await?;
        }
        let head = time::timeout(limits.head_timeout, self.read_head(stream, limits));
        let request = match head.await {
            Ok(request) => request?,
            Err(_) => return Err(Fault::Told(StatusCode::REQUEST_TIMEOUT)),
        };
        let body = self.read_body(stream, limits).await?;
        Ok(Incoming { request, body })
    }

    /// Waits for the first byte of a request on an idle connection.
    async fn await_first(&mut self, stream: &mut TcpStream, limits: Limits) -> Result<(), Fault> {
        let shared = self.shared.clone();
        tokio::select! {
            biased;
            read = stream.read_buf(&mut self.buffer) => match read {
                Ok(0) | Err(_) => Err(Fault::Closed),
                Ok(_) => Ok(()),
            },
            () = shared.closing() => Err(Fault::Closed),
            () = time::sleep(limits.idle_timeout) => Err(Fault::Closed),
        }
    }

    async fn read_head(
        &mut self,
        stream: &mut TcpStream,
        limits: Limits,
    ) -> Result<Request, Fault> {
        loop {
            match self.codec.decode(&mut self.buffer) {
                Ok(Some(Message::Item(request))) => return Ok(request),
                Ok(Some(Message::Chunk(_))) => return Err(Fault::Told(StatusCode::BAD_REQUEST)),
                Ok(None) if self.buffer.len() > limits.head_bytes => {
                    return Err(Fault::Told(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE));
                }
                Ok(None) => self.fill(stream).await?,
                Err(ParseError::TooLarge) => {
                    return Err(Fault::Told(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE));
                }
                Err(_) => return Err(Fault::Told(StatusCode::BAD_REQUEST)),
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
                    return Err(Fault::Told(StatusCode::BAD_REQUEST));
                }
                Ok(None) => {
                    let fill = time::timeout(limits.head_timeout, self.fill(stream));
                    fill.await.map_err(|_| Fault::Told(StatusCode::REQUEST_TIMEOUT))??;
                }
            }
            if body.len() > limits.body_bytes {
                return Err(Fault::Told(StatusCode::PAYLOAD_TOO_LARGE));
            }
        }
    }

    async fn fill(&mut self, stream: &mut TcpStream) -> Result<(), Fault> {
        match stream.read_buf(&mut self.buffer).await {
            Ok(0) | Err(_) => Err(Fault::Closed),
            Ok(_) => Ok(()),
        }
    }

    /// Rejects a request and closes the connection, because it isn't known where the next request
    /// would begin.
    async fn refuse(&mut self, stream: &mut TcpStream, status: StatusCode) {
        let mut bytes = BytesMut::new();
        let outgoing = Outgoing::whole(status.as_u16(), Vec::new(), Bytes::new());
        if self.encode_head(&outgoing, BodySize::Sized(0), true, &mut bytes).is_ok()
            && stream.write_all(&bytes).await.is_ok()
        {
            let _peer_gone = stream.shutdown().await;
        }
    }

    /// Writes a response; after an error the connection can't be used any more.
    async fn answer(
        &mut self,
        reader: &mut ReadHalf<'_>,
        writer: &mut (impl AsyncWriteExt + Unpin),
        outgoing: Outgoing,
        closes: bool,
    ) -> io::Result<()> {
        let mut bytes = BytesMut::new();
        match outgoing.body {
            Body::Whole(ref body) => {
                let size = BodySize::Sized(body.len() as u64);
                self.encode_head(&outgoing, size, closes, &mut bytes)?;
                self.codec.encode(Message::Chunk(Some(body.clone())), &mut bytes)?;
                write(writer, &bytes).await
            }
            Body::Parts(_) => {
                self.encode_head(&outgoing, BodySize::Stream, closes, &mut bytes)?;
                let Body::Parts(parts) = outgoing.body else { return Ok(()) };
                self.stream(reader, writer, parts, bytes).await
            }
        }
    }

    /// Writes the parts of a streamed response as they arrive. `bytes` holds the head, which is
    /// sent with the first part.
    async fn stream(
        &mut self,
        reader: &mut ReadHalf<'_>,
        writer: &mut (impl AsyncWriteExt + Unpin),
        mut parts: LocalBoxStream<'static, Result<Bytes, Broken>>,
        mut bytes: BytesMut,
    ) -> io::Result<()> {
        loop {
            let part = tokio::select! {
                biased;
                part = parts.next() => part,
                () = gone(reader, &mut self.buffer) => return Err(closed()),
            };
            match part {
                // An empty chunk marks the end of a chunked body.
                Some(Ok(part)) if part.is_empty() => continue,
                Some(Ok(part)) => self.codec.encode(Message::Chunk(Some(part)), &mut bytes)?,
                None => {
                    self.codec.encode(Message::Chunk(None), &mut bytes)?;
                    return write(writer, &bytes).await;
                }
                Some(Err(Broken)) => {
                    write(writer, &bytes).await?;
                    return Err(closed());
                }
            }
            write(writer, &bytes).await?;
            bytes.clear();
        }
    }

    fn encode_head(
        &mut self,
        outgoing: &Outgoing,
        size: BodySize,
        closes: bool,
        bytes: &mut BytesMut,
    ) -> io::Result<()> {
        let status = StatusCode::from_u16(outgoing.status).unwrap_or(StatusCode::BAD_GATEWAY);
        let mut response = Response::with_body(status, ());
        for (name, value) in &outgoing.headers {
            let name = HeaderName::from_bytes(name.as_bytes());
            if let (Ok(name), Ok(value)) = (name, HeaderValue::from_str(value)) {
                response.headers_mut().append(name, value);
            }
        }
        if closes {
            response.head_mut().set_connection_type(ConnectionType::Close);
        }
        self.codec.encode(Message::Item((response, size)), bytes)
    }
}

async fn write(writer: &mut (impl AsyncWriteExt + Unpin), bytes: &[u8]) -> io::Result<()> {
    time::timeout(WRITE_LIMIT, writer.write_all(bytes)).await.map_err(|_| closed())?
}

fn closed() -> io::Error {
    io::Error::from(io::ErrorKind::ConnectionAborted)
}

/// Resolves when the client has closed its connection. Bytes that it sends meanwhile are buffered
/// up to [`AHEAD_LIMIT`]; beyond that, nothing is read and a disconnect isn't detected.
async fn gone(reader: &mut ReadHalf<'_>, buffer: &mut BytesMut) {
    while buffer.len() < AHEAD_LIMIT {
        match reader.read_buf(buffer).await {
            Ok(0) | Err(_) => return,
            Ok(_) => {}
        }
    }
    std::future::pending().await
}
