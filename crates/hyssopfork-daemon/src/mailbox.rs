//! The way from every thread into the one that owns a role's state.

use tokio::sync::mpsc;
use tokio::sync::mpsc::error::SendError;

/// Sends inputs to a role's loop; cloned freely.
#[derive(Debug)]
pub struct Mailbox<T>(mpsc::UnboundedSender<T>);

impl<T> Clone for Mailbox<T> {
    fn clone(&self) -> Self {
        Mailbox(self.0.clone())
    }
}

impl<T> Mailbox<T> {
    /// Delivers an input; after the loop has ended, inputs go nowhere, since the process is
    /// ending.
    pub fn post(&self, input: T) {
        if let Err(SendError(_input)) = self.0.send(input) {
            tracing::debug!("input after the role's loop ended");
        }
    }
}

/// A mailbox and the end that the role's loop reads.
pub fn open<T>() -> (Mailbox<T>, mpsc::UnboundedReceiver<T>) {
    let (sender, receiver) = mpsc::unbounded_channel();
    (Mailbox(sender), receiver)
}
