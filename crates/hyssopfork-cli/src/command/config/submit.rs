//! `config submit`: replaces the whole configuration.

use crate::{context, declaration, error, output, submission};
use clap::{ArgMatches, Command};
use hyssopfork_wire::patch;

/// Examples, shown in the help.
pub const EXAMPLES: &[&str] = &[
    "hyssopfork config submit fleet.json --base 0 --control 127.0.0.1:7100",
    "hyssopfork config submit fleet.json --base 12 --operator ada --control 127.0.0.1:7100",
];

/// Defines the command.
pub fn command() -> Command {
    super::super::leaf_command(
        "submit",
        "Submit a declaration as the whole configuration",
        EXAMPLES,
    )
    .arg(super::file_argument())
    .arg(submission::base_argument().required(true))
    .arg(submission::identifier_argument())
}

/// Runs the command.
pub async fn run(
    matches: &ArgMatches,
    context: &mut context::Context,
) -> Result<output::Report, error::Error> {
    let declared = declaration::read(super::file(matches))?;
    let operations = vec![patch::Operation::Declare(Box::new(declared))];
    submission::submit(matches, context, operations).await
}
