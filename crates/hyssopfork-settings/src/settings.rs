//! A whole settings file.

use crate::{agent, control, entry, error, fault, jsonc, log, section};
use hyssopfork_wire::{name, timing};
use jsonc_parser::{ast, common};
use std::collections::BTreeSet;
use std::time::Duration;
use std::{fs, net, path};

/// A role that a process holds.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    strum::Display,
    strum::EnumString,
    strum::EnumIter,
)]
#[strum(serialize_all = "snake_case")]
pub enum Role {
    /// Takes callers' requests.
    Entry,
    /// Keeps the replicated state.
    Control,
    /// Stands beside one upstream.
    Agent,
}

/// Settings of one process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Instance that the process stands on.
    pub instance: name::Instance,
    /// Availability zone of the instance.
    pub zone: name::Zone,
    /// Roles that the process holds; at least one.
    pub roles: BTreeSet<Role>,
    /// All control instances; not empty where the roles need them.
    pub control_addresses: Vec<net::SocketAddr>,
    /// Section of the control role; present if and only if the role is held.
    pub control: Option<control::Control>,
    /// Section of the entry role; present if and only if the role is held.
    pub entry: Option<entry::Entry>,
    /// Section of the agent role; present if and only if the role is held.
    pub agent: Option<agent::Agent>,
    /// Where `/healthz`, `/readyz` and `/metrics` are served.
    pub metrics_listen: net::SocketAddr,
    /// Traffic threads.
    pub threads: u32,
    /// How the process logs.
    pub log: log::Log,
    /// Time that a graceful stop gives what is in flight.
    pub stop_limit: Duration,
}

/// Most traffic threads.
const MAX_THREADS: u64 = 64;
/// Default of `threads`.
const DEFAULT_THREADS: u64 = 1;

/// A commented file with every key at its default, which parses as it stands.
pub fn default_text() -> &'static str {
    include_str!("default.jsonc")
}

/// Reads the settings file at `path`.
pub fn read(path: &path::Path) -> Result<Settings, error::Error> {
    let text = fs::read_to_string(path)
        .map_err(|cause| error::Error::Unreadable(path.to_owned(), cause))?;
    parse(&text)
}

/// Reads settings from a text; every fault is in the error.
pub fn parse(text: &str) -> Result<Settings, error::Error> {
    parse_with(text, read_root)
}

/// Reads a text's one object with `read`; every fault is in the error.
pub(crate) fn parse_with<T>(
    text: &str,
    read: impl FnOnce(section::Section<'_>) -> Option<T>,
) -> Result<T, error::Error> {
    let collector = fault::Collector::new(text);
    let value = parse_value(text, &collector);
    let settings = match value.as_ref().map(|value| value.as_object()) {
        Some(Some(object)) => read(section::Section::new(object, "", &collector)),
        Some(None) => {
            collector.add(0, "the file must hold one object, { ... }");
            None
        }
        None => None,
    };
    into_result(settings, collector)
}

fn into_result<T>(settings: Option<T>, collector: fault::Collector<'_>) -> Result<T, error::Error> {
    let faults = collector.into_faults();
    match settings {
        Some(settings) if faults.is_empty() => Ok(settings),
        _ => Err(error::Error::Invalid(faults)),
    }
}

fn parse_value<'a>(text: &'a str, collector: &fault::Collector<'_>) -> Option<ast::Value<'a>> {
    match jsonc_parser::parse_to_ast(text, &Default::default(), &jsonc::parse_options()) {
        Ok(result) => {
            if result.value.is_none() {
                collector.add(0, "the file is empty; start from `hyssopforkd settings --default`");
            }
            result.value
        }
        Err(error) => {
            let common::Range { start, .. } = error.range();
            collector.add(start, format!("not JSON with comments: {}", error.kind()));
            None
        }
    }
}

fn read_root(section: section::Section<'_>) -> Option<Settings> {
    let instance = section.name("instance");
    let zone = section.name("zone").map(name::Zone::from);
    let roles = section.keywords("roles", &["entry", "control", "agent"]);
    let has_role =
        |role| roles.as_ref().is_some_and(|roles: &BTreeSet<Role>| roles.contains(&role));
    let control_addresses =
        read_addresses(&section, has_role(Role::Entry) || has_role(Role::Agent));
    let control = role_section(&section, "control", has_role(Role::Control))
        .and_then(|part| control::read(part, instance));
    let entry = role_section(&section, "entry", has_role(Role::Entry)).and_then(entry::read);
    let agent = role_section(&section, "agent", has_role(Role::Agent)).and_then(agent::read);
    let metrics_listen = section.address("metrics_listen");
    let threads = section.number("threads", DEFAULT_THREADS, 1..=MAX_THREADS) as u32;
    let log = section.section("log").map(log::read).unwrap_or_default();
    let stop_limit = section.millis("stop_limit_ms", timing::STOP_TIMEOUT, 1..=3_600_000);
    section.finish();
    Some(Settings {
        instance: name::Instance::from(instance?),
        zone: zone?,
        roles: roles?,
        control_addresses,
        control,
        entry,
        agent,
        metrics_listen: metrics_listen?,
        threads,
        log,
        stop_limit,
    })
}

fn read_addresses(section: &section::Section<'_>, needed: bool) -> Vec<net::SocketAddr> {
    if !needed && !section.has("control_addresses") {
        return Vec::new();
    }
    section.addresses("control_addresses").unwrap_or_default()
}

/// A role's section. One that is missing is a fault when the role is held; one for a role that is
/// not held is checked by nobody, so it is a fault too: it would look as if it were in force.
fn role_section<'a>(
    section: &section::Section<'a>,
    key: &'static str,
    held: bool,
) -> Option<section::Section<'a>> {
    match (section.has(key), held) {
        (true, true) => section.section(key),
        (false, false) => None,
        (false, true) => {
            section.report_fault(key, format!("\"{key}\" is missing; the role {key} needs it"));
            None
        }
        (true, false) => {
            let message =
                format!("\"{key}\" stands here without the role; add the role or remove it");
            section.report_fault(key, message);
            None
        }
    }
}
