//! Errors of commands, and the exit codes that scripts see.

use hyssopfork_wire::{number, patch};
use quick_error::quick_error;
use std::{io, net, path};

/// Exit code if a check or comparison found a problem.
pub const CHECK_FAILED: u8 = 1;
const USAGE: u8 = 2;
const STALE: u8 = 3;
const REJECTED: u8 = 4;
const UNREACHABLE: u8 = 5;
const OUTCOME_UNKNOWN: u8 = 6;
const FILE_ERROR: u8 = 7;

/// Exit codes and their meaning, shown in the help.
pub const EXIT_CODES: &str = "\
Exit codes: 0 done; 1 a check found something; 2 wrong arguments; 3 the base number is stale; \
4 refused as invalid; 5 no control instance answered; 6 the outcome is not known; \
7 a file cannot be read or written.";

quick_error! {
    /// Error of a command.
    #[derive(Debug)]
    pub enum Error {
        /// Invalid arguments that the command line parser does not catch.
        Usage(text: String) {
            display("{}; see --help", text)
        }
        /// The base number of the patch is no longer in force: base, number in force, and patches
        /// accepted since.
        Stale(
            base: number::Configuration,
            current: number::Configuration,
            since: Vec<patch::Record>
        ) {
            display("{}", format_stale(*base, *current, since))
        }
        /// The patch breaks rules of configurations.
        Rejected(errors: Vec<String>) {
            display("rejected, nothing was changed; correct it and submit again:\n  {}",
                errors.join("\n  "))
        }
        /// The identifier of the patch was used for another patch.
        IdentifierReused(identifier: String) {
            display(
                "the identifier {} was already used for another patch; omit --identifier to get a \
                 new one",
                identifier
            )
        }
        /// No control instance responded; `maybe_received` says whether one may have received the
        /// request.
        Unreachable(failures: Vec<(net::SocketAddr, String)>, maybe_received: bool) {
            display(
                "no control instance responded; check --control (or HYSSOPFORK_CONTROL) and that \
                 they are running:\n  {}",
                format_failures(failures)
            )
        }
        /// The control instances use another protocol version.
        Protocol(speaks: u16) {
            display(
                "the control instance uses protocol version {} and this program {}; use the \
                 hyssopfork binary of the control instances' release",
                speaks,
                hyssopfork_wire::envelope::PROTOCOL_VERSION
            )
        }
        /// A patch was sent and its outcome was not received.
        OutcomeUnknown(identifier: String, failures: Vec<(net::SocketAddr, String)>) {
            display(
                "the patch was sent but its outcome was not received; run the same command with \
                 --identifier {} to get it: the patch is applied at most once\n  {}",
                identifier,
                format_failures(failures)
            )
        }
        /// A file cannot be read or written.
        File(path: path::PathBuf, cause: io::Error) {
            display("{}: {}; check the path and its permissions", path.display(), cause)
            source(cause)
        }
        /// A file is invalid.
        InvalidFile(path: path::PathBuf, errors: Vec<String>) {
            display("{} is invalid; correct it:\n  {}", path.display(), errors.join("\n  "))
        }
        /// The type of the response does not match the request.
        UnexpectedResponse {
            display(
                "unexpected response from the control instance; use the hyssopfork binary of \
                 its release"
            )
        }
        /// None of the log lines belongs to the request.
        NoSuchRequest(request: String, lines: usize) {
            display(
                "none of {} log lines belongs to request {}; check the identifier, and give the \
                 logs of all processes that accept clients' requests, at level info",
                lines,
                request
            )
        }
        /// The counts of a back end cannot be read.
        CountsUnavailable(address: net::SocketAddr, cause: String) {
            display("cannot read counts from {}: {}; check --counts", address, cause)
        }
    }
}

impl Error {
    /// Exit code of the program for this error.
    pub fn exit_code(&self) -> u8 {
        match self {
            Error::Usage(_) => USAGE,
            Error::Stale(..) => STALE,
            Error::Rejected(_) | Error::IdentifierReused(_) | Error::InvalidFile(..) => REJECTED,
            Error::Unreachable(..) | Error::Protocol(_) | Error::UnexpectedResponse => UNREACHABLE,
            Error::CountsUnavailable(..) => UNREACHABLE,
            Error::OutcomeUnknown(..) => OUTCOME_UNKNOWN,
            Error::NoSuchRequest(..) => CHECK_FAILED,
            Error::File(..) => FILE_ERROR,
        }
    }
}

fn format_failures(failures: &[(net::SocketAddr, String)]) -> String {
    let lines: Vec<String> =
        failures.iter().map(|(address, reason)| format!("{address}: {reason}")).collect();
    lines.join("\n  ")
}

fn format_stale(
    base: number::Configuration,
    current: number::Configuration,
    since: &[patch::Record],
) -> String {
    let mut text = format!(
        "rejected, nothing was changed: based on number {base}, but {current} is in force. "
    );
    if since.is_empty() {
        text.push_str("The changes since then are no longer stored; ");
    } else {
        text.push_str("Accepted since then:\n");
        for record in since {
            let summary = record.summary.join("; ");
            text.push_str(&format!("  {} by {}: {summary}\n", record.number, record.author));
        }
    }
    text.push_str(&format!(
        "See `hyssopfork config show`, adapt your change, and submit it with --base {current}."
    ));
    text
}
