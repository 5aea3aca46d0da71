//! Requests under which upstreams end.

use crate::fixture::{self, Entry, arrival};
use hyssopfork_fleet::view;
use hyssopfork_gateway::{arrival::Arrival, content, event};

fn broken(number: u64) -> event::Event {
    event::Event::Failed(number, event::Fault::Broken, None)
}

#[test]
fn repeats_of_a_request_have_one_fingerprint() {
    let first = arrival("stream").content;
    let repeat = content::Content { host: "HOST".to_owned(), ..first.clone() };
    let other = content::Content { body: "other".into(), ..first.clone() };
    let team = hyssopfork_wire::name::Team::from("team");

    let fingerprint = first.fingerprint(Some(&team));

    assert_eq!(repeat.fingerprint(Some(&team)), fingerprint);
    assert_ne!(other.fingerprint(Some(&team)), fingerprint);
    assert_ne!(first.fingerprint(None), fingerprint);
}

#[test]
fn an_upstream_is_probed_once_for_all_that_break_off() {
    let mut entry = Entry::ready();
    let sent: Vec<u64> = (0..2 * fixture::SLOTS).map(|_| entry.sent("stream").0).collect();

    for number in sent {
        entry.step(broken(number));
    }

    let probed: Vec<&str> = entry.probes.iter().map(|process| process.instance.as_str()).collect();
    assert_eq!(probed.len(), 2, "{probed:?}");
}

/// Guards against taking a planned end for a crash.
#[test]
fn an_upstream_that_leaves_is_not_probed() {
    let mut entry = Entry::ready();
    let (number, instance) = entry.sent("submit");
    let mut update = fixture::view();
    for (name, upstream) in &mut update.upstreams {
        if *name == instance {
            upstream.as_mut().expect("it is there").standing = view::Standing::Leaving;
        }
    }
    entry.see(update);

    entry.step(broken(number));

    assert!(entry.probes.is_empty());
}

/// Guards against hiding what a client repeats behind a query.
#[test]
fn a_query_tells_requests_apart() {
    let plain: Arrival = arrival("status");
    let content = content::Content { query: "page=2".to_owned(), ..plain.content.clone() };

    assert_ne!(content.fingerprint(None), plain.content.fingerprint(None));
}
