//! Callers: what each asked and what it got.

use hyssopfork_wire::{attempt, refusal};
use std::collections::BTreeMap;

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Final {
    Answered,
    Refused(refusal::Refusal),
    Cut(refusal::Refusal),
    Gone,
    /// The entry's process ended under the caller.
    Orphaned,
}

#[derive(Clone, Debug)]
pub struct Caller {
    pub entry: usize,
    pub path: String,
    pub key: Option<String>,
    pub repeatable: bool,
    pub stream: bool,
    pub parts: Vec<String>,
    pub end: Option<Final>,
}

#[derive(Default)]
pub struct Callers {
    pub all: BTreeMap<u64, Caller>,
    /// Request of each attempt that was offered.
    pub attempts: BTreeMap<attempt::Identifier, u64>,
    /// Attempts that were written to an upstream, in order.
    pub runs: Vec<attempt::Identifier>,
}

impl Callers {
    pub fn end(&mut self, request: u64, end: Final) {
        let caller = self.all.get_mut(&request).expect("only known callers are answered");
        let before = caller.end.replace(end.clone());
        assert_eq!(before, None, "request {request} got a second final answer: {end:?}");
        if end == Final::Answered {
            let whole = parts(&caller.path, caller.stream);
            assert_eq!(caller.parts, whole, "request {request} got another answer than its own");
        }
    }

    /// The promises that are judged over the whole history.
    pub fn check(&self) {
        let mut of_request: BTreeMap<u64, u32> = BTreeMap::new();
        let mut of_key: BTreeMap<&str, u32> = BTreeMap::new();
        for attempt in &self.runs {
            let request = self.attempts[attempt];
            *of_request.entry(request).or_default() += 1;
            if let Some(key) = &self.all[&request].key {
                *of_key.entry(key).or_default() += 1;
            }
        }
        for (key, runs) in of_key {
            assert!(runs <= 1, "work of key {key} ran {runs} times");
        }
        for (request, caller) in &self.all {
            let runs = of_request.get(request).copied().unwrap_or(0);
            assert!(caller.repeatable || runs <= 1, "request {request} ran {runs} times");
            if let Some(Final::Refused(refusal)) = &caller.end {
                let claimed = refusal.ran == refusal::Ran::NotRun;
                assert!(
                    !claimed || runs == 0,
                    "request {request} was refused as not run: {refusal:?}"
                );
            }
        }
    }

    pub fn answered(&self) -> usize {
        self.all.values().filter(|caller| caller.end == Some(Final::Answered)).count()
    }
}

/// The whole answer to a path.
pub fn parts(path: &str, stream: bool) -> Vec<String> {
    let count = if stream { 5 } else { 1 };
    (0..count).map(|part| format!("{path}#{part}")).collect()
}

/// Whether a caller lost what was in flight.
pub fn is_cut(end: &Final) -> bool {
    match end {
        Final::Cut(_) => true,
        Final::Refused(refusal) => refusal.ran == refusal::Ran::MayHaveRun,
        Final::Answered | Final::Gone | Final::Orphaned => false,
    }
}
