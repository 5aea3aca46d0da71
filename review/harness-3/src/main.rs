//! Case review/9: `harness-3 cold-zone RECORD`, run at the root of the repository.
//!
//! Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. `TROUBLE=0` leaves
//! the disruption out.

mod clients;
mod cold_zone;
mod http;
mod record;
mod runner;
mod system;

use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;

/// What became of a case.
pub enum Outcome {
    Held,
    Broken,
    CouldNotRun(&'static str),
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, path] = arguments.as_slice() else {
        println!("usage: harness-3 CASE RECORD");
        return ExitCode::from(2);
    };
    let record = Arc::new(record::Record::create(Path::new(path)));
    let has_trouble = std::env::var("TROUBLE").map_or(true, |it| it != "0");
    record.line(&format!("case {case}, disruption: {has_trouble}"));
    let outcome = match case.as_str() {
        "cold-zone" => cold_zone::run(has_trouble, &record),
        _ => Outcome::CouldNotRun("no such case"),
    };
    match outcome {
        Outcome::Held => {
            record.say("the rule held");
            ExitCode::SUCCESS
        }
        Outcome::Broken => {
            record.say("the rule was broken");
            ExitCode::from(1)
        }
        Outcome::CouldNotRun(why) => {
            record.say(&format!("the case could not run: {why}"));
            ExitCode::from(2)
        }
    }
}
