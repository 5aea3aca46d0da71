//! Applies committed entries: to the state, to watchers and to the pending calls.

use super::{Core, SNAPSHOT_INTERVAL_BYTES};
use crate::{calls, interests, notice, steps};
use hyssopfork_consensus::{event as log_event, write};
use hyssopfork_state::{command, machine};
use hyssopfork_wire::{change, claim, consensus, control, fleet, name, number, patch};

impl Core {
    pub(super) fn apply(&mut self, entry: consensus::Entry) {
        if self.stopped {
            return;
        }
        self.applied_term = entry.term;
        match &entry.payload {
            consensus::Payload::Command(bytes) => self.apply_command(&entry, bytes),
            consensus::Payload::Empty | consensus::Payload::Voters(_) => {
                self.machine.skip(entry.index);
            }
        }
        self.snapshot_if_due();
    }

    pub(super) fn restore(&mut self, snapshot: write::Snapshot) {
        match machine::Machine::decode(&snapshot.data) {
            Ok(machine) => {
                self.machine = machine;
                self.applied_term = snapshot.term;
                self.applied_since_snapshot = 0;
                self.bytes_since_snapshot = 0;
                self.steps = steps::Steps::new(self.machine.view().version);
                self.interests = interests::Interests::new(self.machine.view());
                self.push_notice(notice::Notice::Restored(snapshot.index));
            }
            Err(error) => self.fail(error.to_string()),
        }
    }

    fn apply_command(&mut self, entry: &consensus::Entry, bytes: &[u8]) {
        let command = match command::decode(bytes) {
            Ok(command) => command,
            // Skipping it would make this replica's state diverge permanently.
            Err(error) => return self.fail(error.to_string()),
        };
        self.bytes_since_snapshot += bytes.len();
        let previous = self.machine.view().version;
        let applied = self.machine.apply(entry.index, &command);
        if self.machine.view().version > previous {
            let version = self.machine.view().version;
            let step = change::Step { version, changes: applied.changes.clone() };
            self.steps.push(step.clone());
            self.interests.push(&step, self.steps.base_version());
        }
        self.log_applied(&command, &applied);
        if let Some(purpose) = self.calls.take_applied(entry.index, entry.term) {
            self.complete_proposal(purpose, applied.reply);
        }
        if !applied.changes.is_empty() {
            self.leadership.iter_mut().for_each(|leadership| leadership.replan = true);
            self.watches.mark_stale();
        }
    }

    fn snapshot_if_due(&mut self) {
        self.applied_since_snapshot += 1;
        let due = self.applied_since_snapshot >= self.settings.snapshot_interval_entries
            || self.bytes_since_snapshot >= SNAPSHOT_INTERVAL_BYTES;
        if !due || self.stopped {
            return;
        }
        self.applied_since_snapshot = 0;
        self.bytes_since_snapshot = 0;
        let index = self.machine.applied();
        let data = self.machine.encode();
        self.push_notice(notice::Notice::Snapshot(index, data.len()));
        self.push_node_event(log_event::Event::Snapshotted { index, data });
    }

    fn complete_proposal(&mut self, purpose: calls::Purpose, reply: machine::Reply) {
        match purpose {
            calls::Purpose::Call(call) => {
                let response = response_to(reply);
                self.reply(call, response);
            }
            calls::Purpose::Renew(call, renewal) => self.complete_renewal(call, &renewal, &reply),
            calls::Purpose::Group(group) => {
                if let machine::Reply::Unplaceable(violation) = reply {
                    self.push_notice(notice::Notice::Unplaceable(group, violation));
                }
            }
            calls::Purpose::Presence(_) | calls::Purpose::Age => {}
        }
    }

    fn complete_renewal(&mut self, call: u64, renewal: &control::Renewal, reply: &machine::Reply) {
        if *reply == machine::Reply::Superseded {
            return self.reject_superseded(call, renewal);
        }
        self.grant_lease(call, renewal);
    }

    /// Logs the effect of a command. Only the leader does so, since the effect is the same on every
    /// replica.
    fn log_applied(&mut self, command: &command::Command, applied: &machine::Applied) {
        if self.leadership.is_none() {
            return;
        }
        for change in &applied.changes {
            self.log_change(command, change);
        }
        match (&applied.reply, command) {
            (machine::Reply::Submitted(outcome), command::Command::Submit(patch)) => {
                self.log_rejected_patch(patch, outcome);
            }
            (machine::Reply::Claimed(claim::Reply::Full), _) => {
                self.push_notice(notice::Notice::ClaimsFull);
            }
            (machine::Reply::Aged(count), _) if *count > 0 => {
                self.push_notice(notice::Notice::Expired(*count));
            }
            _ => {}
        }
    }

    fn log_change(&mut self, command: &command::Command, change: &change::Change) {
        let notice = match change {
            change::Change::Configured { number, .. } => accepted_notice(command, *number),
            change::Change::Joined(member) => Some(member_notice(command, member)),
            change::Change::Forgotten(instance) => {
                Some(notice::Notice::Forgotten(instance.clone()))
            }
            change::Change::Placed(group, placed) => {
                Some(notice::Notice::Placed(group.clone(), placed.fence, placed.members.clone()))
            }
            change::Change::Unplaced(group) => Some(notice::Notice::Unplaced(group.clone())),
        };
        notice.into_iter().for_each(|notice| self.push_notice(notice));
    }

    fn log_rejected_patch(&mut self, patch: &patch::Patch, outcome: &patch::Outcome) {
        let reason = match outcome {
            patch::Outcome::Accepted(_) => return,
            patch::Outcome::Stale { .. } => "its base is not the number in force",
            patch::Outcome::Invalid(_) => "its result violates rules",
            patch::Outcome::Reused => "its identifier was used with other content",
        };
        self.push_notice(notice::Notice::Refused(patch.identifier.clone(), reason));
    }
}

fn accepted_notice(
    command: &command::Command,
    number: number::Configuration,
) -> Option<notice::Notice> {
    match command {
        command::Command::Submit(patch) => {
            Some(notice::Notice::Accepted(number, patch.identifier.clone()))
        }
        _ => None,
    }
}

fn member_notice(command: &command::Command, member: &fleet::Member) -> notice::Notice {
    let instance: name::Instance = member.announcement.instance.clone();
    match command {
        command::Command::Leaving { .. } => notice::Notice::Leaving(instance),
        command::Command::Absent { .. } => notice::Notice::Absent(instance),
        _ => notice::Notice::Joined(instance, member.incarnation),
    }
}

fn response_to(reply: machine::Reply) -> control::Response {
    match reply {
        machine::Reply::Submitted(outcome) => control::Response::Submitted(outcome),
        machine::Reply::Claimed(reply) => control::Response::Claimed(reply),
        machine::Reply::Recorded => control::Response::Recorded,
        machine::Reply::Announced(_)
        | machine::Reply::Superseded
        | machine::Reply::Placed(_)
        | machine::Reply::Unplaceable(_)
        | machine::Reply::Aged(_)
        | machine::Reply::Done => control::Response::Unavailable,
    }
}
