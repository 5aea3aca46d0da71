//! A simulated engine that joins groups, opens and leaves as ordered.

use crate::fixture;
use hyssopfork_fleet::announcement::{Announcement, Membership, State};
use hyssopfork_fleet::groups::order::{Order, Outcome, Report, Task};
use hyssopfork_wire::{clock, name};
use std::collections::BTreeSet;
use std::net;
use std::time::Duration;

/// Time to load the model of the last group.
const LAST_MODEL_TIME: Duration = Duration::from_millis(200);
/// Time to load a model that is staged on the host.
const STAGED_MODEL_TIME: Duration = Duration::from_secs(1);
/// Time to load any other model.
const LOAD_TIME: Duration = Duration::from_secs(10);
/// Time from the order to open until the head accepts requests.
const FORMATION_TIME: Duration = Duration::from_millis(300);

/// Time for which an engine neither sends nor accepts anything. It then goes on as before.
#[derive(Clone, Copy, Debug)]
pub struct Silence {
    pub since: clock::Instant,
    pub until: clock::Instant,
}

/// A simulated engine.
#[derive(Clone, Debug)]
pub struct Engine {
    pub announcement: Announcement,
    /// Whether it has announced its departure. It goes on serving and announces nothing more.
    pub departed: bool,
    pub alive: bool,
    /// Whether its host refuses connections while it is not alive. Otherwise they time out.
    pub refuses: bool,
    /// Its last silence since its process started.
    pub silence: Option<Silence>,
    /// Members of its group, in order.
    pub members: Vec<name::Instance>,
    /// Whether it is or has been ready under its current membership.
    pub was_ready: bool,
    /// Epochs under which it has been ready since its process started.
    ready_epochs: BTreeSet<u64>,
    /// Epochs of groups that it has closed on request since its process started.
    pub closed_epochs: BTreeSet<u64>,
    /// End of the work of its group's requests; a head that closes finishes it first.
    pub work_until: clock::Instant,
    /// Time of its last announcement.
    pub announced_at: clock::Instant,
    /// Process that it was told to announce itself to.
    pub heartbeat_address: Option<net::SocketAddr>,
    last_model: Option<name::Model>,
    model: Option<name::Model>,
    ready_at: Option<clock::Instant>,
    open_at: Option<clock::Instant>,
    staging: Option<(name::Model, clock::Instant)>,
    newest_epoch: u64,
    newest_members: Vec<name::Instance>,
    /// Number of orders that it has accepted.
    accepted_orders: u64,
}

impl Engine {
    pub fn new(number: u16, domain: &str, now: clock::Instant) -> Engine {
        let [high, low] = number.to_be_bytes();
        let announcement = Announcement {
            domain: name::Domain::from(domain),
            zone: name::Zone::new(format!("z-{domain}")),
            address: net::SocketAddr::from(([10, 1, high, low], 8_000)),
            ..fixture::announcement(&format!("e{number}"))
        };
        Engine {
            announcement,
            departed: false,
            alive: true,
            refuses: false,
            silence: None,
            members: Vec::new(),
            was_ready: false,
            ready_epochs: BTreeSet::new(),
            closed_epochs: BTreeSet::new(),
            work_until: clock::Instant::ORIGIN,
            announced_at: now,
            heartbeat_address: None,
            last_model: None,
            model: None,
            ready_at: None,
            open_at: None,
            staging: None,
            newest_epoch: 0,
            newest_members: Vec::new(),
            accepted_orders: 0,
        }
    }

    /// Restarts the engine's process under the same instance name.
    pub fn restart(&mut self, now: clock::Instant) {
        let staged = self.announcement.staged.clone();
        let (start_time_ms, address) =
            (self.announcement.start_time_ms + 1, self.announcement.address);
        let restarted = Announcement {
            start_time_ms,
            staged,
            sequence: 0,
            membership: None,
            loaded: None,
            ..self.announcement.clone()
        };
        let fresh = Engine::new(0, "", now);
        *self = Engine { announcement: Announcement { address, ..restarted }, ..fresh };
    }

    /// Whether it neither sends nor accepts anything at the moment, although it is alive.
    pub fn is_silent(&self, now: clock::Instant) -> bool {
        self.silence.is_some_and(|silence| now < silence.until)
    }

    /// Duration of its last silence up to now.
    pub fn silence_duration(&self, now: clock::Instant) -> Duration {
        self.silence.map_or(Duration::ZERO, |it| it.until.min(now).since(it.since))
    }

    /// Whether it is the head of the group under this epoch and open or closing.
    pub fn is_open_in(&self, group: &name::Group, epoch: u64) -> bool {
        let membership = self.announcement.membership.as_ref();
        self.alive
            && membership.is_some_and(|it| {
                it.group == *group
                    && it.epoch == epoch
                    && it.rank == 0
                    && matches!(it.state, State::Open | State::Closing)
            })
    }

