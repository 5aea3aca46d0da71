//! A machine of the core is replaced; then another one loses its disk.

use crate::fleet::{self, Bounds, Folder, Machine, Ports, Record};
use std::net::SocketAddr;
use std::path::Path;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// `CatchUpS` of the site.
const CATCH_UP: Duration = Duration::from_secs(4);
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

/// `TROUBLE`: `1` for the case; `0` for the same without the disruption; `replace` and `disk` for one half of it;
/// `three` for a variant, in which all three machines are replaced at once and no disk is lost by chance.
pub fn run(folder: &Path, trouble: &str) -> i32 {
    if trouble == "three" {
        return replace_all(folder);
    }
    let record = Record::create(&folder.join("record.txt"));
    let (replaces, loses_disk) = match trouble {
        "0" => (false, false),
        "replace" => (true, false),
        "disk" => (false, true),
        _ => (true, true),
    };
    record.line(format!(
        "trouble: a machine is replaced: {replaces}; another one loses its disk: {loses_disk}"
    ));
    let temporary = Folder::create("3");
    let ports = Ports::choose(4);
    let machine = |name: &str, number: u8, zone: &str| {
        Machine::new(&temporary.0, name, number, zone, true, ports, Bounds::default())
    };
    let mut core = vec![
        machine("edge-a-1", 1, "zone-a"),
        machine("edge-b-1", 2, "zone-b"),
        machine("edge-c-1", 3, "zone-c"),
    ];
    let seeds: Vec<SocketAddr> = core.iter().map(Machine::control).collect();
    for it in &mut core {
        it.start(&seeds, true);
        record.line(format!("started {} (first start, empty disk) at {}", it.name, it.control()));
    }
    let mut version = 1;
    if !put(&record, &seeds, version, Duration::from_secs(20)) {
        record.line("the first configuration was not acknowledged: the case can't run");
        return 2;
    }
    // The new machine comes first, as an operator would do it.
    let mut successor = machine("edge-a-2", 4, "zone-a");
    successor.start(&seeds, false);
    record.line(format!(
        "started {} (new machine, empty disk, Bootstrap=false) at {}",
        successor.name,
        successor.control()
    ));
    sleep(CATCH_UP + Duration::from_secs(2));
    version = 2;
    let mut live: Vec<SocketAddr> = seeds.iter().copied().chain([successor.control()]).collect();
    if !put(&record, &live, version, Duration::from_secs(4)) {
        return 2;
    }
    let Some(leading) = fleet::leader(&core.iter().collect::<Vec<_>>()) else {
        record.line("no machine of the core answers reads itself: the case can't run");
        return 2;
    };
    record.line(format!("{} answers reads itself (it leads)", core[leading].name));
    let (removed, wiped) = ((leading + 1) % 3, (leading + 2) % 3);
    if replaces {
        let address = core[removed].control();
        record.line(format!(
            "SIGTERM to {}, which is removed for good; its successor has run for over {} s",
            core[removed].name,
            CATCH_UP.as_secs()
        ));
        let time = core[removed].stop();
        record.line(format!(
            "{} has ended after {:.1} s and never returns",
            core[removed].name,
            time.as_secs_f64()
        ));
        live.retain(|it| *it != address);
    }
    sleep(Duration::from_millis(500));
    version = 3;
    if !put(&record, &live, version, Duration::from_secs(4)) {
        record.line("this change was not acknowledged in AckTimeoutMs");
        version = 2;
    }
    if loses_disk {
        core[wiped].kill();
        core[wiped].lose_disk();
        record.line(format!("{} has lost its disk", core[wiped].name));
        sleep(Duration::from_secs(1));
        core[wiped].start(&seeds, false);
        record.line(format!(
            "{} is back at its address, with an empty disk and Bootstrap=false",
            core[wiped].name
        ));
    }
    let back = Instant::now();
    let mut read = None;
    while back.elapsed() < RECOVERY + FURTHER {
        let answer = fleet::operate(&live, "GET", "/configuration", b"");
        read = answer
            .filter(|(_, answer)| answer.status() == 200)
            .and_then(|(by, answer)| Some((by, fleet::version_of(&answer.text())?)));
        if let Some((by, read)) = read
            && back.elapsed() > RECOVERY
        {
            record.line(format!("GET /configuration: {by} answers with version {read}"));
            break;
        }
        sleep(Duration::from_millis(500));
    }
    let after = back.elapsed().as_secs_f64();
    let changed = put(&record, &live, 9, Duration::from_secs(4));
    for it in core.iter().chain([&successor]) {
        for line in it.log_lines(&[
            "\"number\":1000,",
            "\"number\":1003,",
            "\"number\":1011,",
            "\"number\":5008,",
        ]) {
            record.line(format!("log of {}: {line}", it.name));
        }
    }
    match read {
        Some((_, read)) if read >= version && changed => {
            record.line(
                "HELD: the newest acknowledged configuration is read back, and changes are acknowledged",
            );
            0
        }
        Some((_, read)) if read >= version => {
            record.line("BROKEN: a valid change is not acknowledged any more");
            1
        }
        Some((_, read)) => {
            record.line(format!(
                "BROKEN: version {read} is read back, version {version} was acknowledged"
            ));
            1
        }
        None => {
            record.line(format!("BROKEN: CONFIG: version {version} was acknowledged; no machine answers a read with it for {after:.0} s after all were back (RecoveryTimeS is {})", RECOVERY.as_secs()));
            1
        }
    }
}

