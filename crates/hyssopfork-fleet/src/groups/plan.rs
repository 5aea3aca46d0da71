//! Capacity plan: divides the instances of each domain among models and a reserve.
//!
//! Members are lost every few seconds, sometimes whole domains, and an instance needs ten seconds or
//! more to load another model's weights. An incomplete group serves nothing. Without spare instances,
//! a group that loses a member is down until another instance has loaded the weights: with one loss
//! every 3 s and loads of 12 s to 16 s, four or five groups of nine were down at a time.
//!
//! So a share of each domain's instances, [`RESERVE_SHARE`], belongs to no group. Each of them holds
//! the weights of one model and can replace a lost member in a fraction of a second. The other
//! instances are divided among models and spread evenly over domains: by the declared shares of the
//! work, or by measured loads, so that the model with the least capacity left after the loss of a domain
//! has as much as possible.

use super::demand;
use hyssopfork_wire::name;
use std::collections::BTreeMap;

/// Share of a domain's instances that is kept in reserve. With one loss in a domain every 9 s and
/// loads of up to 16 s, two instances of ten are loading weights at a time.
pub const RESERVE_SHARE: f64 = 0.2;

/// A model, with what the plan needs of it.
#[derive(Clone, Debug, PartialEq)]
pub struct Model {
    /// Name.
    pub name: name::Model,
    /// Instances of one group; at least 1.
    pub size: usize,
    /// Share of the work; above 0.
    pub share: f64,
}

/// Number of groups planned for each model in each domain.
pub type Layout = BTreeMap<(name::Domain, name::Model), usize>;

/// Part of one group's capacity that a model with a single group is expected to keep when a domain's
/// groups are lost.
const SINGLE_GROUP_SURVIVAL: f64 = 0.2;

/// Divides the instances of each domain among models: by the loads of `basis`, or by the models' shares
/// without one. `reserve` is the share of each domain's instances that belongs to no group.
///
/// Larger groups are placed first: a group that needs most of a domain would find no room once
/// smaller ones have taken part of every domain. Groups stay in the domains where `previous` has them:
/// engines there have the weights, and one instance more in another domain is no reason to load them
/// elsewhere.
pub fn compute_layout(
    domains: &BTreeMap<name::Domain, usize>,
    models: &[Model],
    basis: Option<&demand::Basis>,
    reserve: f64,
    previous: &Layout,
) -> Layout {
    let mut room: BTreeMap<&name::Domain, usize> = domains
        .iter()
        .map(|(domain, count)| (domain, assignable_instances(*count, models, reserve)))
        .collect();
    let mut layout = Layout::new();
    let budget = room.values().sum();
    let groups = match basis {
        Some(basis) => apportion_by_stress(budget, domains.len(), models, basis),
        None => apportion_by_share(budget, models),
    };
    let mut by_size: Vec<(&Model, usize)> = models.iter().zip(groups).collect();
    by_size.sort_by_key(|(model, _)| std::cmp::Reverse(model.size));
    if basis.is_some() {
        // The first group of each model goes first: a model of small groups would otherwise find no
        // room beside one with a high load.
        let first = by_size.iter().map(|(model, groups)| (*model, (*groups).min(1)));
        let further = by_size.iter().map(|(model, groups)| (*model, groups.saturating_sub(1)));
        by_size = first.chain(further).collect();
    }
    for (model, groups) in by_size {
        // Groups that the domains keep of the earlier layout, less those that are placed already.
        let key = |domain: &name::Domain| (domain.clone(), model.name.clone());
        let count = |layout: &Layout, domain: &name::Domain| {
            layout.get(&key(domain)).copied().unwrap_or_default()
        };
        let mut kept: BTreeMap<&name::Domain, usize> = BTreeMap::new();
        if !previous.is_empty() {
            let left = |domain| count(previous, domain).saturating_sub(count(&layout, domain));
            kept.extend(room.keys().map(|domain| (*domain, left(domain))));
            kept.retain(|_, left| *left > 0);
        }
        for _ in 0..groups {
            let keeps = kept.keys().map(|domain| (*domain, room[*domain])).collect();
            let domain = domain_with_most_room(&keeps, model.size)
                .or_else(|| domain_with_most_room(&room, model.size));
            let Some(domain) = domain else { break };
            if let Some(left) = kept.get_mut(domain) {
                *left -= 1;
            }
            kept.retain(|_, left| *left > 0);
            *room.entry(domain).or_default() -= model.size;
            *layout.entry((domain.clone(), model.name.clone())).or_default() += 1;
        }
    }
    layout
}

