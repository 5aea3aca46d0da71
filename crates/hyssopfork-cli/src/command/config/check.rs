//! `config check`: validates a declaration, without contacting control instances.

use crate::{context, declaration, error, output};
use clap::{ArgMatches, Command};
use serde::Serialize;

/// Examples, shown in the help.
pub const EXAMPLES: &[&str] = &["hyssopfork config check fleet.json"];

/// Defines the command.
pub fn command() -> Command {
    super::super::leaf_command("check", "Check a declaration without submitting it", EXAMPLES)
        .arg(super::file_argument())
}

#[derive(Serialize)]
struct Summary {
    zones: usize,
    pools: usize,
    groups: usize,
    routes: usize,
    teams: usize,
}

/// Runs the command.
pub fn run(
    matches: &ArgMatches,
    context: &context::Context,
) -> Result<output::Report, error::Error> {
    let path = super::file(matches);
    let declared = declaration::read(path)?;
    let summary = Summary {
        zones: declared.zones.len(),
        pools: declared.pools.len(),
        groups: declared.groups.len(),
        routes: declared.routes.len(),
        teams: declared.teams.len(),
    };
    let text = match context.output {
        output::Format::Json => output::to_json(&summary),
        output::Format::Table => format!(
            "{} is well formed: {} zones, {} pools, {} groups, {} routes, {} teams\n",
            path.display(),
            summary.zones,
            summary.pools,
            summary.groups,
            summary.routes,
            summary.teams
        ),
    };
    Ok(output::Report::success(text))
}
