//! `watch`: changes of the fleet as they happen, and what they cost.

pub mod change;
pub mod tally;

use crate::{context, error, output, screen};
use clap::{Arg, ArgMatches, Command};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Examples of the command.
pub const EXAMPLES: &[&str] = &[
    "hyssopfork watch --control 127.0.0.1:7100",
    "hyssopfork watch --duration-s 60 --output json --control 127.0.0.1:7100",
];

/// The command.
pub fn command() -> Command {
    let number = |id: &'static str| {
        Arg::new(id).long(id).value_name("N").value_parser(clap::value_parser!(u64).range(1..))
    };
    super::described(
        "watch",
        "Print changes as they happen, and at the end what they cost",
        EXAMPLES,
    )
    .arg(number("duration-s").help("Time to watch; without it until interrupted"))
    .arg(number("every-ms").default_value("200").help("Time between two looks"))
}

/// Runs it.
pub async fn run(
    matches: &ArgMatches,
    context: &mut context::Context,
) -> Result<output::Report, error::Error> {
    let every = Duration::from_millis(*matches.get_one("every-ms").expect("has a default"));
    let duration = matches.get_one::<u64>("duration-s").map(|&s| Duration::from_secs(s));
    let started = Instant::now();
    let mut tally = tally::Tally::default();
    let mut last: Option<screen::Screen> = None;
    while duration.is_none_or(|duration| started.elapsed() < duration) {
        // A look that fails shows nothing; the fleet goes on without it, and so does the watch.
        let looked = context.client()?.status().await;
        match (looked, &last) {
            (Ok(status), _) => {
                let now = screen::draw(&status);
                tally.add(started.elapsed(), &now);
                print_changes(last.as_ref(), &now, context.output);
                last = Some(now);
            }
            (Err(error), None) => return Err(error),
            (Err(error), Some(_)) => eprintln!("hyssopfork: {error}"),
        }
        actix_rt::time::sleep(every).await;
    }
    let text = match context.output {
        output::Output::Json => output::json_line(&tally.summary()),
        output::Output::Table => tally.summary().render(),
    };
    Ok(output::Report::done(text))
}

fn print_changes(last: Option<&screen::Screen>, now: &screen::Screen, output: output::Output) {
    let Some(last) = last else { return };
    let at_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
    for change in change::between(last, now) {
        let text = match output {
            output::Output::Json => {
                let value = serde_json::json!({ "at_ms": at_ms as u64, "change": change });
                output::json_line(&value)
            }
            output::Output::Table => format!("{}.{:03} {change}\n", at_ms / 1000, at_ms % 1000),
        };
        output::print(&text);
    }
}
