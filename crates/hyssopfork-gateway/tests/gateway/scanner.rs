//! Complete events, each once and without gaps.

use hyssopfork_gateway::scanner::{OutOfOrder, Scanner};
use proptest::prelude::*;

fn event(id: u64) -> String {
    format!("id: {id}\ndata: {}\n\n", "x".repeat(id as usize % 7))
}

#[test]
fn a_partial_event_is_withheld_until_complete() {
    let mut scanner = Scanner::new(None);
    assert_eq!(scanner.feed(b"id: 1\ndata: a\n\nid: 2\nda"), Ok("id: 1\ndata: a\n\n".into()));
    assert!(!scanner.is_at_event_boundary());

    assert_eq!(scanner.feed(b"ta: b\n\n"), Ok("id: 2\ndata: b\n\n".into()));
    assert_eq!(scanner.last_event(), Some(2));
}

#[test]
fn an_event_out_of_order_is_an_error() {
    let mut scanner = Scanner::new(Some(4));

    assert_eq!(scanner.feed(event(6).as_bytes()), Err(OutOfOrder { received: 6, previous: 4 }));
}

#[test]
fn a_stream_resumes_after_its_last_complete_event() {
    let mut scanner = Scanner::new(None);
    scanner.feed(b"id: 1\ndata: a\n\nid: 2\nda").expect("in order");
    scanner.discard_partial();

    assert_eq!(scanner.feed(event(2).as_bytes()), Ok(event(2).into()));
}

proptest! {
    #[test]
    fn any_split_of_the_bytes_gives_the_same_events(
        count in 1_u64..12,
        cuts in prop::collection::vec(1_usize..9, 1..80),
    ) {
        let whole: String = (1..=count).map(event).collect();
        let mut scanner = Scanner::new(None);
        let mut out = Vec::new();
        let mut rest = whole.as_bytes();
        let mut sizes = cuts.iter().cycle();
        while !rest.is_empty() {
            let size = (*sizes.next().expect("the iterator is endless")).min(rest.len());
            let (part, left) = rest.split_at(size);
            out.extend_from_slice(&scanner.feed(part).expect("in order"));
            rest = left;
        }
        prop_assert_eq!(out, whole.into_bytes());
        prop_assert!(scanner.is_at_event_boundary());
        prop_assert_eq!(scanner.last_event(), Some(count));
    }

    #[test]
    fn arbitrary_bytes_do_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let _result = Scanner::new(None).feed(&bytes);
    }
}

/// Guards against an event without an end that takes all memory.
#[test]
fn an_event_without_an_end_becomes_too_large() {
    let mut scanner = Scanner::new(None);
    let part = vec![b'x'; 64 << 10];

    let too_large = (0..8).map(|_| {
        scanner.feed(&part).expect("no identifier is out of order");
        scanner.is_event_too_large()
    });

    assert_eq!(too_large.collect::<Vec<_>>().iter().filter(|it| **it).count(), 4);
}
