//! Deficit round robin (DRR) over teams, by cost.
//!
//! A hot team may send twenty times its share, or a few very long prompts, while the others send as
//! usual. First come, first served would give each team service in proportion to what it sends:
//! small teams would wait behind the hot team's backlog.
//!
//! Each team has its own queue, and teams with waiting requests take turns. A turn is worth the
//! mean cost of a request times the team's weight; the unused rest is kept for the team's next turn
//! while it still has requests. The wait of a small team is bounded by one turn of each other team,
//! whatever their backlogs.

use crate::ewma;
use hyssopfork_wire::name;
use std::collections::{BTreeMap, VecDeque};

/// Quantum before any cost is known.
const INITIAL_QUANTUM_TOKENS: u64 = 64;

/// Requests over which the quantum is averaged. A quantum of the mean cost serves about one
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
    /// Teams with waiting items, in the order of their turns; the first has the turn.
    active: VecDeque<name::Team>,
    /// Whether the first of `active` has received its quantum for this turn.
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
    /// Sets a team's weight; the default is 1.
    pub fn set_weight(&mut self, team: &name::Team, weight: u32) {
        self.backlog_mut(team).weight = weight.max(1);
    }

    /// Appends an item to its team's queue.
    pub fn push(&mut self, team: &name::Team, cost: u32, item: T) {
        let cost = u64::from(cost.max(1));
        let backlog = self.backlog_mut(team);
        backlog.items.push_back((cost, item));
        self.mean_cost.add(cost as f64);
        self.on_push(team, cost);
    }

    /// Puts an item back at the front of its team's queue, and returns its cost to the team's
    /// deficit.
    pub fn push_front(&mut self, team: &name::Team, cost: u32, item: T) {
        let cost = u64::from(cost.max(1));
        let backlog = self.backlog_mut(team);
        backlog.items.push_front((cost, item));
        backlog.deficit += cost;
        self.on_push(team, cost);
    }

    /// Removes the next item in turn.
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

    /// Removes and returns the items that `remove` selects.
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

    /// Cost that is served before an item of `cost` that the team adds now, with all teams sharing
    /// by weight: the team's own backlog, and of each other team as much as it may take meanwhile.
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

    /// Cost of all waiting items.
    pub fn cost(&self) -> u64 {
        self.cost
    }

    /// Cost of one team's waiting items.
    pub fn team_cost(&self, team: &name::Team) -> u64 {
        self.backlogs.get(team).map_or(0, |backlog| backlog.cost)
    }

    /// Number of waiting items.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Whether no item waits.
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

    /// Ends the turn of a team without waiting items: its unused deficit is not saved.
    fn end_turn(&mut self, team: &name::Team) {
        self.backlog_mut(team).deficit = 0;
        self.active.pop_front();
        self.has_quantum = false;
    }
}
