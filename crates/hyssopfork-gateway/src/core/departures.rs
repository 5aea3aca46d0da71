//! Upstreams that state in their responses that they leave.

use super::Core;
use crate::notice;
use hyssopfork_fleet::{quarantine, view};

impl Core {
    /// Handles a statement of the newest attempt's upstream that it leaves: it gets no new requests,
    /// whatever it announces, and the leader is notified, which replaces its group.
    pub(super) fn on_upstream_leaving(&mut self, number: u64) {
        let attempt = self.requests.get(&number).and_then(|request| request.attempt.as_ref());
        let Some(attempt) = attempt else { return };
        let (instance, start_time_ms) = (attempt.instance.clone(), attempt.incarnation.born);
        let process = quarantine::Process { instance: instance.clone(), start_time_ms };
        if !self.leaving.record(self.now, process) {
            return;
        }
        let target = self.targets.get_mut(&instance);
        if let Some(target) = target.filter(|target| target.incarnation.born == start_time_ms) {
            target.standing = view::Status::Leaving;
        }
        self.log(notice::Notice::UpstreamLeaving(instance));
        self.report_evidence();
    }
}
