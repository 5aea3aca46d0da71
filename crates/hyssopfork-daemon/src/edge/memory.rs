//! Budget of the memory that a process holds for its clients and upstreams.

use crate::edge::http_server;
use crate::{log, notice};
use hyssopfork_gateway::action;
use hyssopfork_platform::reply;
use hyssopfork_telemetry::metrics;
use std::cell::Cell;
use std::net;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// Part of the instance's memory that is held for clients and upstreams. The rest is for the
/// control state, the allocator and the buffers that are not counted.
const BUDGET_RATIO: f64 = 3.0 / 8.0;

/// Part of the budget that requests with large bodies may use, so that a few of them don't cause
/// all others to be rejected.
const LARGE_RATIO: f64 = 3.0 / 4.0;

/// Bytes counted for each request: its head, and the buffers of its two connections.
pub const REQUEST_BYTES: usize = 16 << 10;

/// Bytes above which a request counts as one with a large body.
const LARGE_REQUEST_BYTES: usize = REQUEST_BYTES + (64 << 10);

/// Step in which more bytes are counted.
const STEP_BYTES: usize = 8 << 10;

/// `Retry-After` of a request that is rejected for lack of memory. Peers that don't read hold
/// memory for 5 s at most, and other requests end earlier.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Time without reading by the client after which the end of a response is attributed to it.
const MIN_UNREAD_TIME: Duration = Duration::from_secs(1);

/// Time from which on a read has waited for the upstream.
const MIN_UPSTREAM_WAIT: Duration = Duration::from_millis(50);

/// Bytes held, and the most that may be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Budget {
    limit: usize,
    held: usize,
}

impl Budget {
    /// Budget of a process whose instance has `memory_mb` MB.
    pub fn of_instance(memory_mb: f64) -> Budget {
        let bytes = memory_mb * f64::from(1 << 20);
        Budget { limit: (bytes * BUDGET_RATIO) as usize, held: 0 }
    }

    /// Bytes held.
    pub fn held(&self) -> usize {
        self.held
    }

    /// Changes the bytes of one request from `before` to `after`, if the budget allows it.
    pub fn try_change(&mut self, before: usize, after: usize) -> bool {
        let held = self.held - before + after;
        let large_limit = (self.limit as f64 * LARGE_RATIO) as usize;
        let limit = if after > LARGE_REQUEST_BYTES { large_limit } else { self.limit };
        let is_allowed = after <= before || held <= limit;
        if is_allowed {
            self.held = held;
        }
        is_allowed
    }
}

/// Memory held by the connections of one thread.
pub struct Memory {
    budget: Cell<Budget>,
    registry: Option<Arc<metrics::Registry>>,
}

impl Memory {
    /// Memory with this budget, recorded in the metrics.
    pub fn new(budget: Budget, registry: Arc<metrics::Registry>) -> Rc<Memory> {
        Rc::new(Memory { budget: Cell::new(budget), registry: Some(registry) })
    }

    /// Memory without a limit, for connections that don't come from clients.
    pub fn unlimited() -> Rc<Memory> {
        let budget = Budget { limit: usize::MAX / 2, held: 0 };
        Rc::new(Memory { budget: Cell::new(budget), registry: None })
    }

    /// Counts a request with a body of this length; `None` if the budget doesn't allow it.
    pub fn admit(self: &Rc<Memory>, body_length: usize) -> Option<Rc<Reservation>> {
        let reservation = Reservation { memory: self.clone(), bytes: Cell::new(0) };
        reservation.resize(body_length).then(|| Rc::new(reservation))
    }

    /// Records a request that was rejected for lack of memory, and returns the response.
    pub fn reject(&self, body_length: Option<usize>) -> http_server::Response {
        if let Some(registry) = &self.registry {
            registry.count_memory_rejection();
        }
        log::notice(&notice::Notice::MemoryExhausted(self.budget.get().held(), body_length));
        let reason = action::Reason::Memory;
        let rejection = action::Rejection::new(reason, Some(RETRY_AFTER));
        let reply = reply::rejection_reply(&rejection);
        let headers = reply.headers.into_iter().map(|(name, value)| (name.to_owned(), value));
        http_server::Response::new(reply.status, headers.collect(), reply.body)
    }

    /// Records a client that is disconnected because it stopped reading.
    pub fn on_client_stalled(&self, client: net::SocketAddr, timeout: Duration) {
        if let Some(registry) = &self.registry {
            registry.count_stalled_client();
        }
        log::notice(&notice::Notice::ClientStalled(client, timeout.as_millis() as u64));
    }

    fn try_change(&self, before: usize, after: usize) -> bool {
        let mut budget = self.budget.get();
        let is_allowed = budget.try_change(before, after);
        self.budget.set(budget);
        if let Some(registry) = &self.registry {
            registry.set_held_bytes(budget.held());
        }
        is_allowed
    }
}

/// Bytes counted for one request until it is dropped.
pub struct Reservation {
    memory: Rc<Memory>,
    bytes: Cell<usize>,
}

impl Reservation {
    /// Counts `bytes` of bodies, besides the fixed part; returns whether the budget allows them.
    pub fn resize(&self, bytes: usize) -> bool {
        let bytes = REQUEST_BYTES + bytes.next_multiple_of(STEP_BYTES);
        let is_allowed = self.memory.try_change(self.bytes.get(), bytes);
        if is_allowed {
            self.bytes.set(bytes);
        }
        is_allowed
    }
}

impl Reservation {
    /// Bytes of bodies that are counted.
    pub fn body_bytes(&self) -> usize {
        self.bytes.get().saturating_sub(REQUEST_BYTES)
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.memory.try_change(self.bytes.get(), 0);
    }
}

/// Time that a client has not read for since its upstream was last waited for. An upstream that
/// ends such a response did so because it could not write.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Unread(Duration);

impl Unread {
    /// Adds the time that the client took for a part.
    pub fn on_part_taken(&mut self, after: Duration) {
        self.0 += after;
    }

    /// Records that a read returned bytes of the upstream after this time.
    pub fn on_part_received(&mut self, after: Duration) {
        if after >= MIN_UPSTREAM_WAIT {
            self.0 = Duration::ZERO;
        }
    }

    /// Whether the client is the cause if a read finds after this time that the response ended.
    pub fn explains_end(&self, after: Duration) -> bool {
        self.0 >= MIN_UNREAD_TIME && after < MIN_UPSTREAM_WAIT
    }
}
