//! Callers of every kind.

use super::record::{self, Told};
use crate::support::caller;
use hyssopfork_test_support::token;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Tries of one key before its caller gives up.
const TRIES: u64 = 4;

/// Most tokens of a streamed answer.
const TOKENS: u32 = 120;

/// A caller.
#[derive(Clone)]
pub struct Caller {
    /// Tells its references from others'.
    pub number: u64,
    /// Entries.
    pub entries: Vec<SocketAddr>,
    /// What it was told.
    pub record: Rc<RefCell<record::Record>>,
    /// When it stops.
    pub end: Instant,
}

impl Caller {
    fn entry(&self, random: &mut ChaCha8Rng) -> SocketAddr {
        self.entries[random.random_range(0..self.entries.len())]
    }

    async fn pause(random: &mut ChaCha8Rng) {
        actix_rt::time::sleep(Duration::from_millis(random.random_range(10..60))).await;
    }

    /// Streams completions and compares each whole answer with its own tokens.
    pub async fn stream(self, mut random: ChaCha8Rng) {
        let mut count = 0;
        while Instant::now() < self.end {
            count += 1;
            let mark = format!("stream-{}-{count}", self.number);
            let tokens = random.random_range(1..TOKENS);
            let told = self.stream_one(self.entry(&mut random), &mark, tokens).await;
            self.record.borrow_mut().note("stream", told);
            Self::pause(&mut random).await;
        }
    }

    async fn stream_one(&self, entry: SocketAddr, mark: &str, tokens: u32) -> Told {
        let body = format!(
            r#"{{"model":"model-1","prompt":"[#{mark}]","max_tokens":{tokens},"stream":true}}"#
        );
        let got = caller::post(entry, "/v1/completions", None, &body).await;
        let told = record::told(&got);
        if told == Told::Answered && got.text() != expected(mark, tokens) {
            let fault = format!("{mark} got a whole answer that is not its own: {}", got.text());
            self.record.borrow_mut().seen.push(fault);
        }
        told
    }

    /// Lodges work under a key and sends the same key again, through any entry, until it is
    /// answered or told that the outcome is unknown.
    pub async fn lodge_with_key(self, mut random: ChaCha8Rng) {
        let mut count = 0;
        while Instant::now() < self.end {
            count += 1;
            let reference = format!("key-{}-{count}", self.number);
            let body = format!(r#"{{"reference":"{reference}"}}"#);
            for _ in 0..TRIES {
                let entry = self.entry(&mut random);
                let got = caller::post(entry, "/lodge", Some(&reference), &body).await;
                let told = record::told(&got);
                self.note_work("lodge with key", &reference, told);
                if told == Told::Answered {
                    break;
                }
                Self::pause(&mut random).await;
            }
            Self::pause(&mut random).await;
        }
    }

    /// Lodges work without a key, once.
    pub async fn lodge(self, mut random: ChaCha8Rng) {
        let mut count = 0;
        while Instant::now() < self.end {
            count += 1;
            let reference = format!("plain-{}-{count}", self.number);
            let body = format!(r#"{{"reference":"{reference}"}}"#);
            let got = caller::post(self.entry(&mut random), "/lodge", None, &body).await;
            self.note_work("lodge", &reference, record::told(&got));
            Self::pause(&mut random).await;
        }
    }

    fn note_work(&self, kind: &'static str, reference: &str, told: Told) {
        let mut record = self.record.borrow_mut();
        record.note(kind, told);
        record.work.entry(reference.to_owned()).or_default().push(told);
    }

    /// Asks for status, which may be repeated.
    pub async fn ask_status(self, mut random: ChaCha8Rng) {
        while Instant::now() < self.end {
            let got = caller::get(self.entry(&mut random), "/status?reference=status").await;
            self.record.borrow_mut().note("status", record::told(&got));
            Self::pause(&mut random).await;
        }
    }

    /// Sends this many requests of each kind; gives what those got that were not answered.
    pub async fn unserved(&self, requests: u64) -> Vec<String> {
        let mut unserved = Vec::new();
        for number in 0..requests {
            let entry = self.entries[number as usize % self.entries.len()];
            let streamed = self.stream_one(entry, &format!("last-{number}"), 4).await;
            if streamed != Told::Answered {
                unserved.push(format!("stream {number} at {entry}: {streamed:?}"));
            }
            let asked = caller::get(entry, "/status?reference=status").await;
            if !asked.is_answer() {
                let told = record::told(&asked);
                unserved.push(format!("status check {number} at {entry}: {told:?}"));
            }
        }
        unserved
    }
}

fn expected(mark: &str, tokens: u32) -> String {
    let events = (0..tokens)
        .map(|place| token::token_event(token::Endpoint::Completions, mark, place.into()));
    let mut text: String = events.collect();
    text.push_str(token::DONE_EVENT);
    text
}
