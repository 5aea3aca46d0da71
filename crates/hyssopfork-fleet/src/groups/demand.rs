//! Demand for each model, by which the capacity plan of a pool follows the work that clients send.
//!
//! Declared shares stand until the demand shows that another division leaves the models more capacity
//! when a part of their groups is lost. The plan then rests on the loads measured at that time, not on
//! the current ones: groups are moved at the expense of those that serve, so a plan is replaced only by
//! a clearly better one, after a time that doubles with each change.

use super::{moves, plan};
use crate::{declaration, peer};
use hyssopfork_wire::{clock, name};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::fmt;
use std::net;
use std::sync::Arc;
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
/// more than the uncertainty of the loads, if engines load weights from the store for it.
const MAX_STRESS_RATIO: f64 = 0.8;

/// Same by the groups whose engines have the weights at hand. They cost a few seconds of some groups.
const MAX_STRESS_RATIO_AT_HAND: f64 = 0.9;

/// Period over which the rise of a load is measured.
const RISE_PERIOD: Duration = Duration::from_secs(1);

/// Least rise over [`RISE_PERIOD`] in relation to the load, and in standard deviations of the number of
/// concurrent requests (its square root, as arrivals are independent). A smaller rise may be noise.
const MIN_RISE_RATIO: f64 = 0.1;
const MIN_RISE_DEVIATIONS: f64 = 2.0;

/// Least number of concurrent requests in standard deviations.
const MIN_LEVEL_DEVIATIONS: f64 = 4.0;

/// Largest part of a rise that one entry, or one step of the measurement, may account for. The burst of
/// one entry's clients says nothing about the others', and a step isn't a slope.
const MAX_RISE_PART: f64 = 0.6;

/// Largest expected load in relation to the current one.
const MAX_EXPECTED_RATIO: f64 = 2.0;

/// Longest time for which loads are kept. A change that loads weights from the store must be worth it
/// by the average of the time that it takes, since demand that falls sooner gains nothing by it.
const MAX_HISTORY: Duration = Duration::from_secs(30);

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
    /// Layout of the current plan.
    pub layout: &'a plan::Layout,
    /// Engines that new groups may be formed of.
    pub supply: &'a moves::Supply,
}

impl Input<'_> {
    /// The change to a plan that rests on `basis`, for the loads of `expected`; `None` if that gives no
    /// model more groups or the current plan is acceptable.
    fn change_to(&self, basis: &Basis, expected: &Basis) -> Option<Change> {
        let Input { domains, models, layout, .. } = *self;
        let reserve = plan::RESERVE_SHARE;
        let next = plan::compute_layout(domains, models, Some(basis), reserve, layout);
        let gains = moves::sources_of_gains(layout, &next, models, self.supply);
        let slowest = gains.values().flatten().max().copied()?;
        let groups = |layout: &plan::Layout, model: &name::Model| plan::count_groups(layout, model);
        let is_losing = |model: &name::Model| groups(&next, model) < groups(layout, model);
        let stress_with = |layout: &plan::Layout| {
            plan::stress(layout, domains, models, |model| {
                let factor = if is_losing(model) { LOSING_LOAD_FACTOR } else { 1.0 };
                expected.load(model) * factor
            })
        };
        let change = Change {
            basis: basis.clone(),
            stress_before: plan::stress(layout, domains, models, |it| expected.load(it)),
            stress_after: stress_with(&next),
            stress_soon: stress_with(&moves::without_stored(&next, &gains)),
            slowest,
            rises: BTreeMap::new(),
        };
        (change.stress_before > ACCEPTABLE_STRESS).then_some(change)
    }
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
    /// Stress of the new plan before the groups that load weights from the store are there.
    pub stress_soon: f64,
    /// Slowest source of the weights that its moves need.
    pub slowest: moves::Source,
    /// Clear rise of each model's load that the plan anticipates, in groups per second.
    pub rises: BTreeMap<name::Model, f64>,
}

impl Change {
    /// Whether the change is worth it by the groups whose engines have the weights at hand.
    fn is_worth_moves_at_hand(&self) -> bool {
        self.stress_soon <= self.stress_before * MAX_STRESS_RATIO_AT_HAND
    }

    /// Whether the change is worth it although engines load weights from the store.
    fn is_worth_loads(&self) -> bool {
        self.stress_after <= self.stress_before * MAX_STRESS_RATIO
    }
}

