//! `zone in`: returns an availability zone to service.

use crate::{context, error, output, submission};
use clap::{Arg, ArgMatches, Command};
use hyssopfork_wire::{name, patch};

/// Examples, shown in the help.
pub const EXAMPLES: &[&str] = &["hyssopfork zone in zone-b --control 127.0.0.1:7100"];

/// Defines the command.
pub fn command() -> Command {
    let zone = Arg::new("zone").value_name("ZONE").required(true).help("Availability zone");
    super::super::leaf_command("in", "Return a zone to service", EXAMPLES)
        .arg(zone)
        .arg(submission::base_argument())
        .arg(submission::identifier_argument())
}

/// Runs the command.
pub async fn run(
    matches: &ArgMatches,
    context: &mut context::Context,
) -> Result<output::Report, error::Error> {
    let zone = matches.get_one::<String>("zone").expect("required by the parser");
    let zone = name::Zone::from(zone.as_str());
    submission::submit(matches, context, vec![patch::Operation::SetZoneOut(zone, false)]).await
}
