//! Failure detector for agents, by the age of their last renewal.
//!
//! It uses the leader's clock alone and may be wrong. Safety doesn't depend on it: an agent serves
//! by its own lease and its group's grants, not by this record.

use crate::holders;
use hyssopfork_state::{command, upstream};
use hyssopfork_wire::{change, clock, fleet, name, timing};
use std::collections::BTreeMap;
use std::time::Duration;

/// Time for which an absent instance is kept on record. 290 instances are replaced on an ordinary
/// day at the planned size, so about that many are kept beyond those that run.
pub const ABSENT_RETENTION: Duration = Duration::from_secs(24 * 3_600);

/// Most presence commands proposed in one check, so that the failure of a whole zone does not fill
/// the log's pipeline ahead of patches and claims.
pub const MAX_COMMANDS_PER_CHECK: usize = 256;

/// Since when each absent instance has been absent, as known to this leader.
#[derive(Debug, Default)]
pub struct Presence {
    absent_since: BTreeMap<name::Instance, clock::Instant>,
}

impl Presence {
    /// Returns commands that mark silent agents as absent and remove instances that have been
    /// absent for long. `since` is when this leader began to receive renewals without a gap.
    pub fn due_commands(
        &mut self,
        now: clock::Instant,
        since: clock::Instant,
        view: &change::View,
        holders: &holders::Holders,
    ) -> Vec<command::Command> {
        self.absent_since.retain(|name, _| view.members.get(name).is_some_and(|it| !it.present));
        let mut commands = Vec::new();
        for member in view.members.values() {
            let command = if member.present {
                absent_command(now, since, member, holders)
            } else {
                self.forget_command(now, view, member)
            };
            commands.extend(command);
            if commands.len() >= MAX_COMMANDS_PER_CHECK {
                break;
            }
        }
        commands
    }

    fn forget_command(
        &mut self,
        now: clock::Instant,
        view: &change::View,
        member: &fleet::Member,
    ) -> Option<command::Command> {
        let instance = &member.announcement.instance;
        let since = *self.absent_since.entry(instance.clone()).or_insert(now);
        let due = now.since(since) >= ABSENT_RETENTION;
        let free = due && upstream::placement_of(view, instance).is_none();
        free.then(|| command::Command::Forget(instance.clone()))
    }
}

fn absent_command(
    now: clock::Instant,
    since: clock::Instant,
    member: &fleet::Member,
    holders: &holders::Holders,
) -> Option<command::Command> {
    let announcement = &member.announcement;
    // A new leader has no renewals yet, and a paused one received none meanwhile. Counted from the
    // last renewal alone, the whole fleet would be absent at once.
    let last_renewal =
        holders.last_renewal(&announcement.instance, announcement.boot).unwrap_or(since);
    let silence = now.since(last_renewal.max(since));
    (silence > timing::PRESENCE_TIMEOUT).then(|| command::Command::Absent {
        instance: announcement.instance.clone(),
        boot: announcement.boot,
    })
}
