//! Demand for each model, by which the capacity plan of a pool follows the work that clients send.
//!
//! Declared shares stand until the demand shows that another division leaves the models more capacity
//! when a part of their groups is lost. The plan then rests on the loads measured at that time, not on
//! the current ones: groups are moved at the expense of those that serve, so a plan is replaced only by
//! a clearly better one, after a time that doubles with each change.

use super::plan;
use crate::{declaration, peer};
use hyssopfork_wire::{clock, name};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::fmt;
use std::net;
use std::time::Duration;

/// Age from which an entry's report no longer counts. Entries report at least every 0.65 s.
const MAX_REPORT_AGE: Duration = Duration::from_millis(1_500);

/// Time between two evaluations of a plan.
const EVALUATION_INTERVAL: Duration = Duration::from_millis(200);

/// Latest evaluations whose lowest load counts: shorter bursts end before groups have moved.
const WINDOW: usize = 4;

/// Stress, of the model with the highest one, up to which a plan is kept in any case.
const ACCEPTABLE_STRESS: f64 = 0.6;

/// Ratio of the stress of a new plan to that of the current one up to which the new one is better by
/// more than the uncertainty of the loads.
const MAX_STRESS_RATIO: f64 = 0.8;

/// Factor by which the load of a model that would lose groups is taken higher: its requests take longer
/// with fewer groups.
const LOSING_LOAD_FACTOR: f64 = 1.3;

/// Half-life of a load's recent peak. A plan has to carry peaks, and a load is underestimated while
/// entries are lost.
const PEAK_HALF_LIFE: Duration = Duration::from_secs(15);

/// Time between the first two changes of a plan.
const MIN_CHANGE_INTERVAL: Duration = Duration::from_secs(8);

/// Longest time between two changes.
const MAX_CHANGE_INTERVAL: Duration = Duration::from_secs(120);

/// Time without a change after which the interval is [`MIN_CHANGE_INTERVAL`] again.
const INTERVAL_RESET: Duration = Duration::from_secs(300);

/// Time after an outage before the demand is measured again. Entries halve the weight of an arrival in
/// that time.
const OUTAGE_SETTLE_TIME: Duration = Duration::from_secs(2);

/// Largest load of one model that is believed, in groups.
const MAX_LOAD: f64 = 10_000.0;

/// Loads that a pool's plan is computed from, in thousandths of what one group can serve.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Basis {
    /// Load of each model.
    pub loads_millis: BTreeMap<name::Model, u64>,
}

impl Basis {
    /// Load of a model, in groups.
    pub fn load(&self, model: &name::Model) -> f64 {
        self.loads_millis.get(model).map_or(0.0, |load| *load as f64 / 1_000.0)
    }
}

/// What a pool's plan is evaluated against.
#[derive(Clone, Copy, Debug)]
pub struct Input<'a> {
    /// The pool's engines, as declared.
    pub engine: &'a declaration::Engine,
    /// Recent peak count of the instances of each domain.
    pub domains: &'a BTreeMap<name::Domain, usize>,
    /// The pool's models.
    pub models: &'a [plan::Model],
}

/// Reason for a change of a pool's plan.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// The new basis.
    pub basis: Basis,
    /// Stress of the previous plan, by the new loads.
    pub stress_before: f64,
    /// Stress of the new plan.
    pub stress_after: f64,
}

impl fmt::Display for Change {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "stress_before={:.2} stress_after={:.2}",
            self.stress_before, self.stress_after
        )?;
        for (model, load) in &self.basis.loads_millis {
            write!(formatter, " load_{model}={:.2}", *load as f64 / 1_000.0)?;
        }
        Ok(())
    }
}

