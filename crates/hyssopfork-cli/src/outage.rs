//! Why the fleet had no leader, from the logs of several processes.
//!
//! Processes that know no leader log elections that failed and reads that they refused. This module
//! finds the last time without a leader and states, for each process, which voters its folder held,
//! which of them responded, and which quorum was missing.

use crate::explain::Line;
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use std::str::FromStr;
use std::time::Duration;
use time::OffsetDateTime;

/// Numbers of log events, as listed in docs/events.md.
mod event {
    /// Contents of the data folder at the start of a process.
    pub const FOLDER_RECOVERED: u16 = 1019;
    /// An election got no quorum.
    pub const ELECTION_FAILED: u16 = 1020;
    /// A process leads the fleet.
    pub const SERVING: u16 = 5000;
    /// It no longer does.
    pub const CEASED: u16 = 5001;
    /// A process follows a leader.
    pub const FOLLOWING: u16 = 5002;
    /// A voter was removed.
    pub const SEAT_REMOVED: u16 = 5008;
    /// A voter's seat was given to another instance.
    pub const SEAT_REPLACED: u16 = 5015;
    /// Reads of the configuration were refused.
    pub const READ_REFUSED: u16 = 5016;
}

/// Why a read was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, strum::Display, strum::EnumString)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Refusal {
    /// The process knew no leader.
    NoLeader,
    /// The client was redirected to the leader.
    NotLeader,
    /// The process led without a quorum.
    NoQuorum,
    /// The process had not applied all committed entries.
    NotApplied,
    /// Nothing was declared.
    NoDeclaration,
}

/// Contents of a data folder when its process started.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Folder {
    /// Time of the line.
    #[serde(with = "time::serde::rfc3339")]
    pub at: OffsetDateTime,
    /// Whose seat the instance has, as in event 1019.
    pub seat: String,
    /// Highest term seen.
    pub term: u64,
    /// Last index of the log.
    pub last: u64,
    /// The voters.
    pub voters: Vec<String>,
    /// Voters before a change that is not known to be committed.
    pub previous: Vec<String>,
}

/// Size of a quorum, and the voters that it is counted in.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Quorum {
    /// Needed votes.
    pub size: usize,
    /// The voters.
    pub voters: Vec<String>,
}

impl Quorum {
    /// Number of votes that are missing.
    fn missing(&self, granted: &[String]) -> usize {
        let votes = granted.iter().filter(|voter| self.voters.contains(voter)).count();
        self.size.saturating_sub(votes)
    }
}

/// An election that got no quorum.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Election {
    /// Time of the line.
    #[serde(with = "time::serde::rfc3339")]
    pub at: OffsetDateTime,
    /// What it waited for, as in event 1020.
    pub stage: String,
    /// Term of the candidate.
    pub term: u64,
    /// Voters that granted their vote.
    pub granted: Vec<String>,
    /// Voters that denied it.
    pub denied: Vec<String>,
    /// Voters that did not respond.
    pub silent: Vec<String>,
    /// Seats that are vacant or whose folders are lost.
    pub lost: Vec<String>,
    /// Needed quorum.
    pub quorum: Quorum,
    /// Needed quorum of the voters before a change that is not known to be committed.
    pub previous: Option<Quorum>,
}

/// The last refused read of a process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Read {
    /// Time of the line.
    #[serde(with = "time::serde::rfc3339")]
    pub at: OffsetDateTime,
    /// Why.
    pub reason: Refusal,
    /// Leader that it knew last; `-` for none.
    pub last_leader: String,
    /// Voters, and milliseconds since their last messages.
    pub voters_heard: String,
}

/// What one process logged about the time without a leader.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Process {
    /// Starts with a data folder.
    pub starts: usize,
    /// Data folder at its last start.
    pub folder: Option<Folder>,
    /// Its last election.
    pub election: Option<Election>,
    /// Its last refused read.
    pub read: Option<Read>,
}

/// A time without a leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Outage {
    /// Earliest time at which a process had lost contact with the leader.
    #[serde(with = "time::serde::rfc3339")]
    pub since: OffsetDateTime,
    /// When a process led again; `None` if none does by the end of the logs.
    #[serde(with = "time::serde::rfc3339::option")]
    pub until: Option<OffsetDateTime>,
    /// Last line on it.
    #[serde(with = "time::serde::rfc3339")]
    pub last_seen: OffsetDateTime,
    /// A process that led before and logged no end of that.
    pub unended_leader: Option<String>,
    /// What each process logged.
    pub processes: BTreeMap<String, Process>,
    /// Changes of the seats before it and during it, one text each.
    pub seat_changes: Vec<String>,
    /// Conclusions, one text each.
    pub findings: Vec<String>,
    /// What the logs lack, one text each.
    pub missing: Vec<String>,
}

