//! State of instances besides their records in the view.
//!
//! An instance is identified by its name, and a process of its agent by a boot number. Two
//! processes may run under one name at once, when a replacement is started before the old one
//! ended. The one recorded last wins, and replaced boot numbers are retained so that the older
//! process cannot take the name back.

use hyssopfork_wire::{change, fleet, name, number};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Most replaced boot numbers retained for each instance. More processes than this would have to
/// run under one name at the same time before a replaced one could take the name back.
pub const MAX_REPLACED_BOOTS: usize = 16;

/// State of instances.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fleet {
    /// Replaced boot numbers, oldest first.
    replaced_boots: BTreeMap<name::Instance, VecDeque<u64>>,
    /// Highest incarnation of a removed instance.
    ///
    /// Invariant: an instance that returns after its removal gets a higher one, so no incarnation
    /// of a name is assigned twice.
    max_removed_incarnation: number::Incarnation,
}

/// Result of an announcement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Announced {
    /// The instance's incarnation and its new record; `None` when the record is unchanged.
    Accepted(number::Incarnation, Option<Box<fleet::Member>>),
    /// A newer process runs under the name.
    Superseded,
}

impl Fleet {
    /// Handles an announcement.
    pub fn announce(
        &mut self,
        view: &change::View,
        announcement: &fleet::Announcement,
    ) -> Announced {
        let instance = &announcement.instance;
        // Otherwise two live processes under one name would replace each other with every renewal,
        // and each replacement would end the group's placement.
        if self.is_superseded(instance, announcement.boot) {
            return Announced::Superseded;
        }
        let member = match view.members.get(instance) {
            None => new_member(announcement, self.max_removed_incarnation.next()),
            Some(old) if old.announcement.boot == announcement.boot => {
                fleet::Member { announcement: announcement.clone(), present: true, ..old.clone() }
            }
            Some(old) => {
                self.add_replaced_boot(instance, old.announcement.boot);
                new_member(announcement, old.incarnation.next())
            }
        };
        let changed = view.members.get(instance) != Some(&member);
        Announced::Accepted(member.incarnation, changed.then(|| Box::new(member)))
    }

    /// Whether a newer process than that of `boot` has been recorded under the instance's name.
    pub fn is_superseded(&self, instance: &name::Instance, boot: u64) -> bool {
        self.replaced_boots.get(instance).is_some_and(|boots| boots.contains(&boot))
    }

    /// Handles the removal of an instance. Its replaced boot numbers are removed too: its newest
    /// process was absent for long, so the older ones have ended.
    pub fn on_removed(&mut self, member: &fleet::Member) {
        self.replaced_boots.remove(&member.announcement.instance);
        self.max_removed_incarnation = self.max_removed_incarnation.max(member.incarnation);
    }

    fn add_replaced_boot(&mut self, instance: &name::Instance, boot: u64) {
        let boots = self.replaced_boots.entry(instance.clone()).or_default();
        boots.push_back(boot);
        if boots.len() > MAX_REPLACED_BOOTS {
            boots.pop_front();
        }
    }
}

/// New record of an agent that is leaving; `None` when the boot number differs or it is already
/// recorded as leaving.
pub fn leaving_record(
    view: &change::View,
    instance: &name::Instance,
    boot: u64,
) -> Option<fleet::Member> {
    let member = recorded_member(view, instance, boot)?;
    (!member.leaving).then(|| fleet::Member { leaving: true, ..member.clone() })
}

/// New record of an agent that missed its renewals; `None` when the boot number differs or it is
/// already recorded as absent.
pub fn absent_record(
    view: &change::View,
    instance: &name::Instance,
    boot: u64,
) -> Option<fleet::Member> {
    let member = recorded_member(view, instance, boot)?;
    member.present.then(|| fleet::Member { present: false, ..member.clone() })
}

fn recorded_member<'a>(
    view: &'a change::View,
    instance: &name::Instance,
    boot: u64,
) -> Option<&'a fleet::Member> {
    view.members.get(instance).filter(|member| member.announcement.boot == boot)
}

fn new_member(
    announcement: &fleet::Announcement,
    incarnation: number::Incarnation,
) -> fleet::Member {
    fleet::Member { announcement: announcement.clone(), incarnation, present: true, leaving: false }
}
