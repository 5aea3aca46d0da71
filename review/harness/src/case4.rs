//! At the first start, one machine of the core is cut off from the others; it acknowledges the first configuration
//! and loses its disk.

use crate::fleet::{self, Bounds, Folder, Machine, Ports, Record, ip};
use crate::relay::Relay;
use std::net::SocketAddr;
use std::path::Path;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// How long the machine is cut off (`core_cut`, `for_s`).
const CUT: Duration = Duration::from_millis(5_500);
/// How long the machine is down when it loses its disk (`after_ack_wipe`, `for_s`).
const DOWN: Duration = Duration::from_secs(3);
/// `RecoveryTimeS` of the site.
const RECOVERY: Duration = Duration::from_secs(12);
/// Time for which the operator goes on asking after that.
const FURTHER: Duration = Duration::from_secs(25);

fn configuration(version: u64) -> Vec<u8> {
    format!(
        r#"{{"Version":{version},"Routes":[{{"Name":"r1","Host":"desk.example","PathPrefix":"/a/","Kind":"non_idempotent","TimeoutMs":1500,"TargetLatencyMs":150,"Priority":1,"Service":"desk","MaxAttempts":2,"Anonymous":true}}],"Services":[{{"Name":"desk","HealthPath":"/health","ConnectionLimit":120,"Protocol":"h1","TransportSecurity":false,"ColdStartS":0.0,"ColdPerS":0.0}}],"Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}}}"#
    )
    .into_bytes()
}

/// `TROUBLE`: `1` for the case; `0` for the same without the disruption; `cut` and `disk` for one half of it.
pub fn run(folder: &Path, trouble: &str) -> i32 {
    let record = Record::create(&folder.join("record.txt"));
    let (is_cut, loses_disk) = match trouble {
        "0" => (false, false),
        "cut" => (true, false),
        "disk" => (false, true),
        _ => (true, true),
    };
    record.line(format!("trouble: edge-a-1 is cut off from the other two at the first start: {is_cut}; it loses its disk after its first acknowledgement: {loses_disk}"));
    let temporary = Folder::create("4");
    let ports = Ports::choose(3);
    let mut core: Vec<Machine> = (1..=3)
        .map(|number| {
            let letter = ["a", "b", "c"][number as usize - 1];
            let (name, zone) = (format!("edge-{letter}-1"), format!("zone-{letter}"));
            Machine::new(&temporary.0, &name, number, &zone, true, ports, Bounds::default())
        })
        .collect();
    // The paths between edge-a-1 and the other two, for the calls between daemons. Seeds are all that a process
    // knows of the others when it starts, so nothing else passes between them while the paths are held.
    let path = |number: u8, to: &Machine| {
        let peer = SocketAddr::new(to.control().ip(), ports.peer);
        Relay::start(SocketAddr::new(ip(number), ports.peer), peer)
    };
    let paths = [path(11, &core[0]), path(12, &core[1]), path(13, &core[2])];
    paths.iter().for_each(|it| it.hold(is_cut));
    let seed = |it: &Relay| SocketAddr::new(it.address.ip(), ports.control);
    let own: Vec<SocketAddr> = core.iter().map(Machine::control).collect();
    let seeds_of_a = [own[0], seed(&paths[1]), seed(&paths[2])];
    let seeds_of_others = [seed(&paths[0]), own[1], own[2]];
    let started = Instant::now();
    for (index, it) in core.iter_mut().enumerate() {
        it.start(if index == 0 { &seeds_of_a } else { &seeds_of_others }, true);
        record.line(format!("started {} (first start, empty disk) at {}", it.name, it.control()));
    }
    let Some(by) = fleet::operate_until_acknowledged(
        &own,
        "PUT",
        "/configuration",
        &configuration(1),
        Duration::from_secs(20),
    ) else {
        record.line("the first configuration was not acknowledged: the case can't run");
        return 2;
    };
    record.line(format!("PUT /configuration version 1: acknowledged by {by}"));
    if loses_disk {
        let acknowledging = own.iter().position(|it| *it == by).unwrap_or_default();
        core[acknowledging].kill();
        core[acknowledging].lose_disk();
        record.line(format!(
            "{} has lost its disk right after its acknowledgement",
            core[acknowledging].name
        ));
        sleep(DOWN);
        let seeds = if acknowledging == 0 { seeds_of_a } else { seeds_of_others };
        core[acknowledging].start(&seeds, false);
        record.line(format!(
            "{} is back at its address, with an empty disk and Bootstrap=false",
            core[acknowledging].name
        ));
    }
    sleep(CUT.saturating_sub(started.elapsed()));
    paths.iter().for_each(|it| it.hold(false));
    record.line("all machines reach each other");
    let healed = Instant::now();
    let mut read = None;
    while healed.elapsed() < RECOVERY + FURTHER {
        let answer = fleet::operate(&own, "GET", "/configuration", b"")
            .filter(|(_, answer)| answer.status() == 200);
        read = answer.and_then(|(by, answer)| Some((by, fleet::version_of(&answer.text())?)));
        if read.is_some() && healed.elapsed() > RECOVERY {
            break;
        }
        sleep(Duration::from_millis(500));
    }
    let changed = fleet::operate_until_acknowledged(
        &own,
        "PUT",
        "/configuration",
        &configuration(2),
        Duration::from_secs(4),
    );
    record.line(format!(
        "PUT /configuration version 2: {}",
        changed.map_or("no acknowledgement within 4 s".to_owned(), |by| format!(
            "acknowledged by {by}"
        ))
    ));
    for it in &core {
        for line in it.log_lines(&[
            "\"number\":1000,",
            "\"number\":1010,",
            "\"number\":1011,",
            "\"number\":5004,",
        ]) {
            record.line(format!("log of {}: {line}", it.name));
        }
    }
    let after = healed.elapsed().as_secs();
    match read {
        Some((by, version)) if version >= 1 => {
            record.line(format!("HELD: {by} answers a read with version {version}"));
            0
        }
        _ => {
            record.line(format!("BROKEN: LOST: version 1 was acknowledged and is gone: no machine answers a read with it for {after} s after all were back and connected (RecoveryTimeS is {})", RECOVERY.as_secs()));
            1
        }
    }
}
