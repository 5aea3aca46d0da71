//! The entry as a step function: events in, actions out.

mod completion;
mod costs;
mod crash;
mod departures;
mod fleet_view;
mod interruption;
mod named_rates;
mod pauses;
mod quarantine;
mod queue;
mod scheduling;
mod serve;
mod sharing;
mod stall;

use crate::{
    action, demand, event, fleet_limit, leaving, load, moves, notice, pause, rank_reserve,
    rate_limit, readiness, request, retry_budget, retry_schedule, routing, selection, settings,
    target,
};
use hyssopfork_fleet::{peer, view};
use hyssopfork_wire::{clock, name};
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::mem;
use std::net;
use std::time::Duration;

/// Age up to which the time of an upstream's last bytes is reported to the leader, which judges the
/// upstream by it.
const ACTIVITY_REPORT_TIME: Duration = Duration::from_secs(2);

/// The entry.
#[derive(Debug)]
pub struct Core {
    settings: settings::Settings,
    table: Option<routing::Table>,
    /// Version of the newest accepted declaration that is known.
    newest_version: u64,
    /// Time up to which all acknowledged declarations are known to have at most `newest_version`: when
    /// the newest answered watch was sent, not when its answer arrived.
    confirmed_at: clock::Instant,
    /// For the log only.
    silence_monitor: readiness::Monitor,
    excluded_zones: BTreeSet<name::Zone>,
    /// Entries that share the fleet's limits.
    entries: BTreeMap<net::SocketAddr, ()>,
    upstreams: BTreeMap<name::Instance, view::Upstream>,
    groups: BTreeMap<name::Group, view::Group>,
    /// Serving or suspended group of each head.
    groups_by_head: BTreeMap<name::Instance, name::Group>,
    targets: BTreeMap<name::Instance, target::Target>,
    /// Since when the view has listed the group of an epoch as lost or suspended, or lacked it.
    unavailable_since: BTreeMap<u64, clock::Instant>,
    /// Division of the fleet's limits among the entries.
    members: fleet_limit::Members,
    /// Numbers of entries that the rates of upstreams were last divided by, for windows of each length.
    rate_divisors: [usize; 3],
    /// Rank of this entry among those that the retry budget is divided among.
    retry_rank: usize,
    retry_budgets: BTreeMap<name::Pool, retry_budget::Budget>,
    move_buckets: BTreeMap<name::Pool, moves::Bucket>,
    pauses: pause::Pauses,
    leaving: leaving::Leaving,
    /// Average load of this process and of others, for each pool and model.
    baselines: BTreeMap<(name::Pool, Option<name::Model>), load::Baseline>,
    /// Demand for each pool and model of engines.
    demands: BTreeMap<(name::Pool, name::Model), demand::Meter>,
    costs: costs::Costs,
    retry_schedules: BTreeMap<(name::Pool, Option<name::Model>), retry_schedule::Schedule>,
    rank_reserves: BTreeMap<request::Kind, rank_reserve::Reserve>,
    scheduling: scheduling::Scheduling,
    queue: queue::Queue,
    crashes: crash::Crashes,
    quarantine: quarantine::Quarantine,
    /// Exchange of counts with the other entries; `None` if disabled.
    sharing: Option<sharing::Sharing>,
    requests: BTreeMap<u64, request::Request>,
    started_at: clock::Instant,
    /// Whether any request has arrived.
    has_traffic: bool,
    stopping: bool,
    rng: rand_chacha::ChaCha8Rng,
    now: clock::Instant,
    actions: Vec<action::Action>,
}

