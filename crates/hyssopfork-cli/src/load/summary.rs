//! What callers received, by team and class.

use crate::{history, output};
use hdrhistogram::Histogram;
use hyssopfork_wire::{configuration, name};
use serde::Serialize;
use std::collections::BTreeMap;

/// Significant digits of the histograms.
const DIGITS: u8 = 3;
/// Longest time that the histograms tell, in microseconds: an hour, beyond any caller's patience.
const LONGEST_US: u64 = 3_600_000_000;

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
    pub kinds: BTreeMap<history::Kind, u64>,
    /// Time to the first part of whole answers.
    pub first: Quantiles,
    /// Time to the end of whole answers.
    pub whole: Quantiles,
}

/// The summary of a run.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Summary {
    /// Rows by team and class.
    pub rows: Vec<Row>,
    /// How many requests ended for each reason.
    pub reasons: BTreeMap<String, u64>,
    /// How many ended in each way.
    pub kinds: BTreeMap<history::Kind, u64>,
}

/// Sums lines up.
pub fn sum(lines: &[history::Line]) -> Summary {
    let mut shares: BTreeMap<(&name::Team, configuration::Class), Vec<&history::Line>> =
        BTreeMap::new();
    for line in lines {
        shares.entry((&line.team, line.class)).or_default().push(line);
    }
    let rows = shares.into_iter().map(|((team, class), lines)| row(team, class, &lines));
    let mut reasons = BTreeMap::new();
    for line in lines.iter().filter(|line| line.kind != history::Kind::Answered) {
        let reason = line.reason.clone().unwrap_or_else(|| "none given".into());
        *reasons.entry(format!("{}: {reason}", line.kind)).or_default() += 1;
    }
    Summary { rows: rows.collect(), reasons, kinds: kinds(lines.iter()) }
}

fn kinds<'a>(lines: impl Iterator<Item = &'a history::Line>) -> BTreeMap<history::Kind, u64> {
    let mut kinds = BTreeMap::new();
    for line in lines {
        *kinds.entry(line.kind).or_default() += 1;
    }
    kinds
}

fn row(team: &name::Team, class: configuration::Class, lines: &[&history::Line]) -> Row {
    let answered = || lines.iter().filter(|line| line.kind == history::Kind::Answered);
    let first = answered().filter_map(|line| Some(line.first_us? - line.intended_us));
    let whole = answered().map(|line| line.answered_us - line.intended_us);
    Row {
        team: team.clone(),
        class,
        sent: lines.len() as u64,
        kinds: kinds(lines.iter().copied()),
        first: quantiles(first),
        whole: quantiles(whole),
    }
}

fn quantiles(times_us: impl Iterator<Item = u64>) -> Quantiles {
    // With a bound: one that resizes itself does so in `record` only, and `saturating_record`
    // would cap every time at its first size.
    let mut histogram =
        Histogram::<u64>::new_with_max(LONGEST_US, DIGITS).expect("the bounds are allowed");
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
            let kind = |kind| row.kinds.get(&kind).copied().unwrap_or(0).to_string();
            let time = |time: f64| format!("{time:.1}");
            table.row([
                row.team.to_string(),
                row.class.to_string(),
                row.sent.to_string(),
                kind(history::Kind::Answered),
                kind(history::Kind::RefusedNotRun),
                kind(history::Kind::MayHaveRun),
                kind(history::Kind::Error),
                time(row.first.p50_ms),
                time(row.first.p95_ms),
                time(row.whole.p50_ms),
                time(row.whole.p95_ms),
                time(row.whole.p99_ms),
                time(row.whole.max_ms),
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
            table.row([reason.clone(), count.to_string()]);
        }
        format!("\n{}", table.render())
    }
}
