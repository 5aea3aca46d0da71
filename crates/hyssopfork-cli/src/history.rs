//! Histories of requests as their clients saw them, as JSON lines, and their consistency check.

use crate::error;
use hyssopfork_wire::{configuration, name};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::{fs, path};

/// Outcome of a request for its client.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
    strum::Display,
    strum::EnumIter,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Outcome {
    /// Answered completely.
    Answered,
    /// Rejected with the statement that the work did not run.
    #[serde(rename = "refused_not_run")]
    #[strum(serialize = "refused_not_run")]
    RejectedNotRun,
    /// Failed with the statement that the work may have run.
    MayHaveRun,
    /// Any other end: cut off without an error event, timed out, or malformed.
    Error,
}

/// A request as its client saw it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Identifier of the request; a resend has its own.
    pub request: String,
    /// Reference under which back ends count the work; a resend has the same.
    pub reference: String,
    /// Team that sent the request.
    pub team: name::Team,
    /// Route of the request.
    pub route: name::Route,
    /// Class of the route in the plan.
    pub class: configuration::Class,
    /// Whether the work of the route may run more than once.
    pub repeatable: bool,
    /// Idempotency-Key of the request.
    pub key: Option<String>,
    /// Due time, in microseconds from the start.
    pub intended_us: u64,
    /// Send time, in microseconds from the start.
    pub sent_us: u64,
    /// Arrival of the first part of the response body, in microseconds from the start.
    pub first_us: Option<u64>,
    /// End of the response, in microseconds from the start.
    pub answered_us: u64,
    /// Outcome of the request.
    #[serde(rename = "kind")]
    pub outcome: Outcome,
    /// HTTP status, if a response head arrived.
    pub status: Option<u16>,
    /// Reason of the rejection or error.
    pub reason: Option<String>,
    /// Whether the response is complete by its framing and end marker.
    #[serde(rename = "whole")]
    pub complete: bool,
    /// Whether the response is the one expected for this request.
    #[serde(rename = "right")]
    pub correct: bool,
    /// Hash of the response body, to compare the responses to one key.
    pub digest: String,
}

/// Counts of the work that a back end ran.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
pub struct Counts {
    /// Number of runs by reference.
    #[serde(rename = "ran", default)]
    pub runs: BTreeMap<String, u64>,
    /// Number of times the back end was overloaded while cold.
    #[serde(rename = "falls", default)]
    pub cold_overloads: u64,
}

/// Result of a check.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Verdict {
    /// Number of records checked.
    pub requests: usize,
    /// Number of requests by outcome.
    #[serde(rename = "kinds")]
    pub outcomes: BTreeMap<Outcome, u64>,
    /// Number of references of non-repeatable work whose runs were compared.
    pub compared: usize,
    /// Violations, one line each.
    pub violations: Vec<String>,
}

impl Verdict {
    /// Whether there are no violations.
    pub fn is_consistent(&self) -> bool {
        self.violations.is_empty()
    }
}

/// Reads a history file.
pub fn read(path: &path::Path) -> Result<Vec<Record>, error::Error> {
    let text =
        fs::read_to_string(path).map_err(|cause| error::Error::File(path.to_owned(), cause))?;
    let parse = |(number, line): (usize, &str)| {
        serde_json::from_str(line).map_err(|cause| {
            let message = format!("line {}: {cause}", number + 1);
            error::Error::InvalidFile(path.to_owned(), vec![message])
        })
    };
    text.lines().enumerate().map(parse).collect()
}

/// Checks histories against the work that back ends ran. `counts` must cover all back ends of the
/// non-repeatable routes in the histories.
pub fn check(records: &[Record], counts: &[Counts]) -> Verdict {
    let mut verdict = Verdict { requests: records.len(), ..Verdict::default() };
    for record in records {
        *verdict.outcomes.entry(record.outcome).or_default() += 1;
        verdict.violations.extend(check_record(record));
    }
    let records_by_reference = group_by_reference(records);
    verdict.compared = records_by_reference.len();
    let runs = sum_runs(counts);
    for (reference, records) in &records_by_reference {
        let count = runs.get(*reference).copied().unwrap_or(0);
        verdict.violations.extend(check_runs(reference, records, count));
    }
    let cold_overloads: u64 = counts.iter().map(|counts| counts.cold_overloads).sum();
    if cold_overloads > 0 {
        verdict.violations.push(format!("cold back ends were overloaded {cold_overloads} times"));
    }
    verdict
}

fn group_by_reference(records: &[Record]) -> BTreeMap<&str, Vec<&Record>> {
    let mut grouped: BTreeMap<&str, Vec<&Record>> = BTreeMap::new();
    for record in records.iter().filter(|record| !record.repeatable) {
        grouped.entry(&record.reference).or_default().push(record);
    }
    grouped
}

fn sum_runs(counts: &[Counts]) -> BTreeMap<&str, u64> {
    let mut summed = BTreeMap::new();
    for (reference, count) in counts.iter().flat_map(|counts| &counts.runs) {
        *summed.entry(reference.as_str()).or_default() += count;
    }
    summed
}

fn check_record(record: &Record) -> Option<String> {
    let request = &record.request;
    let route = &record.route;
    match record.outcome {
        Outcome::Answered if !record.complete => {
            Some(format!("{request} on {route}: recorded as answered, but incomplete"))
        }
        Outcome::Answered if !record.correct => {
            Some(format!("{request} on {route}: answered with an unexpected response"))
        }
        Outcome::Error => {
            let reason = record.reason.as_deref().unwrap_or("no reason");
            Some(format!("{request} on {route}: neither answered nor properly rejected: {reason}"))
        }
        _ => None,
    }
}

fn check_runs(reference: &str, records: &[&Record], count: u64) -> Vec<String> {
    let mut violations = Vec::new();
    let answered: Vec<&&Record> =
        records.iter().filter(|record| record.outcome == Outcome::Answered).collect();
    if count > 1 {
        violations.push(format!("{reference}: ran {count} times, may run once"));
    }
    if count > 0 && records.iter().all(|record| record.outcome == Outcome::RejectedNotRun) {
        violations.push(format!("{reference}: rejected as not run, but ran"));
    }
    if count == 0 && !answered.is_empty() {
        violations.push(format!("{reference}: answered, but no back end ran it"));
    }
    if answered.windows(2).any(|pair| pair[0].digest != pair[1].digest) {
        violations.push(format!("{reference}: different responses to the same key"));
    }
    violations
}
