//! Checking, comparing and showing declarations.

use crate::support::{Control, run, status};
use hyssopfork_wire::control;
use std::path::PathBuf;

/// Writes a file of one test into cargo's temporary directory for tests.
fn write_file(name: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).expect("the folder is there");
    path
}

const VALID: &str = r#"{
  // Two zones.
  "zones": { "a": {}, "b": {} },
  "pools": { "engines": { "kind": "engine" }, },
  "groups": { "g": { "pool": "engines", "model": "m", "size": 2 } },
}"#;

#[actix_rt::test]
async fn valid_declaration_is_summarized() {
    let path = write_file("good.json", VALID);

    let report = run(&format!("config check {}", path.display())).await.expect("valid");

    assert!(report.text.contains("2 zones, 1 pools, 1 groups"), "{}", report.text);
}

#[actix_rt::test]
async fn invalid_value_is_reported_with_line_and_column() {
    let path = write_file("form.json", &VALID.replace("\"size\": 2", "\"size\": \"two\""));

    let error = run(&format!("config check {}", path.display())).await.expect_err("invalid");

    assert_eq!(error.exit_code(), 4);
    assert!(error.to_string().contains("line 5"), "{error}");
}

#[actix_rt::test]
async fn every_broken_rule_is_reported() {
    let text = VALID.replace("\"size\": 2", "\"size\": 0").replace("\"g\":", "\"G g\":");
    let path = write_file("rules.json", &text);

    let error = run(&format!("config check {}", path.display())).await.expect_err("invalid");

    let text = error.to_string();
    assert!(text.contains("size 0") && text.contains("G g"), "{text}");
}

#[actix_rt::test]
async fn missing_file_is_reported_with_its_path() {
    let error = run("config check /nonexistent/fleet.json").await.expect_err("no file");

    assert_eq!(error.exit_code(), 7);
    assert!(error.to_string().contains("/nonexistent/fleet.json"), "{error}");
}

#[actix_rt::test]
async fn diff_is_empty_for_the_shown_configuration_and_lists_changed_values() {
    let respond = |_: &control::Request| control::Response::Status(Box::new(status()));
    let (leader, _) = Control::start(respond).await;
    let shown = run(&format!("config show --control {leader}")).await.expect("answered").text;
    let same = write_file("same.json", &shown);
    let other =
        write_file("other.json", &shown.replace("\"deadline_ms\": 2000", "\"deadline_ms\": 9"));

    let none = run(&format!("config diff {} --control {leader}", same.display())).await;
    let some = run(&format!("config diff {} --control {leader}", other.display())).await;

    assert_eq!(none.expect("compared").exit_code, 0);
    let some = some.expect("compared");
    assert_eq!(some.exit_code, 1);
    assert!(some.text.contains("- routes/completions/deadline_ms: 2000"), "{}", some.text);
    assert!(some.text.contains("+ routes/completions/deadline_ms: 9"), "{}", some.text);
}
