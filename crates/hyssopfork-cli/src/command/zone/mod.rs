//! `zone`: availability zones.

pub mod bring_in;
pub mod out;

use crate::{context, error, output};
use clap::{ArgMatches, Command};

/// The family.
pub fn command() -> Command {
    let commands = [out::command(), bring_in::command()];
    super::parent_command("zone", "Take availability zones out of service and back", commands)
}

/// Runs the command that was parsed.
pub async fn run(
    matches: &ArgMatches,
    context: &mut context::Context,
) -> Result<output::Report, error::Error> {
    match matches.subcommand() {
        Some(("out", matches)) => out::run(matches, context).await,
        Some(("in", matches)) => bring_in::run(matches, context).await,
        _ => Err(error::Error::Usage("name a command of zone".into())),
    }
}
