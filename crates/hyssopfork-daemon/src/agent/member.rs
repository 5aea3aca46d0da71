//! The tarpc server on which the first member of a group requests grants.

use crate::agent::role;
use crate::{listener, mailbox};
use hyssopfork_wire::{envelope, member, number};
use std::net;
use tarpc::context;
use tokio::sync::oneshot;

/// Handles other agents' calls.
#[derive(Clone, Debug)]
pub struct Server(pub mailbox::Mailbox<role::Input>);

impl member::Member for Server {
    async fn request_grant(
        self,
        _context: context::Context,
        request: envelope::Envelope<member::Request>,
    ) -> member::Response {
        let rejected = member::Response::Refused { version: number::Version::default() };
        let Ok(request) = request.open() else { return rejected };
        let (reply, response) = oneshot::channel();
        self.0.post(role::Input::RequestGrant(request, reply));
        response.await.unwrap_or(rejected)
    }
}

/// Serves other agents' calls.
pub async fn serve(
    address: net::SocketAddr,
    mailbox: mailbox::Mailbox<role::Input>,
) -> Result<(), listener::Error> {
    use member::Member;
    listener::serve("other agents", address, Server(mailbox).serve()).await
}
