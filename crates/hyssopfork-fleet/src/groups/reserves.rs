//! Keeping reserves: which engine takes up which model's weights, and which its host loads besides.

use super::group::Stage;
use super::planning::{Candidate, Scene};
use super::{Groups, order, plan};
use crate::registry;
use hyssopfork_wire::name;
use std::collections::BTreeMap;
use std::net;

/// Part of the loads at once that second models may take while callers send. A load takes ten
/// seconds and more; with all of them taken, an engine that had just come in a lost one's place
/// waited that long for its first model.
const SECOND_MODELS: f64 = 0.5;

impl Groups {
    /// Has engines that belonged to no group in this life take up weights, each for the model that
    /// its domain lacks most; those that its host holds go first.
    pub(super) fn prepare(&mut self, scene: &Scene<'_>) {
        let is_new = |candidate: &Candidate| {
            candidate.last.is_none() && self.group_of(&candidate.instance).is_none()
        };
        let candidates: Vec<Candidate> =
            self.candidates(scene).into_iter().filter(is_new).collect();
        if candidates.is_empty() {
            return;
        }
        let mut holdings = self.holdings(scene);
        let mut loading = self.loading(scene);
        for candidate in candidates {
            let Some(model) = self.most_wanted(scene, &holdings, &candidate) else { continue };
            let staged = candidate.staged.contains(&model);
            if staged || self.may_load(scene, loading, 1.0) {
                loading += usize::from(!staged);
                let members = vec![candidate.instance];
                let domain = &candidate.domain;
                self.form(scene.now, scene.pool, domain, &model, members, Stage::Preparing);
                holdings.add(domain, &model);
            }
        }
    }

    /// Has reserves change their model where their domain has one too many for it and one too few
    /// for another. Engines call one by one and each is given the model that is then wanted most;
    /// once all have called, some domains would hold two reserves of one model, and a loss of the
    /// other would wait for weights to be taken up from a host: 1 s to 2 s instead of 0.2 s.
    ///
    /// Only before callers send: taking up a model from a host leaves the host with that one alone,
    /// and its second model must be loaded again.
    pub(super) fn even_out_reserves(&mut self, scene: &Scene<'_>) {
        if self.traffic || self.peaks.grows(scene.now, scene.pool) {
            return;
        }
        let holdings = self.holdings(scene);
        for domain in scene.peaks.keys() {
            if let Some((reserve, model)) = self.misplaced(scene, &holdings, domain) {
                let members = self.groups.get(&reserve).map(|it| it.members.clone());
                let members = members.unwrap_or_default();
                self.take_reserves(&members);
                self.form(scene.now, scene.pool, domain, &model, members, Stage::Preparing);
            }
        }
    }

    /// A reserve of the domain that should hold another model, and that model.
    fn misplaced(
        &self,
        scene: &Scene<'_>,
        holdings: &Holdings,
        domain: &name::Domain,
    ) -> Option<(name::Group, name::Model)> {
        let here = |group: &&super::Group| group.pool == *scene.pool && group.domain == *domain;
        if self.groups.values().filter(here).any(|group| group.stage == Stage::Preparing) {
            return None;
        }
        let count = scene.peaks.get(domain).copied().unwrap_or_default();
        let wanted = plan::wanted(&scene.layout, domain, count, &scene.models);
        let want = |model: &name::Model| wanted.get(model).copied().unwrap_or_default();
        let lacks = |model: &&plan::Model| holdings.held(domain, &model.name) < want(&model.name);
        let lacking = scene.models.iter().find(lacks)?;
        let over = |(_, group): &(&name::Group, &super::Group)| {
            here(group)
                && group.stage == Stage::Prepared
                && holdings.held(domain, &group.model) > want(&group.model)
                && group
                    .members
                    .iter()
                    .filter_map(|it| scene.registry.get(it))
                    .any(|record| record.announcement.staged.contains(&lacking.name))
        };
        let (reserve, _) = self.groups.iter().find(over)?;
        Some((reserve.clone(), lacking.name.clone()))
    }

