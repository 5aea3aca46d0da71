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
pub enum Kind {
    /// Answered whole.
    Answered,
    /// Refused, and told that the work did not run.
    RefusedNotRun,
    /// Told that the work may have run.
    MayHaveRun,
    /// Ended in another way: cut without a word, timed out, wrong.
    Error,
}

/// One request as its caller saw it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Line {
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
    pub kind: Kind,
    /// HTTP status, when a head came.
    pub status: Option<u16>,
    /// Reason of a refusal, or what went wrong.
    pub reason: Option<String>,
    /// Whether the answer came whole by its framing and end mark.
    pub whole: bool,
    /// Whether the answer was the one that this request had to get.
    pub right: bool,
    /// Hash of the answer's body, to compare the answers to one key.
    pub digest: String,
}

/// What back ends say they ran.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
pub struct Counts {
    /// How often the work of each reference ran.
    #[serde(default)]
    pub ran: BTreeMap<String, u64>,
    /// How often it fell over because it was loaded while cold.
    #[serde(default)]
    pub falls: u64,
}

/// What a check found.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Verdict {
    /// Lines that were read.
    pub requests: usize,
    /// How many ended in each way.
    pub kinds: BTreeMap<Kind, u64>,
    /// References of non-repeatable work whose runs were compared.
    pub compared: usize,
    /// What did not hold, one line each.
    pub violations: Vec<String>,
}

impl Verdict {
    /// Whether all held.
    pub fn held(&self) -> bool {
        self.violations.is_empty()
    }
}

/// Reads a history file.
pub fn read(path: &path::Path) -> Result<Vec<Line>, error::Error> {
    let text =
        fs::read_to_string(path).map_err(|cause| error::Error::File(path.to_owned(), cause))?;
    let parse = |(number, line): (usize, &str)| {
        serde_json::from_str(line).map_err(|cause| {
            let fault = format!("line {}: {cause}", number + 1);
            error::Error::Faulty(path.to_owned(), vec![fault])
        })
    };
    text.lines().enumerate().map(parse).collect()
}

/// Checks histories against what the back ends ran. `counts` must be of all back ends that the
/// histories' non-repeatable routes lead to.
pub fn check(lines: &[Line], counts: &[Counts]) -> Verdict {
    let mut verdict = Verdict { requests: lines.len(), ..Verdict::default() };
    for line in lines {
        *verdict.kinds.entry(line.kind).or_default() += 1;
        verdict.violations.extend(fault_of(line));
    }
    let by_reference = group(lines);
    verdict.compared = by_reference.len();
    let ran = sum(counts);
    for (reference, lines) in &by_reference {
        let times = ran.get(*reference).copied().unwrap_or(0);
        verdict.violations.extend(faults_of_runs(reference, lines, times));
    }
    let falls: u64 = counts.iter().map(|counts| counts.falls).sum();
    if falls > 0 {
        verdict.violations.push(format!("cold back ends were overloaded {falls} times"));
    }
    verdict
}

fn group(lines: &[Line]) -> BTreeMap<&str, Vec<&Line>> {
    let mut grouped: BTreeMap<&str, Vec<&Line>> = BTreeMap::new();
    for line in lines.iter().filter(|line| !line.repeatable) {
        grouped.entry(&line.reference).or_default().push(line);
    }
    grouped
}

fn sum(counts: &[Counts]) -> BTreeMap<&str, u64> {
    let mut summed = BTreeMap::new();
    for (reference, times) in counts.iter().flat_map(|counts| &counts.ran) {
        *summed.entry(reference.as_str()).or_default() += times;
    }
    summed
}

fn fault_of(line: &Line) -> Option<String> {
    let request = &line.request;
    let route = &line.route;
    match line.kind {
        Kind::Answered if !line.whole => {
            Some(format!("{request} on {route}: given as answered, but cut"))
        }
        Kind::Answered if !line.right => {
            Some(format!("{request} on {route}: got another answer than its own"))
        }
        Kind::Error => {
            let reason = line.reason.as_deref().unwrap_or("no reason");
            Some(format!("{request} on {route}: neither answered nor refused honestly: {reason}"))
        }
        _ => None,
    }
}

fn faults_of_runs(reference: &str, lines: &[&Line], times: u64) -> Vec<String> {
    let mut faults = Vec::new();
    let answered: Vec<&&Line> = lines.iter().filter(|line| line.kind == Kind::Answered).collect();
    if times > 1 {
        faults.push(format!("{reference}: ran {times} times and may run once"));
    }
    if times > 0 && lines.iter().all(|line| line.kind == Kind::RefusedNotRun) {
        faults.push(format!("{reference}: refused as not run, and ran"));
    }
    if times == 0 && !answered.is_empty() {
        faults.push(format!("{reference}: answered, and no back end ran it"));
    }
    if answered.windows(2).any(|pair| pair[0].digest != pair[1].digest) {
        faults.push(format!("{reference}: the same key got different answers"));
    }
    faults
}
