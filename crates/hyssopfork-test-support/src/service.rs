//! A plain service that counts what it ran, for each reference.

use crate::{http, impairment, token};
use actix_http::body::BoxBody;
use actix_http::{Method, Request, Response, StatusCode};
use bytes::Bytes;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use std::{io, net};

/// What the service is like.
#[derive(Clone, Copy, Debug)]
pub struct Profile {
    /// Time that one call takes.
    pub time: Duration,
    /// Calls at once that it bears while cold; more make it fall over.
    pub cold_bearing: u32,
    /// Completed calls after which it is warm.
    pub warm_after: u32,
}

impl Default for Profile {
    fn default() -> Self {
        Profile { time: Duration::from_millis(3), cold_bearing: 8, warm_after: 20 }
    }
}

struct State {
    incarnation: u64,
    running: u32,
    completed: u32,
    started: u64,
    falls: u64,
    ran: BTreeMap<String, u64>,
    impairment: impairment::Impairment,
}

/// The service.
pub struct Service {
    profile: Profile,
    state: Mutex<State>,
}

impl Service {
    fn new(profile: Profile) -> Self {
        let state = State {
            incarnation: 1,
            running: 0,
            completed: 0,
            started: 0,
            falls: 0,
            ran: BTreeMap::new(),
            impairment: impairment::Impairment::default(),
        };
        Service { profile, state: Mutex::new(state) }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the lock panics")
    }

    /// How often the work of each reference ran.
    pub fn ran(&self) -> BTreeMap<String, u64> {
        self.state().ran.clone()
    }

    /// How often it fell over because it was loaded while cold.
    pub fn falls(&self) -> u64 {
        self.state().falls
    }

    /// Does what a test asks.
    pub fn impair(&self, order: impairment::Order) {
        let mut state = self.state();
        state.impairment.apply(order);
        match order {
            impairment::Order::Cold => state.completed = 0,
            impairment::Order::Die(_) => restart(&mut state),
            _ => {}
        }
    }
}

fn restart(state: &mut State) {
    state.incarnation += 1;
    state.completed = 0;
    state.running = 0;
}

/// Starts a service on `listener`.
pub fn start(
    listener: net::TcpListener,
    profile: Profile,
) -> io::Result<(http::Server, Arc<Service>)> {
    let service = Arc::new(Service::new(profile));
    let shared = service.clone();
    let server = http::Server::start(listener, move |request| answer(shared.clone(), request))?;
    Ok((server, service))
}

async fn answer(service: Arc<Service>, mut request: Request) -> Response<BoxBody> {
    if let Some(order) = impairment::parse(&request) {
        service.impair(order);
        return http::json(StatusCode::OK, &json!({ "done": true }));
    }
    impairment::wait_while_stalled(|| service.state().impairment.stalled).await;
    if service.state().impairment.is_away() {
        return http::broken(&request);
    }
    match request.path() {
        "/health" => health(&service),
        "/counts" => counts(&service),
        _ => {
            let body = http::read(&mut request).await;
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
        &json!({ "started": state.started, "falls": state.falls, "ran": state.ran }),
    )
}

async fn run(service: &Service, request: &Request, body: &Bytes) -> Response<BoxBody> {
    let reference = reference(request, body);
    let Some(incarnation) = begin(service, request, &reference) else {
        return http::broken(request);
    };
    let delay = service.state().impairment.delay;
    actix_rt::time::sleep(service.profile.time + delay).await;
    impairment::wait_while_stalled(|| service.state().impairment.stalled).await;
    end(service, request, &reference, incarnation)
}

/// Counts the work as run before anything can cut its answer; `None` when it fell over instead.
fn begin(service: &Service, request: &Request, reference: &str) -> Option<u64> {
    let mut state = service.state();
    let cold = state.completed < service.profile.warm_after;
    if cold && state.running >= service.profile.cold_bearing {
        state.falls += 1;
        restart(&mut state);
        return None;
    }
    state.running += 1;
    state.started += 1;
    if request.method() != Method::GET {
        *state.ran.entry(reference.to_owned()).or_insert(0) += 1;
    }
    Some(state.incarnation)
}

fn end(
    service: &Service,
    request: &Request,
    reference: &str,
    incarnation: u64,
) -> Response<BoxBody> {
    let mut state = service.state();
    if state.incarnation != incarnation {
        return http::broken(request);
    }
    state.running = state.running.saturating_sub(1);
    state.completed = state.completed.saturating_add(1);
    let cut = state.impairment.cut.take();
    let status = if request.method() == Method::GET { StatusCode::OK } else { StatusCode::CREATED };
    http::sized(status, Bytes::from(receipt(request, reference).to_string()), cut)
}

fn receipt(request: &Request, reference: &str) -> Value {
    let receipt = format!("{:016x}", token::hash(reference.as_bytes()));
    json!({ "reference": reference, "path": request.path(), "receipt": receipt })
}

/// What the work is counted under: the body's `reference`, else the query's, else the
/// Idempotency-Key, else a hash of the body.
fn reference(request: &Request, body: &Bytes) -> String {
    let parsed: Option<Value> = serde_json::from_slice(body).ok();
    let named = parsed.as_ref().and_then(|value| value["reference"].as_str());
    let asked = named.or_else(|| http::query(request, "reference"));
    let keyed = asked.or_else(|| http::header_text(request, "idempotency-key"));
    keyed.map_or_else(|| format!("{:016x}", token::hash(body)), str::to_owned)
}