/// All machines of the core are replaced at once, each by a successor that has had its time.
fn replace_all(folder: &Path) -> i32 {
    let record = Record::create(&folder.join("record.txt"));
    let temporary = Folder::create("3");
    let ports = Ports::choose(6);
    let mut machines: Vec<Machine> = (1..=6)
        .map(|number| {
            let (letter, copy) = (["a", "b", "c"][(number as usize - 1) % 3], (number + 2) / 3);
            Machine::new(
                &temporary.0,
                &format!("edge-{letter}-{copy}"),
                number,
                &format!("zone-{letter}"),
                true,
                ports,
                Bounds::default(),
            )
        })
        .collect();
    let seeds: Vec<SocketAddr> = machines[..3].iter().map(Machine::control).collect();
    machines[..3].iter_mut().for_each(|it| it.start(&seeds, true));
    if !put(&record, &seeds, 1, Duration::from_secs(20)) {
        return 2;
    }
    machines[3..].iter_mut().for_each(|it| it.start(&seeds, false));
    record.line("started three new machines with empty disks");
    sleep(CATCH_UP + Duration::from_secs(2));
    if !put(&record, &seeds, 2, Duration::from_secs(4)) {
        return 2;
    }
    let live: Vec<SocketAddr> = machines[3..].iter().map(Machine::control).collect();
    record.line("SIGTERM to the three old machines, which are removed for good");
    machines[..3].iter().for_each(|it| fleet::signal(it.pid(), fleet::SIGTERM));
    for it in &mut machines[..3] {
        it.stop();
    }
    record.line("they have ended");
    sleep(RECOVERY + Duration::from_secs(10));
    let read =
        fleet::operate(&live, "GET", "/configuration", b"").filter(|(_, it)| it.status() == 200);
    let changed = put(&record, &live, 3, Duration::from_secs(4));
    record.line(format!(
        "GET /configuration: {}",
        read.map_or("no answer with one".to_owned(), |(by, it)| format!(
            "{by} answers with version {:?}",
            fleet::version_of(&it.text())
        ))
    ));
    i32::from(!changed)
}

fn put(record: &Record, to: &[SocketAddr], version: u64, timeout: Duration) -> bool {
    let by = fleet::operate_until_acknowledged(
        to,
        "PUT",
        "/configuration",
        &configuration(version),
        timeout,
    );
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
