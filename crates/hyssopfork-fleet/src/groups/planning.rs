//! Forming groups and keeping reserves by the [`plan`](super::plan).
//!
//! An engine takes up the model of its last group in 0.2 s, one that its host holds in a second or
//! two, and any other in more than ten. So each engine is to have two models at hand: that of its
//! last group, and another one on its host. Whatever is lost, some engines of the domain can then
//! replace it.

use super::group::Stage;
use super::{Groups, order, plan};
use crate::{announcement, declaration, registry};
use hyssopfork_wire::{clock, name};

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Time for which a domain's instances count after they were lost: while they come back, the plan
/// for the others stays, in place of breaking up what serves.
const PEAK_MEMORY: Duration = Duration::from_secs(20);

/// Part of its plan by which a model must be behind another before a group of the other is closed
/// for it: the group takes nothing for a second or two, and its model's callers pay for the rest.
const SACRIFICE: f64 = 0.3;

/// Part of its plan that a model must keep when it gives a group up. A plan leaves a fifth or so for
/// bursts; below, its own callers are refused.
const RICH: f64 = 0.8;

/// Longest wait for the members of a group that leaves, before an engine is taken in their place
/// that has the model only on its host. That engine needs more than a second to take the weights
/// up; the members, once they have left, need 0.2 s, and they leave within two trips of a message.
const OWN_MEMBERS: Duration = Duration::from_millis(300);

/// Most instances that each domain had lately.
#[derive(Clone, Debug, Default)]
pub struct Peaks(BTreeMap<(name::Pool, name::Domain), (usize, clock::Instant)>);

impl Peaks {
    fn follow(
        &mut self,
        now: clock::Instant,
        pool: &name::Pool,
        counts: &BTreeMap<name::Domain, usize>,
    ) -> BTreeMap<name::Domain, usize> {
        for (domain, count) in counts {
            let key = (pool.clone(), domain.clone());
            let peak = self.0.entry(key).or_insert((*count, now));
            if *count >= peak.0 || now.since(peak.1) >= PEAK_MEMORY {
                *peak = (*count, now);
            }
        }
        self.0.retain(|_, peak| now.since(peak.1) < PEAK_MEMORY);
        let of_pool = self.0.iter().filter(|((known, _), _)| known == pool);
        of_pool.map(|((_, domain), peak)| (domain.clone(), peak.0)).collect()
    }
}

/// How soon an engine has a model's weights.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Readiness {
    /// It was the model of its last group.
    Last,
    /// Its host holds them.
    Staged,
}

/// An engine that can be given to a group.
#[derive(Clone, Debug)]
struct Candidate {
    instance: name::Instance,
    domain: name::Domain,
    last: Option<name::Model>,
    staged: Vec<name::Model>,
}

impl Candidate {
    fn readiness(&self, model: &name::Model) -> Option<Readiness> {
        if self.last.as_ref() == Some(model) {
            Some(Readiness::Last)
        } else {
            self.staged.contains(model).then_some(Readiness::Staged)
        }
    }
}

/// What a plan is made from.
struct Scene<'a> {
    now: clock::Instant,
    pool: &'a name::Pool,
    engine: &'a declaration::Engine,
    registry: &'a registry::Registry,
    /// Zones that are out: their groups serve nobody, and nothing is formed there.
    out: &'a BTreeSet<name::Zone>,
    models: Vec<plan::Model>,
    layout: plan::Layout,
    /// Instances of each domain by which the plan was made.
    peaks: BTreeMap<name::Domain, usize>,
}

impl Scene<'_> {
    /// Groups that the model is to have.
    fn total(&self, model: &plan::Model) -> usize {
        plan::totals(&self.layout).get(&model.name).copied().unwrap_or_default()
    }

    /// Whether a group can serve: its head is in no zone that is out.
    fn is_in(&self, group: &super::Group) -> bool {
        let head = group.members.first().and_then(|head| self.registry.get(head));
        head.is_none_or(|record| !self.out.contains(&record.announcement.zone))
    }

    fn load_time(&self, model: &name::Model) -> Duration {
        let declared = self.engine.models.iter().find(|it| it.name == *model);
        declared.map_or(Duration::ZERO, |model| model.load)
    }
}

impl Groups {
    pub(super) fn plan(
        &mut self,
        now: clock::Instant,
        pool: &name::Pool,
        engine: &declaration::Engine,
        registry: &registry::Registry,
        out: &BTreeSet<name::Zone>,
    ) {
        let models: Vec<plan::Model> = engine.models.iter().map(model).collect();
        let peaks = self.peaks.follow(now, pool, &usable(now, pool, registry));
        let layout = plan::layout(&peaks, &models);
        let scene = Scene { now, pool, engine, registry, out, models, layout, peaks };
        self.form_groups(&scene);
        self.sacrifice(&scene);
        self.prepare(&scene);
        self.stage(&scene);
    }

