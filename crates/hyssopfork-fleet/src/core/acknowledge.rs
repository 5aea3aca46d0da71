//! Calls that are answered once enough instances have received their change.

use super::{Core, Leadership};
use crate::{acknowledgement, action, notice, seats};
use hyssopfork_consensus::{event as log_event, node};
use hyssopfork_wire::{clock, name};
use std::collections::BTreeSet;
use std::net;
use std::time::Duration;

/// Time after a refused connection for which an instance counts as ended; its process may have started
/// since. Longer than the interval of the messages that are refused, and shorter than
/// [`acknowledgement::RECEIPT_TIMEOUT`]: a refusal from before a cut no longer counts once a change has waited
/// for the instances that were cut off.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(400);

/// What shows that an entry has received a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Receipt {
    /// It has the declaration of this version.
    Declaration(u64),
    /// It has the view of this revision; `None` until the change is published.
    View(Option<u64>),
}

/// A call whose change is applied.
#[derive(Clone, Copy, Debug)]
pub(super) struct HeldCall {
    pub(super) call: u64,
    pub(super) receipt: Receipt,
    applied_at: clock::Instant,
}

impl Core {
    /// Answers a call whose change is applied, or holds it until enough instances have the change.
    pub(super) fn acknowledge(&mut self, call: u64, receipt: Receipt) {
        if self.former_voters().is_empty() {
            return self.reply(call, action::Reply::Done);
        }
        let applied_at = self.now;
        match &mut self.leadership {
            Some(leadership) => {
                leadership.held_calls.push(HeldCall { call, receipt, applied_at });
            }
            None => self.reply(call, action::Reply::Unknown),
        }
    }

    /// Answers the held calls whose changes enough instances have received, and those that have waited
    /// for too long.
    pub(super) fn answer_held_calls(&mut self) {
        let Some(leadership) = &mut self.leadership else { return };
        let held = std::mem::take(&mut leadership.held_calls);
        let mut kept = Vec::new();
        for it in held {
            let waited = self.now.since(it.applied_at);
            let members = self.members(Some(it.receipt));
            let states: Vec<_> = members.iter().map(|(_, member)| *member).collect();
            if self.is_active_leader() && acknowledgement::may_acknowledge(&states, waited) {
                self.reply(it.call, action::Reply::Done);
            } else if waited >= super::PROPOSAL_TIMEOUT {
                let is_missing = |member: &acknowledgement::Member| !member.has_received;
                let missing = members.into_iter().filter(|(_, member)| is_missing(member));
                self.push_notice(notice::Notice::AcknowledgementWithheld {
                    missing: missing.map(|(instance, _)| instance).collect(),
                    members: states.len() + 1,
                });
                self.reply(it.call, action::Reply::Unknown);
            } else {
                kept.push(it);
            }
        }
        if let Some(leadership) = &mut self.leadership {
            leadership.held_calls = kept;
        }
    }

    /// Records that a connection to another process was refused.
    pub(super) fn on_refused(&mut self, address: net::SocketAddr) {
        let now = self.now;
        if let Some(leadership) = &mut self.leadership {
            leadership.refusals.retain(|_, at| now.since(*at) < REFUSAL_TIMEOUT);
            leadership.refusals.insert(address, now);
        }
    }

    /// Whether an instance refuses connections and has not answered since it was last refused.
    pub(super) fn has_ended(&self, instance: &name::Instance) -> bool {
        let (Some(leadership), Some(node)) = (&self.leadership, &self.node) else { return false };
        let refused_at = super::address_of(instance).and_then(|it| leadership.refusals.get(&it));
        let age = refused_at.map(|at| self.now.since(*at));
        let answer_age = node.answer_age(instance, self.now).unwrap_or(Duration::MAX);
        age.is_some_and(|age| age < REFUSAL_TIMEOUT && age < answer_age)
    }

    /// Instances without a seat that had one and may run.
    fn former_voters(&self) -> Vec<name::Instance> {
        let Some(node) = &self.node else { return Vec::new() };
        let is_counted = |it: &&name::Instance| !node.is_absent(it) || self.is_in_contact(it);
        let former = node.superseded().iter().chain(node.displaced());
        former.filter(|it| !has_seat(node, it)).filter(is_counted).cloned().collect()
    }

