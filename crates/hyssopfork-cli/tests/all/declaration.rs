//! Declarations: checked, compared and shown.

use crate::support::{Control, run, status};
use hyssopfork_wire::control;
use std::path::PathBuf;

/// A file of this test's own in the folder that cargo keeps for tests.
fn file(name: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).expect("the folder is there");
    path
}

const GOOD: &str = r#"{
  // Two zones.
  "zones": { "a": {}, "b": {} },
  "pools": { "engines": { "kind": "engine" }, },
  "groups": { "g": { "pool": "engines", "model": "m", "size": 2 } },
}"#;

#[actix_rt::test]
async fn whole_declaration_is_summed_up() {
    let path = file("good.json", GOOD);

    let report = run(&format!("config check {}", path.display())).await.expect("well formed");

    assert!(report.text.contains("2 zones, 1 pools, 1 groups"), "{}", report.text);
}

#[actix_rt::test]
async fn fault_of_form_is_given_with_line_and_column_of_the_file() {
    let path = file("form.json", &GOOD.replace("\"size\": 2", "\"size\": \"two\""));

    let error = run(&format!("config check {}", path.display())).await.expect_err("faulty");

    assert_eq!(error.exit_code(), 4);
    assert!(error.to_string().contains("line 5"), "{error}");
}

#[actix_rt::test]
async fn every_broken_rule_is_named() {
    let text = GOOD.replace("\"size\": 2", "\"size\": 0").replace("\"g\":", "\"G g\":");
    let path = file("rules.json", &text);

    let error = run(&format!("config check {}", path.display())).await.expect_err("faulty");

    let text = error.to_string();
    assert!(text.contains("size 0") && text.contains("G g"), "{text}");
}

#[actix_rt::test]
async fn file_that_is_not_there_is_named() {
    let error = run("config check /nonexistent/fleet.json").await.expect_err("no file");

    assert_eq!(error.exit_code(), 7);
    assert!(error.to_string().contains("/nonexistent/fleet.json"), "{error}");
}

#[actix_rt::test]
async fn shown_configuration_differs_in_nothing_and_another_by_what_differs() {
    let answer = |_: &control::Request| control::Response::Status(Box::new(status()));
    let (leader, _) = Control::start(answer).await;
    let shown = run(&format!("config show --control {leader}")).await.expect("answered").text;
    let same = file("same.json", &shown);
    let other = file("other.json", &shown.replace("\"deadline_ms\": 2000", "\"deadline_ms\": 9"));

    let none = run(&format!("config diff {} --control {leader}", same.display())).await;
    let some = run(&format!("config diff {} --control {leader}", other.display())).await;

    assert_eq!(none.expect("compared").exit_code, 0);
    let some = some.expect("compared");
    assert_eq!(some.exit_code, 1);
    assert!(some.text.contains("- routes/completions/deadline_ms: 2000"), "{}", some.text);
    assert!(some.text.contains("+ routes/completions/deadline_ms: 9"), "{}", some.text);
}
