//! The world's engines: how orders and probes reach them, and how they announce themselves.

use super::{Delivery, HEARTBEAT, LOST, WAY, World};
use crate::{engine, invariants, random};
use hyssopfork_fleet::event;
use hyssopfork_fleet::groups::order;
use hyssopfork_wire::name;
use std::net::SocketAddr;
use std::time::Duration;

/// A part of the orders gets no answer, and each of these is carried out at a time of its own.
#[derive(Clone, Debug)]
pub struct OrderFaults {
    pub random: random::Random,
    /// Orders of a hundred that are late.
    pub percent: u64,
    /// Longest time by which an order is late, in milliseconds.
    pub max_delay_ms: u64,
}

impl OrderFaults {
    fn draw_delay(&mut self) -> Option<Duration> {
        let late = self.random.below(100) < self.percent;
        late.then(|| Duration::from_millis(self.random.below(self.max_delay_ms)))
    }
}

impl World {
    /// Adds engines to a domain.
    pub fn add_engines(&mut self, numbers: std::ops::RangeInclusive<u8>, domain: &str) {
        for number in numbers {
            let engine = engine::Engine::new(number, domain, self.now - HEARTBEAT);
            self.engines.insert(engine.announcement.instance.clone(), engine);
        }
    }

    /// Cuts everything between an engine and all processes.
    pub fn cut_engine(&mut self, instance: &name::Instance) {
        let engine = self.engines[instance].announcement.address;
        for process in self.processes.keys().copied().collect::<Vec<_>>() {
            self.cuts.insert((engine, process));
            self.cuts.insert((process, engine));
        }
    }

    pub(super) fn engine_at(&self, address: SocketAddr) -> Option<name::Instance> {
        let at = |engine: &engine::Engine| engine.announcement.address == address;
        self.engines.iter().find(|(_, engine)| at(engine)).map(|(instance, _)| instance.clone())
    }

    pub(super) fn probe(&self, from: SocketAddr, to: SocketAddr) -> order::Liveness {
        let engine = self.engine_at(to).and_then(|instance| self.engines.get(&instance));
        let alive = engine.is_some_and(|engine| engine.alive) && self.reaches(from, to);
        if !alive {
            order::Liveness::TimedOut
        } else if self.resets.contains(&to) {
            order::Liveness::Refused
        } else {
            order::Liveness::Alive
        }
    }

    pub(super) fn send_order(&mut self, from: SocketAddr, order: order::Order) {
        let ended = |outcome| event::Event::Ordered(order.id, outcome);
        let drawn = self.order_faults.as_mut().and_then(OrderFaults::draw_delay);
        match (self.probe(from, order.address), drawn.or(self.late_orders)) {
            (order::Liveness::TimedOut, _) => self.send(from, LOST, ended(order::Outcome::Unknown)),
            (order::Liveness::Refused, _) => {
                self.send(from, WAY, ended(order::Outcome::Unreachable));
            }
            (order::Liveness::Alive, Some(late)) => {
                self.send(from, LOST, ended(order::Outcome::Unknown));
                self.push(order.address, late, Delivery::Order(from, order));
            }
            (order::Liveness::Alive, None) => {
                self.push(order.address, WAY, Delivery::Order(from, order));
            }
        }
    }

    pub(super) fn deliver_order(&mut self, from: SocketAddr, order: &order::Order) {
        let Some(instance) = self.engine_at(order.address) else { return };
        if !self.engines[&instance].alive {
            return;
        }
        let now = self.now;
        if self.engines[&instance].has_effect(now, order) {
            invariants::check(&self.engines, &instance, order);
        }
        let engine = self.engines.get_mut(&instance).expect("it was found");
        let outcome = engine.handle(now, order);
        self.announce(&instance);
        let slow = self.slow_answers.get(&order.address).copied().unwrap_or_default();
        self.send(from, WAY + slow, event::Event::Ordered(order.id, outcome));
    }

    pub(super) fn run_engines(&mut self) {
        let now = self.now;
        let mut due = Vec::new();
        for (instance, engine) in self.engines.iter_mut().filter(|(_, engine)| engine.alive) {
            if engine.advance(now) || now.since(engine.announced_at) >= HEARTBEAT {
                due.push(instance.clone());
            }
        }
        for instance in due {
            self.announce(&instance);
        }
    }

    /// An engine calls the first process that it reaches.
    fn announce(&mut self, instance: &name::Instance) {
        let now = self.now;
        let leader = self.leader();
        let engine = self.engines.get_mut(instance).expect("it is there");
        engine.announced_at = now;
        engine.announcement.sequence += 1;
        let told = engine.announcement.clone();
        let others = self.processes.keys().copied();
        let reached = leader.into_iter().chain(others).find(|to| self.reaches(told.address, *to));
        if let Some(to) = reached {
            self.call(to, event::announced(told));
        }
    }
}
