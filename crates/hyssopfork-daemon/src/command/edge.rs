//! `hyssopforkd edge`: runs the entry and control roles for upstreams that register themselves.

use crate::edge::process as daemon;
use clap::{Arg, ArgMatches, Command, value_parser};
use hyssopfork_settings::edge;
use std::path::PathBuf;
use std::process;

pub fn command() -> Command {
    Command::new("edge")
        .about("Run entry and control of a fleet whose upstreams register themselves")
        .after_help("Example:\n  hyssopforkd edge --settings edge-1.jsonc")
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("Settings in JSON with comments; see docs/settings.md"),
        )
}

pub fn run(matches: &ArgMatches) -> process::ExitCode {
    let path = matches.get_one::<PathBuf>("settings").expect("clap requires it");
    let (settings, text) = match edge::read(path) {
        Ok(read) => read,
        Err(error) => {
            eprintln!("{}: {error}", path.display());
            return process::ExitCode::from(super::USAGE);
        }
    };
    match daemon::run(&settings, path, text) {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("hyssopforkd: {error}");
            process::ExitCode::from(super::FAILED)
        }
    }
}
