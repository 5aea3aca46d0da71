//! Recovery of orphan groups, which a leader knows only from their members' announcements.

use super::Groups;
use super::group::Phase;
use crate::{announcement, declaration, registry, view};
use hyssopfork_wire::{clock, name};
use std::collections::BTreeMap;

impl Groups {
    /// Adopts orphan groups. A complete group that is open goes on serving. The members of any other
    /// are ordered to leave once all upstreams have had the time to announce themselves.
    pub(super) fn recover_groups(
        &mut self,
        now: clock::Instant,
        registry: &registry::Registry,
        declaration: &declaration::Declaration,
    ) {
        let startup_complete = self.is_startup_complete(now);
        self.provisional.clear();
        for (name, orphan) in self.find_orphans(now, registry) {
            let complete = orphan.group_size(declaration) == Some(orphan.members.len());
            let serving = complete && orphan.is_open;
            if !serving && !startup_complete {
                self.serve_provisionally(name, &orphan);
                continue;
            }
            let known = view::Group {
                pool: orphan.pool,
                model: orphan.model.unwrap_or_else(|| name::Model::from("")),
                members: orphan.members.into_values().collect(),
                epoch: orphan.epoch,
                serving,
                lost: false,
            };
            // The head may be open by a delayed order of an earlier leader, although this leader has
            // ended the group.
            self.ended_epochs.remove(&known.epoch);
            self.adopt(now, &name, known, registry);
            if let Some(group) = self.groups.get_mut(&name).filter(|_| !serving) {
                group.enter_phase(now, Phase::Leaving);
            }
        }
    }

    /// Publishes a group as serving if its head announces that it is open, although not all of its
    /// members have announced themselves yet. After all processes were killed at once, the last of
    /// them does so a heartbeat later. That is safe: the head opened when all members were ready, and
    /// a group that has lost one since serves nothing.
    fn serve_provisionally(&mut self, name: name::Group, orphan: &Orphan) {
        let Some(model) = orphan.model.clone().filter(|_| orphan.is_open) else { return };
        let group = view::Group {
            pool: orphan.pool.clone(),
            model,
            members: orphan.members.values().cloned().collect(),
            epoch: orphan.epoch,
            serving: true,
            lost: false,
        };
        self.provisional.insert(name, group);
    }

    /// Groups that members announce and that this leader neither has nor knows to have ended.
    fn find_orphans(
        &self,
        now: clock::Instant,
        registry: &registry::Registry,
    ) -> BTreeMap<name::Group, Orphan> {
        let mut orphans: BTreeMap<name::Group, Orphan> = BTreeMap::new();
        for (instance, record) in registry.iter() {
            let Some(membership) = &record.announcement.membership else { continue };
            let heard = !record.dead && !registry.is_silent(now, record);
            let known = self.group_of(instance).is_some()
                || self.groups.contains_key(&membership.group)
                || self.is_membership_over(&record.announcement, membership);
            if known || !heard || membership.state == announcement::State::Broken {
                continue;
            }
            let orphan = orphans.entry(membership.group.clone()).or_insert_with(|| Orphan {
                pool: record.announcement.pool.clone(),
                model: record.announcement.loaded.clone(),
                epoch: membership.epoch,
                members: BTreeMap::new(),
                is_open: false,
            });
            if membership.epoch == orphan.epoch {
                orphan.members.insert(membership.rank, instance.clone());
                orphan.is_open |= membership.state == announcement::State::Open;
            }
        }
        orphans
    }
}

/// A group that is known only from its members' announcements.
struct Orphan {
    pool: name::Pool,
    model: Option<name::Model>,
    epoch: u64,
    /// Members that announce the group, by rank.
    members: BTreeMap<u32, name::Instance>,
    /// Whether the head announces that it is open.
    is_open: bool,
}

impl Orphan {
    /// Number of members that a complete group of its model has.
    fn group_size(&self, declaration: &declaration::Declaration) -> Option<usize> {
        let engine = declaration.pools.get(&self.pool)?.engine.as_ref()?;
        let loaded = self.model.as_ref()?;
        let model = engine.models.iter().find(|model| model.name == *loaded)?;
        Some(model.size as usize)
    }
}
