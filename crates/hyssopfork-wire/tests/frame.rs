//! Framing: encoded frames decode to the same frames, however the bytes are split in transit.

use bytes::{Bytes, BytesMut};
use hyssopfork_wire::{frame, number, refusal};
use proptest::strategy::{Just, Strategy};
use proptest::{arbitrary, collection, prop_assert, prop_assert_eq, prop_oneof, proptest};
use std::time::Duration;

fn any_frame() -> impl Strategy<Value = frame::Frame> {
    prop_oneof![
        Just(frame::Frame::Started),
        Just(frame::Frame::KeepAlive),
        arbitrary::any::<Option<u32>>().prop_map(|wait| {
            let wait = wait.map(|millis| Duration::from_millis(millis.into()));
            frame::Frame::Refused(refusal::Refusal::not_run(refusal::Reason::Cold, wait))
        }),
        (100u16..600, ".{0,20}").prop_map(|(status, value)| {
            let headers = vec![("content-type".to_owned(), value)];
            frame::Frame::Head(frame::Head { status, headers })
        }),
        collection::vec(arbitrary::any::<u8>(), 0..200)
            .prop_map(|bytes| frame::Frame::Data(Bytes::from(bytes))),
        arbitrary::any::<(u64, u32)>()
            .prop_map(|(length, checksum)| frame::Frame::End(frame::End { length, checksum })),
        arbitrary::any::<(u64, u32, u32, bool)>().prop_map(|(version, running, limit, warm)| {
            let version = number::Version(version);
            frame::Frame::Load(frame::Load { version, running, limit, warm })
        }),
    ]
}

proptest! {
    #[test]
    fn decoded_frames_equal_the_encoded_ones(
        frames in collection::vec(any_frame(), 0..12),
        chunk_size in 1usize..64,
    ) {
        let mut sent = BytesMut::new();
        frames.iter().for_each(|frame| frame::encode(frame, &mut sent));

        let mut buffer = BytesMut::new();
        let mut read = Vec::new();
        for chunk in sent.chunks(chunk_size) {
            buffer.extend_from_slice(chunk);
            while let Some(frame) = frame::decode(&mut buffer).unwrap() {
                read.push(frame);
            }
        }

        prop_assert_eq!(read, frames);
        prop_assert!(buffer.is_empty());
    }
}

#[test]
fn a_frame_over_the_limit_is_rejected_before_its_payload_arrives() {
    let mut buffer = BytesMut::from(&[4u8, 0xff, 0xff, 0xff, 0xff][..]);

    let error = frame::decode(&mut buffer).unwrap_err();

    assert!(matches!(error, frame::Error::TooLong(_)));
}

#[test]
fn the_error_for_an_unknown_kind_names_the_remedy() {
    let mut buffer = BytesMut::from(&[99u8, 0, 0, 0, 0][..]);

    let error = frame::decode(&mut buffer).unwrap_err();

    assert!(error.to_string().contains("compatible releases"));
}
