//! RPC client of the control instances: finds the leader, fails over and retries.

use crate::error;
use hyssopfork_wire::{control, envelope};
use std::net;
use std::time::{Duration, Instant};
use tarpc::{client, context, serde_transport, tokio_serde};

/// Upper bound on one attempt at one instance.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause before the next instance is tried.
const RETRY_INTERVAL: Duration = Duration::from_millis(150);

/// A client of all control instances.
///
/// Tries one instance after another until the leader responds. If a response is lost, the same
/// request is sent again; a patch carries an identifier, so it is applied at most once.
#[derive(Debug)]
pub struct Client {
    addresses: Vec<net::SocketAddr>,
    current: usize,
    timeout: Duration,
}

/// Role of a control instance, as the status query shows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Role {
    /// The instance is the leader.
    #[strum(serialize = "leads")]
    Leader,
    /// The instance responds and is not the leader.
    #[strum(serialize = "follows")]
    Follower,
    /// The instance does not respond.
    #[strum(serialize = "silent")]
    Unreachable,
}

/// Why an instance gave no response.
struct Failure {
    reason: String,
    /// Whether the instance may have received the request.
    maybe_received: bool,
}

/// What to do after a response.
enum Outcome {
    Answered(Box<control::Response>),
    Redirected(Option<net::SocketAddr>),
    Retryable,
}

impl Client {
    /// Creates a client of `addresses` that gives up on a request after `timeout`.
    pub fn new(addresses: Vec<net::SocketAddr>, timeout: Duration) -> Self {
        Client { addresses, current: 0, timeout }
    }

    /// Sends `request` until the leader responds or the timeout expires.
    pub async fn call(
        &mut self,
        request: &control::Request,
    ) -> Result<control::Response, error::Error> {
        let deadline = Instant::now() + self.timeout;
        let mut failures: Vec<(net::SocketAddr, String)> = Vec::new();
        let mut maybe_received = false;
        while Instant::now() < deadline {
            let address = self.addresses[self.current];
            let remaining = deadline.saturating_duration_since(Instant::now());
            match call_with_timeout(address, request, remaining.min(ATTEMPT_TIMEOUT))
                .await
                .map(classify)
            {
                Ok(Ok(Outcome::Answered(response))) => return Ok(*response),
                Ok(Ok(Outcome::Redirected(leader))) => {
                    record_failure(&mut failures, address, "not the leader".into());
                    self.select_next(leader).await;
                }
                Ok(Ok(Outcome::Retryable)) => {
                    maybe_received = true;
                    record_failure(&mut failures, address, "temporarily unavailable".into());
                    self.select_next(None).await;
                }
                Ok(Err(error)) => return Err(error),
                Err(failure) => {
                    maybe_received |= failure.maybe_received;
                    record_failure(&mut failures, address, failure.reason);
                    self.select_next(None).await;
                }
            }
        }
        Err(error::Error::Unreachable(failures, maybe_received))
    }

    /// Fetches the full view and the lease holders from the leader.
    pub async fn status(&mut self) -> Result<control::Status, error::Error> {
        match self.call(&control::Request::Status).await? {
            control::Response::Status(status) => Ok(*status),
            _ => Err(error::Error::UnexpectedResponse),
        }
    }

    /// Queries every instance separately for its role.
    pub async fn roles(&self) -> Vec<(net::SocketAddr, Role)> {
        let queries = self.addresses.iter().map(|&address| async move {
            let response =
                call_with_timeout(address, &control::Request::Status, ATTEMPT_TIMEOUT).await;
            let role = match response {
                Ok(control::Response::Status(_)) => Role::Leader,
                Ok(_) => Role::Follower,
                Err(_) => Role::Unreachable,
            };
            (address, role)
        });
        futures::future::join_all(queries).await
    }

    /// Selects the leader if it is known, otherwise the next instance after a pause.
    async fn select_next(&mut self, leader: Option<net::SocketAddr>) {
        if let Some(leader) = leader.filter(|&leader| leader != self.addresses[self.current]) {
            let position = self.addresses.iter().position(|&address| address == leader);
            self.current = position.unwrap_or_else(|| {
                self.addresses.push(leader);
                self.addresses.len() - 1
            });
            return;
        }
        self.current = (self.current + 1) % self.addresses.len();
        actix_rt::time::sleep(RETRY_INTERVAL).await;
    }
}

fn classify(response: control::Response) -> Result<Outcome, error::Error> {
    match response {
        control::Response::NotLeader(leader) => Ok(Outcome::Redirected(leader)),
        control::Response::Unavailable | control::Response::Unknown => Ok(Outcome::Retryable),
        control::Response::Protocol { version } => Err(error::Error::Protocol(version)),
        response => Ok(Outcome::Answered(Box::new(response))),
    }
}

/// Keeps the last failure of each address.
fn record_failure(
    failures: &mut Vec<(net::SocketAddr, String)>,
    address: net::SocketAddr,
    reason: String,
) {
    match failures.iter_mut().find(|(known, _)| *known == address) {
        Some(entry) => entry.1 = reason,
        None => failures.push((address, reason)),
    }
}

async fn call_with_timeout(
    address: net::SocketAddr,
    request: &control::Request,
    limit: Duration,
) -> Result<control::Response, Failure> {
    let response = actix_rt::time::timeout(limit, connect_and_call(address, request, limit)).await;
    let reason = || format!("no response within {} ms", limit.as_millis());
    response.unwrap_or_else(|_| Err(Failure { reason: reason(), maybe_received: true }))
}

async fn connect_and_call(
    address: net::SocketAddr,
    request: &control::Request,
    limit: Duration,
) -> Result<control::Response, Failure> {
    let format = tokio_serde::formats::Bincode::default;
    let transport = serde_transport::tcp::connect(address, format).await;
    let transport = transport.map_err(|cause| Failure {
        reason: format!("cannot connect: {cause}"),
        maybe_received: false,
    })?;
    let client = control::ControlClient::new(client::Config::default(), transport).spawn();
    let mut context = context::current();
    context.deadline = Instant::now() + limit;
    let response = client.call(context, envelope::Envelope::new(request.clone())).await;
    response.map_err(|cause| Failure { reason: describe(&cause), maybe_received: true })
}

fn describe(cause: &client::RpcError) -> String {
    match cause {
        client::RpcError::DeadlineExceeded => "no response in time".into(),
        client::RpcError::Server(error) => format!("server error: {error}"),
        _ => "connection lost, or not the `control.listen` address of a control instance".into(),
    }
}
