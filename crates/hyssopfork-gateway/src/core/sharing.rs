//! Exchange of exact counts with the other entries.

use super::Core;
use crate::{action, notice, occupancy};
use hyssopfork_wire::name;
use std::collections::BTreeMap;
use std::{mem, net};

/// The exchange, and the head of each group that takes part.
#[derive(Debug)]
pub(super) struct Sharing {
    exchange: occupancy::Exchange,
    heads: BTreeMap<occupancy::Key, name::Instance>,
    /// Whether requests for groups arrived in this interval.
    has_arrivals: bool,
}

impl Sharing {
    /// Records that a request for a group arrived.
    pub(super) fn on_arrival(&mut self) {
        self.has_arrivals = true;
    }
}

impl Core {
    /// Enables the exchange of counts. `boot` is the start of the process in ms since 1970.
    pub fn share_load(&mut self, boot: u64) {
        let exchange = occupancy::Exchange::new(self.settings.address, boot, self.now);
        self.sharing = Some(Sharing { exchange, heads: BTreeMap::new(), has_arrivals: false });
    }

    /// Passes the published entries and the groups to the exchange.
    pub(super) fn update_sharing(&mut self) {
        let Some(sharing) = &mut self.sharing else { return };
        let groups = self.targets.iter().filter(|(_, target)| target.model.is_some());
        let listed = groups.map(|(head, target)| occupancy::Listed {
            key: target.key,
            head: head.clone(),
            preference: target.preference,
            slots: target.load.slots(),
        });
        let listed: Vec<_> = listed.collect();
        sharing.heads = listed.iter().map(|group| (group.key, group.head.clone())).collect();
        let event = occupancy::Event::ViewUpdated(&self.entries, listed);
        let actions = sharing.exchange.step(self.now, event);
        self.apply_sharing(actions);
    }

    pub(super) fn on_sharing_interval(&mut self) {
        let Some(sharing) = &mut self.sharing else { return };
        let counts = self.targets.values().filter(|it| it.model.is_some()).map(|target| {
            let count = occupancy::Count {
                requests: target.load.own_requests,
                tokens: target.load.own_tokens,
            };
            (target.key, count)
        });
        let own = counts.filter(|(_, count)| *count != occupancy::Count::default()).collect();
        let has_arrivals = mem::take(&mut sharing.has_arrivals);
        let event = occupancy::Event::IntervalElapsed { own, has_arrivals };
        let actions = sharing.exchange.step(self.now, event);
        self.apply_sharing(actions);
    }

    pub(super) fn on_counts_received(
        &mut self,
        from: net::SocketAddr,
        message: occupancy::Message,
    ) {
        let Some(sharing) = &mut self.sharing else { return };
        let event = occupancy::Event::Received(from, message);
        let actions = sharing.exchange.step(self.now, event);
        self.apply_sharing(actions);
    }

    fn apply_sharing(&mut self, actions: Vec<occupancy::Action>) {
        for action in actions {
            match action {
                occupancy::Action::Send(to, message) => {
                    self.actions.push(action::Action::SendCounts(to, message));
                }
                occupancy::Action::Total(key, total) => {
                    let head = self.sharing.as_ref().and_then(|it| it.heads.get(&key));
                    if let Some(target) = head.and_then(|head| self.targets.get_mut(head)) {
                        target.load.set_total(total);
                    }
                }
                occupancy::Action::Dropped => self.actions.push(action::Action::CountsDropped),
                occupancy::Action::Silent(entry) => {
                    self.log(notice::Notice::CoordinatorSilent(entry));
                }
                occupancy::Action::Restored(entry) => {
                    self.log(notice::Notice::CoordinatorRestored(entry));
                }
            }
        }
    }
}
