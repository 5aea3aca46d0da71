//! Whether an upstream that nobody hears of is dead.
//!
//! An upstream that is cut off from the leader, or from some entries, goes on serving the others. A
//! head that is taken for dead while it is open would see its members join other groups under its
//! callers. So silence is only a reason to ask: an upstream counts as dead when it answers neither
//! the leader, several times in a row, nor any of the processes that the leader asks to ask, and no
//! entry has got bytes of it since.

use crate::{groups::order, peer};
use hyssopfork_wire::{clock, name};
use std::collections::{BTreeMap, BTreeSet};
use std::net;
use std::time::Duration;

/// Unanswered questions of the leader in a row after which only others' word can save an upstream.
/// One is lost with a packet or two; three in 0.5 s are not, at a loss of one packet in twenty.
const MAX_MISSED_PROBES: u32 = 3;

/// Age up to which bytes that an entry got show that an upstream lives. A step takes tens of
/// milliseconds, so that one that serves anybody sends bytes more often than this. Just below the
/// silence after which entries tell of an upstream: with more, their word would count only later.
const MAX_ACTIVITY_AGE: Duration = Duration::from_millis(190);

/// Time before an upstream that answered is asked again for the same reason. A pause over long
/// prompts leads to a question now and then; a death in the next moment is known later by this much.
const REPROBE_INTERVAL: Duration = Duration::from_millis(300);

/// Time after which a question that was not settled is asked anew.
const PROBE_EXPIRY: Duration = Duration::from_millis(1_500);

#[derive(Clone, Debug)]
struct Question {
    asked: clock::Instant,
    open: bool,
    misses: u32,
    /// Processes whose word is needed and has not come.
    pending: BTreeSet<net::SocketAddr>,
    /// Whether they were asked: only once the leader has missed an answer, since most upstreams that
    /// are asked about live.
    spread: bool,
}

/// Verdict on an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The leader asks again.
    Ask,
    /// These processes ask too, and the leader again if `again`.
    Spread {
        /// The processes.
        others: BTreeSet<net::SocketAddr>,
        /// Whether the leader needs another answer itself.
        again: bool,
    },
    /// Others have not said yet.
    Wait,
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
        for (instance, age) in &evidence.progressing {
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

    /// Whether everything stands still on the upstream, for all who use it.
    pub fn is_stalled(&self, now: clock::Instant, instance: &name::Instance) -> bool {
        self.stalled.contains_key(instance) && !self.is_moving(now, instance)
    }

    /// Whether to ask the upstream now for a sign of life; notes the question when so. `others` are
    /// to be asked for their word before it counts as dead.
    pub fn ask(
        &mut self,
        now: clock::Instant,
        instance: &name::Instance,
        others: &BTreeSet<net::SocketAddr>,
    ) -> bool {
        let due = |question: &Question| {
            let time = if question.open { PROBE_EXPIRY } else { REPROBE_INTERVAL };
            now.since(question.asked) >= time
        };
        if self.questions.get(instance).is_some_and(|question| !due(question)) {
            return false;
        }
        let pending = others.clone();
        let question = Question { asked: now, open: true, misses: 0, pending, spread: false };
        self.questions.insert(instance.clone(), question);
        true
    }

    /// Takes what came of the leader's own question.
    pub fn answered(
        &mut self,
        now: clock::Instant,
        instance: &name::Instance,
        sign: order::Sign,
    ) -> Verdict {
        let Some(question) = self.questions.get_mut(instance).filter(|it| it.open) else {
            return Verdict::Alive;
        };
        match sign {
            order::Sign::Alive => {
                question.open = false;
                return Verdict::Alive;
            }
            order::Sign::Refused => question.misses = MAX_MISSED_PROBES,
            order::Sign::Missing => question.misses += 1,
        }
        let again = question.misses < MAX_MISSED_PROBES;
        if !std::mem::replace(&mut question.spread, true) && !question.pending.is_empty() {
            return Verdict::Spread { others: question.pending.clone(), again };
        }
        if again { Verdict::Ask } else { self.verdict(now, instance) }
    }

    /// Takes what came of another's question; `false` also when it could not be asked.
    pub fn vouched(
        &mut self,
        now: clock::Instant,
        from: net::SocketAddr,
        instance: &name::Instance,
        alive: bool,
    ) -> Verdict {
        let Some(question) = self.questions.get_mut(instance).filter(|it| it.open) else {
            return Verdict::Alive;
        };
        question.pending.remove(&from);
        if alive {
            question.open = false;
            return Verdict::Alive;
        }
        self.verdict(now, instance)
    }

    /// Forgets an upstream.
    pub fn forget(&mut self, instance: &name::Instance) {
        self.questions.remove(instance);
        self.moving.remove(instance);
        self.stalled.remove(instance);
    }

    fn verdict(&self, now: clock::Instant, instance: &name::Instance) -> Verdict {
        let Some(question) = self.questions.get(instance) else { return Verdict::Alive };
        if self.is_moving(now, instance) {
            return Verdict::Alive;
        }
        let settled = question.misses >= MAX_MISSED_PROBES && question.pending.is_empty();
        if settled { Verdict::Dead } else { Verdict::Wait }
    }

    fn is_moving(&self, now: clock::Instant, instance: &name::Instance) -> bool {
        self.moving.get(instance).is_some_and(|seen| now.since(*seen) < MAX_ACTIVITY_AGE)
    }
}
