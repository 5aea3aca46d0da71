//! `upstream drain`: let an upstream finish what runs and give it no new work.

use crate::{context, error, output, submission};
use clap::{Arg, ArgAction, ArgMatches, Command};
use hyssopfork_wire::{name, patch};

/// Examples of the command.
pub const EXAMPLES: &[&str] = &[
    "hyssopfork upstream drain runner-07 --control 127.0.0.1:7100",
    "hyssopfork upstream drain runner-31 --unannounced --control 127.0.0.1:7100",
];

/// The command.
pub fn command() -> Command {
    let instance = Arg::new("instance")
        .value_name("INSTANCE")
        .required(true)
        .help("Instance that the upstream stands on");
    let unannounced = Arg::new("unannounced")
        .long("unannounced")
        .action(ArgAction::SetTrue)
        .help("Also where no such instance has announced itself yet");
    super::super::leaf_command(
        "drain",
        "Drain an upstream: it finishes what runs and gets no new work",
        EXAMPLES,
    )
    .arg(instance)
    .arg(unannounced)
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
    if !matches.get_flag("unannounced") {
        check_announced(context, &instance).await?;
    }
    submission::submit(matches, context, vec![patch::Operation::SetDrained(instance, true)]).await
}

/// A misspelt name would be accepted, and the upstream that was meant would go on taking work.
async fn check_announced(
    context: &mut context::Context,
    instance: &name::Instance,
) -> Result<(), error::Error> {
    if context.client()?.status().await?.view.members.contains_key(instance) {
        return Ok(());
    }
    Err(error::Error::Rejected(vec![format!(
        "no instance {instance} has announced itself; see `hyssopfork upstream list`, or give \
         --unannounced to drain it before it comes"
    )]))
}
