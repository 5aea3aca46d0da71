//! Who holds leases, and what agents report: known to the leader alone and lost with it.

use hyssopfork_wire::{clock, control, fleet, name, number};
use std::collections::BTreeMap;
use std::time::Duration;

/// Silence after which a holder is dropped from the list; its lease has lapsed long before.
pub const MEMORY: Duration = Duration::from_secs(60);

/// A holder.
#[derive(Clone, Debug)]
pub struct Holder {
    /// Version that it reported last.
    pub version: number::Version,
    /// When its last renewal came.
    pub heard: clock::Instant,
    /// What it is besides, for an agent.
    pub agent: Option<Agent>,
}

/// An agent.
#[derive(Clone, Debug)]
pub struct Agent {
    /// Boot of its process.
    pub boot: u64,
    /// When the first renewal of this boot came.
    pub since: clock::Instant,
    /// Whether its back end has answered since then.
    pub was_alive: bool,
    /// Reports in a row that the back end doesn't answer.
    pub dead: u32,
    /// Its newest report.
    pub report: fleet::Report,
}

/// Holders by instance; an instance may hold one of each.
#[derive(Debug, Default)]
pub struct Holders {
    entries: BTreeMap<name::Instance, Holder>,
    agents: BTreeMap<name::Instance, Holder>,
}

impl Holders {
    /// Notes a renewal; returns whether a back end's life may look different now.
    pub fn note(&mut self, now: clock::Instant, renewal: &control::Renewal) -> bool {
        match &renewal.holder {
            control::Holder::Entry(instance) => {
                let holder = Holder { version: renewal.version, heard: now, agent: None };
                self.entries.insert(instance.clone(), holder);
                false
            }
            control::Holder::Agent(announcement, report) => {
                let instance = &announcement.instance;
                let old = self.agents.get(instance).and_then(|holder| holder.agent.as_ref());
                let same = old.filter(|agent| agent.boot == announcement.boot);
                let changed = same.is_none_or(|agent| !agent.report.alive || !report.alive);
                let agent = Agent {
                    boot: announcement.boot,
                    since: same.map_or(now, |agent| agent.since),
                    was_alive: report.alive || same.is_some_and(|agent| agent.was_alive),
                    dead: if report.alive { 0 } else { same.map_or(0, |agent| agent.dead) + 1 },
                    report: report.clone(),
                };
                let holder = Holder { version: renewal.version, heard: now, agent: Some(agent) };
                self.agents.insert(instance.clone(), holder);
                changed
            }
        }
    }

    /// When the agent of this boot was last heard.
    pub fn heard(&self, instance: &name::Instance, boot: u64) -> Option<clock::Instant> {
        let holder = self.agents.get(instance)?;
        holder.agent.as_ref().filter(|agent| agent.boot == boot)?;
        Some(holder.heard)
    }

    /// Version of the view that the agent of this boot had when it last reported.
    pub fn version(&self, instance: &name::Instance, boot: u64) -> Option<number::Version> {
        let holder = self.agents.get(instance)?;
        holder.agent.as_ref().filter(|agent| agent.boot == boot)?;
        Some(holder.version)
    }

    /// The agent of this boot on an instance.
    pub fn agent(&self, instance: &name::Instance, boot: u64) -> Option<&Agent> {
        let holder = self.agents.get(instance)?;
        holder.agent.as_ref().filter(|agent| agent.boot == boot)
    }

    /// Drops holders that have been silent for long.
    pub fn forget_silent(&mut self, now: clock::Instant) {
        self.entries.retain(|_, holder| now.since(holder.heard) < MEMORY);
        self.agents.retain(|_, holder| now.since(holder.heard) < MEMORY);
    }

    /// Drops all.
    pub fn clear(&mut self) {
        self.entries.clear();
        self.agents.clear();
    }

    /// The list for operators.
    pub fn list(&self, now: clock::Instant) -> Vec<control::Holding> {
        let holding = |(instance, holder): (&name::Instance, &Holder)| control::Holding {
            instance: instance.clone(),
            agent: holder.agent.is_some(),
            version: holder.version,
            age: now.since(holder.heard),
            report: holder.agent.as_ref().map(|agent| agent.report.clone()),
        };
        self.entries.iter().chain(&self.agents).map(holding).collect()
    }
}
