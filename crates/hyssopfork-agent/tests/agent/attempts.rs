//! At-most-once execution: an attempt starts at most once, and "not run" is reported only if it is
//! certain.

use crate::fixture;
use hyssopfork_agent::{action, event, tombstones};
use hyssopfork_wire::{attempt, refusal, timing};

// The network delays an offer until after its cancel request, when the client has been told "not
// run". The attempt must not start.
#[test]
fn cancelled_attempt_does_not_start_when_its_offer_arrives_late() {
    let mut agent = fixture::service_agent(true);

    let outcome = agent.cancel(1);
    let rejection = agent.offer(fixture::service_offer(1));

    assert_eq!(outcome, attempt::Cancelled::NeverStarted);
    assert_eq!(rejection.map(|rejection| rejection.ran), Some(refusal::Ran::NotRun));
}

// A cancel request races with the start of the attempt: between admission and write it prevents the
// start; after the write it must not report "never started".
#[test]
fn cancel_racing_with_the_start_reports_the_actual_state() {
    let mut agent = fixture::service_agent(true);
    agent.step(event::Event::OfferArrived(fixture::service_offer(1)));
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
fn known_offer_is_resumed_and_not_started_twice() {
    let mut agent = fixture::service_agent(true);
    agent.forward(fixture::service_offer(1));

    let running = agent.step(event::Event::OfferArrived(fixture::service_offer(1)));
    let ready = agent.step(event::Event::Connected(fixture::identifier(1)));
    agent.step(event::Event::ResponseCompleted(fixture::identifier(1)));
    let finished = agent.step(event::Event::OfferArrived(fixture::service_offer(1)));
    let cancelled = agent.cancel(1);

    let takes_up = |actions: &[action::Action]| {
        matches!(actions.first(), Some(action::Action::Resume(_))) && !fixture::has_connect(actions)
    };
    assert!(takes_up(&running) && takes_up(&finished));
    assert!(!fixture::has_forward(&ready));
    assert_eq!(cancelled, attempt::Cancelled::Finished);
}

// A duplicate of an offer arrives after the retention period of the response: the attempt ran, so
// it must not run again or be reported as not run.
#[test]
fn duplicate_offer_after_the_retention_period_does_not_start() {
    let mut agent = fixture::service_agent(true);
    agent.forward(fixture::service_offer(1));
    agent.step(event::Event::ResponseCompleted(fixture::identifier(1)));
    agent.advance(timing::RESPONSE_RETENTION);
    agent.renew_lease(std::time::Duration::ZERO);
    agent.probe(Some(fixture::health("a", None)));

    let rejection = agent.offer(fixture::service_offer(1));
    let cancelled = agent.cancel(1);

    assert_eq!(rejection.map(|rejection| rejection.ran), Some(refusal::Ran::MayHaveRun));
    assert_eq!(cancelled, attempt::Cancelled::Finished);
}

// The entry was told "not run" and retried at another upstream; a duplicate of the offer arrives
// when the agent could accept it.
#[test]
fn rejected_offer_does_not_start_later() {
    let mut agent = fixture::service_agent(true);
    agent.probe(None);
    let rejected = agent.offer(fixture::service_offer(1));
    agent.probe(Some(fixture::health("a", None)));

    let again = agent.offer(fixture::service_offer(1));

    let not_run = Some(refusal::Ran::NotRun);
    assert_eq!([rejected, again].map(|r| r.map(|rejection| rejection.ran)), [not_run; 2]);
}

// More attempts are cancelled than there are tombstones. The oldest of the entry with the most are
// compacted below its low-water mark: an offer of one of them still does not start, and a cancel
// request gets "unknown". The tombstones of another entry stay.
#[test]
fn compacted_cancel_still_rejects_the_offer() {
    let mut agent = fixture::service_agent(true);
    let other = attempt::Offer {
        attempt: attempt::Identifier { boot: 98, count: 1 },
        ..fixture::service_offer(1)
    };
    agent.step(event::Event::CancelRequested {
        call: 1,
        attempt: other.attempt,
        boot: fixture::BOOT,
    });
    for count in 1..=tombstones::MAX_TOMBSTONES as u64 {
        agent.cancel(count);
    }

    let rejection = agent.offer(fixture::service_offer(1));
    let cancelled = agent.cancel(1);
    let newer = agent.offer(fixture::service_offer(tombstones::MAX_TOMBSTONES as u64 + 2));
    let other = agent.offer(other);

    assert_eq!(rejection.map(|rejection| rejection.ran), Some(refusal::Ran::MayHaveRun));
    assert_eq!(cancelled, attempt::Cancelled::Unknown);
    assert_eq!(newer, None);
    assert_eq!(other.map(|rejection| rejection.ran), Some(refusal::Ran::NotRun));
}

// The agent restarts between accepting an attempt and starting it. The new process does not know
// what the previous one ran: it reports "not run" only for an offer that was certainly sent for the
// first time, and "unknown" to a cancel request.
#[test]
fn only_a_first_offer_to_a_previous_process_is_reported_as_not_run() {
    let mut agent = fixture::service_agent(true);
    let other = |count, first| attempt::Offer { boot: 6, first, ..fixture::service_offer(count) };

    let first = agent.offer(other(1, true));
    let again = agent.offer(other(2, false));
    let cancelled = agent.step(event::Event::CancelRequested {
        call: 3,
        attempt: fixture::identifier(3),
        boot: 6,
    });

    assert_eq!(first.map(|rejection| rejection.ran), Some(refusal::Ran::NotRun));
    assert_eq!(again.map(|rejection| rejection.ran), Some(refusal::Ran::MayHaveRun));
    let unknown = attempt::Cancelled::Unknown;
    let says = |action: &action::Action| matches!(action, action::Action::ReplyCancel { outcome, .. } if *outcome == unknown);
    assert!(cancelled.iter().any(says));
}

// An upstream that cannot cancel continues to work after the connection is closed: the attempt
// keeps its slot, otherwise a cold upstream would exceed its concurrency limit.
#[test]
fn cancelled_attempt_keeps_its_slot_if_the_upstream_cannot_cancel() {
    let mut agent = fixture::service_agent(false);
    agent.forward(fixture::service_offer(1));
    agent.forward(fixture::service_offer(2));
    agent.cancel(1);
    agent.cancel(2);

    let full = agent.offer(fixture::service_offer(3));
    agent.step(event::Event::ResponseCompleted(fixture::identifier(1)));
    let free = agent.offer(fixture::service_offer(4));

    assert_eq!(full.map(|rejection| rejection.reason), Some(refusal::Reason::Cold));
    assert_eq!(free, None);
}

#[test]
fn fault_tells_whether_the_attempt_may_have_run() {
    let mut agent = fixture::service_agent(true);
    agent.forward(fixture::service_offer(1));
    agent.forward(fixture::service_offer(2));

    let unreachable =
        agent.step(event::Event::ResponseFailed(fixture::identifier(1), event::Fault::Unreachable));
    let broken =
        agent.step(event::Event::ResponseFailed(fixture::identifier(2), event::Fault::Broken));

    let ran = |actions: &[action::Action]| {
        fixture::find_rejection(actions).map(|rejection| rejection.ran)
    };
    assert_eq!(ran(&unreachable), Some(refusal::Ran::NotRun));
    assert_eq!(ran(&broken), Some(refusal::Ran::MayHaveRun));
}