    /// Whether it has been ready under this epoch, even if it has left the group since.
    pub fn has_been_ready(&self, epoch: u64) -> bool {
        self.ready_epochs.contains(&epoch)
    }

    /// Moves the engine on to `now`; returns whether its announcement changed.
    pub fn advance(&mut self, now: clock::Instant) -> bool {
        let is_due = |at: clock::Instant| at <= now;
        if self.finish_work(now) {
            return true;
        }
        let staged_at = self.staging.as_ref().map(|(_, at)| *at);
        if ![self.ready_at, self.open_at, staged_at].into_iter().flatten().any(is_due) {
            return false;
        }
        let before = self.announcement.clone();
        if self.ready_at.take_if(|at| *at <= now).is_some() {
            self.set_state(State::Ready);
            self.was_ready = true;
            self.ready_epochs.extend(self.announcement.membership.as_ref().map(|it| it.epoch));
            self.last_model = self.model.clone();
            self.announcement.loaded = self.model.clone();
            self.stage(self.model.clone());
        }
        if self.open_at.take_if(|at| *at <= now).is_some() {
            self.set_state(State::Open);
        }
        if let Some((model, _)) = self.staging.take_if(|(_, at)| *at <= now) {
            self.stage(Some(model));
        }
        self.announcement != before
    }

    /// Closes the group if its work has ended; returns whether it did.
    fn finish_work(&mut self, now: clock::Instant) -> bool {
        let membership = self.announcement.membership.as_ref();
        let is_closing = membership.is_some_and(|it| it.state == State::Closing);
        let is_finished = is_closing && self.work_until <= now;
        if is_finished {
            self.set_state(State::Ready);
        }
        is_finished
    }

    pub fn report(&self) -> Report {
        Report {
            start_time_ms: Some(self.announcement.start_time_ms),
            accepted_orders: self.accepted_orders,
            membership: self.announcement.membership.clone(),
        }
    }

    /// Handles an order and returns its outcome.
    pub fn handle(&mut self, now: clock::Instant, order: &Order) -> Outcome {
        if order.instance != self.announcement.instance {
            return Outcome::WrongInstance;
        }
        if order.expected_orders.is_some_and(|expected| expected != self.accepted_orders) {
            return Outcome::Conflict;
        }
        let duplicate = self.is_duplicate(order);
        let outcome = if duplicate { Outcome::Accepted } else { self.carry_out(now, order) };
        self.accepted_orders += u64::from(outcome == Outcome::Accepted && !duplicate);
        outcome
    }

    /// Whether the engine would accept the order and change its state.
    pub fn has_effect(&self, now: clock::Instant, order: &Order) -> bool {
        !self.is_duplicate(order) && self.clone().handle(now, order) == Outcome::Accepted
    }

    /// Whether the order is already fulfilled: it is accepted but not counted.
    fn is_duplicate(&self, order: &Order) -> bool {
        let state = self.announcement.membership.as_ref().map(|membership| membership.state);
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
                self.staging = Some((model.clone(), now + LOAD_TIME));
                Outcome::Accepted
            }
            Task::Open | Task::Close | Task::Leave if !self.is_in(order) => Outcome::Conflict,
            Task::Open if !self.was_ready => Outcome::Conflict,
            Task::Open => {
                self.open_at = Some(now + FORMATION_TIME);
                Outcome::Accepted
            }
            Task::Close => {
                self.closed_epochs.insert(order.epoch);
                self.set_state(State::Closing);
                self.finish_work(now);
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
        let differs = order.epoch == self.newest_epoch && self.newest_members != members;
        if order.epoch < self.newest_epoch || differs {
            return Outcome::Outdated;
        }
        let rank = members.iter().position(|it| *it == self.announcement.instance);
        let Some(rank) = rank else { return Outcome::Conflict };
        let load_time = if self.last_model.as_ref() == Some(model) {
            LAST_MODEL_TIME
        } else if self.announcement.staged.contains(model) {
            STAGED_MODEL_TIME
        } else {
            LOAD_TIME
        };
        self.drop_membership();
        self.newest_epoch = order.epoch;
        self.newest_members = members.to_vec();
        self.members = members.to_vec();
        self.model = Some(model.clone());
        self.ready_at = Some(now + load_time);
        self.announcement.membership = Some(Membership {
            group: order.group.clone(),
            epoch: order.epoch,
            rank: rank as u32,
            state: State::Joining,
        });
        Outcome::Accepted
    }

    fn drop_membership(&mut self) {
        self.announcement.membership = None;
        self.announcement.loaded = None;
        self.members.clear();
        self.was_ready = false;
        self.ready_at = None;
        self.open_at = None;
    }

    fn is_in(&self, order: &Order) -> bool {
        self.announcement.is_in(&order.group, order.epoch)
    }

    fn set_state(&mut self, state: State) {
        if let Some(membership) = &mut self.announcement.membership {
            membership.state = state;
        }
    }

    fn stage(&mut self, model: Option<name::Model>) {
        self.announcement.staged = model.into_iter().collect();
    }
}
