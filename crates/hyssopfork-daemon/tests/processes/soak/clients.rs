//! Clients of every kind of request.

use super::record::{self, Outcome};
use crate::support::client;
use hyssopfork_test_support::token;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Requests with one key before its client gives up.
const MAX_TRIES: u64 = 4;

/// Upper limit of the tokens of a streamed response.
const MAX_STREAM_TOKENS: u32 = 120;

/// A client.
#[derive(Clone)]
pub struct Client {
    /// Number of the client; makes its references unique.
    pub number: u64,
    /// Entries.
    pub entries: Vec<SocketAddr>,
    /// Record of its outcomes.
    pub record: Rc<RefCell<record::Record>>,
    /// Time at which it stops.
    pub end: Instant,
}

impl Client {
    fn entry(&self, random: &mut ChaCha8Rng) -> SocketAddr {
        self.entries[random.random_range(0..self.entries.len())]
    }

    async fn pause(random: &mut ChaCha8Rng) {
        actix_rt::time::sleep(Duration::from_millis(random.random_range(10..60))).await;
    }

    /// Streams completions and compares each complete response with the expected tokens.
    pub async fn stream(self, mut random: ChaCha8Rng) {
        let mut count = 0;
        while Instant::now() < self.end {
            count += 1;
            let mark = format!("stream-{}-{count}", self.number);
            let tokens = random.random_range(1..MAX_STREAM_TOKENS);
            let outcome = self.stream_one(self.entry(&mut random), &mark, tokens).await;
            self.record.borrow_mut().count_outcome("stream", outcome);
            Self::pause(&mut random).await;
        }
    }

    async fn stream_one(&self, entry: SocketAddr, mark: &str, tokens: u32) -> Outcome {
        let body = format!(
            r#"{{"model":"model-1","prompt":"[#{mark}]","max_tokens":{tokens},"stream":true}}"#
        );
        let got = client::post(entry, "/v1/completions", None, &body).await;
        let outcome = record::outcome_of(&got);
        if outcome == Outcome::Completed && got.text() != expected_stream(mark, tokens) {
            let fault =
                format!("{mark} got a complete response with other contents: {}", got.text());
            self.record.borrow_mut().violations.push(fault);
        }
        outcome
    }

    /// Lodges work under a key and resends the same key, through any entry, until the request is
    /// completed or `MAX_TRIES` is reached.
    pub async fn lodge_with_key(self, mut random: ChaCha8Rng) {
        let mut count = 0;
        while Instant::now() < self.end {
            count += 1;
            let reference = format!("key-{}-{count}", self.number);
            let body = format!(r#"{{"reference":"{reference}"}}"#);
            for _ in 0..MAX_TRIES {
                let entry = self.entry(&mut random);
                let got = client::post(entry, "/lodge", Some(&reference), &body).await;
                let outcome = record::outcome_of(&got);
                self.record_work("lodge with key", &reference, outcome);
                if outcome == Outcome::Completed {
                    break;
                }
                Self::pause(&mut random).await;
            }
            Self::pause(&mut random).await;
        }
    }

    /// Lodges each piece of work once, without a key.
    pub async fn lodge(self, mut random: ChaCha8Rng) {
        let mut count = 0;
        while Instant::now() < self.end {
            count += 1;
            let reference = format!("plain-{}-{count}", self.number);
            let body = format!(r#"{{"reference":"{reference}"}}"#);
            let got = client::post(self.entry(&mut random), "/lodge", None, &body).await;
            self.record_work("lodge", &reference, record::outcome_of(&got));
            Self::pause(&mut random).await;
        }
    }

    fn record_work(&self, kind: &'static str, reference: &str, outcome: Outcome) {
        let mut record = self.record.borrow_mut();
        record.count_outcome(kind, outcome);
        record.non_repeatable.entry(reference.to_owned()).or_default().push(outcome);
    }

    /// Requests the status, which is repeatable.
    pub async fn request_status(self, mut random: ChaCha8Rng) {
        while Instant::now() < self.end {
            let got = client::get(self.entry(&mut random), "/status?reference=status").await;
            self.record.borrow_mut().count_outcome("status", record::outcome_of(&got));
            Self::pause(&mut random).await;
        }
    }

    /// Sends `requests` streams and status requests; returns those that were not completed.
    pub async fn find_unanswered(&self, requests: u64) -> Vec<String> {
        let mut unanswered = Vec::new();
        for number in 0..requests {
            let entry = self.entries[number as usize % self.entries.len()];
            let streamed = self.stream_one(entry, &format!("last-{number}"), 4).await;
            if streamed != Outcome::Completed {
                unanswered.push(format!("stream {number} at {entry}: {streamed:?}"));
            }
            let status = client::get(entry, "/status?reference=status").await;
            if !status.is_complete_success() {
                let outcome = record::outcome_of(&status);
                unanswered.push(format!("status check {number} at {entry}: {outcome:?}"));
            }
        }
        unanswered
    }
}

fn expected_stream(mark: &str, tokens: u32) -> String {
    let events = (0..tokens)
        .map(|index| token::token_event(token::Endpoint::Completions, mark, index.into()));
    let mut text: String = events.collect();
    text.push_str(token::DONE_EVENT);
    text
}
