//! `config show`: shows the configuration in force.

use crate::{context, error, output};
use clap::Command;

/// Examples, shown in the help.
pub const EXAMPLES: &[&str] = &[
    "hyssopfork config show --control 127.0.0.1:7100",
    "hyssopfork config show --control 127.0.0.1:7100 --output json",
];

/// Defines the command.
pub fn command() -> Command {
    super::super::leaf_command("show", "Show the configuration in force as a declaration", EXAMPLES)
}

/// Runs the command.
pub async fn run(context: &mut context::Context) -> Result<output::Report, error::Error> {
    let configuration = context.client()?.status().await?.view.configuration;
    let declaration = output::to_json(&configuration);
    let text = match context.output {
        output::Format::Json => declaration,
        output::Format::Table => {
            format!("// Configuration {} in force.\n{declaration}", configuration.number)
        }
    };
    Ok(output::Report::success(text))
}
