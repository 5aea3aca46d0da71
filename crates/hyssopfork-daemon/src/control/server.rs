//! The tarpc server of a control instance.

use crate::control::role;
use crate::{listener, mailbox};
use hyssopfork_control::event;
use hyssopfork_wire::{consensus, control, envelope};
use std::net;
use tarpc::context;
use tokio::sync::oneshot;

/// Handles other processes' calls.
#[derive(Clone, Debug)]
pub struct Server(pub mailbox::Mailbox<role::Input>);

impl control::Control for Server {
    async fn deliver(
        self,
        _context: context::Context,
        message: envelope::Envelope<consensus::Packet>,
    ) {
        if let Ok(packet) = message.open() {
            self.0.post(role::Input::Event(event::Event::Received(packet)));
        }
    }

    async fn call(
        self,
        _context: context::Context,
        request: envelope::Envelope<control::Request>,
    ) -> control::Response {
        let Ok(request) = request.open() else {
            return control::Response::Protocol { version: envelope::PROTOCOL_VERSION };
        };
        let (reply, response) = oneshot::channel();
        self.0.post(role::Input::Call(request, reply));
        response.await.unwrap_or(control::Response::Unavailable)
    }
}

/// Serves other processes' calls.
pub async fn serve(
    address: net::SocketAddr,
    mailbox: mailbox::Mailbox<role::Input>,
) -> Result<(), listener::Error> {
    use control::Control;
    listener::serve("calls to control", address, Server(mailbox).serve()).await
}
