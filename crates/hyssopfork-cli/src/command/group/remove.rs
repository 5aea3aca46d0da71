//! `group remove`: removes a serving group.

use crate::{context, error, output, submission};
use clap::{Arg, ArgMatches, Command};
use hyssopfork_wire::{name, patch};

/// Examples, shown in the help.
pub const EXAMPLES: &[&str] = &["hyssopfork group remove summaries-3 --control 127.0.0.1:7100"];

/// Defines the command.
pub fn command() -> Command {
    let group = Arg::new("group").value_name("GROUP").required(true).help("Serving group");
    super::super::leaf_command(
        "remove",
        "Remove a serving group; its instances become free",
        EXAMPLES,
    )
    .arg(group)
    .arg(submission::base_argument())
    .arg(submission::identifier_argument())
}

/// Runs the command.
pub async fn run(
    matches: &ArgMatches,
    context: &mut context::Context,
) -> Result<output::Report, error::Error> {
    let group = matches.get_one::<String>("group").expect("required by the parser");
    let group = name::Group::from(group.as_str());
    submission::submit(matches, context, vec![patch::Operation::RemoveGroup(group)]).await
}
