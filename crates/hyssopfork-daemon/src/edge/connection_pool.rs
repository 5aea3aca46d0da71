//! Pool of idle connections to upstreams.

use hyssopfork_exchange::connection;
use hyssopfork_wire::name;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net;
use std::time::Duration;
use tokio::time;

/// Time for which an idle connection is reused if the upstream names no keep-alive timeout.
const DEFAULT_REUSE_TIME: Duration = Duration::from_millis(1_500);

/// Maximum time for which an idle connection is reused. Reuse of a connection that has meanwhile
/// gone silent makes the request miss its latency objective.
const MAX_REUSE_TIME: Duration = Duration::from_secs(4);

/// Time before the upstream closes an idle connection from which on it isn't reused. If a request
/// is sent while the upstream closes the connection, whether it has run is unknown.
const CLOSE_MARGIN: Duration = Duration::from_secs(1);

/// Maximum number of idle connections per upstream.
const MAX_IDLE_PER_UPSTREAM: usize = 16;

struct Idle {
    connection: connection::Connection,
    expires_at: time::Instant,
}

/// Upstream of a connection. The address alone does not identify it, because another upstream may
/// have taken it over.
pub type Key = (name::Instance, net::SocketAddr);

/// Connection pool; owned by one thread.
#[derive(Default)]
pub struct Pool {
    idle: RefCell<HashMap<Key, Vec<Idle>>>,
}

impl Pool {
    /// Takes an idle connection that can be reused now.
    pub fn take(&self, key: &Key) -> Option<connection::Connection> {
        let mut pool = self.idle.borrow_mut();
        let idle = pool.get_mut(key)?;
        let now = time::Instant::now();
        while let Some(Idle { connection, expires_at }) = idle.pop() {
            if now < expires_at && connection.is_idle() {
                return Some(connection);
            }
        }
        None
    }

    /// Returns a connection whose response was read completely. `keep_alive` is the keep-alive timeout
    /// that the upstream names.
    pub fn put(&self, key: Key, connection: connection::Connection, keep_alive: Option<Duration>) {
        if !connection.is_reusable() {
            return;
        }
        let reuse_time = keep_alive.map(|keep_alive| keep_alive.saturating_sub(CLOSE_MARGIN));
        let expires_at =
            time::Instant::now() + reuse_time.unwrap_or(DEFAULT_REUSE_TIME).min(MAX_REUSE_TIME);
        let mut pool = self.idle.borrow_mut();
        let idle = pool.entry(key).or_default();
        if idle.len() < MAX_IDLE_PER_UPSTREAM {
            idle.push(Idle { connection, expires_at });
        }
    }

    /// Closes connections that have been idle for too long.
    pub fn close_expired(&self) {
        let now = time::Instant::now();
        self.idle.borrow_mut().retain(|_, idle| {
            idle.retain(|idle| now < idle.expires_at);
            !idle.is_empty()
        });
    }
}
