//! A runner crashes and comes back cold under its name, while all core processes are killed at once.

use crate::clients::Clients;
use crate::cold_zone::{MAX_COLD, RATE, SERVICE, configuration};
use crate::record::Record;
use crate::runner::Runner;
use crate::system::System;
use crate::Outcome;
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

pub fn run(has_trouble: bool, record: &Arc<Record>) -> Outcome {
    let mut system = System::start(&["z1", "z2", "z3", "z1", "z2"], 3, record);
    let (core, plain) = ([0, 1, 2], [3, 4]);
    let start = |system: &System, id: &str, zone: &str, last: u8, address, is_cold| {
        let ip = Ipv4Addr::new(127, 0, 22, last);
        let controls = core.iter().map(|index| system.control(*index)).collect();
        Runner::start(id, zone, ip, address, SERVICE, is_cold, controls, record)
    };
    let first = start(&system, "i-one", "z1", 1, None, false);
    let _other = start(&system, "i-two", "z2", 2, None, false);
    let accepted =
        system.order(&core, "PUT", "/configuration", &configuration(), Duration::from_secs(15));
    if !accepted.is_some_and(|(status, _)| status == 200)
        || !system.wait_until_ready(&[0, 1, 2, 3, 4], Duration::from_secs(10))
    {
        return Outcome::CouldNotRun("the system did not start");
    }
    thread::sleep(Duration::from_secs(4));
    let entries = plain.iter().map(|index| system.clients(*index)).collect();
    let clients = Clients::start(entries, RATE, "POST", "/submit/1", record);
    thread::sleep(Duration::from_secs(5));
    let address = first.address;
    if first.arrivals() < 20 {
        return Outcome::CouldNotRun("the runner got no requests");
    }
    if has_trouble {
        core.iter().for_each(|index| system.signal(*index, "KILL"));
    }
    first.crash();
    thread::sleep(Duration::from_millis(600));
    let again = start(&system, "i-one", "z1", 1, Some(address), true);
    if has_trouble {
        for index in core {
            system.wait_for_end(index);
            system.start_node(index, false, &core);
        }
    }
    thread::sleep(Duration::from_secs(6));
    let most = again.busiest_cold_second();
    let crashed = !again.is_up();
    let outcomes = clients.stop();
    record.say(&format!("answers: {outcomes:?}"));
    record.say(&format!(
        "the cold runner got up to {most} requests in one second; {MAX_COLD} are allowed; it crashed: {crashed}"
    ));
    if most > MAX_COLD { Outcome::Broken } else { Outcome::Held }
}
