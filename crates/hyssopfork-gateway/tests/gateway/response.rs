//! What an answer is worth.

use hyssopfork_gateway::event::Fault;
use hyssopfork_gateway::response::Response;

fn good() -> Response {
    Response { status: 200, signed: true, identifier: Some("id".to_owned()), ..Response::default() }
}

#[test]
fn a_success_with_its_proof_is_good() {
    assert_eq!(good().fault("id"), None);
}

/// An upstream answers twice; the second answer comes where the next request's is expected.
#[test]
fn an_answer_to_another_request_is_wrong() {
    assert_eq!(good().fault("other"), Some(Fault::InvalidResponse));
}

#[test]
fn a_success_without_proof_or_name_or_with_an_encoding_is_wrong() {
    let unsigned = Response { signed: false, ..good() };
    let nameless = Response { identifier: None, ..good() };
    let encoded = Response { encoded: true, ..good() };

    for answer in [unsigned, nameless, encoded] {
        assert_eq!(answer.fault("id"), Some(Fault::InvalidResponse));
    }
}

#[test]
fn a_refusal_says_whether_it_ran() {
    let failed = Response { status: 503, ..good() };
    let full = Response { not_run: true, ..failed.clone() };
    let stranger = Response { status: 421, wrong_instance: true, ..failed.clone() };

    assert_eq!(failed.fault("id"), None);
    assert_eq!(full.fault("id"), Some(Fault::NotRun));
    assert_eq!(stranger.fault("id"), Some(Fault::WrongInstance));
}
