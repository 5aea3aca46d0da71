//! The view in the data folder of a process.

use hyssopfork_daemon::edge::view_store;
use hyssopfork_fleet::view;
use hyssopfork_wire::number;
use std::{fs, path};

fn folder(name: &str) -> path::PathBuf {
    let folder = std::env::temp_dir().join(format!("hyssopfork-{name}-{}", std::process::id()));
    fs::create_dir_all(&folder).expect("the folder can be created");
    folder
}

fn saved() -> view::Update {
    let stamp = view::Stamp { term: number::Term(3), revision: 7 };
    view::Update { stamp, is_full: true, ..view::Update::default() }
}

#[test]
fn a_view_is_read_as_it_was_written() {
    let folder = folder("view-read");

    view_store::write(&folder, &saved()).expect("the folder is writable");

    assert_eq!(view_store::read(&folder).as_deref(), Some(&saved()));
    fs::remove_dir_all(folder).expect("the folder exists");
}

/// Guards against a leader that starts from a view that a loss of power has damaged.
#[test]
fn a_damaged_or_missing_view_is_ignored() {
    let folder = folder("view-damaged");
    assert_eq!(view_store::read(&folder), None);

    view_store::write(&folder, &saved()).expect("the folder is writable");
    let mut bytes = fs::read(folder.join("view")).expect("it was just written");
    for length in [0, 3, bytes.len() - 1] {
        fs::write(folder.join("view"), &bytes[..length]).expect("the folder is writable");
        assert_eq!(view_store::read(&folder), None, "{length} bytes");
    }
    *bytes.last_mut().expect("it is not empty") ^= 1;
    fs::write(folder.join("view"), &bytes).expect("the folder is writable");

    assert_eq!(view_store::read(&folder), None);
    fs::remove_dir_all(folder).expect("the folder exists");
}
