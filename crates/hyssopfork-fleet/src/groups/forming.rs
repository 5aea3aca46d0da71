//! Forming groups of engines that have the weights at hand.

use super::group::Stage;
use super::planning::{Candidate, Readiness, Scene};
use super::{Groups, plan};
use hyssopfork_wire::name;
use std::collections::BTreeMap;

/// Engines for one group in each domain.
type Ready = BTreeMap<name::Domain, Vec<(Readiness, name::Instance)>>;

/// What came of forming a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Forming {
    /// It is formed.
    Formed,
    /// Engines that belong to it are free in a moment.
    Waits,
    /// No domain has the engines for it.
    Impossible,
}

impl Groups {
    /// Part of the groups that it can have that the model has, were there `more` of it.
    pub(super) fn filled(&self, scene: &Scene<'_>, model: &plan::Model, more: i64) -> f64 {
        let groups = scene.tally.serving(&model.name) as i64 + more;
        groups as f64 / scene.attainable(model).max(1) as f64
    }

    /// Forms groups of engines that have the weights at hand, each next one for the model that is
    /// then farthest behind and can have one.
    pub(super) fn form_groups(&mut self, scene: &mut Scene<'_>) {
        if !self.traffic && self.peaks.grows(scene.now, scene.pool) {
            return;
        }
        let mut candidates = self.candidates(scene);
        while self.form_next(scene, &mut candidates) {}
    }

    /// Forms one group, if one can be formed now.
    fn form_next(&mut self, scene: &mut Scene<'_>, candidates: &mut Vec<Candidate>) -> bool {
        let behind: Vec<plan::Model> = self.behind(scene).into_iter().cloned().collect();
        for model in &behind {
            if self.leaves_engines(scene, model) {
                continue;
            }
            match self.form_one(scene, model, candidates) {
                Forming::Formed => return true,
                // Another model would take the reserve that completes this one's group.
                Forming::Waits => return false,
                Forming::Impossible => {}
            }
        }
        false
    }

    /// Whether the model has what it can have while another lacks groups: engines that are free
    /// then complete the other's groups, or take up its weights.
    ///
    /// With a zone out and a member lost, the reserves went to seventh and eighth groups of a model
    /// of two, and one of four had none for 8 s: no engine was left to complete its last one.
    fn leaves_engines(&self, scene: &Scene<'_>, model: &plan::Model) -> bool {
        let lacks = |other: &plan::Model| other.name != model.name && self.lacks(scene, other);
        !self.lacks(scene, model) && scene.models.iter().any(lacks)
    }

    /// Whether the engine is kept for the model of its last group, since that is farther behind than
    /// `model`. Survivors of a group of four that went into groups of two left the larger model
    /// without a group until another four had loaded its weights.
    fn is_kept(&self, scene: &Scene<'_>, model: &plan::Model, candidate: &Candidate) -> bool {
        let Some(last) = &candidate.last else { return false };
        let of_last = scene.models.iter().find(|it| it.name == *last && it.name != model.name);
        of_last.is_some_and(|last| {
            self.lacks(scene, last) && self.filled(scene, last, 0) < self.filled(scene, model, 0)
        })
    }

    /// Whether the model has fewer groups than it can have now.
    pub(super) fn lacks(&self, scene: &Scene<'_>, model: &plan::Model) -> bool {
        scene.tally.serving(&model.name) < scene.attainable(model)
    }

    /// Models that lack groups, the one farthest behind its plan first.
    pub(super) fn behind<'s>(&self, scene: &'s Scene<'_>) -> Vec<&'s plan::Model> {
        let mut behind: Vec<&plan::Model> =
            scene.models.iter().filter(|model| self.is_behind(scene, model)).collect();
        behind.sort_by(|left, right| {
            self.filled(scene, left, 0).total_cmp(&self.filled(scene, right, 0))
        });
        behind
    }

    fn is_behind(&self, scene: &Scene<'_>, model: &plan::Model) -> bool {
        scene.tally.serving(&model.name) < scene.total(model)
    }

    /// Forms a group of the model, where the plan has it if that can be. Elsewhere it takes the place
    /// of the reserve, so only while callers need it or a zone is out: with the reserve of a domain
    /// spent, the next loss there stopped a group for 5 s to 10 s instead of 1.5 s. For the same
    /// reason the members that a lost group of the domain is about to free are waited for.
    fn form_one(
        &mut self,
        scene: &mut Scene<'_>,
        model: &plan::Model,
        candidates: &mut Vec<Candidate>,
    ) -> Forming {
        let mut domains = self.ready_engines(scene, model, candidates);
        let placed =
            |domain: &name::Domain| scene.tally.placed(&(domain.clone(), model.name.clone()));
        let beyond = |domain: &name::Domain| placed(domain) >= scene.planned(model, domain);
        if !self.traffic && scene.out.is_empty() {
            domains.retain(|domain, _| !beyond(domain));
        }
        let slow = |ready: &[(Readiness, name::Instance)]| {
            ready.iter().any(|(readiness, _)| *readiness == Readiness::Staged)
        };
        let frees = |domain: &name::Domain| {
            let at_hand = domains.get(domain).is_some_and(|ready| !slow(ready));
            let frees = scene.tally.frees_members(&(domain.clone(), model.name.clone()));
            frees && !at_hand && !beyond(domain)
        };
        if scene.peaks.keys().any(frees) {
            return Forming::Waits;
        }
        let best = domains.into_iter().min_by_key(|(domain, ready)| {
            let slowest = ready.last().map(|(readiness, _)| *readiness);
            (beyond(domain), placed(domain), slowest)
        });
        let Some((domain, ready)) = best else { return Forming::Impossible };
        let members: Vec<name::Instance> =
            ready.into_iter().map(|(_, instance)| instance).collect();
        candidates.retain(|candidate| !members.contains(&candidate.instance));
        self.take_reserves(&members);
        self.form(scene.now, scene.pool, &domain, &model.name, members, Stage::Joining);
        scene.tally.add((domain, model.name.clone()));
        Forming::Formed
    }

    /// Engines for one group of the model in each domain that has enough at hand, the readiest first.
    fn ready_engines(
        &self,
        scene: &Scene<'_>,
        model: &plan::Model,
        candidates: &[Candidate],
    ) -> Ready {
        let mut domains = Ready::new();
        for candidate in candidates {
            if self.is_kept(scene, model, candidate) {
                continue;
            }
            if let Some(readiness) = candidate.readiness(&model.name) {
                let ready = domains.entry(candidate.domain.clone()).or_default();
                ready.push((readiness, candidate.instance.clone()));
            }
        }
        domains.retain(|_, ready| ready.len() >= model.size);
        for ready in domains.values_mut() {
            ready.sort();
            ready.truncate(model.size);
        }
        domains
    }
}
