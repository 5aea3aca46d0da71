//! An HTTP/1.1 server that shows when a caller goes away.
//!
//! A caller's connection is read while its request is worked on, so that work for a caller that has
//! gone is cancelled at once, and an answer can be broken off so that it can't look whole.

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

/// Bytes of further requests that are read while one is worked on; a caller that sends more waits.
const AHEAD_LIMIT: usize = 64 << 10;

/// Time in which a caller must take what is written to it; one that reads nothing holds memory.
const WRITE_LIMIT: Duration = Duration::from_secs(10);

/// A request with its whole body.
pub struct Incoming {
    /// Head.
    pub request: Request,
    /// Body.
    pub body: Bytes,
}

/// The rest of an answer will not come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Broken;

/// Body of an answer.
pub enum Body {
    /// All of it.
    Whole(Bytes),
    /// Parts, as they come.
    Parts(LocalBoxStream<'static, Result<Bytes, Broken>>),
}

/// An answer.
pub struct Outgoing {
    /// HTTP status code.
    pub status: u16,
    /// Headers besides those of the connection and the body's length.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Body,
}

impl Outgoing {
    /// An answer with a whole body.
    pub fn whole(status: u16, headers: Vec<(String, String)>, body: Bytes) -> Outgoing {
        Outgoing { status, headers, body: Body::Whole(body) }
    }
}

/// What a server takes from its callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Longest head, in bytes.
    pub head_bytes: usize,
    /// Longest body, in bytes.
    pub body_bytes: usize,
    /// Time to send a head, and time without progress while sending a body.
    pub head_timeout: Duration,
    /// Time that a connection may be idle.
    pub idle_timeout: Duration,
}

/// How far the process is on its way to its end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Phase {
    /// It serves.
    #[default]
    Serving,
    /// It asks callers to open other connections.
    Leaving,
    /// It closes connections on which nothing is under way.
    Closing,
}

/// What connections of one server share.
pub struct Shared {
    /// Limits now in force.
    pub limits: Cell<Limits>,
    /// How far the process is.
    pub phase: watch::Receiver<Phase>,
    config: RefCell<Option<ServiceConfig>>,
}

impl Shared {
    /// Shared state with these limits.
    pub fn new(limits: Limits, phase: watch::Receiver<Phase>) -> Shared {
        Shared { limits: Cell::new(limits), phase, config: RefCell::new(None) }
    }

    /// Resolves when the process closes connections on which nothing is under way.
    async fn closing(&self) {
        let mut phase = self.phase.clone();
        while *phase.borrow_and_update() != Phase::Closing {
            if phase.changed().await.is_err() {
                return std::future::pending().await;
            }
        }
    }

    /// The codec's configuration; one for all connections, since it keeps a clock of its own.
    fn config(&self) -> ServiceConfig {
        self.config.borrow_mut().get_or_insert_with(ServiceConfig::default).clone()
    }
}

/// Why a request can't be taken.
enum Fault {
    /// The connection is of no more use; nothing is to be said.
    Closed,
    /// The caller is told.
    Told(StatusCode),
}

/// Serves every connection of `listener` on this thread until the process ends.
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
            // Callers that come now are refused by the system at once, and go elsewhere.
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
            // Out of descriptors: those that are open close one after the other.
            Err(error) => {
                tracing::warn!(%error, "a connection could not be accepted");
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
            // Too late to be finished before the process ends; the caller is told that it has not
            // run.
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

    /// Waits on an idle connection for the first byte of a request.
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

    /// Tells the caller what is wrong and closes: where its next request begins isn't known.
    async fn refuse(&mut self, stream: &mut TcpStream, status: StatusCode) {
        let mut bytes = BytesMut::new();
        let outgoing = Outgoing::whole(status.as_u16(), Vec::new(), Bytes::new());
        if self.encode_head(&outgoing, BodySize::Sized(0), true, &mut bytes).is_ok()
            && stream.write_all(&bytes).await.is_ok()
        {
            let _peer_gone = stream.shutdown().await;
        }
    }

    /// Writes an answer; an error means that the connection is of no more use.
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

    /// Writes parts as they come; the head waits in `bytes` for the first of them.
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
                // A chunk without bytes is the end mark of a chunked body.
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

/// Resolves when the caller has closed its connection. What it sends meanwhile is kept.
async fn gone(reader: &mut ReadHalf<'_>, buffer: &mut BytesMut) {
    while buffer.len() < AHEAD_LIMIT {
        match reader.read_buf(buffer).await {
            Ok(0) | Err(_) => return,
            Ok(_) => {}
        }
    }
    std::future::pending().await
}
