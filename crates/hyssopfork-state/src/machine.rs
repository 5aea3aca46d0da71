//! The replicated state machine: commands in, replies and changes out.

use crate::{claims, command, fleet, history, placements, upstream, view};
use hyssopfork_wire::{change, claim, fleet as record, name, number, patch};
use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use std::iter;

/// Format of the snapshots that this build writes and reads.
pub const FORMAT_VERSION: u16 = 1;

/// Reply to the proposer of a command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// Outcome of a patch.
    Submitted(patch::Outcome),
    /// The instance is recorded under this incarnation.
    Announced(number::Incarnation),
    /// A newer process runs under the instance's name.
    Superseded,
    /// The group is placed under this fencing number.
    Placed(number::Fence),
    /// The placement violates a rule and was rejected.
    Unplaceable(placements::Violation),
    /// Result of a claim.
    Claimed(claim::Reply),
    /// The outcome is recorded, or was before, or the attempt does not hold the claim.
    Recorded,
    /// The claims aged, and this many completed with an unknown outcome.
    Aged(usize),
    /// Applied, with or without an effect.
    Done,
}

/// Result of applying a command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Applied {
    /// Reply to the proposer.
    pub reply: Reply,
    /// Changes of the view, in order; if there are any, the view's version is the command's index.
    pub changes: Vec<change::Change>,
}

quick_error! {
    /// Why bytes are not a snapshot.
    #[derive(Debug, PartialEq, Eq)]
    pub enum Error {
        /// Another release wrote it.
        Format(found: u16) {
            display(
                "the snapshot has format {} but this release reads {}; run a release that reads \
                 both",
                found,
                FORMAT_VERSION
            )
        }
        /// The bytes are cut or damaged.
        Malformed(cause: String) {
            display(
                "the snapshot cannot be read ({}); restore this instance by wiping its data \
                 folder and letting it join again",
                cause
            )
        }
    }
}

/// The replicated state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Machine {
    /// Index of the last entry that was applied.
    applied: number::Index,
    /// The part of the state that watchers follow.
    view: change::View,
    /// Newest fencing number.
    ///
    /// Invariant: increases with every placement, so none is assigned twice.
    fence: number::Fence,
    history: history::History,
    fleet: fleet::Fleet,
    claims: claims::Claims,
}

impl Machine {
    /// Creates the empty state before the first entry.
    pub fn new() -> Machine {
        Machine::default()
    }

    /// Applies the command of the entry at `index`.
    ///
    /// # Panics
    ///
    /// When `index` is not above the last one: applying an entry twice would assign a fencing
    /// number or a configuration number twice.
    pub fn apply(&mut self, index: number::Index, command: &command::Command) -> Applied {
        self.skip(index);
        let (reply, changes) = self.decide(command);
        if !changes.is_empty() {
            let step = change::Step { version: number::Version(index.0), changes };
            view::apply_step(&mut self.view, &step);
            if step.changes.iter().any(affects_placements) {
                placements::assert_invariants(&self.view, self.fence);
            }
            return Applied { reply, changes: step.changes };
        }
        Applied { reply, changes }
    }

    /// Records an applied entry that carries no command.
    ///
    /// # Panics
    ///
    /// When `index` is not above the last one.
    pub fn skip(&mut self, index: number::Index) {
        assert!(index > self.applied, "entry {index} was applied before");
        self.applied = index;
    }

    /// Index of the last entry that was applied.
    pub fn applied(&self) -> number::Index {
        self.applied
    }

    /// The part of the state that watchers follow.
    pub fn view(&self) -> &change::View {
        &self.view
    }

    /// History of patches.
    pub fn history(&self) -> &history::History {
        &self.history
    }

    /// State of instances besides their records in the view.
    pub fn fleet(&self) -> &fleet::Fleet {
        &self.fleet
    }

    /// Claims on non-repeatable work.
    pub fn claims(&self) -> &claims::Claims {
        &self.claims
    }

    /// Encodes the state; equal states have equal bytes.
    pub fn encode(&self) -> Vec<u8> {
        bincode::serialize(&(FORMAT_VERSION, self)).expect("the state is plain data")
    }

    /// Decodes a state.
    ///
    /// # Errors
    ///
    /// When another release wrote the bytes or they are damaged.
    pub fn decode(bytes: &[u8]) -> Result<Machine, Error> {
        let malformed = |cause: bincode::Error| Error::Malformed(cause.to_string());
        let mut rest = bytes;
        let format: u16 = bincode::deserialize_from(&mut rest).map_err(malformed)?;
        if format != FORMAT_VERSION {
            return Err(Error::Format(format));
        }
        bincode::deserialize(rest).map_err(malformed)
    }