    /// The model that the engine had best take up: while models lack groups, the one whose next group
    /// in the domain lacks the fewest engines; otherwise the one that the domain's reserve lacks most.
    fn most_wanted(
        &self,
        scene: &Scene<'_>,
        holdings: &Holdings,
        candidate: &Candidate,
    ) -> Option<name::Model> {
        self.completes_soonest(scene, holdings, candidate)
            .or_else(|| most_lacked(scene, holdings, candidate))
    }

    /// The model whose next group in the candidate's domain lacks the fewest engines, among those that
    /// lack groups. Spread over models by their shares, engines waited in threes for a fourth while
    /// two of them would have made a smaller group.
    fn completes_soonest(
        &self,
        scene: &Scene<'_>,
        holdings: &Holdings,
        candidate: &Candidate,
    ) -> Option<name::Model> {
        if !self.traffic {
            return None;
        }
        let lacking = scene.models.iter().filter(|model| self.lacks(scene, model));
        let missing = |model: &plan::Model| {
            let at_hand = holdings.at_hand(&candidate.domain, &model.name);
            model.size - at_hand % model.size
        };
        let soonest = lacking.min_by(|left, right| {
            let filled = |model: &plan::Model| self.filled(scene, model, 0);
            missing(left).cmp(&missing(right)).then(filled(left).total_cmp(&filled(right)))
        });
        soonest.map(|model| model.name.clone())
    }

    /// Counts the engines of each domain that are for each model now.
    fn holdings(&self, scene: &Scene<'_>) -> Holdings {
        let mut holdings = Holdings::default();
        for (instance, record) in scene.registry.iter() {
            let told = &record.announcement;
            let counts = told.pool == *scene.pool
                && record.is_healthy()
                && !scene.registry.is_silent(scene.now, record);
            if !counts {
                continue;
            }
            let group = self.group_of(instance).map(|(_, group)| group);
            let Some(model) = group.map(|group| &group.model).or(record.last_model.as_ref()) else {
                continue;
            };
            holdings.add(&told.domain, model);
            if let Some(group) = group.filter(|group| group.stage.counts()) {
                holdings.add_grouped(&group.domain, model);
            }
        }
        holdings
    }

    /// Has hosts load a second model beside the one of their engine's last group.
    ///
    /// Before callers send, every host does: the store has nothing else to do. Afterwards only
    /// those in reserve, which take the place of others.
    pub(super) fn stage(&mut self, scene: &Scene<'_>) {
        let now = scene.now;
        self.staging.retain(|instance, (model, sent)| {
            let staged = |record: &registry::Record| record.announcement.staged.contains(model);
            let done = scene.registry.get(instance).is_none_or(staged);
            !done && now.since(*sent) < scene.load_time(model) * 2
        });
        let lacking: Vec<(name::Instance, net::SocketAddr, name::Model)> = scene
            .registry
            .iter()
            .filter(|(instance, record)| self.is_to_stage(scene, instance, record))
            .filter_map(|(instance, record)| {
                let other = self.second_model(scene, instance, record)?;
                Some((instance.clone(), record.announcement.address, other))
            })
            .collect();
        let loading = self.loading(scene);
        for (instance, address, model) in lacking {
            if !self.may_load(scene, loading, SECOND_MODELS) {
                break;
            }
            self.staging.insert(instance.clone(), (model.clone(), now));
            let nobody = (name::Group::from(""), 0);
            self.give(&instance, address, nobody, order::Task::Stage(model), None);
        }
    }

    /// Whether the engine's host is to hold a second model.
    fn is_to_stage(
        &self,
        scene: &Scene<'_>,
        instance: &name::Instance,
        record: &registry::Record,
    ) -> bool {
        if self.traffic {
            return self.is_free(scene, instance, record);
        }
        record.announcement.pool == *scene.pool && record.is_healthy()
    }

