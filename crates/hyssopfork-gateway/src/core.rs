//! The step function: events in, actions out.

mod crash;
mod ending;
mod follow;
mod holds;
mod quarantine;
mod rates;
mod serve;
mod silence;

use crate::{
    action, budget, choice, event, load, moves, notice, request, returns, settings, table, target,
};
use hyssopfork_fleet::{peer, view};
use hyssopfork_wire::{clock, name};
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::mem;
use std::net;
use std::time::Duration;

/// Age up to which the leader is told when bytes last came of an upstream; it judges by the age.
const MOVING: Duration = Duration::from_secs(2);

/// The entry.
#[derive(Debug)]
pub struct Core {
    settings: settings::Settings,
    table: Option<table::Table>,
    /// Version of the newest declaration that was accepted, as far as is known.
    declared: u64,
    /// When the last view came.
    viewed_at: clock::Instant,
    out: BTreeSet<name::Zone>,
    /// Entries that share the fleet's limits.
    entries: BTreeMap<net::SocketAddr, ()>,
    upstreams: BTreeMap<name::Instance, view::Upstream>,
    groups: BTreeMap<name::Group, view::Group>,
    /// Serving group of each head.
    heads: BTreeMap<name::Instance, name::Group>,
    targets: BTreeMap<name::Instance, target::Target>,
    budgets: BTreeMap<name::Pool, budget::Budget>,
    moves: BTreeMap<name::Pool, moves::Allowance>,
    /// This process's requests beside others', for each pool and model.
    shares: BTreeMap<(name::Pool, Option<name::Model>), load::Share>,
    returns: BTreeMap<(name::Pool, Option<name::Model>), returns::Returns>,
    holds: holds::Holds,
    crashes: crash::Crashes,
    quarantine: quarantine::Quarantine,
    requests: BTreeMap<u64, request::Request>,
    /// Whether any request has come.
    traffic: bool,
    stopping: bool,
    random: rand_chacha::ChaCha8Rng,
    now: clock::Instant,
    actions: Vec<action::Action>,
}

impl Core {
    /// An entry whose process started at `now`; `seed` gives its random numbers.
    pub fn new(settings: settings::Settings, seed: u64, now: clock::Instant) -> Core {
        Core {
            settings,
            table: None,
            declared: 0,
            viewed_at: now,
            out: BTreeSet::new(),
            entries: BTreeMap::new(),
            upstreams: BTreeMap::new(),
            groups: BTreeMap::new(),
            heads: BTreeMap::new(),
            targets: BTreeMap::new(),
            budgets: BTreeMap::new(),
            moves: BTreeMap::new(),
            shares: BTreeMap::new(),
            returns: BTreeMap::new(),
            holds: holds::Holds::default(),
            crashes: crash::Crashes::default(),
            quarantine: quarantine::Quarantine::default(),
            requests: BTreeMap::new(),
            traffic: false,
            stopping: false,
            random: rand_chacha::ChaCha8Rng::seed_from_u64(seed),
            now,
            actions: Vec::new(),
        }
    }

    /// Whether new connections are welcome: for the balancer.
    pub fn is_ready(&self) -> bool {
        !self.stopping && self.table.is_some()
    }

    /// The declaration in force here.
    pub fn table(&self) -> Option<&table::Table> {
        self.table.as_ref()
    }

    /// Requests that are not over.
    pub fn open(&self) -> usize {
        self.requests.len()
    }

