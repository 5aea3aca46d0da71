//! Problem documents (RFC 9457) for rejected requests.

use actix_http::StatusCode;
use hyssopfork_wire::refusal;
use serde::Serialize;

/// Media type of the document.
pub const CONTENT_TYPE: &str = "application/problem+json";

/// A problem document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Problem {
    /// Type of the problem, as a relative reference.
    #[serde(rename = "type")]
    pub kind: String,
    /// Short description of the problem.
    pub title: &'static str,
    /// HTTP status.
    pub status: u16,
    /// `not_run` or `may_have_run`.
    pub ran: refusal::Ran,
    /// Reason of the rejection.
    pub reason: refusal::Reason,
    /// Time after which the client may retry, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// Identifier of the request, as in the logs.
    pub request: String,
}

/// Whole seconds for a Retry-After header, rounded up so that no client retries too early.
pub fn retry_after_seconds(refusal: &refusal::Refusal) -> Option<u64> {
    refusal.retry_after.map(|wait| wait.as_millis().div_ceil(1_000) as u64)
}

/// The problem document for a rejected request.
pub fn describe(refusal: &refusal::Refusal, request: &str) -> Problem {
    Problem {
        kind: format!("/problems/{}", refusal.reason),
        title: title(refusal.reason),
        status: status(refusal).as_u16(),
        ran: refusal.ran,
        reason: refusal.reason,
        retry_after_ms: refusal.retry_after.map(|wait| wait.as_millis() as u64),
        request: request.to_owned(),
    }
}

/// HTTP status for a rejected request.
pub fn status(refusal: &refusal::Refusal) -> StatusCode {
    match refusal.reason {
        refusal::Reason::Unauthorized => StatusCode::UNAUTHORIZED,
        refusal::Reason::NoRoute => StatusCode::NOT_FOUND,
        refusal::Reason::Malformed => StatusCode::BAD_REQUEST,
        refusal::Reason::TeamLimit => StatusCode::TOO_MANY_REQUESTS,
        refusal::Reason::InProgress | refusal::Reason::OutcomeUnknown => StatusCode::CONFLICT,
        refusal::Reason::KeyReused => StatusCode::UNPROCESSABLE_ENTITY,
        refusal::Reason::Deadline => StatusCode::GATEWAY_TIMEOUT,
        refusal::Reason::UpstreamFailed => StatusCode::BAD_GATEWAY,
        refusal::Reason::Overloaded
        | refusal::Reason::NoUpstream
        | refusal::Reason::Stale
        | refusal::Reason::Draining
        | refusal::Reason::ZoneOut
        | refusal::Reason::GroupIncomplete
        | refusal::Reason::Cold
        | refusal::Reason::Cancelled => StatusCode::SERVICE_UNAVAILABLE,
    }
}

fn title(reason: refusal::Reason) -> &'static str {
    match reason {
        refusal::Reason::Unauthorized => {
            "The bearer token names no team: send the token of a declared team."
        }
        refusal::Reason::NoRoute => "No route has this path: see the declared routes.",
        refusal::Reason::Malformed => {
            "The request is malformed or too large: mend it before sending again."
        }
        refusal::Reason::TeamLimit => "The team is over its share while the system is full.",
        refusal::Reason::Overloaded => "The work could not begin before its deadline.",
        refusal::Reason::Deadline => "The deadline passed.",
        refusal::Reason::NoUpstream => "No upstream can take the work now.",
        refusal::Reason::Stale => {
            "This entry cannot show that its configuration is recent: use another."
        }
        refusal::Reason::Draining => "This process is leaving: use another entry.",
        refusal::Reason::ZoneOut => "The upstream's availability zone is out of service.",
        refusal::Reason::GroupIncomplete => "The serving group is missing a member.",
        refusal::Reason::Cold => "The upstream has just started and bears no more work yet.",
        refusal::Reason::Cancelled => "The request was cancelled before its work started.",
        refusal::Reason::InProgress => {
            "The work of this key is in progress: ask again with the same key."
        }
        refusal::Reason::KeyReused => "This key was used with another request: choose a new key.",
        refusal::Reason::OutcomeUnknown => {
            "The work of this key may have run and its outcome is unknown: check before you act."
        }
        refusal::Reason::UpstreamFailed => "The upstream failed.",
    }
}
