//! The replicated state machine.

use crate::fixture;
use hyssopfork_fleet::durable::{Applied, Command, State};
use hyssopfork_wire::name;

#[test]
fn versions_never_decrease() {
    let mut state = State::default();
    assert_eq!(state.apply(Command::Declare(fixture::document(5))), Applied::Changed);

    assert_eq!(state.apply(Command::Declare(fixture::document(4))), Applied::Unchanged);
    assert_eq!(state.apply(Command::Declare(fixture::document(5))), Applied::Unchanged);

    assert_eq!(state.version(), 5);
}

#[test]
fn a_snapshot_contains_the_whole_state() {
    let mut state = State::default();
    state.apply(Command::Declare(fixture::document(5)));
    state.apply(Command::TakeOut(name::Zone::from("z1")));

    let read = State::decode(&state.encode()).expect("it was just written");

    assert_eq!(read, state);
}

#[test]
fn commands_are_decoded_as_encoded() {
    let command = Command::Declare(fixture::document(5));

    assert_eq!(Command::decode(&command.encode()).expect("it was just written"), command);
    assert!(Command::decode(&[9, 9]).is_err());
}

#[test]
fn a_declaration_in_parts_is_in_force_with_its_last_part() {
    let document = fixture::large_document(7, 12_000);
    let commands = Command::declare(document.clone());
    assert!(commands.len() > 1);
    let mut state = State::default();

    let applied: Vec<Applied> = commands.into_iter().map(|it| state.apply(it)).collect();

    let (last, before) = applied.split_last().expect("there are several");
    assert!(before.iter().all(|applied| *applied == Applied::Unchanged));
    assert_eq!(*last, Applied::Changed);
    assert_eq!(state.document, Some(document));
    assert!(state.is_complete());
}

/// Guards against acknowledging a declaration with a part missing in the log.
#[test]
fn a_declaration_that_lacks_a_part_is_incomplete() {
    let mut commands = Command::declare(fixture::large_document(7, 12_000));
    commands.remove(1);
    let mut state = State::default();

    let applied: Vec<Applied> = commands.into_iter().map(|it| state.apply(it)).collect();

    assert_eq!(applied.last(), Some(&Applied::Incomplete));
    assert_eq!(state.document, None);
}

/// Guards against assembling a declaration from parts that two leaders proposed.
#[test]
fn parts_that_an_earlier_leader_left_are_dropped() {
    let first = Command::declare(fixture::large_document(7, 12_000));
    let second = Command::declare(fixture::large_document(7, 12_000));
    let mut state = State::default();
    let middle = first.len() / 2;
    first.into_iter().take(middle).for_each(|it| {
        state.apply(it);
    });

    state.drop_partial();
    let applied: Vec<Applied> = second.into_iter().skip(middle).map(|it| state.apply(it)).collect();

    assert_eq!(applied.last(), Some(&Applied::Incomplete));
}
