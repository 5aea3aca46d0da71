//! Timeline of one request, correlated from the logs of several processes.
//!
//! The lines of a request carry its identifier. The reasons for its routing are in lines of other
//! processes: the leader's state of an upstream, a group that lost a member, a change of leader.
//! This module selects the related lines and reports what the logs lack.

use crate::error;
use serde::Serialize;
use std::collections::BTreeSet;
use std::{fs, path};
use time::format_description::well_known::Rfc3339;

/// Period before the first line of the request from which context lines are included: a missing
/// group was lost seconds earlier, and loading the weights that it waits for takes up to 16 s.
const CONTEXT_BEFORE_REQUEST: time::Duration = time::Duration::seconds(5);

/// Period around the lines of the request in which dropped lines may belong to it: a process
/// reports dropped lines once per second.
const DROPPED_LINES_MARGIN: time::Duration = time::Duration::seconds(2);

/// Numbers of log events, as listed in docs/events.md.
mod event {
    use std::ops::RangeInclusive;

    /// An election got no quorum.
    pub const ELECTION_FAILED: u16 = 1020;
    /// No leader confirms the declaration of an entry, or one does again.
    pub const LEADER_SILENCE: RangeInclusive<u16> = 5201..=5202;
    /// Start, stop and settings of a process, and failures of external dependencies.
    pub const PROCESS: RangeInclusive<u16> = 4500..=4513;
    /// Log lines were dropped.
    pub const LINES_DROPPED: u16 = 4514;
    /// Leader, declaration in force, and zones taken out of service.
    pub const CONTROL: RangeInclusive<u16> = 5000..=5013;
    /// State reported by an upstream, or its loss.
    pub const UPSTREAM: RangeInclusive<u16> = 5020..=5023;
    /// An upstream is considered dead.
    pub const UPSTREAM_LOST: u16 = 5023;
    /// A group was formed; the message ends with its members.
    pub const GROUP_FORMED: u16 = 5030;
    /// Groups and the orders sent to their members.
    pub const GROUP: RangeInclusive<u16> = 5030..=5035;
    /// Life cycle of a group without its orders: formed, adopted, turned, ended.
    pub const GROUP_LIFECYCLE: RangeInclusive<u16> = 5030..=5033;
    /// All requests on an upstream have stalled.
    pub const UPSTREAM_STALLED: u16 = 5220;
    /// End of a request: rejected, cut off, answered, or abandoned by its client.
    pub const REQUEST_ENDED: RangeInclusive<u16> = 5213..=5216;
    /// A request waits for a place at an upstream.
    pub const QUEUED: u16 = 5240;
    /// A queued request got a place.
    pub const DEQUEUED: u16 = 5241;
    /// A queued request got no place.
    pub const QUEUE_REJECTED: u16 = 5242;
    /// A request is sent to an upstream, which is the third word of the message.
    pub const REQUEST_SENT: u16 = 5210;
}

/// A log line.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Line {
    /// Time of the line, by the clock of its process.
    #[serde(rename = "at", with = "time::serde::rfc3339")]
    pub timestamp: time::OffsetDateTime,
    /// Process that wrote the line.
    pub process: String,
    /// Number of the event.
    pub number: u16,
    /// Name of the event.
    pub name: String,
    /// Text of the event.
    pub message: String,
    /// Fields, as `key=value` separated by blanks.
    pub fields: String,
}

impl Line {
    fn has_word(&self, word: &str) -> bool {
        self.message
            .split(|letter: char| !letter.is_alphanumeric() && letter != '-')
            .any(|it| it == word)
    }

    fn has_request(&self, request: &str) -> bool {
        self.fields.split(' ').any(|field| field.strip_prefix("request=") == Some(request))
    }
}

/// Timeline of a request.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Timeline {
    /// Lines of the request and related lines of other processes, by time.
    pub lines: Vec<Entry>,
    /// What the logs lack, one text each.
    pub missing: Vec<String>,
}

/// A line of a timeline.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Entry {
    /// Whether the line carries the request's identifier.
    pub own: bool,
    /// The line.
    #[serde(flatten)]
    pub line: Line,
}

/// Reads a log; returns its events and the number of lines in other formats, which are skipped.
pub fn read(path: &path::Path) -> Result<(Vec<Line>, usize), error::Error> {
    let text =
        fs::read_to_string(path).map_err(|cause| error::Error::File(path.to_owned(), cause))?;
    let process = path.file_stem().unwrap_or_default().to_string_lossy();
    Ok(parse(&text, &process))
}

/// Parses the lines of a log; `default_process` is the process of lines without a prefix.
pub fn parse(text: &str, default_process: &str) -> (Vec<Line>, usize) {
    let parsed: Vec<Option<Line>> =
        text.lines().map(|line| parse_line(line, default_process)).collect();
    let skipped = parsed.iter().filter(|line| line.is_none()).count();
    (parsed.into_iter().flatten().collect(), skipped)
}

/// Parses one line. A log collector may prepend words, the last of which names the process.
fn parse_line(line: &str, default_process: &str) -> Option<Line> {
    let (prefix, json) = line.split_at(line.find('{')?);
    let value: serde_json::Value = serde_json::from_str(json).ok()?;
    let text = |key: &str| value.get(key).and_then(|it| it.as_str()).unwrap_or_default().to_owned();
    Some(Line {
        timestamp: time::OffsetDateTime::parse(&text("timestamp"), &Rfc3339).ok()?,
        process: prefix.split_whitespace().last().unwrap_or(default_process).to_owned(),
        number: u16::try_from(value.get("number")?.as_u64()?).ok()?,
        name: text("name"),
        message: text("message"),
        fields: text("fields"),
    })
}

