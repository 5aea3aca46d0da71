//! Attempts: started at most once, and "not run" only where that is certain.

use crate::fixture;
use hyssopfork_agent::{action, event, tombstones};
use hyssopfork_wire::{attempt, refusal, timing};

// The caller was told "not run" after the cancel; the offer, held back by the network, comes after
// it. It must not start.
#[test]
fn cancel_before_the_offer_holds() {
    let mut agent = fixture::service_agent(true);

    let outcome = agent.cancel(1);
    let refusal = agent.offer(fixture::service_offer(1));

    assert_eq!(outcome, attempt::Cancelled::NeverStarted);
    assert_eq!(refusal.map(|refusal| refusal.ran), Some(refusal::Ran::NotRun));
}

// The cancel crosses the start: between the admission and the write it still stops the work, after
// the write it can't say that nothing ran.
#[test]
fn cancel_crossing_the_start_tells_the_truth() {
    let mut agent = fixture::service_agent(true);
    agent.step(event::Event::Offer(fixture::service_offer(1)));
    let prepared = agent.cancel(1);
    let ready = agent.step(event::Event::Connected(fixture::identifier(1)));
    agent.forward(fixture::service_offer(2));

    let running = agent.cancel(2);
    let again = agent.cancel(2);

    assert_eq!(prepared, attempt::Cancelled::NeverStarted);
    assert!(!fixture::has_forward(&ready));
    assert_eq!([running, again], [attempt::Cancelled::Started; 2]);
}

#[test]
fn known_offer_is_taken_up_and_not_started_twice() {
    let mut agent = fixture::service_agent(true);
    agent.forward(fixture::service_offer(1));

    let running = agent.step(event::Event::Offer(fixture::service_offer(1)));
    let ready = agent.step(event::Event::Connected(fixture::identifier(1)));
    agent.step(event::Event::ResponseFinished(fixture::identifier(1)));
    let finished = agent.step(event::Event::Offer(fixture::service_offer(1)));
    let cancelled = agent.cancel(1);

    let takes_up = |actions: &[action::Action]| {
        matches!(actions.first(), Some(action::Action::Resume(_))) && !fixture::has_connect(actions)
    };
    assert!(takes_up(&running) && takes_up(&finished));
    assert!(!fixture::has_forward(&ready));
    assert_eq!(cancelled, attempt::Cancelled::Finished);
}

// A copy of an offer comes long after the answer was dropped: it ran, so it must not run again,
// and nobody may be told that it didn't.
#[test]
fn copy_after_the_answer_was_dropped_never_starts() {
    let mut agent = fixture::service_agent(true);
    agent.forward(fixture::service_offer(1));
    agent.step(event::Event::ResponseFinished(fixture::identifier(1)));
    agent.advance(timing::RESPONSE_RETENTION);
    agent.renew_lease(std::time::Duration::ZERO);
    agent.probe(Some(fixture::health("a", None)));

    let refusal = agent.offer(fixture::service_offer(1));
    let cancelled = agent.cancel(1);

    assert_eq!(refusal.map(|refusal| refusal.ran), Some(refusal::Ran::MayHaveRun));
    assert_eq!(cancelled, attempt::Cancelled::Finished);
}

// The entry was told "not run" and has tried elsewhere; a copy of the offer comes when the agent
// could take it.
#[test]
fn refused_offer_never_starts_later() {
    let mut agent = fixture::service_agent(true);
    agent.probe(None);
    let refused = agent.offer(fixture::service_offer(1));
    agent.probe(Some(fixture::health("a", None)));

    let again = agent.offer(fixture::service_offer(1));

    let not_run = Some(refusal::Ran::NotRun);
    assert_eq!([refused, again].map(|r| r.map(|refusal| refusal.ran)), [not_run; 2]);
}

// More attempts were cancelled than are kept singly. The oldest of the entry with the most are
// forgotten by name, but their numbers are below its floor: an offer of theirs still doesn't start,
// and a cancel claims nothing. Another entry's few are remembered as they were.
#[test]
fn forgotten_cancel_still_refuses() {
    let mut agent = fixture::service_agent(true);
    let other = attempt::Offer {
        attempt: attempt::Identifier { boot: 98, count: 1 },
        ..fixture::service_offer(1)
    };
    agent.step(event::Event::CancelRequest {
        call: 1,
        attempt: other.attempt,
        boot: fixture::BOOT,
    });
    for count in 1..=tombstones::MAX_TOMBSTONES as u64 {
        agent.cancel(count);
    }

    let refusal = agent.offer(fixture::service_offer(1));
    let cancelled = agent.cancel(1);
    let newer = agent.offer(fixture::service_offer(tombstones::MAX_TOMBSTONES as u64 + 2));
    let other = agent.offer(other);

    assert_eq!(refusal.map(|refusal| refusal.ran), Some(refusal::Ran::MayHaveRun));
    assert_eq!(cancelled, attempt::Cancelled::Unknown);
    assert_eq!(newer, None);
    assert_eq!(other.map(|refusal| refusal.ran), Some(refusal::Ran::NotRun));
}

// The agent is restarted between accepting an attempt and starting it. The new process can't know
// what the one before ran: it says "not run" only of an offer that surely goes out for the first
// time, and nothing certain to a cancel.
#[test]
fn other_boot_claims_nothing() {
    let mut agent = fixture::service_agent(true);
    let other = |count, first| attempt::Offer { boot: 6, first, ..fixture::service_offer(count) };

    let first = agent.offer(other(1, true));
    let again = agent.offer(other(2, false));
    let cancelled = agent.step(event::Event::CancelRequest {
        call: 3,
        attempt: fixture::identifier(3),
        boot: 6,
    });

    assert_eq!(first.map(|refusal| refusal.ran), Some(refusal::Ran::NotRun));
    assert_eq!(again.map(|refusal| refusal.ran), Some(refusal::Ran::MayHaveRun));
    let unknown = attempt::Cancelled::Unknown;
    let says = |action: &action::Action| matches!(action, action::Action::ReplyCancel { outcome, .. } if *outcome == unknown);
    assert!(cancelled.iter().any(says));
}

// A back end that can't cancel works on after the connection is closed: the attempt keeps its
// place, or a cold back end would get more than it can bear.
#[test]
fn uncancellable_work_keeps_its_place() {
    let mut agent = fixture::service_agent(false);
    agent.forward(fixture::service_offer(1));
    agent.forward(fixture::service_offer(2));
    agent.cancel(1);
    agent.cancel(2);

    let full = agent.offer(fixture::service_offer(3));
    agent.step(event::Event::ResponseFinished(fixture::identifier(1)));
    let free = agent.offer(fixture::service_offer(4));

    assert_eq!(full.map(|refusal| refusal.reason), Some(refusal::Reason::Cold));
    assert_eq!(free, None);
}

#[test]
fn fault_says_whether_bytes_were_sent() {
    let mut agent = fixture::service_agent(true);
    agent.forward(fixture::service_offer(1));
    agent.forward(fixture::service_offer(2));

    let unreachable =
        agent.step(event::Event::ResponseFailed(fixture::identifier(1), event::Fault::Unreachable));
    let broken =
        agent.step(event::Event::ResponseFailed(fixture::identifier(2), event::Fault::Broken));

    let ran =
        |actions: &[action::Action]| fixture::find_rejection(actions).map(|refusal| refusal.ran);
    assert_eq!(ran(&unreachable), Some(refusal::Ran::NotRun));
    assert_eq!(ran(&broken), Some(refusal::Ran::MayHaveRun));
}
