//! `group create`: declares a serving group, or replaces its declaration.

use crate::{context, error, output, submission};
use clap::{Arg, ArgMatches, Command};
use hyssopfork_wire::{configuration, name, patch};

/// Examples, shown in the help.
pub const EXAMPLES: &[&str] = &[
    "hyssopfork group create summaries-3 --pool engines --model summary-70b --size 2 \
     --control 127.0.0.1:7100",
    "hyssopfork group create summaries-3 --pool engines --model summary-70b --size 2 \
     --priority 5 --base 12 --control 127.0.0.1:7100",
];

/// Defines the command.
pub fn command() -> Command {
    let text = |id: &'static str, value: &'static str, help: &'static str| {
        Arg::new(id).long(id).value_name(value).required(true).help(help)
    };
    let number = clap::value_parser!(u32);
    let priority = Arg::new("priority").long("priority").value_name("N").default_value("0");
    super::super::leaf_command(
        "create",
        "Create a serving group, or replace its declaration",
        EXAMPLES,
    )
    .arg(Arg::new("group").value_name("GROUP").required(true).help("Name of the group"))
    .arg(text("pool", "POOL", "Pool of engines to take members from"))
    .arg(text("model", "MODEL", "Model that the group serves"))
    .arg(text("size", "N", "Number of member instances").value_parser(number.range(1..)))
    .arg(priority.value_parser(number).help("Repair priority: higher first"))
    .arg(submission::base_argument())
    .arg(submission::identifier_argument())
}

/// Runs the command.
pub async fn run(
    matches: &ArgMatches,
    context: &mut context::Context,
) -> Result<output::Report, error::Error> {
    let text = |id| matches.get_one::<String>(id).expect("required by the parser").as_str();
    let number = |id| *matches.get_one::<u32>(id).expect("required or has a default");
    let group = configuration::Group {
        pool: name::Pool::from(text("pool")),
        model: name::Model::from(text("model")),
        size: number("size"),
        priority: number("priority"),
    };
    let operation = patch::Operation::PutGroup(name::Group::from(text("group")), group);
    submission::submit(matches, context, vec![operation]).await
}
