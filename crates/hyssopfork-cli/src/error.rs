//! Why a command failed, with the exit code that scripts see.

use hyssopfork_wire::{number, patch};
use quick_error::quick_error;
use std::{io, net, path};

/// A check or comparison found something.
pub const CHECK_FAILED: u8 = 1;
const USAGE: u8 = 2;
const STALE: u8 = 3;
const REJECTED: u8 = 4;
const UNREACHABLE: u8 = 5;
const OUTCOME_UNKNOWN: u8 = 6;
const FILE_ERROR: u8 = 7;

/// Exit codes and their meaning, for the help.
pub const EXIT_CODES: &str = "\
Exit codes: 0 done; 1 a check found something; 2 wrong arguments; 3 the base number is stale; \
4 refused as invalid; 5 no control instance answered; 6 the outcome is not known; \
7 a file cannot be read or written.";

quick_error! {
    /// Why a command failed.
    #[derive(Debug)]
    pub enum Error {
        /// Arguments that the command line's parser could not judge.
        Usage(text: String) {
            display("{}; see --help", text)
        }
        /// The patch was written against a base number that is no longer in force: base, number in
        /// force, and patches accepted since.
        Stale(
            base: number::Configuration,
            current: number::Configuration,
            since: Vec<patch::Record>
        ) {
            display("{}", format_stale(*base, *current, since))
        }
        /// The patch or declaration breaks rules.
        Rejected(faults: Vec<String>) {
            display("refused, nothing was changed; correct it and submit again:\n  {}",
                faults.join("\n  "))
        }
        /// The patch's identifier was used for another patch.
        IdentifierReused(identifier: String) {
            display(
                "the identifier {} was used before with other content; leave --identifier out to \
                 get a new one",
                identifier
            )
        }
        /// No control instance answered; `sent` says whether the request may have come to one.
        Unreachable(failures: Vec<(net::SocketAddr, String)>, maybe_received: bool) {
            display(
                "no control instance answered; check --control (or HYSSOPFORK_CONTROL) and that \
                 they run:\n  {}",
                format_failures(failures)
            )
        }
        /// The control instances speak another protocol version.
        Protocol(speaks: u16) {
            display(
                "the control instance speaks protocol version {} and this program {}; use the \
                 hyssopfork of the control instances' release",
                speaks,
                hyssopfork_wire::envelope::PROTOCOL_VERSION
            )
        }
        /// A patch was sent and its outcome did not come back.
        OutcomeUnknown(identifier: String, failures: Vec<(net::SocketAddr, String)>) {
            display(
                "the patch was sent but its outcome did not come back; run the same command with \
                 --identifier {} to learn it: it is applied once at most\n  {}",
                identifier,
                format_failures(failures)
            )
        }
        /// A file cannot be read or written.
        File(path: path::PathBuf, cause: io::Error) {
            display("{}: {}; check the path and its permissions", path.display(), cause)
            source(cause)
        }
        /// A file has faults.
        InvalidFile(path: path::PathBuf, faults: Vec<String>) {
            display("{} has faults; correct them:\n  {}", path.display(), faults.join("\n  "))
        }
        /// A control instance answered with something else than was asked.
        UnexpectedResponse {
            display(
                "the control instance answered another question; use the hyssopfork of its release"
            )
        }
        /// None of so many log lines is about the request.
        NoSuchRequest(request: String, lines: usize) {
            display(
                "none of {} lines is about request {}; check the identifier, and give the logs of \
                 all processes that take callers' requests, at level info",
                lines,
                request
            )
        }
        /// A service that was asked for its counts did not answer.
        CountsUnavailable(address: net::SocketAddr, cause: String) {
            display("cannot read counts from {}: {}; check --counts", address, cause)
        }
    }
}

impl Error {
    /// Exit code of the program.
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
    let lines: Vec<String> = failures.iter().map(|(at, fault)| format!("{at}: {fault}")).collect();
    lines.join("\n  ")
}

fn format_stale(
    base: number::Configuration,
    current: number::Configuration,
    since: &[patch::Record],
) -> String {
    let mut text = format!(
        "refused, nothing was changed: written against number {base}, but {current} is in force. "
    );
    if since.is_empty() {
        text.push_str("What changed since is no longer kept; ");
    } else {
        text.push_str("Meanwhile:\n");
        for record in since {
            let summary = record.summary.join("; ");
            text.push_str(&format!("  {} by {}: {summary}\n", record.number, record.author));
        }
    }
    text.push_str(&format!(
        "Look at `hyssopfork config show`, adapt your change, and submit it with --base {current}."
    ));
    text
}
