//! `status`: the state of the fleet on one screen.

use super::group;
use crate::{client, context, error, output, screen, traffic};
use clap::{Arg, ArgAction, ArgMatches, Command};
use serde::Serialize;
use std::net;

/// Examples of the command.
pub const EXAMPLES: &[&str] = &[
    "hyssopfork status --control 127.0.0.1:7100,127.0.0.1:7110,127.0.0.1:7120",
    "hyssopfork status --check --output json --control 127.0.0.1:7100",
    "hyssopfork status --entry-metrics 127.0.0.1:7300,127.0.0.1:7301 --control 127.0.0.1:7100",
];

/// The command.
pub fn command() -> Command {
    let check = Arg::new("check")
        .long("check")
        .action(ArgAction::SetTrue)
        .help("Exit code 1 unless every group serves and the configuration is in force everywhere");
    let metrics = Arg::new("entry-metrics")
        .long("entry-metrics")
        .value_name("IP:PORT")
        .action(ArgAction::Append)
        .value_delimiter(',')
        .value_parser(clap::value_parser!(net::SocketAddr))
        .help("`metrics_listen` of entries, to show queues and refusals of each team");
    super::described("status", "Show the whole fleet on one screen", EXAMPLES)
        .arg(check)
        .arg(metrics)
}

#[derive(Serialize)]
struct Shown<'a> {
    control: Vec<Row>,
    traffic: Option<&'a traffic::Traffic>,
    #[serde(flatten)]
    screen: &'a screen::Screen,
}

#[derive(Serialize)]
struct Row {
    address: net::SocketAddr,
    standing: String,
}

/// Runs it.
pub async fn run(
    matches: &ArgMatches,
    context: &mut context::Context,
) -> Result<output::Report, error::Error> {
    let output = context.output;
    let client = context.client()?;
    let screen = screen::draw(&client.status().await?);
    let standings = client.standings().await;
    let traffic = match matches.get_many::<net::SocketAddr>("entry-metrics") {
        Some(addresses) => Some(traffic::ask(&addresses.copied().collect::<Vec<_>>()).await),
        None => None,
    };
    let text = match output {
        output::Output::Json => output::json(&Shown {
            control: rows(&standings),
            traffic: traffic.as_ref(),
            screen: &screen,
        }),
        output::Output::Table => render(&screen, &standings, traffic.as_ref()),
    };
    let unwell = matches.get_flag("check") && !screen.is_well();
    Ok(output::Report { text, code: if unwell { error::FOUND } else { 0 } })
}

fn rows(standings: &[(net::SocketAddr, client::Standing)]) -> Vec<Row> {
    let row = |&(address, standing): &(net::SocketAddr, client::Standing)| Row {
        address,
        standing: standing.to_string(),
    };
    standings.iter().map(row).collect()
}

fn render(
    screen: &screen::Screen,
    standings: &[(net::SocketAddr, client::Standing)],
    traffic: Option<&traffic::Traffic>,
) -> String {
    let mut parts = vec![
        head(screen),
        control(standings),
        zones(&screen.zones),
        group::list::render(&screen.groups),
        troubles(screen),
    ];
    parts.extend(traffic.map(traffic::Traffic::render));
    parts.join("\n")
}

fn head(screen: &screen::Screen) -> String {
    let force = if screen.behind.is_empty() {
        format!("in force everywhere ({} processes, {} entries)", screen.holders, screen.entries)
    } else {
        let behind = screen.behind.len();
        format!("NOT YET reported in force by {behind} of {} processes (below)", screen.holders)
    };
    format!(
        "configuration {}  {force}\nleader {}  term {}  committed {}  view {}  stranded \
         accelerators {}\n",
        screen.configuration,
        screen.leader,
        screen.term,
        screen.committed,
        screen.version,
        screen.stranded
    )
}

fn control(standings: &[(net::SocketAddr, client::Standing)]) -> String {
    let mut table = output::Table::new(&["CONTROL", "STATE"]);
    for (address, standing) in standings {
        table.row([address.to_string(), standing.to_string()]);
    }
    table.render()
}

fn zones(zones: &[screen::Zone]) -> String {
    let mut table =
        output::Table::new(&["ZONE", "STATE", "GROUPS SERVING", "PRESENT", "MISSING", "COLD"]);
    for zone in zones {
        table.row([
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

/// Instances that need a look, and processes that are behind.
fn troubles(screen: &screen::Screen) -> String {
    let mut table = output::Table::new(&["NEEDS A LOOK", "ZONE", "GROUP", "WHY"]);
    let unwell =
        |instance: &&screen::Instance| !matches!(instance.condition, screen::Condition::Ready);
    for instance in screen.instances.iter().filter(unwell) {
        table.row([
            instance.instance.to_string(),
            instance.zone.to_string(),
            instance.group.as_ref().map_or_else(|| "-".into(), ToString::to_string),
            instance.condition.to_string(),
        ]);
    }
    for behind in &screen.behind {
        let why = format!("acts on view {} of {}", behind.version, screen.version);
        table.row([behind.instance.to_string(), "-".into(), "-".into(), why]);
    }
    for lapsed in &screen.lapsed {
        table.row([lapsed.to_string(), "-".into(), "-".into(), "its lease has lapsed".into()]);
    }
    table.render()
}
