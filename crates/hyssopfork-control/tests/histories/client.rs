//! Common interface of the clients of control.

use crate::histories::{claimer, holder, operator};
use hyssopfork_wire::{change, control, number};
use std::collections::BTreeMap;

/// A request as it was sent.
pub struct Ask {
    pub request: control::Request,
    /// True time at which it was sent.
    pub sent: u64,
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
    pub fn wake(&mut self, now: u64, random: &mut rand_chacha::ChaCha8Rng) -> (Vec<Ask>, u64) {
        let (requests, again) = match self {
            Client::Operator(operator) => operator.wake(now, random),
            Client::Claimer(claimer) => claimer.wake(now, random),
            Client::Holder(holder) => holder.wake(now),
        };
        let ask = |request| Ask { request, sent: now };
        (requests.into_iter().map(ask).collect(), again)
    }

    pub fn answered(
        &mut self,
        now: u64,
        ask: Ask,
        response: Option<control::Response>,
        versions: &mut Versions,
    ) {
        match self {
            Client::Operator(operator) => operator.answered(now, ask, response),
            Client::Claimer(claimer) => claimer.answered(now, ask, response),
            Client::Holder(holder) => holder.answered(now, ask, response, versions),
        }
    }

    pub fn restart(&mut self, now: u64, random: &mut rand_chacha::ChaCha8Rng) {
        if let Client::Holder(holder) = self {
            holder.restart(now, random);
        }
    }
}
