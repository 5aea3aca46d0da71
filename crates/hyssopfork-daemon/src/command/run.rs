//! `hyssopforkd run`: runs the process that a settings file describes.

use crate::process as daemon;
use clap::{Arg, ArgMatches, Command, value_parser};
use hyssopfork_settings::settings;
use std::path::PathBuf;
use std::process;

pub fn command() -> Command {
    Command::new("run")
        .about("Run the process that a settings file describes")
        .after_help("Example:\n  hyssopforkd run --settings entry-1.jsonc")
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("Settings in JSON with comments; see `hyssopforkd settings --default`"),
        )
}

pub fn run(matches: &ArgMatches) -> process::ExitCode {
    let path = matches.get_one::<PathBuf>("settings").expect("clap requires it");
    let settings = match settings::read(path) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{}: {error}", path.display());
            return process::ExitCode::from(super::USAGE);
        }
    };
    match daemon::run(&settings) {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("hyssopforkd: {error}");
            process::ExitCode::from(super::FAILED)
        }
    }
}