impl fmt::Display for Change {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "stress_before={:.2} stress_after={:.2} stress_soon={:.2} weights={}",
            self.stress_before, self.stress_after, self.stress_soon, self.slowest
        )?;
        for (model, load) in &self.basis.loads_millis {
            write!(formatter, " load_{model}={:.2}", *load as f64 / 1_000.0)?;
        }
        for (model, rise) in &self.rises {
            write!(formatter, " rise_{model}={rise:.2}")?;
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
    /// Loads at earlier evaluations, the oldest first.
    ///
    /// Invariant: none is older than [`MAX_HISTORY`].
    history: VecDeque<(clock::Instant, Basis)>,
    /// Basis of a plan that carries the recent peaks.
    peak_basis: Option<Basis>,
    /// Loads of each entry within [`RISE_PERIOD`], the oldest first.
    samples: VecDeque<Sample>,
    /// Clear rise of each model's load, in groups per second.
    rises: BTreeMap<name::Model, f64>,
    /// The peaks, and the loads that are expected by the rises where these are higher.
    expected_basis: Option<Basis>,
}

impl PoolState {
    fn record_sample(&mut self, sample: Sample) {
        let now = sample.at;
        self.samples.push_back(sample);
        while self.samples.front().is_some_and(|it| now.since(it.at) > RISE_PERIOD) {
            self.samples.pop_front();
        }
    }

    /// Updates the expected loads by the clear rises: each load at the time at which a group is formed
    /// that loads weights from its hosts.
    fn update_expected(&mut self, pool: &name::Pool, engine: &declaration::Engine) {
        let slots = f64::from(engine.slots.max(1));
        let names = engine.models.iter().map(|model| &model.name);
        let rises = names.filter_map(|model| {
            Some((model.clone(), clear_rise(&self.samples, pool, model)? / slots))
        });
        self.rises = rises.collect();
        let Some(last) = self.samples.back().filter(|_| !self.rises.is_empty()) else {
            self.expected_basis = None;
            return;
        };
        let horizon = (moves::STAGED_LOAD_TIME + engine.formation).as_secs_f64();
        self.expected_basis = self.peak_basis.clone().map(|mut basis| {
            for (model, rise) in &self.rises {
                let level = last.total(pool, model) / slots;
                let expected = (level + rise * horizon).min(level * MAX_EXPECTED_RATIO);
                let millis = (expected.min(MAX_LOAD) * 1_000.0) as u64;
                let load = basis.loads_millis.entry(model.clone()).or_default();
                *load = millis.max(*load);
            }
            basis
        });
    }

    fn record_history(&mut self, now: clock::Instant, current: Basis) {
        self.history.push_back((now, current));
        while self.history.front().is_some_and(|(at, _)| now.since(*at) > MAX_HISTORY) {
            self.history.pop_front();
        }
    }

    /// Average load of each model over the last `period`; `None` if that has not passed yet.
    fn mean_load(&self, now: clock::Instant, period: Duration) -> Option<Basis> {
        let (first, _) = self.history.front()?;
        // The oldest record may be up to an interval younger than the period.
        if now.since(*first) + EVALUATION_INTERVAL < period {
            return None;
        }
        let recent = self.history.iter().filter(|(at, _)| now.since(*at) <= period);
        let recent: Vec<&Basis> = recent.map(|(_, basis)| basis).collect();
        let mut loads_millis: BTreeMap<name::Model, u64> = BTreeMap::new();
        for (model, load) in recent.iter().flat_map(|basis| &basis.loads_millis) {
            *loads_millis.entry(model.clone()).or_default() += load;
        }
        let count = recent.len().max(1) as u64;
        loads_millis.values_mut().for_each(|load| *load /= count);
        Some(Basis { loads_millis })
    }

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

/// A report of one entry.
type Report = Arc<[peer::Demand]>;

/// Reports of all entries at the time of a measurement.
#[derive(Clone, Debug)]
struct Sample {
    at: clock::Instant,
    reports: BTreeMap<net::SocketAddr, Report>,
}

impl Sample {
    /// Number of concurrent requests of the model that each entry reports.
    fn by_entry(
        &self,
        pool: &name::Pool,
        model: &name::Model,
    ) -> impl Iterator<Item = (&net::SocketAddr, f64)> {
        self.reports.iter().map(|(entry, report)| {
            let matching = report.iter().filter(|it| it.pool == *pool && it.model == *model);
            (entry, matching.map(|it| it.concurrency_millis as f64 / 1_000.0).sum())
        })
    }

