//! Budget of the memory that is held for clients and upstreams.

use hyssopfork_daemon::edge::memory;
use std::time::Duration;

const MEGABYTE: usize = 1 << 20;

/// Guards against a few large bodies that use the whole budget, so that all others are rejected.
#[test]
fn large_bodies_leave_a_quarter_of_the_budget() {
    let mut budget = memory::Budget::of_instance(32.0);

    let large = (0..12).filter(|_| budget.try_change(0, MEGABYTE)).count();
    let small = (0..400).filter(|_| budget.try_change(0, memory::REQUEST_BYTES)).count();

    assert_eq!((large, small), (9, 3 * MEGABYTE / memory::REQUEST_BYTES));
    assert_eq!(budget.held(), 12 * MEGABYTE);
}

#[test]
fn released_bytes_can_be_held_again() {
    let mut budget = memory::Budget::of_instance(32.0);
    assert!(budget.try_change(0, 9 * MEGABYTE));
    assert!(!budget.try_change(0, MEGABYTE));

    assert!(budget.try_change(9 * MEGABYTE, 0));

    assert!(budget.try_change(0, MEGABYTE));
}

/// Guards against an upstream's failure that is attributed to a client that reads.
#[test]
fn only_a_client_that_did_not_read_explains_the_end() {
    let at_once = Duration::from_millis(1);
    let mut unread = memory::Unread::default();
    assert!(!unread.explains_end(at_once));

    unread.on_part_taken(Duration::from_secs(2));
    unread.on_part_received(at_once);
    assert!(unread.explains_end(at_once));
    assert!(!unread.explains_end(Duration::from_secs(1)));

    unread.on_part_received(Duration::from_secs(1));
    assert!(!unread.explains_end(at_once));
}