/// Instances of a domain of `count` that belong to no group, for this share.
pub fn reserved_instances(count: usize, reserve: f64) -> usize {
    (count as f64 * reserve).floor() as usize
}

/// Instances of a domain of `count` that groups may be formed of.
///
/// A reserve that is smaller than every group can't form one, and the instances that no group fits into
/// serve nothing either: of 27 instances, with a fifth in reserve and groups of 12 and 6, these are nine.
/// As long as they suffice for a whole group and one instance more, they form one.
fn assignable_instances(count: usize, models: &[Model], reserve: f64) -> usize {
    let reserved = reserved_instances(count, reserve);
    let assignable = count - reserved;
    let Some(smallest) = models.iter().map(|model| model.size).min() else { return assignable };
    let grouped = assignable / smallest * smallest;
    let is_group_stranded = smallest > reserved && count - grouped > smallest;
    if reserved > 0 && is_group_stranded { grouped + smallest } else { assignable }
}

/// Highest stress of a model under the layout, by the loads that `load` gives in groups.
pub fn stress(
    layout: &Layout,
    domains: &BTreeMap<name::Domain, usize>,
    models: &[Model],
    load: impl Fn(&name::Model) -> f64,
) -> f64 {
    let stresses = models.iter().map(|model| {
        let groups = count_groups(layout, &model.name);
        model_stress(groups, domains.len(), load(&model.name))
    });
    stresses.fold(0.0, f64::max)
}

/// Load of a model in relation to the groups that are left of `groups` when those of one of `domains`
/// domains are lost.
fn model_stress(groups: usize, domains: usize, load: f64) -> f64 {
    let left = match groups {
        0 => f64::MIN_POSITIVE,
        1 => SINGLE_GROUP_SURVIVAL,
        _ => (groups - groups.div_ceil(domains.max(2))) as f64,
    };
    if load == 0.0 { 0.0 } else { load / left }
}

/// Cache of the last layout of each pool and reserve: instances and models rarely change between two
/// passes.
#[derive(Clone, Debug, Default)]
pub struct Cache {
    entries: Vec<Entry>,
}

/// A layout and the arguments that it was computed from.
#[derive(Clone, Debug)]
struct Entry {
    pool: name::Pool,
    reserve: f64,
    basis: Option<demand::Basis>,
    domains: BTreeMap<name::Domain, usize>,
    models: Vec<Model>,
    layout: Layout,
}

impl Cache {
    /// Returns the layout of these domains, computed anew only if they or the models have changed.
    /// `previous` gives the layout whose domains groups stay in, from the one computed last.
    pub fn get_or_compute(
        &mut self,
        pool: &name::Pool,
        reserve: f64,
        domains: &BTreeMap<name::Domain, usize>,
        models: &[Model],
        basis: Option<&demand::Basis>,
        previous: impl FnOnce(Option<&Layout>) -> Layout,
    ) -> Layout {
        let has_key = |entry: &Entry| entry.pool == *pool && entry.reserve == reserve;
        let cached = self.entries.iter().find(|entry| has_key(entry));
        let is_current = |entry: &&Entry| {
            entry.domains == *domains && entry.models == models && entry.basis.as_ref() == basis
        };
        if let Some(entry) = cached.filter(is_current) {
            return entry.layout.clone();
        }
        let previous = previous(cached.map(|entry| &entry.layout));
        let layout = compute_layout(domains, models, basis, reserve, &previous);
        self.entries.retain(|entry| !has_key(entry));
        self.entries.push(Entry {
            pool: pool.clone(),
            reserve,
            basis: basis.cloned(),
            domains: domains.clone(),
            models: models.to_vec(),
            layout: layout.clone(),
        });
        layout
    }
}

