//! An engine that joins, opens and leaves as it is told, and notices when it is told what must not
//! be.

use crate::fixture;
use hyssopfork_fleet::announcement::{Announcement, Membership, State};
use hyssopfork_fleet::groups::order::{Order, Outcome, Report, Task};
use hyssopfork_wire::{clock, name};
use std::collections::BTreeSet;
use std::net;
use std::time::Duration;

/// Time to take up the model of the last group, one that the host holds, and any other.
const LAST: Duration = Duration::from_millis(200);
const STAGED: Duration = Duration::from_secs(1);
const LOAD: Duration = Duration::from_secs(10);
/// Time from the order to open until the head takes requests.
const FORMATION: Duration = Duration::from_millis(300);

/// The engine.
#[derive(Clone, Debug)]
pub struct Engine {
    pub told: Announcement,
    pub alive: bool,
    /// Members of its group, in order.
    pub members: Vec<name::Instance>,
    /// Whether it is ready under this membership, or has been.
    pub was_ready: bool,
    /// Epochs under which it has been ready in this life.
    ready_epochs: BTreeSet<u64>,
    /// When it last called.
    pub called: clock::Instant,
    last: Option<name::Model>,
    model: Option<name::Model>,
    ready_at: Option<clock::Instant>,
    open_at: Option<clock::Instant>,
    staging: Option<(name::Model, clock::Instant)>,
    newest_epoch: u64,
    newest_members: Vec<name::Instance>,
    /// Orders that it has taken.
    orders: u64,
}

impl Engine {
    pub fn new(number: u8, domain: &str, now: clock::Instant) -> Engine {
        let told = Announcement {
            domain: name::Domain::from(domain),
            zone: name::Zone::new(format!("z-{domain}")),
            address: net::SocketAddr::from(([10, 1, 0, number], 8_000)),
            ..fixture::announcement(&format!("e{number}"))
        };
        Engine {
            told,
            alive: true,
            members: Vec::new(),
            was_ready: false,
            ready_epochs: BTreeSet::new(),
            called: now,
            last: None,
            model: None,
            ready_at: None,
            open_at: None,
            staging: None,
            newest_epoch: 0,
            newest_members: Vec::new(),
            orders: 0,
        }
    }

    /// Ends this life and starts another one under the same name.
    pub fn restart(&mut self, now: clock::Instant) {
        let staged = self.told.staged.clone();
        let (start_time_ms, number) = (self.told.start_time_ms + 1, self.told.address);
        let told = Announcement {
            start_time_ms,
            staged,
            sequence: 0,
            membership: None,
            loaded: None,
            ..self.told.clone()
        };
        let fresh = Engine::new(0, "", now);
        *self = Engine { told: Announcement { address: number, ..told }, ..fresh };
    }

    pub fn is_open_in(&self, group: &name::Group, epoch: u64) -> bool {
        let membership = self.told.membership.as_ref();
        self.alive
            && membership.is_some_and(|it| {
                it.group == *group
                    && it.epoch == epoch
                    && it.rank == 0
                    && matches!(it.state, State::Open | State::Closing)
            })
    }

    /// Whether it has been ready under this epoch, also if it has left it since.
    pub fn has_been_ready(&self, epoch: u64) -> bool {
        self.ready_epochs.contains(&epoch)
    }

    /// Lets time pass; whether anything changed that is told at once.
    pub fn pass(&mut self, now: clock::Instant) -> bool {
        let before = self.told.clone();
        if self.ready_at.take_if(|at| *at <= now).is_some() {
            self.set(State::Ready);
            self.was_ready = true;
            self.ready_epochs.extend(self.told.membership.as_ref().map(|it| it.epoch));
            self.last = self.model.clone();
            self.told.loaded = self.model.clone();
            self.stage(self.model.clone());
        }
        if self.open_at.take_if(|at| *at <= now).is_some() {
            self.set(State::Open);
        }
        if let Some((model, _)) = self.staging.take_if(|(_, at)| *at <= now) {
            self.stage(Some(model));
        }
        self.told != before
    }