    /// Part of its plan that the model has, were there `more` groups of it.
    fn filled(&self, scene: &Scene<'_>, model: &plan::Model, more: i64) -> f64 {
        let groups = self.count(scene, &model.name) as i64 + more;
        groups as f64 / scene.total(model).max(1) as f64
    }

    /// Forms groups of engines that have the weights at hand, each next one for the model that is
    /// then farthest behind and can have one.
    fn form_groups(&mut self, scene: &Scene<'_>) {
        loop {
            let behind = self.behind(scene);
            if !behind.into_iter().any(|model| self.form_one(scene, model)) {
                return;
            }
        }
    }

    /// Models that lack groups, the one farthest behind its plan first.
    fn behind<'s>(&self, scene: &'s Scene<'_>) -> Vec<&'s plan::Model> {
        let mut behind: Vec<&plan::Model> =
            scene.models.iter().filter(|model| self.is_behind(scene, model)).collect();
        behind.sort_by(|left, right| {
            self.filled(scene, left, 0).total_cmp(&self.filled(scene, right, 0))
        });
        behind
    }

    fn is_behind(&self, scene: &Scene<'_>, model: &plan::Model) -> bool {
        self.count(scene, &model.name) < scene.total(model)
    }

    fn form_one(&mut self, scene: &Scene<'_>, model: &plan::Model) -> bool {
        let mut domains: BTreeMap<name::Domain, Vec<(Readiness, name::Instance)>> = BTreeMap::new();
        for candidate in self.candidates(scene) {
            if let Some(readiness) = candidate.readiness(&model.name) {
                let ready = domains.entry(candidate.domain).or_default();
                ready.push((readiness, candidate.instance));
            }
        }
        domains.retain(|_, ready| ready.len() >= model.size);
        for ready in domains.values_mut() {
            ready.sort();
            ready.truncate(model.size);
        }
        domains.retain(|domain, ready| {
            let slow = ready.iter().any(|(readiness, _)| *readiness == Readiness::Staged);
            !(slow && self.frees_members(scene, model, domain))
        });
        let best = domains.into_iter().min_by_key(|(domain, ready)| {
            let slowest = ready.last().map(|(readiness, _)| *readiness);
            (self.count_in(scene, model, domain), slowest)
        });
        let Some((domain, ready)) = best else { return false };
        let members: Vec<name::Instance> =
            ready.into_iter().map(|(_, instance)| instance).collect();
        self.take_reserves(&members);
        self.form(scene.now, scene.pool, &domain, &model.name, members, Stage::Joining);
        true
    }

    /// Whether members of the model are about to be free in the domain.
    fn frees_members(&self, scene: &Scene<'_>, model: &plan::Model, domain: &name::Domain) -> bool {
        self.groups.values().any(|group| {
            group.pool == *scene.pool
                && group.domain == *domain
                && group.model == model.name
                && group.stage == Stage::Leaving
                && scene.now.since(group.since) < OWN_MEMBERS
        })
    }

    fn count_in(&self, scene: &Scene<'_>, model: &plan::Model, domain: &name::Domain) -> usize {
        let of_model = |group: &&super::Group| {
            group.pool == *scene.pool
                && group.domain == *domain
                && group.model == model.name
                && group.stage.counts()
        };
        self.groups.values().filter(of_model).count()
    }

    /// Groups of the model that serve or will in a moment.
    fn count(&self, scene: &Scene<'_>, model: &name::Model) -> usize {
        let counts = |group: &&super::Group| {
            group.pool == *scene.pool
                && group.model == *model
                && group.stage.counts()
                && scene.is_in(group)
        };
        self.groups.values().filter(counts).count()
    }

    /// Closes a group of a model that has much of its plan, where its members complete a group of
    /// one that has little. One model's callers would otherwise be refused while another's groups
    /// are half empty.
    fn sacrifice(&mut self, scene: &Scene<'_>) {
        // Members of a group that is just ending will be free in a moment.
        let changes = |group: &super::Group| matches!(group.stage, Stage::Closing | Stage::Leaving);
        if !self.traffic || self.groups.values().any(changes) {
            return;
        }
        let Some(poor) = self.behind(scene).first().copied() else { return };
        let has = self.filled(scene, poor, 0);
        let rich = scene.models.iter().filter(|model| {
            let left = self.filled(scene, model, -1);
            model.name != poor.name && left >= RICH && left >= has + SACRIFICE
        });
        let chosen = rich.filter_map(|model| self.completes(scene, model, poor)).next();
        if let Some(name) = chosen {
            self.turn(scene.now, &name, Stage::Closing);
        }
    }

