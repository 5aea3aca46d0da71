//! `group`: lists, creates and removes serving groups.

pub mod create;
pub mod list;
pub mod remove;

use crate::{context, error, output};
use clap::{ArgMatches, Command};

/// Defines the command and its subcommands.
pub fn command() -> Command {
    let commands = [list::command(), create::command(), remove::command()];
    super::parent_command("group", "List, create and remove serving groups", commands)
}

/// Runs the parsed subcommand.
pub async fn run(
    matches: &ArgMatches,
    context: &mut context::Context,
) -> Result<output::Report, error::Error> {
    match matches.subcommand() {
        Some(("list", matches)) => list::run(matches, context).await,
        Some(("create", matches)) => create::run(matches, context).await,
        Some(("remove", matches)) => remove::run(matches, context).await,
        _ => Err(error::Error::Usage("no subcommand of group given".into())),
    }
}
