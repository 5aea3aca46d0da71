//! Disaster recovery for operators: makes a surviving voter the only voter after a majority was
//! lost.
//!
//! Usage: `stand_alone FOLDER INSTANCE`, with every control process stopped; see
//! docs/operations/lost-quorum.md.

use hyssopfork_consensus::recovery;
use hyssopfork_wire::name;
use std::{env, path, process};

const USAGE: &str = "usage: stand_alone FOLDER INSTANCE (stop every control process first)";

fn main() -> process::ExitCode {
    let arguments: Vec<String> = env::args().skip(1).collect();
    let [folder, instance] = arguments.as_slice() else {
        eprintln!("{USAGE}");
        return process::ExitCode::from(2);
    };
    let instance = name::Instance::from(instance.as_str());
    match recovery::make_sole_voter(path::Path::new(folder), &instance) {
        Ok(recovery) => report(&recovery),
        Err(error) => {
            eprintln!("{error}");
            process::ExitCode::FAILURE
        }
    }
}

fn report(recovery: &recovery::Recovery) -> process::ExitCode {
    println!("kept the log up to index {}", recovery.last_index);
    for voter in &recovery.removed_voters {
        println!("{}: wipe its data folder before it starts again", voter.instance);
    }
    process::ExitCode::SUCCESS
}
