//! Quorums of an even number of voters, and during a change of the voters.

use crate::fixture;
use hyssopfork_consensus::{action, event, voters};
use hyssopfork_wire::{consensus, name, number};

/// Nonce of the requests for folders that a pre-vote sends.
fn folder_nonce(actions: &[action::Action]) -> u64 {
    let nonce = |message: &consensus::Message| match message {
        consensus::Message::FolderRequest { nonce } => Some(*nonce),
        _ => None,
    };
    fixture::sent_messages(actions).into_iter().find_map(nonce).expect("folders are requested")
}

/// Voter `a` of four in a pre-vote, and the nonce of its requests for folders.
fn candidate_of_four() -> (fixture::Fixture, u64) {
    let mut fixture = fixture::Fixture::with_voters(fixture::four_voters(), &[]);
    fixture.now = fixture::ELECTION_DUE_MS;
    let nonce = folder_nonce(&fixture.step(event::Event::Tick));
    (fixture, nonce)
}

fn replacement_of(name: &str) -> consensus::Voter {
    consensus::Voter { folder: 8, ..fixture::voter(name) }
}

/// As leader of four voters, elected by `a` and `b` after the folder of `c` was lost.
fn leader_of_half() -> fixture::Fixture {
    let (mut fixture, nonce) = candidate_of_four();
    fixture.receive_from(replacement_of("c"), consensus::Message::FolderResponse { nonce });
    fixture.receive("b", fixture::vote_granted(true));
    fixture.persist();
    fixture.receive("b", fixture::vote_granted(false));
    fixture
}

/// One of four voters is gone for good and another one lost its disk: unless the other two elect a leader,
/// neither seat is ever repaired.
#[test]
fn two_of_four_voters_elect_a_leader_after_a_folder_was_lost() {
    let fixture = leader_of_half();

    assert!(fixture.node.is_leader());
}

/// Two voters of four are cut off from the other two: without a lost folder, each half could elect a
/// leader.
#[test]
fn two_of_four_voters_elect_nobody_without_a_lost_folder() {
    let (mut fixture, nonce) = candidate_of_four();

    fixture.receive_from(fixture::voter("c"), consensus::Message::FolderResponse { nonce });
    fixture.receive("b", fixture::vote_granted(true));

    assert_eq!(fixture.node.term(), number::Term(1), "no election follows the pre-vote");
}

/// A response that a folder sent before it was lost arrives late, after its replacement became a voter:
/// it would make the replacement look lost.
#[test]
fn a_late_response_about_a_folder_is_ignored() {
    let (mut fixture, nonce) = candidate_of_four();
    let late = consensus::Message::FolderResponse { nonce: nonce ^ 1 };

    fixture.receive_from(replacement_of("c"), late);
    fixture.receive("b", fixture::vote_granted(true));

    assert_eq!(fixture.node.term(), number::Term(1));
}

/// A folder that is lost during an election may have voted in its term for another candidate.
#[test]
fn a_folder_that_is_lost_during_an_election_does_not_reduce_its_quorum() {
    let (mut fixture, nonce) = candidate_of_four();
    fixture.receive("b", fixture::vote_granted(true));
    fixture.receive("d", fixture::vote_granted(true));
    fixture.persist();

    fixture.receive_from(replacement_of("c"), consensus::Message::FolderResponse { nonce });
    fixture.receive("b", fixture::vote_granted(false));

    assert_eq!((fixture.node.term(), fixture.node.is_leader()), (number::Term(2), false));
}

/// Half of two voters is one copy, which the next lost disk takes with it.
#[test]
fn one_of_two_voters_never_elects_itself() {
    let voters = vec![fixture::voter("a"), fixture::voter("b")];
    let mut fixture = fixture::Fixture::with_voters(voters, &[]);
    fixture.now = fixture::ELECTION_DUE_MS;

    let actions = fixture.step(event::Event::Tick);

    let asks =
        |message: &&consensus::Message| matches!(message, consensus::Message::FolderRequest { .. });
    assert_eq!(fixture::sent_messages(&actions).into_iter().filter(asks).count(), 0);
    assert_eq!(fixture.node.term(), number::Term(1));
}

/// The seat of a folder that was lost stays vacant in the log: a later leader, for which its instance may
/// not answer, commits with the same voters.
#[test]
fn a_leader_that_half_elected_vacates_the_lost_seat() {
    let mut fixture = leader_of_half();
    fixture.persist();
    fixture.receive("b", fixture::append_accepted(1, 1));

    let vacated = fixture.step(event::Event::Tick);
    fixture.persist();
    fixture.receive("b", fixture::append_accepted(4, 2));

    let vacant = consensus::Voter { folder: consensus::VACANT, ..fixture::voter("c") };
    let voters = vec![fixture::voter("a"), fixture::voter("b"), vacant, fixture::voter("d")];
    assert_eq!(fixture::written_voters(&vacated), Some(voters));
    assert_eq!(fixture.node.committed(), number::Index(2));
}

/// A voter is removed from four. Two of the remaining three are no quorum of the four: the other two could
/// elect a leader once they learn that a folder was lost.
#[test]
fn a_removal_from_four_voters_needs_a_quorum_of_the_four() {
    let mut fixture = fixture::Fixture::committed_leader_of_four();
    fixture.receive("c", fixture::append_accepted(2, 1));

    fixture.change_voters(voters::Change::Remove(name::Instance::from("d")));
    fixture.persist();
    fixture.receive("b", fixture::append_accepted(4, 2));
    let of_two = fixture.node.committed();
    fixture.receive("c", fixture::append_accepted(5, 2));

    assert_eq!((of_two, fixture.node.committed()), (number::Index(1), number::Index(2)));
}

/// All processes start again after a voter was removed from four, and one of the three stays down. Unless
/// the log shows that the removal is committed, the others need the voter that is gone.
#[test]
fn a_committed_change_of_four_voters_is_confirmed_in_the_log() {
    let mut fixture = fixture::Fixture::committed_leader_of_four();
    fixture.receive("c", fixture::append_accepted(2, 1));
    fixture.change_voters(voters::Change::Remove(name::Instance::from("d")));
    fixture.persist();
    fixture.receive("b", fixture::append_accepted(4, 2));
    fixture.receive("c", fixture::append_accepted(5, 2));

    let confirmed = fixture.step(event::Event::Tick);
    let mut restarted = fixture::Fixture::with_voters(fixture::four_voters(), &[1]);
    let list = |index| consensus::Entry {
        payload: consensus::Payload::Voters(fixture::voters()),
        ..fixture::entry(index, 1)
    };
    restarted.receive("b", fixture::append(1, (1, 1), vec![list(2), list(3)]));
    restarted.persist();
    restarted.now = 2 * fixture::ELECTION_DUE_MS;
    restarted.step(event::Event::Tick);
    restarted.receive("b", fixture::vote_granted(true));

    assert_eq!(fixture::written_voters(&confirmed), Some(fixture::voters()));
    assert_eq!(restarted.node.term(), number::Term(2), "b and a are enough of three");
}
