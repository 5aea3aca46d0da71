//! The daemon of the control, entry and agent roles.

use std::process;

fn main() -> process::ExitCode {
    hyssopfork_daemon::command::main()
}
