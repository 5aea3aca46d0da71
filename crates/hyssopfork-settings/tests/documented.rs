//! Every key of the default file is documented, and no key that doesn't exist.

use std::collections::BTreeSet;
use std::fs;
use std::path::Path;

/// Keys of the default file that hold a value, without the names of sections.
fn keys() -> BTreeSet<String> {
    let text = hyssopfork_settings::settings::default_text();
    let json = hyssopfork_settings::jsonc::to_json(text).expect("well formed");
    let value: serde_json::Value = serde_json::from_str(&json).expect("plain JSON");
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

fn documented() -> BTreeSet<String> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/settings.md");
    let text = fs::read_to_string(path).expect("the page is there");
    let first = text.lines().filter_map(|line| line.strip_prefix("| `")?.split('`').next());
    first.map(|key| key.rsplit('.').next().unwrap_or(key).to_owned()).collect()
}

#[test]
fn documented_keys_are_those_of_the_default_file() {
    assert_eq!(documented(), keys());
}
