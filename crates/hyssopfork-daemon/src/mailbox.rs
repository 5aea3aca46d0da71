//! Actors: each role's state is owned by one event loop, and every thread sends inputs to its
//! mailbox.

use std::time::Duration;
use tokio::sync::mpsc;
use tokio::sync::mpsc::error::SendError;

/// Sends inputs to an actor's event loop.
#[derive(Debug)]
pub struct Mailbox<T> {
    inputs: mpsc::UnboundedSender<T>,
    urgent_inputs: mpsc::UnboundedSender<T>,
}

/// Receives the inputs of an actor.
#[derive(Debug)]
pub struct Receiver<T> {
    inputs: mpsc::UnboundedReceiver<T>,
    urgent_inputs: mpsc::UnboundedReceiver<T>,
}

impl<T> Clone for Mailbox<T> {
    fn clone(&self) -> Self {
        Mailbox { inputs: self.inputs.clone(), urgent_inputs: self.urgent_inputs.clone() }
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
        send(&self.inputs, input);
    }

    /// Delivers an input before those that wait already, for messages with short deadlines.
    pub fn post_urgent(&self, input: T) {
        send(&self.urgent_inputs, input);
    }
}

fn send<T>(inputs: &mpsc::UnboundedSender<T>, input: T) {
    if let Err(SendError(_input)) = inputs.send(input) {
        tracing::debug!("input dropped: the role's event loop has ended");
    }
}

/// A mailbox and the receiver for its event loop.
pub fn open<T>() -> (Mailbox<T>, Receiver<T>) {
    let (inputs, input_receiver) = mpsc::unbounded_channel();
    let (urgent_inputs, urgent_receiver) = mpsc::unbounded_channel();
    let receiver = Receiver { inputs: input_receiver, urgent_inputs: urgent_receiver };
    (Mailbox { inputs, urgent_inputs }, receiver)
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
/// Ticks and urgent inputs take precedence, so that a flood of inputs delays no lease. After a pause there is one
/// tick, not one for each missed interval.
pub async fn run<O: Actor>(
    actor: &mut O,
    mut receiver: Receiver<O::Input>,
    tick_interval: Duration,
) {
    let mut ticks = tokio::time::interval(tick_interval);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    while !actor.has_stopped() {
        tokio::select! {
            biased;
            _ = ticks.tick() => actor.on_tick(),
            Some(input) = receiver.urgent_inputs.recv() => actor.on_input(input),
            Some(input) = receiver.inputs.recv() => actor.on_input(input),
            else => return,
        }
    }
}
