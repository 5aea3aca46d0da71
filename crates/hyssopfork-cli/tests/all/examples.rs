//! Every example in the help parses.

use clap::Command;
use hyssopfork_cli::command;

fn leaves(command: &Command) -> Vec<Command> {
    let children: Vec<&Command> = command.get_subcommands().collect();
    if children.is_empty() {
        return vec![command.clone()];
    }
    children.into_iter().flat_map(leaves).collect()
}

fn examples_of(command: &Command) -> Vec<String> {
    let help = command.get_after_help().map(ToString::to_string).unwrap_or_default();
    let lines = help.lines().map(str::trim).filter(|line| line.starts_with("hyssopfork "));
    lines.map(str::to_owned).collect()
}

#[test]
fn every_command_has_an_example_and_every_example_parses() {
    let program = command::command();

    for leaf in leaves(&program) {
        let examples = examples_of(&leaf);

        assert!(!examples.is_empty(), "{} has no example", leaf.get_name());
        for example in examples {
            let parsed = program.clone().try_get_matches_from(example.split_whitespace());
            assert!(parsed.is_ok(), "{example}: {}", parsed.expect_err("failed"));
        }
    }
}

#[test]
fn command_line_is_consistent() {
    command::command().debug_assert();
}
