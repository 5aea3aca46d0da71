//! One folder forms the log.

use crate::fixture;
use hyssopfork_fleet::bootstrap::Bootstrap;
use hyssopfork_fleet::peer;

fn hello(host: u8) -> peer::Hello {
    peer::Hello { address: fixture::address(host), has_folder: true, may_bootstrap: true }
}

#[test]
fn the_first_seed_listens_before_it_names_a_folder() {
    let mut founding = Bootstrap::new(true, fixture::at(0));
    founding.add_candidate(&hello(3));
    assert_eq!(founding.choose_founder(fixture::at(100)), None);
    founding.add_candidate(&hello(2));

    assert_eq!(founding.choose_founder(fixture::at(400)), Some(fixture::address(2)));
}

/// A folder that is named and then another would make two logs: operators on two sides would each
/// be acknowledged what the other side forgets.
#[test]
fn a_folder_that_was_named_is_the_only_one() {
    let mut founding = Bootstrap::new(true, fixture::at(0));
    founding.add_candidate(&hello(3));
    assert_eq!(founding.choose_founder(fixture::at(400)), Some(fixture::address(3)));

    founding.add_candidate(&hello(1));

    assert_eq!(founding.choose_founder(fixture::at(900)), Some(fixture::address(3)));
}

#[test]
fn nobody_else_names_a_folder() {
    let mut founding = Bootstrap::new(false, fixture::at(0));
    founding.add_candidate(&hello(3));

    assert_eq!(founding.choose_founder(fixture::at(900)), None);
}
