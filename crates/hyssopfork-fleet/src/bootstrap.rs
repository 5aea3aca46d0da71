//! Which folder forms the replicated log when the system starts for the first time.
//!
//! All processes start within a fraction of a second, in any order, and know three addresses at
//! most. Were each folder that finds no log to form one, two would. So one process alone, the first
//! seed, names one folder, once, and only in a first start; that folder forms the log with itself
//! as the only voter, and the others join. If the first seed ends before its word has reached the
//! folder, nobody forms a log, and the operators start the system anew: nothing was acknowledged.

use crate::peer;
use hyssopfork_wire::clock;
use std::collections::BTreeSet;
use std::net;
use std::time::Duration;

/// Time that the first seed listens before it names a folder: the processes start within 0.3 s of
/// each other, and a folder that is named while its process still starts would only lose time.
const DISCOVERY_PERIOD: Duration = Duration::from_millis(350);

/// The first seed's part.
#[derive(Clone, Debug)]
pub struct Bootstrap {
    is_first_seed: bool,
    started: clock::Instant,
    candidates: BTreeSet<net::SocketAddr>,
    founder: Option<net::SocketAddr>,
}

impl Bootstrap {
    /// `names` is true at the first seed, in a first start.
    pub fn new(is_first_seed: bool, started: clock::Instant) -> Bootstrap {
        Bootstrap { is_first_seed, started, candidates: BTreeSet::new(), founder: None }
    }

    /// Takes in what a process says of its folder.
    pub fn add_candidate(&mut self, hello: &peer::Hello) {
        if self.is_first_seed && hello.may_bootstrap {
            self.candidates.insert(hello.address);
        }
    }

    /// The folder that is to form the log.
    ///
    /// Invariant: once named, never another.
    pub fn choose_founder(&mut self, now: clock::Instant) -> Option<net::SocketAddr> {
        if self.is_first_seed
            && self.founder.is_none()
            && now.since(self.started) >= DISCOVERY_PERIOD
        {
            self.founder = self.candidates.first().copied();
        }
        self.founder
    }
}
