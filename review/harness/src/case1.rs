//! The seeds are exchanged for machines without a disk; then a machine of the core is replaced; then another one loses
//! its disk.

use crate::fleet::{self, Bounds, Folder, Machine, Ports, Record};
use std::net::SocketAddr;
use std::path::Path;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// `RecoveryTimeS` of the site.
const RECOVERY: Duration = Duration::from_secs(12);
/// Time for which the operator goes on asking after that.
const FURTHER: Duration = Duration::from_secs(30);

fn configuration(version: u64) -> Vec<u8> {
    format!(
        r#"{{"Version":{version},"Routes":[{{"Name":"r1","Host":"desk.example","PathPrefix":"/a/","Kind":"non_idempotent","TimeoutMs":1500,"TargetLatencyMs":150,"Priority":1,"Service":"desk","MaxAttempts":2,"Anonymous":true}}],"Services":[{{"Name":"desk","HealthPath":"/health","ConnectionLimit":120,"Protocol":"h1","TransportSecurity":false,"ColdStartS":0.0,"ColdPerS":0.0}}],"Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}}}"#
    )
    .into_bytes()
}

/// With `TROUBLE=0` the seeds stay as they were; the machine is replaced and the disk is lost all the same.
pub fn run(folder: &Path, trouble: &str) -> i32 {
    let record = Record::create(&folder.join("record.txt"));
    let is_exchanged = trouble != "0";
    record.line(format!(
        "trouble: the seeds are exchanged for machines without a disk: {is_exchanged}"
    ));
    let temporary = Folder::create("1");
    let ports = Ports::choose(7);
    let machine = |number: u8, has_disk: bool, copy: u8| {
        let letter = ["a", "b", "c"][(usize::from(number) - 1) % 3];
        let (name, zone) = (format!("edge-{letter}-{copy}"), format!("zone-{letter}"));
        Machine::new(&temporary.0, &name, number, &zone, has_disk, ports, Bounds::default())
    };
    let mut core: Vec<Machine> = (1..=3).map(|number| machine(number, true, 1)).collect();
    let mut others: Vec<Machine> = (4..=6).map(|number| machine(number, false, 2)).collect();
    let first_seeds: Vec<SocketAddr> = core.iter().map(Machine::control).collect();
    let other_seeds: Vec<SocketAddr> = others.iter().map(Machine::control).collect();
    core.iter_mut().chain(&mut others).for_each(|it| it.start(&first_seeds, true));
    record.line(format!(
        "started three machines with a disk, {first_seeds:?}, and three without, {other_seeds:?}"
    ));
    if !put(&record, &first_seeds, 1, Duration::from_secs(20)) {
        record.line("the first configuration was not acknowledged: the case can't run");
        return 2;
    }
    let seeds = if is_exchanged { other_seeds.clone() } else { first_seeds.clone() };
    record.line(format!("the settings name these seeds from now on: {seeds:?}"));
    core.iter().chain(&others).for_each(|it| it.write_settings(&seeds, false));
    sleep(Duration::from_secs(4));
    let Some(leading) = fleet::leader(&core.iter().collect::<Vec<_>>()) else { return 2 };
    let (removed, wiped) = ((leading + 1) % 3, (leading + 2) % 3);
    core[removed].kill();
    record.line(format!("{} is gone for good ({} leads)", core[removed].name, core[leading].name));
    sleep(Duration::from_secs(2));
    let mut successor = machine(7, true, 4);
    successor.start(&seeds, false);
    record.line(format!(
        "started its successor {} (empty disk, Bootstrap=false) at {}",
        successor.name,
        successor.control()
    ));
    sleep(Duration::from_secs(12));
    let removed_address = core[removed].control();
    let all = first_seeds.iter().chain(&other_seeds).copied().chain([successor.control()]);
    let live: Vec<SocketAddr> = all.filter(|it| *it != removed_address).collect();
    if !put(&record, &live, 2, Duration::from_secs(4)) {
        return 2;
    }
    core[wiped].kill();
    core[wiped].lose_disk();
    record.line(format!(
        "{} has lost its disk, 12 s after the successor has started",
        core[wiped].name
    ));
    sleep(Duration::from_secs(1));
    core[wiped].start(&seeds, false);
    record.line(format!(
        "{} is back at its address, with an empty disk and Bootstrap=false",
        core[wiped].name
    ));
    let back = Instant::now();
    let mut read = None;
    while back.elapsed() < RECOVERY + FURTHER {
        let answer = fleet::operate(&live, "GET", "/configuration", b"");
        let answer = answer.filter(|(_, answer)| answer.status() == 200);
        read = answer.and_then(|(by, answer)| Some((by, fleet::version_of(&answer.text())?)));
        if read.is_some() && back.elapsed() > RECOVERY {
            break;
        }
        sleep(Duration::from_millis(500));
    }
    let after = back.elapsed().as_secs();
    let changed = put(&record, &live, 3, Duration::from_secs(4));
    for it in core.iter().chain([&successor]) {
        let numbers = [
            "\"number\":1000,",
            "\"number\":1003,",
            "\"number\":1011,",
            "\"number\":1012,",
            "\"number\":5008,",
        ];
        for line in it.log_lines(&numbers) {
            record.line(format!("log of {}: {line}", it.name));
        }
    }
    match read {
        Some((by, 2..)) if changed => {
            record.line(format!("HELD: {by} answers a read with the newest acknowledged configuration, and changes are acknowledged"));
            0
        }
        _ => {
            record.line(format!("BROKEN: CONFIG: version 2 was acknowledged; read back for {after} s after all were back: {read:?} (RecoveryTimeS is {})", RECOVERY.as_secs()));
            1
        }
    }
}

fn put(record: &Record, to: &[SocketAddr], version: u64, timeout: Duration) -> bool {
    let body = configuration(version);
    let by = fleet::operate_until_acknowledged(to, "PUT", "/configuration", &body, timeout);
    match by {
        Some(by) => {
            record.line(format!("PUT /configuration version {version}: acknowledged by {by}"))
        }
        None => record.line(format!(
            "PUT /configuration version {version}: no acknowledgement within {} s",
            timeout.as_secs()
        )),
    }
    by.is_some()
}
