//! The catalogue of numbered events agrees with the code: number and name of each.

use std::collections::BTreeMap;
use std::fs;
use std::path::{Path, PathBuf};

/// Packages with numbered events, and the heading of their part of the catalogue.
const PARTS: [(&str, &str); 8] = [
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

/// Numbers by name, from the arms `Notice::Name... => 1234,` or `Kind::Name => 1234,` of the
/// package's `number`.
fn coded(package: &str) -> BTreeMap<String, u16> {
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

/// Numbers by name, from the rows below a heading.
fn catalogued(heading: &str) -> BTreeMap<String, u16> {
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
fn every_event_is_catalogued_under_its_number_and_no_other() {
    for (package, heading) in PARTS {
        let coded = coded(package);

        assert!(!coded.is_empty(), "{package}");
        assert_eq!(coded, catalogued(heading), "{package}");
    }
}

#[test]
fn no_number_is_given_twice() {
    let numbers: Vec<u16> =
        PARTS.iter().flat_map(|(package, _)| coded(package).into_values()).collect();

    let mut unique = numbers.clone();
    unique.sort_unstable();
    unique.dedup();

    assert_eq!(unique.len(), numbers.len());
}
