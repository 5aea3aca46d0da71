//! Assignment of applied entries to proposals, and expiry.

use hyssopfork_consensus::proposals::Proposals;
use hyssopfork_wire::clock;
use hyssopfork_wire::number::{Index, Term};
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_millis(1_500);

fn at(millis: u64) -> clock::Instant {
    clock::Instant::from_millis(millis)
}

#[test]
fn an_entry_of_another_term_is_not_reported_as_applied() {
    let mut proposals = Proposals::default();
    let ticket = proposals.register(at(0), 7);
    proposals.record_position(ticket, Index(4), Term(2));

    assert_eq!(proposals.take_applied(Index(4), Term(3)), None);
}

#[test]
fn an_expired_proposal_is_returned_once() {
    let mut proposals = Proposals::default();
    proposals.register(at(0), 7);

    assert_eq!(proposals.take_expired(at(1_600), TIMEOUT), [7]);
    assert_eq!(proposals.take_expired(at(1_700), TIMEOUT), Vec::<u64>::new());
}
