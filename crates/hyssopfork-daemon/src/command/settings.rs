//! `hyssopforkd settings`: prints a commented settings file with every default.

use clap::{Arg, ArgAction, ArgMatches, Command};
use hyssopfork_settings::settings;
use std::process;

pub fn command() -> Command {
    Command::new("settings")
        .about("Print a commented settings file")
        .after_help("Example:\n  hyssopforkd settings --default > entry-1.jsonc")
        .arg(
            Arg::new("default")
                .long("default")
                .required(true)
                .action(ArgAction::SetTrue)
                .help("Print every key with its default"),
        )
}

pub fn run(_matches: &ArgMatches) -> process::ExitCode {
    print!("{}", settings::default_text());
    process::ExitCode::SUCCESS
}
