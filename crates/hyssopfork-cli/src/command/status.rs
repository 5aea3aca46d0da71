//! `status`: shows the state of the fleet on one screen.

use super::group;
use crate::{client, context, error, output, overview, traffic};
use clap::{Arg, ArgAction, ArgMatches, Command};
use serde::Serialize;
use std::net;

/// Examples, shown in the help.
pub const EXAMPLES: &[&str] = &[
    "hyssopfork status --control 127.0.0.1:7100,127.0.0.1:7110,127.0.0.1:7120",
    "hyssopfork status --check --output json --control 127.0.0.1:7100",
    "hyssopfork status --entry-metrics 127.0.0.1:7300,127.0.0.1:7301 --control 127.0.0.1:7100",
];

/// Defines the command.
pub fn command() -> Command {
    let check = Arg::new("check").long("check").action(ArgAction::SetTrue).help(
        "Exit code 1 unless every group is serving and the configuration is in force everywhere",
    );
    let metrics = Arg::new("entry-metrics")
        .long("entry-metrics")
        .value_name("IP:PORT")
        .action(ArgAction::Append)
        .value_delimiter(',')
        .value_parser(clap::value_parser!(net::SocketAddr))
        .help("`metrics_listen` of entries, to show queues and rejections by team");
    super::leaf_command("status", "Show the whole fleet on one screen", EXAMPLES)
        .arg(check)
        .arg(metrics)
}

#[derive(Serialize)]
struct Document<'a> {
    control: Vec<Row>,
    traffic: Option<&'a traffic::Traffic>,
    #[serde(flatten)]
    overview: &'a overview::Overview,
}

#[derive(Serialize)]
struct Row {
    address: net::SocketAddr,
    #[serde(rename = "standing")]
    role: String,
}

/// Runs the command.
pub async fn run(
    matches: &ArgMatches,
    context: &mut context::Context,
) -> Result<output::Report, error::Error> {
    let output = context.output;
    let client = context.client()?;
    let overview = overview::build(&client.status().await?);
    let roles = client.roles().await;
    let traffic = match matches.get_many::<net::SocketAddr>("entry-metrics") {
        Some(addresses) => Some(traffic::collect(&addresses.copied().collect::<Vec<_>>()).await),
        None => None,
    };
    let text = match output {
        output::Format::Json => output::to_json(&Document {
            control: control_rows(&roles),
            traffic: traffic.as_ref(),
            overview: &overview,
        }),
        output::Format::Table => render(&overview, &roles, traffic.as_ref()),
    };
    let is_unhealthy = matches.get_flag("check") && !overview.is_healthy();
    Ok(output::Report { text, exit_code: if is_unhealthy { error::CHECK_FAILED } else { 0 } })
}

fn control_rows(roles: &[(net::SocketAddr, client::Role)]) -> Vec<Row> {
    let row = |&(address, role): &(net::SocketAddr, client::Role)| Row {
        address,
        role: role.to_string(),
    };
    roles.iter().map(row).collect()
}

fn render(
    overview: &overview::Overview,
    roles: &[(net::SocketAddr, client::Role)],
    traffic: Option<&traffic::Traffic>,
) -> String {
    let mut parts = vec![
        render_head(overview),
        render_control(roles),
        render_zones(&overview.zones),
        group::list::render(&overview.groups),
        render_attention(overview),
    ];
    parts.extend(traffic.map(traffic::Traffic::render));
    parts.join("\n")
}

fn render_head(overview: &overview::Overview) -> String {
    let rollout = if overview.laggards.is_empty() {
        format!(
            "in force everywhere ({} processes, {} entries)",
            overview.holders, overview.entries
        )
    } else {
        let count = overview.laggards.len();
        format!("NOT YET reported in force by {count} of {} processes (below)", overview.holders)
    };
    format!(
        "configuration {}  {rollout}\nleader {}  term {}  committed {}  view {}  stranded \
         accelerators {}\n",
        overview.configuration,
        overview.leader,
        overview.term,
        overview.committed,
        overview.version,
        overview.stranded
    )
}

fn render_control(roles: &[(net::SocketAddr, client::Role)]) -> String {
    let mut table = output::Table::new(&["CONTROL", "STATE"]);
    for (address, role) in roles {
        table.add_row([address.to_string(), role.to_string()]);
    }
    table.render()
}

fn render_zones(zones: &[overview::Zone]) -> String {
    let mut table =
        output::Table::new(&["ZONE", "STATE", "GROUPS SERVING", "PRESENT", "MISSING", "COLD"]);
    for zone in zones {
        table.add_row([
            zone.zone.to_string(),
            if zone.out { "OUT".into() } else { "in service".into() },
            zone.serving.to_string(),
            zone.present.to_string(),
            zone.missing.to_string(),
            zone.cold.to_string(),
        ]);
    }
    table.render()
}

/// Lists instances that are not ready, and processes with an old view or a lapsed lease.
fn render_attention(overview: &overview::Overview) -> String {
    let mut table = output::Table::new(&["NEEDS A LOOK", "ZONE", "GROUP", "WHY"]);
    let needs_attention =
        |instance: &&overview::Instance| !matches!(instance.condition, overview::Condition::Ready);
    for instance in overview.instances.iter().filter(needs_attention) {
        table.add_row([
            instance.instance.to_string(),
            instance.zone.to_string(),
            instance.group.as_ref().map_or_else(|| "-".into(), ToString::to_string),
            instance.condition.to_string(),
        ]);
    }
    for laggard in &overview.laggards {
        let reason = format!("acts on view {} of {}", laggard.version, overview.version);
        table.add_row([laggard.instance.to_string(), "-".into(), "-".into(), reason]);
    }
    for lapsed in &overview.lapsed {
        table.add_row([lapsed.to_string(), "-".into(), "-".into(), "its lease has lapsed".into()]);
    }
    table.render()
}
