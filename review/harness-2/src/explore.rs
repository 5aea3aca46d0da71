use crate::fleet::Fleet;
use crate::{Record, Verdict, http};
use rustix::process::Signal;
use std::sync::atomic::{AtomicU64, AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

pub fn config(version: u64, routes: usize) -> String {
    let r: Vec<String> = (0..routes).map(|i| format!(r#"{{"Name":"r-{i}","Host":"levy.example","PathPrefix":"/d{i}x{version}/","Kind":"idempotent","TimeoutMs":8000,"TargetLatencyMs":300,"Priority":1,"Service":"levy-desk","MaxAttempts":2,"Anonymous":true}}"#)).collect();
    format!(r#"{{"Version":{version},"Routes":[{}],"Services":[{{"Name":"levy-desk","HealthPath":"/health","ConnectionLimit":120,"Protocol":"h1","TransportSecurity":false,"ColdStartS":0.0,"ColdPerS":0.0}}],"Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}},"Tenants":[]}}"#, r.join(","))
}
fn read(fleet: &Fleet, i: usize) -> Option<u64> {
    let t = Duration::from_secs(2);
    let r = http::call(fleet.control(i), "GET", "/configuration", "", t)?;
    let r = if r.status == 307 { let to = r.header("location").and_then(http::address_of)?; http::call(to, "GET", "/configuration", "", t)? } else { r };
    if r.status != 200 { return None; }
    let v: serde_json::Value = serde_json::from_slice(&r.body).ok()?;
    v["Version"].as_u64()
}
pub fn run(record: &mut Record, _trouble: bool) -> Verdict {
    let seed: u64 = std::env::var("SEED").ok().and_then(|s| s.parse().ok()).unwrap_or(1);
    let routes: usize = std::env::var("ROUTES").ok().and_then(|s| s.parse().ok()).unwrap_or(5);
    let len: u64 = std::env::var("LEN").ok().and_then(|s| s.parse().ok()).unwrap_or(45);
    let mut rng = seed.wrapping_mul(0x9E3779B97F4A7C15) | 1;
    let mut rnd = move |n: u64| { rng ^= rng << 13; rng ^= rng >> 7; rng ^= rng << 17; rng % n };
    let mut fleet = Fleet::start(3);
    if !fleet.configure(&config(1, routes), Duration::from_secs(20)) { return Verdict::CannotRun("start".into()); }
    let acked = Arc::new(AtomicU64::new(1));
    let next = Arc::new(AtomicU64::new(2));
    let stop = Arc::new(AtomicBool::new(false));
    let controls: Vec<_> = (0..3).map(|i| fleet.control(i)).collect();
    let mut hs = Vec::new();
    for w in 0..6u64 {
        let (acked, next, stop, controls) = (acked.clone(), next.clone(), stop.clone(), controls.clone());
        hs.push(thread::spawn(move || {
            let mut n = 0u64;
            while !stop.load(Ordering::Relaxed) {
                let v = next.fetch_add(1 + w % 2, Ordering::SeqCst);
                let body = config(v, routes);
                'a: for k in 0..30 {
                    let mut to = controls[((w + k) % 3) as usize];
                    for _ in 0..2 {
                        match http::call(to, "PUT", "/configuration", &body, Duration::from_millis(1500)) {
                            Some(r) if r.status == 200 => { acked.fetch_max(v, Ordering::SeqCst); n += 1; break 'a; }
                            Some(r) if r.status == 307 => { match r.header("location").and_then(http::address_of) { Some(a) => to = a, None => break } }
                            Some(r) if r.status < 500 => { eprintln!("refused {} v{v}", r.status); return n; }
                            _ => break,
                        }
                    }
                    thread::sleep(Duration::from_millis(50));
                    if stop.load(Ordering::Relaxed) { break; }
                }
            }
            n
        }));
    }
    let began = Instant::now();
    let mut broken = false;
    let mut lost_until = Instant::now();
    while began.elapsed() < Duration::from_secs(len) {
        let act = rnd(6);
        let i = rnd(3) as usize;
        let calm = Instant::now() >= lost_until;
        match act {
            0 => { record.add(format!("kill {i}")); fleet.signal(i, Signal::KILL); fleet.wait(i); thread::sleep(Duration::from_millis(rnd(800))); fleet.start_node(i, false); }
            1 if calm => { record.add(format!("wipe {i}")); fleet.signal(i, Signal::KILL); fleet.wait(i); let _ = std::fs::remove_dir_all(fleet.nodes[i].folder.join("data")); thread::sleep(Duration::from_millis(rnd(1500))); fleet.start_node(i, false); lost_until = Instant::now() + Duration::from_millis(4200); }
            2 => { record.add("kill all"); for j in 0..3 { fleet.signal(j, Signal::KILL); } for j in 0..3 { fleet.wait(j); } thread::sleep(Duration::from_millis(rnd(500))); for j in 0..3 { fleet.start_node(j, false); } lost_until = lost_until.max(Instant::now() + Duration::from_millis(4200)); thread::sleep(Duration::from_secs(2)); }
            3 => { record.add(format!("stop {i}")); fleet.signal(i, Signal::STOP); thread::sleep(Duration::from_millis(500 + rnd(1500))); fleet.signal(i, Signal::CONT); }
            4 => { record.add(format!("term {i}")); fleet.signal(i, Signal::TERM); fleet.wait(i); fleet.start_node(i, false); }
            _ => thread::sleep(Duration::from_millis(rnd(2500))),
        }
        let must = acked.load(Ordering::SeqCst);
        let until = Instant::now() + Duration::from_millis(1500 + rnd(2000));
        while Instant::now() < until {
            for j in 0..3 { if let Some(v) = read(&fleet, j) { if v < must { record.add(format!("READ v{v} < acked v{must} at {j}")); broken = true; } } }
            thread::sleep(Duration::from_millis(100));
        }
        for j in 0..3 { if fleet.has_ended(j) { record.add(format!("process {j} ended by itself")); broken = true; } }
        record.add(format!("acked {must}"));
    }
    stop.store(true, Ordering::Relaxed);
    let n: u64 = hs.into_iter().filter_map(|h| h.join().ok()).sum();
    let until = Instant::now() + Duration::from_secs(15);
    let must = acked.load(Ordering::SeqCst);
    let mut last = None;
    while Instant::now() < until { last = read(&fleet, 0).or(last); if last >= Some(must) { break; } thread::sleep(Duration::from_millis(200)); }
    record.add(format!("{n} acks; newest acked {must}; read back {last:?}"));
    for j in 0..3 {
        let log = std::fs::read_to_string(fleet.nodes[j].folder.join("log")).unwrap_or_default();
        for l in log.lines().filter(|l| l.contains("panicked") || l.contains("\"ERROR\"") || l.contains("Damaged") || l.contains("assert")).take(5) { record.add(format!("{j}: {l}")); broken = true; }
        record.add(format!("log lines {} installed {} ", log.lines().count(), log.matches("nstalled").count()));
    }
    if broken || last < Some(must) { Verdict::Broken } else { Verdict::Held }
}

pub fn starts(record: &mut Record, _t: bool) -> Verdict {
    let mut bad = 0;
    for i in 0..20 {
        let b = Instant::now();
        let fleet = Fleet::start(3);
        let ok = fleet.configure(&config(1, 5), Duration::from_secs(15));
        record.add(format!("start {i}: {ok} {:.2}", b.elapsed().as_secs_f64()));
        if !ok { bad += 1; for j in 0..3 { let log = std::fs::read_to_string(fleet.nodes[j].folder.join("log")).unwrap_or_default(); for l in log.lines().take(12) { record.add(format!("{j}: {}", &l[..l.len().min(300)])); } } }
    }
    if bad > 0 { Verdict::Broken } else { Verdict::Held }
}

pub fn replace(record: &mut Record, _t: bool) -> Verdict {
    let seed: u64 = std::env::var("SEED").ok().and_then(|s| s.parse().ok()).unwrap_or(1);
    let mut rng = seed.wrapping_mul(0x9E3779B97F4A7C15) | 1;
    let mut rnd = move |n: u64| { rng ^= rng << 13; rng ^= rng >> 7; rng ^= rng << 17; rng % n };
    let mut fleet = Fleet::start(3);
    if !fleet.configure(&config(1, 5), Duration::from_secs(20)) { return Verdict::CannotRun("start".into()); }
    thread::sleep(Duration::from_secs(4));
    let began = Instant::now();
    let mut version = 1u64; let mut acked = 1u64; let mut broken = false;
    let mut round = 0;
    while began.elapsed() < Duration::from_secs(95) {
        round += 1;
        let here: Vec<usize> = fleet.present().collect();
        let i = here[rnd(here.len() as u64) as usize];
        let how = rnd(7);
        match how {
            0 | 1 => { record.add(format!("{round}: {i} killed for good, successor after 1 s")); fleet.signal(i, Signal::KILL); fleet.wait(i); fleet.nodes[i].is_removed = true; thread::sleep(Duration::from_millis(1000)); let n = fleet.add_successor(i); record.add(format!("   successor {n}")); }
            2 | 3 => { let n = fleet.add_successor(i); record.add(format!("{round}: planned {i} -> {n}")); thread::sleep(Duration::from_millis(1000 + rnd(3000))); fleet.nodes[i].is_removed = true; fleet.signal(i, Signal::TERM); fleet.wait(i); }
            4 => { record.add(format!("{round}: wipe {i}")); fleet.signal(i, Signal::KILL); fleet.wait(i); let _ = std::fs::remove_dir_all(fleet.nodes[i].folder.join("data")); thread::sleep(Duration::from_millis(rnd(3000))); fleet.start_node(i, false); }
            5 => { record.add(format!("{round}: all killed")); for j in here.iter() { fleet.signal(*j, Signal::KILL); } for j in here.iter() { fleet.wait(*j); } thread::sleep(Duration::from_millis(rnd(900))); for j in here.iter() { fleet.start_node(*j, false); } }
            _ => { record.add(format!("{round}: restart {i}")); fleet.signal(i, Signal::KILL); fleet.wait(i); thread::sleep(Duration::from_millis(rnd(2000))); fleet.start_node(i, false); }
        }
        // CatchUpS is 4: then the next loss may come.
        let until = Instant::now() + Duration::from_millis(4200);
        let mut n = 0;
        while Instant::now() < until {
            version += 1;
            if fleet.order("PUT", "/configuration", &config(version, 5), Duration::from_millis(3000)) { acked = version; n += 1; }
            thread::sleep(Duration::from_millis(120));
        }
        if n == 0 { 
            let ok = fleet.order("PUT", "/configuration", &config(version, 5), Duration::from_secs(12));
            record.add(format!("   no ack within 4.2 s and more; then acked {ok}"));
            if !ok { broken = true; break; } else { acked = version; }
        }
        let mut got = None;
        for j in fleet.present() { if let Some(v) = read(&fleet, j) { got = got.max(Some(v)); if v < acked { record.add(format!("   READ {v} < {acked} at {j}")); broken = true; } } }
        record.add(format!("   acks {n}, acked {acked}, read {got:?}"));
        let here: Vec<usize> = fleet.present().collect();
        for j in here { if fleet.has_ended(j) { record.add(format!("process {j} ended by itself")); broken = true; } }
    }
    for j in 0..fleet.nodes.len() {
        let log = std::fs::read_to_string(fleet.nodes[j].folder.join("log")).unwrap_or_default();
        for l in log.lines().filter(|l| l.contains("panicked")).take(5) { record.add(format!("{j}: {l}")); broken = true; }
    }
    if broken { Verdict::Broken } else { Verdict::Held }
}
