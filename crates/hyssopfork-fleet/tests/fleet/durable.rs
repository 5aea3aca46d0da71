//! The replicated state.

use crate::fixture;
use hyssopfork_fleet::durable::{Command, State};
use hyssopfork_wire::name;

#[test]
fn versions_never_go_down() {
    let mut state = State::default();
    assert!(state.apply(Command::Declare(fixture::document(5))));

    assert!(!state.apply(Command::Declare(fixture::document(4))));
    assert!(!state.apply(Command::Declare(fixture::document(5))));

    assert_eq!(state.version(), 5);
}

#[test]
fn a_snapshot_holds_all() {
    let mut state = State::default();
    state.apply(Command::Declare(fixture::document(5)));
    state.apply(Command::TakeOut(name::Zone::from("z1")));

    let read = State::decode(&state.encode()).expect("it was just written");

    assert_eq!(read, state);
}

#[test]
fn commands_survive_the_log() {
    let command = Command::Declare(fixture::document(5));

    assert_eq!(Command::decode(&command.encode()).expect("it was just written"), command);
    assert!(Command::decode(&[9, 9]).is_err());
}
