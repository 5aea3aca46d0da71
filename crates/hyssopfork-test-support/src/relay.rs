//! A TCP relay that cuts, delays, holds back or silently forgets connections.

use std::sync::Arc;
use std::time::Duration;
use std::{io, net, thread};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{oneshot, watch};

/// Bytes passed on at once.
const CHUNK_BYTES: usize = 16 * 1024;

/// What the relay does now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Mode {
    /// Connections numbered below this are closed.
    closed_below: u64,
    /// Connections numbered below this pass nothing on for good, and stay open.
    blackholed_below: u64,
    /// Whether bytes are held back, on all connections; they go on when healed.
    is_paused: bool,
    /// Time by which each chunk is late.
    delay: Duration,
    /// Connections accepted so far.
    accepted_count: u64,
}

impl Mode {
    /// Whether a connection has been forgotten or cut.
    fn is_disconnected(&self, number: u64) -> bool {
        number < self.blackholed_below || number < self.closed_below
    }
}

/// A relay to one target; stops when dropped.
pub struct Relay {
    address: net::SocketAddr,
    mode: Arc<watch::Sender<Mode>>,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Relay {
    /// Starts a relay to `target` on a free loopback port.
    pub fn start(target: net::SocketAddr) -> io::Result<Relay> {
        let listener = net::TcpListener::bind((net::Ipv4Addr::LOCALHOST, 0))?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let mode = Arc::new(watch::Sender::new(Mode::default()));
        let (stop, stopped) = oneshot::channel();
        let shared = mode.clone();
        let thread = thread::spawn(move || {
            actix_rt::System::new().block_on(async move {
                tokio::select! {
                    _ = accept(listener, target, shared) => {}
                    _ = stopped => {}
                }
            });
        });
        Ok(Relay { address, mode, stop: Some(stop), thread: Some(thread) })
    }

    /// Where it listens.
    pub fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Closes every open connection; new ones work.
    pub fn close_connections(&self) {
        self.mode.send_modify(|mode| mode.closed_below = mode.accepted_count);
    }

    /// Passes nothing more on over the connections that are open now, for good and without closing
    /// them, as when something between the two ends has lost track of them; new ones work.
    pub fn blackhole_connections(&self) {
        self.mode.send_modify(|mode| mode.blackholed_below = mode.accepted_count);
    }

    /// Holds all bytes back, on new connections too, until [`Relay::heal`].
    pub fn pause(&self) {
        self.mode.send_modify(|mode| mode.is_paused = true);
    }

    /// Makes each chunk late by `time`.
    pub fn delay(&self, time: Duration) {
        self.mode.send_modify(|mode| mode.delay = time);
    }

    /// Ends silence and delay. What was cut or forgotten stays so.
    pub fn heal(&self) {
        self.mode.send_modify(|mode| {
            mode.is_paused = false;
            mode.delay = Duration::ZERO;
        });
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        if let Some(stop) = self.stop.take() {
            stop.send(()).ok();
        }
        if let Some(thread) = self.thread.take() {
            thread.join().ok();
        }
    }
}

async fn accept(
    listener: net::TcpListener,
    target: net::SocketAddr,
    mode: Arc<watch::Sender<Mode>>,
) {
    let Ok(listener) = TcpListener::from_std(listener) else { return };
    while let Ok((client, _)) = listener.accept().await {
        let mut number = 0;
        mode.send_modify(|mode| {
            number = mode.accepted_count;
            mode.accepted_count += 1;
        });
        actix_rt::spawn(relay_connection(client, target, number, mode.subscribe()));
    }
}

async fn relay_connection(
    client: TcpStream,
    target: net::SocketAddr,
    number: u64,
    mut mode: watch::Receiver<Mode>,
) {
    let Ok(server) = TcpStream::connect(target).await else { return };
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    let to_server = forward(client_read, server_write, number, mode.clone());
    let to_client = forward(server_read, client_write, number, mode.clone());
    tokio::select! {
        _ = async { tokio::join!(to_server, to_client) } => {}
        _ = mode.wait_for(|mode| number < mode.closed_below) => {}
    }
}

async fn forward<R, W>(mut from: R, mut to: W, number: u64, mut mode: watch::Receiver<Mode>)
where
    R: AsyncReadExt + Unpin,
    W: AsyncWriteExt + Unpin,
{
    let mut buffer = vec![0; CHUNK_BYTES];
    loop {
        let length = from.read(&mut buffer).await.unwrap_or(0);
        let delay = mode.borrow().delay;
        if !delay.is_zero() {
            actix_rt::time::sleep(delay).await;
        }
        if mode.wait_for(|mode| !mode.is_paused).await.is_err() {
            return;
        }
        if mode.borrow().is_disconnected(number) {
            // Neither bytes nor the end of the connection are passed on any more. A cut shows here
            // as well, since the closing runs beside this loop and a chunk could slip through.
            std::future::pending::<()>().await;
        }
        if length == 0 {
            to.shutdown().await.ok();
            return;
        }
        if to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}