    /// A group of `rich` whose members, with what is free in its domain, make a group of `poor`.
    fn completes(
        &self,
        scene: &Scene<'_>,
        rich: &plan::Model,
        poor: &plan::Model,
    ) -> Option<name::Group> {
        let free: Vec<Candidate> = self.candidates(scene);
        let at_hand = |record: &registry::Record| {
            let told = &record.announcement;
            record.last.as_ref() == Some(&poor.name) || told.staged.contains(&poor.name)
        };
        let completes = |(name, group): (&name::Group, &super::Group)| {
            if group.pool != *scene.pool
                || group.model != rich.name
                || group.stage != Stage::Serving
                || !scene.is_in(group)
            {
                return None;
            }
            let here = free.iter().filter(|it| it.domain == group.domain);
            let free = here.filter(|it| it.readiness(&poor.name).is_some()).count();
            let members = group.members.iter().filter_map(|it| scene.registry.get(it));
            let given = members.filter(|record| record.is_sound() && at_hand(record)).count();
            (free + given >= poor.size).then(|| name.clone())
        };
        self.groups.iter().find_map(completes)
    }

    /// Engines that a group may be formed of: free ones and those in reserve.
    fn candidates(&self, scene: &Scene<'_>) -> Vec<Candidate> {
        let candidate = |(instance, record): (&name::Instance, &registry::Record)| {
            let told = &record.announcement;
            let usable = told.pool == *scene.pool
                && record.is_sound()
                && record.heard_here
                && !scene.out.contains(&told.zone)
                && !scene.registry.is_silent(scene.now, record)
                && self.is_available(instance, told);
            usable.then(|| Candidate {
                instance: instance.clone(),
                domain: told.domain.clone(),
                last: record.last.clone(),
                staged: told.staged.clone(),
            })
        };
        scene.registry.iter().filter_map(candidate).collect()
    }

    fn is_available(&self, instance: &name::Instance, told: &announcement::Announcement) -> bool {
        match self.group_of(instance) {
            Some((_, group)) => group.stage == Stage::Prepared,
            None => !self.is_bound(instance, told),
        }
    }

    /// Ends the reserves that `members` are.
    fn take_reserves(&mut self, members: &[name::Instance]) {
        let taken = |group: &super::Group| {
            group.stage.is_reserve() && group.members.iter().any(|it| members.contains(it))
        };
        let reserves: Vec<super::Group> =
            self.groups.extract_if(.., |_, group| taken(group)).map(|(_, group)| group).collect();
        self.ended.extend(reserves.iter().map(|reserve| reserve.epoch));
    }

    /// Has engines that belonged to no group in this life take up weights, each for the model that
    /// its domain lacks most; those that its host holds go first.
    fn prepare(&mut self, scene: &Scene<'_>) {
        for candidate in self.candidates(scene) {
            if candidate.last.is_some() || self.group_of(&candidate.instance).is_some() {
                continue;
            }
            let Some(model) = self.most_wanted(scene, &candidate) else { continue };
            if candidate.staged.contains(&model) || self.may_load(scene) {
                let members = vec![candidate.instance];
                let domain = &candidate.domain;
                self.form(scene.now, scene.pool, domain, &model, members, Stage::Preparing);
            }
        }
    }

    fn most_wanted(&self, scene: &Scene<'_>, candidate: &Candidate) -> Option<name::Model> {
        let count = scene.peaks.get(&candidate.domain).copied().unwrap_or_default();
        let wanted = plan::wanted(&scene.layout, &candidate.domain, count, &scene.models);
        let lack = |model: &&plan::Model| {
            let wanted = wanted.get(&model.name).copied().unwrap_or_default();
            let held = self.held(scene, &candidate.domain, &model.name);
            if wanted == 0 { f64::MAX } else { held as f64 / wanted as f64 }
        };
        let staged = scene.models.iter().filter(|model| candidate.staged.contains(&model.name));
        let at_hand = staged.min_by(|left, right| lack(left).total_cmp(&lack(right)));
        let any = scene.models.iter().min_by(|left, right| lack(left).total_cmp(&lack(right)));
        at_hand.or(any).map(|model| model.name.clone())
    }

