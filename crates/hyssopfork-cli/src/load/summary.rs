//! What callers received, by team and class.

use crate::{history, output};
use hdrhistogram::Histogram;
use hyssopfork_wire::{configuration, name};
use serde::Serialize;
use std::collections::BTreeMap;

/// Significant digits of the histograms.
const SIGNIFICANT_DIGITS: u8 = 3;
/// Longest time that the histograms tell, in microseconds: an hour, beyond any caller's patience.
const MAX_LATENCY_US: u64 = 3_600_000_000;

/// Latencies in milliseconds, measured from when requests were due.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Quantiles {
    /// Half are below.
    pub p50_ms: f64,
    /// 95 in 100 are below.
    pub p95_ms: f64,
    /// 99 in 100 are below.
    pub p99_ms: f64,
    /// The longest.
    pub max_ms: f64,
}

/// What one team received in one class.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Row {
    /// The team.
    pub team: name::Team,
    /// The class.
    pub class: configuration::Class,
    /// Requests that were sent.
    pub sent: u64,
    /// How many ended in each way.
    #[serde(rename = "kinds")]
    pub outcomes: BTreeMap<history::Outcome, u64>,
    /// Time to the first part of whole answers.
    #[serde(rename = "first")]
    pub first_part: Quantiles,
    /// Time to the end of whole answers.
    #[serde(rename = "whole")]
    pub total: Quantiles,
}

/// The summary of a run.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Summary {
    /// Rows by team and class.
    pub rows: Vec<Row>,
    /// How many requests ended for each reason.
    pub reasons: BTreeMap<String, u64>,
    /// How many ended in each way.
    #[serde(rename = "kinds")]
    pub outcomes: BTreeMap<history::Outcome, u64>,
}

/// Sums records up.
pub fn summarize(records: &[history::Record]) -> Summary {
    let mut groups: BTreeMap<(&name::Team, configuration::Class), Vec<&history::Record>> =
        BTreeMap::new();
    for record in records {
        groups.entry((&record.team, record.class)).or_default().push(record);
    }
    let rows =
        groups.into_iter().map(|((team, class), records)| summarize_group(team, class, &records));
    let mut reasons = BTreeMap::new();
    for record in records.iter().filter(|record| record.outcome != history::Outcome::Answered) {
        let reason = record.reason.clone().unwrap_or_else(|| "none given".into());
        *reasons.entry(format!("{}: {reason}", record.outcome)).or_default() += 1;
    }
    Summary { rows: rows.collect(), reasons, outcomes: count_outcomes(records.iter()) }
}

fn count_outcomes<'a>(
    records: impl Iterator<Item = &'a history::Record>,
) -> BTreeMap<history::Outcome, u64> {
    let mut outcomes = BTreeMap::new();
    for record in records {
        *outcomes.entry(record.outcome).or_default() += 1;
    }
    outcomes
}

fn summarize_group(
    team: &name::Team,
    class: configuration::Class,
    records: &[&history::Record],
) -> Row {
    let answered = || records.iter().filter(|record| record.outcome == history::Outcome::Answered);
    let first_part = answered().filter_map(|record| Some(record.first_us? - record.intended_us));
    let total = answered().map(|record| record.answered_us - record.intended_us);
    Row {
        team: team.clone(),
        class,
        sent: records.len() as u64,
        outcomes: count_outcomes(records.iter().copied()),
        first_part: compute_quantiles(first_part),
        total: compute_quantiles(total),
    }
}

fn compute_quantiles(times_us: impl Iterator<Item = u64>) -> Quantiles {
    // With a bound: one that resizes itself does so in `record` only, and `saturating_record`
    // would cap every time at its first size.
    let mut histogram = Histogram::<u64>::new_with_max(MAX_LATENCY_US, SIGNIFICANT_DIGITS)
        .expect("the bounds are allowed");
    times_us.for_each(|time| histogram.saturating_record(time));
    if histogram.is_empty() {
        return Quantiles::default();
    }
    let at = |quantile| histogram.value_at_quantile(quantile) as f64 / 1_000.0;
    Quantiles { p50_ms: at(0.5), p95_ms: at(0.95), p99_ms: at(0.99), max_ms: at(1.0) }
}

impl Summary {
    /// The summary as tables.
    pub fn render(&self) -> String {
        let mut table = output::Table::new(&[
            "TEAM",
            "CLASS",
            "SENT",
            "ANSWERED",
            "NOT RUN",
            "MAY HAVE RUN",
            "ERROR",
            "FIRST P50",
            "FIRST P95",
            "WHOLE P50",
            "WHOLE P95",
            "WHOLE P99",
            "WHOLE MAX",
        ]);
        for row in &self.rows {
            let count = |outcome| row.outcomes.get(&outcome).copied().unwrap_or(0).to_string();
            let time = |time: f64| format!("{time:.1}");
            table.add_row([
                row.team.to_string(),
                row.class.to_string(),
                row.sent.to_string(),
                count(history::Outcome::Answered),
                count(history::Outcome::RejectedNotRun),
                count(history::Outcome::MayHaveRun),
                count(history::Outcome::Error),
                time(row.first_part.p50_ms),
                time(row.first_part.p95_ms),
                time(row.total.p50_ms),
                time(row.total.p95_ms),
                time(row.total.p99_ms),
                time(row.total.max_ms),
            ]);
        }
        format!(
            "{}(times in ms from when a request was due)\n{}",
            table.render(),
            self.render_reasons()
        )
    }

    fn render_reasons(&self) -> String {
        if self.reasons.is_empty() {
            return String::new();
        }
        let mut table = output::Table::new(&["NOT ANSWERED BECAUSE", "REQUESTS"]);
        for (reason, count) in &self.reasons {
            table.add_row([reason.clone(), count.to_string()]);
        }
        format!("\n{}", table.render())
    }
}
