//! Writes the settings of every process of a trial: `lay_out LAYOUT FOLDER`.
//!
//! FOLDER receives one settings file per process, with free loopback ports, and the file `manifest`
//! with one line per process.

use clap::{Arg, Command};
use hyssopfork_test_support::layout;
use std::{fs, io, path};

fn main() -> io::Result<()> {
    let argument = |id: &'static str| {
        Arg::new(id).required(true).value_parser(clap::value_parser!(path::PathBuf))
    };
    let matches = Command::new("lay_out")
        .about("Write the settings of every process of a trial")
        .arg(argument("layout").help("Layout file of an example"))
        .arg(argument("folder").help("Folder for the settings; created if it doesn't exist"))
        .get_matches();
    let path = |id| matches.get_one::<path::PathBuf>(id).expect("required by the parser");
    let layout = layout::read(path("layout"))?;
    fs::create_dir_all(path("folder"))?;
    let folder = path("folder").canonicalize()?;
    let processes = layout::plan_processes(&layout, &folder)?;
    layout::write(&processes, &folder)
}
