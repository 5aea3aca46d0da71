//! `zone`: takes availability zones out of service and back in.

pub mod bring_in;
pub mod out;

use crate::{context, error, output};
use clap::{ArgMatches, Command};

/// Defines the command and its subcommands.
pub fn command() -> Command {
    let commands = [out::command(), bring_in::command()];
    super::parent_command("zone", "Take availability zones out of service and back in", commands)
}

/// Runs the parsed subcommand.
pub async fn run(
    matches: &ArgMatches,
    context: &mut context::Context,
) -> Result<output::Report, error::Error> {
    match matches.subcommand() {
        Some(("out", matches)) => out::run(matches, context).await,
        Some(("in", matches)) => bring_in::run(matches, context).await,
        _ => Err(error::Error::Usage("no subcommand of zone given".into())),
    }
}
