//! First start, lost folders and changes of the voters.

use crate::fixture;
use hyssopfork_consensus::{action, event, notice, voters};
use hyssopfork_wire::{consensus, name, number};

/// A leader that an operator removed goes once its removal is committed: it would else go on as a
/// leader that doesn't count itself.
#[test]
fn a_removed_leader_steps_down() {
    let mut fixture = fixture::Fixture::settled();

    fixture.change(voters::Change::Remove(name::Instance::from("a")));
    fixture.persist();
    fixture.receive("b", fixture::appended(2, 2));
    let before = fixture.node.is_leader();
    fixture.receive("c", fixture::appended(3, 2));

    assert!(before, "until both of the others have it");
    assert!(!fixture.node.is_leader());
}

/// An instance lost its disk. Its new folder answers as another voter, and must not complete a
/// quorum: the old one may have voted otherwise.
#[test]
fn a_vote_of_an_unknown_folder_does_not_count() {
    let stranger = consensus::Voter { folder: 8, ..fixture::voter("b") };
    let mut fixture = fixture::Fixture::new(&[]);
    fixture.now = fixture::QUIET;
    fixture.step(event::Event::Tick);

    fixture.receive_from(stranger.clone(), fixture::voted(true));
    fixture.receive_from(stranger, fixture::voted(false));
    fixture.persist();

    assert_eq!(fixture.node.term(), number::Term(1), "it doesn't even stand");
}

/// A lost folder is replaced in two changes. Swapping it at once would let the old folder's vote
/// elect one leader while the new folder's acknowledgements commit for another.
#[test]
fn a_lost_folder_is_replaced_by_way_of_a_vacant_seat() {
    let stranger = consensus::Voter { folder: 8, ..fixture::voter("c") };
    let mut fixture = fixture::Fixture::settled();
    fixture.receive_from(stranger.clone(), consensus::Message::Join { relayed: false });

    let vacated = fixture.receive_from(stranger.clone(), fixture::appended(3, 1));
    let meanwhile = fixture.receive_from(stranger.clone(), fixture::appended(4, 2));
    fixture.persist();
    let filled = fixture.receive("b", fixture::appended(5, 2));

    let vacant = consensus::Voter { folder: consensus::VACANT, ..fixture::voter("c") };
    assert_eq!(
        fixture::new_voters(&vacated),
        Some(vec![fixture::voter("a"), fixture::voter("b"), vacant])
    );
    assert_eq!(fixture::new_voters(&meanwhile), None, "not before the first change is committed");
    assert_eq!(
        fixture::new_voters(&filled),
        Some(vec![fixture::voter("a"), fixture::voter("b"), stranger])
    );
}

/// A folder is admitted only once it has the log: a seat that can't acknowledge would make the
/// quorum thinner than the one it replaces.
#[test]
fn a_folder_that_is_not_caught_up_is_not_admitted() {
    let stranger = consensus::Voter { folder: 8, ..fixture::voter("c") };
    let mut fixture = fixture::Fixture::settled();

    let joined = fixture.receive_from(stranger, consensus::Message::Join { relayed: false });
    let ticked = fixture.step(event::Event::Tick);

    assert_eq!((fixture::new_voters(&joined), fixture::new_voters(&ticked)), (None, None));
}

/// A folder that has written anything, be it a vote, may have been part of a log: it never helps
/// to form another.
#[test]
fn only_a_blank_folder_says_so() {
    let instances: Vec<_> = fixture::voters().into_iter().map(|voter| voter.instance).collect();
    let form = || consensus::Message::Form { instances: instances.clone() };
    let mut fixture = fixture::Fixture::blank();
    fixture.now = fixture::QUIET;

    let blank = fixture.receive("b", form());
    fixture.receive("b", fixture::vote(false, 1, 0, 0));
    let voted = fixture.receive("b", form());

    assert_eq!(fixture::sent(&blank), [&consensus::Message::Blank { folder: 7 }]);
    assert_eq!(fixture::sent(&voted), Vec::<&consensus::Message>::new());
}

