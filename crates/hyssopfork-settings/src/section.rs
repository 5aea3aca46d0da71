//! Typed access to one object of a settings file.
//!
//! Faults are collected instead of returned, so that reading continues after the first one.

use crate::fault;
use hyssopfork_wire::name;
use jsonc_parser::ast;
use jsonc_parser::common::Ranged;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::time::Duration;
use std::{net, ops, str};

/// Maximum edit distance at which a known key is suggested instead of an unknown one.
const MAX_SUGGESTION_DISTANCE: usize = 4;

/// An object of a settings file.
///
/// Invariant: each key that has been requested is a known key; [`Section::finish`] reports all
/// others as unknown.
#[derive(Debug)]
pub struct Section<'a> {
    object: &'a ast::Object<'a>,
    path: String,
    requested_keys: RefCell<Vec<&'static str>>,
    collector: &'a fault::Collector<'a>,
}

impl<'a> Section<'a> {
    /// Creates a section for `object`; messages show `path` as its position in the file.
    pub fn new(
        object: &'a ast::Object<'a>,
        path: &str,
        collector: &'a fault::Collector<'a>,
    ) -> Self {
        Section { object, path: path.into(), requested_keys: RefCell::new(Vec::new()), collector }
    }

    /// Reports a fault at the value of a key, or at the object when the key is absent.
    pub fn report_fault(&self, key: &str, message: impl Into<String>) {
        let property = self.object.get(key);
        let start = self.object.range.start;
        let offset = property.map_or(start, |property| start_of_value(&property.value));
        self.collector.add(offset, message);
    }

    /// Returns whether the key is present, and marks it as known.
    pub fn has(&self, key: &'static str) -> bool {
        self.value(key).is_some()
    }

