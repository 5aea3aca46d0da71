//! The tarpc server on which the first member of a group asks this one.

use crate::agent::role;
use crate::{listener, mailbox};
use hyssopfork_wire::{envelope, member, number};
use std::net;
use tarpc::context;
use tokio::sync::oneshot;

/// The server's handler.
#[derive(Clone, Debug)]
pub struct Server(pub mailbox::Mailbox<role::Input>);

impl member::Member for Server {
    async fn request_grant(
        self,
        _context: context::Context,
        request: envelope::Envelope<member::Request>,
    ) -> member::Response {
        let refused = member::Response::Refused { version: number::Version::default() };
        let Ok(request) = request.open() else { return refused };
        let (reply, answered) = oneshot::channel();
        self.0.post(role::Input::Ask(request, reply));
        answered.await.unwrap_or(refused)
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
