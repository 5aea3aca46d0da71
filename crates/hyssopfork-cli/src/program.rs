//! Entry point: parses arguments, runs the command and sets the exit code.

use crate::{command, context, error, output};
use clap::ArgMatches;
use std::process::ExitCode;

/// Runs the program with the process's arguments.
pub fn main() -> ExitCode {
    let matches = command::command().get_matches();
    let as_json = matches.get_one::<String>("output").is_some_and(|output| output == "json");
    match actix_rt::System::new().block_on(run(&matches)) {
        Ok(report) => {
            output::print(&report.text);
            ExitCode::from(report.exit_code)
        }
        Err(error) => {
            print_error(&error, as_json);
            ExitCode::from(error.exit_code())
        }
    }
}

/// Runs a parsed command.
pub async fn run(matches: &ArgMatches) -> Result<output::Report, error::Error> {
    let mut context = context::Context::read(matches)?;
    command::run(matches, &mut context).await
}

fn print_error(error: &error::Error, as_json: bool) {
    if as_json {
        let value = serde_json::json!({ "error": error.to_string(), "code": error.exit_code() });
        eprint!("{}", output::to_json_line(&value));
    } else {
        eprintln!("hyssopfork: {error}");
    }
}
