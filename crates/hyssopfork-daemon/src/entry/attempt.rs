//! One attempt as the entry's shell sees it: the offer goes out, frames come back.

use crate::entry::role;
use crate::{http, mailbox};
use bytes::{Bytes, BytesMut};
use futures::StreamExt;
use hyssopfork_entry::event;
use hyssopfork_wire::{attempt, frame, refusal, timing};
use std::time::Duration;
use std::{io, net};
use tokio::sync::mpsc;

/// Connections that are tried for one attempt: the first, and others after silence or a cut.
const CONNECTION_LIMIT: u32 = 3;

/// Wait between two connections of one attempt.
const RECONNECT_WAIT: Duration = Duration::from_millis(50);

/// What an attempt hands to its conversation, in order.
#[derive(Debug)]
pub enum Part {
    /// The answer's head.
    Head(frame::Head),
    /// A part of the body.
    Data(Bytes),
    /// The answer is whole and checked.
    End,
    /// The answer will not be whole.
    Failed(event::Fault),
    /// The agent ended the answer after its head.
    Refused(refusal::Refusal),
}

/// One attempt.
pub struct Work {
    /// The agent.
    pub to: net::SocketAddr,
    /// The offer.
    pub offer: attempt::Offer,
    /// Body of the caller's request.
    pub body: Bytes,
    /// Whether the answer is collected in place of being forwarded.
    pub collect: bool,
    /// The entry's loop.
    pub mailbox: mailbox::Mailbox<role::Input>,
    /// Parts for the conversation; bounded, so that a slow caller slows the reading down.
    pub parts: mpsc::Sender<Part>,
}

/// What has come so far, over all connections.
#[derive(Default)]
struct Progress {
    offered: bool,
    started: bool,
    head: Option<frame::Head>,
    received: u64,
    checksum: crc32fast::Hasher,
    collected: BytesMut,
}

/// How one connection ended.
enum Stop {
    /// The attempt is over.
    Over,
    /// The connection could not be made.
    Unreachable,
    /// The connection went silent or ended early.
    Lost,
    /// The agent knows no such attempt: the offer never came to it, or it was restarted.
    Absent,
    /// The frames are wrong.
    Corrupt,
}

impl Work {
    /// Carries the attempt through.
    pub async fn run(self) {
        let mut progress = Progress::default();
        let mut fault = event::Fault::Unreachable;
        for connection in 0..CONNECTION_LIMIT {
            if connection > 0 {
                actix_rt::time::sleep(RECONNECT_WAIT).await;
            }
            let stop = self.connect(&mut progress, connection == 0).await;
            fault = match stop {
                Stop::Over => return,
                Stop::Unreachable if !progress.offered => event::Fault::Unreachable,
                Stop::Unreachable | Stop::Lost => event::Fault::Lost,
                Stop::Absent if progress.started => event::Fault::Restarted,
                Stop::Absent => event::Fault::Lost,
                Stop::Corrupt => event::Fault::Corrupt,
            };
            if matches!(fault, event::Fault::Corrupt | event::Fault::Restarted) {
                break;
            }
        }
        self.fail(fault, progress.head.is_some()).await;
    }

    async fn fail(&self, fault: event::Fault, headed: bool) {
        if headed && !self.collect {
            let _conversation_over = self.parts.send(Part::Failed(fault)).await;
        } else {
            self.post(event::Event::AttemptFailed {
                attempt: self.offer.attempt,
                fault,
                delivered: 0,
            });
        }
    }

    fn post(&self, event: event::Event) {
        self.mailbox.post(role::Input::Event(event));
    }

    /// Offers the attempt, or takes its answer up where bytes of it have come before.
    async fn connect(&self, progress: &mut Progress, first: bool) -> Stop {
        let clients = http::clients();
        let client = if first { &clients.pooled } else { &clients.fresh };
        let path = format!("http://{}/attempts/{}", self.to, self.offer.attempt);
        let sent = if progress.started {
            let url = format!("{path}?from={}", progress.received);
            client.get(url).timeout(timing::CONNECTION_IDLE_TIMEOUT).send().await
        } else {
            progress.offered = true;
            let offer = attempt::Offer { first, ..self.offer.clone() };
            let offer = serde_json::to_string(&offer).expect("an offer is plain data");
            let request = client.post(path).timeout(timing::CONNECTION_IDLE_TIMEOUT);
            let request = request.insert_header((crate::agent::gate::OFFER_HEADER, offer));
            request.send_body(self.body.clone()).await
        };
        match sent {
            Ok(response) if response.status().as_u16() == 404 => Stop::Absent,
            Ok(response) if response.status().is_success() => self.read(progress, response).await,
            Ok(_) => Stop::Lost,
            Err(error) if is_unreachable(&error) => {
                if first {
                    progress.offered = false;
                }
                Stop::Unreachable
            }
            Err(_) => Stop::Lost,
        }
    }