/// Finds the last time without a leader; `None` if no line tells of one.
pub fn find_outage(lines: &[Line]) -> Option<Outage> {
    let mut lines: Vec<&Line> = lines.iter().collect();
    lines.sort_by_key(|line| line.timestamp);
    let evidence: Vec<(&Line, OffsetDateTime)> =
        lines.iter().filter_map(|line| Some((*line, leaderless_since(line)?))).collect();
    let last_seen = evidence.last()?.0.timestamp;
    let serving = |line: &&&Line| line.number == event::SERVING;
    let previous = lines.iter().filter(serving).rfind(|line| line.timestamp <= last_seen);
    let until = lines.iter().filter(serving).find(|line| line.timestamp > last_seen);
    let begin = previous.map(|line| line.timestamp);
    let in_outage = |line: &Line| begin.is_none_or(|begin| line.timestamp > begin);
    let starts = evidence.iter().filter(|(line, _)| in_outage(line)).map(|(_, since)| *since);
    let since = starts.min().unwrap_or(last_seen).max(begin.unwrap_or(OffsetDateTime::UNIX_EPOCH));
    let until = until.map(|line| line.timestamp);
    let mut processes: BTreeMap<String, Process> = BTreeMap::new();
    for line in lines.iter().filter(|line| until.is_none_or(|until| line.timestamp < until)) {
        let process = processes.entry(line.process.clone()).or_default();
        match line.number {
            event::FOLDER_RECOVERED => {
                process.starts += 1;
                process.folder = parse_folder(line);
            }
            event::ELECTION_FAILED if in_outage(line) => process.election = parse_election(line),
            event::READ_REFUSED if in_outage(line) => process.read = parse_read(line),
            _ => {}
        }
    }
    let unended_leader = previous.filter(|leader| !has_ceased(&lines, leader));
    let seat_changes = lines
        .iter()
        .filter(|line| matches!(line.number, event::SEAT_REMOVED | event::SEAT_REPLACED))
        .map(|line| format!("{} {}: {}", line.timestamp, line.process, line.message))
        .collect();
    let mut outage = Outage {
        since,
        until,
        last_seen,
        unended_leader: unended_leader.map(|line| line.process.clone()),
        processes,
        seat_changes,
        findings: Vec::new(),
        missing: Vec::new(),
    };
    outage.findings = conclude(&outage);
    outage.missing = find_missing(&outage);
    Some(outage)
}

/// Since when the process of the line knew no leader, if the line says that it knows none.
fn leaderless_since(line: &Line) -> Option<OffsetDateTime> {
    let is_leaderless = match line.number {
        event::ELECTION_FAILED => true,
        event::READ_REFUSED => {
            matches!(parse_reason(line), Some(Refusal::NoLeader | Refusal::NoQuorum))
        }
        _ => false,
    };
    let millis: u64 = field(line, "leaderless_ms").filter(|_| is_leaderless)?.parse().ok()?;
    Some(line.timestamp - Duration::from_millis(millis))
}

/// Whether a line of the process after it began to lead shows that it no longer leads.
fn has_ceased(lines: &[&Line], serving: &Line) -> bool {
    let shows_end = |line: &&&Line| {
        let numbers = [event::CEASED, event::FOLLOWING, event::FOLDER_RECOVERED];
        line.process == serving.process
            && line.timestamp >= serving.timestamp
            && (numbers.contains(&line.number) || leaderless_since(line).is_some())
    };
    lines.iter().any(|line| shows_end(&line))
}

/// Value of `key=value` in the message.
fn field<'a>(line: &'a Line, key: &str) -> Option<&'a str> {
    let pairs = line.message.split(' ').filter_map(|word| word.split_once('='));
    pairs.filter(|(name, _)| *name == key).map(|(_, value)| value).next()
}

fn number_field<T: FromStr>(line: &Line, key: &str) -> Option<T> {
    field(line, key)?.parse().ok()
}

/// Voters in a field; none for `-` or a missing field.
fn voters_field(line: &Line, key: &str) -> Vec<String> {
    let value = field(line, key).filter(|value| *value != "-").unwrap_or_default();
    value.split(',').filter(|voter| !voter.is_empty()).map(str::to_owned).collect()
}

fn parse_folder(line: &Line) -> Option<Folder> {
    Some(Folder {
        at: line.timestamp,
        seat: field(line, "seat")?.to_owned(),
        term: number_field(line, "term")?,
        last: number_field(line, "last")?,
        voters: voters_field(line, "voters"),
        previous: voters_field(line, "previous_voters"),
    })
}

