//! `explain`: timeline of one request, or a time without a leader, from the logs of the processes.

use crate::{context, error, explain, outage, output};
use clap::{Arg, ArgMatches, Command};
use std::path;

/// Examples, shown in the help.
pub const EXAMPLES: &[&str] = &[
    "hyssopfork explain 859256407797b963 edge-1.log edge-2.log edge-3.log",
    "hyssopfork explain --no-leader edge-1.log edge-2.log edge-3.log",
];

/// Defines the command.
pub fn command() -> Command {
    let about = "Show the timeline of one request from logs, with related lines of all processes; \
                 exit code 1 if something is missing, or if there was no leader";
    super::leaf_command("explain", about, EXAMPLES)
        .arg(
            Arg::new("request")
                .value_name("ID")
                .required_unless_present("no-leader")
                .help("Identifier that the client sent"),
        )
        .arg(
            Arg::new("files")
                .value_name("FILE")
                .required_unless_present("no-leader")
                .num_args(1..)
                .value_parser(clap::value_parser!(path::PathBuf))
                .help("Logs in JSON, one per process; the file name names the process"),
        )
        .arg(
            Arg::new("no-leader")
                .long("no-leader")
                .value_name("FILE")
                .num_args(1..)
                .conflicts_with_all(["request", "files"])
                .value_parser(clap::value_parser!(path::PathBuf))
                .help("Explain the last time without a leader from these logs"),
        )
}

/// Runs the command.
pub async fn run(
    matches: &ArgMatches,
    context: &mut context::Context,
) -> Result<output::Report, error::Error> {
    if let Some(files) = matches.get_many::<path::PathBuf>("no-leader") {
        let (lines, skipped) = read_all(files)?;
        return Ok(explain_outage(&lines, skipped, context.output));
    }
    let request = matches.get_one::<String>("request").expect("required by the parser");
    let files = matches.get_many::<path::PathBuf>("files").expect("required by the parser");
    let (lines, skipped) = read_all(files)?;
    let Some(mut timeline) = explain::build_timeline(&lines, request) else {
        return Err(error::Error::NoSuchRequest(request.clone(), lines.len()));
    };
    if skipped > 0 {
        timeline.missing.push(format_skipped(skipped));
    }
    let text = match context.output {
        output::Format::Json => output::to_json(&timeline),
        output::Format::Table => render(&timeline),
    };
    Ok(output::Report {
        text,
        exit_code: if timeline.missing.is_empty() { 0 } else { error::CHECK_FAILED },
    })
}

/// Reads all logs; returns their events and the number of lines in other formats.
fn read_all<'a>(
    files: impl Iterator<Item = &'a path::PathBuf>,
) -> Result<(Vec<explain::Line>, usize), error::Error> {
    let (mut lines, mut skipped) = (Vec::new(), 0);
    for path in files {
        let (parsed, skipped_in_file) = explain::read(path)?;
        lines.extend(parsed);
        skipped += skipped_in_file;
    }
    Ok((lines, skipped))
}

fn format_skipped(skipped: usize) -> String {
    format!("{skipped} lines are not numbered events and were skipped")
}

fn explain_outage(
    lines: &[explain::Line],
    skipped: usize,
    format: output::Format,
) -> output::Report {
    let Some(mut outage) = outage::find_outage(lines) else {
        let events = "failed elections (1020), reads refused without a leader (5016)";
        return output::Report::success(match format {
            output::Format::Json => output::to_json(&()),
            output::Format::Table => format!("{} log lines hold none of: {events}\n", lines.len()),
        });
    };
    if skipped > 0 {
        outage.missing.push(format_skipped(skipped));
    }
    let text = match format {
        output::Format::Json => output::to_json(&outage),
        output::Format::Table => render_outage(&outage),
    };
    output::Report { text, exit_code: error::CHECK_FAILED }
}

fn render_outage(outage: &outage::Outage) -> String {
    let end = match outage.until {
        Some(until) => format!("until {until}"),
        None => format!("for good: the last line on it is of {}", outage.last_seen),
    };
    let mut text = format!("no leader since {}, {end}\n\n", outage.since);
    let mut folders = output::Table::new(&["PROCESS", "STARTED", "SEAT", "TERM", "LAST", "VOTERS"]);
    let mut elections =
        output::Table::new(&["PROCESS", "TIME", "STAGE", "GRANTED", "DENIED", "SILENT", "LOST"]);
    let mut reads = output::Table::new(&["PROCESS", "TIME", "REFUSED", "LAST LEADER", "HEARD MS"]);
    for (name, process) in &outage.processes {
        if let Some(folder) = &process.folder {
            folders.add_row([
                name.clone(),
                folder.at.time().to_string(),
                folder.seat.clone(),
                folder.term.to_string(),
                folder.last.to_string(),
                folder.voters.join(","),
            ]);
        }
        if let Some(election) = &process.election {
            elections.add_row([
                name.clone(),
                election.at.time().to_string(),
                election.stage.clone(),
                election.granted.join(","),
                election.denied.join(","),
                election.silent.join(","),
                election.lost.join(","),
            ]);
        }
        if let Some(read) = &process.read {
            reads.add_row([
                name.clone(),
                read.at.time().to_string(),
                read.reason.to_string(),
                read.last_leader.clone(),
                read.voters_heard.clone(),
            ]);
        }
    }
    for table in [folders, elections, reads] {
        text += &format!("{}\n", table.render());
    }
    let groups =
        [("seat", &outage.seat_changes), ("found", &outage.findings), ("missing", &outage.missing)];
    for (label, texts) in groups {
        texts.iter().for_each(|it| text += &format!("{label}: {it}\n"));
    }
    text
}

fn render(timeline: &explain::Timeline) -> String {
    let mut table = output::Table::new(&["", "TIME", "PROCESS", "EVENT", "WHAT"]);
    for entry in &timeline.lines {
        let line = &entry.line;
        table.add_row([
            if entry.own { "*".to_owned() } else { String::new() },
            line.timestamp.time().to_string(),
            line.process.clone(),
            line.name.clone(),
            line.message.clone(),
        ]);
    }
    let missing: Vec<String> =
        timeline.missing.iter().map(|it| format!("missing: {it}\n")).collect();
    format!("{}* lines of the request\n{}", table.render(), missing.concat())
}
