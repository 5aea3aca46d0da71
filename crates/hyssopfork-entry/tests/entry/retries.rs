//! Retries, resumed streams and hedges.

use crate::fixture;
use hyssopfork_entry::event;
use hyssopfork_wire::refusal;
use std::time::Duration;

const INCOMPLETE: refusal::Reason = refusal::Reason::GroupIncomplete;

#[test]
fn repeatable_work_is_retried_on_another_upstream() {
    let mut entry = fixture::entry();
    let (_, first) = entry.arrive_and_offer(fixture::arrival("/write"));

    let lost = refusal::Refusal::may_have_run(INCOMPLETE, None);
    let second = fixture::single_start(&entry.reject_attempt(first.offer.attempt, lost));

    assert_ne!(second.to, first.to);
    assert_ne!(second.offer.attempt, first.offer.attempt);
}

// Non-repeatable work, such as issuing a certificate, may have run: whatever ended the attempt, it
// must not be sent again.
#[test]
fn non_repeatable_work_that_may_have_run_is_not_retried() {
    for fault in [event::Fault::Lost, event::Fault::Restarted, event::Fault::Corrupt] {
        let mut entry = fixture::entry();
        let (_, start) = entry.arrive_and_offer(fixture::arrival("/lodge"));

        let mut actions = entry.fail_attempt(start.offer.attempt, fault, 0);
        actions.extend(entry.advance(Duration::from_secs(4)));

        assert!(fixture::starts(&actions).is_empty());
        let refusal = fixture::rejection(&actions).expect("the request is rejected");
        assert_eq!(refusal.ran, refusal::Ran::MayHaveRun);
        assert_eq!(refusal.retry_after, None, "a retry by the client would run it again");
    }
}

#[test]
fn non_repeatable_work_that_did_not_run_is_retried() {
    let mut entry = fixture::entry();
    let (_, first) = entry.arrive_and_offer(fixture::arrival("/lodge"));
    let stale = refusal::Refusal::not_run(refusal::Reason::Stale, None);
    let second = fixture::single_start(&entry.reject_attempt(first.offer.attempt, stale));

    let third = entry.fail_attempt(second.offer.attempt, event::Fault::Unreachable, 0);
    let after_backoff = entry.advance(Duration::from_millis(100));

    assert_ne!(second.to, first.to);
    assert!(fixture::starts(&third).is_empty(), "both upstreams were tried, so it backs off");
    assert_eq!(fixture::starts(&after_backoff).len(), 1);
}

// An attempt whose start was reported can't have been unreachable, whatever the shell reports about
// the connection that broke last.
#[test]
fn unreachable_after_the_start_may_have_run() {
    let mut entry = fixture::entry();
    let (_, start) = entry.arrive_and_offer(fixture::arrival("/lodge"));
    entry.step(event::Event::AttemptStarted(start.offer.attempt));

    let actions = entry.fail_attempt(start.offer.attempt, event::Fault::Unreachable, 0);

    assert!(fixture::starts(&actions).is_empty());
    assert_eq!(fixture::rejection(&actions).map(|r| r.ran), Some(refusal::Ran::MayHaveRun));
}

// A stream is interrupted. Another upstream must continue after the last event that the client
// received completely.
#[test]
fn interrupted_stream_is_resumed_on_another_upstream() {
    let mut entry = fixture::entry();
    let (_, first) = entry.arrive_and_offer(fixture::arrival("/write"));
    entry.start_response(first.offer.attempt, true);

    let lost = entry.fail_attempt(first.offer.attempt, event::Fault::Lost, 3);
    let second = fixture::single_start(&lost);
    let started = entry.start_response(second.offer.attempt, true);

    assert_ne!(second.to, first.to);
    assert_eq!(second.offer.resume_from, 3);
    assert_eq!(fixture::forwarded_attempts(&started), vec![second.offer.attempt]);
    assert!(fixture::abort(&lost).is_none());
}

