//! `upstream list`: lists engines and plain services that have announced themselves.

use crate::{context, error, output, overview};
use clap::{Arg, ArgMatches, Command};

/// Examples, shown in the help.
pub const EXAMPLES: &[&str] = &[
    "hyssopfork upstream list --control 127.0.0.1:7100",
    "hyssopfork upstream list --zone zone-b --control 127.0.0.1:7100",
];

/// Defines the command.
pub fn command() -> Command {
    let zone = Arg::new("zone").long("zone").value_name("ZONE").help("Only upstreams in this zone");
    super::super::leaf_command("list", "List upstreams with their state", EXAMPLES).arg(zone)
}

/// Runs the command.
pub async fn run(
    matches: &ArgMatches,
    context: &mut context::Context,
) -> Result<output::Report, error::Error> {
    let zone = matches.get_one::<String>("zone");
    let mut instances = overview::build(&context.client()?.status().await?).instances;
    instances.retain(|instance| zone.is_none_or(|zone| instance.zone.as_str() == zone));
    let text = match context.output {
        output::Format::Json => output::to_json(&instances),
        output::Format::Table => render(&instances),
    };
    Ok(output::Report::success(text))
}

fn render(instances: &[overview::Instance]) -> String {
    let mut table = output::Table::new(&[
        "INSTANCE", "ZONE", "DOMAIN", "POOL", "KIND", "STATE", "GROUP", "RUNNING",
    ]);
    for instance in instances {
        table.add_row([
            instance.instance.to_string(),
            instance.zone.to_string(),
            instance.domain.to_string(),
            instance.pool.to_string(),
            instance.kind.to_string(),
            instance.condition.to_string(),
            instance.group.as_ref().map_or_else(|| "-".into(), ToString::to_string),
            instance.running.to_string(),
        ]);
    }
    table.render()
}
