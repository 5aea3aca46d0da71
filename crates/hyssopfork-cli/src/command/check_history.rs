//! `check-history`: checks the consistency of histories that `load` wrote.

use crate::{context, error, history, output};
use bytes::Bytes;
use clap::{Arg, ArgAction, ArgMatches, Command};
use hyssopfork_exchange::connection;
use std::time::Duration;
use std::{net, path};

/// Timeout for reading the counts of a back end.
const COUNTS_TIMEOUT: Duration = Duration::from_secs(5);

/// Examples, shown in the help.
pub const EXAMPLES: &[&str] =
    &["hyssopfork check-history run.jsonl --counts 127.0.0.1:9000,127.0.0.1:9001,127.0.0.1:9002"];

/// Defines the command.
pub fn command() -> Command {
    let about = "Check histories against the work that back ends ran; exit code 1 on a violation";
    super::leaf_command("check-history", about, EXAMPLES)
        .arg(
            Arg::new("files")
                .value_name("FILE")
                .required(true)
                .num_args(1..)
                .value_parser(clap::value_parser!(path::PathBuf))
                .help("Histories that `load --history` wrote"),
        )
        .arg(
            Arg::new("counts")
                .long("counts")
                .value_name("IP:PORT")
                .required(true)
                .action(ArgAction::Append)
                .value_delimiter(',')
                .value_parser(clap::value_parser!(net::SocketAddr))
                .help("Every back end of the non-repeatable routes; queried with GET /counts"),
        )
}

/// Runs the command.
pub async fn run(
    matches: &ArgMatches,
    context: &mut context::Context,
) -> Result<output::Report, error::Error> {
    let mut lines = Vec::new();
    for path in matches.get_many::<path::PathBuf>("files").expect("required by the parser") {
        lines.extend(history::read(path)?);
    }
    let mut counts = Vec::new();
    for &address in matches.get_many::<net::SocketAddr>("counts").expect("required") {
        counts.push(read_counts(address).await?);
    }
    let verdict = history::check(&lines, &counts);
    let text = match context.output {
        output::Format::Json => output::to_json(&verdict),
        output::Format::Table => render(&verdict),
    };
    Ok(output::Report {
        text,
        exit_code: if verdict.is_consistent() { 0 } else { error::CHECK_FAILED },
    })
}

async fn read_counts(address: net::SocketAddr) -> Result<history::Counts, error::Error> {
    let failed = |cause: String| error::Error::CountsUnavailable(address, cause);
    let body = actix_rt::time::timeout(COUNTS_TIMEOUT, fetch(address)).await;
    let body = body.map_err(|_| failed("no response in time".into()))?;
    let body = body.map_err(|cause| failed(cause.to_string()))?;
    serde_json::from_slice(&body).map_err(|cause| failed(cause.to_string()))
}

async fn fetch(address: net::SocketAddr) -> Result<Bytes, hyssopfork_exchange::error::Error> {
    let mut connection = connection::Connection::connect(address).await?;
    let request = connection::Request { method: "GET", path: "/counts", headers: &[] };
    connection.send(&request, Bytes::new()).await?;
    connection.read_head().await?;
    connection.read_rest().await
}

fn render(verdict: &history::Verdict) -> String {
    let mut table = output::Table::new(&["ENDED AS", "REQUESTS"]);
    for (outcome, count) in &verdict.outcomes {
        table.add_row([outcome.to_string(), count.to_string()]);
    }
    let result = if verdict.is_consistent() {
        "no violations: responses complete, rejections accurate, compared work ran at most once\n"
            .into()
    } else {
        format!("VIOLATIONS:\n  {}\n", verdict.violations.join("\n  "))
    };
    format!(
        "{}{} requests, {} references of non-repeatable work compared with back ends\n{result}",
        table.render(),
        verdict.requests,
        verdict.compared
    )
}
