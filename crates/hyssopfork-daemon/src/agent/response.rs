//! The buffered response of one attempt, which an entry can read over several connections.

use bytes::{Bytes, BytesMut};
use futures::{Stream, stream};
use hyssopfork_wire::{frame, refusal, timing};
use std::convert::Infallible;
use std::pin;
use std::sync::{Arc, Mutex, MutexGuard};
use tokio::sync::Notify;

/// Longest response body that an agent buffers; a longer one fails.
pub const MAX_BODY_BYTES: usize = 64 << 20;

/// The response of one attempt: written by one task, read by any number of connections.
#[derive(Debug, Default)]
pub struct Response {
    state: Mutex<State>,
    change_notification: Notify,
}

/// Invariant: once `end` is set, nothing changes.
#[derive(Debug, Default)]
struct State {
    load: Option<frame::Load>,
    started: bool,
    head: Option<frame::Head>,
    data: BytesMut,
    end: Option<End>,
}

#[derive(Clone, Copy, Debug)]
enum End {
    Complete(frame::End),
    Rejected(refusal::Refusal),
}

/// How far one connection has read the response.
#[derive(Debug, Default)]
struct Cursor {
    has_load: bool,
    has_started: bool,
    has_head: bool,
    offset: usize,
    has_ended: bool,
}

impl Response {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of this lock panics")
    }

    fn update(&self, change: impl FnOnce(&mut State)) {
        let mut parts = self.lock();
        if parts.end.is_none() {
            change(&mut parts);
        }
        drop(parts);
        self.change_notification.notify_waiters();
    }

    /// Sets the load, which is sent before all other frames.
    pub fn set_load(&self, load: frame::Load) {
        self.update(|parts| parts.load = Some(load));
    }

    /// Records that the request is about to be written to the upstream.
    pub fn set_started(&self) {
        self.update(|parts| parts.started = true);
    }

    /// Records the head of the upstream's response.
    pub fn set_head(&self, head: frame::Head) {
        self.update(|parts| parts.head = Some(head));
    }

    /// Appends a part of the body; returns whether it fits.
    pub fn append(&self, data: &[u8]) -> bool {
        if self.lock().data.len() + data.len() > MAX_BODY_BYTES {
            return false;
        }
        self.update(|parts| parts.data.extend_from_slice(data));
        true
    }

    /// Marks the response as complete.
    pub fn complete(&self) {
        self.update(|parts| {
            let length = parts.data.len() as u64;
            let checksum = crc32fast::hash(&parts.data);
            parts.end = Some(End::Complete(frame::End { length, checksum }));
        });
    }

    /// Ends the response with a rejection, unless it has already ended.
    pub fn reject(&self, refusal: refusal::Refusal) {
        self.update(|parts| parts.end = Some(End::Rejected(refusal)));
    }

    /// Whether the response has ended.
    pub fn has_ended(&self) -> bool {
        self.lock().end.is_some()
    }
}

/// Frames of a response from byte `offset` of its body on, encoded, with a keep-alive frame
/// whenever nothing else is sent for `KEEP_ALIVE_INTERVAL`.
pub fn stream_frames(
    response: Arc<Response>,
    offset: usize,
) -> impl Stream<Item = Result<Bytes, Infallible>> + 'static {
    let cursor = Cursor { offset, ..Cursor::default() };
    stream::unfold((response, cursor), |(response, mut cursor)| async move {
        if cursor.has_ended {
            return None;
        }
        let encoded = response.next_frames(&mut cursor).await;
        Some((Ok(encoded), (response, cursor)))
    })
}

impl Response {
    /// Waits for frames that are new for this cursor; returns a keep-alive frame after
    /// `KEEP_ALIVE_INTERVAL`.
    async fn next_frames(&self, cursor: &mut Cursor) -> Bytes {
        loop {
            let mut changed = pin::pin!(self.change_notification.notified());
            // Enabled before the check, so that a change between check and wait ends the wait.
            changed.as_mut().enable();
            let encoded = cursor.encode_new(&self.lock());
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
    /// Encodes the frames that are new since the last call.
    fn encode_new(&mut self, parts: &State) -> Bytes {
        let mut buffer = BytesMut::new();
        if let (false, Some(load)) = (self.has_load, parts.load) {
            self.has_load = true;
            frame::encode(&frame::Frame::Load(load), &mut buffer);
        }
        if !self.has_started && parts.started {
            self.has_started = true;
            frame::encode(&frame::Frame::Started, &mut buffer);
        }
        if let (false, Some(head)) = (self.has_head, &parts.head) {
            self.has_head = true;
            frame::encode(&frame::Frame::Head(head.clone()), &mut buffer);
        }
        self.encode_data(&parts.data, &mut buffer);
        if let Some(end) = parts.end {
            self.has_ended = true;
            frame::encode(&end.to_frame(), &mut buffer);
        }
        buffer.freeze()
    }

    fn encode_data(&mut self, data: &[u8], buffer: &mut BytesMut) {
        let Some(unread) = data.get(self.offset..) else { return };
        for chunk in unread.chunks(frame::MAX_PAYLOAD_BYTES) {
            frame::encode(&frame::Frame::Data(Bytes::copy_from_slice(chunk)), buffer);
        }
        self.offset = data.len();
    }
}

impl End {
    fn to_frame(self) -> frame::Frame {
        match self {
            End::Complete(end) => frame::Frame::End(end),
            End::Rejected(refusal) => frame::Frame::Refused(refusal),
        }
    }
}
