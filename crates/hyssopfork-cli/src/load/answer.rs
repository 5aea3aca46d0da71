//! What a caller's answer means.

use super::{client, plan};
use crate::history;
use serde_json::Value;

/// Mark of a stream's clean end.
const STREAM_END: &str = "[DONE]";

/// A judged answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Classification {
    /// How the request ended.
    pub outcome: history::Outcome,
    /// Why, where it was not answered.
    pub reason: Option<String>,
    /// Whether the answer came whole.
    pub complete: bool,
    /// Whether it was the one that the request had to get.
    pub correct: bool,
}

/// Judges what came back to `request`.
pub fn classify(request: &plan::Request, response: &client::Response) -> Classification {
    let text = String::from_utf8_lossy(&response.body);
    if response.is_event_stream {
        return classify_stream(request, response, &parse_events(&text));
    }
    let body: Value = serde_json::from_str(&text).unwrap_or_default();
    if let Some(fault) = &response.error {
        return failed(fault.clone());
    }
    if response.status.is_some_and(|status| (200..300).contains(&status)) {
        let tokens = body["choices"][0]["text"].as_str();
        let tokens = tokens.or_else(|| body["choices"][0]["message"]["content"].as_str());
        return answered(is_correct(request, &text, tokens.unwrap_or_default()));
    }
    parse_rejection(&body)
        .unwrap_or_else(|| failed(format!("status {:?}: {text}", response.status)))
}

/// The data of each whole event.
fn parse_events(text: &str) -> Vec<String> {
    let complete = text.split_inclusive("\n\n").filter(|event| event.ends_with("\n\n"));
    let data = |event: &str| {
        let lines = event.lines().filter_map(|line| line.strip_prefix("data:"));
        lines.map(str::trim).collect::<Vec<_>>().join("\n")
    };
    complete.map(data).filter(|data| !data.is_empty()).collect()
}

fn classify_stream(
    request: &plan::Request,
    response: &client::Response,
    events: &[String],
) -> Classification {
    let last = events.last().map(String::as_str).unwrap_or_default();
    if last == STREAM_END && response.error.is_none() {
        let tokens: String = events.iter().map(|event| token_text(event)).collect();
        return answered(is_correct(request, &events.join("\n"), &tokens));
    }
    // An answer that was cut says so in its last event, whatever the connection did then.
    let error_event: Value = serde_json::from_str(last).unwrap_or_default();
    parse_rejection(&error_event).unwrap_or_else(|| {
        failed(response.error.clone().unwrap_or_else(|| "a stream without its end mark".into()))
    })
}

fn token_text(event: &str) -> String {
    let value: Value = serde_json::from_str(event).unwrap_or_default();
    let choice = &value["choices"][0];
    let text = choice["text"].as_str().or_else(|| choice["delta"]["content"].as_str());
    text.unwrap_or_default().to_owned()
}

fn is_correct(request: &plan::Request, text: &str, tokens: &str) -> bool {
    match &request.route.expect {
        plan::Expectation::Whole => true,
        plan::Expectation::Text(expected) => text.contains(expected),
        plan::Expectation::Tokens(count) => {
            let reference = &request.reference;
            let expected: String =
                (0..*count).map(|place| format!(" {reference}.{place}")).collect();
            tokens == expected
        }
    }
}

fn answered(correct: bool) -> Classification {
    Classification { outcome: history::Outcome::Answered, reason: None, complete: true, correct }
}

fn failed(reason: String) -> Classification {
    Classification {
        outcome: history::Outcome::Error,
        reason: Some(reason),
        complete: false,
        correct: false,
    }
}

/// A refusal by its problem document; `None` when the value is none.
fn parse_rejection(problem: &Value) -> Option<Classification> {
    let problem = problem.get("error").filter(|error| error.is_object()).unwrap_or(problem);
    let outcome = match problem["ran"].as_str()?.replace(' ', "_").as_str() {
        "not_run" => history::Outcome::RejectedNotRun,
        "may_have_run" => history::Outcome::MayHaveRun,
        _ => return None,
    };
    let reason = problem["reason"].as_str().map(str::to_owned);
    Some(Classification { outcome, reason, complete: true, correct: true })
}
