//! The way from every thread into the one that owns a role's state.

use std::time::Duration;
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

impl<T: 'static> Mailbox<T> {
    /// Delivers an input once `input` is ready, without holding up this thread's other work.
    pub fn post_when(&self, input: impl Future<Output = T> + 'static) {
        let mailbox = self.clone();
        actix_rt::spawn(async move { mailbox.post(input.await) });
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

/// What owns a role's state and takes its inputs one after the other.
pub trait Actor {
    /// Inputs.
    type Input;

    /// Time has passed.
    fn on_tick(&mut self);

    /// An input came.
    fn on_input(&mut self, input: Self::Input);

    /// Whether it takes no more inputs.
    fn has_stopped(&self) -> bool;
}

/// Hands inputs and ticks to `owner` until it has stopped. Ticks go first, so that a flood of
/// inputs delays no lease; after a pause there is one tick, not one for each that was missed.
pub async fn run<O: Actor>(
    actor: &mut O,
    mut inputs: mpsc::UnboundedReceiver<O::Input>,
    period: Duration,
) {
    let mut ticks = tokio::time::interval(period);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    while !actor.has_stopped() {
        tokio::select! {
            biased;
            _ = ticks.tick() => actor.on_tick(),
            Some(input) = inputs.recv() => actor.on_input(input),
            else => return,
        }
    }
}
