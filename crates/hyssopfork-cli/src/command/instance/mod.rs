//! `instance`: lists instances that have announced themselves or hold a lease.

pub mod list;

use crate::{context, error, output};
use clap::{ArgMatches, Command};

/// Defines the command and its subcommands.
pub fn command() -> Command {
    let commands = [list::command()];
    super::parent_command("instance", "List instances", commands)
}

/// Runs the parsed subcommand.
pub async fn run(
    matches: &ArgMatches,
    context: &mut context::Context,
) -> Result<output::Report, error::Error> {
    match matches.subcommand() {
        Some(("list", matches)) => list::run(matches, context).await,
        _ => Err(error::Error::Usage("no subcommand of instance given".into())),
    }
}
