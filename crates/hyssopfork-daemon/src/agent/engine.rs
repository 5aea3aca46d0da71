//! Health probes of the upstream, and requests to load a model.

use crate::agent::role;
use crate::{clock, http, mailbox};
use hyssopfork_agent::{action, event};
use hyssopfork_wire::{number, timing};
use serde::{Deserialize, Serialize};
use std::net;
use std::time::Duration;

/// Timeout of a health probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

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
    let request = http::clients().fresh.get(format!("http://{upstream}/health"));
    let mut response = request.timeout(PROBE_TIMEOUT).send().await.ok()?;
    if !response.status().is_success() {
        return None;
    }
    let body = response.body().await.ok()?;
    let health: Health = serde_json::from_slice(&body).unwrap_or_default();
    Some(event::Health {
        incarnation: health.incarnation,
        running: health.running,
        loaded: health.loaded,
    })
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
