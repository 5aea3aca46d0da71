//! Common interface of the clients of control.

use crate::histories::{claimer, holder, operator};
use hyssopfork_wire::{change, control, number};
use std::collections::BTreeMap;

/// A request as it was sent.
pub struct Call {
    pub request: control::Request,
    /// True time at which it was sent.
    pub sent_at: u64,
}

/// Each version's view, with the time when it was first applied.
pub type Versions = BTreeMap<number::Version, (u64, change::View)>;

pub enum Client {
    Operator(operator::Operator),
    Claimer(claimer::Claimer),
    Holder(holder::Holder),
}

impl Client {
    /// Returns the requests to send now, and the delay until the next wake-up.
    pub fn wake(&mut self, now: u64, random: &mut rand_chacha::ChaCha8Rng) -> (Vec<Call>, u64) {
        let (requests, next_wake) = match self {
            Client::Operator(operator) => operator.wake(now, random),
            Client::Claimer(claimer) => claimer.wake(now, random),
            Client::Holder(holder) => holder.wake(now),
        };
        let call = |request| Call { request, sent_at: now };
        (requests.into_iter().map(call).collect(), next_wake)
    }

    pub fn on_response(
        &mut self,
        now: u64,
        call: Call,
        response: Option<control::Response>,
        versions: &mut Versions,
    ) {
        match self {
            Client::Operator(operator) => operator.on_response(now, call, response),
            Client::Claimer(claimer) => claimer.on_response(now, call, response),
            Client::Holder(holder) => holder.on_response(now, call, response, versions),
        }
    }

    pub fn restart(&mut self, now: u64, random: &mut rand_chacha::ChaCha8Rng) {
        if let Client::Holder(holder) = self {
            holder.restart(now, random);
        }
    }
}
