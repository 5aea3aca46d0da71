//! Traffic of entries, read from their metrics.

use crate::output;
use bytes::Bytes;
use hyssopfork_exchange::{connection, error};
use serde::Serialize;
use std::collections::BTreeMap;
use std::net;
use std::time::Duration;

/// Timeout for reading the metrics of an entry.
const METRICS_TIMEOUT: Duration = Duration::from_secs(2);

/// Requests of one team since the entries started.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Team {
    /// Requests answered completely.
    pub answered: u64,
    /// Rejected requests whose work did not run.
    pub not_run: u64,
    /// Rejected requests whose work may have run.
    pub may_have_run: u64,
    /// Responses that were cut off.
    pub cut: u64,
    /// Rejections by reason.
    pub reasons: BTreeMap<String, u64>,
}

/// Traffic of all queried entries together.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Traffic {
    /// Requests in queues.
    pub queued: u64,
    /// Requests in flight.
    pub in_flight: u64,
    /// Requests by team; those without a valid token are under the empty name.
    pub teams: BTreeMap<String, Team>,
    /// Entries whose metrics could not be read.
    #[serde(rename = "silent")]
    pub unreachable: Vec<net::SocketAddr>,
}

/// Reads and sums the metrics from the `metrics_listen` addresses of entries.
pub async fn collect(addresses: &[net::SocketAddr]) -> Traffic {
    let mut traffic = Traffic::default();
    for &address in addresses {
        match actix_rt::time::timeout(METRICS_TIMEOUT, fetch(address)).await {
            Ok(Ok(body)) => traffic.add_metrics(&String::from_utf8_lossy(&body)),
            _ => traffic.unreachable.push(address),
        }
    }
    traffic
}

async fn fetch(address: net::SocketAddr) -> Result<Bytes, error::Error> {
    let mut connection = connection::Connection::connect(address).await?;
    let request = connection::Request { method: "GET", path: "/metrics", headers: &[] };
    connection.send(&request, Bytes::new()).await?;
    connection.read_head().await?;
    connection.read_rest().await
}

impl Traffic {
    /// Adds the metrics of one entry.
    pub fn add_metrics(&mut self, text: &str) {
        for line in text.lines().filter(|line| !line.starts_with('#')) {
            let Some((series, value)) = line.rsplit_once(' ') else { continue };
            let Ok(value) = value.parse::<f64>() else { continue };
            self.add_series(series, value as u64);
        }
    }

    fn add_series(&mut self, series: &str, value: u64) {
        let (name, labels) = series.split_once('{').unwrap_or((series, ""));
        let team = || label_value(labels, "team").unwrap_or_default().to_owned();
        match name {
            "hyssopfork_queued" => self.queued += value,
            "hyssopfork_in_flight" => self.in_flight += value,
            "hyssopfork_answers_total" => self.teams.entry(team()).or_default().answered += value,
            "hyssopfork_cut_answers_total" => self.teams.entry(team()).or_default().cut += value,
            "hyssopfork_refusals_total" => self.add_rejections(labels, value),
            _ => {}
        }
    }

    fn add_rejections(&mut self, labels: &str, value: u64) {
        let team = label_value(labels, "team").unwrap_or_default().to_owned();
        let team = self.teams.entry(team).or_default();
        match label_value(labels, "ran") {
            Some("not_run") => team.not_run += value,
            _ => team.may_have_run += value,
        }
        let reason = label_value(labels, "reason").unwrap_or_default().to_owned();
        *team.reasons.entry(reason).or_default() += value;
    }

    /// Formats the traffic as a table.
    pub fn render(&self) -> String {
        let mut table = output::Table::new(&[
            "TEAM",
            "ANSWERED",
            "NOT RUN",
            "MAY HAVE RUN",
            "CUT",
            "REFUSED BECAUSE",
        ]);
        for (name, team) in &self.teams {
            let reasons = team.reasons.iter().map(|(reason, count)| format!("{reason} {count}"));
            table.add_row([
                if name.is_empty() { "(none)".into() } else { name.clone() },
                team.answered.to_string(),
                team.not_run.to_string(),
                team.may_have_run.to_string(),
                team.cut.to_string(),
                reasons.collect::<Vec<_>>().join(", "),
            ]);
        }
        let unreachable: Vec<String> =
            self.unreachable.iter().map(|address| format!("no metrics from {address}\n")).collect();
        format!(
            "queued {}  in flight {}\n{}{}",
            self.queued,
            self.in_flight,
            table.render(),
            unreachable.concat()
        )
    }
}

/// Returns the value of a label; teams and reasons contain no quotes.
fn label_value<'a>(labels: &'a str, name: &str) -> Option<&'a str> {
    let pairs = labels.trim_end_matches('}').split(',');
    let value = pairs.filter_map(|pair| pair.split_once('=')).find(|(key, _)| *key == name)?.1;
    Some(value.trim_matches('"'))
}
