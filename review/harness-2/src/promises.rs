//! A runner fails part of the requests that it has run, with statuses that an answer of the system must
//! not have then.

use crate::deployment::Deployment;
use crate::runner::{self, Run, Runner};
use crate::{Record, Verdict, client};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Submissions before the disruption, and all of them: it lasts 6.5 s.
const BEFORE: usize = 40;
const SUBMISSIONS: usize = 170;
const INTERVAL: Duration = Duration::from_millis(50);

pub fn run(record: &mut Record, trouble: bool) -> Verdict {
    let deployment = match Deployment::start() {
        Ok(deployment) => deployment,
        Err(why) => return Verdict::CannotRun(why),
    };
    let free = SocketAddr::from(([127, 0, 0, 1], 0));
    let start = |(number, zone): (usize, &&str)| {
        let instance = format!("i-desk-{number}");
        let work = Duration::from_millis(30);
        Runner::start("levy-desk", zone, &instance, free, runner::unix_ms(), work)
    };
    let runners: Vec<Arc<Runner>> = crate::fleet::ZONES.iter().enumerate().map(start).collect();
    runners.iter().for_each(|runner| deployment.add(runner));
    deployment.settle();
    record.add("submissions, one each 50 ms, to the three processes in turn");
    let submit = |range| client::submit(&deployment.callers, range, INTERVAL).join();
    let before = submit(0..BEFORE);
    let count = |runner: &&Arc<Runner>| runner.runs.lock().expect("no panic").len();
    if let Some(faulty) = runners.iter().max_by_key(count).filter(|_| trouble) {
        faulty.fail_with(&[429, 408]);
        record.add(format!(
            "after {BEFORE} submissions {}, which has most of them, begins to fail two in five of the \
             requests that it has run, with 429 and 408 by turns and without Hyssopfork-Not-Executed; \
             its health is good, and the other two are sound",
            faulty.instance
        ));
    }
    let (Ok(mut attempts), Ok(after)) = (before, submit(BEFORE..SUBMISSIONS)) else {
        return Verdict::CannotRun("a requester failed".to_owned());
    };
    attempts.extend(after);
    let mut runs: BTreeMap<String, Vec<(String, Run)>> = BTreeMap::new();
    for runner in &runners {
        for run in runner.runs.lock().expect("no panic").iter() {
            runs.entry(run.id.clone()).or_default().push((runner.instance.clone(), run.clone()));
        }
    }
    let mut counts: BTreeMap<u16, usize> = BTreeMap::new();
    let mut submission_runs: BTreeMap<usize, usize> = BTreeMap::new();
    let mut broken = 0;
    for attempt in &attempts {
        *counts.entry(attempt.status).or_default() += 1;
        let ran = runs.get(&attempt.id).cloned().unwrap_or_default();
        *submission_runs.entry(attempt.submission).or_default() += ran.len();
        let is_refused = matches!(attempt.status, 408 | 421 | 429 | 503);
        let is_broken = is_refused && !ran.is_empty();
        broken += usize::from(is_broken);
        let ran: Vec<String> = ran
            .iter()
            .map(|(instance, run)| {
                let at = record.since_start(run.began);
                format!("ran at {instance} at {at:.3} s, which gave {:?}", run.status)
            })
            .collect();
        let note = if is_broken { "  <- refused, and has run" } else { "" };
        record.note(format!(
            "submission {}, attempt {}: sent at {:.3} s, answered {}; {}{note}",
            attempt.submission,
            attempt.id,
            record.since_start(attempt.sent),
            attempt.status,
            if ran.is_empty() { "didn't run".to_owned() } else { ran.join(", ") },
        ));
    }
    let repeated = submission_runs.values().filter(|runs| **runs > 1).count();
    record.add(format!("attempts by status: {counts:?}"));
    record.add(format!(
        "{broken} attempts were answered 408, 421, 429 or 503 and had run; {repeated} submissions ran \
         twice, since their requesters trusted that promise"
    ));
    if broken > 0 { Verdict::Broken } else { Verdict::Held }
}
