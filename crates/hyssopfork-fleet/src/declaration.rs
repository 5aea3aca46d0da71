//! What operators declare: routes, pools of upstreams, teams and limits, as a whole and under one
//! version.

use hyssopfork_wire::name;
use quick_error::quick_error;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// A whole declaration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Declaration {
    /// Version; the highest one is in force.
    pub version: u64,
    /// Routes.
    pub routes: Vec<Route>,
    /// Pools of upstreams, by name.
    pub pools: BTreeMap<name::Pool, Pool>,
    /// What callers may send.
    pub limits: Limits,
    /// Teams; empty where callers need no key.
    pub teams: Vec<Team>,
}

/// How often the work of a route may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repetition {
    /// Any number of times.
    Idempotent,
    /// Once at most.
    Once,
    /// A stream of events that another upstream can continue after any event.
    Resumable,
    /// A stream of events that runs once at most.
    Stream,
}

impl Repetition {
    /// Whether work that may have run may be sent again.
    pub fn may_repeat(self) -> bool {
        matches!(self, Repetition::Idempotent | Repetition::Resumable)
    }

    /// Whether the answer is a stream of events.
    pub fn streams(self) -> bool {
        matches!(self, Repetition::Resumable | Repetition::Stream)
    }
}

/// A route.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name.
    pub name: name::Route,
    /// Host that callers name.
    pub host: String,
    /// Prefix of the path; begins and ends with a slash.
    pub prefix: String,
    /// How often the work may run.
    pub repetition: Repetition,
    /// Longest time that a caller is kept waiting for the whole answer.
    pub timeout: Duration,
    /// Time to the answer (of a stream: to its first event) within which it is on time.
    pub objective: Duration,
    /// Longest pause between events of a stream that is on time.
    pub pause: Duration,
    /// Rank; 0 is the most urgent.
    pub priority: u32,
    /// Pools that do the work, with their weights.
    pub targets: Vec<(name::Pool, u32)>,
    /// Upstreams that may run one request, at most.
    pub attempts: u32,
    /// Whether callers need no key.
    pub anonymous: bool,
}

/// A pool of like upstreams.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Pool {
    /// Connections that one upstream takes from all processes together.
    pub connections: u32,
    /// What an upstream bears just after its start; `None` where it bears everything.
    pub cold: Option<Cold>,
    /// Its engines; `None` for a plain service.
    pub engine: Option<Engine>,
}

/// What a cold upstream bears.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Cold {
    /// Requests a second.
    pub per_second: f64,
}

/// Model engines that serve in groups.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Engine {
    /// Requests that one group runs at once.
    pub slots: u32,
    /// Models.
    pub models: Vec<Model>,
    /// Loads of weights that may start in a second, over all instances.
    pub loads_per_second: f64,
    /// Loads of weights at once that don't slow each other down.
    pub loads_at_once: u32,
    /// Time that a whole group takes to open.
    pub formation: Duration,
}

/// A model.
#[derive(Clone, Debug, PartialEq)]
pub struct Model {
    /// Name.
    pub name: name::Model,
    /// Instances of one group; at least 1.
    pub size: u32,
    /// Share of the pool's instances that the model's work takes, from 0 to 1.
    pub share: f64,
    /// Time to load the weights from the store.
    pub load: Duration,
    /// Time to take up weights that the host holds.
    pub warmup: Duration,
}

/// What callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Longest head of a request, in bytes.
    pub head_bytes: usize,
    /// Longest body of a request, in bytes.
    pub body_bytes: usize,
    /// Time to send a head.
    pub head_timeout: Duration,
    /// Time that a connection may be idle.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    /// Limits before any declaration is known: those that common HTTP servers start with.
    fn default() -> Limits {
        Limits {
            head_bytes: 16 << 10,
            body_bytes: 4 << 20,
            head_timeout: Duration::from_secs(5),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// A team.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Team {
    /// Name.
    pub name: name::Team,
    /// Keys that its callers show. They are secrets: never logged.
    pub keys: Vec<String>,
    /// Rank; 0 is the most urgent. Goes before the route's.
    pub priority: Option<u32>,
}

quick_error! {
    /// Why a declaration cannot be taken.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum Fault {
        /// A route names a pool that is not declared.
        UnknownPool(route: name::Route, pool: name::Pool) {
            display("route {} names pool {}, which is not declared; declare it or name another", route, pool)
        }
        /// Two routes have one host and prefix.
        DuplicateRoute(first: name::Route, second: name::Route) {
            display("routes {} and {} have the same host and prefix; change one", first, second)
        }
        /// A route's weights add up to nothing.
        ZeroWeight(route: name::Route) {
            display("the weights of route {} add up to 0; give one pool a weight above 0", route)
        }
        /// A route leaves no time.
        ZeroTimeout(route: name::Route) {
            display("the timeout of route {} is 0; give it a time", route)
        }
        /// A prefix has the wrong form.
        InvalidPrefix(route: name::Route) {
            display("the prefix of route {} must begin and end with a slash", route)
        }
        /// Two teams share a key.
        SharedKey(first: name::Team, second: name::Team) {
            display("teams {} and {} share a key; give each its own", first, second)
        }
    }
}

impl Declaration {
    /// Everything that is wrong with the declaration; empty when it may be taken.
    pub fn faults(&self) -> Vec<Fault> {
        let mut faults: Vec<Fault> =
            self.routes.iter().flat_map(|route| self.route_faults(route)).collect();
        faults.extend(self.duplicate_routes());
        faults.extend(self.shared_key_faults());
        faults
    }

    /// Pools whose upstreams serve in groups.
    pub fn engines(&self) -> impl Iterator<Item = (&name::Pool, &Engine)> {
        self.pools.iter().filter_map(|(name, pool)| Some((name, pool.engine.as_ref()?)))
    }

    fn route_faults(&self, route: &Route) -> Vec<Fault> {
        let name = || route.name.clone();
        let unknown = route.targets.iter().filter(|(pool, _)| !self.pools.contains_key(pool));
        let mut faults: Vec<Fault> =
            unknown.map(|(pool, _)| Fault::UnknownPool(name(), pool.clone())).collect();
        if route.targets.iter().all(|(_, weight)| *weight == 0) {
            faults.push(Fault::ZeroWeight(name()));
        }
        if route.timeout.is_zero() {
            faults.push(Fault::ZeroTimeout(name()));
        }
        if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
            faults.push(Fault::InvalidPrefix(name()));
        }
        faults
    }

    fn duplicate_routes(&self) -> Vec<Fault> {
        let mut places = BTreeMap::new();
        let mut faults = Vec::new();
        for route in &self.routes {
            let place = (route.host.as_str(), route.prefix.as_str());
            if let Some(first) = places.insert(place, &route.name) {
                faults.push(Fault::DuplicateRoute(first.clone(), route.name.clone()));
            }
        }
        faults
    }

    fn shared_key_faults(&self) -> Vec<Fault> {
        let mut holders: BTreeMap<&str, &name::Team> = BTreeMap::new();
        let mut pairs = BTreeSet::new();
        for team in &self.teams {
            for key in &team.keys {
                let before = holders.insert(key, &team.name);
                if let Some(other) = before.filter(|other| **other != team.name) {
                    pairs.insert((other.clone(), team.name.clone()));
                }
            }
        }
        pairs.into_iter().map(|(first, second)| Fault::SharedKey(first, second)).collect()
    }
}
