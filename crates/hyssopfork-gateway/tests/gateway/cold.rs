//! What a cold upstream gets.

use crate::fixture::at;
use hyssopfork_gateway::cold::Recent;

#[test]
fn each_process_sends_its_part_of_any_second() {
    let mut recent = Recent::default();
    for millis in [0, 100, 200] {
        assert!(recent.has_room(at(millis), 9.0, 3));
        recent.note(at(millis));
    }

    assert!(!recent.has_room(at(900), 9.0, 3));
    assert!(recent.has_room(at(1_000), 9.0, 3));
}

#[test]
fn a_part_is_never_less_than_one() {
    assert!(Recent::default().has_room(at(0), 2.0, 40));
}
