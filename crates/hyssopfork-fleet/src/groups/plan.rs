//! Which model each instance is for, and how many groups of each model there are to be.
//!
//! *Pattern.* Members are lost every few seconds, whole domains now and then, and an instance takes
//! up the weights of another model in ten seconds or more. A group is whole or serves nothing.
//!
//! *Without it.* A group that loses a member stands still until somebody has loaded the weights:
//! with one loss every 3 s and loads of 12 s to 16 s, four or five groups of nine were down at a
//! time.
//!
//! *Rule.* A share of each domain's instances, [`RESERVE`], is in no group; they hold the weights
//! of one model each, so that one of them takes a lost member's place in a fraction of a second.
//! The rest is divided among models by their share of the work, and over domains evenly.

use hyssopfork_wire::name;
use std::collections::BTreeMap;

/// Share of a domain's instances that is kept in reserve: with one loss in a domain every 9 s and
/// loads of up to 16 s, two instances of ten are on their way at a time.
pub const RESERVE: f64 = 0.2;

/// A model as the plan sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct Model {
    /// Name.
    pub name: name::Model,
    /// Instances of one group; at least 1.
    pub size: usize,
    /// Share of the work; above 0.
    pub share: f64,
}

/// How many groups of each model each domain is to have.
pub type Layout = BTreeMap<(name::Domain, name::Model), usize>;

/// Divides domains of so many instances among models; `reserve` is the share of each domain that is
/// in no group.
///
/// Larger groups are placed first: one that needs most of a domain finds no place once smaller ones
/// have taken a part of each.
pub fn layout(domains: &BTreeMap<name::Domain, usize>, models: &[Model], reserve: f64) -> Layout {
    let kept = |count: usize| (count as f64 * reserve).floor() as usize;
    let mut room: BTreeMap<&name::Domain, usize> =
        domains.iter().map(|(domain, count)| (domain, count - kept(*count))).collect();
    let mut layout = Layout::new();
    let mut by_size: Vec<(&Model, usize)> =
        models.iter().zip(groups_by_share(room.values().sum(), models)).collect();
    by_size.sort_by_key(|(model, _)| std::cmp::Reverse(model.size));
    for (model, groups) in by_size {
        for _ in 0..groups {
            let Some(domain) = widest(&room, model.size) else { break };
            *room.entry(domain).or_default() -= model.size;
            *layout.entry((domain.clone(), model.name.clone())).or_default() += 1;
        }
    }
    layout
}

/// Layouts that were made last, of each pool and reserve. Instances and models are mostly as they were.
#[derive(Clone, Debug, Default)]
pub struct Layouts {
    made: Vec<Made>,
}

/// A layout, and what it was made from.
#[derive(Clone, Debug)]
struct Made {
    pool: name::Pool,
    reserve: f64,
    domains: BTreeMap<name::Domain, usize>,
    models: Vec<Model>,
    layout: Layout,
}

impl Layouts {
    /// The [`layout`] of these domains, made anew only where they or the models have changed.
    pub fn of(
        &mut self,
        pool: &name::Pool,
        reserve: f64,
        domains: &BTreeMap<name::Domain, usize>,
        models: &[Model],
    ) -> Layout {
        let of_pool = |made: &Made| made.pool == *pool && made.reserve == reserve;
        let known = self.made.iter().find(|made| of_pool(made));
        if let Some(made) = known.filter(|it| it.domains == *domains && it.models == models) {
            return made.layout.clone();
        }
        let layout = layout(domains, models, reserve);
        self.made.retain(|made| !of_pool(made));
        self.made.push(Made {
            pool: pool.clone(),
            reserve,
            domains: domains.clone(),
            models: models.to_vec(),
            layout: layout.clone(),
        });
        layout
    }
}

/// Groups of each model that `budget` instances make: each next one for the model that is farthest
/// behind its share.
fn groups_by_share(budget: usize, models: &[Model]) -> Vec<usize> {
    let mut groups = vec![0; models.len()];
    let mut left = budget;
    loop {
        let fits = (0..models.len()).filter(|index| models[*index].size <= left);
        let filled = |index: &usize| {
            let model = &models[*index];
            (groups[*index] as f64 + 0.5) * model.size as f64 / model.share
        };
        let Some(next) = fits.min_by(|left, right| filled(left).total_cmp(&filled(right))) else {
            return groups;
        };
        groups[next] += 1;
        left -= models[next].size;
    }
}

/// The domain with the most room, if it has room for `size`.
fn widest<'a>(room: &BTreeMap<&'a name::Domain, usize>, size: usize) -> Option<&'a name::Domain> {
    let most = room.iter().max_by_key(|(domain, room)| (**room, std::cmp::Reverse(**domain)))?;
    (*most.1 >= size).then_some(*most.0)
}

/// Groups of a model over all domains.
pub fn total(layout: &Layout, model: &name::Model) -> usize {
    layout.iter().filter(|((_, of), _)| of == model).map(|(_, groups)| groups).sum()
}

/// Instances that are for each model in one domain of `count`: those of its groups, and its part of
/// the reserve. A larger group is hit by a loss more often, so the reserve goes to larger ones
/// first.
pub fn wanted(
    layout: &Layout,
    domain: &name::Domain,
    count: usize,
    models: &[Model],
) -> BTreeMap<name::Model, usize> {
    let groups = |model: &Model| layout.get(&(domain.clone(), model.name.clone())).copied();
    let mut wanted: BTreeMap<name::Model, usize> = models
        .iter()
        .map(|model| (model.name.clone(), groups(model).unwrap_or_default() * model.size))
        .collect();
    let mut left = count.saturating_sub(wanted.values().sum());
    let mut by_size: Vec<&Model> = models.iter().collect();
    by_size.sort_by_key(|model| std::cmp::Reverse(model.size));
    while left > 0 && !by_size.is_empty() {
        for model in &by_size {
            if left > 0 {
                *wanted.entry(model.name.clone()).or_default() += 1;
                left -= 1;
            }
        }
    }
    wanted
}
