//! One request's story, from the logs of many processes.
//!
//! A request's own lines carry its identifier. Why they decided as they did stands in lines of other
//! processes: what the leader knew of an upstream, which group lost a member, who led. This module
//! picks those that a reader would look for, and says what no log can tell.

use crate::error;
use serde::Serialize;
use std::collections::BTreeSet;
use std::{fs, path};
use time::format_description::well_known::Rfc3339;

/// Time before the request's first line from which beliefs are shown: a group that is missing was
/// lost seconds before, and the weights that it waits for take up to sixteen seconds.
const BEFORE: time::Duration = time::Duration::seconds(5);

/// Time around the request's lines in which lines that were dropped may be the request's: a process
/// counts them once a second.
const DROPPED_AROUND: time::Duration = time::Duration::seconds(2);

/// Numbers of events, as docs/events.md lists them.
mod number {
    use std::ops::RangeInclusive;

    /// A process started, stopped or read its settings, or an outside dependency failed.
    pub const PROCESS: RangeInclusive<u16> = 4500..=4513;
    /// Log lines were dropped.
    pub const LINES_DROPPED: u16 = 4514;
    /// Who leads, which declaration is in force, which zones are out.
    pub const CONTROL: RangeInclusive<u16> = 5000..=5012;
    /// What an upstream said, or that it is gone.
    pub const UPSTREAM: RangeInclusive<u16> = 5020..=5023;
    /// An upstream counts as dead.
    pub const LOST: u16 = 5023;
    /// A group was formed, of the members that the line names.
    pub const FORMED: u16 = 5030;
    /// Groups and orders.
    pub const GROUP: RangeInclusive<u16> = 5030..=5034;
    /// Formed, adopted, turned, ended: a group's life without its orders.
    pub const GROUP_LIFE: RangeInclusive<u16> = 5030..=5033;
    /// Everything stands still on an upstream.
    pub const STALLED: u16 = 5220;
    /// How a request ends: refused, broken off, answered, given up by its caller.
    pub const ENDINGS: RangeInclusive<u16> = 5213..=5216;
    /// A request is sent to an upstream: the third word names it.
    pub const SENT: u16 = 5210;
}

/// A log line.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Line {
    /// When it was written, by its process's clock.
    #[serde(with = "time::serde::rfc3339")]
    pub at: time::OffsetDateTime,
    /// Process that wrote it.
    pub process: String,
    /// Number of the event.
    pub number: u16,
    /// Name of the event.
    pub name: String,
    /// What happened.
    pub message: String,
    /// Fields, as `key=value` with blanks between.
    pub fields: String,
}

impl Line {
    fn names(&self, word: &str) -> bool {
        self.message
            .split(|letter: char| !letter.is_alphanumeric() && letter != '-')
            .any(|it| it == word)
    }

    fn is_of(&self, request: &str) -> bool {
        self.fields.split(' ').any(|field| field.strip_prefix("request=") == Some(request))
    }
}

/// A request's story.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Story {
    /// Its own lines and what the processes believed meanwhile, in order of time.
    pub lines: Vec<Told>,
    /// What the logs don't say.
    pub missing: Vec<String>,
}

/// A line of a story.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Told {
    /// Whether it is the request's own.
    pub own: bool,
    /// The line.
    #[serde(flatten)]
    pub line: Line,
}

/// Reads a log; lines of other formats are left out and counted.
pub fn read(path: &path::Path) -> Result<(Vec<Line>, usize), error::Error> {
    let text =
        fs::read_to_string(path).map_err(|cause| error::Error::File(path.to_owned(), cause))?;
    let process = path.file_stem().unwrap_or_default().to_string_lossy();
    Ok(parse(&text, &process))
}

/// Takes the lines of a log; `process` wrote those that don't say who did.
pub fn parse(text: &str, process: &str) -> (Vec<Line>, usize) {
    let parsed: Vec<Option<Line>> = text.lines().map(|line| parse_line(line, process)).collect();
    let unread = parsed.iter().filter(|line| line.is_none()).count();
    (parsed.into_iter().flatten().collect(), unread)
}

/// A collector may put words of its own before a line; the last of them then names the process.
fn parse_line(line: &str, process: &str) -> Option<Line> {
    let (prefix, json) = line.split_at(line.find('{')?);
    let value: serde_json::Value = serde_json::from_str(json).ok()?;
    let text = |key: &str| value.get(key).and_then(|it| it.as_str()).unwrap_or_default().to_owned();
    Some(Line {
        at: time::OffsetDateTime::parse(&text("timestamp"), &Rfc3339).ok()?,
        process: prefix.split_whitespace().last().unwrap_or(process).to_owned(),
        number: u16::try_from(value.get("number")?.as_u64()?).ok()?,
        name: text("name"),
        message: text("message"),
        fields: text("fields"),
    })
}

