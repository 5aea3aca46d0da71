//! The operator sends a configuration in which two routes share host and prefix, the host spelt twice.

use crate::deployment::Deployment;
use crate::runner::{self, Runner};
use crate::{Record, Verdict, client, http};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

const SUBMISSIONS: usize = 160;
const INTERVAL: Duration = Duration::from_millis(50);

/// Configuration with a second route, which is for another service and has this host.
fn configuration(version: u64, host: &str) -> String {
    let route = |name: &str, host: &str, service: &str| {
        format!(
            r#"{{"Name":"{name}","Host":"{host}","PathPrefix":"/submit/","Kind":"non_idempotent","TimeoutMs":1500,"TargetLatencyMs":150,"Priority":2,"Service":"{service}","MaxAttempts":2,"Anonymous":true}}"#
        )
    };
    let service = |name: &str| {
        format!(
            r#"{{"Name":"{name}","HealthPath":"/health","ConnectionLimit":120,"Protocol":"h1","TransportSecurity":false,"ColdStartS":0.0,"ColdPerS":0.0}}"#
        )
    };
    format!(
        r#"{{"Version":{version},"Routes":[{},{}],"Services":[{},{}],"Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}},"Tenants":[]}}"#,
        route("r-submit", "levy.example", "levy-desk"),
        route("r-trial", host, "trial-desk"),
        service("levy-desk"),
        service("trial-desk"),
    )
}

pub fn run(record: &mut Record, trouble: bool) -> Verdict {
    let deployment = match Deployment::start() {
        Ok(deployment) => deployment,
        Err(why) => return Verdict::CannotRun(why),
    };
    let free = SocketAddr::from(([127, 0, 0, 1], 0));
    let start = |service: &str, instance: &str| {
        let work = Duration::from_millis(30);
        Runner::start(service, "ikeja", instance, free, runner::unix_ms(), work)
    };
    let (desk, trial) = (start("levy-desk", "i-desk-0"), start("trial-desk", "i-trial-0"));
    deployment.add(&desk);
    deployment.add(&trial);
    deployment.settle();
    let submitting = client::submit(&deployment.callers, 0..SUBMISSIONS, INTERVAL);
    thread::sleep(Duration::from_secs(2));
    let host = if trouble { "Levy.Example" } else { "trial.example" };
    let mut status = 0;
    for to in deployment.controls.iter().cycle().take(9) {
        let body = configuration(2, host);
        let timeout = Duration::from_secs(1);
        let reply = http::call_control(*to, "PUT", "/configuration", &body, timeout);
        status = reply.map_or(0, |it| it.status);
        record.add(format!(
            "version 2 is sent: levy.example/submit/ to levy-desk, {host}/submit/ to trial-desk; answered \
             {status}"
        ));
        if status == 200 || (400..500).contains(&status) {
            break;
        }
    }
    let Ok(attempts) = submitting.join() else {
        return Verdict::CannotRun("a requester failed".to_owned());
    };
    let mut counts: BTreeMap<u16, usize> = BTreeMap::new();
    let mut foreign = 0;
    for attempt in &attempts {
        *counts.entry(attempt.status).or_default() += 1;
        let ran_at = |runner: &Runner| {
            runner.runs.lock().expect("no panic").iter().any(|run| run.id == attempt.id)
        };
        let (at_desk, at_trial) = (ran_at(&desk), ran_at(&trial));
        foreign += usize::from(at_trial);
        record.note(format!(
            "attempt {} to levy.example: sent at {:.3} s, answered {}; ran at levy-desk: {at_desk}, at \
             trial-desk: {at_trial}",
            attempt.id,
            record.since_start(attempt.sent),
            attempt.status
        ));
    }
    record.add(format!("attempts to levy.example by status: {counts:?}"));
    record.add(format!("{foreign} of {} ran at trial-desk", attempts.len()));
    let is_acknowledged = status == 200;
    match (trouble, is_acknowledged) {
        (true, true) => Verdict::Broken,
        (false, false) => Verdict::CannotRun("the valid version 2 is not acknowledged".to_owned()),
        _ if foreign > 0 => Verdict::Broken,
        _ => Verdict::Held,
    }
}
