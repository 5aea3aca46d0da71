//! Capacity benchmark: measures the resource use of each role and how it scales.
//!
//! `scripts/capacity` starts the processes and runs this program, which varies watchers, changes,
//! requests, tokens, claims and group sizes, reads processor time and memory of the processes from
//! the operating system, and prints a table of lines fitted to at least four sizes each.

mod clients;
mod experiment;
mod fit;
mod operator;
mod table;
mod usage;
mod watchers;

use clap::{Arg, ArgAction, Command};
use std::{io, path};

fn main() -> io::Result<()> {
    let path = |id: &'static str| {
        Arg::new(id).required(true).value_parser(clap::value_parser!(path::PathBuf))
    };
    let matches = Command::new("capacity")
        .about("Measure what each role costs and how it grows")
        .arg(Arg::new("bench").long("bench").hide(true).action(ArgAction::SetTrue))
        .arg(path("manifest").help("Manifest of the processes, from lay_out"))
        .arg(path("processes").help("File with one line a process: instance, process id"))
        .get_matches();
    let path = |id| matches.get_one::<path::PathBuf>(id).expect("required by the parser");
    let fleet = usage::Fleet::read(path("manifest"), path("processes"))?;
    actix_rt::System::new().block_on(experiment::run_all(&fleet));
    Ok(())
}