/// Apportions `budget` instances to groups of the models: after one group for each, the next group goes
/// to the model with the highest stress.
fn apportion_by_stress(
    budget: usize,
    domains: usize,
    models: &[Model],
    basis: &demand::Basis,
) -> Vec<usize> {
    let mut groups = vec![0; models.len()];
    let mut remaining = budget;
    loop {
        let fits = (0..models.len()).filter(|index| models[*index].size <= remaining);
        let stress = |index: &usize| {
            let load = basis.load(&models[*index].name);
            // A model without demand keeps a group for requests to come.
            let is_missing = groups[*index] == 0;
            let stress = model_stress(groups[*index], domains, load);
            if is_missing { f64::INFINITY } else { stress }
        };
        let Some(next) = fits.max_by(|left, right| stress(left).total_cmp(&stress(right))) else {
            return groups;
        };
        groups[next] += 1;
        remaining -= models[next].size;
    }
}

/// Apportions `budget` instances to groups of the models by Webster's method: each next group goes
/// to the model that is farthest below its share.
fn apportion_by_share(budget: usize, models: &[Model]) -> Vec<usize> {
    let mut groups = vec![0; models.len()];
    let mut remaining = budget;
    loop {
        let fits = (0..models.len()).filter(|index| models[*index].size <= remaining);
        let quotient = |index: &usize| {
            let model = &models[*index];
            (groups[*index] as f64 + 0.5) * model.size as f64 / model.share
        };
        let Some(next) = fits.min_by(|left, right| quotient(left).total_cmp(&quotient(right)))
        else {
            return groups;
        };
        groups[next] += 1;
        remaining -= models[next].size;
    }
}

/// The domain with the most unassigned instances, if it has at least `size` of them.
fn domain_with_most_room<'a>(
    room: &BTreeMap<&'a name::Domain, usize>,
    size: usize,
) -> Option<&'a name::Domain> {
    let most = room.iter().max_by_key(|(domain, room)| (**room, std::cmp::Reverse(**domain)))?;
    (*most.1 >= size).then_some(*most.0)
}

/// Number of groups of a model over all domains.
pub fn count_groups(layout: &Layout, model: &name::Model) -> usize {
    layout.iter().filter(|((_, of), _)| of == model).map(|(_, groups)| groups).sum()
}

/// Number of instances that each model is to have in a domain of `count` instances: those of its
/// groups and its part of the reserve. The reserve goes to models with larger groups first, since a
/// larger group loses a member more often.
pub fn target_instances(
    layout: &Layout,
    domain: &name::Domain,
    count: usize,
    models: &[Model],
) -> BTreeMap<name::Model, usize> {
    let groups = |model: &Model| layout.get(&(domain.clone(), model.name.clone())).copied();
    let mut targets: BTreeMap<name::Model, usize> = models
        .iter()
        .map(|model| (model.name.clone(), groups(model).unwrap_or_default() * model.size))
        .collect();
    let mut remaining = count.saturating_sub(targets.values().sum());
    let mut by_size: Vec<&Model> = models.iter().collect();
    by_size.sort_by_key(|model| std::cmp::Reverse(model.size));
    while remaining > 0 && !by_size.is_empty() {
        for model in &by_size {
            if remaining > 0 {
                *targets.entry(model.name.clone()).or_default() += 1;
                remaining -= 1;
            }
        }
    }
    targets
}
