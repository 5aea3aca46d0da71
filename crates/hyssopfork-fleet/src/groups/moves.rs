//! Cost of a change of plan: where the engines of its new groups get the weights from.
//!
//! A group of engines that have the weights in memory or on the host serves within two seconds, one
//! whose engines load them from the weight store after more than ten. A change that is worth it by the
//! groups of the first kind alone is cheap.

use super::group::Group;
use super::{Groups, plan};
use crate::{declaration, registry};
use hyssopfork_wire::{clock, name};
use std::collections::BTreeMap;
use std::time::Duration;

/// Time to load weights that are staged on the host, at most.
pub const STAGED_LOAD_TIME: Duration = Duration::from_secs(2);

/// Where an engine has a model's weights, the fastest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Source {
    /// The model is that of its last group.
    LastModel,
    /// They are staged on its host.
    Host,
    /// They must be loaded from the weight store.
    Store,
}

/// The models that an engine has at hand.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Weights {
    /// Model of its last group.
    pub last: Option<name::Model>,
    /// Models that are staged on its host.
    pub staged: Vec<name::Model>,
}

impl Weights {
    fn source(&self, model: &name::Model) -> Source {
        if self.last.as_ref() == Some(model) {
            Source::LastModel
        } else if self.staged.contains(model) {
            Source::Host
        } else {
            Source::Store
        }
    }
}

/// A group that serves or is about to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Active {
    /// Its model.
    pub model: name::Model,
    /// What its members have at hand.
    pub members: Vec<Weights>,
}

/// Engines of one domain that new groups may be formed of.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Stock {
    /// Free engines and reserves.
    pub free: Vec<Weights>,
    /// Groups that may be closed for another model.
    pub groups: Vec<Active>,
}

impl Stock {
    fn count_groups(&self, model: &name::Model) -> usize {
        self.groups.iter().filter(|group| group.model == *model).count()
    }
}

/// Engines of a pool that new groups may be formed of, by domain.
pub type Supply = BTreeMap<name::Domain, Stock>;

/// Number of groups of a model that a change of plan takes or gives, and that repairs restore.
struct Balance<'a> {
    model: &'a plan::Model,
    gained: usize,
    lost: usize,
    repaired: usize,
}

/// The sources of the weights of the groups that each model gains by the change from one layout to
/// another, the fastest first. A new group may be formed in any domain. Free engines that the repair of
/// lost groups needs are left to it, unless the new layout has no place for those groups.
pub fn sources_of_gains(
    current: &plan::Layout,
    next: &plan::Layout,
    models: &[plan::Model],
    supply: &Supply,
) -> BTreeMap<name::Model, Vec<Source>> {
    let balance = |model| balance(current, next, model, supply);
    let balances: Vec<Balance<'_>> = models.iter().map(balance).collect();
    let repaired = engines_under_repair(current, &balances, supply);
    let gaining = balances.iter().filter(|balance| balance.gained > 0);
    let gains = gaining.map(|recipient| {
        let mut sources = free_sources(recipient.model, &repaired, supply);
        for donor in balances.iter().filter(|donor| donor.lost > 0) {
            for (domain, closed) in closed_sources(donor, recipient.model, supply) {
                sources.entry(domain).or_default().extend(closed);
            }
        }
        let mut formed: Vec<Source> = Vec::new();
        for mut here in sources.into_values() {
            here.sort();
            let groups = here.chunks_exact(recipient.model.size.max(1));
            formed.extend(groups.filter_map(|members| members.last().copied()));
        }
        formed.sort();
        formed.resize(recipient.gained, Source::Store);
        (recipient.model.name.clone(), formed)
    });
    gains.collect()
}

/// The layout without the gained groups whose weights must be loaded from the store.
pub fn without_stored(
    next: &plan::Layout,
    gains: &BTreeMap<name::Model, Vec<Source>>,
) -> plan::Layout {
    let mut layout = next.clone();
    for (model, sources) in gains {
        let mut left = sources.iter().filter(|source| **source == Source::Store).count();
        for (_, groups) in layout.iter_mut().filter(|((_, of), _)| of == model) {
            let removed = left.min(*groups);
            *groups -= removed;
            left -= removed;
        }
    }
    layout
}

