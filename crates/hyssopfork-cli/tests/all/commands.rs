//! Commands against a control instance.

use crate::support::{Control, run, status};
use hyssopfork_wire::{control, number, patch};
use std::net::SocketAddr;

async fn start_with_outcome(outcome: patch::Outcome) -> (SocketAddr, Control) {
    Control::start(move |request| match request {
        control::Request::Status => control::Response::Status(Box::new(status())),
        control::Request::Submit(_) => control::Response::Submitted(outcome.clone()),
        control::Request::History(_) => control::Response::History(vec![record()]),
        _ => control::Response::Unavailable,
    })
    .await
}

fn record() -> patch::Record {
    patch::Record {
        number: number::Configuration(5),
        identifier: patch::Identifier("p-5".into()),
        author: "bisi".into(),
        summary: vec!["zone lekki out".into()],
    }
}

fn accepted() -> patch::Outcome {
    patch::Outcome::Accepted(number::Configuration(2))
}

fn submitted(control: &Control) -> patch::Patch {
    let patch = control.requests().into_iter().find_map(|request| match request {
        control::Request::Submit(patch) => Some(patch),
        _ => None,
    });
    patch.expect("a patch was submitted")
}

#[actix_rt::test]
async fn base_defaults_to_the_number_in_force() {
    let (leader, control) = start_with_outcome(accepted()).await;

    run(&format!("zone in lekki --operator ada --control {leader}")).await.expect("accepted");

    let patch = submitted(&control);
    assert_eq!(patch.base, number::Configuration(1));
    assert_eq!(patch.author.as_str(), "ada");
    assert_eq!(patch.operations, [patch::Operation::SetZoneOut("lekki".into(), false)]);
}

#[actix_rt::test]
async fn stale_patch_reports_later_changes_and_authors_and_is_not_rebased() {
    let since = vec![record()];
    let (leader, control) =
        start_with_outcome(patch::Outcome::Stale { current: number::Configuration(5), since })
            .await;
    let arguments = format!("zone out lekki --base 4 --control {leader}");

    let error = run(&arguments).await.expect_err("stale");

    assert_eq!(error.exit_code(), 3);
    let text = error.to_string();
    assert!(text.contains("5 by bisi: zone lekki out"), "{text}");
    assert!(text.contains("--base 5"), "{text}");
    assert_eq!(control.requests().len(), 1);
}

#[actix_rt::test]
async fn rejected_patch_reports_every_error() {
    let errors = vec!["first error".to_owned(), "second error".to_owned()];
    let (leader, _) = start_with_outcome(patch::Outcome::Invalid(errors)).await;
    let arguments = format!("group remove summaries-1 --base 1 --control {leader}");

    let error = run(&arguments).await.expect_err("refused");

    assert_eq!(error.exit_code(), 4);
    assert!(error.to_string().contains("first error\n  second error"), "{error}");
}

#[actix_rt::test]
async fn group_is_created_as_declared() {
    let (leader, control) = start_with_outcome(accepted()).await;
    let arguments = "group create g --pool hyssop-pool --model m --size 2 --priority 5";

    run(&format!("{arguments} --control {leader}")).await.expect("accepted");

    let group = hyssopfork_wire::configuration::Group {
        pool: "hyssop-pool".into(),
        model: "m".into(),
        size: 2,
        priority: 5,
    };
    let expected = patch::Operation::PutGroup("g".into(), group);
    assert_eq!(submitted(&control).operations, [expected]);
}

#[actix_rt::test]
async fn history_shows_number_author_and_change() {
    let (leader, _) = start_with_outcome(accepted()).await;

    let report = run(&format!("config history --control {leader}")).await.expect("answered");

    let line = report.text.lines().nth(1).expect("one record");
    let cells: Vec<&str> = line.split("  ").map(str::trim).filter(|c| !c.is_empty()).collect();
    assert_eq!(cells, ["5", "bisi", "p-5", "zone lekki out"]);
}

#[actix_rt::test]
async fn status_shows_the_fleet_and_its_check_passes() {
    let (leader, _) = start_with_outcome(accepted()).await;

    let report = run(&format!("status --check --control {leader}")).await.expect("answered");

    assert_eq!(report.exit_code, 0);
    for expected in ["configuration 1  in force everywhere", "control-1", "serving", "leads"] {
        assert!(report.text.contains(expected), "{expected} in {}", report.text);
    }
}

#[actix_rt::test]
async fn lists_are_printed_as_json() {
    let (leader, _) = start_with_outcome(accepted()).await;

    for list in ["instance list", "upstream list --zone ikeja", "group list", "status"] {
        let arguments = format!("{list} --output json --control {leader}");
        let report = run(&arguments).await.expect("answered");

        let value: serde_json::Value = serde_json::from_str(&report.text).expect("JSON");
        assert!(value.is_array() || value.is_object(), "{list}");
    }
}

#[actix_rt::test]
async fn upstream_list_is_filtered_by_zone() {
    let (leader, _) = start_with_outcome(accepted()).await;
    let arguments = format!("upstream list --zone lekki --control {leader}");

    let report = run(&arguments).await.expect("answered");

    assert!(!report.text.contains("runner-1"), "{}", report.text);
}

// A misspelt name drains nothing, while the operator assumes that the upstream gets no more work.
#[actix_rt::test]
async fn drain_of_an_unknown_instance_is_rejected_before_submission() {
    let (leader, control) = start_with_outcome(accepted()).await;

    let misspelt = run(&format!("upstream drain runner-l --control {leader}")).await;
    let unannounced =
        run(&format!("upstream drain runner-9 --unannounced --control {leader}")).await;

    let error = misspelt.expect_err("refused");
    assert_eq!(error.exit_code(), 4);
    assert!(error.to_string().contains("--unannounced"), "{error}");
    assert!(unannounced.is_ok());
    assert_eq!(submitted(&control).operations.len(), 1);
}
