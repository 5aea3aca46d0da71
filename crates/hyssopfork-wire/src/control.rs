//! Calls of entries, agents and operators to a control instance.

use crate::{attempt, change, claim, consensus, envelope, fleet, name, number, patch};
use serde::{Deserialize, Serialize};
use std::net;
use std::time::Duration;

/// Who asks for a lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Holder {
    /// An entry, by its instance's name.
    Entry(name::Instance),
    /// An agent: its announcement and what it reports of its back end.
    Agent(Box<fleet::Announcement>, fleet::Report),
}

/// Asks for a lease on the view. The term is measured from when the holder sent this.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Renewal {
    /// Who asks.
    pub holder: Holder,
    /// Version of the holder's view.
    pub version: number::Version,
    /// Whether the holder is leaving: no new work for it. An agent's leaving is recorded before this
    /// is granted, so the lease is on a view that says so.
    pub leaving: bool,
}

/// A request to a control instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Request {
    /// Asks for a lease and what changed.
    Renew(Renewal),
    /// Asks for what changed after a version; held until something has, or a while has passed.
    Watch(number::Version),
    /// Submits a patch.
    Submit(patch::Patch),
    /// Claims non-repeatable work.
    Claim(claim::Claim),
    /// Records how the claimed work of an attempt ended.
    Record(claim::Key, attempt::Identifier, claim::Outcome),
    /// Accepted patches after a number, oldest first.
    History(number::Configuration),
    /// The whole view and who holds leases, for operators.
    Status,
    /// Asks for what changed after a version as far as it concerns one instance: its own record,
    /// its group and the declaration. Held as [`Request::Watch`] is.
    Follow(number::Version, name::Instance),
}

/// A lease on the view.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Term, from when the renewal was sent, on the holder's own clock.
    pub duration: Duration,
    /// What brings the holder's view up to date. The lease is for the view after it.
    pub update: change::Update,
    /// Incarnation of the agent; `None` for an entry.
    pub incarnation: Option<number::Incarnation>,
}

/// One holder as the leader sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holding {
    /// The holder's instance.
    pub instance: name::Instance,
    /// Whether it is an agent (or else an entry).
    pub agent: bool,
    /// Version that it reported last.
    pub version: number::Version,
    /// Time since its last renewal, on the leader's clock.
    pub age: Duration,
    /// What it reported, for an agent.
    pub report: Option<fleet::Report>,
}

/// What operators see.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The view.
    pub view: change::View,
    /// Holders of leases.
    pub holdings: Vec<Holding>,
    /// Voter that leads.
    pub leader: name::Instance,
    /// Term of the log.
    pub term: number::Term,
    /// Committed index of the log.
    pub committed: number::Index,
}

/// Reply of a control instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Response {
    /// The lease asked for.
    Granted(Grant),
    /// What changed.
    Updated(change::Update),
    /// What became of the patch.
    Submitted(patch::Outcome),
    /// What became of the claim.
    Claimed(claim::Reply),
    /// The outcome is recorded (or was before).
    Recorded,
    /// Accepted patches.
    History(Vec<patch::Record>),
    /// The state that operators asked for.
    Status(Box<Status>),
    /// This instance doesn't lead; ask the named address, or any other when none is known.
    NotLeader(Option<net::SocketAddr>),
    /// The request was taken up but its end isn't known: ask again with the same identifier.
    Unknown,
    /// The request cannot be taken on now.
    Unavailable,
    /// The asker's release speaks another protocol version.
    Protocol {
        /// Version that this instance speaks.
        version: u16,
    },
}

/// Service of a control instance.
#[tarpc::service]
pub trait Control {
    /// Delivers a message of the replicated log; the answer only says that it arrived.
    async fn deliver(message: envelope::Envelope<consensus::Packet>);
    /// Takes a request of an entry, an agent or an operator.
    async fn call(request: envelope::Envelope<Request>) -> Response;
}