    /// Takes in an event and says what is to be done, in order.
    pub fn step(&mut self, now: clock::Instant, event: event::Event) -> Vec<action::Action> {
        self.now = self.now.max(now);
        match event {
            event::Event::Tick => self.tick(),
            event::Event::Viewed(update, declaration) => self.viewed(*update, declaration),
            event::Event::Arrived(number, arrival) => self.arrived(number, *arrival),
            event::Event::Headed(number, head) => self.headed(number, head),
            event::Event::Moved(number, last) => self.moved(number, last),
            event::Event::Answered(number, head) => self.answered(number, head),
            event::Event::Ended(number) => self.ended(number),
            event::Event::Failed(number, fault, load) => self.failed(number, fault, load),
            event::Event::Probed(process, refused) => self.probed(&process, refused),
            event::Event::Quiet(number) => self.quiet(number),
            event::Event::Waited(number) => self.on_queue_timeout(number),
            event::Event::Expired(number) => self.expired(number),
            event::Event::Gone(number) => self.gone(number),
            event::Event::Stop => self.stop(),
        }
        mem::take(&mut self.actions)
    }

    fn stop(&mut self) {
        self.stopping = true;
        let open = self.requests.len();
        self.note(notice::Notice::Leaving(open));
    }

    fn tick(&mut self) {
        self.crashes.forget(self.now);
        self.quarantine.forget(self.now);
        self.tell();
    }

    /// Tells the leader what was seen.
    fn tell(&mut self) {
        let named = |chosen: &dyn Fn(&target::Target) -> bool| {
            let chosen = self.targets.iter().filter(|(_, target)| chosen(target));
            chosen.map(|(instance, _)| instance.clone()).collect()
        };
        let now = self.now;
        let ages = self
            .targets
            .iter()
            .map(|(instance, target)| (instance.clone(), now.since(target.moved)));
        let progressing = ages.filter(|(_, age)| *age < MOVING).collect();
        let evidence = peer::Evidence {
            stalled: named(&|target| {
                target.suspected || target.is_stalled(now) || target.health.is_away(now)
            }),
            progressing,
            busy: named(&|target| target.load.own > 0),
            traffic: self.traffic,
            crashes: self.crashes.confirmed(now),
            completions: self.quarantine.completions(now),
            rates: self.rate_changes(now),
        };
        self.actions.push(action::Action::Tell(evidence));
    }

    /// Entries that share the fleet's limits; this one at least.
    fn entry_count(&self) -> usize {
        self.entries.len().max(1)
    }

    /// This process's requests at the upstreams of the pool and model.
    fn own_load(&self, pool: &name::Pool, model: Option<&name::Model>) -> load::Own {
        let of_kind = |it: &&target::Target| it.pool == *pool && it.model.as_ref() == model;
        let loads = self.targets.values().filter(of_kind).map(|target| target.load.own);
        let none = load::Own { requests: 0, upstreams: 0 };
        loads.fold(none, |own, load| load::Own {
            requests: own.requests + load,
            upstreams: own.upstreams + 1,
        })
    }

    /// What the upstreams of the pool and model have on average.
    fn average(&self, pool: &name::Pool, model: Option<&name::Model>) -> load::Average {
        let own = self.own_load(pool, model);
        let share = self.shares.get(&(pool.clone(), model.cloned())).copied();
        let share = share.unwrap_or_else(|| load::Share::of(self.entry_count()));
        load::Average { own, others: share.others(self.now, own) }
    }

    /// What a request asks for; `again` when it was accepted before.
    fn want<'a>(&'a self, request: &'a request::Request, again: bool) -> choice::Want<'a> {
        choice::Want {
            pool: &request.pool,
            model: request.model.as_ref(),
            zone: &self.settings.zone,
            excluded: &request.excluded,
            standing: request.standing(self.now, again),
        }
    }

    /// What bounds the choice of an upstream for the request.
    fn bounds(&self, request: &request::Request) -> choice::Bounds<'_> {
        choice::Bounds {
            out: &self.out,
            average: self.average(&request.pool, request.model.as_ref()),
        }
    }

    fn draw(&mut self) -> f64 {
        self.random.random()
    }

    fn note(&mut self, notice: notice::Notice) {
        self.actions.push(action::Action::Notice(notice));
    }

    fn decide(&mut self, number: u64, decision: action::Decision) {
        self.actions.push(action::Action::Decide(number, decision));
    }
}