/// Two instances list other first voters. Neither helps the other to form a log, and the operator is
/// told once, though the other asks again and again.
#[test]
fn differing_lists_form_nothing_and_are_told_once() {
    let mut fixture = fixture::Fixture::blank();
    let instances = vec![name::Instance::from("a"), name::Instance::from("b")];

    let first = fixture.receive("b", consensus::Message::Form { instances: instances.clone() });
    let second = fixture.receive("b", consensus::Message::Form { instances });

    let differs = notice::Notice::ListDiffers(name::Instance::from("b"));
    assert_eq!(first, [action::Action::Notice(differs)]);
    assert_eq!(second, []);
}

/// The forming instance lost its disk: answers to its former folder tell what was, and the former
/// folder may have formed a log since.
#[test]
fn answers_to_a_lost_folder_form_nothing() {
    let mut fixture = fixture::Fixture::blank();
    fixture.step(event::Event::Tick);

    for name in ["b", "c"] {
        fixture.receive(name, consensus::Message::Blank { folder: 6 });
    }
    let stale = fixture.node.voters().len();
    for name in ["b", "c"] {
        fixture.receive(name, consensus::Message::Blank { folder: 7 });
    }

    assert_eq!((stale, fixture.node.voters().len()), (0, 3));
}

/// Two changes under way at once may have quorums without a common member.
#[test]
fn no_second_change_is_made_while_one_is_uncommitted() {
    let mut fixture = fixture::Fixture::settled();
    let remove = |name| voters::Change::Remove(name::Instance::from(name));

    let first = fixture.change(remove("c"));
    let second = fixture.change(remove("b"));

    assert!(!fixture::rejects(&first));
    assert!(fixture::rejects(&second));
}

/// A leader that has committed nothing in its term may not know of a change that an earlier leader
/// has under way.
#[test]
fn no_change_is_made_before_an_entry_of_the_term_is_committed() {
    let mut fixture = fixture::Fixture::leading(&[1]);

    let actions = fixture.change(voters::Change::Remove(name::Instance::from("c")));

    assert!(fixture::rejects(&actions));
}

/// A folder's admission was appended but never committed. The folder's own log seats it, while the
/// leader knows only a vacant seat and sends it nothing: unless it asks to join, the seat stays
/// vacant for good.
#[test]
fn a_voter_that_hears_no_leader_asks_to_join() {
    let mut fixture = fixture::Fixture::new(&[]);
    fixture.now = fixture::QUIET;

    let actions = fixture.step(event::Event::Tick);

    let join = |message: &&consensus::Message| matches!(message, consensus::Message::Join { .. });
    assert_eq!(fixture::sent(&actions).into_iter().filter(join).count(), 2);
}

/// A lost folder's settings list the first voters, and the leader is one added since. A follower
/// passes the request on, once, or it could go round for ever.
#[test]
fn a_request_to_join_is_passed_on_once() {
    let stranger = consensus::Voter { folder: 8, ..fixture::voter("c") };
    let mut fixture = fixture::Fixture::new(&[]);
    fixture.receive("b", fixture::append(1, (0, 0), Vec::new()));
    let join = |relayed| consensus::Message::Join { relayed };

    let first = fixture.receive_from(stranger.clone(), join(false));
    let second = fixture.receive_from(stranger, join(true));

    assert_eq!(fixture::sent(&first), [&join(true)]);
    assert!(fixture::sent(&second).is_empty());
}

/// A leader appended its own removal and crashed before anybody else had it. Another disk is lost:
/// the rest need its vote, and it refuses, as its log is longer. Unless it stands itself, nobody
/// ever leads again.
#[test]
fn a_voter_whose_removal_is_not_committed_still_stands() {
    let others = vec![fixture::voter("b"), fixture::voter("c")];
    let payload = consensus::Payload::Voters(others);
    let removal = consensus::Entry { payload, ..fixture::entry(1, 1) };
    let mut fixture = fixture::Fixture::new(&[]);
    fixture.receive("b", fixture::append(1, (0, 0), vec![removal]));
    fixture.persist();

    fixture.now = 2 * fixture::QUIET;
    let actions = fixture.step(event::Event::Tick);

    let asks = |message: &&consensus::Message| matches!(message, consensus::Message::Vote { .. });
    assert_eq!(fixture::sent(&actions).into_iter().filter(asks).count(), 2);
}
