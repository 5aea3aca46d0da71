//! Rate limits that upstreams name in their answers.

use super::Core;
use crate::{notice, rendezvous};
use hyssopfork_fleet::{quarantine, rate};
use hyssopfork_wire::clock;

impl Core {
    /// Takes in the rate that an upstream names in an answer; `None` where it names none.
    pub(super) fn hear_rate(&mut self, number: u64, rate: Option<rate::Rate>) {
        let now = self.now;
        let Some(target) = self.target_of(number) else { return };
        if !target.named.hear(now, rate) {
            return;
        }
        let attempt = self.requests.get(&number).and_then(|request| request.attempt.as_ref());
        let Some(instance) = attempt.map(|attempt| attempt.instance.clone()) else { return };
        let key = instance.as_str().as_bytes();
        let rank = rendezvous::rank(self.settings.address, self.entries.keys(), key);
        let entries = self.entry_count();
        if let Some(target) = self.targets.get_mut(&instance) {
            target.divide_rate(rank, entries);
        }
        self.note(notice::Notice::RateNamed { instance, rate });
        self.tell();
    }

    /// Changes to report to the leader.
    pub(super) fn rate_changes(&self, now: clock::Instant) -> Vec<rate::Change> {
        let changes = self.targets.iter().filter_map(|(instance, target)| {
            let (rate, age) = target.named.report(now)?;
            let instance = instance.clone();
            let process = quarantine::Process { instance, start_time_ms: target.incarnation.born };
            Some(rate::Change { process, rate, age })
        });
        changes.collect()
    }
}
