//! Encoding of documents and their transfer in parts.

use crate::fixture;
use bytes::Bytes;
use hyssopfork_fleet::document;
use proptest::prelude::*;

/// A document that can't be compressed.
fn incompressible_document(size: usize) -> document::Document {
    let mut random: u32 = 1;
    let mut next = || {
        random = random.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
        (random >> 24) as u8
    };
    document::Document { version: 3, bytes: (0..size).map(|_| next()).collect() }
}

#[test]
fn a_document_is_reassembled_from_its_parts() {
    for size in
        [0, 1, document::MAX_PART_BYTES, document::MAX_PART_BYTES + 1, 3 * document::MAX_PART_BYTES]
    {
        let document = incompressible_document(size);
        let mut partial = document::Partial::default();

        let encoding = document.encode(None);
        let made: Vec<_> = encoding.parts().map(|part| partial.add(part)).collect();

        let whole = made.into_iter().last().flatten().expect("the last part completes it");
        assert_eq!(whole.decode(None).expect("it was just encoded"), document, "size {size}");
        assert!(partial.is_empty());
    }
}

#[test]
fn no_part_is_longer_than_the_limit() {
    let encoding = incompressible_document(200_000).encode(None);

    assert!(encoding.parts().count() > 1);
    assert!(encoding.parts().all(|part| part.bytes.len() <= document::MAX_PART_BYTES));
}

#[test]
fn parts_of_an_oversized_document_are_rejected() {
    let size = document::MAX_BYTES as u64 + 1;
    let bytes = Bytes::from_static(b"{");
    let part = document::Part { version: 1, base: 0, size, offset: 0, bytes };
    let mut partial = document::Partial::default();

    assert_eq!(partial.add(part), None);

    assert!(partial.is_empty());
}

#[test]
fn a_small_change_of_a_large_document_has_a_small_encoding() {
    let base = fixture::large_document(4, 4_200);
    let next = fixture::large_document(5, 4_201);

    let encoding = next.encode(Some(&base));

    assert_eq!(encoding.decode(Some(&base)).expect("it was just encoded"), next);
    assert_eq!(encoding.parts().count(), 1);
}

/// Guards against decoding a document with another base than the one it was encoded against.
#[test]
fn an_encoding_is_decoded_only_with_its_own_base() {
    let base = fixture::large_document(4, 1_000);
    let encoding = fixture::large_document(6, 1_010).encode(Some(&base));
    let other = fixture::large_document(5, 1_000);
    let renumbered = document::Document { version: 4, bytes: Bytes::from_static(b"{}") };

    assert!(encoding.decode(None).is_err());
    assert!(encoding.decode(Some(&other)).is_err());
    assert!(encoding.decode(Some(&renumbered)).is_err());
}

/// Guards against an encoding whose document exhausts memory.
#[test]
fn an_encoding_of_an_oversized_document_is_rejected() {
    let bytes = Bytes::from(vec![b' '; document::MAX_BYTES + 1]);
    let encoding = document::Document { version: 1, bytes }.encode(None);

    assert!(encoding.decode(None).is_err());
}

proptest! {
    /// Guards against assembling a document from parts that don't belong together.
    #[test]
    fn parts_in_any_order_yield_the_document_or_nothing(
        order in prop::collection::vec(0_usize..6, 1..40),
    ) {
        let document = incompressible_document(5 * document::MAX_PART_BYTES + 7);
        let encoding = document.encode(None);
        let parts: Vec<document::Part> = encoding.parts().collect();
        let mut partial = document::Partial::default();

        for place in order {
            let made = partial.add(parts[place].clone());

            prop_assert!(made.is_none_or(|made| made == encoding));
        }
    }
}
