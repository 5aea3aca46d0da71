//! Typed access to one object of a settings file, noting every fault in place of stopping at the
//! first.

use crate::fault;
use hyssopfork_wire::name;
use jsonc_parser::ast;
use jsonc_parser::common::Ranged;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::time::Duration;
use std::{net, ops, str};

/// Farthest edit distance at which a known key is offered in place of an unknown one.
const NEAR: usize = 4;

/// One object of the file.
///
/// Invariant: a key is known once it was asked for; [`Section::finish`] refuses the others.
#[derive(Debug)]
pub struct Section<'a> {
    object: &'a ast::Object<'a>,
    title: String,
    known: RefCell<Vec<&'static str>>,
    log: &'a fault::Log<'a>,
}

impl<'a> Section<'a> {
    /// Opens `object`, which messages call `title`.
    pub fn new(object: &'a ast::Object<'a>, title: &str, log: &'a fault::Log<'a>) -> Self {
        Section { object, title: title.into(), known: RefCell::new(Vec::new()), log }
    }

    /// Notes a fault at a key, or at the object when the key is absent.
    pub fn fault(&self, key: &str, message: impl Into<String>) {
        let property = self.object.get(key);
        let start = self.object.range.start;
        let offset = property.map_or(start, |property| start_of_value(&property.value));
        self.log.add(offset, message);
    }

    /// Whether the key stands in the file.
    pub fn has(&self, key: &'static str) -> bool {
        self.get(key).is_some()
    }

