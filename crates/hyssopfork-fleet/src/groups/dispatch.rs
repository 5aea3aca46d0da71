//! Orders to engines and their outcomes.

use super::group::Stage;
use super::{Command, Groups, order, reports};
use crate::{notice, registry};
use hyssopfork_wire::{clock, name};
use std::net;
use std::time::Duration;

/// Time after which an order that shows no effect is given again: an answer takes milliseconds, an
/// engine tells of a change at once, and one call of it may be lost.
const RESEND: Duration = Duration::from_millis(700);

/// An order that has been given.
#[derive(Clone, Debug)]
pub(super) struct Ticket {
    group: name::Group,
    instance: name::Instance,
    epoch: u64,
    kind: reports::Kind,
    stages: bool,
    /// Whether the order was given under a condition.
    guarded: bool,
}

impl Groups {
    /// Takes what became of an order.
    pub fn ordered(
        &mut self,
        number: u64,
        outcome: order::Outcome,
        registry: &mut registry::Registry,
    ) -> Vec<Command> {
        let Some(ticket) = self.tickets.remove(&number) else { return Vec::new() };
        if ticket.stages && outcome != order::Outcome::Accepted {
            self.staging.remove(&ticket.instance);
        }
        let told = notice::Notice::Ordered(ticket.instance.clone(), ticket.group.clone(), outcome);
        self.note(told);
        match outcome {
            order::Outcome::Accepted => {
                self.reports.record_order(&ticket.instance, ticket.kind, ticket.epoch);
            }
            order::Outcome::Unknown => {
                if ticket.kind == reports::Kind::Join {
                    self.reports.record_unanswered(&ticket.instance, ticket.epoch);
                }
                // Given again at once: the order is idempotent under its epoch.
                if let Some(group) = self.groups.get_mut(&ticket.group) {
                    group.sent.remove(&ticket.instance);
                }
            }
            order::Outcome::Stranger | order::Outcome::Unreachable => {
                if registry.mark_dead(&ticket.instance) {
                    self.note(notice::Notice::Lost(ticket.instance.clone()));
                }
            }
            // It has accepted an order unknown to this leader and may be in another group.
            order::Outcome::Unfit if ticket.guarded => {
                self.reports.invalidate(&ticket.instance);
                self.refused(&ticket, registry);
            }
            order::Outcome::Outdated if ticket.kind != reports::Kind::Leave => {
                self.refused(&ticket, registry);
            }
            order::Outcome::Unfit | order::Outcome::Outdated => {}
        }
        if ticket.kind == reports::Kind::Leave && self.has_left(&ticket, outcome, registry) {
            self.leave(&ticket.group, &ticket.instance, registry);
        }
        self.take_commands()
    }

    /// Ends a group that an engine refused to join. Refused is also a copy of an order that it has
    /// taken: then it is in the group, which may be told to open already.
    fn refused(&mut self, ticket: &Ticket, registry: &registry::Registry) {
        let joins = self
            .groups
            .get(&ticket.group)
            .is_some_and(|group| matches!(group.stage, Stage::Preparing | Stage::Joining));
        if joins && !is_in(ticket, registry) {
            self.end(&ticket.group);
        }
    }

    /// Whether an engine is out of its group by what became of the order to leave. An engine that the
    /// order did not reach may serve clients with its group open: freed, it would join another.
    fn has_left(
        &self,
        ticket: &Ticket,
        outcome: order::Outcome,
        registry: &registry::Registry,
    ) -> bool {
        match outcome {
            order::Outcome::Accepted | order::Outcome::Outdated => true,
            order::Outcome::Unfit => !is_in(ticket, registry),
            order::Outcome::Stranger | order::Outcome::Unreachable | order::Outcome::Unknown => {
                false
            }
        }
    }

    /// Gives an order, unless it was given just now.
    pub(super) fn order(
        &mut self,
        now: clock::Instant,
        name: &name::Group,
        instance: &name::Instance,
        task: order::Task,
        registry: &registry::Registry,
    ) {
        let Some(record) = registry.get(instance) else { return };
        let Some(group) = self.groups.get_mut(name) else { return };
        if group.sent.get(instance).is_some_and(|sent| now.since(*sent) < RESEND) {
            return;
        }
        group.sent.insert(instance.clone(), now);
        let (epoch, address) = (group.epoch, record.announcement.address);
        let joins = matches!(task, order::Task::Join { .. });
        let expected = self.reports.expected(&record.announcement).filter(|_| joins);
        self.give(instance, address, (name.clone(), epoch), task, expected);
    }

    pub(super) fn give(
        &mut self,
        instance: &name::Instance,
        address: net::SocketAddr,
        (group, epoch): (name::Group, u64),
        task: order::Task,
        expected: Option<u64>,
    ) {
        self.newest += 1;
        let kind = match task {
            order::Task::Join { .. } => reports::Kind::Join,
            order::Task::Leave => reports::Kind::Leave,
            order::Task::Open | order::Task::Close | order::Task::Stage(_) => reports::Kind::Other,
        };
        let ticket = Ticket {
            group: group.clone(),
            instance: instance.clone(),
            epoch,
            kind,
            stages: matches!(task, order::Task::Stage(_)),
            guarded: expected.is_some(),
        };
        self.tickets.insert(self.newest, ticket);
        self.commands.push(Command::Order(order::Order {
            ticket: self.newest,
            instance: instance.clone(),
            address,
            group,
            epoch,
            task,
            expected,
        }));
    }
}

/// Whether the engine says that it is in the group of the order.
fn is_in(ticket: &Ticket, registry: &registry::Registry) -> bool {
    let told = registry.get(&ticket.instance).map(|record| &record.announcement);
    told.is_some_and(|told| told.is_in(&ticket.group, ticket.epoch))
}
