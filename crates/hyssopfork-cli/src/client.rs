//! Calls to the control instances, of which any may be away and one leads.

use crate::error;
use hyssopfork_wire::{control, envelope};
use std::net;
use std::time::{Duration, Instant};
use tarpc::{client, context, serde_transport, tokio_serde};

/// Longest time for one try.
const TRY_LIMIT: Duration = Duration::from_secs(2);
/// Pause before the same instances are asked again.
const PAUSE: Duration = Duration::from_millis(150);

/// A client of all control instances.
///
/// A request goes from one to the next until the leader has answered. A lost answer makes it send
/// the same request again; patches carry an identifier, so that this applies them once.
#[derive(Debug)]
pub struct Client {
    addresses: Vec<net::SocketAddr>,
    current: usize,
    limit: Duration,
}

/// What one control instance says of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Standing {
    /// It leads.
    Leads,
    /// It follows.
    Follows,
    /// It doesn't answer.
    Silent,
}

/// Why an instance gave no answer.
struct Fault {
    text: String,
    /// Whether the request may have come there.
    sent: bool,
}

enum Step {
    Done(Box<control::Response>),
    Elsewhere(Option<net::SocketAddr>),
    Again,
}

impl Client {
    /// A client of `addresses`, which gives up on a request after `limit`.
    pub fn new(addresses: Vec<net::SocketAddr>, limit: Duration) -> Self {
        Client { addresses, current: 0, limit }
    }

    /// Asks until the leader has answered or the time is up.
    pub async fn call(
        &mut self,
        request: &control::Request,
    ) -> Result<control::Response, error::Error> {
        let deadline = Instant::now() + self.limit;
        let mut tried: Vec<(net::SocketAddr, String)> = Vec::new();
        let mut sent = false;
        while Instant::now() < deadline {
            let address = self.addresses[self.current];
            let left = deadline.saturating_duration_since(Instant::now());
            match ask(address, request, left.min(TRY_LIMIT)).await.map(judge) {
                Ok(Ok(Step::Done(response))) => return Ok(*response),
                Ok(Ok(Step::Elsewhere(leader))) => {
                    note(&mut tried, address, "does not lead".into());
                    self.turn_to(leader).await;
                }
                Ok(Ok(Step::Again)) => {
                    sent = true;
                    note(&mut tried, address, "cannot answer now".into());
                    self.turn_to(None).await;
                }
                Ok(Err(error)) => return Err(error),
                Err(fault) => {
                    sent |= fault.sent;
                    note(&mut tried, address, fault.text);
                    self.turn_to(None).await;
                }
            }
        }
        Err(error::Error::Unreachable(tried, sent))
    }

    /// The whole view and who holds leases.
    pub async fn status(&mut self) -> Result<control::Status, error::Error> {
        match self.call(&control::Request::Status).await? {
            control::Response::Status(status) => Ok(*status),
            _ => Err(error::Error::Unexpected),
        }
    }

    /// Asks every instance by itself.
    pub async fn standings(&self) -> Vec<(net::SocketAddr, Standing)> {
        let asked = self.addresses.iter().map(|&address| async move {
            let answer = ask(address, &control::Request::Status, TRY_LIMIT).await;
            let standing = match answer {
                Ok(control::Response::Status(_)) => Standing::Leads,
                Ok(_) => Standing::Follows,
                Err(_) => Standing::Silent,
            };
            (address, standing)
        });
        futures::future::join_all(asked).await
    }

    /// Takes the leader where it is known, or else the next instance after a pause.
    async fn turn_to(&mut self, leader: Option<net::SocketAddr>) {
        if let Some(leader) = leader.filter(|&leader| leader != self.addresses[self.current]) {
            let known = self.addresses.iter().position(|&address| address == leader);
            self.current = known.unwrap_or_else(|| {
                self.addresses.push(leader);
                self.addresses.len() - 1
            });
            return;
        }
        self.current = (self.current + 1) % self.addresses.len();
        actix_rt::time::sleep(PAUSE).await;
    }
}

fn judge(response: control::Response) -> Result<Step, error::Error> {
    match response {
        control::Response::NotLeader(leader) => Ok(Step::Elsewhere(leader)),
        control::Response::Unavailable | control::Response::Unknown => Ok(Step::Again),
        control::Response::Protocol { version: speaks } => Err(error::Error::Protocol(speaks)),
        response => Ok(Step::Done(Box::new(response))),
    }
}

/// Keeps the last fault of each address.
fn note(tried: &mut Vec<(net::SocketAddr, String)>, address: net::SocketAddr, fault: String) {
    match tried.iter_mut().find(|(known, _)| *known == address) {
        Some(entry) => entry.1 = fault,
        None => tried.push((address, fault)),
    }
}

async fn ask(
    address: net::SocketAddr,
    request: &control::Request,
    limit: Duration,
) -> Result<control::Response, Fault> {
    let answer = actix_rt::time::timeout(limit, exchange(address, request, limit)).await;
    let text = || format!("no answer within {} ms", limit.as_millis());
    answer.unwrap_or_else(|_| Err(Fault { text: text(), sent: true }))
}

async fn exchange(
    address: net::SocketAddr,
    request: &control::Request,
    limit: Duration,
) -> Result<control::Response, Fault> {
    let format = tokio_serde::formats::Bincode::default;
    let transport = serde_transport::tcp::connect(address, format).await;
    let transport = transport
        .map_err(|cause| Fault { text: format!("cannot connect: {cause}"), sent: false })?;
    let client = control::ControlClient::new(client::Config::default(), transport).spawn();
    let mut context = context::current();
    context.deadline = Instant::now() + limit;
    let answer = client.call(context, envelope::Envelope::new(request.clone())).await;
    answer.map_err(|cause| Fault { text: describe(&cause), sent: true })
}

fn describe(cause: &client::RpcError) -> String {
    match cause {
        client::RpcError::DeadlineExceeded => "no answer in time".into(),
        client::RpcError::Server(error) => format!("it failed: {error}"),
        _ => "the connection broke off, or this is no control instance's `control.listen`".into(),
    }
}