fn balance<'a>(
    current: &plan::Layout,
    next: &plan::Layout,
    model: &'a plan::Model,
    supply: &Supply,
) -> Balance<'a> {
    let before = plan::count_groups(current, &model.name);
    let after = plan::count_groups(next, &model.name);
    let existing: usize = supply.values().map(|stock| stock.count_groups(&model.name)).sum();
    Balance {
        model,
        gained: after.saturating_sub(before),
        lost: existing.saturating_sub(after),
        repaired: before.min(after).saturating_sub(existing),
    }
}

/// Number of free engines of each domain that repairs need.
fn engines_under_repair<'a>(
    current: &plan::Layout,
    balances: &[Balance<'_>],
    supply: &'a Supply,
) -> BTreeMap<&'a name::Domain, usize> {
    let mut engines = BTreeMap::new();
    for Balance { model, repaired, .. } in balances {
        let mut left = *repaired;
        for (domain, stock) in supply {
            let key = (domain.clone(), model.name.clone());
            let planned = current.get(&key).copied().unwrap_or_default();
            let missing = planned.saturating_sub(stock.count_groups(&model.name)).min(left);
            left -= missing;
            *engines.entry(domain).or_default() += missing * model.size;
        }
    }
    engines
}

/// Sources of the model's weights for the free engines of each domain, less those that repairs need.
fn free_sources<'a>(
    model: &plan::Model,
    repaired: &BTreeMap<&name::Domain, usize>,
    supply: &'a Supply,
) -> BTreeMap<&'a name::Domain, Vec<Source>> {
    let sources = supply.iter().map(|(domain, stock)| {
        let free = stock.free.iter().map(|weights| weights.source(&model.name));
        let mut sources: Vec<Source> = free.collect();
        sources.sort();
        let repaired = repaired.get(domain).copied().unwrap_or_default();
        sources.drain(..repaired.min(sources.len()));
        (domain, sources)
    });
    sources.collect()
}

/// Sources of the recipient's weights for the members of the groups that the donor loses: those that
/// have most of them at hand.
fn closed_sources<'a>(
    donor: &Balance<'_>,
    recipient: &plan::Model,
    supply: &'a Supply,
) -> Vec<(&'a name::Domain, Vec<Source>)> {
    let mut groups = Vec::new();
    for (domain, stock) in supply {
        for group in stock.groups.iter().filter(|group| group.model == donor.model.name) {
            let sources = group.members.iter().map(|member| member.source(&recipient.name));
            groups.push((domain, sources.collect::<Vec<_>>()));
        }
    }
    groups.sort_by_key(|(_, sources)| {
        sources.iter().filter(|source| **source == Source::Store).count()
    });
    groups.truncate(donor.lost);
    groups
}

/// Longest time that a group of one of the models needs to load weights from the store.
pub fn store_load_time(engine: &declaration::Engine) -> Duration {
    let times = engine.models.iter().map(|model| model.load + model.warmup);
    times.max().unwrap_or_default()
}

impl Groups {
    /// The engines of the pool that new groups may be formed of.
    pub(super) fn supply(
        &self,
        now: clock::Instant,
        pool: &name::Pool,
        registry: &registry::Registry,
    ) -> Supply {
        let mut supply = Supply::new();
        let weights = |record: &registry::Record| Weights {
            last: record.last_model.clone(),
            staged: record.announcement.staged.clone(),
        };
        for (instance, record) in registry.iter() {
            let announcement = &record.announcement;
            let is_free = announcement.pool == *pool
                && record.is_healthy()
                && !registry.is_silent(now, record)
                && self.is_unbound(instance, announcement);
            if is_free {
                let stock = supply.entry(announcement.domain.clone()).or_default();
                stock.free.push(weights(record));
            }
        }
        let is_active = |group: &&Group| group.pool == *pool && group.phase.is_active();
        for group in self.groups.values().filter(is_active) {
            let records = group.members.iter().filter_map(|member| registry.get(member));
            let members = records.map(weights).collect();
            let stock = supply.entry(group.domain.clone()).or_default();
            stock.groups.push(Active { model: group.model.clone(), members });
        }
        supply
    }
}
