//! Rate limits that upstreams name in their responses.

use super::Core;
use crate::{notice, rendezvous};
use hyssopfork_fleet::{quarantine, rate};
use hyssopfork_wire::clock;

impl Core {
    /// Applies the rate that an upstream names in a response; `None` if it names none.
    pub(super) fn on_named_rate(&mut self, number: u64, rate: Option<rate::Rate>) {
        let now = self.now;
        let Some(target) = self.target_of(number) else { return };
        if !target.named_rate.on_response(now, rate) {
            return;
        }
        let attempt = self.requests.get(&number).and_then(|request| request.attempt.as_ref());
        let Some(instance) = attempt.map(|attempt| attempt.instance.clone()) else { return };
        let key = instance.as_str().as_bytes();
        let rank = rendezvous::rank(self.settings.address, self.entries.keys(), key);
        if let Some(target) = self.targets.get_mut(&instance) {
            target.update_rate_share(now, rank, &self.members);
        }
        self.log(notice::Notice::RateNamed { instance, rate });
        self.report_evidence();
    }

    /// Changes to report to the leader.
    pub(super) fn rate_changes(&self, now: clock::Instant) -> Vec<rate::Change> {
        let changes = self.targets.iter().filter_map(|(instance, target)| {
            let (rate, age) = target.named_rate.report(now)?;
            let instance = instance.clone();
            let process = quarantine::Process { instance, start_time_ms: target.incarnation.born };
            Some(rate::Change { process, rate, age })
        });
        changes.collect()
    }
}
