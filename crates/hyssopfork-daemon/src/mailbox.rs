//! Actors: each role's state is owned by one event loop, and every thread sends inputs to its
//! mailbox.

use std::time::Duration;
use tokio::sync::mpsc;
use tokio::sync::mpsc::error::SendError;

/// Sends inputs to an actor's event loop.
#[derive(Debug)]
pub struct Mailbox<T>(mpsc::UnboundedSender<T>);

impl<T> Clone for Mailbox<T> {
    fn clone(&self) -> Self {
        Mailbox(self.0.clone())
    }
}

impl<T: 'static> Mailbox<T> {
    /// Delivers an input once `input` resolves, without blocking this thread.
    pub fn post_when(&self, input: impl Future<Output = T> + 'static) {
        let mailbox = self.clone();
        actix_rt::spawn(async move { mailbox.post(input.await) });
    }
}

impl<T> Mailbox<T> {
    /// Delivers an input. Inputs after the event loop's end are dropped, since the process is
    /// stopping.
    pub fn post(&self, input: T) {
        if let Err(SendError(_input)) = self.0.send(input) {
            tracing::debug!("input dropped: the role's event loop has ended");
        }
    }
}

/// A mailbox and the receiver for its event loop.
pub fn open<T>() -> (Mailbox<T>, mpsc::UnboundedReceiver<T>) {
    let (sender, receiver) = mpsc::unbounded_channel();
    (Mailbox(sender), receiver)
}

/// Owns a role's state and handles its inputs one at a time.
pub trait Actor {
    /// Inputs.
    type Input;

    /// Called once in every tick interval.
    fn on_tick(&mut self);

    /// Handles an input.
    fn on_input(&mut self, input: Self::Input);

    /// Whether the actor has stopped.
    fn has_stopped(&self) -> bool;
}

/// Runs the event loop of `actor` until it has stopped.
///
/// Ticks take precedence, so that a flood of inputs delays no lease. After a pause there is one
/// tick, not one for each missed interval.
pub async fn run<O: Actor>(
    actor: &mut O,
    mut inputs: mpsc::UnboundedReceiver<O::Input>,
    tick_interval: Duration,
) {
    let mut ticks = tokio::time::interval(tick_interval);
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
