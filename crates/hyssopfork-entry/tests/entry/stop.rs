//! Graceful stop: nothing new, and nothing in flight is cut off.

use crate::fixture;
use hyssopfork_entry::event;
use hyssopfork_wire::{control, refusal};
use std::time::Duration;

#[test]
fn what_is_in_flight_is_finished() {
    let mut entry = fixture::entry();
    let (_, start) = entry.offered(fixture::arrival("/write"));
    entry.begin(start.offer.attempt, true);

    entry.step(event::Event::Stop);
    let late = entry.arrive(fixture::arrival("/write")).1;
    let waiting = entry.live(Duration::from_secs(10));
    let ended = entry.step(event::Event::AttemptCompleted(start.offer.attempt));

    assert_eq!(fixture::refused(&late).map(|r| r.reason), Some(refusal::Reason::Draining));
    assert!(!fixture::stops(&waiting));
    assert!(fixture::cut(&waiting).is_none());
    assert!(fixture::stops(&ended));
}

// A claimed answer that the caller no longer waits for is still recorded before the process ends.
#[test]
fn outcomes_are_recorded_before_the_end() {
    let mut entry = fixture::entry();
    let (request, start) = entry.claimed("k");
    entry.step(event::Event::ClientGone(request));
    entry.step(event::Event::Stop);

    let collected = entry.collect(start.offer.attempt, "done");
    let waiting = entry.live(Duration::from_millis(600));
    let record = fixture::claim_call(&collected);
    let recorded = entry.reply(record.call, control::Response::Recorded);

    assert!(!fixture::stops(&collected) && !fixture::stops(&waiting));
    assert!(fixture::stops(&recorded));
}

#[test]
fn overdue_requests_and_a_second_stop_end_with_an_error() {
    let mut overdue = fixture::entry();
    let (_, start) = overdue.offered(fixture::arrival("/write"));
    overdue.begin(start.offer.attempt, true);
    let mut twice = fixture::entry();
    let (_, start) = twice.offered(fixture::arrival("/write"));
    twice.begin(start.offer.attempt, true);

    overdue.step(event::Event::Stop);
    let late = overdue.live(fixture::STOP_LIMIT);
    twice.step(event::Event::Stop);
    let second = twice.step(event::Event::Stop);

    for actions in [late, second] {
        assert!(fixture::stops(&actions));
        assert_eq!(fixture::cut(&actions).map(|r| r.ran), Some(refusal::Ran::MayHaveRun));
    }
}
