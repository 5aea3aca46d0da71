//! Whose command was applied.

use crate::fixture;
use hyssopfork_fleet::proposals::Proposals;
use hyssopfork_wire::number::{Index, Term};

#[test]
fn a_strangers_entry_is_nobodys_success() {
    let mut proposals = Proposals::default();
    let ticket = proposals.wait(fixture::at(0), 7);
    proposals.append(ticket, Index(4), Term(2));

    assert_eq!(proposals.apply(Index(4), Term(3)), None);
}

#[test]
fn a_call_that_waits_too_long_is_told_once() {
    let mut proposals = Proposals::default();
    proposals.wait(fixture::at(0), 7);

    assert_eq!(proposals.overdue(fixture::at(1_600)), [7]);
    assert_eq!(proposals.overdue(fixture::at(1_700)), Vec::<u64>::new());
}
