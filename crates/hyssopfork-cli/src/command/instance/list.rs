//! `instance list`: lists every process that holds a lease or has announced itself.

use crate::{context, error, output, overview};
use clap::Command;
use hyssopfork_wire::control;
use serde::Serialize;

/// Examples, shown in the help.
pub const EXAMPLES: &[&str] = &["hyssopfork instance list --control 127.0.0.1:7100"];

/// Defines the command.
pub fn command() -> Command {
    super::super::leaf_command("list", "List all instances with role and lease age", EXAMPLES)
}

#[derive(Serialize)]
struct Row {
    instance: String,
    role: &'static str,
    version: u64,
    lease_age_ms: u64,
    condition: String,
}

/// Runs the command.
pub async fn run(
    _: &clap::ArgMatches,
    context: &mut context::Context,
) -> Result<output::Report, error::Error> {
    let status = context.client()?.status().await?;
    let rows = rows(&status);
    let text = match context.output {
        output::Format::Json => output::to_json(&rows),
        output::Format::Table => render(&rows),
    };
    Ok(output::Report::success(text))
}

fn rows(status: &control::Status) -> Vec<Row> {
    let overview = overview::build(status);
    let row = |holding: &control::Holding| {
        let instance =
            overview.instances.iter().find(|instance| instance.instance == holding.instance);
        let condition =
            instance.filter(|_| holding.agent).map(|instance| instance.condition.to_string());
        Row {
            instance: holding.instance.to_string(),
            role: if holding.agent { "agent" } else { "entry" },
            version: holding.version.0,
            lease_age_ms: holding.age.as_millis() as u64,
            condition: condition.unwrap_or_else(|| "ready".into()),
        }
    };
    status.holdings.iter().map(row).collect()
}

fn render(rows: &[Row]) -> String {
    let mut table =
        output::Table::new(&["INSTANCE", "ROLE", "VERSION", "LEASE AGE MS", "CONDITION"]);
    for row in rows {
        table.add_row([
            row.instance.clone(),
            row.role.into(),
            row.version.to_string(),
            row.lease_age_ms.to_string(),
            row.condition.clone(),
        ]);
    }
    table.render()
}
