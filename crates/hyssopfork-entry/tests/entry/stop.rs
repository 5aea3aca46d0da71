//! Graceful stop: no new requests are accepted, and those in flight are finished.

use crate::fixture;
use hyssopfork_entry::event;
use hyssopfork_wire::{control, refusal};
use std::time::Duration;

#[test]
fn requests_in_flight_finish_before_a_stop() {
    let mut entry = fixture::entry();
    let (_, start) = entry.arrive_and_offer(fixture::arrival("/write"));
    entry.start_response(start.offer.attempt, true);

    entry.step(event::Event::Stop);
    let late = entry.arrive(fixture::arrival("/write")).1;
    let waiting = entry.advance(Duration::from_secs(10));
    let ended = entry.step(event::Event::AttemptCompleted(start.offer.attempt));

    assert_eq!(fixture::rejection(&late).map(|r| r.reason), Some(refusal::Reason::Draining));
    assert!(!fixture::has_stopped(&waiting));
    assert!(fixture::abort(&waiting).is_none());
    assert!(fixture::has_stopped(&ended));
}

// The response of claimed work must be recorded before the process exits, even when the client no
// longer waits for it.
#[test]
fn outcomes_are_recorded_before_a_stop() {
    let mut entry = fixture::entry();
    let (request, start) = entry.arrive_and_claim("k");
    entry.step(event::Event::ClientGone(request));
    entry.step(event::Event::Stop);

    let collected = entry.collect_response(start.offer.attempt, "done");
    let waiting = entry.advance(Duration::from_millis(600));
    let record = fixture::last_claim_call(&collected);
    let recorded = entry.respond_to_call(record.call, control::Response::Recorded);

    assert!(!fixture::has_stopped(&collected) && !fixture::has_stopped(&waiting));
    assert!(fixture::has_stopped(&recorded));
}

#[test]
fn stop_timeout_and_a_second_stop_abort_requests() {
    let mut overdue = fixture::entry();
    let (_, start) = overdue.arrive_and_offer(fixture::arrival("/write"));
    overdue.start_response(start.offer.attempt, true);
    let mut twice = fixture::entry();
    let (_, start) = twice.arrive_and_offer(fixture::arrival("/write"));
    twice.start_response(start.offer.attempt, true);

    overdue.step(event::Event::Stop);
    let late = overdue.advance(fixture::STOP_TIMEOUT);
    twice.step(event::Event::Stop);
    let second = twice.step(event::Event::Stop);

    for actions in [late, second] {
        assert!(fixture::has_stopped(&actions));
        assert_eq!(fixture::abort(&actions).map(|r| r.ran), Some(refusal::Ran::MayHaveRun));
    }
}
