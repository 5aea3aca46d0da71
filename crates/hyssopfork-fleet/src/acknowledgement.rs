//! Acknowledgement of changes where the voters are fewer than the instances with a data folder.
//!
//! An instance that gave its vote to a newer one still serves clients. A majority of the voters can
//! therefore be a minority of the instances, and the others, in contact with each other and without a
//! leader, go on with the declaration that they have. A change is acknowledged once the instances that may
//! run without it are at most half of all.

use std::time::Duration;

/// Time after the last answer for which an instance counts as in contact.
pub const CONTACT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time for which a change waits for instances that may still receive it.
pub const RECEIPT_TIMEOUT: Duration = Duration::from_millis(500);

/// Instance that has a seat, or gave it to a newer one; other than the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Member {
    /// Whether its entry has received the change.
    pub has_received: bool,
    /// Whether it has answered within [`CONTACT_TIMEOUT`].
    pub is_in_contact: bool,
    /// Whether it may still answer: it is in contact, or this leader's term has just begun.
    pub is_awaited: bool,
    /// Whether its address refuses connections, so that no process runs there.
    pub has_ended: bool,
}

/// Whether a change may be acknowledged that the leader has, and has applied for `waited`.
pub fn may_acknowledge(members: &[Member], waited: Duration) -> bool {
    let is_missing = |member: &&Member| !member.has_received && !member.has_ended;
    let missing = || members.iter().filter(is_missing);
    let is_expected = waited < RECEIPT_TIMEOUT && missing().any(|member| member.is_awaited);
    !is_expected && is_minority(missing().count(), members)
}

/// Whether the instances out of contact are at most half of those that may run, the leader included.
pub fn has_contact(members: &[Member]) -> bool {
    let is_missing = |member: &&Member| !member.is_in_contact && !member.has_ended;
    is_minority(members.iter().filter(is_missing).count(), members)
}

fn is_minority(missing: usize, members: &[Member]) -> bool {
    let running = 1 + members.iter().filter(|member| !member.has_ended).count();
    2 * missing <= running
}