    /// A nested object, if it is there.
    pub fn section(&self, key: &'static str) -> Option<Section<'a>> {
        let value = self.get(key)?;
        match value.as_object() {
            Some(object) => Some(Section::new(object, &self.path(key), self.log)),
            None => self.wrong(key, "an object, { ... }"),
        }
    }

    /// A string that must be there.
    pub fn text(&self, key: &'static str) -> Option<&'a str> {
        let value = self.required(key)?;
        match value.as_string_lit() {
            Some(literal) => Some(literal.value.as_ref()),
            None => self.wrong(key, "a string in double quotes"),
        }
    }

    /// A name that must be there, in the form that names have.
    pub fn name(&self, key: &'static str) -> Option<&'a str> {
        let text = self.text(key)?;
        if name::is_valid(text) {
            return Some(text);
        }
        self.wrong(
            key,
            &format!(
                "a name of 1 to {} lower-case letters, digits, '-', '_' or '.'",
                name::MAX_BYTES
            ),
        )
    }

    /// An address that must be there, as IP number and port.
    pub fn address(&self, key: &'static str) -> Option<net::SocketAddr> {
        let text = self.text(key)?;
        text.parse().ok().or_else(|| self.wrong(key, ADDRESS))
    }

    /// An address that others reach this process at: a port of its own and no wildcard.
    pub fn reachable(&self, key: &'static str) -> Option<net::SocketAddr> {
        let address = self.address(key)?;
        if address.ip().is_unspecified() || address.port() == 0 {
            return self
                .wrong(key, "an address that others can reach: not 0.0.0.0 or [::], not port 0");
        }
        Some(address)
    }

    /// A list of addresses that must be there and not be empty.
    pub fn addresses(&self, key: &'static str) -> Option<Vec<net::SocketAddr>> {
        let elements = self.array(key)?;
        let parsed: Vec<_> = elements.iter().map(|element| self.address_in(key, element)).collect();
        if parsed.is_empty() {
            return self.wrong(key, "a list of at least one \"IP:PORT\"");
        }
        parsed.into_iter().collect()
    }

    /// A number in a range; `default` when absent.
    pub fn number(&self, key: &'static str, default: u64, range: ops::RangeInclusive<u64>) -> u64 {
        let Some(value) = self.get(key) else { return default };
        let number = value.as_number_lit().and_then(|literal| literal.value.parse::<u64>().ok());
        match number {
            Some(number) if range.contains(&number) => number,
            _ => {
                let wanted = format!("a whole number from {} to {}", range.start(), range.end());
                self.wrong::<()>(key, &wanted);
                default
            }
        }
    }

    /// A decimal number in a range; `default` when absent.
    pub fn decimal(&self, key: &'static str, default: f64, range: ops::RangeInclusive<f64>) -> f64 {
        let Some(value) = self.get(key) else { return default };
        let number = value.as_number_lit().and_then(|literal| literal.value.parse::<f64>().ok());
        match number {
            Some(number) if range.contains(&number) => number,
            _ => {
                let wanted = format!("a number from {} to {}", range.start(), range.end());
                self.wrong::<()>(key, &wanted);
                default
            }
        }
    }

    /// A time in seconds, whose key ends in `_seconds`.
    pub fn seconds(
        &self,
        key: &'static str,
        default: Duration,
        range: ops::RangeInclusive<f64>,
    ) -> Duration {
        Duration::from_secs_f64(self.decimal(key, default.as_secs_f64(), range))
    }

    /// A number that must be there.
    pub fn required_number(&self, key: &'static str, range: ops::RangeInclusive<u64>) -> u64 {
        let default = *range.start();
        self.required(key).map_or(default, |_| self.number(key, default, range))
    }

    /// A time in milliseconds, whose key ends in `_ms`.
    pub fn millis(
        &self,
        key: &'static str,
        default: Duration,
        range: ops::RangeInclusive<u64>,
    ) -> Duration {
        Duration::from_millis(self.number(key, default.as_millis() as u64, range))
    }

    /// True or false; `false` when absent.
    pub fn flag(&self, key: &'static str) -> bool {
        let Some(value) = self.get(key) else { return false };
        let literal = value.as_boolean_lit().map(|literal| literal.value);
        literal.or_else(|| self.wrong(key, "true or false")).unwrap_or(false)
    }

    /// One of a closed set of words; `default` when absent.
    pub fn word<T: str::FromStr>(&self, key: &'static str, default: T, words: &[&str]) -> T {
        if !self.has(key) {
            return default;
        }
        let Some(text) = self.text(key) else { return default };
        text.parse().ok().or_else(|| self.wrong(key, &one_of(words))).unwrap_or(default)
    }

    /// One of a closed set of words that must be there.
    pub fn required_word<T: str::FromStr>(&self, key: &'static str, words: &[&str]) -> Option<T> {
        let text = self.text(key)?;
        text.parse().ok().or_else(|| self.wrong(key, &one_of(words)))
    }

    /// A set of words that must be there and not be empty.
    pub fn words<T: str::FromStr + Ord>(
        &self,
        key: &'static str,
        words: &[&str],
    ) -> Option<BTreeSet<T>> {
        let mut found = BTreeSet::new();
        for element in self.array(key)? {
            let text = element.as_string_lit().map(|literal| literal.value.as_ref());
            match text.and_then(|text| text.parse().ok()) {
                Some(word) => drop(found.insert(word)),
                None => self.wrong_at(start_of_value(element), key, &one_of(words)),
            }
        }
        if found.is_empty() {
            return self.wrong(key, &format!("a list of {}", one_of(words)));
        }
        Some(found)
    }

    /// A list of objects that must be there.
    pub fn sections(&self, key: &'static str) -> Option<Vec<Section<'a>>> {
        let mut found = Vec::new();
        for (place, element) in self.array(key)?.iter().enumerate() {
            let title = format!("{}[{place}]", self.path(key));
            match element.as_object() {
                Some(object) => found.push(Section::new(object, &title, self.log)),
                None => self.wrong_at(start_of_value(element), key, "objects, { ... }"),
            }
        }
        Some(found)
    }

    /// Refuses every key that was not asked for, and every key that stands twice.
    pub fn finish(self) {
        let known = self.known.borrow();
        let mut seen = BTreeSet::new();
        for property in &self.object.properties {
            let key = property.name.as_str();
            if !known.contains(&key) {
                self.log.add(property.range.start, self.unknown(key, &known));
            } else if !seen.insert(key.to_owned()) {
                let message = format!("\"{}\" stands twice; keep one", self.path(key));
                self.log.add(property.range.start, message);
            }
        }
    }

    fn get(&self, key: &'static str) -> Option<&'a ast::Value<'a>> {
        self.known.borrow_mut().push(key);
        self.object
            .properties
            .iter()
            .find(|property| property.name.as_str() == key)
            .map(|property| &property.value)
    }

    fn required(&self, key: &'static str) -> Option<&'a ast::Value<'a>> {
        let value = self.get(key);
        if value.is_none() {
            let message = format!("\"{}\" is missing; add it", self.path(key));
            self.log.add(self.object.range.start, message);
        }
        value
    }

    fn array(&self, key: &'static str) -> Option<&'a [ast::Value<'a>]> {
        let value = self.required(key)?;
        match value.as_array() {
            Some(array) => Some(&array.elements),
            None => self.wrong(key, "a list, [ ... ]"),
        }
    }

    fn address_in(&self, key: &str, element: &ast::Value<'a>) -> Option<net::SocketAddr> {
        let text = element.as_string_lit().map(|literal| literal.value.as_ref());
        let address = text.and_then(|text| text.parse().ok());
        if address.is_none() {
            self.wrong_at(start_of_value(element), key, ADDRESS);
        }
        address
    }

    fn wrong<T>(&self, key: &str, wanted: &str) -> Option<T> {
        self.fault(key, format!("\"{}\" must be {wanted}", self.path(key)));
        None
    }

    fn wrong_at(&self, offset: usize, key: &str, wanted: &str) {
        self.log.add(offset, format!("\"{}\" must hold {wanted}", self.path(key)));
    }

    fn path(&self, key: &str) -> String {
        if self.title.is_empty() { key.into() } else { format!("{}.{key}", self.title) }
    }

    fn unknown(&self, key: &str, known: &[&'static str]) -> String {
        let path = self.path(key);
        let distances =
            known.iter().map(|&candidate| (strsim::levenshtein(key, candidate), candidate));
        match distances.min() {
            Some((distance, nearest)) if distance <= NEAR => {
                format!("\"{path}\" is unknown; did you mean \"{nearest}\"?")
            }
            _ => format!("\"{path}\" is unknown; known here: {}", sorted(known).join(", ")),
        }
    }
}

const ADDRESS: &str = "an address as \"IP:PORT\" (a number, not a host name)";

fn start_of_value(value: &ast::Value<'_>) -> usize {
    value.range().start
}

fn one_of(words: &[&str]) -> String {
    let quoted: Vec<String> = words.iter().map(|word| format!("\"{word}\"")).collect();
    quoted.join(" or ")
}

fn sorted<'k>(known: &[&'k str]) -> Vec<&'k str> {
    let unique: BTreeSet<&str> = known.iter().copied().collect();
    unique.into_iter().collect()
}
