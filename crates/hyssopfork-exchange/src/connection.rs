//! Client connection for sequential HTTP/1.1 exchanges.

use crate::error;
use actix_http::body::BodySize;
use actix_http::error::PayloadError;
use actix_http::h1::{ClientCodec, ClientPayloadCodec, Message, MessageType};
use actix_http::header::{self, HeaderName, HeaderValue};
use actix_http::{Method, RequestHead, RequestHeadType, ResponseHead, StatusCode, Uri, Version};
use bytes::{Buf, Bytes, BytesMut};
use std::time::Duration;
use std::{io, net};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time;
use tokio_util::codec::{Decoder, Encoder};

/// Part of a body that has arrived before the buffer grows for the rest, in bytes. Most bodies are
/// smaller.
const SMALL_BODY_BYTES: usize = 16 << 10;

/// Minimum space of the buffer for reading the rest of a larger body, in bytes.
const READ_BYTES: usize = 16 << 10;

/// Greatest status of a response (RFC 9110, section 15). The codec rejects those below 100 and those that
/// don't have three digits.
const MAX_STATUS: u16 = 599;

/// Maximum number of interim responses before a final one.
const MAX_INTERIM_RESPONSES: u32 = 16;

/// Head of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request<'a> {
    /// HTTP method.
    pub method: &'a str,
    /// Path and query.
    pub path: &'a str,
    /// Headers besides `Content-Length`, which the connection adds. It also adds a `Host` with the
    /// server's address if there is none.
    pub headers: &'a [(String, String)],
}

/// Head of a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Head {
    /// HTTP status code.
    pub status: u16,
    /// Header names in lower case, and their values; headers whose values are not text are omitted.
    pub headers: Vec<(String, String)>,
}

impl Head {
    /// First value of a header; `name` in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }
}

enum Stage {
    /// No exchange is in progress.
    Idle(ClientCodec),
    /// The request is sent; the response's head is to be read, unless it arrived while the request was
    /// written.
    Head(ClientCodec, Option<ResponseHead>),
    /// The response's body is to be read.
    Body(ClientPayloadCodec),
    /// The body has neither a length nor chunks: it ends when the server closes the connection.
    UntilClosed,
    /// The server closed the connection at the end of such a body.
    Closed,
    /// An exchange failed: the connection cannot be reused.
    Failed,
}

/// A connection. Its read methods are cancel-safe: no bytes are lost if their future is dropped.
pub struct Connection {
    address: net::SocketAddr,
    stream: TcpStream,
    buffer: BytesMut,
    stage: Stage,
    /// Whether the server responded before it had read the whole request. It could take the rest of
    /// the request for the start of the next one, so the connection is not reused.
    responded_early: bool,
    allows_unframed: bool,
    /// Whether the current request's method is `HEAD`, whose response has no body.
    is_head_request: bool,
    /// Time without progress after which writing a request fails.
    write_timeout: Option<Duration>,
    /// Bytes of the current response's body that have been returned.
    body_bytes: usize,
    /// Interim responses to the current request.
    interim_responses: u32,
}

impl Connection {
    /// Connects to `address` without sending a request.
    pub async fn connect(address: net::SocketAddr) -> Result<Connection, error::Error> {
        let connecting = TcpStream::connect(address).await;
        Connection::new(address, connecting)
    }

    /// Connects to `address` with buffers of the kernel of this size, in bytes. Without a limit they
    /// grow to several megabytes for each exchange whose response is read slowly.
    pub async fn connect_with_buffers(
        address: net::SocketAddr,
        buffer_bytes: u32,
    ) -> Result<Connection, error::Error> {
        let connecting = async {
            let socket =
                if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
            socket.set_recv_buffer_size(buffer_bytes)?;
            socket.set_send_buffer_size(buffer_bytes)?;
            socket.connect(address).await
        };
        Connection::new(address, connecting.await)
    }

    fn new(
        address: net::SocketAddr,
        connected: io::Result<TcpStream>,
    ) -> Result<Connection, error::Error> {
        let unreachable = |cause| error::Error::Unreachable(address, cause);
        let stream = connected.map_err(unreachable)?;
        stream.set_nodelay(true).map_err(unreachable)?;
        let stage = Stage::Idle(ClientCodec::default());
        Ok(Connection {
            address,
            stream,
            buffer: BytesMut::new(),
            stage,
            responded_early: false,
            allows_unframed: false,
            is_head_request: false,
            write_timeout: None,
            body_bytes: 0,
            interim_responses: 0,
        })
    }