/// What is known of the plan of one pool.
#[derive(Clone, Debug, Default)]
struct PoolState {
    basis: Option<Basis>,
    evaluated_at: Option<clock::Instant>,
    changed_at: Option<clock::Instant>,
    /// Latest time at which a domain or a zone was out.
    suspended_at: Option<clock::Instant>,
    interval: Duration,
    /// Loads at the latest evaluations.
    ///
    /// Invariant: at most [`WINDOW`].
    latest: VecDeque<Basis>,
    /// Recent peak load of each model, in groups.
    peaks: BTreeMap<name::Model, f64>,
}

impl PoolState {
    /// Updates the recent peaks with the current loads; returns the peaks, or `None` before there are
    /// enough evaluations.
    fn update_peaks(&mut self, elapsed: Duration, current: Basis) -> Option<Basis> {
        let decay = 0.5_f64.powf(elapsed.as_secs_f64() / PEAK_HALF_LIFE.as_secs_f64());
        self.peaks.values_mut().for_each(|peak| *peak *= decay);
        self.latest.push_back(current);
        if self.latest.len() < WINDOW {
            return None;
        }
        let models = self.latest.iter().flat_map(|basis| basis.loads_millis.keys());
        for model in models {
            let lowest = self.latest.iter().map(|basis| basis.load(model)).fold(MAX_LOAD, f64::min);
            let peak = self.peaks.entry(model.clone()).or_default();
            *peak = peak.max(lowest);
        }
        self.latest.pop_front();
        let millis = self.peaks.iter().map(|(model, load)| (model.clone(), (load * 1e3) as u64));
        Some(Basis { loads_millis: millis.collect() })
    }
}

/// Reports of the entries, and the basis of each pool's plan.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    reports: BTreeMap<net::SocketAddr, (clock::Instant, Vec<peer::Demand>)>,
    pools: BTreeMap<name::Pool, PoolState>,
}

impl Demand {
    /// Takes over the plans of an earlier leader.
    pub fn inherit(&mut self, plans: BTreeMap<name::Pool, Basis>) {
        for (pool, basis) in plans {
            self.pools.entry(pool).or_default().basis = Some(basis);
        }
    }

    /// Records the report of an entry.
    pub fn record(&mut self, now: clock::Instant, from: net::SocketAddr, demands: &[peer::Demand]) {
        if !demands.is_empty() {
            self.reports.insert(from, (now, demands.to_vec()));
        }
    }

    /// The basis of the pool's plan; `None` while the declared shares stand.
    pub fn basis(&self, pool: &name::Pool) -> Option<&Basis> {
        self.pools.get(pool)?.basis.as_ref()
    }

    /// The bases of all plans that don't rest on declared shares.
    pub fn plans(&self) -> BTreeMap<name::Pool, Basis> {
        let known =
            self.pools.iter().filter_map(|(pool, it)| Some((pool.clone(), it.basis.clone()?)));
        known.collect()
    }

    /// Whether entries have reported demand for the pool recently.
    pub fn is_known(&self, now: clock::Instant, pool: &name::Pool) -> bool {
        let is_fresh = |at: &clock::Instant| now.since(*at) < MAX_REPORT_AGE;
        let has_demand = |demands: &[peer::Demand]| {
            demands.iter().any(|it| it.pool == *pool && it.concurrency_millis > 0)
        };
        self.reports.values().any(|(at, demands)| is_fresh(at) && has_demand(demands))
    }

    /// Whether entries have reported demand for the model recently.
    pub fn is_requested(
        &self,
        now: clock::Instant,
        pool: &name::Pool,
        model: &name::Model,
    ) -> bool {
        let is_for_model =
            |it: &peer::Demand| it.pool == *pool && it.model == *model && it.concurrency_millis > 0;
        let mut fresh = self.reports.values().filter(|(at, _)| now.since(*at) < MAX_REPORT_AGE);
        fresh.any(|(_, demands)| demands.iter().any(is_for_model))
    }

