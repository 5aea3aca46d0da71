//! Routes and keys of the declaration in force, ready to be looked up.

use crate::arrival;
use hyssopfork_fleet::declaration;
use hyssopfork_wire::name;
use std::collections::HashMap;
use std::sync::Arc;

/// The table.
#[derive(Clone, Debug)]
pub struct Table {
    declaration: Arc<declaration::Declaration>,
    /// Place of each route in the declaration, by host and prefix.
    route_indices: HashMap<String, HashMap<String, usize>>,
    /// Place of each key's team in the declaration.
    team_indices: HashMap<String, usize>,
}

/// Why a request has no place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Error {
    /// No route covers its host and path.
    RouteNotFound,
    /// Its route needs a key, and it shows none that is known.
    KeyNotFound,
}

/// Where a request belongs.
#[derive(Clone, Copy, Debug)]
pub struct Match<'a> {
    /// Its route.
    pub route: &'a declaration::Route,
    /// Its team; `None` where the route needs no key.
    pub team: Option<&'a declaration::Team>,
}

impl Table {
    /// The table of a declaration.
    pub fn new(declaration: Arc<declaration::Declaration>) -> Table {
        let mut places: HashMap<String, HashMap<String, usize>> = HashMap::new();
        for (place, route) in declaration.routes.iter().enumerate() {
            let host = route.host.to_ascii_lowercase();
            places.entry(host).or_default().insert(route.prefix.clone(), place);
        }
        let mut keys = HashMap::new();
        for (place, team) in declaration.teams.iter().enumerate() {
            keys.extend(team.keys.iter().map(|key| (key.clone(), place)));
        }
        Table { declaration, route_indices: places, team_indices: keys }
    }

    /// The declaration.
    pub fn declaration(&self) -> &declaration::Declaration {
        &self.declaration
    }

    /// Finds where a request belongs.
    pub fn find(&self, arrival: &arrival::Arrival) -> Result<Match<'_>, Error> {
        let route =
            self.route(&arrival.content.host, &arrival.content.path).ok_or(Error::RouteNotFound)?;
        if route.anonymous || self.declaration.teams.is_empty() {
            return Ok(Match { route, team: None });
        }
        let place = arrival
            .key
            .as_ref()
            .and_then(|key| self.team_indices.get(key))
            .ok_or(Error::KeyNotFound)?;
        Ok(Match { route, team: Some(&self.declaration.teams[*place]) })
    }

    /// Engines of a pool; `None` for a plain service.
    pub fn engine(&self, pool: &name::Pool) -> Option<&declaration::Engine> {
        self.declaration.pools.get(pool)?.engine.as_ref()
    }

    /// Requests a second that a cold upstream of the pool bears; `None` for any number.
    pub fn cold_rate(&self, pool: &name::Pool) -> Option<f64> {
        Some(self.declaration.pools.get(pool)?.cold?.per_second)
    }

    /// The route of the longest prefix. Prefixes end with a slash, so only the path's parts up to
    /// each of its slashes can be one.
    fn route(&self, host: &str, path: &str) -> Option<&declaration::Route> {
        let prefixes = self.route_indices.get(&host.to_ascii_lowercase())?;
        let ends = path.char_indices().rev().filter(|(_, letter)| *letter == '/');
        let mut parts = ends.map(|(end, _)| &path[..=end]);
        let place = parts.find_map(|part| prefixes.get(part))?;
        Some(&self.declaration.routes[*place])
    }
}

/// The pool that a draw between 0 and 1 falls on, by the route's weights.
pub fn pick_pool(route: &declaration::Route, draw: f64) -> Option<&name::Pool> {
    let total: u32 = route.targets.iter().map(|(_, weight)| weight).sum();
    let mut left = draw * f64::from(total);
    let mut last = None;
    for (pool, weight) in route.targets.iter().filter(|(_, weight)| *weight > 0) {
        last = Some(pool);
        left -= f64::from(*weight);
        if left < 0.0 {
            break;
        }
    }
    last
}