impl Core {
    /// Creates an entry whose process started at `now`; `seed` seeds its random numbers.
    pub fn new(settings: settings::Settings, seed: u64, now: clock::Instant) -> Core {
        let max_window = settings.retry_window.max(rate_limit::MAX_WINDOW);
        Core {
            settings,
            table: None,
            newest_version: 0,
            confirmed_at: now,
            silence_monitor: readiness::Monitor::default(),
            excluded_zones: BTreeSet::new(),
            entries: BTreeMap::new(),
            upstreams: BTreeMap::new(),
            groups: BTreeMap::new(),
            groups_by_head: BTreeMap::new(),
            targets: BTreeMap::new(),
            unavailable_since: BTreeMap::new(),
            members: fleet_limit::Members::new(now, max_window),
            rate_divisors: [1; 3],
            retry_rank: 0,
            retry_budgets: BTreeMap::new(),
            move_buckets: BTreeMap::new(),
            pauses: pause::Pauses::default(),
            leaving: leaving::Leaving::default(),
            baselines: BTreeMap::new(),
            demands: BTreeMap::new(),
            costs: costs::Costs::default(),
            retry_schedules: BTreeMap::new(),
            rank_reserves: BTreeMap::new(),
            scheduling: scheduling::Scheduling::default(),
            queue: queue::Queue::default(),
            crashes: crash::Crashes::default(),
            quarantine: quarantine::Quarantine::default(),
            sharing: None,
            requests: BTreeMap::new(),
            started_at: now,
            has_traffic: false,
            stopping: false,
            rng: rand_chacha::ChaCha8Rng::seed_from_u64(seed),
            now,
            actions: Vec::new(),
        }
    }

    /// Whether new connections are accepted, for the load balancer.
    pub fn is_ready(&self) -> bool {
        !self.stopping && self.table.is_some()
    }

    /// Routing table of the current declaration.
    pub fn table(&self) -> Option<&routing::Table> {
        self.table.as_ref()
    }

    /// Number of requests that have not ended.
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// Handles an event and returns the actions to carry out, in order.
    pub fn step(&mut self, now: clock::Instant, event: event::Event) -> Vec<action::Action> {
        self.now = self.now.max(now);
        match event {
            event::Event::Tick => self.on_tick(),
            event::Event::VersionConfirmed { confirmed_at, newest_version } => {
                self.on_version_confirmed(confirmed_at, newest_version)
            }
            event::Event::Declared(declaration) => self.on_declared(declaration),
            event::Event::ViewUpdated(update, declaration) => {
                self.on_view_updated(*update, declaration)
            }
            event::Event::Arrived(number, arrival) => self.on_arrival(number, *arrival),
            event::Event::HeadReceived(number, head) => self.on_head(number, head),
            event::Event::EventsReceived(number, last) => self.on_events(number, last),
            event::Event::ResponseReceived(number, head) => self.on_response(number, head),
            event::Event::LargeResponseReceived(number, head) => {
                self.on_large_response(number, head)
            }
            event::Event::StreamCompleted(number) => self.on_stream_completed(number),
            event::Event::AttemptFailed(number, fault, head) => {
                self.on_attempt_failed(number, fault, head)
            }
            event::Event::Probed(process, refused) => self.on_probed(&process, refused),
            event::Event::IdleTimeout(number) => self.on_idle_timeout(number),
            event::Event::QueueTimeout(number) => self.on_queue_timeout(number),
            event::Event::DeadlineExceeded(number) => self.on_deadline(number),
            event::Event::ClientDisconnected(number) => self.on_client_disconnected(number),
            event::Event::SharingInterval => self.on_sharing_interval(),
            event::Event::CountsReceived(from, message) => self.on_counts_received(from, message),
            event::Event::Stop => self.on_stop(),
        }
        self.release_after_change();
        mem::take(&mut self.actions)
    }

    fn on_stop(&mut self) {
        self.stopping = true;
        let open = self.requests.len();
        self.log(notice::Notice::Leaving(open));
    }

    fn on_tick(&mut self) {
        self.crashes.expire(self.now);
        self.quarantine.expire(self.now);
        self.pauses.expire(self.now);
        self.leaving.expire(self.now, &self.upstreams);
        self.update_rate_shares();
        self.expire_unavailable_epochs();
        self.expire_scheduling();
        self.report_leader_silence();
        self.report_evidence();
    }

