//! Documents that travel in parts.

use crate::fixture;
use bytes::Bytes;
use hyssopfork_fleet::document;
use proptest::prelude::*;

fn document_of(size: usize) -> document::Document {
    document::Document { version: 3, bytes: (0..size).map(|it| it as u8).collect() }
}

#[test]
fn a_document_is_made_of_its_parts_again() {
    for size in [0, 1, document::PART_BYTES, document::PART_BYTES + 1, 3 * document::PART_BYTES] {
        let document = document_of(size);
        let mut partial = document::Partial::default();

        let made: Vec<_> = document.parts().map(|part| partial.take(part)).collect();

        assert_eq!(made.last(), Some(&Some(document)), "size {size}");
        assert!(partial.is_empty());
    }
}

#[test]
fn no_part_is_longer_than_the_limit() {
    let document = fixture::large_document(1, 4_200);

    assert!(document.parts().all(|part| part.bytes.len() <= document::PART_BYTES));
}

#[test]
fn a_document_beyond_the_limit_is_not_collected() {
    let size = document::MAX_BYTES as u64 + 1;
    let part = document::Part { version: 1, size, offset: 0, bytes: Bytes::from_static(b"{") };
    let mut partial = document::Partial::default();

    assert_eq!(partial.take(part), None);

    assert!(partial.is_empty());
}

proptest! {
    /// Guards against a document of bytes that were never sent as one.
    #[test]
    fn parts_in_any_order_give_the_document_or_nothing(
        order in prop::collection::vec(0_usize..6, 1..40),
    ) {
        let document = document_of(5 * document::PART_BYTES + 7);
        let parts: Vec<document::Part> = document.parts().collect();
        let mut partial = document::Partial::default();

        for place in order {
            let made = partial.take(parts[place].clone());

            prop_assert!(made.is_none_or(|made| made == document));
        }
    }
}
