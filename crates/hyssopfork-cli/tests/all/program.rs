//! The program as a process: exit codes and output streams.

use std::process::{Command, Output};

fn hyssopfork(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_hyssopfork"));
    command.env_remove("HYSSOPFORK_CONTROL").env("USER", "ada");
    command.args(arguments).output().expect("the program runs")
}

fn stderr(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

#[test]
fn help_names_exit_codes_and_succeeds() {
    let output = hyssopfork(&["--help"]);

    assert_eq!(output.status.code(), Some(0));
    assert!(String::from_utf8_lossy(&output.stdout).contains("Exit codes"));
}

#[test]
fn misspelt_command_is_rejected_with_a_suggestion() {
    let output = hyssopfork(&["stats"]);

    assert_eq!(output.status.code(), Some(2));
    assert!(stderr(&output).contains("status"), "{}", stderr(&output));
}

#[test]
fn invalid_address_is_rejected_and_names_the_option() {
    let output = hyssopfork(&["status", "--control", "localhost"]);

    assert_eq!(output.status.code(), Some(2));
    assert!(stderr(&output).contains("--control"), "{}", stderr(&output));
}

#[test]
fn error_is_printed_as_json_with_json_output() {
    let output = hyssopfork(&["status", "--output", "json"]);

    assert_eq!(output.status.code(), Some(2));
    let value: serde_json::Value = serde_json::from_slice(&output.stderr).expect("JSON");
    assert_eq!(value["code"], 2);
}

#[test]
fn unreachable_address_exits_with_code_5() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("it is bound").to_string();
    drop(listener);

    let output = hyssopfork(&["status", "--control", &address, "--timeout-ms", "300"]);

    assert_eq!(output.status.code(), Some(5), "{}", stderr(&output));
    assert!(stderr(&output).contains(&address));
}
