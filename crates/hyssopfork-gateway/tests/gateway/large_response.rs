//! Responses and bodies that are too large to be kept.

use crate::fixture::{Entry, arrival, rejection, started};
use bytes::Bytes;
use hyssopfork_gateway::{action, content, event};

fn head(status: u16) -> event::Head {
    event::Head::new(status)
}

/// Sends a request with a body of this length; returns its number.
fn send_body(entry: &mut Entry, length: usize) -> u64 {
    let mut arrival = arrival("status");
    arrival.content.body = Bytes::from(vec![b'x'; length]);
    let (number, decision) = entry.arrive(arrival);
    started(&decision);
    number
}

#[test]
fn a_large_response_is_forwarded_as_it_arrives() {
    let mut entry = Entry::with_view();
    let (number, _) = entry.send("submit");

    let decision = entry.step(event::Event::LargeResponseReceived(number, head(404)));
    entry.step(event::Event::StreamCompleted(number));

    assert_eq!(decision, Some(action::Decision::ForwardStream));
    assert_eq!(entry.core.open_requests(), 0);
}

/// Guards against a second response that is appended to the forwarded part of the first.
#[test]
fn a_forwarded_part_can_only_be_followed_by_an_abort() {
    let mut entry = Entry::with_view();
    let (number, _) = entry.send("status");
    entry.step(event::Event::LargeResponseReceived(number, head(200)));

    let lost = event::Event::AttemptFailed(number, event::Fault::ConnectionLost, None);

    assert_eq!(entry.step(lost), Some(action::Decision::Abort));
    assert_eq!(entry.core.open_requests(), 0);
}

/// Guards against a move to another upstream that would start the response again.
#[test]
fn a_silent_upstream_keeps_a_response_that_is_forwarded() {
    let mut entry = Entry::with_view();
    let (number, _) = entry.send("status");
    entry.step(event::Event::LargeResponseReceived(number, head(200)));
    entry.advance(2_000);

    let waiting = entry.step(event::Event::IdleTimeout(number));
    let overdue = entry.step(event::Event::DeadlineExceeded(number));

    assert!(matches!(waiting, Some(action::Decision::Wait(_))), "{waiting:?}");
    assert_eq!(overdue, Some(action::Decision::Abort));
}

#[test]
fn a_large_server_error_is_retried_like_a_small_one() {
    let mut entry = Entry::with_view();
    let (number, first) = entry.send("status");

    let again = entry.step(event::Event::LargeResponseReceived(number, head(500)));
    let forwarded = entry.step(event::Event::LargeResponseReceived(number, head(500)));

    assert_ne!(started(&again.expect("a decision follows")).instance, first);
    assert_eq!(forwarded, Some(action::Decision::ForwardStream));
}

/// Guards against a 503 that promises that non-repeatable work has not run.
#[test]
fn a_large_503_does_not_promise_that_nonrepeatable_work_has_not_run() {
    let mut entry = Entry::with_view();
    let (number, _) = entry.send("submit");

    let decision = entry.step(event::Event::LargeResponseReceived(number, head(503)));

    assert_eq!(rejection(&decision.expect("a decision follows")).reason, action::Reason::Failed);
}

/// Guards against an attempt without the body, which is not kept once it was written.
#[test]
fn a_large_body_has_one_attempt_once_it_was_sent() {
    let mut entry = Entry::with_view();
    let kept = send_body(&mut entry, content::MAX_KEPT_BODY_BYTES);
    let unsent = send_body(&mut entry, content::MAX_KEPT_BODY_BYTES + 1);
    let sent = send_body(&mut entry, content::MAX_KEPT_BODY_BYTES + 1);
    let silent = send_body(&mut entry, content::MAX_KEPT_BODY_BYTES + 1);

    let fail = |number, fault| event::Event::AttemptFailed(number, fault, None);
    let kept = entry.step(fail(kept, event::Fault::ConnectionLost));
    let unsent = entry.step(fail(unsent, event::Fault::Unreachable));
    let not_run = entry.step(fail(sent, event::Fault::NotRun));
    entry.advance(2_000);
    let silent = entry.step(event::Event::IdleTimeout(silent));

    assert!(matches!(kept, Some(action::Decision::Start(_))), "{kept:?}");
    assert!(matches!(unsent, Some(action::Decision::Start(_))), "{unsent:?}");
    let rejected = rejection(&not_run.expect("a decision follows"));
    assert_eq!(rejected.reason, action::Reason::NotAccepted);
    assert!(matches!(silent, Some(action::Decision::Wait(_))), "{silent:?}");
}

/// Guards against upstreams that are ejected, or requests that are suspected of a crash, because a
/// client doesn't read.
#[test]
fn the_end_of_an_unread_response_is_not_the_upstreams_failure() {
    let probes_after = |fault| {
        let mut entry = Entry::with_view();
        let (number, _) = entry.send("submit");
        entry.step(event::Event::LargeResponseReceived(number, head(200)));
        let decision = entry.step(event::Event::AttemptFailed(number, fault, None));
        assert_eq!(decision, Some(action::Decision::Abort));
        entry.probes.len()
    };

    assert_eq!(probes_after(event::Fault::ResponseNotRead), 0);
    assert_eq!(probes_after(event::Fault::ConnectionLost), 1);
}
