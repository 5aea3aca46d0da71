//! Probes of the back end and orders to the engine.

use crate::agent::role;
use crate::{clock, http, mailbox};
use hyssopfork_agent::{action, event};
use hyssopfork_wire::{number, timing};
use serde::{Deserialize, Serialize};
use std::net;
use std::time::Duration;

/// Time in which a probe must be answered.
const PROBE_LIMIT: Duration = Duration::from_millis(500);

/// Time in which an engine must have loaded a model.
const LOAD_LIMIT: Duration = Duration::from_secs(600);

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

/// Looks at the back end until the process ends.
pub async fn probe(upstream: net::SocketAddr, mailbox: mailbox::Mailbox<role::Input>) {
    let mut ticks = tokio::time::interval(timing::PROBE_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let sent = clock::now();
        let health = look(upstream).await;
        mailbox.post(role::Input::Event(event::Event::ProbedAt { sent_at: sent, health }));
    }
}

async fn look(upstream: net::SocketAddr) -> Option<event::Health> {
    let request = http::clients().fresh.get(format!("http://{upstream}/health"));
    let mut response = request.timeout(PROBE_LIMIT).send().await.ok()?;
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

/// Orders the engine to load and says how that ended.
pub async fn order(upstream: net::SocketAddr, order: action::Order) -> event::Event {
    let load = Load {
        fence: order.fence,
        group: order.group.as_str(),
        model: order.model.as_str(),
        rank: order.rank,
        members: order.members.iter().map(|member| member.as_str()).collect(),
    };
    let request = http::clients().fresh.post(format!("http://{upstream}/orders/load"));
    let sent = request.timeout(LOAD_LIMIT).send_json(&load).await;
    let done = sent.is_ok_and(|response| response.status().is_success());
    event::Event::LoadFinished { fence: order.fence, succeeded: done }
}
