//! Fairness: deficit round robin over teams, by cost.
//!
//! *Pattern.* A hot team sends twenty times its share, or a few very long prompts, while others
//! send as usual.
//!
//! *Without it.* First come first served gives each team service in proportion to what it sends:
//! the hot team's backlog stands before everybody and small teams wait for it.
//!
//! *Rule.* Each team has its own queue. Teams with work take turns; a turn is worth the mean cost
//! of a request times the team's weight, and what is not used of it while the team still has work
//! is kept for its next turn. A small team's wait is then bounded by one turn of
//! each other team, whatever their backlog.

use crate::ewma;
use hyssopfork_wire::name;
use std::collections::{BTreeMap, VecDeque};

/// Worth of a turn in tokens before any cost was seen.
const INITIAL_QUANTUM_TOKENS: u64 = 64;

/// Requests over which the worth of a turn is averaged. A turn of the mean cost serves about one
/// request, so that a round over all teams is as short as it can be without many empty turns.
const QUANTUM_SPAN: f64 = 256.0;

#[derive(Clone, Debug)]
struct Backlog<T> {
    weight: u32,
    deficit: u64,
    cost: u64,
    items: VecDeque<(u64, T)>,
}

/// Queues of all teams.
#[derive(Clone, Debug)]
pub struct Scheduler<T> {
    backlogs: BTreeMap<name::Team, Backlog<T>>,
    /// Teams with work, in the order of their turns; the first has the turn.
    active: VecDeque<name::Team>,
    /// Whether the first of `turns` has had its turn's worth added.
    has_quantum: bool,
    mean_cost: ewma::Ewma,
    cost: u64,
    length: usize,
}

impl<T> Default for Scheduler<T> {
    fn default() -> Self {
        Scheduler {
            backlogs: BTreeMap::new(),
            active: VecDeque::new(),
            has_quantum: false,
            mean_cost: ewma::Ewma::new(QUANTUM_SPAN),
            cost: 0,
            length: 0,
        }
    }
}

impl<T> Scheduler<T> {
    /// Sets a team's weight; teams without one have weight 1.
    pub fn set_weight(&mut self, team: &name::Team, weight: u32) {
        self.backlog_mut(team).weight = weight.max(1);
    }

    /// Adds an item at the end of its team's queue.
    pub fn push(&mut self, team: &name::Team, cost: u32, item: T) {
        let cost = u64::from(cost.max(1));
        let backlog = self.backlog_mut(team);
        backlog.items.push_back((cost, item));
        self.mean_cost.add(cost as f64);
        self.on_push(team, cost);
    }

    /// Puts an item back at the front of its team's queue.
    pub fn push_front(&mut self, team: &name::Team, cost: u32, item: T) {
        let cost = u64::from(cost.max(1));
        let backlog = self.backlog_mut(team);
        backlog.items.push_front((cost, item));
        backlog.deficit += cost;
        self.on_push(team, cost);
    }

    /// Takes the item whose turn it is.
    pub fn pop(&mut self) -> Option<T> {
        loop {
            let team = self.active.front()?.clone();
            let has_quantum = self.has_quantum;
            let quantum = self.quantum();
            let backlog = self.backlog_mut(&team);
            if !has_quantum {
                backlog.deficit += quantum * u64::from(backlog.weight);
                self.has_quantum = true;
                continue;
            }
            let Some(&(cost, _)) = backlog.items.front() else {
                self.end_turn(&team);
                continue;
            };
            if cost > backlog.deficit {
                self.active.rotate_left(1);
                self.has_quantum = false;
                continue;
            }
            backlog.deficit -= cost;
            let item = backlog.items.pop_front().map(|(_, item)| item);
            self.on_pop(&team, cost);
            return item;
        }
    }

    /// Removes the items for which `remove` says so, and returns them.
    pub fn extract_if(&mut self, mut remove: impl FnMut(&T) -> bool) -> Vec<T> {
        let mut removed = Vec::new();
        for backlog in self.backlogs.values_mut() {
            let items = std::mem::take(&mut backlog.items);
            for (cost, item) in items {
                if remove(&item) {
                    backlog.cost -= cost;
                    self.cost -= cost;
                    self.length -= 1;
                    removed.push(item);
                } else {
                    backlog.items.push_back((cost, item));
                }
            }
        }
        removed
    }

    /// Cost that will be served before an item of `cost` that the team adds now, with all teams
    /// sharing by weight: its own backlog, and of each other team as much as it may take
    /// meanwhile.
    pub fn cost_ahead(&self, team: &name::Team, cost: u32) -> u64 {
        let own = self.backlogs.get(team);
        let weight = own.map_or(1, |backlog| backlog.weight);
        let own_cost = own.map_or(0, |backlog| backlog.cost);
        let turn = (own_cost + u64::from(cost)) / u64::from(weight) + self.quantum();
        let others = self.active.iter().filter(|other| *other != team);
        let others = others.filter_map(|other| self.backlogs.get(other));
        let others: u64 =
            others.map(|backlog| backlog.cost.min(turn * u64::from(backlog.weight))).sum();
        own_cost + others
    }

    /// Cost of all that waits.
    pub fn cost(&self) -> u64 {
        self.cost
    }

    /// Cost of what waits for one team.
    pub fn team_cost(&self, team: &name::Team) -> u64 {
        self.backlogs.get(team).map_or(0, |backlog| backlog.cost)
    }

    /// Number of items that wait.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    fn quantum(&self) -> u64 {
        self.mean_cost.mean().map_or(INITIAL_QUANTUM_TOKENS, |mean| mean.ceil() as u64)
    }

    fn backlog_mut(&mut self, team: &name::Team) -> &mut Backlog<T> {
        if !self.backlogs.contains_key(team) {
            let backlog = Backlog { weight: 1, deficit: 0, cost: 0, items: VecDeque::new() };
            self.backlogs.insert(team.clone(), backlog);
        }
        self.backlogs.get_mut(team).expect("the team's backlog was just added")
    }

    fn on_push(&mut self, team: &name::Team, cost: u64) {
        let backlog = self.backlog_mut(team);
        backlog.cost += cost;
        self.cost += cost;
        self.length += 1;
        if !self.active.contains(team) {
            self.active.push_back(team.clone());
        }
    }

    fn on_pop(&mut self, team: &name::Team, cost: u64) {
        let backlog = self.backlog_mut(team);
        backlog.cost -= cost;
        let empty = backlog.items.is_empty();
        self.cost -= cost;
        self.length -= 1;
        if empty {
            self.end_turn(team);
        }
    }

    /// Ends the turn of a team that has nothing left: what it did not use is not saved up.
    fn end_turn(&mut self, team: &name::Team) {
        self.backlog_mut(team).deficit = 0;
        self.active.pop_front();
        self.has_quantum = false;
    }
}
