//! `explain`: timeline of one request, from the logs of the processes.

use crate::{context, error, explain, output};
use clap::{Arg, ArgMatches, Command};
use std::path;

/// Examples, shown in the help.
pub const EXAMPLES: &[&str] =
    &["hyssopfork explain 859256407797b963 edge-1.log edge-2.log edge-3.log"];

/// Defines the command.
pub fn command() -> Command {
    let about = "Show the timeline of one request from logs, with related lines of all processes; \
                 exit code 1 if something is missing";
    super::leaf_command("explain", about, EXAMPLES)
        .arg(
            Arg::new("request")
                .value_name("ID")
                .required(true)
                .help("Identifier that the client sent"),
        )
        .arg(
            Arg::new("files")
                .value_name("FILE")
                .required(true)
                .num_args(1..)
                .value_parser(clap::value_parser!(path::PathBuf))
                .help("Logs in JSON, one per process; the file name names the process"),
        )
}

/// Runs the command.
pub async fn run(
    matches: &ArgMatches,
    context: &mut context::Context,
) -> Result<output::Report, error::Error> {
    let request = matches.get_one::<String>("request").expect("required by the parser");
    let (mut lines, mut skipped) = (Vec::new(), 0);
    for path in matches.get_many::<path::PathBuf>("files").expect("required by the parser") {
        let (parsed, skipped_in_file) = explain::read(path)?;
        lines.extend(parsed);
        skipped += skipped_in_file;
    }
    let Some(mut timeline) = explain::build_timeline(&lines, request) else {
        return Err(error::Error::NoSuchRequest(request.clone(), lines.len()));
    };
    if skipped > 0 {
        timeline.missing.push(format!("{skipped} lines are not numbered events and were skipped"));
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
