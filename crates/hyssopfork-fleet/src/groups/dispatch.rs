//! Sends orders to engines and handles their outcomes.

use super::group::Phase;
use super::{Command, Groups, failure_detector, order, reports};
use crate::{notice, registry};
use hyssopfork_wire::{clock, name};
use std::net;
use std::time::Duration;

/// Interval at which an order that shows no effect is sent again. An answer takes milliseconds, and
/// an engine announces a change at once, but one announcement may be lost.
const ORDER_RETRY_INTERVAL: Duration = Duration::from_millis(700);

/// An order that was sent and whose outcome is not known yet.
#[derive(Clone, Debug)]
pub(super) struct PendingOrder {
    group: name::Group,
    instance: name::Instance,
    epoch: u64,
    kind: reports::Kind,
    /// Model of an order to join.
    joined_model: Option<name::Model>,
    is_staging: bool,
    /// Whether the order has a precondition.
    is_conditional: bool,
}

impl Groups {
    /// Handles the outcome of the order `id`.
    pub fn on_order_outcome(
        &mut self,
        id: u64,
        outcome: order::Outcome,
        registry: &mut registry::Registry,
    ) -> Vec<Command> {
        let Some(order) = self.pending_orders.remove(&id) else { return Vec::new() };
        if order.is_staging && outcome != order::Outcome::Accepted {
            self.pending_stagings.remove(&order.instance);
        }
        let notice = notice::Notice::Ordered(order.instance.clone(), order.group.clone(), outcome);
        self.push_notice(notice);
        match outcome {
            order::Outcome::Accepted => {
                self.reports.record_order(&order.instance, order.kind, order.epoch);
                if let Some(model) = &order.joined_model {
                    registry.record_load(&order.instance, model);
                }
            }
            order::Outcome::Unknown => {
                if order.kind == reports::Kind::Join {
                    self.reports.record_unanswered(&order.instance, order.epoch);
                }
                // Sent again at once: an order is idempotent within its epoch.
                if let Some(group) = self.groups.get_mut(&order.group) {
                    group.order_sent_at.remove(&order.instance);
                }
            }
            // The engine may refuse only this process's connections.
            order::Outcome::Unreachable => self.failure_detector.suspect(&order.instance),
            order::Outcome::WrongInstance => {
                if registry.mark_dead(&order.instance) {
                    let evidence = failure_detector::Evidence::Order(outcome);
                    let instance = order.instance.clone();
                    self.push_notice(notice::Notice::Lost(instance, evidence));
                }
            }
            // The engine has accepted an order that this leader doesn't know of, and may be in
            // another group.
            order::Outcome::Conflict if order.is_conditional => {
                self.reports.invalidate(&order.instance);
                self.on_join_rejected(&order, registry);
            }
            order::Outcome::Outdated if order.kind != reports::Kind::Leave => {
                self.on_join_rejected(&order, registry);
            }
            order::Outcome::Conflict | order::Outcome::Outdated => {}
        }
        if order.kind == reports::Kind::Leave && self.has_left(&order, outcome, registry) {
            self.on_member_left(&order.group, &order.instance, registry);
        }
        self.take_commands()
    }

    /// Ends a group whose order to join was rejected. Engines also reject a duplicate of an order
    /// that they have accepted; such an engine is in the group, which may have been ordered to open.
    fn on_join_rejected(&mut self, order: &PendingOrder, registry: &registry::Registry) {
        let joins = self
            .groups
            .get(&order.group)
            .is_some_and(|group| matches!(group.phase, Phase::Preparing | Phase::Joining));
        if joins && !is_in_ordered_group(order, registry) {
            self.end_group(&order.group);
        }
    }

    /// Whether the outcome of an order to leave shows that the engine has left its group. An engine
    /// that the order did not reach may still serve clients with its group open; counted as free, it
    /// would join another group meanwhile.
    fn has_left(
        &self,
        order: &PendingOrder,
        outcome: order::Outcome,
        registry: &registry::Registry,
    ) -> bool {
        match outcome {
            order::Outcome::Accepted | order::Outcome::Outdated => true,
            order::Outcome::Conflict => !is_in_ordered_group(order, registry),
            order::Outcome::WrongInstance
            | order::Outcome::Unreachable
            | order::Outcome::Unknown => false,
        }
    }

    /// Sends an order, unless it was sent within [`ORDER_RETRY_INTERVAL`].
    pub(super) fn send_order_if_due(
        &mut self,
        now: clock::Instant,
        name: &name::Group,
        instance: &name::Instance,
        task: order::Task,
        registry: &registry::Registry,
    ) {
        let Some(record) = registry.get(instance) else { return };
        let Some(group) = self.groups.get_mut(name) else { return };
        if group
            .order_sent_at
            .get(instance)
            .is_some_and(|sent| now.since(*sent) < ORDER_RETRY_INTERVAL)
        {
            return;
        }
        let joins = matches!(task, order::Task::Join { .. });
        if joins && !self.order_bucket.try_take(now) {
            return;
        }
        group.order_sent_at.insert(instance.clone(), now);
        let (epoch, address) = (group.epoch, record.announcement.address);
        let expected = self.reports.expected_orders(&record.announcement).filter(|_| joins);
        self.send_order(instance, address, (name.clone(), epoch), task, expected);
    }

    /// Sends an order and records it as pending.
    pub(super) fn send_order(
        &mut self,
        instance: &name::Instance,
        address: net::SocketAddr,
        (group, epoch): (name::Group, u64),
        task: order::Task,
        expected_orders: Option<u64>,
    ) {
        self.last_order_id += 1;
        let kind = match task {
            order::Task::Join { .. } => reports::Kind::Join,
            order::Task::Leave => reports::Kind::Leave,
            order::Task::Open | order::Task::Close | order::Task::Stage(_) => reports::Kind::Other,
        };
        let joined_model = match &task {
            order::Task::Join { model, .. } => Some(model.clone()),
            _ => None,
        };
        let order = PendingOrder {
            group: group.clone(),
            instance: instance.clone(),
            epoch,
            kind,
            joined_model,
            is_staging: matches!(task, order::Task::Stage(_)),
            is_conditional: expected_orders.is_some(),
        };
        self.pending_orders.insert(self.last_order_id, order);
        self.commands.push(Command::Order(order::Order {
            id: self.last_order_id,
            instance: instance.clone(),
            address,
            group,
            epoch,
            task,
            expected_orders,
        }));
    }
}

/// Whether the engine announces that it is in the order's group.
fn is_in_ordered_group(order: &PendingOrder, registry: &registry::Registry) -> bool {
    let announcement = registry.get(&order.instance).map(|record| &record.announcement);
    announcement.is_some_and(|it| it.is_in(&order.group, order.epoch))
}
