//! Calls between the agents of one serving group.

use crate::{envelope, name, number};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The first member asks another member to stand by the group for a term.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// The group.
    pub group: name::Group,
    /// Fencing number of the placement.
    pub fence: number::Fence,
    /// The first member, which asks.
    pub first: name::Instance,
    /// Version of the asker's view: a member that knows an older one asks control at once.
    pub version: number::Version,
    /// Attempts that run at the asker: a member that is leaving stands by them until they ended.
    pub running: u32,
    /// Whether the asker takes no new work under this fencing number any more.
    pub draining: bool,
}

/// Reply of a member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Response {
    /// The member stands by the group for the term, measured from when the request was sent.
    Granted {
        /// Term of the grant.
        duration: Duration,
        /// Version of the member's view.
        version: number::Version,
        /// Whether the member is leaving: it stands by what runs, but the group may take no new
        /// work.
        leaving: bool,
    },
    /// The member doesn't stand by it: it knows another placement, its back end is gone, it is
    /// leaving, or it has no recent view.
    Refused {
        /// Version of the member's view.
        version: number::Version,
    },
}

/// Service of an agent towards other agents.
#[tarpc::service]
pub trait Member {
    /// Takes a request of the group's first member.
    async fn request_grant(request: envelope::Envelope<Request>) -> Response;
}
