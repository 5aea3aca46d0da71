//! `explain`: one request's story, from the logs of the processes.

use crate::{context, error, explain, output};
use clap::{Arg, ArgMatches, Command};
use std::path;

/// Examples of the command.
pub const EXAMPLES: &[&str] =
    &["hyssopfork explain 859256407797b963 edge-1.log edge-2.log edge-3.log"];

/// The command.
pub fn command() -> Command {
    let about = "Tell one request's story from logs, with what the processes believed meanwhile; \
                 exit code 1 if something is missing";
    super::described("explain", about, EXAMPLES)
        .arg(
            Arg::new("request")
                .value_name("ID")
                .required(true)
                .help("Identifier that the caller sent"),
        )
        .arg(
            Arg::new("files")
                .value_name("FILE")
                .required(true)
                .num_args(1..)
                .value_parser(clap::value_parser!(path::PathBuf))
                .help("Logs in JSON, one a process; the file's name is taken for the process's"),
        )
}

/// Runs it.
pub async fn run(
    matches: &ArgMatches,
    context: &mut context::Context,
) -> Result<output::Report, error::Error> {
    let request = matches.get_one::<String>("request").expect("required by the parser");
    let (mut lines, mut unread) = (Vec::new(), 0);
    for path in matches.get_many::<path::PathBuf>("files").expect("required by the parser") {
        let (read, left_out) = explain::read(path)?;
        lines.extend(read);
        unread += left_out;
    }
    let Some(mut story) = explain::tell(&lines, request) else {
        return Err(error::Error::NoSuchRequest(request.clone(), lines.len()));
    };
    if unread > 0 {
        story.missing.push(format!("{unread} lines are no numbered events and were left out"));
    }
    let text = match context.output {
        output::Output::Json => output::json(&story),
        output::Output::Table => render(&story),
    };
    Ok(output::Report { text, code: if story.missing.is_empty() { 0 } else { error::FOUND } })
}

fn render(story: &explain::Story) -> String {
    let mut table = output::Table::new(&["", "TIME", "PROCESS", "EVENT", "WHAT"]);
    for told in &story.lines {
        let line = &told.line;
        table.row([
            if told.own { "*".to_owned() } else { String::new() },
            line.at.time().to_string(),
            line.process.clone(),
            line.name.clone(),
            line.message.clone(),
        ]);
    }
    let missing: Vec<String> = story.missing.iter().map(|it| format!("missing: {it}\n")).collect();
    format!("{}* the request's own lines\n{}", table.render(), missing.concat())
}