fn parse_election(line: &Line) -> Option<Election> {
    let quorum = |size: &str, voters: &str| {
        Some(Quorum { size: number_field(line, size)?, voters: voters_field(line, voters) })
    };
    Some(Election {
        at: line.timestamp,
        stage: field(line, "stage")?.to_owned(),
        term: number_field(line, "term")?,
        granted: voters_field(line, "granted"),
        denied: voters_field(line, "denied"),
        silent: voters_field(line, "silent"),
        lost: voters_field(line, "lost"),
        quorum: quorum("quorum", "voters")?,
        previous: quorum("previous_quorum", "previous_voters"),
    })
}

fn parse_reason(line: &Line) -> Option<Refusal> {
    let (_, fields) = line.message.split_once("refused: ")?;
    fields.split(' ').next()?.parse().ok()
}

fn parse_read(line: &Line) -> Option<Read> {
    Some(Read {
        at: line.timestamp,
        reason: parse_reason(line)?,
        last_leader: field(line, "last_leader")?.to_owned(),
        voters_heard: field(line, "voters_heard_ms")?.to_owned(),
    })
}

/// States which votes were missing at the process that got the most, and whose.
fn conclude(outage: &Outage) -> Vec<String> {
    let mut findings = Vec::new();
    let elections: Vec<(&String, &Election)> = outage
        .processes
        .iter()
        .filter_map(|(name, process)| Some((name, process.election.as_ref()?)))
        .collect();
    let granted: BTreeSet<&String> =
        elections.iter().flat_map(|(_, election)| &election.granted).collect();
    let silent: BTreeSet<&String> =
        elections.iter().flat_map(|(_, election)| &election.silent).collect();
    let missing = |election: &Election| {
        let previous = election.previous.as_ref();
        election.quorum.missing(&election.granted)
            + previous.map_or(0, |previous| previous.missing(&election.granted))
    };
    if let Some((name, election)) = elections.iter().min_by_key(|(_, it)| missing(it)) {
        for (kind, quorum) in
            [("", Some(&election.quorum)), (" before the last change", election.previous.as_ref())]
        {
            let Some(quorum) = quorum else { continue };
            findings.push(format!(
                "{name} came closest in term {} ({}): {} of {} needed votes of the voters{kind}: {}",
                election.term,
                election.stage,
                quorum.size - quorum.missing(&election.granted),
                quorum.size,
                quorum.voters.join(", ")
            ));
        }
    }
    for voter in silent.difference(&granted) {
        findings.push(format!("{voter} responded to no candidate: look at its process"));
    }
    let lost: BTreeSet<&String> = elections.iter().flat_map(|(_, it)| &it.lost).collect();
    for voter in lost {
        findings.push(format!("the seat of {voter} counts as lost"));
    }
    let denied: BTreeSet<&String> = elections.iter().flat_map(|(_, it)| &it.denied).collect();
    for voter in denied.difference(&granted) {
        findings.push(format!(
            "{voter} denied its vote: its log is longer, its term newer, or it heard a leader"
        ));
    }
    let folders = outage
        .processes
        .iter()
        .filter_map(|(name, process)| Some((name, process.starts, process.folder.as_ref()?)));
    // A first start has an empty folder; at a later one it was lost.
    let (empty, used): (Vec<_>, Vec<_>) = folders.partition(|(_, _, it)| it.voters.is_empty());
    for (name, ..) in empty.into_iter().filter(|(_, starts, _)| *starts > 1) {
        findings.push(format!("{name} came back with an empty data folder"));
    }
    let lists: BTreeSet<&Vec<String>> = used.iter().map(|(_, _, it)| &it.voters).collect();
    if lists.len() > 1 {
        findings.push("the data folders held different voters at their last starts".to_owned());
    }
    for (name, _, folder) in used.into_iter().filter(|(_, _, folder)| folder.seat != "own") {
        findings.push(format!("{name} started without a seat of its own: seat={}", folder.seat));
    }
    if let Some(leader) = &outage.unended_leader {
        findings.push(format!(
            "{leader} led before and logged no end of it: it was killed, or others don't reach it"
        ));
    }
    findings
}

fn find_missing(outage: &Outage) -> Vec<String> {
    let has = |is_there: &dyn Fn(&Process) -> bool| outage.processes.values().any(is_there);
    let mut missing = Vec::new();
    if !has(&|process| process.election.is_some()) {
        missing.push(
            "no failed election (1020): add the logs of the processes with a data folder"
                .to_owned(),
        );
    }
    if !has(&|process| process.folder.is_some()) {
        missing.push("no start of a process (1019): add earlier logs".to_owned());
    }
    missing
}
