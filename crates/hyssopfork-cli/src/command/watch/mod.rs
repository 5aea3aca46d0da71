//! `watch`: prints changes of the fleet as they happen, and their cost at the end.

pub mod change;
pub mod tally;

use crate::{context, error, output, overview};
use clap::{Arg, ArgMatches, Command};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Examples, shown in the help.
pub const EXAMPLES: &[&str] = &[
    "hyssopfork watch --control 127.0.0.1:7100",
    "hyssopfork watch --duration-s 60 --output json --control 127.0.0.1:7100",
];

/// Defines the command.
pub fn command() -> Command {
    let number = |id: &'static str| {
        Arg::new(id).long(id).value_name("N").value_parser(clap::value_parser!(u64).range(1..))
    };
    super::leaf_command(
        "watch",
        "Print changes as they happen, and their cost at the end",
        EXAMPLES,
    )
    .arg(number("duration-s").help("Time to watch; default: until interrupted"))
    .arg(number("every-ms").default_value("200").help("Time between two polls"))
}

/// Runs the command.
pub async fn run(
    matches: &ArgMatches,
    context: &mut context::Context,
) -> Result<output::Report, error::Error> {
    let interval = Duration::from_millis(*matches.get_one("every-ms").expect("has a default"));
    let duration = matches.get_one::<u64>("duration-s").map(|&s| Duration::from_secs(s));
    let started = Instant::now();
    let mut tally = tally::Tally::default();
    let mut previous: Option<overview::Overview> = None;
    while duration.is_none_or(|duration| started.elapsed() < duration) {
        // Only a failed first poll is fatal; the fleet works without polls, so watching continues.
        let polled = context.client()?.status().await;
        match (polled, &previous) {
            (Ok(status), _) => {
                let current = overview::build(&status);
                tally.record(started.elapsed(), &current);
                print_changes(previous.as_ref(), &current, context.output);
                previous = Some(current);
            }
            (Err(error), None) => return Err(error),
            (Err(error), Some(_)) => eprintln!("hyssopfork: {error}"),
        }
        actix_rt::time::sleep(interval).await;
    }
    let text = match context.output {
        output::Format::Json => output::to_json_line(&tally.summary()),
        output::Format::Table => tally.summary().render(),
    };
    Ok(output::Report::success(text))
}

fn print_changes(
    previous: Option<&overview::Overview>,
    current: &overview::Overview,
    format: output::Format,
) {
    let Some(previous) = previous else { return };
    let at_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
    for change in change::diff(previous, current) {
        let text = match format {
            output::Format::Json => {
                let value = serde_json::json!({ "at_ms": at_ms as u64, "change": change });
                output::to_json_line(&value)
            }
            output::Format::Table => format!("{}.{:03} {change}\n", at_ms / 1000, at_ms % 1000),
        };
        output::print(&text);
    }
}