// A response that can't be resumed must be aborted with an error marker, never appended to or ended
// cleanly: one that is not a stream, and a stream whose other upstream can't resume.
#[test]
fn unresumable_response_is_aborted() {
    let mut plain = fixture::entry();
    let (_, start) = plain.arrive_and_offer(fixture::arrival("/write"));
    plain.start_response(start.offer.attempt, false);
    let mut unresumable = fixture::entry();
    unresumable.change_view(|view| {
        let members = view.members.values_mut();
        members.for_each(|member| member.announcement.profile.resumes = false);
    });
    let (_, other) = unresumable.arrive_and_offer(fixture::arrival("/write"));
    unresumable.start_response(other.offer.attempt, true);

    let plain = plain.fail_attempt(start.offer.attempt, event::Fault::Lost, 0);
    let mut stream = unresumable.fail_attempt(other.offer.attempt, event::Fault::Lost, 3);
    stream.extend(unresumable.advance(Duration::from_secs(6)));

    for actions in [plain, stream] {
        assert!(fixture::starts(&actions).is_empty());
        assert_eq!(fixture::abort(&actions).map(|r| r.ran), Some(refusal::Ran::MayHaveRun));
    }
}

// The upstream that is to resume a stream sends another kind of response, such as an error
// document. It must not be appended to what the client has.
#[test]
fn non_stream_response_is_not_appended_to_a_stream() {
    let mut entry = fixture::entry();
    let (_, first) = entry.arrive_and_offer(fixture::arrival("/write"));
    entry.start_response(first.offer.attempt, true);
    let lost = entry.fail_attempt(first.offer.attempt, event::Fault::Lost, 3);
    let second = fixture::single_start(&lost);

    let actions = entry.start_response(second.offer.attempt, false);

    assert!(fixture::forwarded_attempts(&actions).is_empty());
    assert!(fixture::abort(&actions).is_some());
}

// A group is incomplete for a moment and rejects within microseconds. The request must not use up
// all its attempts meanwhile.
#[test]
fn rejected_request_backs_off_and_is_served_later() {
    let mut entry = fixture::entry();
    entry.change_view(|view| drop(view.placements.remove(&"g2".into())));
    let (_, mut start) = entry.arrive_and_offer(fixture::arrival("/write"));
    let refusal = refusal::Refusal::not_run(INCOMPLETE, None);

    for _ in 0..4 {
        let mut actions = entry.reject_attempt(start.offer.attempt, refusal);
        assert!(fixture::starts(&actions).is_empty());
        actions.extend(entry.advance(Duration::from_millis(500)));
        start = fixture::single_start(&actions);
    }
    let started = entry.start_response(start.offer.attempt, false);

    assert_eq!(fixture::forwarded_attempts(&started), vec![start.offer.attempt]);
}

// A straggler holds a repeatable request for many times the usual time. A second attempt must be
// sent, the first response forwarded and the other attempt cancelled.
#[test]
fn straggler_is_hedged_by_a_second_attempt() {
    let mut entry = fixture::entry();
    for _ in 0..200 {
        let (_, start) = entry.arrive_and_offer(fixture::arrival("/write"));
        entry.advance(Duration::from_millis(10));
        entry.start_response(start.offer.attempt, false);
        entry.step(event::Event::AttemptCompleted(start.offer.attempt));
    }
    let (_, straggler) = entry.arrive_and_offer(fixture::arrival("/write"));
    let (_, once) = entry.arrive_and_offer(fixture::arrival("/write/once"));

    let actions = entry.advance(Duration::from_millis(200));
    let hedge = fixture::single_start(&actions);
    let started = entry.start_response(hedge.offer.attempt, false);

    assert_ne!(hedge.to, straggler.to);
    assert_eq!(fixture::forwarded_attempts(&started), vec![hedge.offer.attempt]);
    assert_eq!(fixture::cancelled_attempts(&started), vec![straggler.offer.attempt]);
    assert_ne!(once.offer.attempt, hedge.offer.attempt);
}
