//! A runner restarts under its name after the clock of its machine was set back, and then drains.

use crate::deployment::Deployment;
use crate::runner::{self, Runner};
use crate::{Record, Verdict, client};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

const SUBMISSIONS: usize = 500;
const INTERVAL: Duration = Duration::from_millis(20);
const WORK: Duration = Duration::from_millis(150);
/// By how much the clock of the runner's machine is ahead before it is set back.
const CLOCK_STEP_MS: u64 = 2_000;
/// `DrainTimeoutMs` of the site.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Time for which the runner serves after that.
const LONGER: Duration = Duration::from_millis(500);

pub fn run(record: &mut Record, trouble: bool) -> Verdict {
    let deployment = match Deployment::start() {
        Ok(deployment) => deployment,
        Err(why) => return Verdict::CannotRun(why),
    };
    let free = SocketAddr::from(([127, 0, 0, 1], 0));
    for (instance, zone) in [("i-desk-0", "ikeja"), ("i-desk-2", "apapa")] {
        let other = Runner::start("levy-desk", zone, instance, free, runner::unix_ms(), WORK);
        deployment.add(&other);
    }
    deployment.settle();
    let submitting = client::submit(&deployment.callers, 0..SUBMISSIONS, INTERVAL);
    let ahead = if trouble { CLOCK_STEP_MS } else { 0 };
    let born = runner::unix_ms() + ahead;
    let first = Runner::start("levy-desk", "lekki", "i-desk-1", free, born, WORK);
    deployment.add(&first);
    record.add(format!("i-desk-1 starts; born {born}, as its clock is {ahead} ms ahead"));
    thread::sleep(Duration::from_millis(1_300));
    first.end();
    thread::sleep(Duration::from_millis(100));
    let born = runner::unix_ms();
    let second = Runner::start("levy-desk", "lekki", "i-desk-1", first.address, born, WORK);
    deployment.add(&second);
    record.add(format!("i-desk-1 has crashed and starts again at its address; born {born}"));
    thread::sleep(Duration::from_millis(300));
    second.drain();
    let mut acknowledged = None;
    for _ in 0..8 {
        for to in &deployment.controls {
            if acknowledged.is_none() && second.announce(*to).is_some() {
                acknowledged = Some(Instant::now());
            }
        }
    }
    let Some(acknowledged) = acknowledged else {
        return Verdict::CannotRun("no ack of the draining".to_owned());
    };
    record.add("the draining of i-desk-1 was acknowledged; it goes on beating and serving");
    thread::sleep((DRAIN_TIMEOUT + LONGER).saturating_sub(acknowledged.elapsed()));
    let departed = second.depart(&deployment.controls);
    second.end();
    record.add(format!(
        "i-desk-1 has sent DELETE (acknowledged: {departed}) and exited, DrainTimeoutMs and 0.5 s after \
         the ack of its draining"
    ));
    let Ok(attempts) = submitting.join() else {
        return Verdict::CannotRun("a requester failed".to_owned());
    };
    let runs = second.runs.lock().expect("no panic").clone();
    let mut late = 0;
    let mut cut = 0;
    for run in &runs {
        let after = run.began.duration_since(acknowledged.min(run.began));
        let attempt = attempts.iter().find(|it| it.id == run.id);
        let answer = attempt.map_or(0, |it| it.status);
        // 20 ms for the way of a request, in favour of the system.
        let is_late = run.began > acknowledged
            && after > DRAIN_TIMEOUT + Duration::from_millis(20)
            && attempt.is_some_and(|it| it.sent > acknowledged);
        late += usize::from(is_late);
        cut += usize::from(is_late && run.status.is_none());
        record.note(format!(
            "attempt {}: reached i-desk-1 at {:.3} s, {:.3} s after the ack; the runner gave {:?}, the \
             requester received {answer}{}",
            run.id,
            record.since_start(run.began),
            after.as_secs_f64(),
            run.status,
            if is_late { "  <- late" } else { "" },
        ));
    }
    let mut counts: BTreeMap<u16, usize> = BTreeMap::new();
    attempts.iter().for_each(|it| *counts.entry(it.status).or_default() += 1);
    record.add(format!("attempts by status: {counts:?}"));
    record.add(format!(
        "{late} requests reached i-desk-1 later than DrainTimeoutMs after the ack, and {cut} of them were \
         cut off when it exited"
    ));
    if late > 0 { Verdict::Broken } else { Verdict::Held }
}
