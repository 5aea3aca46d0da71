//! What is known of instances besides their records in the view.
//!
//! An instance is known by its name; its agent's processes by their boots. Two processes may run
//! under one name at once (a replacement was started before the old one ended): the one recorded
//! last wins, and a boot that was replaced is remembered so that it cannot win back.

use hyssopfork_wire::{change, fleet, name, number};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Replaced boots that are remembered for each instance. More processes than this would have to
/// run under one name at the same time before a replaced one could win back.
pub const FORMER_LIMIT: usize = 16;

/// Memory of the fleet.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fleet {
    /// Replaced boots, oldest first.
    former: BTreeMap<name::Instance, VecDeque<u64>>,
    /// Highest incarnation of a forgotten instance.
    ///
    /// Invariant: an instance that comes back after it was forgotten gets a higher one, so no
    /// incarnation of a name is given twice.
    floor: number::Incarnation,
}

/// What an announcement comes to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Announced {
    /// The record that it makes; `None` when the one that stands says the same.
    Taken(number::Incarnation, Option<Box<fleet::Member>>),
    /// A newer process runs under the name.
    Superseded,
}

impl Fleet {
    /// Takes an announcement.
    pub fn announce(
        &mut self,
        view: &change::View,
        announcement: &fleet::Announcement,
    ) -> Announced {
        let instance = &announcement.instance;
        // Without this memory two live processes under one name would replace each other with
        // every renewal, and each replacement would end the group's placement.
        if self.is_superseded(instance, announcement.boot) {
            return Announced::Superseded;
        }
        let member = match view.members.get(instance) {
            None => joined(announcement, self.floor.next()),
            Some(old) if old.announcement.boot == announcement.boot => {
                fleet::Member { announcement: announcement.clone(), present: true, ..old.clone() }
            }
            Some(old) => {
                self.replace(instance, old.announcement.boot);
                joined(announcement, old.incarnation.next())
            }
        };
        let changed = view.members.get(instance) != Some(&member);
        Announced::Taken(member.incarnation, changed.then(|| Box::new(member)))
    }

    /// Whether a newer process than the one of this boot runs under the instance's name.
    pub fn is_superseded(&self, instance: &name::Instance, boot: u64) -> bool {
        self.former.get(instance).is_some_and(|boots| boots.contains(&boot))
    }

    /// Forgets an instance. Its replaced boots go too: its newest process was absent for long, so
    /// those before it are gone.
    pub fn forget(&mut self, member: &fleet::Member) {
        self.former.remove(&member.announcement.instance);
        self.floor = self.floor.max(member.incarnation);
    }

    fn replace(&mut self, instance: &name::Instance, boot: u64) {
        let boots = self.former.entry(instance.clone()).or_default();
        boots.push_back(boot);
        if boots.len() > FORMER_LIMIT {
            boots.pop_front();
        }
    }
}

/// The record of an agent that is leaving; `None` when the boot is another one or it says so
/// already.
pub fn leaving(view: &change::View, instance: &name::Instance, boot: u64) -> Option<fleet::Member> {
    let member = recorded(view, instance, boot)?;
    (!member.leaving).then(|| fleet::Member { leaving: true, ..member.clone() })
}

/// The record of an agent that fell silent; `None` when the boot is another one or it says so
/// already.
pub fn absent(view: &change::View, instance: &name::Instance, boot: u64) -> Option<fleet::Member> {
    let member = recorded(view, instance, boot)?;
    member.present.then(|| fleet::Member { present: false, ..member.clone() })
}

fn recorded<'a>(
    view: &'a change::View,
    instance: &name::Instance,
    boot: u64,
) -> Option<&'a fleet::Member> {
    view.members.get(instance).filter(|member| member.announcement.boot == boot)
}

fn joined(announcement: &fleet::Announcement, incarnation: number::Incarnation) -> fleet::Member {
    fleet::Member { announcement: announcement.clone(), incarnation, present: true, leaving: false }
}