/// Tells a request's story; `None` when no line is its own.
pub fn tell(lines: &[Line], request: &str) -> Option<Story> {
    let own: Vec<&Line> = lines.iter().filter(|line| line.is_of(request)).collect();
    let first = own.iter().map(|line| line.at).min()?;
    let last = own.iter().map(|line| line.at).max()?;
    let process = &own[0].process;
    let upstreams = upstreams(&own);
    let during = |line: &&Line| line.at >= first - BEFORE && line.at <= last;
    let groups = groups(lines.iter().filter(during), &upstreams);
    let members = members(lines, &groups);
    let believed = |line: &Line| {
        let control = line.process == *process || number::CONTROL.contains(&line.number);
        let relevant = match line.number {
            it if number::PROCESS.contains(&it) || number::CONTROL.contains(&it) => control,
            it if number::UPSTREAM.contains(&it) || it == number::STALLED => {
                let lost = it == number::LOST
                    && (upstreams.is_empty() || members.iter().any(|member| line.names(member)));
                lost || upstreams.iter().any(|upstream| line.names(upstream))
            }
            it if number::GROUP.contains(&it) => {
                let any = upstreams.is_empty() && number::GROUP_LIFE.contains(&it);
                any || groups.iter().any(|group| line.names(group))
            }
            _ => false,
        };
        relevant && during(&line)
    };
    let mut told: Vec<Told> = lines
        .iter()
        .map(|line| Told { own: line.is_of(request), line: line.clone() })
        .filter(|told| told.own || believed(&told.line))
        .collect();
    told.sort_by_key(|told| told.line.at);
    Some(Story { lines: told, missing: missing(lines, &own, (first, last)) })
}

/// Upstreams that the request was sent to.
fn upstreams(own: &[&Line]) -> BTreeSet<String> {
    let sent = own.iter().filter(|line| line.number == number::SENT);
    sent.filter_map(|line| line.message.split(' ').nth(2)).map(str::to_owned).collect()
}

/// Groups that the upstreams were members of.
fn groups<'a>(
    lines: impl Iterator<Item = &'a Line>,
    upstreams: &BTreeSet<String>,
) -> BTreeSet<String> {
    let names = |line: &&Line| {
        let group = number::GROUP.contains(&line.number) || number::UPSTREAM.contains(&line.number);
        group && upstreams.iter().any(|upstream| line.names(upstream))
    };
    let group = |line: &'a Line| {
        let mut words =
            line.message.split([' ', '=', ':']).skip_while(|it| !matches!(*it, "group" | "for"));
        words.nth(1).map(str::to_owned)
    };
    lines.filter(names).filter_map(group).collect()
}

/// Members of the groups, by the lines that tell of their forming.
fn members(lines: &[Line], groups: &BTreeSet<String>) -> BTreeSet<String> {
    let formed = lines.iter().filter(|line| {
        line.number == number::FORMED && groups.iter().any(|group| line.names(group))
    });
    let named = formed.filter_map(|line| line.message.split_once(": ")).map(|(_, named)| named);
    named.flat_map(str::split_whitespace).map(str::to_owned).collect()
}

/// What a reader must know is not in the logs.
fn missing(
    lines: &[Line],
    own: &[&Line],
    (first, last): (time::OffsetDateTime, time::OffsetDateTime),
) -> Vec<String> {
    let mut missing = Vec::new();
    if !own.iter().any(|line| number::ENDINGS.contains(&line.number)) {
        missing.push(
            "no line says how the request ended: its process ended first, or the line was \
                      dropped"
                .to_owned(),
        );
    }
    let around = first - DROPPED_AROUND..=last + DROPPED_AROUND;
    let dropped = |line: &&Line| line.number == number::LINES_DROPPED && around.contains(&line.at);
    for line in lines.iter().filter(dropped) {
        missing.push(format!("{} at {}: {}", line.process, line.at, line.message));
    }
    let leads = |line: &Line| number::GROUP.contains(&line.number) || line.number == number::LOST;
    if !lines.iter().any(leads) {
        missing.push("no line tells of groups: add the log of the process that led".to_owned());
    }
    missing
}