    /// Engines of the domain that are for the model now.
    fn held(&self, scene: &Scene<'_>, domain: &name::Domain, model: &name::Model) -> usize {
        let holds = |group: &&super::Group| {
            group.pool == *scene.pool
                && group.domain == *domain
                && group.model == *model
                && group.stage != Stage::Leaving
        };
        self.groups.values().filter(holds).map(|group| group.members.len()).sum()
    }

    /// Has hosts load a second model beside the one of their engine's last group.
    ///
    /// Before callers send, every host does: the store has nothing else to do. Afterwards only
    /// those in reserve, which take the place of others.
    fn stage(&mut self, scene: &Scene<'_>) {
        let now = scene.now;
        self.staging.retain(|instance, (model, sent)| {
            let staged = |record: &registry::Record| record.announcement.staged.contains(model);
            let done = scene.registry.get(instance).is_none_or(staged);
            !done && now.since(*sent) < scene.load_time(model) * 2
        });
        let reserve: Vec<Candidate> =
            if self.traffic { self.candidates(scene) } else { self.everybody(scene) };
        for candidate in reserve {
            let Some(last) = &candidate.last else { continue };
            let other = scene.models.iter().find(|model| model.name != *last);
            let Some(other) = other.map(|model| model.name.clone()) else { continue };
            let staged = candidate.staged.contains(&other);
            if staged || self.staging.contains_key(&candidate.instance) || !self.may_load(scene) {
                continue;
            }
            let Some(record) = scene.registry.get(&candidate.instance) else { continue };
            let address = record.announcement.address;
            self.staging.insert(candidate.instance.clone(), (other.clone(), now));
            let nobody = (name::Group::from(""), 0);
            self.give(&candidate.instance, address, nobody, order::Task::Stage(other));
        }
    }

    /// Every engine that lives, in a group or not.
    fn everybody(&self, scene: &Scene<'_>) -> Vec<Candidate> {
        let of_pool = scene
            .registry
            .iter()
            .filter(|(_, record)| record.announcement.pool == *scene.pool && record.is_sound());
        let candidate = |(instance, record): (&name::Instance, &registry::Record)| Candidate {
            instance: instance.clone(),
            domain: record.announcement.domain.clone(),
            last: record.last.clone(),
            staged: record.announcement.staged.clone(),
        };
        of_pool.map(candidate).collect()
    }

    /// Whether a load of weights may begin now.
    ///
    /// Before callers send, loads are many times faster and don't slow each other; afterwards the
    /// store's limit of loads at once and its rate count.
    fn may_load(&mut self, scene: &Scene<'_>) -> bool {
        if !self.traffic {
            return true;
        }
        let loads = |group: &&super::Group| {
            let members = group.members.iter().filter_map(|it| scene.registry.get(it));
            let lacks = |record: &registry::Record| {
                !record.announcement.staged.contains(&group.model)
                    && record.last.as_ref() != Some(&group.model)
            };
            group.stage == Stage::Preparing && members.into_iter().any(lacks)
        };
        let running = self.groups.values().filter(loads).count() + self.staging.len();
        let room = running < scene.engine.loads_at_once.max(1) as usize;
        room && self.pace.begin(scene.now, scene.engine.loads_per_second)
    }

    /// Whether the engine is in a group that this leader has not ended: it must leave that before
    /// it joins another, since the group's head may be open where nobody hears it.
    fn is_bound(&self, instance: &name::Instance, told: &announcement::Announcement) -> bool {
        use announcement::State;
        let Some(membership) = &told.membership else { return false };
        let ended = self.ended.contains(&membership.epoch)
            || self.left.contains(&(membership.epoch, instance.clone()));
        let serves = matches!(membership.state, State::Open | State::Closing);
        !ended && membership.state != State::Broken && (membership.rank > 0 || serves)
    }
}

/// Engines of each domain that live and stay.
fn usable(
    now: clock::Instant,
    pool: &name::Pool,
    registry: &registry::Registry,
) -> BTreeMap<name::Domain, usize> {
    let mut counts = BTreeMap::new();
    for (_, record) in registry.iter().filter(|(_, record)| record.announcement.pool == *pool) {
        let usable = record.is_sound() && !registry.is_silent(now, record);
        *counts.entry(record.announcement.domain.clone()).or_insert(0) += usize::from(usable);
    }
    counts
}

fn model(declared: &declaration::Model) -> plan::Model {
    plan::Model {
        name: declared.name.clone(),
        size: declared.size.max(1) as usize,
        // A model without a share still gets a group when there is room.
        share: declared.share.max(0.01),
    }
}
