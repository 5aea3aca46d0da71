//! Declarations: the routes, pools of upstreams, teams and limits that operators submit together
//! under one version.

use hyssopfork_wire::name;
use quick_error::quick_error;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// A complete declaration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Declaration {
    /// Version; the highest accepted one is in force.
    pub version: u64,
    /// Routes.
    pub routes: Vec<Route>,
    /// Pools of upstreams, by name.
    pub pools: BTreeMap<name::Pool, Pool>,
    /// Limits on client requests.
    pub limits: Limits,
    /// Teams; empty if clients need no key.
    pub teams: Vec<Team>,
}

/// How often a request of a route may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repetition {
    /// Any number of times.
    Idempotent,
    /// At most once.
    Once,
    /// An event stream that another upstream can resume after any event.
    Resumable,
    /// An event stream that runs at most once.
    Stream,
}

impl Repetition {
    /// Whether a request that may have run may be retried.
    pub fn may_repeat(self) -> bool {
        matches!(self, Repetition::Idempotent | Repetition::Resumable)
    }

    /// Whether the response is an event stream.
    pub fn streams(self) -> bool {
        matches!(self, Repetition::Resumable | Repetition::Stream)
    }
}

/// A route.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name.
    pub name: name::Route,
    /// Host of the client's request.
    pub host: String,
    /// Path prefix; begins and ends with a slash.
    pub prefix: String,
    /// How often a request may run.
    pub repetition: Repetition,
    /// Timeout for the complete response.
    pub timeout: Duration,
    /// Latency objective for the response, or for the first event of a stream.
    pub objective: Duration,
    /// Latency objective between two events of a stream.
    pub pause: Duration,
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// Pools that serve the route, with their weights.
    pub targets: Vec<(name::Pool, u32)>,
    /// Maximum number of attempts per request.
    pub attempts: u32,
    /// Whether clients need no key.
    pub anonymous: bool,
}

/// A pool of equivalent upstreams.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Pool {
    /// Maximum connections to one upstream from all processes together.
    pub connections: u32,
    /// Slow-start limit of an upstream; `None` for no limit.
    pub cold: Option<Cold>,
    /// Engine settings; `None` for a plain service.
    pub engine: Option<Engine>,
}

/// Limit of an upstream during its slow start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Cold {
    /// Requests per second.
    pub per_second: f64,
}

/// Settings of model engines, which serve in groups.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Engine {
    /// Maximum number of requests that one group runs concurrently.
    pub slots: u32,
    /// Models.
    pub models: Vec<Model>,
    /// Maximum number of weight loads started per second, over all instances.
    pub loads_per_second: f64,
    /// Maximum number of concurrent weight loads that don't slow each other down.
    pub loads_at_once: u32,
    /// Time that a complete group takes to open.
    pub formation: Duration,
    /// Speed and memory of a group; `None` if they are not declared.
    pub performance: Option<Performance>,
}

/// Speed and memory of a group whose model has a pace of 1.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Performance {
    /// Time of one decoding step, which generates one token for each running request.
    pub step: Duration,
    /// Additional time of a step for each running request.
    pub step_per_request: Duration,
    /// Additional time of a step for each thousand tokens of context of the running requests.
    pub step_per_thousand_tokens: Duration,
    /// Prompt tokens that are processed per second.
    pub prefill_rate: f64,
    /// Additional time to process a prompt, for each million pairs of a token and an earlier one.
    pub prefill_per_million_pairs: Duration,
    /// Maximum number of prompt tokens that are processed with one step.
    pub prefill_chunk: u32,
    /// Steps between two events of a stream.
    pub stride: u32,
    /// Tokens of context that the group's memory holds.
    pub memory_tokens: u64,
    /// Mean number of tokens of a prompt; 0 if it is not declared.
    pub mean_prompt_tokens: u32,
    /// Mean number of tokens of an output; 0 if it is not declared.
    pub mean_output_tokens: u32,
}

/// A model.
#[derive(Clone, Debug, PartialEq)]
pub struct Model {
    /// Name.
    pub name: name::Model,
    /// Number of instances in a group; at least 1.
    pub size: u32,
    /// Share of the pool's instances that the model's requests need, from 0 to 1.
    pub share: f64,
    /// Factor of all times in [`Performance`]; above 0.
    pub pace: f64,
    /// Time to load the weights from the store.
    pub load: Duration,
    /// Time to load weights that are staged on the host.
    pub warmup: Duration,
}

/// Limits on client requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of a request's head.
    pub head_bytes: usize,
    /// Maximum size of a request's body.
    pub body_bytes: usize,
    /// Timeout for receiving a request's head.
    pub head_timeout: Duration,
    /// Maximum idle time of a connection.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    /// Limits before a declaration is known: usual defaults of HTTP servers.
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
    /// API keys of its clients. They are secrets and must never be logged.
    pub keys: Vec<String>,
    /// Priority; 0 is the highest. Takes precedence over the route's.
    pub priority: Option<u32>,
}

quick_error! {
    /// Why a declaration is invalid.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum Fault {
        /// A route refers to a pool that is not declared.
        UnknownPool(route: name::Route, pool: name::Pool) {
            display("route {} names pool {}, which is not declared; declare it or name another", route, pool)
        }
        /// Two routes have the same host and prefix.
        DuplicateRoute(first: name::Route, second: name::Route) {
            display("routes {} and {} have the same host and prefix; change one", first, second)
        }
        /// All weights of a route are 0.
        ZeroWeight(route: name::Route) {
            display("the weights of route {} add up to 0; give one pool a weight above 0", route)
        }
        /// The timeout of a route is 0.
        ZeroTimeout(route: name::Route) {
            display("the timeout of route {} is 0; give it a time", route)
        }
        /// The prefix of a route does not begin and end with a slash.
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
    /// All faults of the declaration; empty if it is valid.
    pub fn faults(&self) -> Vec<Fault> {
        let mut faults: Vec<Fault> =
            self.routes.iter().flat_map(|route| self.route_faults(route)).collect();
        faults.extend(self.duplicate_routes());
        faults.extend(self.shared_key_faults());
        faults
    }

    /// Number of members of a group of the model; `None` if the model is not declared.
    pub fn group_size(&self, pool: &name::Pool, model: &name::Model) -> Option<usize> {
        let engine = self.pools.get(pool)?.engine.as_ref()?;
        let declared = engine.models.iter().find(|declared| declared.name == *model)?;
        Some(declared.size as usize)
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
            // Hosts of requests are compared in lower case.
            let place = (route.host.to_ascii_lowercase(), route.prefix.as_str());
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
