//! Whether an upstream that nobody hears of is dead.
//!
//! An upstream that is cut off from the leader alone goes on serving, and a group must not be taken
//! apart under its callers. So silence is only a reason to ask: an upstream counts as dead when it
//! answers nothing, several times in a row, and no entry gets bytes of it either.

use crate::{groups::order, peer};
use hyssopfork_wire::{clock, name};
use std::collections::BTreeMap;
use std::net;
use std::time::Duration;

/// Unanswered questions in a row after which an upstream is dead. One is lost with a packet or two;
/// three in 0.5 s are not, at a loss of one packet in twenty.
const MISSES: u32 = 3;

/// Age up to which bytes that an entry got show that an upstream lives. A step takes tens of
/// milliseconds, so that one that serves anybody sends bytes more often than this; what entries saw
/// since they last told is the reason to ask before judging.
const MOVING: Duration = Duration::from_millis(280);

/// Time before an upstream that answered is asked again for the same reason.
const AGAIN: Duration = Duration::from_millis(1_000);

#[derive(Clone, Debug)]
struct Question {
    asked: clock::Instant,
    open: bool,
    misses: u32,
}

/// Verdict on an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Nothing is known yet: ask again.
    Ask,
    /// It is dead.
    Dead,
    /// It lives.
    Alive,
}

/// Questions that are open, and what entries saw.
#[derive(Clone, Debug, Default)]
pub struct Inquiry {
    questions: BTreeMap<name::Instance, Question>,
    /// When entries last got bytes of an upstream.
    moving: BTreeMap<name::Instance, clock::Instant>,
    /// Entries for which everything stands still on an upstream, and since when.
    stalled: BTreeMap<name::Instance, BTreeMap<net::SocketAddr, clock::Instant>>,
}

impl Inquiry {
    /// Takes what an entry saw.
    pub fn saw(&mut self, now: clock::Instant, from: net::SocketAddr, evidence: &peer::Evidence) {
        for (instance, age) in &evidence.moving {
            let seen = now - *age;
            let known = self.moving.entry(instance.clone()).or_insert(seen);
            *known = seen.max(*known);
        }
        for entries in self.stalled.values_mut() {
            entries.remove(&from);
        }
        for instance in &evidence.stalled {
            self.stalled.entry(instance.clone()).or_default().insert(from, now);
        }
        self.stalled.retain(|_, entries| !entries.is_empty());
    }

    /// Whether an entry got bytes of the upstream lately.
    pub fn is_moving(&self, now: clock::Instant, instance: &name::Instance) -> bool {
        self.moving.get(instance).is_some_and(|seen| now.since(*seen) < MOVING)
    }

    /// Whether everything stands still on the upstream, for all who use it.
    pub fn is_stalled(&self, now: clock::Instant, instance: &name::Instance) -> bool {
        self.stalled.contains_key(instance) && !self.is_moving(now, instance)
    }

    /// Whether to ask the upstream now for a sign of life; notes the question when so.
    pub fn ask(&mut self, now: clock::Instant, instance: &name::Instance) -> bool {
        let due = |question: &Question| !question.open && now.since(question.asked) >= AGAIN;
        if self.questions.get(instance).is_some_and(|question| !due(question)) {
            return false;
        }
        let question = Question { asked: now, open: true, misses: 0 };
        self.questions.insert(instance.clone(), question);
        true
    }

    /// Takes what came of a question.
    pub fn answered(
        &mut self,
        now: clock::Instant,
        instance: &name::Instance,
        sign: order::Sign,
    ) -> Verdict {
        let moving = self.is_moving(now, instance);
        let Some(question) = self.questions.get_mut(instance) else { return Verdict::Alive };
        question.misses = if sign == order::Sign::Missing { question.misses + 1 } else { 0 };
        let dead = sign == order::Sign::Refused || question.misses >= MISSES;
        if dead && !moving {
            self.questions.remove(instance);
            return Verdict::Dead;
        }
        if sign == order::Sign::Missing && question.misses < MISSES {
            question.asked = now;
            return Verdict::Ask;
        }
        question.open = false;
        Verdict::Alive
    }

    /// Forgets an upstream.
    pub fn forget(&mut self, instance: &name::Instance) {
        self.questions.remove(instance);
        self.moving.remove(instance);
        self.stalled.remove(instance);
    }
}
