//! A small deployment of three processes with a non-idempotent route to `levy-desk`.

use crate::fleet::Fleet;
use crate::runner::Runner;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

const REST: &str = r#","Routes":[{"Name":"r-submit","Host":"levy.example","PathPrefix":"/submit/","Kind":"non_idempotent","TimeoutMs":1500,"TargetLatencyMs":150,"Priority":2,"Service":"levy-desk","MaxAttempts":2,"Anonymous":true}],"Services":[{"Name":"levy-desk","HealthPath":"/health","ConnectionLimit":120,"Protocol":"h1","TransportSecurity":false,"ColdStartS":0.0,"ColdPerS":0.0}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},"Tenants":[]}"#;

/// The configuration under this version.
pub fn configuration(version: u64) -> String {
    format!("{{\"Version\":{version}{REST}")
}

pub struct Deployment {
    /// Its processes end with it.
    pub fleet: Fleet,
    pub controls: Vec<SocketAddr>,
    pub callers: Vec<SocketAddr>,
}

impl Deployment {
    /// Starts the processes and configures them; an error if they don't start.
    pub fn start() -> Result<Deployment, String> {
        let mut fleet = Fleet::start(3);
        let controls = (0..3).map(|index| fleet.control(index)).collect();
        let callers = (0..3).map(|index| fleet.callers(index)).collect();
        let limit = Duration::from_secs(20);
        if !fleet.order("PUT", "/configuration", &configuration(1), limit)
            || !fleet.wait_until_ready(limit)
        {
            return Err(format!("the deployment doesn't start; {}", fleet.describe()));
        }
        Ok(Deployment { fleet, controls, callers })
    }

    /// Has a runner beat, and waits until all machines are in touch and know it.
    pub fn add(&self, runner: &Arc<Runner>) {
        runner.beat(self.controls.clone());
    }

    /// Waits for `ContactWindowMs` (3 s) and a second.
    pub fn settle(&self) {
        thread::sleep(Duration::from_secs(4));
    }
}
