//! Lease holders and the reports of agents. Only the leader has them, and they are lost with its
//! leadership.

use hyssopfork_wire::{clock, control, fleet, name, number};
use std::collections::BTreeMap;
use std::time::Duration;

/// Silence after which a holder is removed; its lease has expired long before.
pub const HOLDER_RETENTION: Duration = Duration::from_secs(60);

/// A holder of a lease.
#[derive(Clone, Debug)]
pub struct Holder {
    /// View version of its last renewal.
    pub version: number::Version,
    /// When its last renewal arrived.
    pub last_renewal: clock::Instant,
    /// State of the agent, if the holder is one.
    pub agent: Option<Agent>,
}

/// State of an agent.
#[derive(Clone, Debug)]
pub struct Agent {
    /// Boot number of its process.
    pub boot: u64,
    /// When the first renewal of this boot arrived.
    pub first_renewal: clock::Instant,
    /// Whether its back end has answered a probe during this boot.
    pub was_alive: bool,
    /// Consecutive reports that the back end does not answer.
    pub consecutive_dead_reports: u32,
    /// Its latest report.
    pub report: fleet::Report,
}

/// Holders by instance; one instance may be both an entry and an agent.
#[derive(Debug, Default)]
pub struct Holders {
    entries: BTreeMap<name::Instance, Holder>,
    agents: BTreeMap<name::Instance, Holder>,
}

impl Holders {
    /// Records a renewal; returns whether the availability of a back end may have changed.
    pub fn record_renewal(&mut self, now: clock::Instant, renewal: &control::Renewal) -> bool {
        match &renewal.holder {
            control::Holder::Entry(instance) => {
                let holder = Holder { version: renewal.version, last_renewal: now, agent: None };
                self.entries.insert(instance.clone(), holder);
                false
            }
            control::Holder::Agent(announcement, report) => {
                let instance = &announcement.instance;
                let old = self.agents.get(instance).and_then(|holder| holder.agent.as_ref());
                let previous = old.filter(|agent| agent.boot == announcement.boot);
                let changed = previous.is_none_or(|agent| !agent.report.alive || !report.alive);
                let agent = Agent {
                    boot: announcement.boot,
                    first_renewal: previous.map_or(now, |agent| agent.first_renewal),
                    was_alive: report.alive || previous.is_some_and(|agent| agent.was_alive),
                    consecutive_dead_reports: if report.alive {
                        0
                    } else {
                        previous.map_or(0, |agent| agent.consecutive_dead_reports) + 1
                    },
                    report: report.clone(),
                };
                let holder =
                    Holder { version: renewal.version, last_renewal: now, agent: Some(agent) };
                self.agents.insert(instance.clone(), holder);
                changed
            }
        }
    }

    /// When the agent of this boot last renewed.
    pub fn last_renewal(&self, instance: &name::Instance, boot: u64) -> Option<clock::Instant> {
        let holder = self.agents.get(instance)?;
        holder.agent.as_ref().filter(|agent| agent.boot == boot)?;
        Some(holder.last_renewal)
    }

    /// View version of the last renewal of the agent of this boot.
    pub fn version(&self, instance: &name::Instance, boot: u64) -> Option<number::Version> {
        let holder = self.agents.get(instance)?;
        holder.agent.as_ref().filter(|agent| agent.boot == boot)?;
        Some(holder.version)
    }

    /// State of the agent of this boot on an instance.
    pub fn agent(&self, instance: &name::Instance, boot: u64) -> Option<&Agent> {
        let holder = self.agents.get(instance)?;
        holder.agent.as_ref().filter(|agent| agent.boot == boot)
    }

    /// Removes holders that have been silent for [`HOLDER_RETENTION`].
    pub fn remove_silent(&mut self, now: clock::Instant) {
        self.entries.retain(|_, holder| now.since(holder.last_renewal) < HOLDER_RETENTION);
        self.agents.retain(|_, holder| now.since(holder.last_renewal) < HOLDER_RETENTION);
    }

    /// Removes all holders.
    pub fn clear(&mut self) {
        self.entries.clear();
        self.agents.clear();
    }

    /// All holders, as shown to operators.
    pub fn holdings(&self, now: clock::Instant) -> Vec<control::Holding> {
        let holding = |(instance, holder): (&name::Instance, &Holder)| control::Holding {
            instance: instance.clone(),
            agent: holder.agent.is_some(),
            version: holder.version,
            age: now.since(holder.last_renewal),
            report: holder.agent.as_ref().map(|agent| agent.report.clone()),
        };
        self.entries.iter().chain(&self.agents).map(holding).collect()
    }
}
