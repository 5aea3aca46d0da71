//! `hyssopforkd check`: checks a settings file without running anything.

use clap::{Arg, ArgMatches, Command, value_parser};
use hyssopfork_settings::settings;
use std::path::PathBuf;
use std::process;

pub fn command() -> Command {
    Command::new("check")
        .about("Check a settings file and report every fault of it")
        .after_help("Example:\n  hyssopforkd check entry-1.jsonc")
        .arg(
            Arg::new("file")
                .value_name("FILE")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("Settings in JSON with comments"),
        )
}

pub fn run(matches: &ArgMatches) -> process::ExitCode {
    let path = matches.get_one::<PathBuf>("file").expect("clap requires it");
    match settings::read(path) {
        Ok(_) => {
            println!("{}: no fault found", path.display());
            process::ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("{}: {error}", path.display());
            process::ExitCode::from(super::USAGE)
        }
    }
}
