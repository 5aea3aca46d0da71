//! The program `hyssopfork`.

use hyssopfork_cli::program;
use std::process::ExitCode;

fn main() -> ExitCode {
    program::main()
}