    /// Reads an optional nested object.
    pub fn section(&self, key: &'static str) -> Option<Section<'a>> {
        let value = self.value(key)?;
        match value.as_object() {
            Some(object) => Some(Section::new(object, &self.key_path(key), self.collector)),
            None => self.report_invalid_value(key, "an object, { ... }"),
        }
    }

    /// Reads a required string.
    pub fn text(&self, key: &'static str) -> Option<&'a str> {
        let value = self.required(key)?;
        match value.as_string_lit() {
            Some(literal) => Some(literal.value.as_ref()),
            None => self.report_invalid_value(key, "a string in double quotes"),
        }
    }

    /// Reads a required string that must be a valid name.
    pub fn name(&self, key: &'static str) -> Option<&'a str> {
        let text = self.text(key)?;
        if name::is_valid(text) {
            return Some(text);
        }
        self.report_invalid_value(
            key,
            &format!(
                "a name of 1 to {} lower-case letters, digits, '-', '_' or '.'",
                name::MAX_BYTES
            ),
        )
    }

    /// Reads a required address of the form `IP:PORT`.
    pub fn address(&self, key: &'static str) -> Option<net::SocketAddr> {
        let text = self.text(key)?;
        text.parse().ok().or_else(|| self.report_invalid_value(key, ADDRESS_FORMAT))
    }

    /// Reads a required address that other processes can connect to: neither the wildcard address
    /// nor port 0.
    pub fn reachable_address(&self, key: &'static str) -> Option<net::SocketAddr> {
        let address = self.address(key)?;
        if address.ip().is_unspecified() || address.port() == 0 {
            return self.report_invalid_value(
                key,
                "an address that others can reach: not 0.0.0.0 or [::], not port 0",
            );
        }
        Some(address)
    }

    /// Reads a required, non-empty list of addresses.
    pub fn addresses(&self, key: &'static str) -> Option<Vec<net::SocketAddr>> {
        let elements = self.array(key)?;
        let parsed: Vec<_> =
            elements.iter().map(|element| self.parse_address_element(key, element)).collect();
        if parsed.is_empty() {
            return self.report_invalid_value(key, "a list of at least one \"IP:PORT\"");
        }
        parsed.into_iter().collect()
    }

    /// Reads an integer in a range; `default` when absent.
    pub fn number(&self, key: &'static str, default: u64, range: ops::RangeInclusive<u64>) -> u64 {
        let Some(value) = self.value(key) else { return default };
        let number = value.as_number_lit().and_then(|literal| literal.value.parse::<u64>().ok());
        match number {
            Some(number) if range.contains(&number) => number,
            _ => {
                let expected = format!("a whole number from {} to {}", range.start(), range.end());
                self.report_invalid_value::<()>(key, &expected);
                default
            }
        }
    }

    /// Reads a decimal number in a range; `default` when absent.
    pub fn decimal(&self, key: &'static str, default: f64, range: ops::RangeInclusive<f64>) -> f64 {
        let Some(value) = self.value(key) else { return default };
        let number = value.as_number_lit().and_then(|literal| literal.value.parse::<f64>().ok());
        match number {
            Some(number) if range.contains(&number) => number,
            _ => {
                let expected = format!("a number from {} to {}", range.start(), range.end());
                self.report_invalid_value::<()>(key, &expected);
                default
            }
        }
    }

    /// Reads a duration in seconds; such keys end in `_seconds`.
    pub fn seconds(
        &self,
        key: &'static str,
        default: Duration,
        range: ops::RangeInclusive<f64>,
    ) -> Duration {
        Duration::from_secs_f64(self.decimal(key, default.as_secs_f64(), range))
    }

    /// Reads a required integer in a range.
    pub fn required_number(&self, key: &'static str, range: ops::RangeInclusive<u64>) -> u64 {
        let default = *range.start();
        self.required(key).map_or(default, |_| self.number(key, default, range))
    }

    /// Reads a duration in milliseconds; such keys end in `_ms`.
    pub fn millis(
        &self,
        key: &'static str,
        default: Duration,
        range: ops::RangeInclusive<u64>,
    ) -> Duration {
        Duration::from_millis(self.number(key, default.as_millis() as u64, range))
    }

    /// Reads a Boolean; `false` when absent.
    pub fn boolean(&self, key: &'static str) -> bool {
        let Some(value) = self.value(key) else { return false };
        let literal = value.as_boolean_lit().map(|literal| literal.value);
        literal.or_else(|| self.report_invalid_value(key, "true or false")).unwrap_or(false)
    }

    /// Reads one of a fixed set of keywords; `default` when absent.
    pub fn keyword<T: str::FromStr>(&self, key: &'static str, default: T, allowed: &[&str]) -> T {
        if !self.has(key) {
            return default;
        }
        let Some(text) = self.text(key) else { return default };
        text.parse()
            .ok()
            .or_else(|| self.report_invalid_value(key, &one_of(allowed)))
            .unwrap_or(default)
    }

    /// Reads a required keyword of a fixed set.
    pub fn required_keyword<T: str::FromStr>(
        &self,
        key: &'static str,
        allowed: &[&str],
    ) -> Option<T> {
        let text = self.text(key)?;
        text.parse().ok().or_else(|| self.report_invalid_value(key, &one_of(allowed)))
    }

    /// Reads a required, non-empty list of keywords of a fixed set.
    pub fn keywords<T: str::FromStr + Ord>(
        &self,
        key: &'static str,
        allowed: &[&str],
    ) -> Option<BTreeSet<T>> {
        let mut found = BTreeSet::new();
        for element in self.array(key)? {
            let text = element.as_string_lit().map(|literal| literal.value.as_ref());
            match text.and_then(|text| text.parse().ok()) {
                Some(word) => drop(found.insert(word)),
                None => self.report_invalid_element(start_of_value(element), key, &one_of(allowed)),
            }
        }
        if found.is_empty() {
            return self.report_invalid_value(key, &format!("a list of {}", one_of(allowed)));
        }
        Some(found)
    }

    /// Reads a required list of objects.
    pub fn sections(&self, key: &'static str) -> Option<Vec<Section<'a>>> {
        let mut found = Vec::new();
        for (index, element) in self.array(key)?.iter().enumerate() {
            let path = format!("{}[{index}]", self.key_path(key));
            match element.as_object() {
                Some(object) => found.push(Section::new(object, &path, self.collector)),
                None => {
                    self.report_invalid_element(start_of_value(element), key, "objects, { ... }")
                }
            }
        }
        Some(found)
    }

    /// Reports every unknown key and every duplicate key.
    pub fn finish(self) {
        let known_keys = self.requested_keys.borrow();
        let mut seen = BTreeSet::new();
        for property in &self.object.properties {
            let key = property.name.as_str();
            if !known_keys.contains(&key) {
                self.collector
                    .add(property.range.start, self.unknown_key_message(key, &known_keys));
            } else if !seen.insert(key.to_owned()) {
                let message = format!("\"{}\" stands twice; keep one", self.key_path(key));
                self.collector.add(property.range.start, message);
            }
        }
    }

    fn value(&self, key: &'static str) -> Option<&'a ast::Value<'a>> {
        self.requested_keys.borrow_mut().push(key);
        self.object
            .properties
            .iter()
            .find(|property| property.name.as_str() == key)
            .map(|property| &property.value)
    }

    fn required(&self, key: &'static str) -> Option<&'a ast::Value<'a>> {
        let value = self.value(key);
        if value.is_none() {
            let message = format!("\"{}\" is missing; add it", self.key_path(key));
            self.collector.add(self.object.range.start, message);
        }
        value
    }

    fn array(&self, key: &'static str) -> Option<&'a [ast::Value<'a>]> {
        let value = self.required(key)?;
        match value.as_array() {
            Some(array) => Some(&array.elements),
            None => self.report_invalid_value(key, "a list, [ ... ]"),
        }
    }

    fn parse_address_element(
        &self,
        key: &str,
        element: &ast::Value<'a>,
    ) -> Option<net::SocketAddr> {
        let text = element.as_string_lit().map(|literal| literal.value.as_ref());
        let address = text.and_then(|text| text.parse().ok());
        if address.is_none() {
            self.report_invalid_element(start_of_value(element), key, ADDRESS_FORMAT);
        }
        address
    }

    fn report_invalid_value<T>(&self, key: &str, expected: &str) -> Option<T> {
        self.report_fault(key, format!("\"{}\" must be {expected}", self.key_path(key)));
        None
    }

    fn report_invalid_element(&self, offset: usize, key: &str, expected: &str) {
        self.collector.add(offset, format!("\"{}\" must contain {expected}", self.key_path(key)));
    }

    fn key_path(&self, key: &str) -> String {
        if self.path.is_empty() { key.into() } else { format!("{}.{key}", self.path) }
    }

    fn unknown_key_message(&self, key: &str, known_keys: &[&'static str]) -> String {
        let path = self.key_path(key);
        let distances =
            known_keys.iter().map(|&candidate| (strsim::levenshtein(key, candidate), candidate));
        match distances.min() {
            Some((distance, nearest)) if distance <= MAX_SUGGESTION_DISTANCE => {
                format!("\"{path}\" is unknown; did you mean \"{nearest}\"?")
            }
            _ => {
                format!(
                    "\"{path}\" is unknown; known keys here: {}",
                    sort_unique(known_keys).join(", ")
                )
            }
        }
    }
}

const ADDRESS_FORMAT: &str = "an address as \"IP:PORT\" (a number, not a host name)";

fn start_of_value(value: &ast::Value<'_>) -> usize {
    value.range().start
}

fn one_of(alternatives: &[&str]) -> String {
    let quoted: Vec<String> = alternatives.iter().map(|word| format!("\"{word}\"")).collect();
    quoted.join(" or ")
}

fn sort_unique<'k>(known: &[&'k str]) -> Vec<&'k str> {
    let unique: BTreeSet<&str> = known.iter().copied().collect();
    unique.into_iter().collect()
}
