//! Clients: what each requested and what it received.

use hyssopfork_wire::{attempt, refusal};
use std::collections::BTreeMap;

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    Completed,
    Rejected(refusal::Refusal),
    Aborted(refusal::Refusal),
    Disconnected,
    /// The entry's process ended while the client waited.
    Orphaned,
}

#[derive(Clone, Debug)]
pub struct Client {
    pub entry: usize,
    pub path: String,
    pub key: Option<String>,
    pub repeatable: bool,
    pub stream: bool,
    pub parts: Vec<String>,
    pub outcome: Option<Outcome>,
}

#[derive(Default)]
pub struct Clients {
    pub all: BTreeMap<u64, Client>,
    /// Request of each attempt that was offered.
    pub attempts: BTreeMap<attempt::Identifier, u64>,
    /// Attempts that were written to an upstream, in order.
    pub runs: Vec<attempt::Identifier>,
}

impl Clients {
    pub fn finish(&mut self, request: u64, outcome: Outcome) {
        let client = self.all.get_mut(&request).expect("the request is known");
        let before = client.outcome.replace(outcome.clone());
        assert_eq!(before, None, "request {request} got a second final response: {outcome:?}");
        if outcome == Outcome::Completed {
            let expected = expected_parts(&client.path, client.stream);
            assert_eq!(client.parts, expected, "request {request} got a wrong response");
        }
    }

    /// Checks the guarantees that concern the whole history.
    pub fn check_guarantees(&self) {
        let mut runs_by_request: BTreeMap<u64, u32> = BTreeMap::new();
        let mut runs_by_key: BTreeMap<&str, u32> = BTreeMap::new();
        for attempt in &self.runs {
            let request = self.attempts[attempt];
            *runs_by_request.entry(request).or_default() += 1;
            if let Some(key) = &self.all[&request].key {
                *runs_by_key.entry(key).or_default() += 1;
            }
        }
        for (key, runs) in runs_by_key {
            assert!(runs <= 1, "work with key {key} ran {runs} times");
        }
        for (request, client) in &self.all {
            let runs = runs_by_request.get(request).copied().unwrap_or(0);
            assert!(client.repeatable || runs <= 1, "request {request} ran {runs} times");
            if let Some(Outcome::Rejected(refusal)) = &client.outcome {
                let not_run = refusal.ran == refusal::Ran::NotRun;
                assert!(
                    !not_run || runs == 0,
                    "request {request} was rejected as not run: {refusal:?}"
                );
            }
        }
    }

    pub fn completed(&self) -> usize {
        self.all.values().filter(|client| client.outcome == Some(Outcome::Completed)).count()
    }
}

/// The complete response for a path.
pub fn expected_parts(path: &str, stream: bool) -> Vec<String> {
    let count = if stream { 5 } else { 1 };
    (0..count).map(|part| format!("{path}#{part}")).collect()
}

/// Whether a client lost work that was in flight.
pub fn is_interrupted(outcome: &Outcome) -> bool {
    match outcome {
        Outcome::Aborted(_) => true,
        Outcome::Rejected(refusal) => refusal.ran == refusal::Ran::MayHaveRun,
        Outcome::Completed | Outcome::Disconnected | Outcome::Orphaned => false,
    }
}