/// Builds the timeline of a request; `None` if no line carries its identifier.
pub fn build_timeline(lines: &[Line], request: &str) -> Option<Timeline> {
    let own_lines: Vec<&Line> = lines.iter().filter(|line| line.has_request(request)).collect();
    let first = own_lines.iter().map(|line| line.timestamp).min()?;
    let last = own_lines.iter().map(|line| line.timestamp).max()?;
    let process = &own_lines[0].process;
    let upstreams = find_upstreams(&own_lines);
    let is_in_period =
        |line: &&Line| line.timestamp >= first - CONTEXT_BEFORE_REQUEST && line.timestamp <= last;
    let groups = find_groups(lines.iter().filter(is_in_period), &upstreams);
    let members = find_members(lines, &groups);
    let queue_period = find_queue_period(&own_lines);
    let is_context = |line: &Line| {
        let from_process_or_control =
            line.process == *process || event::CONTROL.contains(&line.number);
        let relevant = match line.number {
            it if event::PROCESS.contains(&it) || event::CONTROL.contains(&it) => {
                from_process_or_control
            }
            event::ELECTION_FAILED => true,
            it if event::LEADER_SILENCE.contains(&it) => line.process == *process,
            it if event::UPSTREAM.contains(&it) || it == event::UPSTREAM_STALLED => {
                let lost = it == event::UPSTREAM_LOST
                    && (upstreams.is_empty() || members.iter().any(|member| line.has_word(member)));
                lost || upstreams.iter().any(|upstream| line.has_word(upstream))
            }
            event::DEQUEUED => {
                let is_in_queue_period = |(start, end)| (start..=end).contains(&line.timestamp);
                line.process == *process && queue_period.is_some_and(is_in_queue_period)
            }
            it if event::GROUP.contains(&it) => {
                let unsent = upstreams.is_empty() && event::GROUP_LIFECYCLE.contains(&it);
                unsent || groups.iter().any(|group| line.has_word(group))
            }
            _ => false,
        };
        relevant && is_in_period(&line)
    };
    let mut entries: Vec<Entry> = lines
        .iter()
        .map(|line| Entry { own: line.has_request(request), line: line.clone() })
        .filter(|entry| entry.own || is_context(&entry.line))
        .collect();
    entries.sort_by_key(|entry| entry.line.timestamp);
    Some(Timeline { lines: entries, missing: find_missing(lines, &own_lines, (first, last)) })
}

/// Finds the time in which the request waited for a place. Requests of the same process that got one
/// meanwhile show what it waited for.
fn find_queue_period(own_lines: &[&Line]) -> Option<(time::OffsetDateTime, time::OffsetDateTime)> {
    let queued = own_lines.iter().find(|line| line.number == event::QUEUED)?;
    let left = own_lines
        .iter()
        .find(|line| matches!(line.number, event::DEQUEUED | event::QUEUE_REJECTED));
    let last = own_lines.iter().map(|line| line.timestamp).max()?;
    Some((queued.timestamp, left.map_or(last, |line| line.timestamp)))
}

/// Finds the upstreams that the request was sent to.
fn find_upstreams(own_lines: &[&Line]) -> BTreeSet<String> {
    let sent = own_lines.iter().filter(|line| line.number == event::REQUEST_SENT);
    sent.filter_map(|line| line.message.split(' ').nth(2)).map(str::to_owned).collect()
}

/// Finds the groups that the upstreams were members of.
fn find_groups<'a>(
    lines: impl Iterator<Item = &'a Line>,
    upstreams: &BTreeSet<String>,
) -> BTreeSet<String> {
    let mentions_upstream = |line: &&Line| {
        let is_fleet_event =
            event::GROUP.contains(&line.number) || event::UPSTREAM.contains(&line.number);
        is_fleet_event && upstreams.iter().any(|upstream| line.has_word(upstream))
    };
    let group_name = |line: &'a Line| {
        let mut words =
            line.message.split([' ', '=', ':']).skip_while(|it| !matches!(*it, "group" | "for"));
        words.nth(1).map(str::to_owned)
    };
    lines.filter(mentions_upstream).filter_map(group_name).collect()
}

/// Finds the members of the groups, from the events of their formation.
fn find_members(lines: &[Line], groups: &BTreeSet<String>) -> BTreeSet<String> {
    let formed = lines.iter().filter(|line| {
        line.number == event::GROUP_FORMED && groups.iter().any(|group| line.has_word(group))
    });
    let members = formed.filter_map(|line| line.message.split_once(": ")).map(|(_, named)| named);
    members.flat_map(str::split_whitespace).map(str::to_owned).collect()
}

/// Lists what the logs lack: the end of the request, dropped lines, the log of the leader.
fn find_missing(
    lines: &[Line],
    own_lines: &[&Line],
    (first, last): (time::OffsetDateTime, time::OffsetDateTime),
) -> Vec<String> {
    let mut missing = Vec::new();
    if !own_lines.iter().any(|line| event::REQUEST_ENDED.contains(&line.number)) {
        missing.push(
            "no line says how the request ended: its process stopped before, or the line \
                      was dropped"
                .to_owned(),
        );
    }
    let around = first - DROPPED_LINES_MARGIN..=last + DROPPED_LINES_MARGIN;
    let dropped =
        |line: &&Line| line.number == event::LINES_DROPPED && around.contains(&line.timestamp);
    for line in lines.iter().filter(dropped) {
        missing.push(format!("{} at {}: {}", line.process, line.timestamp, line.message));
    }
    let from_leader =
        |line: &Line| event::GROUP.contains(&line.number) || line.number == event::UPSTREAM_LOST;
    if !lines.iter().any(from_leader) {
        missing.push("no events of groups: add the log of the process that led".to_owned());
    }
    missing
}
