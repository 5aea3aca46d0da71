//! An operator that submits patches in sequence.

use hyssopfork_wire::{control, envelope, number, patch};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tarpc::{client, context, serde_transport, tokio_serde};

const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// An operator on one connection to the leader.
pub struct Operator {
    client: control::ControlClient,
    /// Address of the leader.
    pub leader: SocketAddr,
    /// Instance of the leader.
    pub name: String,
    base: RefCell<number::Configuration>,
}

impl Operator {
    /// Finds the leader.
    pub async fn find(controls: &[SocketAddr]) -> Operator {
        for _ in 0..100 {
            for address in controls {
                if let Some(operator) = Operator::connect(*address).await {
                    return operator;
                }
            }
            actix_rt::time::sleep(Duration::from_millis(100)).await;
        }
        panic!("no control instance leads");
    }

    async fn connect(address: SocketAddr) -> Option<Operator> {
        let connecting =
            serde_transport::tcp::connect(address, tokio_serde::formats::Bincode::default);
        let client =
            control::ControlClient::new(client::Config::default(), connecting.await.ok()?).spawn();
        let status = status(&client).await?;
        let base = RefCell::new(status.view.configuration.number);
        Some(Operator { client, leader: address, name: status.leader.to_string(), base })
    }

    /// Requests the status.
    pub async fn status(&self) -> control::Status {
        status(&self.client).await.expect("the leader answers")
    }

    /// Submits one operation; returns the time of its acceptance.
    pub async fn submit(&self, operation: patch::Operation) -> Instant {
        let base = *self.base.borrow();
        let patch = patch::Patch {
            identifier: patch::Identifier(format!("capacity-{base}")),
            base,
            author: "capacity".into(),
            operations: vec![operation],
        };
        match call(&self.client, control::Request::Submit(patch)).await {
            Some(control::Response::Submitted(patch::Outcome::Accepted(number))) => {
                *self.base.borrow_mut() = number;
            }
            other => panic!("a patch was answered by {other:?}"),
        }
        Instant::now()
    }
}

async fn status(client: &control::ControlClient) -> Option<control::Status> {
    match call(client, control::Request::Status).await {
        Some(control::Response::Status(status)) => Some(*status),
        _ => None,
    }
}

async fn call(
    client: &control::ControlClient,
    request: control::Request,
) -> Option<control::Response> {
    let mut context = context::current();
    context.deadline = Instant::now() + CALL_TIMEOUT;
    client.call(context, envelope::Envelope::new(request)).await.ok()
}
