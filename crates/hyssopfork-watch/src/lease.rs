//! Lease on the view: the proof that the view is recent.

use hyssopfork_wire::clock;
use std::time::Duration;

/// A lease, on its holder's own clock.
///
/// Invariant: its end never moves back.
#[derive(Clone, Copy, Debug, Default)]
pub struct Lease {
    expires_at: Option<clock::Instant>,
}

impl Lease {
    /// Takes a grant of `term` that was asked for at `sent`.
    ///
    /// The term runs from the sending, not from the answer: control granted somewhere between the
    /// two, and an answer that a network held back for long would otherwise prove a view recent
    /// that control has since changed. The earlier moment is right wherever the delay was.
    pub fn extend(&mut self, sent: clock::Instant, duration: Duration) {
        let until = sent + duration;
        self.expires_at = self.expires_at.max(Some(until));
    }

    /// Whether the lease is in force at `now`.
    pub fn is_valid(&self, now: clock::Instant) -> bool {
        self.expires_at.is_some_and(|until| now < until)
    }

    /// When the lease lapses; `None` when none was ever held.
    pub fn expires_at(&self) -> Option<clock::Instant> {
        self.expires_at
    }
}
