//! Claims: non-repeatable work with a key runs once, and its outcome is kept.

use crate::fixture;
use hyssopfork_entry::event;
use hyssopfork_wire::{attempt, claim, control, frame, refusal};
use std::time::Duration;

const UNKNOWN: refusal::Reason = refusal::Reason::OutcomeUnknown;

#[test]
fn claim_comes_before_the_offer_and_the_record_before_the_answer() {
    let mut entry = fixture::entry();

    let (_, arrived) = entry.arrive(fixture::keyed("k"));
    let call = fixture::claim_call(&arrived);
    let granted = control::Response::Claimed(claim::Reply::Granted);
    let start = fixture::start(&entry.reply(call.call, granted));
    let collected = entry.collect(start.offer.attempt, "done");
    let record = fixture::claim_call(&collected);
    let recorded = entry.reply(record.call, control::Response::Recorded);

    assert!(fixture::starts(&arrived).is_empty());
    assert!(start.collect);
    assert_eq!(fixture::answer(&collected), None);
    assert_eq!(fixture::answer(&recorded).as_deref(), Some("done"));
}

// The claim's answer is lost, or its leader changes: it is asked for again under the same
// identifier, which the replicated log grants once.
#[test]
fn lost_answers_are_asked_for_again_under_the_same_identifier() {
    let mut entry = fixture::entry();
    let (_, arrived) = entry.arrive(fixture::keyed("k"));
    let first = fixture::claim_call(&arrived);

    entry.step(event::Event::Controlled { call: first.call, response: None });
    let second = fixture::claim_call(&entry.live(Duration::from_millis(100)));
    entry.reply(second.call, control::Response::NotLeader(None));
    let third = fixture::claim_call(&entry.live(Duration::from_millis(100)));

    assert_eq!(first.request, second.request);
    assert_eq!(second.request, third.request);
}

#[test]
fn replies_to_a_claim_tell_the_truth() {
    let answered = claim::Outcome::Answered { head: fixture::head(false), body: b"old".to_vec() };
    let unkept = ("hyssopfork-unkept-length".to_owned(), "70000".to_owned());
    let long = frame::Head { status: 200, headers: vec![unkept] };
    let long = claim::Outcome::Answered { head: long, body: Vec::new() };
    let may = refusal::Ran::MayHaveRun;
    let not = refusal::Ran::NotRun;
    let cases = [
        (claim::Reply::Done(long), UNKNOWN, may),
        (claim::Reply::Done(claim::Outcome::Unknown), UNKNOWN, may),
        (claim::Reply::InProgress, refusal::Reason::InProgress, may),
        (claim::Reply::DigestDiffers, refusal::Reason::KeyReused, not),
        (claim::Reply::Full, refusal::Reason::Overloaded, not),
    ];

    for (reply, reason, ran) in cases {
        let mut entry = fixture::entry();
        let call = fixture::claim_call(&entry.arrive(fixture::keyed("k")).1).call;
        let actions = entry.reply(call, control::Response::Claimed(reply));
        let refusal = fixture::refused(&actions).expect("it is refused");
        assert_eq!((refusal.reason, refusal.ran), (reason, ran));
        assert!(fixture::starts(&actions).is_empty());
    }
    let mut entry = fixture::entry();
    let call = fixture::claim_call(&entry.arrive(fixture::keyed("k")).1).call;
    let reply = claim::Reply::Done(answered);
    let actions = entry.reply(call, control::Response::Claimed(reply));
    assert_eq!(fixture::answer(&actions).as_deref(), Some("old"));
}

// The claim's answer doesn't come before the deadline. Nothing was sent, so the caller is told "not
// run"; the claim may have been granted all the same and is given back when that is heard.
#[test]
fn claim_given_up_is_given_back() {
    let mut entry = fixture::entry();
    let (_, arrived) = entry.arrive(fixture::keyed("k"));
    let first = fixture::claim_call(&arrived);
    let actions = entry.live(Duration::from_secs(3));
    let refusal = fixture::refused(&actions).expect("it is refused");

    let again = fixture::claim_call(&actions);
    let granted = control::Response::Claimed(claim::Reply::Granted);
    let freed = entry.reply(again.call, granted);

    assert_eq!(refusal.ran, refusal::Ran::NotRun);
    assert_eq!(again.request, first.request);
    assert!(fixture::starts(&freed).is_empty());
    assert_eq!(fixture::recorded(&freed), claim::Outcome::NotRun);
}

