//! `config`: shows, checks and changes the declared configuration.

pub mod check;
pub mod diff;
pub mod history;
pub mod show;
pub mod submit;

use crate::{context, error, output};
use clap::{Arg, ArgMatches, Command};
use std::path;

/// Defines the command and its subcommands.
pub fn command() -> Command {
    let commands =
        [show::command(), check::command(), diff::command(), submit::command(), history::command()];
    super::parent_command("config", "Show, check and change the declared configuration", commands)
}

/// Runs the parsed subcommand.
pub async fn run(
    matches: &ArgMatches,
    context: &mut context::Context,
) -> Result<output::Report, error::Error> {
    match matches.subcommand() {
        Some(("show", _)) => show::run(context).await,
        Some(("check", matches)) => check::run(matches, context),
        Some(("diff", matches)) => diff::run(matches, context).await,
        Some(("submit", matches)) => submit::run(matches, context).await,
        Some(("history", matches)) => history::run(matches, context).await,
        _ => Err(error::Error::Usage("no subcommand of config given".into())),
    }
}

/// Argument for the path of the declaration.
fn file_argument() -> Arg {
    Arg::new("file")
        .value_name("FILE")
        .required(true)
        .value_parser(clap::value_parser!(path::PathBuf))
        .help("Declaration in JSON with comments")
}

fn file(matches: &ArgMatches) -> &path::Path {
    matches.get_one::<path::PathBuf>("file").expect("required by the parser")
}
