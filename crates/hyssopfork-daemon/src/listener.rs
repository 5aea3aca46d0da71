//! Listening sockets, and tarpc servers on them.

use futures::{Stream, StreamExt, future};
use quick_error::quick_error;
use std::future::Future;
use std::{io, net};
use tarpc::server::{self, Channel};
use tarpc::{ClientMessage, Response, serde_transport, tokio_serde};

/// Longest message between processes of the system; a complete view of the largest fleet fits.
pub const MAX_MESSAGE_BYTES: usize = 64 << 20;

quick_error! {
    /// Why listening failed.
    #[derive(Debug)]
    pub enum Error {
        /// The socket can't be bound.
        Bind(what: &'static str, address: net::SocketAddr, cause: io::Error) {
            source(cause)
            display(
                "cannot listen on {} for {}: {}; choose a free address of this instance in the settings",
                address,
                what,
                cause
            )
        }
    }
}

/// Binds a listening socket.
pub fn bind(what: &'static str, address: net::SocketAddr) -> Result<net::TcpListener, Error> {
    let failed = |cause| Error::Bind(what, address, cause);
    let listener = net::TcpListener::bind(address).map_err(failed)?;
    listener.set_nonblocking(true).map_err(failed)?;
    Ok(listener)
}

/// Binds a datagram socket.
pub fn bind_datagrams(
    what: &'static str,
    address: net::SocketAddr,
) -> Result<net::UdpSocket, Error> {
    let failed = |cause| Error::Bind(what, address, cause);
    let socket = net::UdpSocket::bind(address).map_err(failed)?;
    socket.set_nonblocking(true).map_err(failed)?;
    Ok(socket)
}

/// Serves every connection of a tarpc listener on this thread until the process ends.
pub async fn serve<Request, Reply, Serve>(
    what: &'static str,
    address: net::SocketAddr,
    serve: Serve,
) -> Result<(), Error>
where
    Request: tarpc::RequestName + serde::de::DeserializeOwned + Send + 'static,
    Reply: serde::Serialize + Send + 'static,
    Serve: server::Serve<Req = Request, Resp = Reply> + Clone + 'static,
{
    let mut incoming = serde_transport::tcp::listen(
        address,
        tokio_serde::formats::Bincode::<ClientMessage<Request>, Response<Reply>>::default,
    )
    .await
    .map_err(|cause| Error::Bind(what, address, cause))?;
    incoming.config_mut().max_frame_length(MAX_MESSAGE_BYTES);
    actix_rt::spawn(async move {
        while let Some(accepted) = incoming.next().await {
            let Ok(transport) = accepted else { continue };
            let channel = server::BaseChannel::with_defaults(transport);
            actix_rt::spawn(spawn_requests(channel.execute(serve.clone())));
        }
    });
    Ok(())
}

async fn spawn_requests<Handling>(requests: impl Stream<Item = Handling>)
where
    Handling: Future<Output = ()> + 'static,
{
    requests
        .for_each(|handling| {
            actix_rt::spawn(handling);
            future::ready(())
        })
        .await;
}
