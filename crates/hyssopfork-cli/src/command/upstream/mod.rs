//! `upstream`: lists and drains engines and plain services.

pub mod drain;
pub mod list;
pub mod undrain;

use crate::{context, error, output};
use clap::{ArgMatches, Command};

/// Defines the command and its subcommands.
pub fn command() -> Command {
    let commands = [list::command(), drain::command(), undrain::command()];
    super::parent_command("upstream", "List and drain upstreams", commands)
}

/// Runs the parsed subcommand.
pub async fn run(
    matches: &ArgMatches,
    context: &mut context::Context,
) -> Result<output::Report, error::Error> {
    match matches.subcommand() {
        Some(("list", matches)) => list::run(matches, context).await,
        Some(("drain", matches)) => drain::run(matches, context).await,
        Some(("undrain", matches)) => undrain::run(matches, context).await,
        _ => Err(error::Error::Usage("no subcommand of upstream given".into())),
    }
}
