//! `upstream`: engines and plain services.

pub mod drain;
pub mod list;
pub mod undrain;

use crate::{context, error, output};
use clap::{ArgMatches, Command};

/// The family.
pub fn command() -> Command {
    let commands = [list::command(), drain::command(), undrain::command()];
    super::parent_command("upstream", "List and drain upstreams", commands)
}

/// Runs the command that was parsed.
pub async fn run(
    matches: &ArgMatches,
    context: &mut context::Context,
) -> Result<output::Report, error::Error> {
    match matches.subcommand() {
        Some(("list", matches)) => list::run(matches, context).await,
        Some(("drain", matches)) => drain::run(matches, context).await,
        Some(("undrain", matches)) => undrain::run(matches, context).await,
        _ => Err(error::Error::Usage("name a command of upstream".into())),
    }
}
