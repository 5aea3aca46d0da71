//! HTTP/1.1 server that detects client disconnects.
//!
//! It keeps reading from a connection while its request is handled, so that work for a client that
//! has disconnected is cancelled at once. It can also abort a response in such a way that the
//! client can't take it for a complete one.

use crate::edge::memory;
use actix_http::body::BodySize;
use actix_http::error::ParseError;
use actix_http::h1::{Codec, Message, MessageType};
use actix_http::header::{self, HeaderName, HeaderValue};
use actix_http::{
    ConnectionType, Request as RequestHead, Response as ResponseHead, ServiceConfig, StatusCode,
};
use bytes::{Buf, Bytes, BytesMut};
use futures::stream::{LocalBoxStream, StreamExt};
use rustix::net::sockopt;
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
const MAX_PIPELINED_BYTES: usize = 16 << 10;

/// Time without progress after which a client that data waits for is disconnected. It would
/// otherwise hold memory, and a request at its upstream.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);

/// Size up to which a write buffer is kept for the next part of a response, in bytes.
const MAX_KEPT_BUFFER_BYTES: usize = 32 << 10;

/// Size of the kernel's buffers for a client's connection, in bytes. Without a limit they grow to
/// several megabytes for each client that doesn't read, which also takes the time to fill them.
const SOCKET_BUFFER_BYTES: usize = 64 << 10;

/// Minimum space of the buffer for reading a body, in bytes.
const READ_BYTES: usize = 16 << 10;

/// Time for which the rest of a rejected body is discarded. A client that is still sending when its
/// connection is closed could not read the response.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);

/// A request with its complete body.
pub struct Request {
    /// Head.
    pub head: RequestHead,
    /// Body.
    pub body: Bytes,
    /// Memory counted for the request until its response is written.
    pub held: Rc<memory::Reservation>,
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
    /// Parts of a body with this length.
    Sized(u64, LocalBoxStream<'static, Result<Bytes, Aborted>>),
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
    memory: Rc<memory::Memory>,
    /// Open connections up to which clients may keep theirs open after a response.
    max_kept_connections: usize,
    open_connections: Cell<usize>,
    config: RefCell<Option<ServiceConfig>>,
}

impl Shared {
    /// Creates the state of connections whose memory and number are not limited.
    pub fn new(limits: Limits, phase: watch::Receiver<Phase>) -> Shared {
        Shared::with_memory(limits, phase, memory::Memory::unlimited(), usize::MAX)
    }

    /// Creates the state of connections that share a memory budget. While more than
    /// `max_kept_connections` are open, responses ask clients to close theirs.
    pub fn with_memory(
        limits: Limits,
        phase: watch::Receiver<Phase>,
        memory: Rc<memory::Memory>,
        max_kept_connections: usize,
    ) -> Shared {
        Shared {
            limits: Cell::new(limits),
            phase,
            memory,
            max_kept_connections,
            open_connections: Cell::new(0),
            config: RefCell::new(None),
        }
    }

