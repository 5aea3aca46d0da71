//! Pauses that upstreams ask this entry for.
//!
//! An upstream that rejects a request may ask the entry that sent it to send nothing for a time.
//! Other entries are not told: the upstream has not asked them, and excluding it everywhere would
//! take away capacity that it still offers. As with a half-open circuit breaker, the first request
//! after the pause is a trial: until its response arrives, other upstreams are preferred.

use hyssopfork_fleet::quarantine;
use hyssopfork_wire::{clock, name};
use std::collections::BTreeMap;
use std::time::Duration;

/// Longest pause. A longer one, for example by mistake, would outlast the repair of the upstream.
const MAX_PAUSE: Duration = Duration::from_secs(3_600);

/// Time after a pause for which its end is remembered, so that the next request is a trial.
const RETENTION: Duration = Duration::from_secs(10);

/// Pause of one upstream.
#[derive(Clone, Copy, Debug)]
struct Pause {
    /// Start of the process that asked for it. A new process starts without a pause.
    start_time_ms: u64,
    /// End of the pause.
    until: clock::Instant,
    /// Number of the request that was sent as a trial after the pause.
    trial: Option<u64>,
}

/// Pauses of all upstreams.
///
/// They are independent of the view: a group that is formed again with the same head does not end
/// the pause of its process.
#[derive(Clone, Debug, Default)]
pub struct Pauses(BTreeMap<name::Instance, Pause>);

impl Pauses {
    /// Records that a process asks for a pause from now on. A pause that ends later stays.
    pub fn record(
        &mut self,
        now: clock::Instant,
        process: quarantine::Process,
        duration: Duration,
    ) {
        let start_time_ms = process.start_time_ms;
        let until = self.get(&process.instance, start_time_ms).map(|pause| pause.until);
        let until = until.unwrap_or(now).max(now + duration.min(MAX_PAUSE));
        self.0.insert(process.instance, Pause { start_time_ms, until, trial: None });
    }

    /// Time until requests may be sent to the process; zero for now.
    pub fn remaining(
        &self,
        now: clock::Instant,
        instance: &name::Instance,
        start_time_ms: u64,
    ) -> Duration {
        self.get(instance, start_time_ms).map_or(Duration::ZERO, |pause| now.until(pause.until))
    }

    /// Whether a trial is in flight at the process.
    pub fn has_trial(&self, instance: &name::Instance, start_time_ms: u64) -> bool {
        self.get(instance, start_time_ms).is_some_and(|pause| pause.trial.is_some())
    }

    /// Records that a request was sent. The first one after a pause is the trial.
    pub fn on_sent(&mut self, instance: &name::Instance, number: u64) {
        if let Some(pause) = self.0.get_mut(instance) {
            pause.trial.get_or_insert(number);
        }
    }

    /// Records a response that asks for no pause. The response to a trial ends the pause.
    pub fn on_response(&mut self, instance: &name::Instance, number: u64) {
        if self.0.get(instance).is_some_and(|pause| pause.trial == Some(number)) {
            self.0.remove(instance);
        }
    }

    /// Records that an attempt has ended. After a trial without a response, the next request is one.
    pub fn on_attempt_ended(&mut self, instance: &name::Instance, number: u64) {
        if let Some(pause) = self.0.get_mut(instance) {
            pause.trial = pause.trial.filter(|trial| *trial != number);
        }
    }

    /// Removes pauses that ended longer than the retention time ago.
    pub fn expire(&mut self, now: clock::Instant) {
        self.0.retain(|_, pause| now.since(pause.until) < RETENTION);
    }

    fn get(&self, instance: &name::Instance, start_time_ms: u64) -> Option<&Pause> {
        self.0.get(instance).filter(|pause| pause.start_time_ms == start_time_ms)
    }
}