    pub fn report(&self) -> Report {
        Report { orders: self.orders, membership: self.told.membership.clone() }
    }

    /// Carries out an order.
    pub fn obey(&mut self, now: clock::Instant, order: &Order) -> Outcome {
        if order.instance != self.told.instance {
            return Outcome::Stranger;
        }
        if order.expected.is_some_and(|expected| expected != self.orders) {
            return Outcome::Unfit;
        }
        let holds = self.holds(order);
        let outcome = if holds { Outcome::Accepted } else { self.carry_out(now, order) };
        self.orders += u64::from(outcome == Outcome::Accepted && !holds);
        outcome
    }

    /// Whether the order would begin something.
    pub fn takes(&self, now: clock::Instant, order: &Order) -> bool {
        !self.holds(order) && self.clone().obey(now, order) == Outcome::Accepted
    }

    /// Whether the order would begin nothing: such an order is answered with yes and not counted.
    fn holds(&self, order: &Order) -> bool {
        let state = self.told.membership.as_ref().map(|membership| membership.state);
        match &order.task {
            Task::Join { members, .. } => self.is_in(order) && self.members == *members,
            Task::Open => {
                self.is_in(order) && (self.open_at.is_some() || state == Some(State::Open))
            }
            Task::Leave => state.is_none(),
            Task::Close | Task::Stage(_) => false,
        }
    }

    fn carry_out(&mut self, now: clock::Instant, order: &Order) -> Outcome {
        match &order.task {
            Task::Join { model, members } => self.join(now, order, model, members),
            Task::Stage(model) => {
                self.staging = Some((model.clone(), now + LOAD));
                Outcome::Accepted
            }
            Task::Open | Task::Close | Task::Leave if !self.is_in(order) => Outcome::Unfit,
            Task::Open if !self.was_ready => Outcome::Unfit,
            Task::Open => {
                self.open_at = Some(now + FORMATION);
                Outcome::Accepted
            }
            Task::Close => {
                self.set(State::Ready);
                Outcome::Accepted
            }
            Task::Leave => {
                self.drop_membership();
                Outcome::Accepted
            }
        }
    }

    fn join(
        &mut self,
        now: clock::Instant,
        order: &Order,
        model: &name::Model,
        members: &[name::Instance],
    ) -> Outcome {
        let other = order.epoch == self.newest_epoch && self.newest_members != members;
        if order.epoch < self.newest_epoch || other {
            return Outcome::Outdated;
        }
        let rank = members.iter().position(|it| *it == self.told.instance);
        let Some(rank) = rank else { return Outcome::Unfit };
        let time = if self.last.as_ref() == Some(model) {
            LAST
        } else if self.told.staged.contains(model) {
            STAGED
        } else {
            LOAD
        };
        self.drop_membership();
        self.newest_epoch = order.epoch;
        self.newest_members = members.to_vec();
        self.members = members.to_vec();
        self.model = Some(model.clone());
        self.ready_at = Some(now + time);
        self.told.membership = Some(Membership {
            group: order.group.clone(),
            epoch: order.epoch,
            rank: rank as u32,
            state: State::Joining,
        });
        Outcome::Accepted
    }

    fn drop_membership(&mut self) {
        self.told.membership = None;
        self.told.loaded = None;
        self.members.clear();
        self.was_ready = false;
        self.ready_at = None;
        self.open_at = None;
    }

    fn is_in(&self, order: &Order) -> bool {
        self.told.is_in(&order.group, order.epoch)
    }

    fn set(&mut self, state: State) {
        if let Some(membership) = &mut self.told.membership {
            membership.state = state;
        }
    }

    fn stage(&mut self, model: Option<name::Model>) {
        self.told.staged = model.into_iter().collect();
    }
}
