//! Claims: non-repeatable work with a key runs once, and its outcome is recorded.

use crate::fixture;
use hyssopfork_entry::event;
use hyssopfork_wire::{attempt, claim, control, frame, refusal};
use std::time::Duration;

const UNKNOWN: refusal::Reason = refusal::Reason::OutcomeUnknown;

#[test]
fn claim_precedes_the_offer_and_the_record_precedes_the_response() {
    let mut entry = fixture::entry();

    let (_, arrived) = entry.arrive(fixture::arrival_with_key("k"));
    let call = fixture::last_claim_call(&arrived);
    let granted = control::Response::Claimed(claim::Reply::Granted);
    let start = fixture::single_start(&entry.respond_to_call(call.call, granted));
    let collected = entry.collect_response(start.offer.attempt, "done");
    let record = fixture::last_claim_call(&collected);
    let recorded = entry.respond_to_call(record.call, control::Response::Recorded);

    assert!(fixture::starts(&arrived).is_empty());
    assert!(start.collect);
    assert_eq!(fixture::response_body(&collected), None);
    assert_eq!(fixture::response_body(&recorded).as_deref(), Some("done"));
}

// The response to a claim is lost, or the control leader changes: the claim is requested again
// under the same identifier, which the replicated log grants once.
#[test]
fn lost_claim_responses_are_requested_again_under_the_same_identifier() {
    let mut entry = fixture::entry();
    let (_, arrived) = entry.arrive(fixture::arrival_with_key("k"));
    let first = fixture::last_claim_call(&arrived);

    entry.step(event::Event::ControlResponded { call: first.call, response: None });
    let second = fixture::last_claim_call(&entry.advance(Duration::from_millis(100)));
    entry.respond_to_call(second.call, control::Response::NotLeader(None));
    let third = fixture::last_claim_call(&entry.advance(Duration::from_millis(100)));

    assert_eq!(first.request, second.request);
    assert_eq!(second.request, third.request);
}

#[test]
fn each_claim_reply_gets_the_matching_response() {
    let answered = claim::Outcome::Answered { head: fixture::head(false), body: b"old".to_vec() };
    let omitted_length = ("hyssopfork-unkept-length".to_owned(), "70000".to_owned());
    let long = frame::Head { status: 200, headers: vec![omitted_length] };
    let long = claim::Outcome::Answered { head: long, body: Vec::new() };
    let may_have_run = refusal::Ran::MayHaveRun;
    let not_run = refusal::Ran::NotRun;
    let cases = [
        (claim::Reply::Done(long), UNKNOWN, may_have_run),
        (claim::Reply::Done(claim::Outcome::Unknown), UNKNOWN, may_have_run),
        (claim::Reply::InProgress, refusal::Reason::InProgress, may_have_run),
        (claim::Reply::DigestDiffers, refusal::Reason::KeyReused, not_run),
        (claim::Reply::Full, refusal::Reason::Overloaded, not_run),
    ];

    for (reply, reason, ran) in cases {
        let mut entry = fixture::entry();
        let call = fixture::last_claim_call(&entry.arrive(fixture::arrival_with_key("k")).1).call;
        let actions = entry.respond_to_call(call, control::Response::Claimed(reply));
        let refusal = fixture::rejection(&actions).expect("the request is rejected");
        assert_eq!((refusal.reason, refusal.ran), (reason, ran));
        assert!(fixture::starts(&actions).is_empty());
    }
    let mut entry = fixture::entry();
    let call = fixture::last_claim_call(&entry.arrive(fixture::arrival_with_key("k")).1).call;
    let reply = claim::Reply::Done(answered);
    let actions = entry.respond_to_call(call, control::Response::Claimed(reply));
    assert_eq!(fixture::response_body(&actions).as_deref(), Some("old"));
}

// The claim is not answered before the deadline. Nothing was sent, so the client is told "not run".
// The claim may have been granted nevertheless and must be released as soon as that is known.
#[test]
fn claim_granted_after_the_deadline_is_released() {
    let mut entry = fixture::entry();
    let (_, arrived) = entry.arrive(fixture::arrival_with_key("k"));
    let first = fixture::last_claim_call(&arrived);
    let actions = entry.advance(Duration::from_secs(3));
    let refusal = fixture::rejection(&actions).expect("the request is rejected");

    let again = fixture::last_claim_call(&actions);
    let granted = control::Response::Claimed(claim::Reply::Granted);
    let released = entry.respond_to_call(again.call, granted);

    assert_eq!(refusal.ran, refusal::Ran::NotRun);
    assert_eq!(again.request, first.request);
    assert!(fixture::starts(&released).is_empty());
    assert_eq!(fixture::recorded_outcome(&released), claim::Outcome::NotRun);
}

