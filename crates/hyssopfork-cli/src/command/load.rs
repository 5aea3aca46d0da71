//! `load`: sends requests of a plan at their due times and summarizes the responses.

use crate::load::{plan, run, schedule, summary};
use crate::{context, declaration, error, history, output};
use clap::{Arg, ArgAction, ArgMatches, Command, builder};
use std::time::Duration;
use std::{fs, net, path};

/// Examples, shown in the help.
pub const EXAMPLES: &[&str] = &[
    "hyssopfork load examples/levy-reporting/load.json --entry 127.0.0.1:8080 --rate 50 \
     --duration-s 20",
    "hyssopfork load plan.json --entry 127.0.0.1:8080,127.0.0.1:8081 --rate 200 \
     --arrivals constant --resend-percent 10 --history run.jsonl --seed 7",
];

/// Defines the command.
pub fn command() -> Command {
    super::leaf_command(
        "load",
        "Send requests at a fixed rate and summarize the responses",
        EXAMPLES,
    )
    .arg(
        Arg::new("plan")
            .value_name("PLAN")
            .required(true)
            .value_parser(clap::value_parser!(path::PathBuf))
            .help("Teams and routes with their shares, in JSON with comments"),
    )
    .arg(
        Arg::new("entry")
            .long("entry")
            .value_name("IP:PORT")
            .required(true)
            .action(ArgAction::Append)
            .value_delimiter(',')
            .value_parser(clap::value_parser!(net::SocketAddr))
            .help("Entries, used in rotation"),
    )
    .args(number_arguments())
    .arg(
        Arg::new("arrivals")
            .long("arrivals")
            .value_parser(["poisson", "constant"])
            .default_value("poisson")
            .help("Distribution of arrivals"),
    )
    .arg(
        Arg::new("history")
            .long("history")
            .value_name("FILE")
            .value_parser(clap::value_parser!(path::PathBuf))
            .help("File for the history, one JSON line per request"),
    )
    .arg(
        Arg::new("label")
            .long("label")
            .value_name("TEXT")
            .default_value("load")
            .help("Prefix of every request's reference; give each run its own"),
    )
}

fn number_arguments() -> [Arg; 6] {
    let number = |id: &'static str, default: &'static str, least: u64, help: &'static str| {
        let parser = builder::RangedU64ValueParser::<u64>::new().range(least..=1_000_000);
        let argument = Arg::new(id).long(id).value_name("N").default_value(default);
        argument.value_parser(parser).help(help)
    };
    [
        number("rate", "20", 1, "Requests per second"),
        number("duration-s", "10", 1, "Period during which requests are sent"),
        number("seed", "1", 0, "Seed of the random number generator"),
        number("resend-percent", "0", 0, "Percentage of requests with a key that are sent twice"),
        number("caller-timeout-ms", "30000", 1, "Time after which a client gives up"),
        number("outstanding", "2000", 1, "Most requests in flight"),
    ]
}

/// Runs the command.
pub async fn run(
    matches: &ArgMatches,
    context: &mut context::Context,
) -> Result<output::Report, error::Error> {
    let options = read_options(matches)?;
    let records = run::run(options).await;
    if let Some(path) = matches.get_one::<path::PathBuf>("history") {
        write_history(path, &records)?;
    }
    let summary = summary::summarize(&records);
    let text = match context.output {
        output::Format::Json => output::to_json(&summary),
        output::Format::Table => summary.render(),
    };
    Ok(output::Report::success(text))
}

fn read_options(matches: &ArgMatches) -> Result<run::Options, error::Error> {
    let path = matches.get_one::<path::PathBuf>("plan").expect("required by the parser");
    let plan: plan::Plan = declaration::read_json(path)?;
    let errors = plan.validate();
    if !errors.is_empty() {
        return Err(error::Error::InvalidFile(path.clone(), errors));
    }
    let number = |id| *matches.get_one::<u64>(id).expect("has a default");
    let text = |id| matches.get_one::<String>(id).expect("has a default").as_str();
    let entries = matches.get_many::<net::SocketAddr>("entry").expect("required by the parser");
    let arrivals: schedule::Arrivals = text("arrivals").parse().expect("checked by the parser");
    Ok(run::Options {
        entries: entries.copied().collect(),
        plan,
        rate: number("rate") as f64,
        arrivals,
        duration: Duration::from_secs(number("duration-s")),
        seed: number("seed"),
        resend_percent: number("resend-percent") as u32,
        request_timeout: Duration::from_millis(number("caller-timeout-ms")),
        max_in_flight: number("outstanding") as usize,
        reference_prefix: text("label").to_owned(),
    })
}

fn write_history(path: &path::Path, records: &[history::Record]) -> Result<(), error::Error> {
    let text: String = records.iter().map(output::to_json_line).collect();
    fs::write(path, text).map_err(|cause| error::Error::File(path.to_owned(), cause))
}
