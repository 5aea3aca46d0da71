//! An operator: calls control instances until one answers.

use hyssopfork_daemon::rpc;
use hyssopfork_wire::{control, number, patch};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Time within which an awaited state must be reached.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// An operator.
pub struct Operator {
    clients: rpc::Clients,
    controls: Vec<SocketAddr>,
}

impl Operator {
    /// An operator that calls these control instances.
    pub fn new(controls: Vec<SocketAddr>) -> Operator {
        Operator { clients: rpc::Clients::default(), controls }
    }

    /// Calls the control instances in turn until the leader responds.
    pub async fn call(&self, request: control::Request) -> control::Response {
        let start = Instant::now();
        loop {
            for to in &self.controls {
                match self.clients.call_control(*to, request.clone(), CALL_TIMEOUT).await {
                    None
                    | Some(control::Response::NotLeader(_))
                    | Some(control::Response::Unknown)
                    | Some(control::Response::Unavailable) => {}
                    Some(response) => return response,
                }
            }
            assert!(start.elapsed() < WAIT_TIMEOUT, "no control instance leads");
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Submits operations based on configuration number `base`.
    pub async fn submit(
        &self,
        identifier: &str,
        base: u64,
        operations: Vec<patch::Operation>,
    ) -> patch::Outcome {
        let patch = patch::Patch {
            identifier: patch::Identifier(identifier.to_owned()),
            base: number::Configuration(base),
            author: "tester".into(),
            operations,
        };
        match self.call(control::Request::Submit(patch)).await {
            control::Response::Submitted(outcome) => outcome,
            other => panic!("a patch was answered by {other:?}"),
        }
    }

    /// Requests the status.
    pub async fn status(&self) -> control::Status {
        match self.call(control::Request::Status).await {
            control::Response::Status(status) => *status,
            other => panic!("a status request was answered by {other:?}"),
        }
    }

    /// Waits until the status satisfies `is_reached`.
    pub async fn wait_for(
        &self,
        what: &str,
        is_reached: impl Fn(&control::Status) -> bool,
    ) -> control::Status {
        let start = Instant::now();
        loop {
            let status = self.status().await;
            if is_reached(&status) {
                return status;
            }
            assert!(
                start.elapsed() < WAIT_TIMEOUT,
                "timed out waiting for {what}; last {status:#?}"
            );
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
    }
}

/// Whether exactly `holders` entries and agents hold leases on the newest view.
pub fn all_hold_current_view(status: &control::Status, holders: usize) -> bool {
    let newest = status.view.version;
    let current = status.holdings.iter().filter(|holding| holding.version == newest);
    current.count() == holders
}

/// Whether the group's first member reports that it serves under its newest fencing number.
pub fn is_serving(status: &control::Status, group: &str) -> bool {
    let Some(placement) = status.view.placements.get(&group.into()) else { return false };
    status.holdings.iter().any(|holding| {
        let report = holding.report.as_ref();
        holding.instance == placement.members[0]
            && report.is_some_and(|report| report.serving && report.joined == placement.fence)
    })
}
