//! Compares the catalogue of numbered events with the code: the number and name of each event.

use std::collections::BTreeMap;
use std::fs;
use std::path::{Path, PathBuf};

/// Packages with numbered events, and the heading of their section of the catalogue.
const SECTIONS: [(&str, &str); 8] = [
    ("hyssopfork-consensus", "## Replicated log"),
    ("hyssopfork-control", "## Control"),
    ("hyssopfork-entry", "## Entry"),
    ("hyssopfork-agent", "## Agent"),
    ("hyssopfork-watch", "## Watcher"),
    ("hyssopfork-daemon", "## Daemon"),
    ("hyssopfork-fleet", "## Fleet"),
    ("hyssopfork-gateway", "## Gateway"),
];

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Numbers by name in the code, from the arms `Notice::Name... => 1234,` or `Kind::Name => 1234,`
/// of the package's `number`.
fn numbers_in_code(package: &str) -> BTreeMap<String, u16> {
    let path = root().join("crates").join(package).join("src/notice.rs");
    let text = fs::read_to_string(path).expect("the package has notices");
    let arm = |line: &str| {
        let arm = line.trim();
        let arm = arm.strip_prefix("Notice::").or_else(|| arm.strip_prefix("Kind::"))?;
        let (pattern, number) = arm.split_once(" => ")?;
        let number: u16 = number.trim_end_matches(',').parse().ok()?;
        let end = pattern.find(|letter: char| !letter.is_alphanumeric()).unwrap_or(pattern.len());
        Some((pattern[..end].to_owned(), number))
    };
    text.lines().filter_map(arm).collect()
}

/// Numbers by name in the catalogue, from the rows below a heading.
fn numbers_in_catalogue(heading: &str) -> BTreeMap<String, u16> {
    let text = fs::read_to_string(root().join("docs/events.md")).expect("the catalogue is there");
    let part = text.split("\n## ").find(|part| format!("## {part}").starts_with(heading));
    let row = |line: &str| {
        let mut cells = line.split('|').map(str::trim).skip(1);
        let number: u16 = cells.next()?.parse().ok()?;
        Some((cells.next()?.to_owned(), number))
    };
    part.expect("the heading is there").lines().filter_map(row).collect()
}

#[test]
fn catalogue_and_code_have_the_same_names_and_numbers() {
    for (package, heading) in SECTIONS {
        let coded = numbers_in_code(package);

        assert!(!coded.is_empty(), "{package}");
        assert_eq!(coded, numbers_in_catalogue(heading), "{package}");
    }
}

#[test]
fn every_number_is_unique() {
    let numbers: Vec<u16> =
        SECTIONS.iter().flat_map(|(package, _)| numbers_in_code(package).into_values()).collect();

    let mut unique = numbers.clone();
    unique.sort_unstable();
    unique.dedup();

    assert_eq!(unique.len(), numbers.len());
}