    /// Whether a connection is to be closed after its response.
    fn closes_connections(&self) -> bool {
        *self.phase.borrow() != Phase::Serving
            || self.open_connections.get() > self.max_kept_connections
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
    /// The request is rejected for lack of memory; with the length of its body if it is known.
    OutOfMemory(Option<usize>),
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
                let connection = Connection::new(&shared);
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

impl Drop for Connection {
    fn drop(&mut self) {
        let open = &self.shared.open_connections;
        open.set(open.get().saturating_sub(1));
    }
}

impl Connection {
    fn new(shared: &Rc<Shared>) -> Connection {
        shared.open_connections.set(shared.open_connections.get() + 1);
        Connection {
            codec: Codec::new(shared.config()),
            buffer: BytesMut::new(),
            shared: shared.clone(),
        }
    }

    async fn run<Handler, Handling>(mut self, mut stream: TcpStream, handler: Handler)
    where
        Handler: Fn(Request) -> Handling,
        Handling: Future<Output = Response>,
    {
        if let Err(error) = configure(&stream) {
            tracing::debug!(%error, "client disconnected before its first request");
            return;
        }
        loop {
            let request = match self.read_request(&mut stream).await {
                Ok(request) => request,
                Err(Fault::Closed) => return,
                Err(Fault::Rejected(status)) => return self.reject(&mut stream, status).await,
                Err(Fault::OutOfMemory(length)) => {
                    return self.reject_for_memory(&mut stream, length).await;
                }
            };
            let held = request.held.clone();
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
            let close = self.shared.closes_connections();
            if let Err(error) = self.write_response(&mut reader, &mut writer, response, close).await
            {
                if error.kind() == io::ErrorKind::TimedOut {
                    self.disconnect_stalled(&stream);
                }
                return;
            }
            drop(held);
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
        let length = head.head().headers.get(header::CONTENT_LENGTH);
        let length = length.and_then(|length| length.to_str().ok()?.parse::<usize>().ok());
        // The codec would take the body for the bytes of another protocol.
        if matches!(self.codec.message_type(), MessageType::Stream)
            && length.is_some_and(|length| length > 0)
        {
            return Err(Fault::Rejected(StatusCode::BAD_REQUEST));
        }
        let admitted = length.unwrap_or_default().min(limits.body_bytes);
        let held = self.shared.memory.admit(admitted).ok_or(Fault::OutOfMemory(length))?;
        let body = self.read_body(stream, limits, &held).await?;
        Ok(Request { head, body, held })
    }

    /// Disconnects a client that doesn't read. The reset frees what the kernel holds for it.
    fn disconnect_stalled(&self, stream: &TcpStream) {
        if let Ok(client) = stream.peer_addr() {
            self.shared.memory.on_client_stalled(client, WRITE_TIMEOUT);
        }
        if let Err(error) = stream.set_zero_linger() {
            tracing::warn!(%error, "cannot reset a connection");
        }
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

    async fn read_body(
        &mut self,
        stream: &mut TcpStream,
        limits: Limits,
        held: &memory::Reservation,
    ) -> Result<Bytes, Fault> {
        if !matches!(self.codec.message_type(), MessageType::Payload) {
            return Ok(Bytes::new());
        }
        let admitted = held.body_bytes();
        let mut body = BytesMut::new();
        loop {
            match self.codec.decode(&mut self.buffer) {
                Ok(Some(Message::Chunk(Some(part)))) => body.extend_from_slice(&part),
                Ok(Some(Message::Chunk(None))) => {
                    // An idle connection keeps no large buffer.
                    if self.buffer.is_empty() {
                        self.buffer = BytesMut::new();
                    }
                    return Ok(body.freeze());
                }
                Ok(Some(Message::Item(_))) | Err(_) => {
                    return Err(Fault::Rejected(StatusCode::BAD_REQUEST));
                }
                Ok(None) => {
                    self.buffer.reserve(READ_BYTES);
                    let reading = time::timeout(limits.head_timeout, self.read_more(stream));
                    reading.await.map_err(|_| Fault::Rejected(StatusCode::REQUEST_TIMEOUT))??;
                }
            }
            if body.len() > limits.body_bytes {
                return Err(Fault::Rejected(StatusCode::PAYLOAD_TOO_LARGE));
            }
            if body.len() > admitted && !held.resize(body.len()) {
                return Err(Fault::OutOfMemory(None));
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

    /// Rejects a request for lack of memory. Its body has not been read, so the connection is closed.
    async fn reject_for_memory(&mut self, stream: &mut TcpStream, length: Option<usize>) {
        let response = self.shared.memory.reject(length);
        let (mut reader, mut writer) = stream.split();
        if self.write_response(&mut reader, &mut writer, response, true).await.is_err()
            || stream.shutdown().await.is_err()
        {
            return;
        }
        self.buffer = BytesMut::new();
        let most = self.shared.limits.get().body_bytes;
        let discarding = async {
            let mut discarded = 0;
            while discarded < most && matches!(self.read_more(stream).await, Ok(())) {
                discarded += self.buffer.len();
                self.buffer.clear();
            }
        };
        let _still_sending = time::timeout(DISCARD_TIMEOUT, discarding).await;
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
        let size = match response.body {
            Body::Complete(ref body) => {
                let size = BodySize::Sized(body.len() as u64);
                self.encode_head(&response, size, close, &mut bytes)?;
                self.codec.encode(Message::Chunk(Some(body.clone())), &mut bytes)?;
                drop(response);
                return write(writer, &bytes).await;
            }
            Body::Stream(_) => BodySize::Stream,
            Body::Sized(length, _) => BodySize::Sized(length),
        };
        self.encode_head(&response, size, close, &mut bytes)?;
        match response.body {
            Body::Stream(parts) | Body::Sized(_, parts) => {
                self.write_stream(reader, writer, parts, bytes).await
            }
            Body::Complete(_) => Ok(()),
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
            if bytes.capacity() > MAX_KEPT_BUFFER_BYTES {
                bytes = BytesMut::new();
            }
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

fn configure(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    sockopt::set_socket_send_buffer_size(stream, SOCKET_BUFFER_BYTES)?;
    sockopt::set_socket_recv_buffer_size(stream, SOCKET_BUFFER_BYTES)?;
    Ok(())
}

/// Writes all bytes; fails with [`io::ErrorKind::TimedOut`] if the client accepts none for
/// [`WRITE_TIMEOUT`].
async fn write(writer: &mut (impl AsyncWriteExt + Unpin), mut bytes: &[u8]) -> io::Result<()> {
    while bytes.has_remaining() {
        let writing = time::timeout(WRITE_TIMEOUT, writer.write_buf(&mut bytes)).await;
        let written = writing.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        if written == 0 {
            return Err(connection_aborted());
        }
    }
    Ok(())
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
