//! The documented settings are exactly the keys of the default file.

use std::collections::BTreeSet;
use std::fs;
use std::path::Path;

/// Returns the keys of the default file that have a value, without the names of sections.
fn keys() -> BTreeSet<String> {
    let text = hyssopfork_settings::settings::default_text();
    let json = hyssopfork_settings::jsonc::to_json(text).expect("well formed");
    let value: serde_json::Value = serde_json::from_str(&json).expect("JSON without comments");
    let mut found = BTreeSet::new();
    collect(&value, &mut found);
    found
}

fn collect(value: &serde_json::Value, found: &mut BTreeSet<String>) {
    for (key, value) in value.as_object().into_iter().flatten() {
        if value.is_object() {
            collect(value, found);
        } else {
            found.insert(key.clone());
        }
    }
}

/// Returns the keys in the tables of the settings documentation, without the names of sections.
fn documented() -> BTreeSet<String> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/settings.md");
    let text = fs::read_to_string(path).expect("the settings documentation can be read");
    let first = text.lines().filter_map(|line| line.strip_prefix("| `")?.split('`').next());
    first.map(|key| key.rsplit('.').next().unwrap_or(key).to_owned()).collect()
}

#[test]
fn documented_keys_match_the_default_file() {
    assert_eq!(documented(), keys());
}
