//! `upstream drain`: drains an upstream; it finishes its requests and gets no new ones.

use crate::{context, error, output, submission};
use clap::{Arg, ArgAction, ArgMatches, Command};
use hyssopfork_wire::{name, patch};

/// Examples, shown in the help.
pub const EXAMPLES: &[&str] = &[
    "hyssopfork upstream drain runner-07 --control 127.0.0.1:7100",
    "hyssopfork upstream drain runner-31 --unannounced --control 127.0.0.1:7100",
];

/// Defines the command.
pub fn command() -> Command {
    let instance = Arg::new("instance")
        .value_name("INSTANCE")
        .required(true)
        .help("Instance that the upstream runs on");
    let unannounced = Arg::new("unannounced")
        .long("unannounced")
        .action(ArgAction::SetTrue)
        .help("Allow an instance that has not announced itself yet");
    super::super::leaf_command(
        "drain",
        "Drain an upstream: it finishes its requests and gets no new ones",
        EXAMPLES,
    )
    .arg(instance)
    .arg(unannounced)
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
    if !matches.get_flag("unannounced") {
        check_announced(context, &instance).await?;
    }
    submission::submit(matches, context, vec![patch::Operation::SetDrained(instance, true)]).await
}

/// Rejects an unknown instance: the control instances accept any name, so with a misspelt one the
/// intended upstream would keep receiving requests.
async fn check_announced(
    context: &mut context::Context,
    instance: &name::Instance,
) -> Result<(), error::Error> {
    if context.client()?.status().await?.view.members.contains_key(instance) {
        return Ok(());
    }
    Err(error::Error::Rejected(vec![format!(
        "no instance {instance} has announced itself; see `hyssopfork upstream list`, or give \
         --unannounced to drain it in advance"
    )]))
}
