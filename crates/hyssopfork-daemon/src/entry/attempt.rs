//! One attempt: offers the request to an agent and reads the response frames, reconnecting as
//! needed.

use crate::entry::role;
use crate::{http, mailbox};
use bytes::{Bytes, BytesMut};
use futures::StreamExt;
use hyssopfork_entry::event;
use hyssopfork_wire::{attempt, frame, refusal, timing};
use std::time::Duration;
use std::{io, net};
use tokio::sync::mpsc;

/// Connections opened for one attempt: the first, and further ones after an idle timeout or a lost
/// connection.
const MAX_CONNECTIONS: u32 = 3;

/// Delay before reconnecting.
const RECONNECT_DELAY: Duration = Duration::from_millis(50);

/// What an attempt passes to its request's handler, in order.
#[derive(Debug)]
pub enum Part {
    /// The response's head.
    Head(frame::Head),
    /// A part of the body.
    Data(Bytes),
    /// The response is complete and its checksum matches.
    End,
    /// The response failed before its end.
    Failed(event::Fault),
    /// The agent aborted the response after its head.
    Rejected(refusal::Refusal),
}

/// One attempt to run a request on an agent's upstream.
pub struct Attempt {
    /// The agent's address.
    pub to: net::SocketAddr,
    /// The offer.
    pub offer: attempt::Offer,
    /// Body of the client's request.
    pub body: Bytes,
    /// Whether the response is collected instead of being forwarded.
    pub collect: bool,
    /// The entry's event loop.
    pub mailbox: mailbox::Mailbox<role::Input>,
    /// Parts for the handler; bounded, so that a slow client applies backpressure to the reading.
    pub parts: mpsc::Sender<Part>,
}

/// What has been received so far, over all connections.
#[derive(Default)]
struct Progress {
    was_offered: bool,
    has_started: bool,
    head: Option<frame::Head>,
    received_bytes: u64,
    checksum: crc32fast::Hasher,
    collected: BytesMut,
}

/// How one connection ended.
enum Outcome {
    /// The attempt is finished.
    Finished,
    /// No connection was established.
    Unreachable,
    /// The connection timed out or ended early.
    Lost,
    /// The agent doesn't know the attempt: the offer never arrived, or the agent restarted.
    NotFound,
    /// The frames are invalid.
    Corrupt,
}

impl Attempt {
    /// Runs the attempt to its end.
    pub async fn run(self) {
        let mut progress = Progress::default();
        let mut fault = event::Fault::Unreachable;
        for connection in 0..MAX_CONNECTIONS {
            if connection > 0 {
                actix_rt::time::sleep(RECONNECT_DELAY).await;
            }
            let outcome = self.run_connection(&mut progress, connection == 0).await;
            fault = match outcome {
                Outcome::Finished => return,
                Outcome::Unreachable if !progress.was_offered => event::Fault::Unreachable,
                Outcome::Unreachable | Outcome::Lost => event::Fault::Lost,
                Outcome::NotFound if progress.has_started => event::Fault::Restarted,
                Outcome::NotFound => event::Fault::Lost,
                Outcome::Corrupt => event::Fault::Corrupt,
            };
            if matches!(fault, event::Fault::Corrupt | event::Fault::Restarted) {
                break;
            }
        }
        self.report_fault(fault, progress.head.is_some()).await;
    }

