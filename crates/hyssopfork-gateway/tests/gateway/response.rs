//! Validation of responses.

use hyssopfork_gateway::event::Fault;
use hyssopfork_gateway::response::Response;

fn valid() -> Response {
    Response { status: 200, signed: true, identifier: Some("id".to_owned()), ..Response::default() }
}

#[test]
fn a_signed_success_is_valid() {
    assert_eq!(valid().fault("id"), None);
}

/// Guards against an upstream that responds twice: the second response arrives in place of the next
/// request's.
#[test]
fn a_response_to_another_request_is_invalid() {
    assert_eq!(valid().fault("other"), Some(Fault::InvalidResponse));
}

#[test]
fn an_unsigned_unidentified_or_encoded_success_is_invalid() {
    let unsigned = Response { signed: false, ..valid() };
    let unidentified = Response { identifier: None, ..valid() };
    let encoded = Response { encoded: true, ..valid() };

    for response in [unsigned, unidentified, encoded] {
        assert_eq!(response.fault("id"), Some(Fault::InvalidResponse));
    }
}

#[test]
fn a_rejection_states_whether_the_request_ran() {
    let failed = Response { status: 503, ..valid() };
    let full = Response { not_run: true, ..failed.clone() };
    let other_instance = Response { status: 421, wrong_instance: true, ..failed.clone() };

    assert_eq!(failed.fault("id"), None);
    assert_eq!(full.fault("id"), Some(Fault::NotRun));
    assert_eq!(other_instance.fault("id"), Some(Fault::WrongInstance));
}
