//! `config diff`: compares a declaration with the configuration in force.

use crate::{context, declaration, error, output};
use clap::{ArgMatches, Command};

/// Examples, shown in the help.
pub const EXAMPLES: &[&str] = &["hyssopfork config diff fleet.json --control 127.0.0.1:7100"];

/// Defines the command.
pub fn command() -> Command {
    let about = "Compare a declaration with the configuration in force; exit code 1 if they differ";
    super::super::leaf_command("diff", about, EXAMPLES).arg(super::file_argument())
}

/// Runs the command.
pub async fn run(
    matches: &ArgMatches,
    context: &mut context::Context,
) -> Result<output::Report, error::Error> {
    let declared = declaration::read(super::file(matches))?;
    let in_force = context.client()?.status().await?.view.configuration;
    let differences = declaration::differences(&in_force, &declared);
    let code = if differences.is_empty() { 0 } else { error::CHECK_FAILED };
    let text = match context.output {
        output::Format::Json => output::to_json(&differences),
        output::Format::Table => render(in_force.number.0, &differences),
    };
    Ok(output::Report { text, exit_code: code })
}

fn render(number: u64, differences: &[declaration::Difference]) -> String {
    if differences.is_empty() {
        return format!("no difference from configuration {number}\n");
    }
    let mut text = format!("differences from configuration {number}:\n");
    for difference in differences {
        if let Some(value) = &difference.in_force {
            text.push_str(&format!("- {}: {value}\n", difference.path));
        }
        if let Some(value) = &difference.declared {
            text.push_str(&format!("+ {}: {value}\n", difference.path));
        }
    }
    text
}
