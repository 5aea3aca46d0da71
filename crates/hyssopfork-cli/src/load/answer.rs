//! What a caller's answer means.

use super::{caller, plan};
use crate::history;
use serde_json::Value;

/// Mark of a stream's clean end.
const DONE: &str = "[DONE]";

/// A judged answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Judgement {
    /// How the request ended.
    pub kind: history::Kind,
    /// Why, where it was not answered.
    pub reason: Option<String>,
    /// Whether the answer came whole.
    pub whole: bool,
    /// Whether it was the one that the request had to get.
    pub right: bool,
}

/// Judges what came back to `request`.
pub fn judge(request: &plan::Request, received: &caller::Received) -> Judgement {
    let text = String::from_utf8_lossy(&received.body);
    if received.events {
        return judge_events(request, received, &events(&text));
    }
    let body: Value = serde_json::from_str(&text).unwrap_or_default();
    if let Some(fault) = &received.fault {
        return failed(fault.clone());
    }
    if received.status.is_some_and(|status| (200..300).contains(&status)) {
        let tokens = body["choices"][0]["text"].as_str();
        let tokens = tokens.or_else(|| body["choices"][0]["message"]["content"].as_str());
        return answered(is_right(request, &text, tokens.unwrap_or_default()));
    }
    refused(&body).unwrap_or_else(|| failed(format!("status {:?}: {text}", received.status)))
}

/// The data of each whole event.
fn events(text: &str) -> Vec<String> {
    let whole = text.split_inclusive("\n\n").filter(|event| event.ends_with("\n\n"));
    let data = |event: &str| {
        let lines = event.lines().filter_map(|line| line.strip_prefix("data:"));
        lines.map(str::trim).collect::<Vec<_>>().join("\n")
    };
    whole.map(data).filter(|data| !data.is_empty()).collect()
}

fn judge_events(
    request: &plan::Request,
    received: &caller::Received,
    events: &[String],
) -> Judgement {
    let last = events.last().map(String::as_str).unwrap_or_default();
    if last == DONE && received.fault.is_none() {
        let tokens: String = events.iter().map(|event| token(event)).collect();
        return answered(is_right(request, &events.join("\n"), &tokens));
    }
    // An answer that was cut says so in its last event, whatever the connection did then.
    let mark: Value = serde_json::from_str(last).unwrap_or_default();
    refused(&mark).unwrap_or_else(|| {
        failed(received.fault.clone().unwrap_or_else(|| "a stream without its end mark".into()))
    })
}

fn token(event: &str) -> String {
    let value: Value = serde_json::from_str(event).unwrap_or_default();
    let choice = &value["choices"][0];
    let text = choice["text"].as_str().or_else(|| choice["delta"]["content"].as_str());
    text.unwrap_or_default().to_owned()
}

fn is_right(request: &plan::Request, text: &str, tokens: &str) -> bool {
    match &request.route.expect {
        plan::Expect::Whole => true,
        plan::Expect::Text(wanted) => text.contains(wanted),
        plan::Expect::Tokens(count) => {
            let reference = &request.reference;
            let wanted: String = (0..*count).map(|place| format!(" {reference}.{place}")).collect();
            tokens == wanted
        }
    }
}

fn answered(right: bool) -> Judgement {
    Judgement { kind: history::Kind::Answered, reason: None, whole: true, right }
}

fn failed(reason: String) -> Judgement {
    Judgement { kind: history::Kind::Error, reason: Some(reason), whole: false, right: false }
}

/// A refusal by its problem document; `None` when the value is none.
fn refused(problem: &Value) -> Option<Judgement> {
    let problem = problem.get("error").filter(|error| error.is_object()).unwrap_or(problem);
    let kind = match problem["ran"].as_str()?.replace(' ', "_").as_str() {
        "not_run" => history::Kind::RefusedNotRun,
        "may_have_run" => history::Kind::MayHaveRun,
        _ => return None,
    };
    let reason = problem["reason"].as_str().map(str::to_owned);
    Some(Judgement { kind, reason, whole: true, right: true })
}