    fn decide(&mut self, command: &command::Command) -> (Reply, Vec<change::Change>) {
        match command {
            command::Command::Submit(patch) => self.submit(patch),
            command::Command::Announce(announcement) => self.announce(announcement),
            command::Command::Leaving { instance, boot } => {
                member_change(fleet::leaving_record(&self.view, instance, *boot))
            }
            command::Command::Absent { instance, boot } => {
                member_change(fleet::absent_record(&self.view, instance, *boot))
            }
            command::Command::Forget(instance) => self.forget(instance),
            command::Command::Place { group, members, replaces } => {
                self.place(group, members, *replaces)
            }
            command::Command::Unplace { group, fence } => self.unplace(group, *fence),
            command::Command::Claim(claim) => {
                (Reply::Claimed(self.claims.claim(claim)), Vec::new())
            }
            command::Command::Record { key, attempt, outcome } => {
                self.claims.record(key, *attempt, outcome);
                (Reply::Recorded, Vec::new())
            }
            command::Command::Elapsed(elapsed) => {
                (Reply::Aged(self.claims.age_by(*elapsed)), Vec::new())
            }
        }
    }

    fn submit(&mut self, patch: &patch::Patch) -> (Reply, Vec<change::Change>) {
        let submission = self.history.submit(&self.view.configuration, patch);
        let changes = match &submission.accepted {
            None => Vec::new(),
            Some(next) => {
                let ended = placements::ended_by_configuration(&self.view, next);
                let configured = change::Change::Configured {
                    number: next.number,
                    operations: patch.operations.clone(),
                };
                let ended = ended.into_iter().map(change::Change::Unplaced);
                iter::once(configured).chain(ended).collect()
            }
        };
        (Reply::Submitted(submission.outcome), changes)
    }

    fn announce(&mut self, announcement: &record::Announcement) -> (Reply, Vec<change::Change>) {
        match self.fleet.announce(&self.view, announcement) {
            fleet::Announced::Superseded => (Reply::Superseded, Vec::new()),
            fleet::Announced::Accepted(incarnation, None) => {
                (Reply::Announced(incarnation), Vec::new())
            }
            fleet::Announced::Accepted(incarnation, Some(member)) => {
                let ended = placements::ended_by_record(&self.view, &member);
                let ended = ended.into_iter().map(change::Change::Unplaced);
                let changes = ended.chain([change::Change::Joined(member)]).collect();
                (Reply::Announced(incarnation), changes)
            }
        }
    }

    fn forget(&mut self, instance: &name::Instance) -> (Reply, Vec<change::Change>) {
        let placed = upstream::placement_of(&self.view, instance).is_some();
        match self.view.members.get(instance) {
            Some(member) if !member.present && !placed => {
                self.fleet.on_removed(member);
                (Reply::Done, vec![change::Change::Forgotten(instance.clone())])
            }
            _ => (Reply::Done, Vec::new()),
        }
    }

    fn place(
        &mut self,
        group: &name::Group,
        members: &[name::Instance],
        replaces: Option<number::Fence>,
    ) -> (Reply, Vec<change::Change>) {
        if let Some(violation) = placements::violation(&self.view, group, members, replaces) {
            return (Reply::Unplaceable(violation), Vec::new());
        }
        self.fence = self.fence.next();
        let placement = record::Placement { fence: self.fence, members: members.to_vec() };
        let change = change::Change::Placed(group.clone(), placement);
        (Reply::Placed(self.fence), vec![change])
    }

    fn unplace(
        &mut self,
        group: &name::Group,
        fence: number::Fence,
    ) -> (Reply, Vec<change::Change>) {
        let is_current = |placement: &&record::Placement| placement.fence == fence;
        let placement = self.view.placements.get(group).filter(is_current);
        let change = placement.map(|_| change::Change::Unplaced(group.clone()));
        (Reply::Done, change.into_iter().collect())
    }
}

/// Whether a change may affect an invariant of the placements. A member's new record does so only
/// together with the end of its placement.
fn affects_placements(change: &change::Change) -> bool {
    match change {
        change::Change::Configured { .. }
        | change::Change::Placed(..)
        | change::Change::Unplaced(_)
        | change::Change::Forgotten(_) => true,
        change::Change::Joined(_) => false,
    }
}

fn member_change(member: Option<record::Member>) -> (Reply, Vec<change::Change>) {
    let change = member.map(|member| change::Change::Joined(Box::new(member)));
    (Reply::Done, change.into_iter().collect())
}