    fn is_in_contact(&self, instance: &name::Instance) -> bool {
        let age = self.node.as_ref().and_then(|node| node.answer_age(instance, self.now));
        age.is_some_and(|age| age < acknowledgement::CONTACT_TIMEOUT)
    }

    /// Other instances that have a seat, or had one and may run.
    fn members(&self, receipt: Option<Receipt>) -> Vec<(name::Instance, acknowledgement::Member)> {
        let (Some(leadership), Some(node)) = (&self.leadership, &self.node) else {
            return Vec::new();
        };
        let own = super::instance_of(self.settings.address);
        let seats = node.voters().iter().map(|seat| seat.instance.clone());
        let instances = seats.chain(self.former_voters()).filter(|it| *it != own);
        let term_age = self.now.since(leadership.watches.term_start);
        let is_new_term = term_age < acknowledgement::CONTACT_TIMEOUT;
        let to_member = |instance: &name::Instance| {
            let is_in_contact = self.is_in_contact(instance);
            acknowledgement::Member {
                has_received: receipt.is_some_and(|it| leadership.has_received(instance, it)),
                is_in_contact,
                is_awaited: is_in_contact || is_new_term,
                has_ended: self.has_ended(instance),
            }
        };
        instances.map(|instance| (instance.clone(), to_member(&instance))).collect()
    }

    /// Records in the log which former voters stop or have been silent for long, so that the next leader
    /// doesn't wait for them.
    ///
    /// While most instances are out of contact, silence alone shows no end: this process may be the one that
    /// is cut off. A refused connection alone shows none either: the process may start again.
    pub(super) fn update_absent_instances(&mut self) {
        self.update_heard_times();
        let (Some(leadership), Some(node)) = (&self.leadership, &self.node) else { return };
        let members: Vec<_> = self.members(None).into_iter().map(|(_, member)| member).collect();
        let has_contact = acknowledgement::has_contact(&members);
        let term_age = self.now.since(leadership.watches.term_start);
        let is_absent = |instance: &&name::Instance| {
            let silence = leadership.heard_at.get(instance).map(|at| self.now.since(*at));
            let silence = silence.unwrap_or(term_age);
            let has_ended = has_contact || self.has_ended(instance);
            let is_gone = silence >= seats::VOTER_TIMEOUT && has_ended;
            let is_leaving = node.is_leaving(instance, self.now);
            let stays_absent = node.is_absent(instance) && !self.is_in_contact(instance);
            is_leaving || is_gone || stays_absent
        };
        let former = node.superseded().iter().chain(node.displaced());
        let absent: Vec<_> =
            former.filter(|it| !has_seat(node, it)).filter(is_absent).cloned().collect();
        let is_recorded = |it: &name::Instance| node.is_absent(it);
        let count = node.superseded().iter().filter(|it| is_recorded(it)).count();
        if count != absent.len() || !absent.iter().all(is_recorded) {
            self.push_log_event(log_event::Event::SetAbsent(absent));
        }
    }

    /// Records when instances last answered: the log forgets it of a voter that loses its seat.
    fn update_heard_times(&mut self) {
        let (Some(leadership), Some(node)) = (&mut self.leadership, &self.node) else { return };
        let former = node.superseded().iter().chain(node.displaced());
        let known: BTreeSet<_> =
            node.voters().iter().map(|seat| &seat.instance).chain(former).collect();
        leadership.heard_at.retain(|instance, _| known.contains(instance));
        for instance in known {
            if let Some(age) = node.answer_age(instance, self.now) {
                leadership.heard_at.insert(instance.clone(), self.now - age);
            }
        }
    }
}

fn has_seat(node: &node::Node, instance: &name::Instance) -> bool {
    node.voters().iter().any(|seat| seat.instance == *instance)
}

impl Leadership {
    fn has_received(&self, instance: &name::Instance, receipt: Receipt) -> bool {
        let Some(address) = super::address_of(instance) else { return false };
        match receipt {
            Receipt::Declaration(version) => self.watches.has_declaration(address, version),
            Receipt::View(Some(revision)) => {
                self.watches.has_revision(address, self.publisher.stamp().term, revision)
            }
            Receipt::View(None) => false,
        }
    }

    /// Records that `revision` is the first to publish the changes of the held calls.
    pub(super) fn on_published(&mut self, revision: u64) {
        self.watches.on_published(revision);
        for held in &mut self.held_calls {
            if let Receipt::View(published @ None) = &mut held.receipt {
                *published = Some(revision);
            }
        }
    }
}
