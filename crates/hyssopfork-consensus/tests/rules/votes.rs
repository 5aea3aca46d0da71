//! Elections, withheld votes and the quorum lease.

use crate::fixture;
use hyssopfork_consensus::{action, event};
use hyssopfork_wire::{clock, consensus, number, timing};
use std::time::Duration;

/// A voter that crashes between its vote and the sync may vote again in the same term: two leaders
/// of one term would each commit. So the vote may leave only after the ballot is synced.
#[test]
fn a_vote_leaves_only_after_its_ballot_is_synced() {
    let mut fixture = fixture::Fixture::quiet(&[]);

    let before = fixture.receive("b", fixture::vote(false, 2, 0, 0));
    let after = fixture.persist();

    assert!(!fixture::grants(&before), "not before the sync");
    assert!(fixture::grants(&after), "after it");
}

/// The same holds for a candidate's vote for itself.
#[test]
fn a_candidate_asks_and_counts_only_after_its_ballot_is_synced() {
    let mut fixture = fixture::Fixture::new(&[]);
    fixture.now = fixture::QUIET;
    fixture.step(event::Event::Tick);
    let asks = |actions: &[action::Action]| {
        let vote = |message: &&consensus::Message| {
            matches!(message, consensus::Message::Vote { pre: false, .. })
        };
        fixture::sent(actions).iter().any(vote)
    };

    let early = fixture.receive("b", fixture::voted(true));
    fixture.receive("b", fixture::voted(false));
    fixture.step(event::Event::Persisted(0));
    let leads_early = fixture.node.is_leader();
    let late = fixture.persist();

    assert!(!asks(&early) && !leads_early, "not before the sync");
    assert!(asks(&late) && fixture.node.is_leader(), "after it");
}

/// A voter answers a heartbeat, restarts, and has forgotten that a leader relies on it. If it
/// votes at once, a second leader commits while the first still holds its quorum lease: entries
/// act on a configuration that is already replaced.
#[test]
fn a_voter_that_just_started_gives_no_vote() {
    let mut fixture = fixture::Fixture::new(&[]);

    let (asked, early) = (
        fixture.receive("b", fixture::vote(true, 2, 0, 0)),
        fixture.receive("b", fixture::vote(false, 2, 0, 0)),
    );
    fixture.persist();
    fixture.now = timing::ELECTION_TIMEOUT.as_millis() as u64;
    fixture.receive("b", fixture::vote(false, 2, 0, 0));
    let late = fixture.persist();

    assert!(!fixture::grants(&asked) && !fixture::grants(&early));
    assert!(fixture::grants(&late));
}

/// A voter that hears a leader votes for no other: neither does it move to the candidate's term,
/// which would depose the leader.
#[test]
fn a_voter_that_hears_a_leader_gives_no_vote() {
    let mut fixture = fixture::Fixture::quiet(&[]);
    fixture.receive("b", fixture::append(1, (0, 0), Vec::new()));

    fixture.now += 500;
    fixture.receive("c", fixture::vote(false, 9, 5, 5));
    let answer = fixture.persist();

    assert!(!fixture::grants(&answer));
    assert_eq!(fixture.node.term(), number::Term(1));
}

/// Nor does a leader that hears its quorum make way for a candidate that doesn't hear it.
#[test]
fn a_leader_gives_no_vote() {
    let mut fixture = fixture::Fixture::settled();

    fixture.receive("c", fixture::vote(false, 9, 5, 5));
    let answer = fixture.persist();

    assert!(!fixture::grants(&answer));
    assert!(fixture.node.is_leader());
}

/// A leader that stops says so; then its followers may vote for another at once.
#[test]
fn a_release_ends_the_duty_to_withhold_votes() {
    let mut fixture = fixture::Fixture::quiet(&[]);
    fixture.receive("b", fixture::append(1, (0, 0), Vec::new()));

    let (term, successor) = (number::Term(1), fixture::voter("c"));
    fixture.receive("b", consensus::Message::Release { term, successor });
    fixture.receive("c", fixture::vote(false, 2, 0, 0));

    assert!(fixture::grants(&fixture.persist()));
}

/// A release counts only from the leader of the term: a late one of an earlier leader must not free
/// votes that the present one's lease rests on.
#[test]
fn a_release_of_another_leader_frees_no_vote() {
    let mut fixture = fixture::Fixture::quiet(&[]);
    fixture.receive("b", fixture::append_in(2, 1, (0, 0), Vec::new()));

    let successor = fixture::voter("c");
    let late = consensus::Message::Release { term: number::Term(1), successor: successor.clone() };
    fixture.receive("b", late);
    let stranger = consensus::Message::Release { term: number::Term(2), successor };
    fixture.receive("c", stranger);
    fixture.receive("c", fixture::vote(false, 3, 0, 0));

    assert!(!fixture::grants(&fixture.persist()));
}

/// A leader that is to hand over answers nobody under its lease any more: the moment at which it
/// frees the voters is near.
#[test]
fn a_leader_that_hands_over_has_no_lease() {
    let mut fixture = fixture::Fixture::settled();
    let now = clock::Instant::from_millis(fixture.now);
    let before = fixture.node.quorum_lease(now);

    fixture.step(event::Event::Propose { ticket: 1, command: Vec::new() });
    fixture.step(event::Event::Resign);
    let waiting = (fixture.node.is_leader(), fixture.node.quorum_lease(now));
    let released = fixture.receive("b", fixture::appended(2, 2));

    assert!(before.is_some());
    assert_eq!(waiting, (true, None), "until a successor has everything");
    let release =
        |message: &&consensus::Message| matches!(message, consensus::Message::Release { .. });
    assert!(fixture::sent(&released).iter().any(release));
    assert!(!fixture.node.is_leader(), "a further heartbeat would bind the voters again");
}

/// The answer to a round was long on its way. A lease counted from when it arrived would outlast
/// the voters' duty to withhold their votes.
#[test]
fn the_quorum_lease_runs_from_when_the_round_was_sent() {
    let mut fixture = fixture::Fixture::settled();
    let start = clock::Instant::from_millis(fixture.now);

    fixture.now += 400;
    fixture.receive("b", fixture::appended(2, 1));
    let now = clock::Instant::from_millis(fixture.now);
    let later = now + Duration::from_millis(100);

    assert_eq!(fixture.node.quorum_lease(now), Some(start + timing::QUORUM_LEASE));
    assert_eq!(fixture.node.quorum_lease(later), None);
}

/// A new leader may be behind what an earlier one committed; until an entry of its own term is
/// committed it must not answer for the state.
#[test]
fn no_lease_before_an_entry_of_the_term_is_committed() {
    let mut fixture = fixture::Fixture::leading(&[1]);

    fixture.receive("b", fixture::appended(1, 1));
    let lease = fixture.node.quorum_lease(clock::Instant::from_millis(fixture.now));

    assert_eq!(lease, None);
}

/// A leader that hears no quorum would take proposals for ever that it can't commit.
#[test]
fn a_leader_without_a_quorum_steps_down() {
    let mut fixture = fixture::Fixture::settled();

    fixture.now += timing::ELECTION_TIMEOUT.as_millis() as u64;
    let actions = fixture.step(event::Event::Propose { ticket: 1, command: Vec::new() });

    assert!(!fixture.node.is_leader());
    assert!(fixture::rejects(&actions));
}