// It is unknown whether claimed work ran: it must be recorded as unknown and not sent again.
#[test]
fn lost_claimed_work_is_recorded_as_unknown() {
    let mut entry = fixture::entry();
    let (_, start) = entry.arrive_and_claim("k");

    let actions = entry.fail_attempt(start.offer.attempt, event::Fault::Lost, 0);

    assert!(fixture::starts(&actions).is_empty());
    assert_eq!(fixture::rejection(&actions).map(|r| r.reason), Some(UNKNOWN));
    assert_eq!(fixture::recorded_outcome(&actions), claim::Outcome::Unknown);
}

// The work has started but is not answered by the deadline. The client is told at once. The work
// must be followed to its end rather than cancelled halfway, so that the next request with the key
// gets its response.
#[test]
fn started_claimed_work_is_followed_to_its_end() {
    let mut entry = fixture::entry();
    let (_, start) = entry.arrive_and_claim("k");
    entry.step(event::Event::AttemptStarted(start.offer.attempt));

    let overdue = entry.advance(Duration::from_secs(3));
    let collected = entry.collect_response(start.offer.attempt, "late");

    assert_eq!(fixture::rejection(&overdue).map(|r| r.reason), Some(UNKNOWN));
    assert!(fixture::cancelled_attempts(&overdue).is_empty());
    assert!(matches!(fixture::recorded_outcome(&collected), claim::Outcome::Answered { .. }));
    assert_eq!(fixture::response_body(&collected), None);
}

// The start of the work was not reported by the deadline. The attempt is cancelled, and the agent's
// response to the cancel decides whether the key is released.
#[test]
fn cancelled_claim_is_released_only_on_the_agents_response() {
    let cases = [
        (attempt::Cancelled::NeverStarted, claim::Outcome::NotRun),
        (attempt::Cancelled::Unknown, claim::Outcome::Unknown),
    ];

    for (cancelled, outcome) in cases {
        let mut entry = fixture::entry();
        let (_, start) = entry.arrive_and_claim("k");
        let overdue = entry.advance(Duration::from_secs(3));
        let attempt = start.offer.attempt;
        let event = event::Event::CancelResponded { attempt, outcome: Some(cancelled) };
        let actions = entry.step(event);
        assert_eq!(fixture::cancelled_attempts(&overdue), vec![attempt]);
        assert_eq!(fixture::recorded_outcome(&actions), outcome);
    }
}

// The response has arrived but can't be recorded in time. The client must be told that the outcome
// is unknown, never "not run", and recording must continue.
#[test]
fn unrecorded_response_is_not_rejected_as_not_run() {
    let mut entry = fixture::entry();
    let (_, start) = entry.arrive_and_claim("k");
    entry.collect_response(start.offer.attempt, "done");

    let actions = entry.advance(Duration::from_secs(4));
    let record = fixture::last_claim_call(&actions);

    let refusal = fixture::rejection(&actions).expect("the request is rejected");
    assert_eq!((refusal.reason, refusal.ran), (UNKNOWN, refusal::Ran::MayHaveRun));
    assert!(matches!(record.request, control::Request::Record(..)));
}

// The client disconnects while its certificate is being issued: the outcome must be recorded for
// when it returns with the key.
#[test]
fn outcome_is_recorded_after_the_client_disconnects() {
    let mut entry = fixture::entry();
    let (request, start) = entry.arrive_and_claim("k");

    let gone = entry.step(event::Event::ClientGone(request));
    let collected = entry.collect_response(start.offer.attempt, "done");

    assert!(fixture::cancelled_attempts(&gone).is_empty());
    assert!(matches!(fixture::recorded_outcome(&collected), claim::Outcome::Answered { .. }));
}

#[test]
fn response_too_long_to_record_is_marked() {
    let mut entry = fixture::entry();
    let (_, start) = entry.arrive_and_claim("k");

    let actions =
        entry.collect_response(start.offer.attempt, &"x".repeat(claim::MAX_BODY_BYTES + 1));

    let claim::Outcome::Answered { head, body } = fixture::recorded_outcome(&actions) else {
        panic!("expected a recorded response");
    };
    assert!(body.is_empty());
    assert!(head.headers.iter().any(|(name, _)| name == "hyssopfork-unkept-length"));
}
