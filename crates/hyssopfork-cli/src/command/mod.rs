//! Commands: one file per command, one folder per parent command.

pub mod check_history;
pub mod config;
pub mod explain;
pub mod group;
pub mod instance;
pub mod load;
pub mod status;
pub mod upstream;
pub mod watch;
pub mod zone;

use crate::{context, error, output};
use clap::{ArgMatches, Command};

/// Defines the command line.
pub fn command() -> Command {
    Command::new("hyssopfork")
        .about("Operate a hyssopfork fleet")
        .version(clap::crate_version!())
        .after_help(error::EXIT_CODES)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .args(context::arguments())
        .subcommands([
            config::command(),
            zone::command(),
            upstream::command(),
            group::command(),
            instance::command(),
            status::command(),
            watch::command(),
            load::command(),
            check_history::command(),
            explain::command(),
        ])
}

/// Runs the parsed command.
pub async fn run(
    matches: &ArgMatches,
    context: &mut context::Context,
) -> Result<output::Report, error::Error> {
    match matches.subcommand() {
        Some(("config", matches)) => config::run(matches, context).await,
        Some(("zone", matches)) => zone::run(matches, context).await,
        Some(("upstream", matches)) => upstream::run(matches, context).await,
        Some(("group", matches)) => group::run(matches, context).await,
        Some(("instance", matches)) => instance::run(matches, context).await,
        Some(("status", matches)) => status::run(matches, context).await,
        Some(("watch", matches)) => watch::run(matches, context).await,
        Some(("load", matches)) => load::run(matches, context).await,
        Some(("check-history", matches)) => check_history::run(matches, context).await,
        Some(("explain", matches)) => explain::run(matches, context).await,
        _ => Err(error::Error::Usage("no command given".into())),
    }
}

/// Creates a command whose help ends with its examples.
fn leaf_command(name: &'static str, about: &'static str, examples: &[&str]) -> Command {
    let lines: Vec<String> = examples.iter().map(|example| format!("  {example}")).collect();
    Command::new(name).about(about).after_help(format!("Examples:\n{}", lines.join("\n")))
}

/// Creates a command that only has subcommands.
fn parent_command(
    name: &'static str,
    about: &'static str,
    commands: impl IntoIterator<Item = Command>,
) -> Command {
    Command::new(name)
        .about(about)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommands(commands)
}
