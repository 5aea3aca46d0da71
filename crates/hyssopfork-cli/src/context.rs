//! Arguments and state that all commands share.

use crate::{client, error, output};
use clap::{Arg, ArgAction, ArgMatches};
use hyssopfork_wire::name;
use std::time::Duration;
use std::{env, net};

/// Environment variable with the addresses of the control instances.
pub const CONTROL_ENV_VAR: &str = "HYSSOPFORK_CONTROL";

/// Shared state of one invocation.
#[derive(Debug)]
pub struct Context {
    /// Client of the control instances; `None` if no addresses were given.
    pub control: Option<client::Client>,
    /// Format in which results are printed.
    pub output: output::Format,
    /// Author recorded with submitted patches.
    pub operator: name::Operator,
}

/// Arguments that every command accepts.
pub fn arguments() -> [Arg; 4] {
    [
        Arg::new("control")
            .long("control")
            .value_name("IP:PORT")
            .action(ArgAction::Append)
            .value_delimiter(',')
            .value_parser(clap::value_parser!(net::SocketAddr))
            .global(true)
            .help(format!("Control instances, separated by commas; default: {CONTROL_ENV_VAR}")),
        Arg::new("output")
            .long("output")
            .value_parser(["table", "json"])
            .default_value("table")
            .global(true)
            .help("Output format"),
        Arg::new("operator")
            .long("operator")
            .value_name("NAME")
            .global(true)
            .help("Author of submitted patches, shown in the history; default: USER"),
        Arg::new("timeout-ms")
            .long("timeout-ms")
            .value_name("MS")
            .value_parser(clap::value_parser!(u64).range(1..))
            .default_value("10000")
            .global(true)
            .help("Timeout of a request to the control instances"),
    ]
}

impl Context {
    /// Reads the shared arguments.
    pub fn read(matches: &ArgMatches) -> Result<Context, error::Error> {
        let output = matches.get_one::<String>("output").expect("has a default");
        let timeout_ms = *matches.get_one::<u64>("timeout-ms").expect("has a default");
        let arguments = matches.get_many::<net::SocketAddr>("control");
        let addresses = match arguments {
            Some(addresses) => addresses.copied().collect(),
            None => addresses_from_env()?,
        };
        let control = (!addresses.is_empty())
            .then(|| client::Client::new(addresses, Duration::from_millis(timeout_ms)));
        Ok(Context {
            control,
            output: output.parse().expect("checked by the parser"),
            operator: read_operator(matches)?,
        })
    }

    /// Returns the client, or a usage error if no control instances were given.
    pub fn client(&mut self) -> Result<&mut client::Client, error::Error> {
        let usage_error = || {
            let text =
                format!("give the control instances with --control IP:PORT or {CONTROL_ENV_VAR}");
            error::Error::Usage(text)
        };
        self.control.as_mut().ok_or_else(usage_error)
    }
}

fn addresses_from_env() -> Result<Vec<net::SocketAddr>, error::Error> {
    let Ok(text) = env::var(CONTROL_ENV_VAR) else { return Ok(Vec::new()) };
    let parts = text.split(',').map(str::trim).filter(|part| !part.is_empty());
    let parsed = parts.map(|part| {
        part.parse().map_err(|_| {
            let text = format!("{CONTROL_ENV_VAR} contains {part:?}; expected IP:PORT,IP:PORT,...");
            error::Error::Usage(text)
        })
    });
    parsed.collect()
}

fn read_operator(matches: &ArgMatches) -> Result<name::Operator, error::Error> {
    let argument = matches.get_one::<String>("operator").cloned();
    let text = argument.or_else(|| env::var("USER").ok()).unwrap_or_else(|| "operator".into());
    if name::is_valid(&text) {
        return Ok(name::Operator::new(text));
    }
    Err(error::Error::Usage(format!(
        "{text:?} is not a valid operator name; give --operator with lower-case letters, digits, \
         '-', '_' or '.'"
    )))
}
