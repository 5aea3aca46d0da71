//! TCP relay that injects network faults: closed, delayed, paused and blackholed connections.

use std::sync::Arc;
use std::time::Duration;
use std::{io, net, thread};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{oneshot, watch};

/// Maximum number of bytes forwarded at once.
const CHUNK_BYTES: usize = 16 * 1024;

/// Faults in effect and the number of connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct State {
    /// Connections with lower numbers are closed.
    closed_below: u64,
    /// Connections with lower numbers stay open but never forward anything again.
    blackholed_below: u64,
    /// Whether all connections hold bytes back; they are forwarded when healed.
    is_paused: bool,
    /// Delay of each chunk.
    delay: Duration,
    /// Number of connections accepted so far.
    accepted_count: u64,
}

impl State {
    /// Returns whether a connection has been blackholed or closed.
    fn is_cut_off(&self, number: u64) -> bool {
        number < self.blackholed_below || number < self.closed_below
    }
}

/// A relay to one target; stops when dropped.
pub struct Relay {
    address: net::SocketAddr,
    state: Arc<watch::Sender<State>>,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Relay {
    /// Starts a relay to `target` on a free loopback port.
    pub fn start(target: net::SocketAddr) -> io::Result<Relay> {
        let listener = net::TcpListener::bind((net::Ipv4Addr::LOCALHOST, 0))?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let state = Arc::new(watch::Sender::new(State::default()));
        let (stop, stopped) = oneshot::channel();
        let shared = state.clone();
        let thread = thread::spawn(move || {
            actix_rt::System::new().block_on(async move {
                tokio::select! {
                    _ = accept(listener, target, shared) => {}
                    _ = stopped => {}
                }
            });
        });
        Ok(Relay { address, state, stop: Some(stop), thread: Some(thread) })
    }

    /// Returns the listen address.
    pub fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Closes all open connections; new connections work.
    pub fn close_connections(&self) {
        self.state.send_modify(|state| state.closed_below = state.accepted_count);
    }

    /// Drops all further traffic of the open connections without closing them, as a firewall or NAT
    /// that has lost its connection state does; new connections work.
    pub fn blackhole_connections(&self) {
        self.state.send_modify(|state| state.blackholed_below = state.accepted_count);
    }

    /// Holds back all bytes, also those of new connections, until [`Relay::heal`].
    pub fn pause(&self) {
        self.state.send_modify(|state| state.is_paused = true);
    }

    /// Delays each chunk by `time`.
    pub fn delay(&self, time: Duration) {
        self.state.send_modify(|state| state.delay = time);
    }

    /// Ends pause and delay. Connections that were closed or blackholed stay so.
    pub fn heal(&self) {
        self.state.send_modify(|state| {
            state.is_paused = false;
            state.delay = Duration::ZERO;
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
    state: Arc<watch::Sender<State>>,
) {
    let Ok(listener) = TcpListener::from_std(listener) else { return };
    while let Ok((client, _)) = listener.accept().await {
        let mut number = 0;
        state.send_modify(|state| {
            number = state.accepted_count;
            state.accepted_count += 1;
        });
        actix_rt::spawn(relay_connection(client, target, number, state.subscribe()));
    }
}

async fn relay_connection(
    client: TcpStream,
    target: net::SocketAddr,
    number: u64,
    mut state: watch::Receiver<State>,
) {
    let Ok(server) = TcpStream::connect(target).await else { return };
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    let to_server = forward(client_read, server_write, number, state.clone());
    let to_client = forward(server_read, client_write, number, state.clone());
    tokio::select! {
        _ = async { tokio::join!(to_server, to_client) } => {}
        _ = state.wait_for(|state| number < state.closed_below) => {}
    }
}

async fn forward<R, W>(mut from: R, mut to: W, number: u64, mut state: watch::Receiver<State>)
where
    R: AsyncReadExt + Unpin,
    W: AsyncWriteExt + Unpin,
{
    let mut buffer = vec![0; CHUNK_BYTES];
    loop {
        let length = from.read(&mut buffer).await.unwrap_or(0);
        let delay = state.borrow().delay;
        if !delay.is_zero() {
            actix_rt::time::sleep(delay).await;
        }
        if state.wait_for(|state| !state.is_paused).await.is_err() {
            return;
        }
        if state.borrow().is_cut_off(number) {
            // Neither bytes nor the end of the connection are forwarded any more. Closed connections
            // are checked here as well: they are closed concurrently with this loop, which could
            // otherwise forward one more chunk.
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
