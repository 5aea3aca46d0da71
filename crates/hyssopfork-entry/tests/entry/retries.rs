//! Retries, resumed streams and second copies.

use crate::fixture;
use hyssopfork_entry::event;
use hyssopfork_wire::refusal;
use std::time::Duration;

const INCOMPLETE: refusal::Reason = refusal::Reason::GroupIncomplete;

#[test]
fn repeatable_work_is_tried_elsewhere() {
    let mut entry = fixture::entry();
    let (_, first) = entry.offered(fixture::arrival("/write"));

    let lost = refusal::Refusal::may_have_run(INCOMPLETE, None);
    let second = fixture::start(&entry.refuse(first.offer.attempt, lost));

    assert_ne!(second.to, first.to);
    assert_ne!(second.offer.attempt, first.offer.attempt);
}

// A certificate issue may have run: whatever ended the attempt, it is never sent again.
#[test]
fn work_that_may_have_run_is_not_sent_again() {
    for fault in [event::Fault::Lost, event::Fault::Restarted, event::Fault::Corrupt] {
        let mut entry = fixture::entry();
        let (_, start) = entry.offered(fixture::arrival("/lodge"));

        let mut actions = entry.fail(start.offer.attempt, fault, 0);
        actions.extend(entry.live(Duration::from_secs(4)));

        assert!(fixture::starts(&actions).is_empty());
        let refusal = fixture::refused(&actions).expect("it is refused");
        assert_eq!(refusal.ran, refusal::Ran::MayHaveRun);
        assert_eq!(refusal.retry_after, None, "coming back would run it again");
    }
}

#[test]
fn work_that_surely_did_not_run_is_tried_elsewhere() {
    let mut entry = fixture::entry();
    let (_, first) = entry.offered(fixture::arrival("/lodge"));
    let stale = refusal::Refusal::not_run(refusal::Reason::Stale, None);
    let second = fixture::start(&entry.refuse(first.offer.attempt, stale));

    let third = entry.fail(second.offer.attempt, event::Fault::Unreachable, 0);
    let rested = entry.live(Duration::from_millis(100));

    assert_ne!(second.to, first.to);
    assert!(fixture::starts(&third).is_empty(), "both were asked: it rests first");
    assert_eq!(fixture::starts(&rested).len(), 1);
}

// An attempt that was heard to have started can't have been unreachable, whatever the shell says
// of the connection that broke last.
#[test]
fn unreachable_after_the_start_may_have_run() {
    let mut entry = fixture::entry();
    let (_, start) = entry.offered(fixture::arrival("/lodge"));
    entry.step(event::Event::AttemptStarted(start.offer.attempt));

    let actions = entry.fail(start.offer.attempt, event::Fault::Unreachable, 0);

    assert!(fixture::starts(&actions).is_empty());
    assert_eq!(fixture::refused(&actions).map(|r| r.ran), Some(refusal::Ran::MayHaveRun));
}

// A stream is cut in the middle. Another upstream goes on after the last event that the caller has
// whole.
#[test]
fn cut_stream_is_resumed_elsewhere() {
    let mut entry = fixture::entry();
    let (_, first) = entry.offered(fixture::arrival("/write"));
    entry.begin(first.offer.attempt, true);

    let lost = entry.fail(first.offer.attempt, event::Fault::Lost, 3);
    let second = fixture::start(&lost);
    let headed = entry.begin(second.offer.attempt, true);

    assert_ne!(second.to, first.to);
    assert_eq!(second.offer.resume_from, 3);
    assert_eq!(fixture::forwards(&headed), vec![second.offer.attempt]);
    assert!(fixture::cut(&lost).is_none());
}

// What can't be resumed is cut with a mark, never glued together or ended cleanly: an answer that
// is no stream, and a stream whose other upstream can't resume.
#[test]
fn unresumable_answer_is_cut() {
    let mut plain = fixture::entry();
    let (_, start) = plain.offered(fixture::arrival("/write"));
    plain.begin(start.offer.attempt, false);
    let mut stiff = fixture::entry();
    stiff.change(|view| {
        let members = view.members.values_mut();
        members.for_each(|member| member.announcement.profile.resumes = false);
    });
    let (_, other) = stiff.offered(fixture::arrival("/write"));
    stiff.begin(other.offer.attempt, true);

    let plain = plain.fail(start.offer.attempt, event::Fault::Lost, 0);
    let mut stream = stiff.fail(other.offer.attempt, event::Fault::Lost, 3);
    stream.extend(stiff.live(Duration::from_secs(6)));

    for actions in [plain, stream] {
        assert!(fixture::starts(&actions).is_empty());
        assert_eq!(fixture::cut(&actions).map(|r| r.ran), Some(refusal::Ran::MayHaveRun));
    }
}

// The upstream that is to resume the stream answers with something else, an error document for
// example: it is not glued to what the caller has.
#[test]
fn other_answer_is_not_glued_to_a_stream() {
    let mut entry = fixture::entry();
    let (_, first) = entry.offered(fixture::arrival("/write"));
    entry.begin(first.offer.attempt, true);
    let lost = entry.fail(first.offer.attempt, event::Fault::Lost, 3);
    let second = fixture::start(&lost);

    let actions = entry.begin(second.offer.attempt, false);

    assert!(fixture::forwards(&actions).is_empty());
    assert!(fixture::cut(&actions).is_some());
}

// A group is not whole for a moment and refuses within microseconds. The request must not run
// through all its tries meanwhile.
#[test]
fn refused_request_rests_and_is_served_in_the_end() {
    let mut entry = fixture::entry();
    entry.change(|view| drop(view.placements.remove(&"g2".into())));
    let (_, mut start) = entry.offered(fixture::arrival("/write"));
    let refusal = refusal::Refusal::not_run(INCOMPLETE, None);

    for _ in 0..4 {
        let mut actions = entry.refuse(start.offer.attempt, refusal);
        assert!(fixture::starts(&actions).is_empty());
        actions.extend(entry.live(Duration::from_millis(500)));
        start = fixture::start(&actions);
    }
    let headed = entry.begin(start.offer.attempt, false);

    assert_eq!(fixture::forwards(&headed), vec![start.offer.attempt]);
}

// A straggler holds a repeatable request for many times the usual: a second copy goes out, the
// first that answers is forwarded and the other cancelled.
#[test]
fn straggler_is_overtaken_by_a_second_copy() {
    let mut entry = fixture::entry();
    for _ in 0..200 {
        let (_, start) = entry.offered(fixture::arrival("/write"));
        entry.live(Duration::from_millis(10));
        entry.begin(start.offer.attempt, false);
        entry.step(event::Event::AttemptCompleted(start.offer.attempt));
    }
    let (_, stuck) = entry.offered(fixture::arrival("/write"));
    let (_, once) = entry.offered(fixture::arrival("/write/once"));

    let actions = entry.live(Duration::from_millis(200));
    let copy = fixture::start(&actions);
    let headed = entry.begin(copy.offer.attempt, false);

    assert_ne!(copy.to, stuck.to);
    assert_eq!(fixture::forwards(&headed), vec![copy.offer.attempt]);
    assert_eq!(fixture::cancels(&headed), vec![stuck.offer.attempt]);
    assert_ne!(once.offer.attempt, copy.offer.attempt);
}
