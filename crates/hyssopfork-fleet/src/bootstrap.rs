//! Bootstrap: which data folder forms the replicated log on the system's first start.
//!
//! All processes start within a fraction of a second, in any order, and know at most three
//! addresses. If every folder that finds no log formed one, there would be two logs. Therefore only
//! the first seed names a folder, once, and only on a first start. That folder forms the log with
//! itself as the only voter, and the others join. If the first seed ends before its message has
//! reached the folder, no log is formed and the operators start the system again; nothing was
//! acknowledged.

use crate::peer;
use hyssopfork_wire::clock;
use std::collections::BTreeSet;
use std::net;
use std::time::Duration;

/// Time for which the first seed collects candidates before it names a folder. The processes start
/// within 0.3 s of each other, and naming a folder whose process is still starting would only delay
/// the start.
const CANDIDATE_PERIOD: Duration = Duration::from_millis(350);

/// Selection of the folder that forms the log.
#[derive(Clone, Debug)]
pub struct Bootstrap {
    is_first_seed: bool,
    started: clock::Instant,
    candidates: BTreeSet<net::SocketAddr>,
    founder: Option<net::SocketAddr>,
}

impl Bootstrap {
    /// `is_first_seed` is true only at the first seed and only on a first start.
    pub fn new(is_first_seed: bool, started: clock::Instant) -> Bootstrap {
        Bootstrap { is_first_seed, started, candidates: BTreeSet::new(), founder: None }
    }

    /// Adds a process whose folder may form the log.
    pub fn add_candidate(&mut self, hello: &peer::Hello) {
        if self.is_first_seed && hello.may_bootstrap {
            self.candidates.insert(hello.address);
        }
    }

    /// The process whose folder forms the log, chosen at the first call after the discovery period.
    ///
    /// Invariant: once chosen, it never changes.
    pub fn choose_founder(&mut self, now: clock::Instant) -> Option<net::SocketAddr> {
        if self.is_first_seed
            && self.founder.is_none()
            && now.since(self.started) >= CANDIDATE_PERIOD
        {
            self.founder = self.candidates.first().copied();
        }
        self.founder
    }
}
