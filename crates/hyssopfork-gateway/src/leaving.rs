//! Upstream processes that have stated in a response that they leave.

use hyssopfork_fleet::{quarantine, view};
use hyssopfork_wire::{clock, name};
use std::collections::BTreeMap;
use std::time::Duration;

/// Time for which a process is remembered after it was last in the view. It may return to the view,
/// for example with a new leader, but it does not stop leaving.
const RETENTION: Duration = Duration::from_secs(60);

/// Processes that leave, and when each was last in the view.
#[derive(Clone, Debug, Default)]
pub struct Leaving(BTreeMap<quarantine::Process, clock::Instant>);

impl Leaving {
    /// Records that a process states that it leaves; returns whether this is new.
    pub fn record(&mut self, now: clock::Instant, process: quarantine::Process) -> bool {
        self.0.insert(process, now).is_none()
    }

    /// Whether the process leaves.
    pub fn contains(&self, process: &quarantine::Process) -> bool {
        self.0.contains_key(process)
    }

    /// Processes to report to the leader: those that it doesn't publish as leaving yet.
    pub fn to_report(
        &self,
        upstreams: &BTreeMap<name::Instance, view::Upstream>,
    ) -> Vec<quarantine::Process> {
        let is_unknown = |process: &&quarantine::Process| {
            published(upstreams, process).is_some_and(|it| it.status != view::Status::Leaving)
        };
        self.0.keys().filter(is_unknown).cloned().collect()
    }

    /// Removes processes that have not been in the view for the retention time.
    pub fn expire(
        &mut self,
        now: clock::Instant,
        upstreams: &BTreeMap<name::Instance, view::Upstream>,
    ) {
        self.0.retain(|process, last_in_view| {
            if published(upstreams, process).is_some() {
                *last_in_view = now;
            }
            now.since(*last_in_view) < RETENTION
        });
    }
}

/// The upstream in the view, if it is still this process.
fn published<'a>(
    upstreams: &'a BTreeMap<name::Instance, view::Upstream>,
    process: &quarantine::Process,
) -> Option<&'a view::Upstream> {
    let upstream = upstreams.get(&process.instance)?;
    (upstream.announcement.start_time_ms == process.start_time_ms).then_some(upstream)
}
