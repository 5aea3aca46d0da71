//! A zone is evacuated and taken back; its runner has become cold shortly before.

use crate::Outcome;
use crate::clients::Clients;
use crate::record::Record;
use crate::runner::{Runner, Service};
use crate::system::System;
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// `ColdPerS` of the service, that of the cold runners of the users' sites.
const COLD_PER_S: usize = 38;
/// `ColdPerS` x `ColdOvershoot` + `ColdSlack`, with the bounds of the users' sites.
const MAX_COLD: usize = COLD_PER_S * 3 / 2 + 5;
/// Requests a second of all clients.
const RATE: usize = 300;

/// The configuration: one route that may not be repeated, to one service.
fn configuration() -> String {
    format!(
        r#"{{"Version":7,"Routes":[{{"Name":"submit","Host":"desk.example","PathPrefix":"/submit/","Kind":"non_idempotent","TimeoutMs":1500,"TargetLatencyMs":150,"Priority":1,"Service":"desk","MaxAttempts":1,"Anonymous":true}}],"Services":[{{"Name":"desk","HealthPath":"/health","ConnectionLimit":516,"Protocol":"h1","TransportSecurity":false,"ColdStartS":3.0,"ColdPerS":{COLD_PER_S}.0}}],"Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}},"Tenants":[]}}"#
    )
}

/// The runners of the service.
const SERVICE: Service = Service {
    slots: 34,
    work: Duration::from_millis(100),
    cold_time: Duration::from_secs(3),
    crash_rate: 2 * COLD_PER_S,
};

pub fn run(has_trouble: bool, record: &Arc<Record>) -> Outcome {
    let system = System::start(&["z1", "z2", "z3"], 3, record);
    let all = [0, 1, 2];
    let start = |id: &str, zone: &str, last: u8| {
        let ip = Ipv4Addr::new(127, 0, 22, last);
        Runner::start(id, zone, ip, SERVICE, system.controls(), record)
    };
    let in_zone = start("i-one", "z1", 1);
    let _others = [start("i-two", "z2", 2), start("i-three", "z3", 3)];
    let accepted =
        system.order(&all, "PUT", "/configuration", &configuration(), Duration::from_secs(15));
    if !accepted.is_some_and(|(status, _)| status == 200)
        || !system.wait_until_ready(&all, Duration::from_secs(10))
    {
        return Outcome::CouldNotRun("the system did not start");
    }
    thread::sleep(Duration::from_secs(4));
    let entries = all.iter().map(|index| system.clients(*index)).collect();
    let clients = Clients::start(entries, RATE, "POST", "/submit/1", record);
    thread::sleep(Duration::from_secs(4));
    let served_before = in_zone.arrivals();
    let out = system.order(&all, "POST", "/evacuations/z1", "", Duration::from_secs(4));
    if !out.is_some_and(|(status, _)| status == 200) || served_before < 20 {
        return Outcome::CouldNotRun("the zone got no requests or could not be evacuated");
    }
    thread::sleep(Duration::from_secs(6));
    let at_rest = in_zone.arrivals();
    thread::sleep(Duration::from_secs(2));
    let while_out = in_zone.arrivals() - at_rest;
    record.say(&format!("{while_out} requests reached the zone while it was out"));
    // The runner tells that it is cold with its next ping, which it sends each 1.2 s.
    let wait_for_ping = || {
        let (before, started) = (in_zone.acknowledged(), Instant::now());
        while in_zone.acknowledged() == before && started.elapsed() < Duration::from_secs(5) {
            thread::sleep(Duration::from_millis(2));
        }
    };
    wait_for_ping();
    in_zone.become_cold();
    if has_trouble {
        thread::sleep(Duration::from_millis(100));
    } else {
        // It became cold so long before that it has told so.
        wait_for_ping();
        thread::sleep(Duration::from_millis(100));
    }
    let back = system.order(&all, "DELETE", "/evacuations/z1", "", Duration::from_secs(4));
    if !back.is_some_and(|(status, _)| status == 200) {
        return Outcome::CouldNotRun("the evacuation could not be withdrawn");
    }
    let before = in_zone.arrivals();
    thread::sleep(Duration::from_secs(6));
    let after = in_zone.arrivals() - before;
    record.say(&format!("{after} requests reached the zone in the 6 s after that"));
    let most = in_zone.busiest_cold_second();
    let crashed = !in_zone.is_up();
    let outcomes = clients.stop();
    record.say(&format!("answers: {outcomes:?}"));
    record.say(&format!(
        "the cold runner got up to {most} requests in one second; {MAX_COLD} are allowed; it crashed: {crashed}"
    ));
    if most > MAX_COLD { Outcome::Broken } else { Outcome::Held }
}
