//! Statuses that promise that a request has not run.

use crate::fixture::{Entry, rejection, started};
use hyssopfork_gateway::{action, event, response};

/// Failures that an upstream may respond with after it has run a request.
const STATUSES: [u16; 12] = [400, 404, 408, 409, 421, 425, 429, 500, 502, 503, 504, 599];

/// How the whole of a response arrives.
#[derive(Clone, Copy, Debug)]
enum Size {
    Small,
    Large,
}

fn received(number: u64, size: Size, status: u16) -> event::Event {
    let head = event::Head::new(status);
    match size {
        Size::Small => event::Event::ResponseReceived(number, head),
        Size::Large => event::Event::LargeResponseReceived(number, head),
    }
}

fn is_forwarded(decision: &action::Decision) -> bool {
    matches!(decision, action::Decision::ForwardResponse | action::Decision::ForwardStream)
}

/// Guards against non-repeatable work that runs twice: its upstream has run it and responds with a status
/// that promises the opposite, on the first attempt or after one that is known not to have run it.
#[test]
fn a_promise_that_the_upstream_does_not_state_is_not_forwarded() {
    let first_attempts = [None, Some(event::Fault::NotRun), Some(event::Fault::WrongInstance)];
    for status in STATUSES {
        for size in [Size::Small, Size::Large] {
            for first_attempt in first_attempts {
                let mut entry = Entry::with_view();
                let (number, _) = entry.send("submit");
                if let Some(fault) = first_attempt {
                    let event = event::Event::AttemptFailed(number, fault, None);
                    started(&entry.step(event).expect("a decision follows"));
                }

                let decision = entry.step(received(number, size, status));

                let decision = decision.expect("a decision follows");
                let case = format!("{status}, {size:?}, {first_attempt:?}: {decision:?}");
                if response::promises_not_run(status) {
                    assert_eq!(rejection(&decision).reason, action::Reason::Failed, "{case}");
                } else {
                    assert!(is_forwarded(&decision), "{case}");
                }
            }
        }
    }
}

/// Guards against a promise of this process that an earlier attempt breaks: the last upstream states that
/// it has not run the request, and the first one may have.
#[test]
fn a_request_that_may_have_run_is_never_rejected_as_not_run() {
    let ambiguous = [event::Fault::ConnectionLost, event::Fault::InvalidResponse];
    let certain = [
        event::Fault::Unreachable,
        event::Fault::NotRun,
        event::Fault::WrongInstance,
        event::Fault::ConnectionLost,
    ];
    for first in ambiguous {
        for last in certain {
            let mut entry = Entry::with_view();
            let (number, _) = entry.send("status");
            let again = entry.step(event::Event::AttemptFailed(number, first, None));
            let mut decision = again.expect("a decision follows");
            while matches!(decision, action::Decision::Start(_)) {
                let event = event::Event::AttemptFailed(number, last, None);
                decision = entry.step(event).expect("a decision follows");
            }
            if matches!(decision, action::Decision::Queue(_)) {
                let event = event::Event::QueueTimeout(number);
                decision = entry.step(event).expect("a decision follows");
            }

            let reason = rejection(&decision).reason;
            assert!(!reason.is_not_run(), "{first:?}, {last:?}: {reason:?}");
        }
    }
}

/// Guards against a promise where the time of a request that may have run is over, while it is at an
/// upstream or waits for one.
#[test]
fn a_deadline_after_an_attempt_promises_nothing() {
    for route in ["submit", "status"] {
        let mut entry = Entry::with_view();
        let (number, _) = entry.send(route);
        if route == "status" {
            let lost = event::Event::AttemptFailed(number, event::Fault::ConnectionLost, None);
            entry.step(lost);
        }

        let decision = entry.step(event::Event::DeadlineExceeded(number));

        let reason = rejection(&decision.expect("a decision follows")).reason;
        assert_eq!(reason, action::Reason::TimedOut, "{route}");
    }
}

/// Guards against a run that counts as none, since the upstream's success states that it has not run.
#[test]
fn only_a_failure_can_state_that_a_request_has_not_run() {
    for status in [200, 204, 302, 400, 429, 503] {
        let response = response::Response {
            status,
            not_run: true,
            signed: true,
            identifier: Some("id".to_owned()),
            ..response::Response::default()
        };
        let expected = match status {
            400.. => event::Fault::NotRun,
            _ => event::Fault::InvalidResponse,
        };

        assert_eq!(response.fault("id"), Some(expected), "{status}");
    }
}
