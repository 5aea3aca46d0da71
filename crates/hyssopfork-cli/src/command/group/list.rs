//! `group list`: lists declared serving groups and their states.

use crate::{context, error, output, overview};
use clap::{ArgMatches, Command};

/// Examples, shown in the help.
pub const EXAMPLES: &[&str] = &["hyssopfork group list --control 127.0.0.1:7100"];

/// Defines the command.
pub fn command() -> Command {
    super::super::leaf_command("list", "List serving groups with their members", EXAMPLES)
}

/// Runs the command.
pub async fn run(
    _: &ArgMatches,
    context: &mut context::Context,
) -> Result<output::Report, error::Error> {
    let groups = overview::build(&context.client()?.status().await?).groups;
    let text = match context.output {
        output::Format::Json => output::to_json(&groups),
        output::Format::Table => render(&groups),
    };
    Ok(output::Report::success(text))
}

/// Formats groups as a table.
pub fn render(groups: &[overview::Group]) -> String {
    let mut table =
        output::Table::new(&["GROUP", "STATE", "ZONE", "FENCE", "RUNNING", "MEMBERS", "MISSING"]);
    for group in groups {
        table.add_row([
            group.group.to_string(),
            group.state.to_string(),
            group.zone.as_ref().map_or_else(|| "-".into(), ToString::to_string),
            group.fence.map_or_else(|| "-".into(), |fence| fence.to_string()),
            group.running.to_string(),
            join(&group.members),
            join(&group.missing),
        ]);
    }
    table.render()
}

fn join(names: &[hyssopfork_wire::name::Instance]) -> String {
    if names.is_empty() {
        return "-".into();
    }
    let names: Vec<&str> = names.iter().map(|name| name.as_str()).collect();
    names.join(",")
}
