//! Idle connections to upstreams.

use hyssopfork_exchange::connection;
use hyssopfork_wire::name;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net;
use std::time::Duration;
use tokio::time;

/// Time for which an idle connection is used again where the upstream names none.
const IDLE: Duration = Duration::from_millis(1_500);

/// Longest such time: one that went silent meanwhile costs a request its objective.
const IDLE_LIMIT: Duration = Duration::from_secs(4);

/// Time before the upstream closes an idle connection at which it is not used any more: a request
/// that crosses the close may or may not have run.
const MARGIN: Duration = Duration::from_secs(1);

/// Idle connections that are kept for one upstream.
const KEPT: usize = 16;

struct Idle {
    connection: connection::Connection,
    until: time::Instant,
}

/// Who a connection leads to: an address alone may be another upstream's by now.
pub type Key = (name::Instance, net::SocketAddr);

/// The pool; owned by one thread.
#[derive(Default)]
pub struct Pool {
    idle: RefCell<HashMap<Key, Vec<Idle>>>,
}

impl Pool {
    /// An idle connection that can be used now.
    pub fn take(&self, key: &Key) -> Option<connection::Connection> {
        let mut pool = self.idle.borrow_mut();
        let idle = pool.get_mut(key)?;
        let now = time::Instant::now();
        while let Some(Idle { connection, until }) = idle.pop() {
            if now < until && connection.is_idle() {
                return Some(connection);
            }
        }
        None
    }

    /// Keeps a connection whose answer was read whole.
    pub fn give(&self, key: Key, connection: connection::Connection, keep: Option<Duration>) {
        if !connection.is_reusable() {
            return;
        }
        let named = keep.map(|keep| keep.saturating_sub(MARGIN));
        let until = time::Instant::now() + named.unwrap_or(IDLE).min(IDLE_LIMIT);
        let mut pool = self.idle.borrow_mut();
        let idle = pool.entry(key).or_default();
        if idle.len() < KEPT {
            idle.push(Idle { connection, until });
        }
    }

    /// Closes what is too old.
    pub fn trim(&self) {
        let now = time::Instant::now();
        self.idle.borrow_mut().retain(|_, idle| {
            idle.retain(|idle| now < idle.until);
            !idle.is_empty()
        });
    }
}
