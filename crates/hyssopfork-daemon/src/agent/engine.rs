//! Health probes of the upstream, and requests to load a model.

use crate::agent::role;
use crate::{clock, http, mailbox};
use bytes::Bytes;
use hyssopfork_agent::{action, event};
use hyssopfork_exchange::connection;
use hyssopfork_wire::{number, timing};
use serde::{Deserialize, Serialize};
use std::net;
use std::time::Duration;

/// Timeout of a health probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Path of an upstream's health.
const HEALTH_PATH: &str = "/health";

/// Status of a response with the health of an upstream.
const SUCCESS_STATUS: u16 = 200;

/// Time within which an engine must load a model.
const LOAD_TIMEOUT: Duration = Duration::from_secs(600);

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct Health {
    incarnation: Option<String>,
    running: Option<u32>,
    loaded: Option<number::Fence>,
}

#[derive(Debug, Serialize)]
struct Load<'a> {
    fence: number::Fence,
    group: &'a str,
    model: &'a str,
    rank: u32,
    members: Vec<&'a str>,
}

/// Maximum size of a health response, in bytes.
const MAX_HEALTH_BYTES: usize = 64 << 10;

/// Probes the upstream until the process ends.
pub async fn probe(upstream: net::SocketAddr, mailbox: mailbox::Mailbox<role::Input>) {
    let mut ticks = tokio::time::interval(timing::PROBE_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let sent = clock::now();
        let health = request_health(upstream).await;
        mailbox.post(role::Input::Event(event::Event::ProbedAt { sent_at: sent, health }));
    }
}

async fn request_health(upstream: net::SocketAddr) -> Option<event::Health> {
    let request = http::clients().fresh.get(format!("http://{upstream}{HEALTH_PATH}"));
    let mut response = request.timeout(PROBE_TIMEOUT).send().await.ok()?;
    if !response.status().is_success() {
        return None;
    }
    let body = response.body().await.ok()?;
    Some(parse_health(&body))
}

/// Requests the health of the engine's process that accepted `connection`; `None` if it does not
/// report its health within [`PROBE_TIMEOUT`].
pub async fn request_health_on(connection: &mut connection::Connection) -> Option<event::Health> {
    let request = connection::Request { method: "GET", path: HEALTH_PATH, headers: &[] };
    let exchange = async {
        connection.send(&request, Bytes::new()).await.ok()?;
        let head = connection.read_head().await.ok()?;
        let body = connection.read_rest_up_to(MAX_HEALTH_BYTES).await.ok()?;
        (head.status == SUCCESS_STATUS).then(|| parse_health(&body))
    };
    tokio::time::timeout(PROBE_TIMEOUT, exchange).await.ok()?
}

fn parse_health(body: &[u8]) -> event::Health {
    let health: Health = serde_json::from_slice(body).unwrap_or_default();
    event::Health {
        incarnation: health.incarnation,
        running: health.running,
        loaded: health.loaded,
    }
}

/// Requests the engine to load a model; returns the outcome.
pub async fn load_model(upstream: net::SocketAddr, order: action::Order) -> event::Event {
    let load = Load {
        fence: order.fence,
        group: order.group.as_str(),
        model: order.model.as_str(),
        rank: order.rank,
        members: order.members.iter().map(|member| member.as_str()).collect(),
    };
    let request = http::clients().fresh.post(format!("http://{upstream}/orders/load"));
    let sent = request.timeout(LOAD_TIMEOUT).send_json(&load).await;
    let done = sent.is_ok_and(|response| response.status().is_success());
    event::Event::LoadFinished { fence: order.fence, succeeded: done }
}
