//! Summary of a run: outcomes and latencies by team and class.

use crate::{history, output};
use hdrhistogram::Histogram;
use hyssopfork_wire::{configuration, name};
use serde::Serialize;
use std::collections::BTreeMap;

/// Significant digits of the histograms.
const SIGNIFICANT_DIGITS: u8 = 3;
/// Longest time that the histograms record, in microseconds: an hour, longer than any client
/// timeout.
const MAX_LATENCY_US: u64 = 3_600_000_000;

/// Latency percentiles in milliseconds, measured from the due time of requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Quantiles {
    /// Median.
    pub p50_ms: f64,
    /// 95th percentile.
    pub p95_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
    /// Maximum.
    pub max_ms: f64,
}

/// Outcomes and latencies of one team in one class.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Row {
    /// Team of the requests.
    pub team: name::Team,
    /// Class of the requests.
    pub class: configuration::Class,
    /// Number of requests.
    pub sent: u64,
    /// Number of requests by outcome.
    #[serde(rename = "kinds")]
    pub outcomes: BTreeMap<history::Outcome, u64>,
    /// Time to the first part of complete responses.
    #[serde(rename = "first")]
    pub first_part: Quantiles,
    /// Time to the end of complete responses.
    #[serde(rename = "whole")]
    pub total: Quantiles,
}

/// Summary of a run.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Summary {
    /// Rows by team and class.
    pub rows: Vec<Row>,
    /// Number of requests that were not answered, by outcome and reason.
    pub reasons: BTreeMap<String, u64>,
    /// Number of requests by outcome.
    #[serde(rename = "kinds")]
    pub outcomes: BTreeMap<history::Outcome, u64>,
}

/// Summarizes the records of a run.
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
    // An auto-resizing histogram grows only in `record`; `saturating_record` would cap every time
    // at its initial size.
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
    /// Formats the summary as tables.
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
