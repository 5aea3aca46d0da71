//! Settings of a process with the roles entry, control and agent.

use crate::{agent, control, entry, error, fault, jsonc, log, section};
use hyssopfork_wire::{name, timing};
use jsonc_parser::{ast, common};
use std::collections::BTreeSet;
use std::time::Duration;
use std::{fs, net, path};

/// A role of a process.
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
    /// Accepts requests from clients.
    Entry,
    /// Maintains the replicated state.
    Control,
    /// Runs beside one upstream on the same instance.
    Agent,
}

/// Settings of one process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Instance that the process runs on.
    pub instance: name::Instance,
    /// Availability zone of the instance.
    pub zone: name::Zone,
    /// Roles of the process; at least one.
    pub roles: BTreeSet<Role>,
    /// Addresses of all control instances; not empty if the process is an entry or an agent.
    pub control_addresses: Vec<net::SocketAddr>,
    /// Section of the control role; present if and only if the process has the role.
    pub control: Option<control::Control>,
    /// Section of the entry role; present if and only if the process has the role.
    pub entry: Option<entry::Entry>,
    /// Section of the agent role; present if and only if the process has the role.
    pub agent: Option<agent::Agent>,
    /// Listen address for `/healthz`, `/readyz` and `/metrics`.
    pub metrics_listen: net::SocketAddr,
    /// Number of traffic threads.
    pub threads: u32,
    /// Logging.
    pub log: log::Log,
    /// Time that a graceful stop waits for requests in flight.
    pub stop_limit: Duration,
}

/// Maximum number of traffic threads.
const MAX_THREADS: u64 = 64;
/// Default of `threads`.
const DEFAULT_THREADS: u64 = 1;

/// Returns a commented settings file that sets every key to its default or an example value; it
/// parses without faults.
pub fn default_text() -> &'static str {
    include_str!("default.jsonc")
}

/// Reads the settings file at `path`.
pub fn read(path: &path::Path) -> Result<Settings, error::Error> {
    let text = fs::read_to_string(path)
        .map_err(|cause| error::Error::Unreadable(path.to_owned(), cause))?;
    parse(&text)
}

/// Parses the text of a settings file; the error contains every fault.
pub fn parse(text: &str) -> Result<Settings, error::Error> {
    parse_with(text, read_root)
}

/// Parses a text that consists of one object and reads it with `read`; the error contains every
/// fault.
pub(crate) fn parse_with<T>(
    text: &str,
    read: impl FnOnce(section::Section<'_>) -> Option<T>,
) -> Result<T, error::Error> {
    let collector = fault::Collector::new(text);
    let value = parse_value(text, &collector);
    let settings = match value.as_ref().map(|value| value.as_object()) {
        Some(Some(object)) => read(section::Section::new(object, "", &collector)),
        Some(None) => {
            collector.add(0, "the file must contain one object, { ... }");
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

/// Returns the section of a role. It must be present if the process has the role. Otherwise it must
/// be absent: its contents would be neither checked nor applied, although they look effective.
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
