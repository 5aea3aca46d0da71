//! Reads, validates and compares fleet declarations, which operators keep in files.

use crate::error;
use hyssopfork_settings::jsonc;
use hyssopfork_state::rules;
use hyssopfork_wire::configuration;
use serde::de::DeserializeOwned;
use std::{fs, path};

/// Reads a declaration and checks its syntax and every rule of configurations.
pub fn read(path: &path::Path) -> Result<configuration::Configuration, error::Error> {
    let declared: configuration::Configuration = read_json(path)?;
    let errors = rules::validate(&declared);
    if errors.is_empty() {
        return Ok(declared);
    }
    Err(error::Error::InvalidFile(path.to_owned(), errors))
}

/// Reads a file of JSON with comments; errors carry line and column.
pub fn read_json<T: DeserializeOwned>(path: &path::Path) -> Result<T, error::Error> {
    let text =
        fs::read_to_string(path).map_err(|cause| error::Error::File(path.to_owned(), cause))?;
    let invalid_file = |errors: Vec<String>| error::Error::InvalidFile(path.to_owned(), errors);
    let json = jsonc::to_json(&text)
        .map_err(|errors| invalid_file(errors.iter().map(ToString::to_string).collect()))?;
    serde_json::from_str(&json).map_err(|cause| invalid_file(vec![cause.to_string()]))
}

/// Lists the values in which two configurations differ, ignoring their numbers.
pub fn differences(
    in_force: &configuration::Configuration,
    declared: &configuration::Configuration,
) -> Vec<Difference> {
    let (in_force, declared) = (to_comparable_value(in_force), to_comparable_value(declared));
    let mut differences = Vec::new();
    compare("", &in_force, &declared, &mut differences);
    differences
}

/// A value in which two configurations differ.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct Difference {
    /// Keys that lead to the value, joined by `/`.
    #[serde(rename = "at")]
    pub path: String,
    /// Value in force; `None` if there is none.
    pub in_force: Option<serde_json::Value>,
    /// Value in the file; `None` if there is none.
    pub declared: Option<serde_json::Value>,
}

fn to_comparable_value(configuration: &configuration::Configuration) -> serde_json::Value {
    let mut value = serde_json::to_value(configuration).expect("configurations are plain data");
    if let Some(object) = value.as_object_mut() {
        object.remove("number");
    }
    value
}

fn compare(
    path: &str,
    in_force: &serde_json::Value,
    declared: &serde_json::Value,
    differences: &mut Vec<Difference>,
) {
    let (Some(in_force_fields), Some(declared_fields)) =
        (in_force.as_object(), declared.as_object())
    else {
        if in_force != declared {
            let (in_force, declared) = (Some(in_force.clone()), Some(declared.clone()));
            differences.push(Difference { path: path.into(), in_force, declared });
        }
        return;
    };
    let keys: std::collections::BTreeSet<&String> =
        in_force_fields.keys().chain(declared_fields.keys()).collect();
    for key in keys {
        let path = if path.is_empty() { key.clone() } else { format!("{path}/{key}") };
        match (in_force_fields.get(key), declared_fields.get(key)) {
            (Some(in_force), Some(declared)) => compare(&path, in_force, declared, differences),
            (in_force, declared) => differences.push(Difference {
                path,
                in_force: in_force.cloned(),
                declared: declared.cloned(),
            }),
        }
    }
}
