//! Hundreds of lease holders, each on its own connection whose bytes are counted.

use hyssopfork_test_support::fixture;
use hyssopfork_wire::{change, control, envelope, fleet, number, timing};
use std::cell::Cell;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};
use std::{io, time};
use tarpc::{client, context, serde_transport, tokio_serde};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

/// Timeout of calls.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Totals over all watchers.
#[derive(Default)]
pub struct Tally {
    /// Bytes read and written on all connections, without the headers of TCP and IP.
    pub bytes: AtomicU64,
    /// Granted renewals.
    pub granted: AtomicU64,
    /// Time at which each watcher first received each version.
    pub seen: Mutex<Vec<(number::Version, Instant)>>,
}

/// A stream that counts the bytes read and written.
struct CountingStream {
    stream: TcpStream,
    tally: Arc<Tally>,
}

impl CountingStream {
    fn add(&self, bytes: usize) {
        self.tally.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }
}

impl AsyncRead for CountingStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        self.add(buffer.filled().len() - before);
        polled
    }
}

impl AsyncWrite for CountingStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(context, bytes);
        if let Poll::Ready(Ok(written)) = polled {
            self.add(written);
        }
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

/// Starts watcher number `number`, which runs until the program exits.
pub fn start(number: u16, leader: SocketAddr, tally: Arc<Tally>) {
    actix_rt::spawn(async move {
        let stream = TcpStream::connect(leader).await.expect("the leader listens");
        stream.set_nodelay(true).expect("a socket takes its options");
        let counting = CountingStream { stream, tally: tally.clone() };
        let framed = Framed::new(counting, LengthDelimitedCodec::new());
        let transport = serde_transport::new(framed, tokio_serde::formats::Bincode::default());
        let client = control::ControlClient::new(client::Config::default(), transport).spawn();
        let current = Rc::new(Cell::new(number::Version::default()));
        actix_rt::spawn(watch(number, client.clone(), current.clone(), tally.clone()));
        renew(client, number, current, tally).await;
    });
}

async fn renew(
    client: control::ControlClient,
    number: u16,
    current: Rc<Cell<number::Version>>,
    tally: Arc<Tally>,
) {
    let mut announcement = fixture::announcement("zone-a", "domain-x", number);
    announcement.instance = format!("probe-{number}").as_str().into();
    announcement.pool = "probes".into();
    let report = fleet::Report { alive: true, warm: true, ..fleet::Report::default() };
    loop {
        let holder = control::Holder::Agent(Box::new(announcement.clone()), report.clone());
        let renewal = control::Renewal { holder, version: current.get(), leaving: false };
        let response = call(&client, control::Request::Renew(renewal)).await;
        if let Some(control::Response::Granted(grant)) = response {
            tally.granted.fetch_add(1, Ordering::Relaxed);
            record_version(&current, &grant.update, &tally);
        }
        actix_rt::time::sleep(timing::RENEWAL_INTERVAL).await;
    }
}

async fn watch(
    number: u16,
    client: control::ControlClient,
    current: Rc<Cell<number::Version>>,
    tally: Arc<Tally>,
) {
    loop {
        let instance = format!("probe-{number}").as_str().into();
        match call(&client, control::Request::Follow(current.get(), instance)).await {
            Some(control::Response::Updated(update)) => record_version(&current, &update, &tally),
            _ => actix_rt::time::sleep(timing::RENEWAL_INTERVAL).await,
        }
    }
}

async fn call(
    client: &control::ControlClient,
    request: control::Request,
) -> Option<control::Response> {
    let mut context = context::current();
    context.deadline = time::Instant::now() + CALL_TIMEOUT;
    client.call(context, envelope::Envelope::new(request)).await.ok()
}

fn record_version(current: &Cell<number::Version>, update: &change::Update, tally: &Tally) {
    let version = match update {
        change::Update::Current => return,
        change::Update::Steps(steps) => steps.last().map_or(current.get(), |step| step.version),
        change::Update::Whole(view) => view.version,
    };
    if version > current.get() {
        current.set(version);
        tally.seen.lock().expect("no holder panics").push((version, Instant::now()));
    }
}