    /// Accepts responses with neither a length nor chunks, whose body ends when the server closes
    /// the connection. Only for servers that always abort a truncated response with a reset.
    pub fn allow_unframed(&mut self) {
        self.allows_unframed = true;
    }

    /// Sets the time after which sending a request fails if the server accepts no bytes of it.
    pub fn set_write_timeout(&mut self, timeout: Duration) {
        self.write_timeout = Some(timeout);
    }

    /// Whether the last response was read completely and the server keeps the connection open.
    pub fn is_reusable(&self) -> bool {
        let kept = matches!(&self.stage, Stage::Idle(codec) if codec.keep_alive());
        kept && self.buffer.is_empty() && !self.responded_early
    }

    /// Whether the server has neither sent bytes nor closed the connection since the last response.
    /// Bytes between two responses belong to no request and would be read as the next response.
    pub fn is_idle(&self) -> bool {
        let read = self.stream.try_read(&mut [0]);
        matches!(read, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Sends a request. After an error other than [`error::Error::Unsendable`] the server may have
    /// received it.
    pub async fn send(&mut self, request: &Request<'_>, body: Bytes) -> Result<(), error::Error> {
        let head = encode_head(request, self.address)?;
        let Stage::Idle(mut codec) = std::mem::replace(&mut self.stage, Stage::Failed) else {
            return Err(error::Error::ConnectionLost);
        };
        self.is_head_request = head.method == Method::HEAD;
        let mut bytes = BytesMut::new();
        let size = BodySize::Sized(body.len() as u64);
        let message = Message::Item((RequestHeadType::from(head), size));
        codec.encode(message, &mut bytes).map_err(|_| error::Error::Unsendable("head"))?;
        self.interim_responses = 0;
        let early_head = self.write(&mut codec, bytes.chain(body)).await?;
        self.responded_early |= early_head.is_some();
        self.stage = Stage::Head(codec, early_head);
        Ok(())
    }

    /// Writes a request until the server responds, and returns the head of an early response: a server
    /// that responds early may never read the rest, and waiting for it would delay the response.
    async fn write(
        &mut self,
        codec: &mut ClientCodec,
        bytes: impl Buf,
    ) -> Result<Option<ResponseHead>, error::Error> {
        let (mut reader, mut writer) = self.stream.split();
        let writing = write_all(&mut writer, bytes, self.write_timeout);
        tokio::pin!(writing);
        loop {
            tokio::select! {
                biased;
                written = &mut writing => return written.map(|()| None),
                read = reader.read_buf(&mut self.buffer) => {
                    if matches!(read, Ok(0) | Err(_)) {
                        return Err(error::Error::ConnectionLost);
                    }
                }
            }
            let head = decode_final(codec, &mut self.buffer, &mut self.interim_responses)?;
            if head.is_some() {
                return Ok(head);
            }
        }
    }

    /// Reads the head of the response; interim responses before it are dropped.
    pub async fn read_head(&mut self) -> Result<Head, error::Error> {
        loop {
            if let Some(head) = self.decode_head()? {
                return Ok(head);
            }
            self.fill_buffer().await?;
        }
    }

    /// Whether the body has neither a length nor chunks and ends with the connection.
    pub fn is_unframed(&self) -> bool {
        matches!(self.stage, Stage::UntilClosed | Stage::Closed)
    }

    /// Reads the next part of the body; `None` when the response is complete.
    pub async fn read_part(&mut self) -> Result<Option<Bytes>, error::Error> {
        loop {
            if let Some(part) = self.buffered_part()? {
                return Ok(Some(part));
            }
            match self.stage {
                Stage::Idle(_) | Stage::Closed => return Ok(None),
                Stage::UntilClosed => self.fill_until_closed().await?,
                Stage::Body(_) => self.fill_buffer().await?,
                Stage::Head(..) | Stage::Failed => return Err(error::Error::ConnectionLost),
            }
        }
    }

    /// Returns the next part of the body that is already in the buffer; `None` if there is none, or
    /// the response is complete. It allows parts that arrived together to be forwarded together.
    pub fn buffered_part(&mut self) -> Result<Option<Bytes>, error::Error> {
        if matches!(self.stage, Stage::UntilClosed | Stage::Closed) {
            let part = self.buffer.split().freeze();
            return Ok((!part.is_empty()).then_some(part));
        }
        let Stage::Body(codec) = &mut self.stage else { return Ok(None) };
        match codec.decode(&mut self.buffer).map_err(malformed_payload)? {
            Some(Some(part)) => {
                self.body_bytes += part.len();
                Ok(Some(part))
            }
            Some(None) => {
                self.end_body();
                Ok(None)
            }
            None => Ok(None),
        }
    }

    /// Reads the rest of the body; fails if the body is truncated.
    pub async fn read_rest(&mut self) -> Result<Bytes, error::Error> {
        self.read_rest_up_to(usize::MAX).await
    }

    /// Reads the rest of the body; fails if the body is truncated or longer than `max_bytes`.
    pub async fn read_rest_up_to(&mut self, max_bytes: usize) -> Result<Bytes, error::Error> {
        let mut rest = BytesMut::new();
        while let Some(part) = self.read_part().await? {
            if part.len() > max_bytes - rest.len() {
                self.stage = Stage::Failed;
                return Err(error::Error::TooLong(max_bytes));
            }
            rest.extend_from_slice(&part);
        }
        Ok(rest.freeze())
    }

    async fn fill_buffer(&mut self) -> Result<(), error::Error> {
        let space = self.buffer.capacity() - self.buffer.len();
        if self.body_bytes > SMALL_BODY_BYTES && space < READ_BYTES / 2 {
            self.buffer.reserve(READ_BYTES);
        }
        let read = self.stream.read_buf(&mut self.buffer).await;
        if matches!(read, Ok(0) | Err(_)) {
            self.stage = Stage::Failed;
            return Err(error::Error::ConnectionLost);
        }
        Ok(())
    }

    /// Reads more of a body that ends when the connection is closed. A reset is an error.
    async fn fill_until_closed(&mut self) -> Result<(), error::Error> {
        match self.stream.read_buf(&mut self.buffer).await {
            Ok(0) => self.stage = Stage::Closed,
            Ok(_) => {}
            Err(_) => {
                self.stage = Stage::Failed;
                return Err(error::Error::ConnectionLost);
            }
        }
        Ok(())
    }

    fn decode_head(&mut self) -> Result<Option<Head>, error::Error> {
        let Stage::Head(codec, early_head) = &mut self.stage else {
            return Err(error::Error::ConnectionLost);
        };
        let head = match early_head.take() {
            Some(head) => Some(head),
            None => decode_final(codec, &mut self.buffer, &mut self.interim_responses)?,
        };
        let Some(head) = head else { return Ok(None) };
        self.begin_body(&head)?;
        Ok(Some(convert_head(&head)))
    }

    fn begin_body(&mut self, head: &ResponseHead) -> Result<(), error::Error> {
        let Stage::Head(codec, _) = std::mem::replace(&mut self.stage, Stage::Failed) else {
            return Err(error::Error::ConnectionLost);
        };
        self.body_bytes = 0;
        let has_no_body = self.is_head_request
            || head.status == StatusCode::NO_CONTENT
            || head.status == StatusCode::NOT_MODIFIED;
        self.stage = match codec.message_type() {
            MessageType::None if has_no_body => Stage::Idle(codec),
            // The codec expects a body, so another one ends the exchange, whose connection is not reused.
            MessageType::Payload if has_no_body => Stage::Idle(ClientCodec::default()),
            MessageType::Payload => Stage::Body(codec.into_payload_codec()),
            MessageType::None if is_empty(head) => Stage::Idle(codec),
            // The codec drops a body beside an offer to switch to WebSocket.
            MessageType::None if head.headers.contains_key(header::CONTENT_LENGTH) => {
                let cause = "a length beside an upgrade that was not asked for";
                return Err(error::Error::Malformed(cause.to_owned()));
            }
            MessageType::None if self.allows_unframed => Stage::UntilClosed,
            MessageType::None | MessageType::Stream => return Err(error::Error::Unframed),
        };
        Ok(())
    }

    fn end_body(&mut self) {
        // An idle connection keeps no large buffer.
        if self.body_bytes > SMALL_BODY_BYTES && self.buffer.is_empty() {
            self.buffer = BytesMut::new();
        }
        self.stage = match std::mem::replace(&mut self.stage, Stage::Failed) {
            Stage::Body(codec) => Stage::Idle(codec.into_message_codec()),
            other => other,
        };
    }
}

/// Decodes the head of a final response; drops interim responses and counts them.
fn decode_final(
    codec: &mut ClientCodec,
    buffer: &mut BytesMut,
    interim_responses: &mut u32,
) -> Result<Option<ResponseHead>, error::Error> {
    loop {
        let decoded = codec.decode(buffer);
        let head = decoded.map_err(|error| error::Error::Malformed(error.to_string()))?;
        let head = match head {
            Some(head) if head.status.is_informational() => head,
            Some(head) if head.status.as_u16() > MAX_STATUS => {
                return Err(error::Error::Malformed(format!("status {}", head.status.as_u16())));
            }
            head => return Ok(head),
        };
        *interim_responses += 1;
        // No request asks for a switch of protocols.
        if head.status == StatusCode::SWITCHING_PROTOCOLS
            || *interim_responses > MAX_INTERIM_RESPONSES
        {
            return Err(error::Error::Malformed(format!(
                "status {} instead of a final one",
                head.status
            )));
        }
    }
}

/// Writes all bytes without joining them into one buffer; fails if none is accepted within
/// `timeout`.
async fn write_all(
    writer: &mut (impl AsyncWriteExt + Unpin),
    mut bytes: impl Buf,
    timeout: Option<Duration>,
) -> Result<(), error::Error> {
    while bytes.has_remaining() {
        let writing = writer.write_buf(&mut bytes);
        let written = match timeout {
            Some(timeout) => {
                time::timeout(timeout, writing).await.map_err(|_| error::Error::NotRead)?
            }
            None => writing.await,
        };
        if !matches!(written, Ok(1..)) {
            return Err(error::Error::ConnectionLost);
        }
    }
    Ok(())
}

/// Whether the head of a response states that its body is empty.
fn is_empty(head: &ResponseHead) -> bool {
    let length = head.headers.get(header::CONTENT_LENGTH);
    length.and_then(|it| it.to_str().ok()?.trim().parse::<u64>().ok()) == Some(0)
}

fn encode_head(
    request: &Request<'_>,
    address: net::SocketAddr,
) -> Result<RequestHead, error::Error> {
    let mut head = RequestHead::default();
    head.method = Method::from_bytes(request.method.as_bytes())
        .map_err(|_| error::Error::Unsendable("method"))?;
    head.uri = request.path.parse::<Uri>().map_err(|_| error::Error::Unsendable("path"))?;
    for (name, value) in request.headers {
        let name = HeaderName::from_bytes(name.as_bytes());
        let name = name.map_err(|_| error::Error::Unsendable("header name"))?;
        let value = HeaderValue::from_str(value);
        let value = value.map_err(|_| error::Error::Unsendable("header value"))?;
        head.headers.append(name, value);
    }
    if !head.headers.contains_key(header::HOST) {
        let host = HeaderValue::from_str(&address.to_string());
        head.headers.insert(header::HOST, host.map_err(|_| error::Error::Unsendable("address"))?);
    }
    Ok(head)
}

fn convert_head(head: &ResponseHead) -> Head {
    // Chunks override a length, by which the body must not be framed then.
    let encoding = head.headers.get(header::TRANSFER_ENCODING).and_then(|it| it.to_str().ok());
    let is_chunked = head.version == Version::HTTP_11
        && encoding.is_some_and(|it| it.trim().eq_ignore_ascii_case("chunked"));
    let text = head.headers.iter().filter_map(|(name, value)| {
        if is_chunked && name == header::CONTENT_LENGTH {
            return None;
        }
        Some((name.as_str().to_owned(), value.to_str().ok()?.to_owned()))
    });
    Head { status: head.status.as_u16(), headers: text.collect() }
}

fn malformed_payload(error: PayloadError) -> error::Error {
    error::Error::Malformed(error.to_string())
}
