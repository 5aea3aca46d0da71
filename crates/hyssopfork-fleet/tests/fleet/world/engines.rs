//! The world's engines: how orders and probes reach them, and how they announce themselves.

use super::{Delivery, HEARTBEAT, LATENCY, TIMEOUT, World};
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
    pub most: u64,
}

impl OrderFaults {
    fn draw(&mut self) -> Option<Duration> {
        let late = self.random.below(100) < self.percent;
        late.then(|| Duration::from_millis(self.random.below(self.most)))
    }
}

impl World {
    /// Adds engines to a domain.
    pub fn add_engines(&mut self, numbers: std::ops::RangeInclusive<u8>, domain: &str) {
        for number in numbers {
            let engine = engine::Engine::new(number, domain, self.now - HEARTBEAT);
            self.engines.insert(engine.told.instance.clone(), engine);
        }
    }

    /// Cuts everything between an engine and all processes.
    pub fn cut_engine(&mut self, instance: &name::Instance) {
        let engine = self.engines[instance].told.address;
        for process in self.processes.keys().copied().collect::<Vec<_>>() {
            self.blocked_links.insert((engine, process));
            self.blocked_links.insert((process, engine));
        }
    }

    pub(super) fn engine_at(&self, address: SocketAddr) -> Option<name::Instance> {
        let at = |engine: &engine::Engine| engine.told.address == address;
        self.engines.iter().find(|(_, engine)| at(engine)).map(|(instance, _)| instance.clone())
    }

    pub(super) fn probe(&self, from: SocketAddr, to: SocketAddr) -> order::Sign {
        let engine = self.engine_at(to).and_then(|instance| self.engines.get(&instance));
        let alive = engine.is_some_and(|engine| engine.alive) && self.can_reach(from, to);
        if !alive {
            order::Sign::Missing
        } else if self.resets.contains(&to) {
            order::Sign::Refused
        } else {
            order::Sign::Alive
        }
    }

    pub(super) fn carry_order(&mut self, from: SocketAddr, order: order::Order) {
        let ended = |outcome| event::Event::OrderAnswered(order.ticket, outcome);
        let drawn = self.order_faults.as_mut().and_then(OrderFaults::draw);
        match (self.probe(from, order.address), drawn.or(self.late_orders)) {
            (order::Sign::Missing, _) => self.send(from, TIMEOUT, ended(order::Outcome::Unknown)),
            (order::Sign::Refused, _) => {
                self.send(from, LATENCY, ended(order::Outcome::Unreachable));
            }
            (order::Sign::Alive, Some(late)) => {
                self.send(from, TIMEOUT, ended(order::Outcome::Unknown));
                self.push(order.address, late, Delivery::Order(from, order));
            }
            (order::Sign::Alive, None) => {
                self.push(order.address, LATENCY, Delivery::Order(from, order));
            }
        }
    }

    pub(super) fn obey(&mut self, from: SocketAddr, order: &order::Order) {
        let Some(instance) = self.engine_at(order.address) else { return };
        if !self.engines[&instance].alive {
            return;
        }
        let now = self.now;
        if self.engines[&instance].takes(now, order) {
            invariants::check_order(&self.engines, &instance, order);
        }
        let engine = self.engines.get_mut(&instance).expect("it was found");
        let outcome = engine.obey(now, order);
        self.register(&instance);
        let slow = self.slow_answers.get(&order.address).copied().unwrap_or_default();
        self.send(from, LATENCY + slow, event::Event::OrderAnswered(order.ticket, outcome));
    }

    pub(super) fn run_engines(&mut self) {
        let now = self.now;
        let mut due = Vec::new();
        for (instance, engine) in self.engines.iter_mut().filter(|(_, engine)| engine.alive) {
            if engine.pass(now) || now.since(engine.called) >= HEARTBEAT {
                due.push(instance.clone());
            }
        }
        for instance in due {
            self.register(&instance);
        }
    }

    /// An engine calls the first process that it reaches.
    fn register(&mut self, instance: &name::Instance) {
        let now = self.now;
        let leader = self.leader();
        let engine = self.engines.get_mut(instance).expect("it is there");
        engine.called = now;
        engine.told.sequence += 1;
        let told = engine.told.clone();
        let others = self.processes.keys().copied();
        let reached = leader.into_iter().chain(others).find(|to| self.can_reach(told.address, *to));
        if let Some(to) = reached {
            self.call(to, event::announced(told));
        }
    }
}
