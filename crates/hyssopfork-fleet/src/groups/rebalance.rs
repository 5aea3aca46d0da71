//! Giving a group of one model up for a group of another.

use super::group::Stage;
use super::planning::{Candidate, Scene};
use super::{Groups, plan};
use crate::registry;
use hyssopfork_wire::name;

/// Part of the groups that it can have by which the poorer model must gain on the other: the group
/// that is given up takes nothing for two to four seconds, and its model's callers pay for that.
const GAIN: f64 = 0.2;

impl Groups {
    /// Closes a group of a model that has much of its plan, where its members complete a group of
    /// one that has little. One model's callers would otherwise be refused while another's groups
    /// are half empty.
    ///
    /// Not by a leader that has just started: after all processes were killed it knows the groups
    /// whose heads have called, and would close those for a model whose heads are about to.
    pub(super) fn rebalance(&mut self, scene: &Scene<'_>) {
        // Members of a group that is just ending will be free in a moment.
        let changes = |group: &super::Group| matches!(group.stage, Stage::Closing | Stage::Leaving);
        if !self.traffic || !self.is_settled(scene.now) || self.groups.values().any(changes) {
            return;
        }
        let lacks = |model: &&plan::Model| self.lacks(scene, model);
        let Some(poor) = self.behind(scene).into_iter().find(lacks) else { return };
        let has = self.filled(scene, poor, 0);
        let rich = scene
            .models
            .iter()
            .filter(|model| model.name != poor.name && self.filled(scene, model, -1) >= has + GAIN);
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
            record.last_model.as_ref() == Some(&poor.name) || told.staged.contains(&poor.name)
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
            let given = members.filter(|record| record.is_healthy() && at_hand(record)).count();
            (free + given >= poor.size).then(|| name.clone())
        };
        self.groups.iter().find_map(completes)
    }
}
