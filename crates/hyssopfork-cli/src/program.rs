//! From arguments to exit code.

use crate::{command, context, error, output};
use clap::ArgMatches;
use std::process::ExitCode;

/// Runs the program with the process's arguments.
pub fn main() -> ExitCode {
    let matches = command::command().get_matches();
    let json = matches.get_one::<String>("output").is_some_and(|output| output == "json");
    match actix_rt::System::new().block_on(run(&matches)) {
        Ok(report) => {
            output::print(&report.text);
            ExitCode::from(report.code)
        }
        Err(error) => {
            complain(&error, json);
            ExitCode::from(error.code())
        }
    }
}

/// Runs one parsed command.
pub async fn run(matches: &ArgMatches) -> Result<output::Report, error::Error> {
    let mut context = context::Context::read(matches)?;
    command::run(matches, &mut context).await
}

fn complain(error: &error::Error, json: bool) {
    if json {
        let value = serde_json::json!({ "error": error.to_string(), "code": error.code() });
        eprint!("{}", output::json_line(&value));
    } else {
        eprintln!("hyssopfork: {error}");
    }
}
