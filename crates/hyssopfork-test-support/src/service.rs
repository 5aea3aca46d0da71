//! Fake plain service that counts the requests it ran, by reference.

use crate::{fault_injection, http, token};
use actix_http::body::BoxBody;
use actix_http::{Method, Request, Response, StatusCode};
use bytes::Bytes;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use std::{io, net};

/// Behavior of the service.
#[derive(Clone, Copy, Debug)]
pub struct Profile {
    /// Time that a request takes.
    pub response_time: Duration,
    /// Number of concurrent requests that the service handles while cold; more make it crash.
    pub cold_capacity: u32,
    /// Number of completed requests after which the service is warm.
    pub warmup_requests: u32,
}

impl Default for Profile {
    fn default() -> Self {
        Profile { response_time: Duration::from_millis(3), cold_capacity: 8, warmup_requests: 20 }
    }
}

struct State {
    incarnation: u64,
    running: u32,
    completed_since_start: u32,
    started: u64,
    crash_count: u64,
    runs_by_reference: BTreeMap<String, u64>,
    faults: fault_injection::Faults,
}

/// Fake plain service.
pub struct Service {
    profile: Profile,
    state: Mutex<State>,
}

impl Service {
    fn new(profile: Profile) -> Self {
        let state = State {
            incarnation: 1,
            running: 0,
            completed_since_start: 0,
            started: 0,
            crash_count: 0,
            runs_by_reference: BTreeMap::new(),
            faults: fault_injection::Faults::default(),
        };
        Service { profile, state: Mutex::new(state) }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the lock panics")
    }

    /// Returns how often the request of each reference ran.
    pub fn runs_by_reference(&self) -> BTreeMap<String, u64> {
        self.state().runs_by_reference.clone()
    }

    /// Returns the number of crashes by overload while cold.
    pub fn crash_count(&self) -> u64 {
        self.state().crash_count
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

fn restart(state: &mut State) {
    state.incarnation += 1;
    state.completed_since_start = 0;
    state.running = 0;
}

/// Starts a service on `listener`.
pub fn start(
    listener: net::TcpListener,
    profile: Profile,
) -> io::Result<(http::Server, Arc<Service>)> {
    let service = Arc::new(Service::new(profile));
    let shared = service.clone();
    let server = http::Server::start(listener, move |request| respond(shared.clone(), request))?;
    Ok((server, service))
}

async fn respond(service: Arc<Service>, mut request: Request) -> Response<BoxBody> {
    if let Some(command) = fault_injection::parse(&request) {
        service.inject(command);
        return http::json(StatusCode::OK, &json!({ "done": true }));
    }
    fault_injection::wait_while_stalled(|| service.state().faults.is_stalled).await;
    if service.state().faults.is_down() {
        return http::drop_connection(&request);
    }
    match request.path() {
        "/health" => health(&service),
        "/counts" => counts(&service),
        _ => {
            let body = http::read_body(&mut request).await;
            run(&service, &request, &body).await
        }
    }
}

fn health(service: &Service) -> Response<BoxBody> {
    let state = service.state();
    let incarnation = format!("service-{}", state.incarnation);
    http::json(StatusCode::OK, &json!({ "incarnation": incarnation, "running": state.running }))
}

fn counts(service: &Service) -> Response<BoxBody> {
    let state = service.state();
    http::json(
        StatusCode::OK,
        &json!({ "started": state.started, "falls": state.crash_count, "ran": state.runs_by_reference }),
    )
}

async fn run(service: &Service, request: &Request, body: &Bytes) -> Response<BoxBody> {
    let reference = reference(request, body);
    let Some(incarnation) = start_request(service, request, &reference) else {
        return http::drop_connection(request);
    };
    let delay = service.state().faults.delay;
    actix_rt::time::sleep(service.profile.response_time + delay).await;
    fault_injection::wait_while_stalled(|| service.state().faults.is_stalled).await;
    finish_request(service, request, &reference, incarnation)
}

/// Counts the request as run before its response can be cut off; returns `None` if the service
/// crashed instead.
fn start_request(service: &Service, request: &Request, reference: &str) -> Option<u64> {
    let mut state = service.state();
    let cold = state.completed_since_start < service.profile.warmup_requests;
    if cold && state.running >= service.profile.cold_capacity {
        state.crash_count += 1;
        restart(&mut state);
        return None;
    }
    state.running += 1;
    state.started += 1;
    if request.method() != Method::GET {
        *state.runs_by_reference.entry(reference.to_owned()).or_insert(0) += 1;
    }
    Some(state.incarnation)
}

fn finish_request(
    service: &Service,
    request: &Request,
    reference: &str,
    incarnation: u64,
) -> Response<BoxBody> {
    let mut state = service.state();
    if state.incarnation != incarnation {
        return http::drop_connection(request);
    }
    state.running = state.running.saturating_sub(1);
    state.completed_since_start = state.completed_since_start.saturating_add(1);
    let cut_after = state.faults.cut_after.take();
    let status = if request.method() == Method::GET { StatusCode::OK } else { StatusCode::CREATED };
    http::sized_json(status, Bytes::from(receipt(request, reference).to_string()), cut_after)
}

fn receipt(request: &Request, reference: &str) -> Value {
    let receipt = format!("{:016x}", token::hash(reference.as_bytes()));
    json!({ "reference": reference, "path": request.path(), "receipt": receipt })
}

/// Returns the reference that the request is counted by: `reference` in the body, else in the query
/// string, else the `Idempotency-Key` header, else a hash of the body.
fn reference(request: &Request, body: &Bytes) -> String {
    let parsed: Option<Value> = serde_json::from_slice(body).ok();
    let named = parsed.as_ref().and_then(|value| value["reference"].as_str());
    let asked = named.or_else(|| http::query_value(request, "reference"));
    let keyed = asked.or_else(|| http::header_text(request, "idempotency-key"));
    keyed.map_or_else(|| format!("{:016x}", token::hash(body)), str::to_owned)
}
