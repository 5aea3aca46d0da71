//! A machine of the core is replaced by one in another zone, and then another one loses its disk.

use crate::deployment::{self, Deployment};
use crate::http;
use crate::{Record, Verdict};
use rustix::process::Signal;
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};
use std::{env, fs};

/// Time from the start of the successor to the end of the machine that it replaces; `CatchUpS` is 4.
const CATCH_UP: Duration = Duration::from_secs(6);
/// Time from that end to the loss of the disk.
const DELAY: Duration = Duration::from_millis(500);
/// Time for which the machine that loses its disk is down.
const OUTAGE: Duration = Duration::from_secs(1);
/// `RecoveryTimeS` is 12; reads go on for longer.
const RECOVERY: Duration = Duration::from_secs(42);

/// Machine that is replaced, machine in whose zone the successor is, and machine whose disk is lost.
const REPLACED: usize = 1;
const NEIGHBOUR: usize = 0;
const WIPED: usize = 2;

pub fn run(record: &mut Record, trouble: bool) -> Verdict {
    let mut deployment = match Deployment::start() {
        Ok(deployment) => deployment,
        Err(why) => return Verdict::CannotRun(why),
    };
    deployment.settle();
    let fleet = &mut deployment.fleet;
    // Variants: the successor in the zone of the machine that it replaces, and each half of the fault.
    let variant = env::var("TROUBLE").unwrap_or_default();
    let zone_of = if variant == "zone" { REPLACED } else { NEIGHBOUR };
    let (removes, wipes) = (trouble && variant != "disk", trouble && variant != "replace");
    let successor = fleet.add_successor(zone_of);
    record.add(format!(
        "a machine with an empty disk is added at a new address in {}; the three others are in ikeja, \
         lekki and apapa",
        crate::fleet::ZONES[zone_of]
    ));
    thread::sleep(CATCH_UP);
    if !fleet.order("PUT", "/configuration", &deployment::configuration(2), Duration::from_secs(10))
    {
        return Verdict::CannotRun("version 2 is not acknowledged".to_owned());
    }
    record.add("version 2 is acknowledged");
    if removes {
        record.add("SIGTERM to the machine of lekki, 6 s after the start of its successor");
        fleet.signal(REPLACED, Signal::TERM);
        fleet.wait(REPLACED);
        fleet.nodes[REPLACED].is_removed = true;
        record.add("it has ended, and is removed for good");
    }
    thread::sleep(DELAY);
    let acknowledged = fleet.order(
        "PUT",
        "/configuration",
        &deployment::configuration(3),
        Duration::from_millis(3_000),
    );
    record.add(format!("version 3 is acknowledged: {acknowledged}"));
    if wipes {
        fleet.signal(WIPED, Signal::KILL);
        fleet.wait(WIPED);
        if fs::remove_dir_all(fleet.nodes[WIPED].folder.join("data")).is_err() {
            return Verdict::CannotRun("the disk can't be emptied".to_owned());
        }
        record.add("the machine of apapa ends and loses its disk");
        thread::sleep(OUTAGE);
        fleet.start_node(WIPED, false);
        record.add("it is back, with an empty disk");
    }
    let back = Instant::now();
    let newest = if acknowledged { 3 } else { 2 };
    let mut read = None;
    while read < Some(newest) && back.elapsed() < RECOVERY {
        for index in [NEIGHBOUR, WIPED, successor] {
            let version = version_at(fleet.control(index));
            if version > read {
                record.add(format!("version {version:?} is read"));
                read = version;
            }
        }
        thread::sleep(Duration::from_millis(200));
    }
    if read < Some(newest) {
        record.add(format!("no read within {} s gave version {newest}", RECOVERY.as_secs()));
        let is_acknowledged = fleet.order(
            "PUT",
            "/configuration",
            &deployment::configuration(4),
            Duration::from_secs(10),
        );
        record.add(format!("version 4 is acknowledged within 10 s more: {is_acknowledged}"));
        return Verdict::Broken;
    }
    record.add(format!("read {:.1} s after it was back", back.elapsed().as_secs_f64()));
    Verdict::Held
}

/// Version that a read gives, with redirects followed as by the operator.
fn version_at(to: SocketAddr) -> Option<u64> {
    let reply = http::call_control(to, "GET", "/configuration", "", Duration::from_secs(1))?;
    let body: serde_json::Value = serde_json::from_slice(&reply.body).ok()?;
    if reply.status == 200 { body["Version"].as_u64() } else { None }
}
