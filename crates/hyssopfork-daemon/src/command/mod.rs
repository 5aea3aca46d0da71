//! Subcommands of `hyssopforkd`.

mod check;
mod edge;
mod run;
mod settings;

use clap::Command;
use std::process;

/// Exit code for an invalid command line or invalid settings.
const USAGE: u8 = 2;

/// Exit code for a process that could not start or continue.
const FAILED: u8 = 1;

/// Parses the command line and runs the subcommand.
pub fn main() -> process::ExitCode {
    let matches = program().get_matches();
    match matches.subcommand() {
        Some(("run", matches)) => run::run(matches),
        Some(("edge", matches)) => edge::run(matches),
        Some(("check", matches)) => check::run(matches),
        Some(("settings", matches)) => settings::run(matches),
        _ => process::ExitCode::from(USAGE),
    }
}

/// The program's command line.
pub fn program() -> Command {
    Command::new("hyssopforkd")
        .about("Daemon of the control, entry and agent roles")
        .version(clap::crate_version!())
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(run::command())
        .subcommand(edge::command())
        .subcommand(check::command())
        .subcommand(settings::command())
}
