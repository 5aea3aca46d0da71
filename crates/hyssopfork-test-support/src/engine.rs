//! Fake model engine with batching, streaming, cold starts and injected faults.

use crate::{fault_injection, http, prefix_cache, token};
use actix_http::body::BoxBody;
use actix_http::{Request, Response, StatusCode};
use bytes::Bytes;
use serde_json::{Value, json};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use std::{io, net};

mod generation;

/// Behavior of the engine.
#[derive(Clone, Copy, Debug)]
pub struct Profile {
    /// Number of concurrent requests above which all requests slow down.
    pub slots: u32,
    /// Time between two tokens of a request that runs alone.
    pub token_time: Duration,
    /// Time to process a prompt whose prefix isn't cached; a tenth of it for a cached prefix.
    pub prefill_time: Duration,
    /// Time to load the weights of a model; zero if they are loaded already.
    pub load_time: Duration,
    /// Number of concurrent requests that the engine handles while cold; more make it crash.
    pub cold_capacity: u32,
    /// Number of completed requests after which the engine is warm.
    pub warmup_requests: u32,
    /// Time that the engine is down after a crash.
    pub downtime: Duration,
    /// Capacity of the prefix cache.
    pub cached_prefixes: usize,
    /// Whether a load order with a stale fencing number is rejected.
    pub checks_fence: bool,
    /// Whether a resumed stream skips the events that the client has received.
    pub resumes: bool,
}

impl Default for Profile {
    fn default() -> Self {
        Profile {
            slots: 8,
            token_time: Duration::from_millis(4),
            prefill_time: Duration::from_millis(10),
            load_time: Duration::from_millis(300),
            cold_capacity: 2,
            warmup_requests: 4,
            downtime: Duration::from_millis(500),
            cached_prefixes: 64,
            checks_fence: true,
            resumes: true,
        }
    }
}

/// Model that the engine has loaded for a group.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Loaded {
    fence: u64,
    model: String,
    rank: u64,
}

/// Counts for tests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Requests started.
    pub started: u64,
    /// Requests completed.
    pub completed: u64,
    /// Requests whose client disconnected before the end of the response.
    pub cancelled: u64,
    /// Crashes by overload while cold.
    pub crashes: u64,
    /// Requests received while no model was loaded, or as another group member than the first.
    pub misdirected: u64,
    /// Load orders rejected for a stale fencing number.
    pub stale_orders: u64,
    /// Number of times that weights were loaded.
    pub loads: u64,
}

struct State {
    incarnation: u64,
    running: u32,
    completed_since_start: u32,
    loaded: Option<Loaded>,
    highest_fence: u64,
    prefix_cache: prefix_cache::Cache,
    counts: Counts,
    faults: fault_injection::Faults,
}

/// Fake engine.
pub struct Engine {
    profile: Profile,
    state: Mutex<State>,
}

impl Engine {
    fn new(profile: Profile) -> Self {
        let state = State {
            incarnation: 1,
            running: 0,
            completed_since_start: 0,
            loaded: None,
            highest_fence: 0,
            prefix_cache: prefix_cache::Cache::new(profile.cached_prefixes),
            counts: Counts::default(),
            faults: fault_injection::Faults::default(),
        };
        Engine { profile, state: Mutex::new(state) }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the lock panics")
    }

    /// Returns the counts so far.
    pub fn counts(&self) -> Counts {
        self.state().counts
    }

    /// Returns the number of running requests.
    pub fn running(&self) -> u32 {
        self.state().running
    }

    /// Injects or clears a fault.
    pub fn inject(&self, command: fault_injection::Command) {
        let mut state = self.state();
        state.faults.apply(command);
        match command {
            fault_injection::Command::Cold => state.completed_since_start = 0,
            fault_injection::Command::Die(_) => restart(&mut state),
            _ => {}
        }
    }
}

/// Restarts the engine as a new incarnation: nothing is loaded, cached or running.
fn restart(state: &mut State) {
    state.incarnation += 1;
    state.running = 0;
    state.completed_since_start = 0;
    state.loaded = None;
    state.highest_fence = 0;
    state.prefix_cache.clear();
}

