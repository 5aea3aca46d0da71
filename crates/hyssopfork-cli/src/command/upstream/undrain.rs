//! `upstream undrain`: let a drained upstream take work again.

use crate::{context, error, output, submission};
use clap::{Arg, ArgMatches, Command};
use hyssopfork_wire::{name, patch};

/// Examples of the command.
pub const EXAMPLES: &[&str] = &["hyssopfork upstream undrain runner-07 --control 127.0.0.1:7100"];

/// The command.
pub fn command() -> Command {
    let instance = Arg::new("instance")
        .value_name("INSTANCE")
        .required(true)
        .help("Instance that the upstream stands on");
    super::super::leaf_command("undrain", "Let a drained upstream take work again", EXAMPLES)
        .arg(instance)
        .arg(submission::base_argument())
        .arg(submission::identifier_argument())
}

/// Runs it.
pub async fn run(
    matches: &ArgMatches,
    context: &mut context::Context,
) -> Result<output::Report, error::Error> {
    let instance = matches.get_one::<String>("instance").expect("required by the parser");
    let instance = name::Instance::from(instance.as_str());
    submission::submit(matches, context, vec![patch::Operation::SetDrained(instance, false)]).await
}
