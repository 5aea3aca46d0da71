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

use crate::average;
use hyssopfork_wire::name;
use std::collections::{BTreeMap, VecDeque};

/// Worth of a turn in tokens before any cost was seen.
const FIRST_QUANTUM: u64 = 64;

/// Requests over which the worth of a turn is averaged. A turn of the mean cost serves about one
/// request, so that a round over all teams is as short as it can be without many empty turns.
const QUANTUM_SPAN: f64 = 256.0;

#[derive(Clone, Debug)]
struct Lane<T> {
    weight: u32,
    deficit: u64,
    cost: u64,
    items: VecDeque<(u64, T)>,
}

/// Queues of all teams.
#[derive(Clone, Debug)]
pub struct Scheduler<T> {
    lanes: BTreeMap<name::Team, Lane<T>>,
    /// Teams with work, in the order of their turns; the first has the turn.
    turns: VecDeque<name::Team>,
    /// Whether the first of `turns` has had its turn's worth added.
    opened: bool,
    mean: average::Average,
    cost: u64,
    length: usize,
}

impl<T> Default for Scheduler<T> {
    fn default() -> Self {
        Scheduler {
            lanes: BTreeMap::new(),
            turns: VecDeque::new(),
            opened: false,
            mean: average::Average::new(QUANTUM_SPAN),
            cost: 0,
            length: 0,
        }
    }
}

impl<T> Scheduler<T> {
    /// Sets a team's weight; teams without one have weight 1.
    pub fn weigh(&mut self, team: &name::Team, weight: u32) {
        self.lane(team).weight = weight.max(1);
    }

    /// Adds an item at the end of its team's queue.
    pub fn push(&mut self, team: &name::Team, cost: u32, item: T) {
        let cost = u64::from(cost.max(1));
        let lane = self.lane(team);
        lane.items.push_back((cost, item));
        self.mean.add(cost as f64);
        self.pushed(team, cost);
    }

    /// Puts an item back at the front of its team's queue.
    pub fn restore(&mut self, team: &name::Team, cost: u32, item: T) {
        let cost = u64::from(cost.max(1));
        let lane = self.lane(team);
        lane.items.push_front((cost, item));
        lane.deficit += cost;
        self.pushed(team, cost);
    }

    /// Takes the item whose turn it is.
    pub fn pop(&mut self) -> Option<T> {
        loop {
            let team = self.turns.front()?.clone();
            let opened = self.opened;
            let quantum = self.quantum();
            let lane = self.lane(&team);
            if !opened {
                lane.deficit += quantum * u64::from(lane.weight);
                self.opened = true;
                continue;
            }
            let Some(&(cost, _)) = lane.items.front() else {
                self.close(&team);
                continue;
            };
            if cost > lane.deficit {
                self.turns.rotate_left(1);
                self.opened = false;
                continue;
            }
            lane.deficit -= cost;
            let item = lane.items.pop_front().map(|(_, item)| item);
            self.popped(&team, cost);
            return item;
        }
    }

    /// Removes the items for which `remove` says so, and returns them.
    pub fn extract(&mut self, mut remove: impl FnMut(&T) -> bool) -> Vec<T> {
        let mut removed = Vec::new();
        for lane in self.lanes.values_mut() {
            let items = std::mem::take(&mut lane.items);
            for (cost, item) in items {
                if remove(&item) {
                    lane.cost -= cost;
                    self.cost -= cost;
                    self.length -= 1;
                    removed.push(item);
                } else {
                    lane.items.push_back((cost, item));
                }
            }
        }
        removed
    }

    /// Cost that will be served before an item of `cost` that the team adds now, with all teams
    /// sharing by weight: its own backlog, and of each other team as much as it may take
    /// meanwhile.
    pub fn ahead(&self, team: &name::Team, cost: u32) -> u64 {
        let own = self.lanes.get(team);
        let weight = own.map_or(1, |lane| lane.weight);
        let backlog = own.map_or(0, |lane| lane.cost);
        let turn = (backlog + u64::from(cost)) / u64::from(weight) + self.quantum();
        let others = self.turns.iter().filter(|other| *other != team);
        let others = others.filter_map(|other| self.lanes.get(other));
        let others: u64 = others.map(|lane| lane.cost.min(turn * u64::from(lane.weight))).sum();
        backlog + others
    }

    /// Cost of all that waits.
    pub fn cost(&self) -> u64 {
        self.cost
    }

    /// Cost of what waits for one team.
    pub fn cost_of(&self, team: &name::Team) -> u64 {
        self.lanes.get(team).map_or(0, |lane| lane.cost)
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
        self.mean.get().map_or(FIRST_QUANTUM, |mean| mean.ceil() as u64)
    }

    fn lane(&mut self, team: &name::Team) -> &mut Lane<T> {
        if !self.lanes.contains_key(team) {
            let lane = Lane { weight: 1, deficit: 0, cost: 0, items: VecDeque::new() };
            self.lanes.insert(team.clone(), lane);
        }
        self.lanes.get_mut(team).expect("the lane was just added")
    }

    fn pushed(&mut self, team: &name::Team, cost: u64) {
        let lane = self.lane(team);
        lane.cost += cost;
        self.cost += cost;
        self.length += 1;
        if !self.turns.contains(team) {
            self.turns.push_back(team.clone());
        }
    }

    fn popped(&mut self, team: &name::Team, cost: u64) {
        let lane = self.lane(team);
        lane.cost -= cost;
        let empty = lane.items.is_empty();
        self.cost -= cost;
        self.length -= 1;
        if empty {
            self.close(team);
        }
    }

    /// Ends the turn of a team that has nothing left: what it did not use is not saved up.
    fn close(&mut self, team: &name::Team) {
        self.lane(team).deficit = 0;
        self.turns.pop_front();
        self.opened = false;
    }
}
