//! `config history`: shows accepted patches and their authors.

use crate::{context, error, output};
use clap::{Arg, ArgMatches, Command};
use hyssopfork_wire::{control, number, patch};

/// Examples, shown in the help.
pub const EXAMPLES: &[&str] = &[
    "hyssopfork config history --control 127.0.0.1:7100",
    "hyssopfork config history --since 12 --control 127.0.0.1:7100",
];

/// Defines the command.
pub fn command() -> Command {
    let since = Arg::new("since")
        .long("since")
        .value_name("N")
        .default_value("0")
        .value_parser(clap::value_parser!(u64))
        .help("Only patches after this number");
    super::super::leaf_command("history", "Show accepted patches, oldest first", EXAMPLES)
        .arg(since)
}

/// Runs the command.
pub async fn run(
    matches: &ArgMatches,
    context: &mut context::Context,
) -> Result<output::Report, error::Error> {
    let since = *matches.get_one::<u64>("since").expect("has a default");
    let request = control::Request::History(number::Configuration(since));
    let control::Response::History(records) = context.client()?.call(&request).await? else {
        return Err(error::Error::UnexpectedResponse);
    };
    let text = match context.output {
        output::Format::Json => output::to_json(&records),
        output::Format::Table => render(&records),
    };
    Ok(output::Report::success(text))
}

fn render(records: &[patch::Record]) -> String {
    let mut table = output::Table::new(&["NUMBER", "BY", "IDENTIFIER", "CHANGE"]);
    for record in records {
        table.add_row([
            record.number.to_string(),
            record.author.to_string(),
            record.identifier.0.clone(),
            record.summary.join("; "),
        ]);
    }
    table.render()
}
