//! A runner crashes, starts again under its name, and leaves; then a ping of its first life arrives late.

use crate::fleet::{self, Bounds, Folder, Machine, Ports, Record, ip};
use crate::relay::Relay;
use crate::traffic::{Clients, RunnerProcess};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::thread::sleep;
use std::time::Duration;

/// `DrainTimeoutMs` of the site.
const DRAIN_TIMEOUT: f64 = 2.0;
/// Allowance for what is on its way.
const MARGIN: f64 = 0.3;
const SERVICE: &str = "desk";
/// Runners that stay; one of seven crashes.
const OTHER_RUNNERS: u8 = 6;

fn configuration() -> Vec<u8> {
    format!(
        r#"{{"Version":1,"Routes":[{{"Name":"submit","Host":"desk.example","PathPrefix":"/a/","Kind":"non_idempotent","TimeoutMs":3000,"TargetLatencyMs":600,"Priority":1,"Service":"{SERVICE}","MaxAttempts":2,"Anonymous":true}}],"Services":[{{"Name":"{SERVICE}","HealthPath":"/health","ConnectionLimit":120,"Protocol":"h1","TransportSecurity":false,"ColdStartS":0.0,"ColdPerS":0.0}}],"Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}}}"#
    )
    .into_bytes()
}

pub fn run(folder: &Path, trouble: &str) -> i32 {
    let record = Record::create(&folder.join("record.txt"));
    let is_late = trouble != "0";
    record.line(format!("trouble: a ping of the runner's first life is held up: {is_late}"));
    let temporary = Folder::create("5");
    let ports = Ports::choose(4);
    let mut core: Vec<Machine> = (1..=3)
        .map(|number| {
            let letter = ["a", "b", "c"][number as usize - 1];
            let (name, zone) = (format!("edge-{letter}-1"), format!("zone-{letter}"));
            Machine::new(&temporary.0, &name, number, &zone, true, ports, Bounds::default())
        })
        .collect();
    let seeds: Vec<SocketAddr> = core.iter().map(Machine::control).collect();
    for it in &mut core {
        it.start(&seeds, true);
    }
    let acknowledged = fleet::operate_until_acknowledged(
        &seeds,
        "PUT",
        "/configuration",
        &configuration(),
        Duration::from_secs(20),
    );
    if acknowledged.is_none() {
        record.line("the configuration was not acknowledged: the case can't run");
        return 2;
    }
    let Some(leading) = fleet::leader(&core.iter().collect::<Vec<_>>()) else { return 2 };
    // The leader is called through a path that can hold what is sent; the others directly.
    let leader = core[leading].control();
    let others: Vec<SocketAddr> = seeds.iter().copied().filter(|it| *it != leader).collect();
    let path = Relay::start(SocketAddr::new(ip(4), ports.control), leader);
    record.line(format!(
        "machines {seeds:?}; {leader} leads, and i-2 reaches it through {}",
        path.address
    ));
    let at = |number: u8| SocketAddr::new(ip(number), ports.callers).to_string();
    let daemons = |first: SocketAddr| {
        let rest = others.iter().copied().chain([leader]).filter(|it| *it != first);
        let list = [first].into_iter().chain(rest);
        list.map(|it| it.to_string()).collect::<Vec<_>>().join(",")
    };
    let direct = seeds.iter().map(ToString::to_string).collect::<Vec<_>>().join(",");
    let over = format!("{leader}>{}", path.address);
    let start = |id: &str, zone: &str, number: u8, born: u64, control: &str, path: &str| {
        let address = at(number);
        let arguments = [
            ("id", id),
            ("service", SERVICE),
            ("zone", zone),
            ("address", &address),
            ("work_ms", "400"),
            ("control", control),
            ("path", path),
        ];
        RunnerProcess::start(&record, id, born, &arguments)
    };
    let stay: Vec<RunnerProcess> = (10..10 + OTHER_RUNNERS)
        .map(|number| {
            start(&format!("i-{number}"), "zone-a", number, 1_700_000_000_000, &direct, "")
        })
        .collect();
    // The runner picks the leader first; the response of a daemon may name another address, which it keeps to.
    let mut first_life = start("i-2", "zone-b", 5, 1_700_000_000_500, &daemons(leader), &over);
    let has_registered = |it: &RunnerProcess| it.wait_for("PUT", Duration::from_secs(5)).is_some();
    if !stay.iter().all(has_registered) || !has_registered(&first_life) {
        return 2;
    }
    sleep(Duration::from_millis(500));
    // Clients call the two machines that don't lead: nothing is held up on their links.
    let entries: Vec<SocketAddr> = core
        .iter()
        .enumerate()
        .filter(|(it, _)| *it != leading)
        .map(|(_, it)| it.callers())
        .collect();
    let clients = Clients::start(&record, entries, Duration::from_millis(10));
    sleep(Duration::from_secs(3));
    if is_late {
        path.hold(true);
        record.line("the path from i-2 to the leader holds what is sent on it");
    }
    // A ping on the held path, and its repetition at the next daemon.
    sleep(Duration::from_millis(2_600));
    first_life.kill();
    record.line("i-2 has crashed (SIGKILL)");
    sleep(Duration::from_millis(300));
    let mut second_life = start("i-2", "zone-b", 5, 1_700_000_009_000, &daemons(others[0]), &over);
    record.line("i-2 has started again under its InstanceId");
    if second_life.wait_for("PUT", Duration::from_secs(5)).is_none() {
        return 2;
    }
    sleep(Duration::from_millis(800));
    record.line("i-2 leaves: it sends DELETE and goes on serving for a time");
    second_life.order("leave");
    let Some((left_at, by)) = second_life.wait_for("left ", Duration::from_secs(5)) else {
        return 2;
    };
    record.line(format!("the departure of i-2 was acknowledged by {by}"));
    sleep(Duration::from_millis(700));
    if is_late {
        path.hold(false);
        record.line(
            "the path from i-2 to the leader works again: the ping of the first life arrives",
        );
    }
    sleep(Duration::from_secs(8));
    second_life.kill();
    record.line("i-2 has ended");
    sleep(Duration::from_secs(4));
    clients.stop();
    let outcomes = clients.outcomes();
    let events = second_life.events.lock().unwrap();
    let runs: Vec<(f64, String)> = events
        .iter()
        .filter_map(|(at, line)| Some((*at, line.strip_prefix("run ")?.to_owned())))
        .collect();
    let before = runs.iter().filter(|(at, _)| *at < left_at).count();
    let late: Vec<&(f64, String)> =
        runs.iter().filter(|(at, _)| *at > left_at + DRAIN_TIMEOUT + MARGIN).collect();
    record.line(format!("second life of i-2: {before} requests ran before its departure was acknowledged, {} until {DRAIN_TIMEOUT} s after, {} later", runs.len() - before - late.len(), late.len()));
    for (at, id) in &late {
        let outcome = outcomes.get(id).map_or("none", String::as_str);
        record.line(format!("request {id} ran at i-2 {:.3} s after the acknowledgement of its departure; its client got: {outcome}", at - left_at));
    }
    let mut totals: BTreeMap<&str, usize> = BTreeMap::new();
    outcomes.values().for_each(|it| *totals.entry(it).or_default() += 1);
    record.line(format!("outcomes of all requests: {totals:?}"));
    let lost = late.iter().filter(|(_, id)| outcomes.get(id).is_none_or(|it| it != "200")).count();
    if late.len() > 3 {
        record.line(format!("BROKEN: DRAIN: {} requests reached a runner later than DrainTimeoutMs after its departure was acknowledged; {lost} of them were lost when it ended", late.len()));
        return 1;
    }
    if runs.is_empty() || !outcomes.values().any(|it| it == "200") {
        record.line("no request was served by i-2: the case can't run");
        return 2;
    }
    record.line("HELD");
    0
}
