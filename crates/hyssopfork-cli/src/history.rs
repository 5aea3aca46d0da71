//! Histories of what callers sent and received, one JSON object a line, and their check.

use crate::error;
use hyssopfork_wire::{configuration, name};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::{fs, path};

/// How a request ended for its caller.
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
    /// Answered whole.
    Answered,
    /// Refused, and told that the work did not run.
    #[serde(rename = "refused_not_run")]
    #[strum(serialize = "refused_not_run")]
    RejectedNotRun,
    /// Told that the work may have run.
    MayHaveRun,
    /// Ended in another way: cut without a word, timed out, wrong.
    Error,
}

/// One request as its caller saw it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Identifier of the request; a resend has another one.
    pub request: String,
    /// What back ends count the work under; a resend has the same.
    pub reference: String,
    /// Team that sent it.
    pub team: name::Team,
    /// Route that it took.
    pub route: name::Route,
    /// Class that the plan gives the route.
    pub class: configuration::Class,
    /// Whether the route's work may run more than once.
    pub repeatable: bool,
    /// Idempotency-Key that it carried.
    pub key: Option<String>,
    /// When it was to be sent, in microseconds from the start.
    pub intended_us: u64,
    /// When it was sent, in microseconds from the start.
    pub sent_us: u64,
    /// When the first part of the answer came, in microseconds from the start.
    pub first_us: Option<u64>,
    /// When the answer ended, in microseconds from the start.
    pub answered_us: u64,
    /// How it ended.
    #[serde(rename = "kind")]
    pub outcome: Outcome,
    /// HTTP status, when a head came.
    pub status: Option<u16>,
    /// Reason of a refusal, or what went wrong.
    pub reason: Option<String>,
    /// Whether the answer came whole by its framing and end mark.
    #[serde(rename = "whole")]
    pub complete: bool,
    /// Whether the answer was the one that this request had to get.
    #[serde(rename = "right")]
    pub correct: bool,
    /// Hash of the answer's body, to compare the answers to one key.
    pub digest: String,
}

/// What back ends say they ran.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
pub struct Counts {
    /// How often the work of each reference ran.
    #[serde(rename = "ran", default)]
    pub runs: BTreeMap<String, u64>,
    /// How often it fell over because it was loaded while cold.
    #[serde(rename = "falls", default)]
    pub cold_overloads: u64,
}

/// What a check found.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Verdict {
    /// Lines that were read.
    pub requests: usize,
    /// How many ended in each way.
    #[serde(rename = "kinds")]
    pub outcomes: BTreeMap<Outcome, u64>,
    /// References of non-repeatable work whose runs were compared.
    pub compared: usize,
    /// What did not hold, one line each.
    pub violations: Vec<String>,
}

impl Verdict {
    /// Whether all held.
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
            let fault = format!("line {}: {cause}", number + 1);
            error::Error::InvalidFile(path.to_owned(), vec![fault])
        })
    };
    text.lines().enumerate().map(parse).collect()
}

/// Checks histories against what the back ends ran. `counts` must be of all back ends that the
/// histories' non-repeatable routes lead to.
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
            Some(format!("{request} on {route}: given as answered, but cut"))
        }
        Outcome::Answered if !record.correct => {
            Some(format!("{request} on {route}: got another answer than its own"))
        }
        Outcome::Error => {
            let reason = record.reason.as_deref().unwrap_or("no reason");
            Some(format!("{request} on {route}: neither answered nor refused honestly: {reason}"))
        }
        _ => None,
    }
}

fn check_runs(reference: &str, records: &[&Record], count: u64) -> Vec<String> {
    let mut violations = Vec::new();
    let answered: Vec<&&Record> =
        records.iter().filter(|record| record.outcome == Outcome::Answered).collect();
    if count > 1 {
        violations.push(format!("{reference}: ran {count} times and may run once"));
    }
    if count > 0 && records.iter().all(|record| record.outcome == Outcome::RejectedNotRun) {
        violations.push(format!("{reference}: refused as not run, and ran"));
    }
    if count == 0 && !answered.is_empty() {
        violations.push(format!("{reference}: answered, and no back end ran it"));
    }
    if answered.windows(2).any(|pair| pair[0].digest != pair[1].digest) {
        violations.push(format!("{reference}: the same key got different answers"));
    }
    violations
}
