//! Lease on the view: while it is valid, the view is not stale.

use hyssopfork_wire::clock;
use std::time::Duration;

/// A lease, on its holder's own clock.
///
/// Invariant: the time of expiry never decreases.
#[derive(Clone, Copy, Debug, Default)]
pub struct Lease {
    expires_at: Option<clock::Instant>,
}

impl Lease {
    /// Extends the lease by a grant of `duration` that was requested at `sent`.
    ///
    /// The duration runs from the request and not from the response: control granted the lease at
    /// some time between the two, and a response that was delayed in the network would otherwise
    /// extend the lease on a view that control has changed since. The time of the request is safe
    /// wherever the delay was.
    pub fn extend(&mut self, sent: clock::Instant, duration: Duration) {
        let expires_at = sent + duration;
        self.expires_at = self.expires_at.max(Some(expires_at));
    }

    /// Whether the lease is valid at `now`.
    pub fn is_valid(&self, now: clock::Instant) -> bool {
        self.expires_at.is_some_and(|expires_at| now < expires_at)
    }

    /// Time of expiry; `None` if no lease was ever granted.
    pub fn expires_at(&self) -> Option<clock::Instant> {
        self.expires_at
    }
}
