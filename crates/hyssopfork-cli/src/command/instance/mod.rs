//! `instance`: every instance that announced itself or holds a lease.

pub mod list;

use crate::{context, error, output};
use clap::{ArgMatches, Command};

/// The family.
pub fn command() -> Command {
    let commands = [list::command()];
    super::parent_command("instance", "List instances", commands)
}

/// Runs the command that was parsed.
pub async fn run(
    matches: &ArgMatches,
    context: &mut context::Context,
) -> Result<output::Report, error::Error> {
    match matches.subcommand() {
        Some(("list", matches)) => list::run(matches, context).await,
        _ => Err(error::Error::Usage("name a command of instance".into())),
    }
}
