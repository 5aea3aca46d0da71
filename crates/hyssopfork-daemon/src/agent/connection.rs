//! One connection to the upstream, for one request.
//!
//! The client library hands out a body that was cut as if it were whole: when the upstream dies in
//! the middle of an answer, its caller would get a part with a clean end. Here the same library's
//! codec is used directly, so that the end of the body's own framing is seen, or missed. It also
//! lets the agent ask its core once more between opening the connection and the first byte.

use actix_codec::Framed;
use actix_http::body::BodySize;
use actix_http::h1::{ClientCodec, ClientPayloadCodec, Message, MessageType};
use actix_http::{RequestHead, RequestHeadType, ResponseHead};
use actix_rt::net::TcpStream;
use bytes::Bytes;
use futures::{SinkExt, StreamExt};
use quick_error::quick_error;
use std::net;
use std::time::Duration;

/// Time in which a connection to the back end on the same instance must open.
const CONNECT_LIMIT: Duration = Duration::from_millis(500);

quick_error! {
    /// Why no whole answer came.
    #[derive(Debug, PartialEq, Eq)]
    pub enum Error {
        /// No connection could be opened: no byte was sent.
        Unreachable {
            display("the upstream takes no connection; see whether its process runs")
        }
        /// The connection ended or broke its framing after bytes were sent.
        Broken {
            display("the upstream's answer broke off; see its log")
        }
    }
}

/// An open connection on which nothing was sent.
pub struct Connection(Framed<TcpStream, ClientCodec>);

/// An answer whose head has come.
pub struct Incoming {
    /// Status and headers.
    pub head: ResponseHead,
    body: Option<Framed<TcpStream, ClientPayloadCodec>>,
}

impl Connection {
    /// Opens a connection.
    pub async fn open(upstream: net::SocketAddr) -> Result<Connection, Error> {
        let connecting = actix_rt::time::timeout(CONNECT_LIMIT, TcpStream::connect(upstream));
        match connecting.await {
            Ok(Ok(stream)) => {
                // A delay of small parts would show in the time between tokens.
                let _best_effort = stream.set_nodelay(true);
                Ok(Connection(Framed::new(stream, ClientCodec::default())))
            }
            Ok(Err(_)) | Err(_) => Err(Error::Unreachable),
        }
    }

    /// Sends a request and waits for the answer's head.
    pub async fn send(mut self, head: RequestHead, body: Bytes) -> Result<Incoming, Error> {
        let size = BodySize::Sized(body.len() as u64);
        let head = RequestHeadType::Owned(head);
        self.0.send(Message::Item((head, size))).await.map_err(broken)?;
        if !body.is_empty() {
            self.0.send(Message::Chunk(Some(body))).await.map_err(broken)?;
            self.0.send(Message::Chunk(None)).await.map_err(broken)?;
        }
        let head = match self.0.next().await {
            Some(Ok(head)) => head,
            Some(Err(_)) | None => return Err(Error::Broken),
        };
        let body = match self.0.codec_ref().message_type() {
            MessageType::None => None,
            MessageType::Payload => Some(self.0.into_map_codec(ClientCodec::into_payload_codec)),
            // Such a body ends with its connection: it could be cut anywhere and look whole.
            MessageType::Stream => return Err(Error::Broken),
        };
        Ok(Incoming { head, body })
    }
}

impl Incoming {
    /// The body's next part; `None` once its own framing has ended it.
    pub async fn next(&mut self) -> Result<Option<Bytes>, Error> {
        let Some(body) = &mut self.body else { return Ok(None) };
        match body.next().await {
            Some(Ok(part)) => Ok(part),
            Some(Err(_)) | None => Err(Error::Broken),
        }
    }
}

fn broken<E>(_cause: E) -> Error {
    Error::Broken
}