    /// Drops the latest measurements of the pool: while a domain or a zone is out, they don't show the
    /// demand that the plan has to carry.
    pub fn suspend(&mut self, now: clock::Instant, pool: &name::Pool) {
        if let Some(state) = self.pools.get_mut(pool) {
            state.latest.clear();
            state.suspended_at = Some(now);
        }
    }

    /// Measures the demand, and replaces the pool's plan if the demand calls for it and `may_change`
    /// holds; returns the change.
    pub fn evaluate(
        &mut self,
        now: clock::Instant,
        pool: &name::Pool,
        input: &Input<'_>,
        may_change: bool,
    ) -> Option<Change> {
        let Input { engine, domains, models } = *input;
        self.reports.retain(|_, (at, _)| now.since(*at) < MAX_REPORT_AGE);
        let state = self.pools.entry(pool.clone()).or_default();
        if state.evaluated_at.is_some_and(|at| now.since(at) < EVALUATION_INTERVAL)
            || state.suspended_at.is_some_and(|at| now.since(at) < OUTAGE_SETTLE_TIME)
        {
            return None;
        }
        let last_evaluation = state.evaluated_at.replace(now).unwrap_or(now);
        let basis = measure(self.reports.values().flat_map(|(_, demands)| demands), pool, engine)
            .and_then(|current| state.update_peaks(now.since(last_evaluation), current));
        if !may_change || state.changed_at.is_some_and(|at| now.since(at) < state.interval) {
            return None;
        }
        let layout = |basis: Option<&Basis>| {
            let none = plan::Layout::new();
            plan::compute_layout(domains, models, basis, plan::RESERVE_SHARE, &none)
        };
        let change = basis.and_then(|basis| {
            let current = layout(state.basis.as_ref());
            let next = layout(Some(&basis));
            let groups =
                |layout: &plan::Layout, model: &name::Model| plan::count_groups(layout, model);
            let is_losing = |model: &name::Model| groups(&next, model) < groups(&current, model);
            let stress_before = plan::stress(&current, domains, models, |it| basis.load(it));
            let stress_after = plan::stress(&next, domains, models, |model| {
                let factor = if is_losing(model) { LOSING_LOAD_FACTOR } else { 1.0 };
                basis.load(model) * factor
            });
            let is_better = stress_before > ACCEPTABLE_STRESS
                && stress_after <= stress_before * MAX_STRESS_RATIO;
            is_better.then_some(Change { basis, stress_before, stress_after })
        });
        let change = change?;
        let is_first = state.changed_at.is_none_or(|at| now.since(at) >= INTERVAL_RESET);
        state.interval = if is_first {
            MIN_CHANGE_INTERVAL
        } else {
            (state.interval * 2).min(MAX_CHANGE_INTERVAL)
        };
        state.changed_at = Some(now);
        state.basis = Some(change.basis.clone());
        Some(change)
    }
}

/// The load of each model of the pool; `None` without any demand.
fn measure<'a>(
    demands: impl Iterator<Item = &'a peer::Demand>,
    pool: &name::Pool,
    engine: &declaration::Engine,
) -> Option<Basis> {
    let mut totals: BTreeMap<&name::Model, f64> = BTreeMap::new();
    let is_declared = |demand: &&peer::Demand| {
        demand.pool == *pool && engine.models.iter().any(|model| model.name == demand.model)
    };
    for demand in demands.filter(is_declared) {
        *totals.entry(&demand.model).or_default() += demand.concurrency_millis as f64 / 1_000.0;
    }
    let slots = f64::from(engine.slots.max(1));
    let load = |concurrency: f64| ((concurrency / slots).min(MAX_LOAD) * 1_000.0) as u64;
    let loads_millis: BTreeMap<name::Model, u64> = totals
        .into_iter()
        .filter(|(_, concurrency)| *concurrency > 0.0)
        .map(|(model, concurrency)| (model.clone(), load(concurrency)))
        .collect();
    (!loads_millis.is_empty()).then_some(Basis { loads_millis })
}
