//! Grants between the agents of one serving group: the group serves only while its first member
//! holds a lease (a grant) from every other member.

use crate::{envelope, name, number};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Request of the first member to another member for a grant.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// Group to serve.
    pub group: name::Group,
    /// Fencing number of the placement.
    pub fence: number::Fence,
    /// First member of the group, which sends the request.
    pub first: name::Instance,
    /// Version of the first member's view; a member with an older one fetches an update at once.
    pub version: number::Version,
    /// Attempts in flight at the first member: a member that is leaving renews its grant until they
    /// have ended.
    pub running: u32,
    /// Whether the first member no longer accepts new work under this fencing number.
    pub draining: bool,
}

/// Response of a member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Response {
    /// The member grants its part in the group, from when the request was sent.
    Granted {
        /// Duration of the grant.
        duration: Duration,
        /// Version of the member's view.
        version: number::Version,
        /// Whether the member is leaving: its grant covers the attempts in flight, but the group
        /// may accept no new work.
        leaving: bool,
    },
    /// The member rejects the request: it knows another placement, its upstream is down, it is
    /// leaving, or its view is stale.
    Refused {
        /// Version of the member's view.
        version: number::Version,
    },
}

/// Service of an agent for other agents.
#[tarpc::service]
pub trait Member {
    /// Handles a request of the group's first member.
    async fn request_grant(request: envelope::Envelope<Request>) -> Response;
}
