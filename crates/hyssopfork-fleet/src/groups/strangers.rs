//! Recovery of groups from member announcements.

use super::Groups;
use super::group::Stage;
use crate::{announcement, declaration, registry, view};
use hyssopfork_wire::{clock, name};
use std::collections::BTreeMap;

impl Groups {
    /// Takes in groups that this leader knows from their members' words alone: a whole one that is
    /// open goes on, and the members of any other are made to leave once all have had the time to
    /// call.
    pub(super) fn find_strangers(
        &mut self,
        now: clock::Instant,
        registry: &registry::Registry,
        declaration: &declaration::Declaration,
    ) {
        let settled = self.is_settled(now);
        self.provisional.clear();
        for (name, stranger) in self.strangers(now, registry) {
            let whole = stranger.size(declaration) == Some(stranger.members.len());
            let serving = whole && stranger.open;
            if !serving && !settled {
                self.serve_provisionally(name, &stranger);
                continue;
            }
            let known = view::Group {
                pool: stranger.pool,
                model: stranger.model.unwrap_or_else(|| name::Model::from("")),
                members: stranger.members.into_values().collect(),
                epoch: stranger.epoch,
                serving,
                lost: false,
            };
            // Its head is open although it was ended: an order of an earlier leader was held up.
            self.ended.remove(&known.epoch);
            self.adopt(now, &name, known, registry);
            if let Some(group) = self.groups.get_mut(&name).filter(|_| !serving) {
                group.turn(now, Stage::Leaving);
            }
        }
    }

    /// Lets callers be served by a head that says that it is open, while its members have not all
    /// called yet: after all processes were killed at once, the last of them does a heartbeat later.
    /// The head opened when all were ready, and a group that has lost one since serves nothing.
    fn serve_provisionally(&mut self, name: name::Group, stranger: &Stranger) {
        let Some(model) = stranger.model.clone().filter(|_| stranger.open) else { return };
        let group = view::Group {
            pool: stranger.pool.clone(),
            model,
            members: stranger.members.values().cloned().collect(),
            epoch: stranger.epoch,
            serving: true,
            lost: false,
        };
        self.provisional.insert(name, group);
    }

    fn strangers(
        &self,
        now: clock::Instant,
        registry: &registry::Registry,
    ) -> BTreeMap<name::Group, Stranger> {
        let mut strangers: BTreeMap<name::Group, Stranger> = BTreeMap::new();
        for (instance, record) in registry.iter() {
            let Some(membership) = &record.announcement.membership else { continue };
            let heard = !record.dead && !registry.is_silent(now, record);
            let known = self.group_of(instance).is_some()
                || self.groups.contains_key(&membership.group)
                || self.is_over(&record.announcement, membership);
            if known || !heard || membership.state == announcement::State::Broken {
                continue;
            }
            let stranger = strangers.entry(membership.group.clone()).or_insert_with(|| Stranger {
                pool: record.announcement.pool.clone(),
                model: record.announcement.loaded.clone(),
                epoch: membership.epoch,
                members: BTreeMap::new(),
                open: false,
            });
            if membership.epoch == stranger.epoch {
                stranger.members.insert(membership.rank, instance.clone());
                stranger.open |= membership.state == announcement::State::Open;
            }
        }
        strangers
    }
}

/// A group that is known from its members' words alone.
struct Stranger {
    pool: name::Pool,
    model: Option<name::Model>,
    epoch: u64,
    /// Members that are heard of, by rank.
    members: BTreeMap<u32, name::Instance>,
    /// Whether the head says that it is open.
    open: bool,
}

impl Stranger {
    /// Size of a group of its model.
    fn size(&self, declaration: &declaration::Declaration) -> Option<usize> {
        let engine = declaration.pools.get(&self.pool)?.engine.as_ref()?;
        let loaded = self.model.as_ref()?;
        let model = engine.models.iter().find(|model| model.name == *loaded)?;
        Some(model.size as usize)
    }
}
