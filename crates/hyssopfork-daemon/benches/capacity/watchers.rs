//! Holders of leases by the hundred, each on a connection of its own whose bytes are counted.

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

/// Answers are waited for this long.
const TIMEOUT: Duration = Duration::from_secs(10);

/// What all watchers see together.
#[derive(Default)]
pub struct Tally {
    /// Bytes read and written on all connections, without the headers of TCP and IP.
    pub bytes: AtomicU64,
    /// Renewals answered with a lease.
    pub granted: AtomicU64,
    /// When each watcher first saw each version that it saw.
    pub seen: Mutex<Vec<(number::Version, Instant)>>,
}

/// A stream that counts what passes.
struct Counting {
    stream: TcpStream,
    tally: Arc<Tally>,
}

impl Counting {
    fn add(&self, bytes: usize) {
        self.tally.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }
}

impl AsyncRead for Counting {
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

impl AsyncWrite for Counting {
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

/// Opens watcher number `number`, which goes on until the program ends.
pub fn open(number: u16, leader: SocketAddr, tally: Arc<Tally>) {
    actix_rt::spawn(async move {
        let stream = TcpStream::connect(leader).await.expect("the leader listens");
        stream.set_nodelay(true).expect("a socket takes its options");
        let counting = Counting { stream, tally: tally.clone() };
        let framed = Framed::new(counting, LengthDelimitedCodec::new());
        let transport = serde_transport::new(framed, tokio_serde::formats::Bincode::default());
        let client = control::ControlClient::new(client::Config::default(), transport).spawn();
        let version = Rc::new(Cell::new(number::Version::default()));
        actix_rt::spawn(watch(number, client.clone(), version.clone(), tally.clone()));
        renew(client, number, version, tally).await;
    });
}

async fn renew(
    client: control::ControlClient,
    number: u16,
    version: Rc<Cell<number::Version>>,
    tally: Arc<Tally>,
) {
    let mut announcement = fixture::announcement("zone-a", "domain-x", number);
    announcement.instance = format!("probe-{number}").as_str().into();
    announcement.pool = "probes".into();
    let report = fleet::Report { alive: true, warm: true, ..fleet::Report::default() };
    loop {
        let holder = control::Holder::Agent(Box::new(announcement.clone()), report.clone());
        let renewal = control::Renewal { holder, version: version.get(), leaving: false };
        let response = call(&client, control::Request::Renew(renewal)).await;
        if let Some(control::Response::Granted(grant)) = response {
            tally.granted.fetch_add(1, Ordering::Relaxed);
            take(&version, &grant.update, &tally);
        }
        actix_rt::time::sleep(timing::RENEWAL_INTERVAL).await;
    }
}

async fn watch(
    number: u16,
    client: control::ControlClient,
    version: Rc<Cell<number::Version>>,
    tally: Arc<Tally>,
) {
    loop {
        let instance = format!("probe-{number}").as_str().into();
        match call(&client, control::Request::Follow(version.get(), instance)).await {
            Some(control::Response::Updated(update)) => take(&version, &update, &tally),
            _ => actix_rt::time::sleep(timing::RENEWAL_INTERVAL).await,
        }
    }
}

async fn call(
    client: &control::ControlClient,
    request: control::Request,
) -> Option<control::Response> {
    let mut context = context::current();
    context.deadline = time::Instant::now() + TIMEOUT;
    client.call(context, envelope::Envelope::new(request)).await.ok()
}

fn take(version: &Cell<number::Version>, update: &change::Update, tally: &Tally) {
    let updated = match update {
        change::Update::Current => return,
        change::Update::Steps(steps) => steps.last().map_or(version.get(), |step| step.version),
        change::Update::Whole(view) => view.version,
    };
    if updated > version.get() {
        version.set(updated);
        tally.seen.lock().expect("no holder panics").push((updated, Instant::now()));
    }
}
