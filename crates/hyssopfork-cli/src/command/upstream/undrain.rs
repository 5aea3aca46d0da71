//! `upstream undrain`: returns a drained upstream to service.

use crate::{context, error, output, submission};
use clap::{Arg, ArgMatches, Command};
use hyssopfork_wire::{name, patch};

/// Examples, shown in the help.
pub const EXAMPLES: &[&str] = &["hyssopfork upstream undrain runner-07 --control 127.0.0.1:7100"];

/// Defines the command.
pub fn command() -> Command {
    let instance = Arg::new("instance")
        .value_name("INSTANCE")
        .required(true)
        .help("Instance that the upstream runs on");
    super::super::leaf_command("undrain", "Return a drained upstream to service", EXAMPLES)
        .arg(instance)
        .arg(submission::base_argument())
        .arg(submission::identifier_argument())
}

/// Runs the command.
pub async fn run(
    matches: &ArgMatches,
    context: &mut context::Context,
) -> Result<output::Report, error::Error> {
    let instance = matches.get_one::<String>("instance").expect("required by the parser");
    let instance = name::Instance::from(instance.as_str());
    submission::submit(matches, context, vec![patch::Operation::SetDrained(instance, false)]).await
}