    async fn report_fault(&self, fault: event::Fault, has_head: bool) {
        if has_head && !self.collect {
            let _handler_finished = self.parts.send(Part::Failed(fault)).await;
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

    /// Offers the attempt, or resumes its response from the first missing byte once it has started.
    async fn run_connection(&self, progress: &mut Progress, first: bool) -> Outcome {
        let clients = http::clients();
        let client = if first { &clients.pooled } else { &clients.fresh };
        let path = format!("http://{}/attempts/{}", self.to, self.offer.attempt);
        let sent = if progress.has_started {
            let url = format!("{path}?from={}", progress.received_bytes);
            client.get(url).timeout(timing::CONNECTION_IDLE_TIMEOUT).send().await
        } else {
            progress.was_offered = true;
            let offer = attempt::Offer { first, ..self.offer.clone() };
            let offer = serde_json::to_string(&offer).expect("an offer is plain data");
            let request = client.post(path).timeout(timing::CONNECTION_IDLE_TIMEOUT);
            let request = request.insert_header((crate::agent::http_server::OFFER_HEADER, offer));
            request.send_body(self.body.clone()).await
        };
        match sent {
            Ok(response) if response.status().as_u16() == 404 => Outcome::NotFound,
            Ok(response) if response.status().is_success() => {
                self.read_frames(progress, response).await
            }
            Ok(_) => Outcome::Lost,
            Err(error) if is_unreachable(&error) => {
                if first {
                    progress.was_offered = false;
                }
                Outcome::Unreachable
            }
            Err(_) => Outcome::Lost,
        }
    }

    async fn read_frames<S>(
        &self,
        progress: &mut Progress,
        response: awc::ClientResponse<S>,
    ) -> Outcome
    where
        S: futures::Stream<Item = Result<Bytes, awc::error::PayloadError>> + Unpin,
    {
        let mut body = response.timeout(Duration::from_secs(3_600));
        let mut buffer = BytesMut::new();
        loop {
            let received = tokio::time::timeout(timing::CONNECTION_IDLE_TIMEOUT, body.next()).await;
            let Ok(Some(Ok(bytes))) = received else { return Outcome::Lost };
            buffer.extend_from_slice(&bytes);
            loop {
                match frame::decode(&mut buffer) {
                    Ok(Some(frame)) => {
                        if let Some(outcome) = self.on_frame(progress, frame).await {
                            return outcome;
                        }
                    }
                    Ok(None) => break,
                    Err(_) => return Outcome::Corrupt,
                }
            }
        }
    }

    async fn on_frame(&self, progress: &mut Progress, frame: frame::Frame) -> Option<Outcome> {
        let attempt = self.offer.attempt;
        match frame {
            frame::Frame::KeepAlive => None,
            frame::Frame::Load(load) => {
                self.post(event::Event::LoadReported(attempt, load));
                None
            }
            frame::Frame::Started => {
                if !progress.has_started {
                    progress.has_started = true;
                    self.post(event::Event::AttemptStarted(attempt));
                }
                None
            }
            frame::Frame::Refused(refusal) => {
                self.on_rejected(progress, refusal).await;
                Some(Outcome::Finished)
            }
            frame::Frame::Head(head) => self.on_head(progress, head).await,
            frame::Frame::Data(data) => self.on_data(progress, data).await,
            frame::Frame::End(end) => self.on_end(progress, end).await,
        }
    }

    /// After the head the response is already being forwarded, so the handler aborts it in order.
    async fn on_rejected(&self, progress: &Progress, refusal: refusal::Refusal) {
        if progress.head.is_some() && !self.collect {
            let _handler_finished = self.parts.send(Part::Rejected(refusal)).await;
        } else {
            self.post(event::Event::AttemptRejected(self.offer.attempt, refusal));
        }
    }

    async fn on_head(&self, progress: &mut Progress, head: frame::Head) -> Option<Outcome> {
        if progress.head.is_some() {
            return None;
        }
        progress.head = Some(head.clone());
        self.post(event::Event::HeadReceived(self.offer.attempt, head.clone()));
        if self.collect {
            return None;
        }
        self.forward(Part::Head(head)).await
    }

    async fn on_data(&self, progress: &mut Progress, data: Bytes) -> Option<Outcome> {
        if progress.received_bytes == 0 && !data.is_empty() {
            self.post(event::Event::ResponseStarted(self.offer.attempt));
        }
        progress.received_bytes += data.len() as u64;
        progress.checksum.update(&data);
        if self.collect {
            progress.collected.extend_from_slice(&data);
            return None;
        }
        self.forward(Part::Data(data)).await
    }

    /// The length and checksum reveal parts that were lost or duplicated across reconnections.
    async fn on_end(&self, progress: &mut Progress, end: frame::End) -> Option<Outcome> {
        let checksum = progress.checksum.clone().finalize();
        if end.length != progress.received_bytes || end.checksum != checksum {
            return Some(Outcome::Corrupt);
        }
        let Some(head) = progress.head.take() else { return Some(Outcome::Corrupt) };
        if self.collect {
            let body = std::mem::take(&mut progress.collected).freeze();
            self.post(event::Event::ResponseCollected { attempt: self.offer.attempt, head, body });
            return Some(Outcome::Finished);
        }
        self.forward(Part::End).await;
        Some(Outcome::Finished)
    }

    /// A closed channel means that the core dropped the attempt.
    async fn forward(&self, part: Part) -> Option<Outcome> {
        self.parts.send(part).await.err().map(|_| Outcome::Finished)
    }
}

/// Whether no connection was established, so that no byte was sent.
///
/// The library's `Connect` error also covers connections that the peer closed before it responded.
/// The request may have been sent on those: treating them as unreachable would report work that ran
/// as not run.
fn is_unreachable(error: &awc::error::SendRequestError) -> bool {
    let awc::error::SendRequestError::Connect(cause) = error else { return false };
    match cause {
        awc::error::ConnectError::Io(cause) => cause.kind() == io::ErrorKind::ConnectionRefused,
        awc::error::ConnectError::Timeout => true,
        _ => false,
    }
}
