//! Requests of entries, agents and operators to a control instance.

use crate::{attempt, change, claim, consensus, envelope, fleet, name, number, patch};
use serde::{Deserialize, Serialize};
use std::net;
use std::time::Duration;

/// Holder of a lease on the view.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Holder {
    /// An entry, by its instance.
    Entry(name::Instance),
    /// An agent: its announcement and the report of its upstream.
    Agent(Box<fleet::Announcement>, fleet::Report),
}

/// Request for a lease on the view, or for its renewal. The lease runs from when the holder sent
/// the request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Renewal {
    /// Holder that sends it.
    pub holder: Holder,
    /// Version of the holder's view.
    pub version: number::Version,
    /// Whether the holder is leaving and takes no new work. For an agent this is recorded before
    /// the lease is granted, so that the leased view contains it.
    pub leaving: bool,
}

/// A request to a control instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Request {
    /// Requests a lease and the changes of the view.
    Renew(Renewal),
    /// Requests the changes after a version (long poll: the response is held until there is a
    /// change or [`LONG_POLL_TIMEOUT`](crate::timing::LONG_POLL_TIMEOUT) has passed).
    Watch(number::Version),
    /// Submits a patch.
    Submit(patch::Patch),
    /// Claims non-repeatable work.
    Claim(claim::Claim),
    /// Records the outcome of the claimed work of an attempt.
    Record(claim::Key, attempt::Identifier, claim::Outcome),
    /// Requests the accepted patches after a number, oldest first.
    History(number::Configuration),
    /// Requests the full view and the holders of leases, for operators.
    Status,
    /// Requests the changes after a version that concern one instance: its own record, its group
    /// and the configuration. A long poll like [`Request::Watch`].
    Follow(number::Version, name::Instance),
}

/// A lease on the view.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Duration, from when the renewal was sent, on the holder's own clock.
    pub duration: Duration,
    /// Update of the holder's view. The lease is on the view after the update.
    pub update: change::Update,
    /// Incarnation of the agent; `None` for an entry.
    pub incarnation: Option<number::Incarnation>,
}

/// State of one holder at the leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holding {
    /// The holder's instance.
    pub instance: name::Instance,
    /// Whether it is an agent (or else an entry).
    pub agent: bool,
    /// Version of the holder's view in its last renewal.
    pub version: number::Version,
    /// Time since its last renewal, on the leader's clock.
    pub age: Duration,
    /// Last report, for an agent.
    pub report: Option<fleet::Report>,
}

/// Status of the fleet and of the replicated log, for operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The view.
    pub view: change::View,
    /// Holders of leases.
    pub holdings: Vec<Holding>,
    /// Instance of the leader.
    pub leader: name::Instance,
    /// Current term.
    pub term: number::Term,
    /// Commit index.
    pub committed: number::Index,
}

/// Response of a control instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Response {
    /// The requested lease.
    Granted(Grant),
    /// Changes of the view.
    Updated(change::Update),
    /// Outcome of the patch.
    Submitted(patch::Outcome),
    /// Reply to the claim.
    Claimed(claim::Reply),
    /// The outcome is recorded, by this request or an earlier one.
    Recorded,
    /// Accepted patches.
    History(Vec<patch::Record>),
    /// Status for operators.
    Status(Box<Status>),
    /// This instance is not the leader; carries the leader's address if it is known.
    NotLeader(Option<net::SocketAddr>),
    /// The request was started, but its outcome is not known: retry with the same identifier.
    Unknown,
    /// The instance cannot process the request now.
    Unavailable,
    /// The request has another protocol version.
    Protocol {
        /// Protocol version of this instance.
        version: u16,
    },
}

/// Service of a control instance.
#[tarpc::service]
pub trait Control {
    /// Delivers a message of the replicated log; the response only confirms its receipt.
    async fn deliver(message: envelope::Envelope<consensus::Packet>);
    /// Handles a request of an entry, an agent or an operator.
    async fn call(request: envelope::Envelope<Request>) -> Response;
}