/// Starts an engine on `listener`.
pub fn start(
    listener: net::TcpListener,
    profile: Profile,
) -> io::Result<(http::Server, Arc<Engine>)> {
    let engine = Arc::new(Engine::new(profile));
    let shared = engine.clone();
    let server = http::Server::start(listener, move |request| respond(shared.clone(), request))?;
    Ok((server, engine))
}

async fn respond(engine: Arc<Engine>, mut request: Request) -> Response<BoxBody> {
    if let Some(command) = fault_injection::parse(&request) {
        engine.inject(command);
        return http::json(StatusCode::OK, &json!({ "done": true }));
    }
    fault_injection::wait_while_stalled(|| engine.state().faults.is_stalled).await;
    if engine.state().faults.is_down() {
        return http::drop_connection(&request);
    }
    let body = http::read_body(&mut request).await;
    if http::is_connected_to_earlier(&request, engine.state().incarnation) {
        return http::drop_connection(&request);
    }
    match request.path() {
        "/health" => health(&engine),
        "/counts" => counts(&engine),
        "/orders/load" => load(&engine, &body).await,
        "/v1/completions" => {
            generation::run(engine, token::Endpoint::Completions, &request, &body).await
        }
        "/v1/chat/completions" => {
            generation::run(engine, token::Endpoint::ChatCompletions, &request, &body).await
        }
        _ => error_response(StatusCode::NOT_FOUND, "no such path"),
    }
}

fn error_response(status: StatusCode, text: &str) -> Response<BoxBody> {
    http::json(status, &json!({ "error": { "message": text } }))
}

fn health(engine: &Engine) -> Response<BoxBody> {
    let state = engine.state();
    let incarnation = format!("engine-{}", state.incarnation);
    let loaded = state.loaded.as_ref().map(|loaded| loaded.fence);
    let value = json!({ "incarnation": incarnation, "running": state.running, "loaded": loaded });
    http::json(StatusCode::OK, &value)
}

fn counts(engine: &Engine) -> Response<BoxBody> {
    let counts = engine.counts();
    let value = json!({
        "started": counts.started, "completed": counts.completed, "cancelled": counts.cancelled, "falls": counts.crashes,
        "misdirected": counts.misdirected, "old_orders": counts.stale_orders,
        "loads": counts.loads, "ran": {},
    });
    http::json(StatusCode::OK, &value)
}

async fn load(engine: &Engine, body: &Bytes) -> Response<BoxBody> {
    let order: Value = serde_json::from_slice(body).unwrap_or_default();
    let (Some(fence), Some(model)) = (order["fence"].as_u64(), order["model"].as_str()) else {
        return error_response(StatusCode::BAD_REQUEST, "an order needs fence and model");
    };
    let Some((incarnation, is_loaded)) = accept_order(engine, fence, model) else {
        return error_response(StatusCode::CONFLICT, "a newer fencing number was ordered");
    };
    if !is_loaded {
        actix_rt::time::sleep(engine.profile.load_time).await;
    }
    let rank = order["rank"].as_u64().unwrap_or(0);
    let loaded = Loaded { fence, model: model.to_owned(), rank };
    complete_order(engine, incarnation, loaded)
}

/// Accepts a load order, and returns the accepting incarnation and whether the weights are already
/// loaded; returns `None` for a stale order.
fn accept_order(engine: &Engine, fence: u64, model: &str) -> Option<(u64, bool)> {
    let mut state = engine.state();
    if engine.profile.checks_fence && fence < state.highest_fence {
        state.counts.stale_orders += 1;
        return None;
    }
    state.highest_fence = state.highest_fence.max(fence);
    let is_loaded = state.loaded.as_ref().is_some_and(|loaded| loaded.model == model);
    if !is_loaded {
        state.loaded = None;
        state.counts.loads += 1;
    }
    Some((state.incarnation, is_loaded))
}

fn complete_order(engine: &Engine, incarnation: u64, loaded: Loaded) -> Response<BoxBody> {
    let mut state = engine.state();
    let superseded = engine.profile.checks_fence && loaded.fence < state.highest_fence;
    if state.incarnation != incarnation || superseded {
        return error_response(StatusCode::CONFLICT, "overtaken while loading");
    }
    state.loaded = Some(loaded);
    http::json(StatusCode::OK, &json!({ "loaded": true }))
}