    /// Reports to the leader what this entry has observed.
    fn report_evidence(&mut self) {
        let instances_where = |predicate: &dyn Fn(&target::Target) -> bool| {
            let matching = self.targets.iter().filter(|(_, target)| predicate(target));
            matching.map(|(instance, _)| instance.clone()).collect()
        };
        let now = self.now;
        let ages = self
            .targets
            .iter()
            .map(|(instance, target)| (instance.clone(), now.since(target.last_bytes_at)));
        let progressing = ages.filter(|(_, age)| *age < ACTIVITY_REPORT_TIME).collect();
        let evidence = peer::Evidence {
            stalled: instances_where(&|target| {
                target.suspected || target.is_stalled(now) || target.health.is_backing_off(now)
            }),
            progressing,
            busy: instances_where(&|target| target.load.own_requests > 0),
            traffic: self.has_traffic,
            crashes: self.crashes.confirmed(now),
            completions: self.quarantine.completions(now),
            trials: self.quarantine.trials(now),
            rates: self.rate_changes(now),
            demands: self.reported_demands(now),
            leaving: self.leaving.to_report(&self.upstreams),
        };
        self.actions.push(action::Action::Report(evidence));
    }

    /// Demand for each model, for the leader's capacity plan.
    fn reported_demands(&self, now: clock::Instant) -> Vec<peer::Demand> {
        let reported = self.demands.iter().map(|((pool, model), meter)| peer::Demand {
            pool: pool.clone(),
            model: model.clone(),
            concurrency_millis: (meter.concurrency(now) * 1_000.0) as u64,
        });
        reported.collect()
    }

    /// Number of entries that share the fleet's limits, at least this one.
    fn entry_count(&self) -> usize {
        self.entries.len().max(1)
    }

    /// This process's requests at the upstreams of the pool and model.
    fn own_load(&self, pool: &name::Pool, model: Option<&name::Model>) -> load::OwnLoad {
        let serves =
            |target: &&target::Target| target.pool == *pool && target.model.as_ref() == model;
        let loads = self.targets.values().filter(serves).map(|target| target.load.own_requests);
        let empty = load::OwnLoad { requests: 0, upstreams: 0 };
        loads.fold(empty, |own, load| load::OwnLoad {
            requests: own.requests + load,
            upstreams: own.upstreams + 1,
        })
    }

    /// Average load of the upstreams of the pool and model.
    fn average_load(&self, pool: &name::Pool, model: Option<&name::Model>) -> load::Average {
        let own = self.own_load(pool, model);
        let baseline = self.baselines.get(&(pool.clone(), model.cloned())).copied();
        let baseline = baseline.unwrap_or_else(|| load::Baseline::new(self.entry_count()));
        load::Average { own, others: baseline.others(self.now, own) }
    }

    /// Requirements of a request; `is_retry` if it has been accepted before.
    fn query<'a>(&'a self, request: &'a request::Request, is_retry: bool) -> selection::Query<'a> {
        selection::Query {
            pool: &request.pool,
            model: request.model.as_ref(),
            zone: &self.settings.zone,
            excluded: &request.excluded,
            priority: request.priority(self.now, is_retry),
            forecast: self.forecast(request),
            reserve: self.rank_reserve(request),
        }
    }

    /// Constraints on the selection of an upstream for the request.
    fn constraints(&self, request: &request::Request) -> selection::Constraints<'_> {
        selection::Constraints {
            excluded_zones: &self.excluded_zones,
            pauses: &self.pauses,
            average: self.average_load(&request.pool, request.model.as_ref()),
        }
    }

    fn random_fraction(&mut self) -> f64 {
        self.rng.random()
    }

    fn log(&mut self, notice: notice::Notice) {
        self.actions.push(action::Action::Notice(notice));
    }

    fn decide(&mut self, number: u64, decision: action::Decision) {
        self.actions.push(action::Action::Decide(number, decision));
    }
}