    /// The model beside that of its last group which the engine's host lacks.
    fn second_model(
        &self,
        scene: &Scene<'_>,
        instance: &name::Instance,
        record: &registry::Record,
    ) -> Option<name::Model> {
        let last = record.last_model.as_ref()?;
        let other = scene.models.iter().find(|model| model.name != *last)?;
        let known =
            record.announcement.staged.contains(&other.name) || self.staging.contains_key(instance);
        (!known).then(|| other.name.clone())
    }

    /// Engines in reserve that load weights.
    fn loading(&self, scene: &Scene<'_>) -> usize {
        let loads = |group: &&super::Group| {
            let lacks = |record: &registry::Record| {
                !record.announcement.staged.contains(&group.model)
                    && record.last_model.as_ref() != Some(&group.model)
            };
            let mut members = group.members.iter().filter_map(|it| scene.registry.get(it));
            group.stage == Stage::Preparing && members.any(lacks)
        };
        self.groups.values().filter(loads).count()
    }

    /// Whether a load of weights may begin now beside `loading` reserves, of those that may take `part`
    /// of the loads at once.
    ///
    /// Before callers send, loads are many times faster and don't slow each other; afterwards the
    /// store's limit of loads at once and its rate count.
    fn may_load(&mut self, scene: &Scene<'_>, loading: usize, part: f64) -> bool {
        if !self.traffic {
            return true;
        }
        let running = loading + self.staging.len();
        let most = (f64::from(scene.engine.loads_at_once) * part).max(1.0);
        (running as f64) < most && self.pace.begin(scene.now, scene.engine.loads_per_second)
    }
}

/// Engines of each domain that are for each model: those in its groups and reserves, and those whose
/// last group was one of it. The three that are left of a group of four need one more; not counted, they
/// had every engine that came take up their model, five and more in a domain.
#[derive(Debug, Default)]
struct Holdings {
    /// All of them, and those in groups that serve or will in a moment.
    counts: BTreeMap<(name::Domain, name::Model), (usize, usize)>,
}

impl Holdings {
    fn add(&mut self, domain: &name::Domain, model: &name::Model) {
        self.counts.entry((domain.clone(), model.clone())).or_default().0 += 1;
    }

    fn add_grouped(&mut self, domain: &name::Domain, model: &name::Model) {
        self.counts.entry((domain.clone(), model.clone())).or_default().1 += 1;
    }

    /// Engines for the model.
    fn held(&self, domain: &name::Domain, model: &name::Model) -> usize {
        self.counts.get(&(domain.clone(), model.clone())).map_or(0, |(held, _)| *held)
    }

    /// Engines for the model that are in no group of it.
    fn at_hand(&self, domain: &name::Domain, model: &name::Model) -> usize {
        let counts = self.counts.get(&(domain.clone(), model.clone()));
        counts.map_or(0, |(held, grouped)| held.saturating_sub(*grouped))
    }
}

/// The model that the candidate's domain lacks most by its plan.
fn most_lacked(
    scene: &Scene<'_>,
    holdings: &Holdings,
    candidate: &Candidate,
) -> Option<name::Model> {
    let count = scene.peaks.get(&candidate.domain).copied().unwrap_or_default();
    let wanted = plan::wanted(&scene.layout, &candidate.domain, count, &scene.models);
    let lack = |model: &&plan::Model| {
        let wanted = wanted.get(&model.name).copied().unwrap_or_default();
        let held = holdings.held(&candidate.domain, &model.name);
        if wanted == 0 { f64::MAX } else { held as f64 / wanted as f64 }
    };
    let staged = scene.models.iter().filter(|model| candidate.staged.contains(&model.name));
    let at_hand = staged.min_by(|left, right| lack(left).total_cmp(&lack(right)));
    let any = scene.models.iter().min_by(|left, right| lack(left).total_cmp(&lack(right)));
    at_hand.or(any).map(|model| model.name.clone())
}
