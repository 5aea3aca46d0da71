//! Classification of responses: the outcome of a request, and whether the response is correct.

use super::{client, plan};
use crate::history;
use serde_json::Value;

/// Data of the event that ends a complete stream.
const STREAM_END: &str = "[DONE]";

/// Classification of a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Classification {
    /// Outcome of the request.
    pub outcome: history::Outcome,
    /// Reason, if the request was not answered.
    pub reason: Option<String>,
    /// Whether the response is complete.
    pub complete: bool,
    /// Whether the response is the one expected for the request.
    pub correct: bool,
}

/// Classifies the response to `request`.
pub fn classify(request: &plan::Request, response: &client::Response) -> Classification {
    let text = String::from_utf8_lossy(&response.body);
    if response.is_event_stream {
        return classify_stream(request, response, &parse_events(&text));
    }
    let body: Value = serde_json::from_str(&text).unwrap_or_default();
    if let Some(error) = &response.error {
        return failed(error.clone());
    }
    if response.status.is_some_and(|status| (200..300).contains(&status)) {
        let tokens = body["choices"][0]["text"].as_str();
        let tokens = tokens.or_else(|| body["choices"][0]["message"]["content"].as_str());
        return answered(is_correct(request, &text, tokens.unwrap_or_default()));
    }
    parse_rejection(&body)
        .unwrap_or_else(|| failed(format!("status {:?}: {text}", response.status)))
}

/// Returns the data of each complete event.
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
    // A stream that was cut off ends with an error event, even if the connection failed afterwards.
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

/// Reads a rejection from a problem document; `None` if the value is not one.
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
