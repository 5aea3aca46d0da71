//! Cost of changes: group downtime and idle accelerators, summed over polls.

use crate::{output, overview};
use serde::Serialize;
use std::collections::BTreeMap;
use std::time::Duration;

/// Running totals.
#[derive(Debug, Default)]
pub struct Tally {
    last_poll_at: Option<Duration>,
    polls: u64,
    down: BTreeMap<String, Duration>,
    stranded_accelerator_seconds: f64,
    max_stranded: u32,
}

/// Totals printed at the end.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Summary {
    /// Number of successful polls.
    #[serde(rename = "looks")]
    pub polls: u64,
    /// Time in milliseconds during which each group was not serving; omits groups that always were.
    pub group_down_ms: BTreeMap<String, u64>,
    /// Downtime summed over groups, in milliseconds.
    pub down_ms: u64,
    /// Idle accelerators multiplied by time.
    pub stranded_accelerator_seconds: f64,
    /// Largest number of idle accelerators in one poll.
    #[serde(rename = "most_stranded")]
    pub max_stranded: u32,
}

impl Tally {
    /// Attributes the time since the last poll to the state that this poll shows.
    ///
    /// The resolution is the polling interval: an outage between two polls is not seen.
    pub fn record(&mut self, at: Duration, overview: &overview::Overview) {
        let elapsed = self.last_poll_at.map_or(Duration::ZERO, |last| at.saturating_sub(last));
        self.last_poll_at = Some(at);
        self.polls += 1;
        for group in &overview.groups {
            if group.state != overview::State::Serving {
                *self.down.entry(group.group.to_string()).or_default() += elapsed;
            }
        }
        self.stranded_accelerator_seconds += f64::from(overview.stranded) * elapsed.as_secs_f64();
        self.max_stranded = self.max_stranded.max(overview.stranded);
    }

    /// Returns the totals.
    pub fn summary(&self) -> Summary {
        let millis = |time: &Duration| time.as_millis() as u64;
        let down = self.down.iter().filter(|(_, time)| !time.is_zero());
        Summary {
            polls: self.polls,
            group_down_ms: down.map(|(group, time)| (group.clone(), millis(time))).collect(),
            down_ms: self.down.values().map(millis).sum(),
            stranded_accelerator_seconds: self.stranded_accelerator_seconds,
            max_stranded: self.max_stranded,
        }
    }
}

impl Summary {
    /// Formats the totals as a table.
    pub fn render(&self) -> String {
        let mut table = output::Table::new(&["GROUP", "DOWN MS"]);
        for (group, down) in &self.group_down_ms {
            table.add_row([group.clone(), down.to_string()]);
        }
        format!(
            "{}groups down {} ms in all; stranded accelerators {:.1} accelerator-seconds, {} at \
             most ({} looks)\n",
            table.render(),
            self.down_ms,
            self.stranded_accelerator_seconds,
            self.max_stranded,
            self.polls
        )
    }
}
