//! Declarations of the fleet in files kept under version control.

use crate::error;
use hyssopfork_settings::jsonc;
use hyssopfork_state::rules;
use hyssopfork_wire::configuration;
use serde::de::DeserializeOwned;
use std::{fs, path};

/// Reads and checks a declaration: its form, and every rule that a configuration keeps.
pub fn read(path: &path::Path) -> Result<configuration::Configuration, error::Error> {
    let declared: configuration::Configuration = read_json(path)?;
    let faults = rules::validate(&declared);
    if faults.is_empty() {
        return Ok(declared);
    }
    Err(error::Error::Faulty(path.to_owned(), faults))
}

/// Reads a file of JSON with comments; faults carry line and column.
pub fn read_json<T: DeserializeOwned>(path: &path::Path) -> Result<T, error::Error> {
    let text =
        fs::read_to_string(path).map_err(|cause| error::Error::File(path.to_owned(), cause))?;
    let faulty = |faults: Vec<String>| error::Error::Faulty(path.to_owned(), faults);
    let json = jsonc::to_json(&text)
        .map_err(|faults| faulty(faults.iter().map(ToString::to_string).collect()))?;
    serde_json::from_str(&json).map_err(|cause| faulty(vec![cause.to_string()]))
}

/// A top-level part in which two configurations differ, by its path.
pub fn differences(
    ours: &configuration::Configuration,
    theirs: &configuration::Configuration,
) -> Vec<Difference> {
    let (ours, theirs) = (value(ours), value(theirs));
    let mut found = Vec::new();
    compare("", &ours, &theirs, &mut found);
    found
}

/// One difference.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct Difference {
    /// Where, as keys joined by `/`.
    pub at: String,
    /// What is in force; `None` where nothing is.
    pub in_force: Option<serde_json::Value>,
    /// What the file declares; `None` where it declares nothing.
    pub declared: Option<serde_json::Value>,
}

fn value(configuration: &configuration::Configuration) -> serde_json::Value {
    let mut value = serde_json::to_value(configuration).expect("configurations are plain data");
    if let Some(object) = value.as_object_mut() {
        object.remove("number");
    }
    value
}

fn compare(
    at: &str,
    ours: &serde_json::Value,
    theirs: &serde_json::Value,
    found: &mut Vec<Difference>,
) {
    let (Some(left), Some(right)) = (ours.as_object(), theirs.as_object()) else {
        if ours != theirs {
            let (in_force, declared) = (Some(ours.clone()), Some(theirs.clone()));
            found.push(Difference { at: at.into(), in_force, declared });
        }
        return;
    };
    let keys: std::collections::BTreeSet<&String> = left.keys().chain(right.keys()).collect();
    for key in keys {
        let path = if at.is_empty() { key.clone() } else { format!("{at}/{key}") };
        match (left.get(key), right.get(key)) {
            (Some(ours), Some(theirs)) => compare(&path, ours, theirs, found),
            (in_force, declared) => found.push(Difference {
                at: path,
                in_force: in_force.cloned(),
                declared: declared.cloned(),
            }),
        }
    }
}