    async fn read<S>(&self, progress: &mut Progress, response: awc::ClientResponse<S>) -> Stop
    where
        S: futures::Stream<Item = Result<Bytes, awc::error::PayloadError>> + Unpin,
    {
        let mut body = response.timeout(Duration::from_secs(3_600));
        let mut buffer = BytesMut::new();
        loop {
            let read = tokio::time::timeout(timing::CONNECTION_IDLE_TIMEOUT, body.next()).await;
            let Ok(Some(Ok(bytes))) = read else { return Stop::Lost };
            buffer.extend_from_slice(&bytes);
            loop {
                match frame::decode(&mut buffer) {
                    Ok(Some(frame)) => {
                        if let Some(stop) = self.take(progress, frame).await {
                            return stop;
                        }
                    }
                    Ok(None) => break,
                    Err(_) => return Stop::Corrupt,
                }
            }
        }
    }

    async fn take(&self, progress: &mut Progress, frame: frame::Frame) -> Option<Stop> {
        let attempt = self.offer.attempt;
        match frame {
            frame::Frame::KeepAlive => None,
            frame::Frame::Load(load) => {
                self.post(event::Event::LoadReported(attempt, load));
                None
            }
            frame::Frame::Started => {
                if !progress.started {
                    progress.started = true;
                    self.post(event::Event::AttemptStarted(attempt));
                }
                None
            }
            frame::Frame::Refused(refusal) => {
                self.refused(progress, refusal).await;
                Some(Stop::Over)
            }
            frame::Frame::Head(head) => self.head(progress, head).await,
            frame::Frame::Data(data) => self.data(progress, data).await,
            frame::Frame::End(end) => self.end(progress, end).await,
        }
    }

    /// A refusal after the head is a cut answer: the conversation ends it in order.
    async fn refused(&self, progress: &Progress, refusal: refusal::Refusal) {
        if progress.head.is_some() && !self.collect {
            let _conversation_over = self.parts.send(Part::Refused(refusal)).await;
        } else {
            self.post(event::Event::AttemptRejected(self.offer.attempt, refusal));
        }
    }

    async fn head(&self, progress: &mut Progress, head: frame::Head) -> Option<Stop> {
        if progress.head.is_some() {
            return None;
        }
        progress.head = Some(head.clone());
        self.post(event::Event::HeadReceived(self.offer.attempt, head.clone()));
        if self.collect {
            return None;
        }
        self.hand_over(Part::Head(head)).await
    }

    async fn data(&self, progress: &mut Progress, data: Bytes) -> Option<Stop> {
        if progress.received == 0 && !data.is_empty() {
            self.post(event::Event::ResponseStarted(self.offer.attempt));
        }
        progress.received += data.len() as u64;
        progress.checksum.update(&data);
        if self.collect {
            progress.collected.extend_from_slice(&data);
            return None;
        }
        self.hand_over(Part::Data(data)).await
    }

    /// The whole answer must be the one that the agent sent: a lost or doubled part shows here.
    async fn end(&self, progress: &mut Progress, end: frame::End) -> Option<Stop> {
        let checksum = progress.checksum.clone().finalize();
        if end.length != progress.received || end.checksum != checksum {
            return Some(Stop::Corrupt);
        }
        let Some(head) = progress.head.take() else { return Some(Stop::Corrupt) };
        if self.collect {
            let body = std::mem::take(&mut progress.collected).freeze();
            self.post(event::Event::ResponseCollected { attempt: self.offer.attempt, head, body });
            return Some(Stop::Over);
        }
        self.hand_over(Part::End).await;
        Some(Stop::Over)
    }

    /// Nobody to hand over to means that the core dropped the attempt.
    async fn hand_over(&self, part: Part) -> Option<Stop> {
        self.parts.send(part).await.err().map(|_| Stop::Over)
    }
}

/// Whether no connection came about, so that no byte was sent. The library's kind for that also
/// holds connections that the other end closed before it answered, on which the request may have
/// gone out: taking those for unreachable would say "not run" of work that ran.
fn is_unreachable(error: &awc::error::SendRequestError) -> bool {
    let awc::error::SendRequestError::Connect(cause) = error else { return false };
    match cause {
        awc::error::ConnectError::Io(cause) => cause.kind() == io::ErrorKind::ConnectionRefused,
        awc::error::ConnectError::Timeout => true,
        _ => false,
    }
}