// Nobody can say whether claimed work ran: it is recorded so, and not sent again.
#[test]
fn lost_work_is_recorded_as_unknown() {
    let mut entry = fixture::entry();
    let (_, start) = entry.claimed("k");

    let actions = entry.fail(start.offer.attempt, event::Fault::Lost, 0);

    assert!(fixture::starts(&actions).is_empty());
    assert_eq!(fixture::refused(&actions).map(|r| r.reason), Some(UNKNOWN));
    assert_eq!(fixture::recorded(&actions), claim::Outcome::Unknown);
}

// The work began but its answer doesn't by the deadline. The caller is told so at once; the work is
// watched to its end, not stopped halfway, so that the key's next caller gets its answer.
#[test]
fn started_work_is_watched_to_its_end() {
    let mut entry = fixture::entry();
    let (_, start) = entry.claimed("k");
    entry.step(event::Event::Started(start.offer.attempt));

    let given_up = entry.live(Duration::from_secs(3));
    let collected = entry.collect(start.offer.attempt, "late");

    assert_eq!(fixture::refused(&given_up).map(|r| r.reason), Some(UNKNOWN));
    assert!(fixture::cancels(&given_up).is_empty());
    assert!(matches!(fixture::recorded(&collected), claim::Outcome::Answered { .. }));
    assert_eq!(fixture::answer(&collected), None);
}

// The offer was not heard to have started by the deadline. It is cancelled, and the agent's word
// decides whether the key is free.
#[test]
fn cancelled_claim_is_freed_only_by_the_agents_word() {
    let cases = [
        (attempt::Cancelled::NeverStarted, claim::Outcome::NotRun),
        (attempt::Cancelled::Unknown, claim::Outcome::Unknown),
    ];

    for (said, outcome) in cases {
        let mut entry = fixture::entry();
        let (_, start) = entry.claimed("k");
        let given_up = entry.live(Duration::from_secs(3));
        let attempt = start.offer.attempt;
        let event = event::Event::CancelAnswered { attempt, outcome: Some(said) };
        let actions = entry.step(event);
        assert_eq!(fixture::cancels(&given_up), vec![attempt]);
        assert_eq!(fixture::recorded(&actions), outcome);
    }
}

// The answer is here but can't be recorded in time: the caller is told that the outcome is not
// known yet, never "not run", and the record goes on.
#[test]
fn unrecorded_answer_is_not_called_not_run() {
    let mut entry = fixture::entry();
    let (_, start) = entry.claimed("k");
    entry.collect(start.offer.attempt, "done");

    let actions = entry.live(Duration::from_secs(4));
    let record = fixture::claim_call(&actions);

    let refusal = fixture::refused(&actions).expect("it is refused");
    assert_eq!((refusal.reason, refusal.ran), (UNKNOWN, refusal::Ran::MayHaveRun));
    assert!(matches!(record.request, control::Request::Record(..)));
}

// The caller went away while its certificate is being issued: the outcome is recorded for when it
// comes back with the key.
#[test]
fn gone_callers_outcome_is_recorded() {
    let mut entry = fixture::entry();
    let (request, start) = entry.claimed("k");

    let gone = entry.step(event::Event::Gone(request));
    let collected = entry.collect(start.offer.attempt, "done");

    assert!(fixture::cancels(&gone).is_empty());
    assert!(matches!(fixture::recorded(&collected), claim::Outcome::Answered { .. }));
}

#[test]
fn answer_too_long_to_keep_is_marked() {
    let mut entry = fixture::entry();
    let (_, start) = entry.claimed("k");

    let actions = entry.collect(start.offer.attempt, &"x".repeat(claim::MAX_BODY_BYTES + 1));

    let claim::Outcome::Answered { head, body } = fixture::recorded(&actions) else {
        panic!("the answer is recorded");
    };
    assert!(body.is_empty());
    assert!(head.headers.iter().any(|(name, _)| name == "hyssopfork-unkept-length"));
}
