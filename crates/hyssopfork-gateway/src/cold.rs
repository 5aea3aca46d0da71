//! What an upstream gets just after it has started.
//!
//! *Pattern.* A cold upstream bears some tens of requests a second and falls over above. After a
//! zone's return many are cold at once, and every process finds them empty at the same time.
//!
//! *Without it.* The emptiest upstream is chosen first, by everybody: the cold ones.
//!
//! *Rule.* While an upstream is cold, each process sends it its even part of what it bears in any
//! second.

use hyssopfork_wire::clock;
use std::collections::VecDeque;
use std::time::Duration;

/// The span that the rate is counted over.
const SPAN: Duration = Duration::from_secs(1);

/// Sends to one upstream in the last second.
#[derive(Clone, Debug, Default)]
pub struct Recent {
    sends: VecDeque<clock::Instant>,
}

impl Recent {
    /// Notes a send.
    pub fn note(&mut self, now: clock::Instant) {
        self.trim(now);
        self.sends.push_back(now);
    }

    /// Whether another send stays within this process's part of `rate` a second.
    pub fn has_room(&self, now: clock::Instant, rate: f64, entries: u32) -> bool {
        let recent = self.sends.iter().filter(|sent| now.since(**sent) < SPAN).count();
        let part = (rate / f64::from(entries.max(1))).floor().max(1.0);
        ((recent + 1) as f64) <= part
    }

    fn trim(&mut self, now: clock::Instant) {
        while self.sends.front().is_some_and(|sent| now.since(*sent) >= SPAN) {
            self.sends.pop_front();
        }
    }
}
