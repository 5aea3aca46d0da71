//! The answer of one attempt, kept so that an entry can read it on more than one connection.

use bytes::{Bytes, BytesMut};
use futures::{Stream, stream};
use hyssopfork_wire::{frame, refusal, timing};
use std::convert::Infallible;
use std::pin;
use std::sync::{Arc, Mutex, MutexGuard};
use tokio::sync::Notify;

/// Longest answer that an agent keeps, in bytes; a longer one fails.
pub const LENGTH_LIMIT: usize = 64 << 20;

/// Answer of one attempt: written by one task, read by any number of connections.
#[derive(Debug, Default)]
pub struct Answer {
    parts: Mutex<Parts>,
    changed: Notify,
}

/// Invariant: once `end` is set nothing changes any more.
#[derive(Debug, Default)]
struct Parts {
    load: Option<frame::Load>,
    started: bool,
    head: Option<frame::Head>,
    data: BytesMut,
    end: Option<End>,
}

#[derive(Clone, Copy, Debug)]
enum End {
    Whole(frame::End),
    Refused(refusal::Refusal),
}

/// How far one connection has read.
#[derive(Debug, Default)]
struct Cursor {
    load: bool,
    started: bool,
    head: bool,
    offset: usize,
    ended: bool,
}

impl Answer {
    fn lock(&self) -> MutexGuard<'_, Parts> {
        self.parts.lock().expect("no holder of this lock panics")
    }

    fn change(&self, change: impl FnOnce(&mut Parts)) {
        let mut parts = self.lock();
        if parts.end.is_none() {
            change(&mut parts);
        }
        drop(parts);
        self.changed.notify_waiters();
    }

    /// Tells the load ahead of everything else.
    pub fn load(&self, load: frame::Load) {
        self.change(|parts| parts.load = Some(load));
    }

    /// The request is about to be written to the upstream.
    pub fn started(&self) {
        self.change(|parts| parts.started = true);
    }

    /// The upstream's head came.
    pub fn head(&self, head: frame::Head) {
        self.change(|parts| parts.head = Some(head));
    }

    /// A part of the body came; whether it still fits.
    pub fn data(&self, data: &[u8]) -> bool {
        if self.lock().data.len() + data.len() > LENGTH_LIMIT {
            return false;
        }
        self.change(|parts| parts.data.extend_from_slice(data));
        true
    }

    /// The answer is whole.
    pub fn end(&self) {
        self.change(|parts| {
            let length = parts.data.len() as u64;
            let checksum = crc32fast::hash(&parts.data);
            parts.end = Some(End::Whole(frame::End { length, checksum }));
        });
    }

    /// The attempt ends with a refusal, unless it has ended before.
    pub fn refuse(&self, refusal: refusal::Refusal) {
        self.change(|parts| parts.end = Some(End::Refused(refusal)));
    }

    /// Whether nothing more will come.
    pub fn has_ended(&self) -> bool {
        self.lock().end.is_some()
    }
}

/// Frames of an answer from byte `offset` of its data on, encoded for the connection, with a keep
/// alive whenever there is nothing else to say for a while.
pub fn read(
    answer: Arc<Answer>,
    offset: usize,
) -> impl Stream<Item = Result<Bytes, Infallible>> + 'static {
    let cursor = Cursor { offset, ..Cursor::default() };
    stream::unfold((answer, cursor), |(answer, mut cursor)| async move {
        if cursor.ended {
            return None;
        }
        let encoded = answer.next(&mut cursor).await;
        Some((Ok(encoded), (answer, cursor)))
    })
}

impl Answer {
    /// What is new for this cursor, or a keep alive when nothing is for a while.
    async fn next(&self, cursor: &mut Cursor) -> Bytes {
        loop {
            let mut changed = pin::pin!(self.changed.notified());
            // Enabled before the look, so that a change between look and wait wakes the wait.
            changed.as_mut().enable();
            let encoded = cursor.take(&self.lock());
            if !encoded.is_empty() {
                return encoded;
            }
            if tokio::time::timeout(timing::KEEP_ALIVE_INTERVAL, changed).await.is_err() {
                let mut buffer = BytesMut::new();
                frame::encode(&frame::Frame::KeepAlive, &mut buffer);
                return buffer.freeze();
            }
        }
    }
}

impl Cursor {
    /// Encodes what is new since the last call.
    fn take(&mut self, parts: &Parts) -> Bytes {
        let mut buffer = BytesMut::new();
        if let (false, Some(load)) = (self.load, parts.load) {
            self.load = true;
            frame::encode(&frame::Frame::Load(load), &mut buffer);
        }
        if !self.started && parts.started {
            self.started = true;
            frame::encode(&frame::Frame::Started, &mut buffer);
        }
        if let (false, Some(head)) = (self.head, &parts.head) {
            self.head = true;
            frame::encode(&frame::Frame::Head(head.clone()), &mut buffer);
        }
        self.take_data(&parts.data, &mut buffer);
        if let Some(end) = parts.end {
            self.ended = true;
            frame::encode(&end.frame(), &mut buffer);
        }
        buffer.freeze()
    }

    fn take_data(&mut self, data: &[u8], buffer: &mut BytesMut) {
        let Some(fresh) = data.get(self.offset..) else { return };
        for chunk in fresh.chunks(frame::MAX_PAYLOAD_BYTES) {
            frame::encode(&frame::Frame::Data(Bytes::copy_from_slice(chunk)), buffer);
        }
        self.offset = data.len();
    }
}

impl End {
    fn frame(self) -> frame::Frame {
        match self {
            End::Whole(end) => frame::Frame::End(end),
            End::Refused(refusal) => frame::Frame::Refused(refusal),
        }
    }
}
