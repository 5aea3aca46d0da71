//! Cases of the review: `harness-2 CASE`, run at the root of the repository.

mod client;
mod deployment;
mod fleet;
mod http;
mod lost_vote;
mod promises;
mod runner;
mod stale_drain;

use std::process::ExitCode;
use std::time::Instant;
use std::{env, fs, process};

/// Result of a case.
pub enum Verdict {
    Held,
    Broken,
    CannotRun(String),
}

/// Lines for `record.txt`, with times since the start.
pub struct Record {
    start: Instant,
    lines: Vec<String>,
}

impl Record {
    pub fn add(&mut self, line: impl AsRef<str>) {
        let line = format!("{:8.3} s  {}", self.start.elapsed().as_secs_f64(), line.as_ref());
        println!("{line}");
        self.lines.push(line);
    }

    /// Adds a line for `record.txt` alone.
    pub fn note(&mut self, line: impl AsRef<str>) {
        self.lines.push(format!("            {}", line.as_ref()));
    }

    pub fn since_start(&self, at: Instant) -> f64 {
        at.duration_since(self.start).as_secs_f64()
    }
}

fn main() -> ExitCode {
    let case = env::args().nth(1).unwrap_or_default();
    let folder = env::args().nth(2).unwrap_or_default();
    let trouble = env::var("TROUBLE").as_deref() != Ok("0");
    let mut record = Record { start: Instant::now(), lines: Vec::new() };
    record.add(format!("case {case}, {} the disruption", if trouble { "with" } else { "without" }));
    let verdict = match case.as_str() {
        "start" => match deployment::Deployment::start() {
            Ok(_) => Verdict::Held,
            Err(why) => Verdict::CannotRun(why),
        },
        "lost-vote" => lost_vote::run(&mut record, trouble),
        "promises" => promises::run(&mut record, trouble),
        "stale-drain" => stale_drain::run(&mut record, trouble),
        _ => Verdict::CannotRun(format!("no such case: {case:?}")),
    };
    let code = match &verdict {
        Verdict::Held => 0,
        Verdict::Broken => 1,
        Verdict::CannotRun(_) => 2,
    };
    record.add(match verdict {
        Verdict::Held => "the rule held".to_owned(),
        Verdict::Broken => "the rule was broken".to_owned(),
        Verdict::CannotRun(why) => format!("the case couldn't run: {why}"),
    });
    if fs::write(format!("{folder}/record.txt"), record.lines.join("\n") + "\n").is_err() {
        eprintln!("no record.txt in {folder:?}");
        process::exit(2);
    }
    ExitCode::from(code)
}