    fn total(&self, pool: &name::Pool, model: &name::Model) -> f64 {
        self.by_entry(pool, model).map(|(_, concurrency)| concurrency).sum()
    }
}

/// Rise of a model's concurrent requests per second over the samples; `None` unless it is clear.
fn clear_rise(samples: &VecDeque<Sample>, pool: &name::Pool, model: &name::Model) -> Option<f64> {
    let (first, last) = (samples.front()?, samples.back()?);
    let elapsed = last.at.since(first.at);
    // The oldest sample may be up to an interval younger than the period. An entry that starts to
    // report adds demand that was there before.
    let is_comparable = elapsed + EVALUATION_INTERVAL > RISE_PERIOD
        && samples.iter().all(|sample| sample.reports.keys().eq(first.reports.keys()));
    if !is_comparable {
        return None;
    }
    let totals: Vec<f64> = samples.iter().map(|sample| sample.total(pool, model)).collect();
    let level = *totals.last()?;
    let rise = level - *totals.first()?;
    let deviation = level.sqrt();
    let is_over_noise = level >= MIN_LEVEL_DEVIATIONS * deviation
        && rise >= (MIN_RISE_DEVIATIONS * deviation).max(MIN_RISE_RATIO * level);
    let steps = totals.iter().zip(totals.iter().skip(1)).map(|(before, after)| after - before);
    let by_entry = last.by_entry(pool, model).zip(first.by_entry(pool, model));
    let entries = by_entry.map(|((_, after), (_, before))| after - before);
    let largest_part = steps.chain(entries).fold(0.0, f64::max);
    let is_clear = is_over_noise && largest_part <= rise * MAX_RISE_PART;
    is_clear.then(|| rise / elapsed.as_secs_f64())
}

/// Reports of the entries, and the basis of each pool's plan.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    reports: BTreeMap<net::SocketAddr, (clock::Instant, Report)>,
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
            self.reports.insert(from, (now, demands.into()));
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
            state.samples.clear();
            state.suspended_at = Some(now);
        }
    }

    /// Measures the demand for the pool, if that is due; returns whether the plan may change now.
    pub fn measure(
        &mut self,
        now: clock::Instant,
        pool: &name::Pool,
        engine: &declaration::Engine,
    ) -> bool {
        self.reports.retain(|_, (at, _)| now.since(*at) < MAX_REPORT_AGE);
        let state = self.pools.entry(pool.clone()).or_default();
        if state.evaluated_at.is_some_and(|at| now.since(at) < EVALUATION_INTERVAL)
            || state.suspended_at.is_some_and(|at| now.since(at) < OUTAGE_SETTLE_TIME)
        {
            return false;
        }
        let last_evaluation = state.evaluated_at.replace(now).unwrap_or(now);
        let reports = self.reports.values().flat_map(|(_, report)| report.iter());
        let current = measure(reports, pool, engine);
        let reports = self.reports.iter();
        let reports = reports.map(|(entry, (_, report))| (*entry, report.clone())).collect();
        state.record_sample(Sample { at: now, reports });
        state.record_history(now, current.clone().unwrap_or_default());
        state.peak_basis =
            current.and_then(|current| state.update_peaks(now.since(last_evaluation), current));
        state.update_expected(pool, engine);
        state.changed_at.is_none_or(|at| now.since(at) >= state.interval)
    }

    /// Whether another plan might be better for the measured demand than the one with this layout.
    pub fn is_stressed(
        &self,
        pool: &name::Pool,
        domains: &BTreeMap<name::Domain, usize>,
        models: &[plan::Model],
        layout: &plan::Layout,
    ) -> bool {
        let Some(state) = self.pools.get(pool) else { return false };
        let stress = |basis: &Basis| plan::stress(layout, domains, models, |it| basis.load(it));
        let mut bases = state.expected_basis.iter().chain(&state.peak_basis);
        bases.any(|basis| stress(basis) > ACCEPTABLE_STRESS)
    }

    /// Replaces the pool's plan if the measured demand calls for it; returns the change.
    pub fn evaluate(
        &mut self,
        now: clock::Instant,
        pool: &name::Pool,
        input: &Input<'_>,
    ) -> Option<Change> {
        let state = self.pools.get_mut(pool)?;
        let peaks = state.peak_basis.as_ref()?;
        let period = moves::store_load_time(input.engine).min(MAX_HISTORY);
        let lasting = state.mean_load(now, period);
        let is_worth_by = |expected: &Basis| {
            input.change_to(peaks, expected).is_some_and(|change| change.is_worth_loads())
        };
        let is_worth = |change: &Change| {
            let is_lasting = || lasting.as_ref().is_some_and(is_worth_by);
            change.is_worth_moves_at_hand() || change.is_worth_loads() && is_lasting()
        };
        let expected = state.expected_basis.as_ref();
        let anticipating = expected.and_then(|expected| {
            let change = input.change_to(expected, expected)?;
            Some(Change { rises: state.rises.clone(), ..change })
        });
        // A rise says nothing about the time that a load from the store takes.
        let change = anticipating
            .filter(Change::is_worth_moves_at_hand)
            .or_else(|| input.change_to(peaks, peaks).filter(is_worth))?;
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
