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
const LISTEN: Duration = Duration::from_millis(350);

/// The first seed's part.
#[derive(Clone, Debug)]
pub struct Founding {
    names: bool,
    started: clock::Instant,
    candidates: BTreeSet<net::SocketAddr>,
    named: Option<net::SocketAddr>,
}

impl Founding {
    /// `names` is true at the first seed, in a first start.
    pub fn new(names: bool, started: clock::Instant) -> Founding {
        Founding { names, started, candidates: BTreeSet::new(), named: None }
    }

    /// Takes in what a process says of its folder.
    pub fn note(&mut self, hello: &peer::Hello) {
        if self.names && hello.may_found {
            self.candidates.insert(hello.address);
        }
    }

    /// The folder that is to form the log.
    ///
    /// Invariant: once named, never another.
    pub fn founder(&mut self, now: clock::Instant) -> Option<net::SocketAddr> {
        if self.names && self.named.is_none() && now.since(self.started) >= LISTEN {
            self.named = self.candidates.first().copied();
        }
        self.named
    }
}
