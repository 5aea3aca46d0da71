//! Whose command was applied.

use hyssopfork_consensus::proposals::Proposals;
use hyssopfork_wire::clock;
use hyssopfork_wire::number::{Index, Term};
use std::time::Duration;

const PATIENCE: Duration = Duration::from_millis(1_500);

fn at(millis: u64) -> clock::Instant {
    clock::Instant::from_millis(millis)
}

#[test]
fn a_strangers_entry_is_nobodys_success() {
    let mut proposals = Proposals::default();
    let ticket = proposals.register(at(0), 7);
    proposals.record_position(ticket, Index(4), Term(2));

    assert_eq!(proposals.take_applied(Index(4), Term(3)), None);
}

#[test]
fn a_call_that_waits_too_long_is_told_once() {
    let mut proposals = Proposals::default();
    proposals.register(at(0), 7);

    assert_eq!(proposals.take_expired(at(1_600), PATIENCE), [7]);
    assert_eq!(proposals.take_expired(at(1_700), PATIENCE), Vec::<u64>::new());
}
