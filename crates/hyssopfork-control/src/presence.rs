//! Who fell silent and who may be forgotten.
//!
//! Presence is judged by the leader's clock alone. It may be wrong, and nothing that must be right
//! rests on it: an agent serves by its own lease and its group's grants, not by this record.

use crate::holders;
use hyssopfork_state::{command, upstream};
use hyssopfork_wire::{change, clock, fleet, name, timing};
use std::collections::BTreeMap;
use std::time::Duration;

/// Time for which an absent instance is kept on record. 290 instances are replaced on an ordinary
/// day at the size foreseen, so about that many are kept beyond those that run.
pub const RECORD_KEPT: Duration = Duration::from_secs(24 * 3_600);

/// Most presence commands proposed in one survey, so that a dark zone does not fill the log's
/// pipeline ahead of patches and claims.
pub const BATCH: usize = 256;

/// Since when absent instances have been absent, as far as this leader knows.
#[derive(Debug, Default)]
pub struct Presence {
    absent: BTreeMap<name::Instance, clock::Instant>,
}

impl Presence {
    /// Commands that record who fell silent and forget who has been absent for long. `since` is
    /// when this leader began to listen without a gap.
    pub fn survey(
        &mut self,
        now: clock::Instant,
        since: clock::Instant,
        view: &change::View,
        holders: &holders::Holders,
    ) -> Vec<command::Command> {
        self.absent.retain(|name, _| view.members.get(name).is_some_and(|it| !it.present));
        let mut commands = Vec::new();
        for member in view.members.values() {
            let command = if member.present {
                silent(now, since, member, holders)
            } else {
                self.forgotten(now, view, member)
            };
            commands.extend(command);
            if commands.len() >= BATCH {
                break;
            }
        }
        commands
    }

    fn forgotten(
        &mut self,
        now: clock::Instant,
        view: &change::View,
        member: &fleet::Member,
    ) -> Option<command::Command> {
        let instance = &member.announcement.instance;
        let since = *self.absent.entry(instance.clone()).or_insert(now);
        let due = now.since(since) >= RECORD_KEPT;
        let free = due && upstream::placement(view, instance).is_none();
        free.then(|| command::Command::Forget(instance.clone()))
    }
}

fn silent(
    now: clock::Instant,
    since: clock::Instant,
    member: &fleet::Member,
    holders: &holders::Holders,
) -> Option<command::Command> {
    let announcement = &member.announcement;
    // A new leader has heard nobody yet, and one that was paused has heard nobody meanwhile:
    // counted from the last renewal alone, the whole fleet would look missing at once.
    let heard = holders.heard(&announcement.instance, announcement.boot).unwrap_or(since);
    let silence = now.since(heard.max(since));
    (silence > timing::PRESENCE_TIMEOUT).then(|| command::Command::Absent {
        instance: announcement.instance.clone(),
        boot: announcement.boot,
    })
}
