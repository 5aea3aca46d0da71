//! Changes between polls, and their cost.

use crate::support::{Control, run, status};
use hyssopfork_cli::command::watch::{change, tally};
use hyssopfork_cli::overview;
use hyssopfork_wire::{control, number};
use std::time::Duration;

fn degraded_status() -> control::Status {
    let mut status = status();
    status.view.members.get_mut(&"runner-2".into()).expect("a member").present = false;
    status.view.configuration.number = number::Configuration(2);
    status.view.configuration.zones.get_mut(&"lekki".into()).expect("declared").out = true;
    status
}

#[test]
fn each_change_is_one_line() {
    let (before, after) = (overview::build(&status()), overview::build(&degraded_status()));

    let lines = change::diff(&before, &after);

    let expected = [
        "configuration 2 is accepted",
        "zone lekki: in service -> out",
        "group summaries-1: serving (fence 7) -> incomplete (fence 7)",
        "instance runner-2: ready -> missing",
    ];
    assert_eq!(lines, expected);
}

#[test]
fn no_change_gives_no_line() {
    let overview = overview::build(&status());

    let lines = change::diff(&overview, &overview);

    assert_eq!(lines, [""; 0]);
}

#[test]
fn downtime_and_stranded_accelerators_are_summed_over_polls() {
    let (healthy, degraded) = (overview::build(&status()), overview::build(&degraded_status()));
    let mut tally = tally::Tally::default();

    tally.record(Duration::from_secs(1), &healthy);
    tally.record(Duration::from_secs(2), &degraded);
    tally.record(Duration::from_secs(4), &degraded);
    tally.record(Duration::from_secs(5), &healthy);

    let summary = tally.summary();
    assert_eq!(summary.group_down_ms["summaries-1"], 3_000);
    assert_eq!(summary.stranded_accelerator_seconds, 12.0);
    assert_eq!(summary.max_stranded, 4);
}

#[actix_rt::test]
async fn watch_ends_after_its_duration_with_the_totals() {
    let respond = |_: &control::Request| control::Response::Status(Box::new(status()));
    let (leader, _) = Control::start(respond).await;
    let arguments = format!("watch --duration-s 1 --every-ms 50 --output json --control {leader}");

    let report = run(&arguments).await.expect("watched");

    let value: serde_json::Value = serde_json::from_str(&report.text).expect("one JSON line");
    assert_eq!(value["down_ms"], 0);
    assert!(value["looks"].as_u64().expect("a number") > 1);
}
