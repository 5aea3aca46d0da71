//! Upstreams as their own calls tell of them.
//!
//! Calls come late, twice and out of order, from processes that are gone and from others that took
//! their names or addresses. A call counts only when it tells something newer of its process, and a
//! process only when it started after the one that was known before.

use crate::{announcement, groups::order, rate, view};
use hyssopfork_wire::{clock, name};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Time for which an upstream that left or fell silent is remembered, so that a late call of it is
/// known for what it is. Calls are held up by cuts of the network, which last seconds.
const MEMORY: Duration = Duration::from_secs(60);

/// Share of the silence limit after which a process with an earlier start may take a name over: the
/// machine's clock was set back, and the one known before no longer calls.
const STEPPED_BACK: u32 = 1;

/// What became of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Taken {
    /// It says something new.
    News,
    /// It says what was known.
    Known,
    /// It is older than what is known, or of a process that is gone: it changes nothing.
    Late,
}

/// What is known of an upstream.
#[derive(Clone, Debug)]
pub struct Record {
    /// Its newest announcement.
    pub announcement: announcement::Announcement,
    /// When it was last heard of.
    pub heard: clock::Instant,
    /// Until when it bears little.
    pub cold_until: clock::Instant,
    /// Model of its last group in this life: it takes it up faster than any other.
    pub last: Option<name::Model>,
    /// Rate that it takes of all entries together; `None` for no limit.
    pub rate: Option<rate::Rate>,
    /// When an entry heard that; `None` for what an earlier leader knew.
    pub rate_named_at: Option<clock::Instant>,
    /// Whether this leader has its own word. What a follower of an earlier leader knew may be long
    /// out of date, and an engine may have joined a group since.
    pub heard_here: bool,
    /// Whether it has said that it is gone.
    pub departed: bool,
    /// Whether it counts as dead: it answered nothing, although asked.
    pub dead: bool,
}

impl Record {
    fn new(told: announcement::Announcement, now: clock::Instant) -> Record {
        Record {
            heard: now,
            cold_until: now + told.cold,
            last: told.loaded.clone(),
            rate: None,
            rate_named_at: None,
            heard_here: true,
            departed: false,
            dead: false,
            announcement: told,
        }
    }

    /// Whether it may be given new duties.
    pub fn is_leaving(&self) -> bool {
        self.departed || self.announcement.draining
    }

    /// Whether it is alive as far as is known, and stays.
    pub fn is_sound(&self) -> bool {
        !self.dead && !self.is_leaving()
    }
}

/// The upstreams.
#[derive(Clone, Debug)]
pub struct Registry {
    records: BTreeMap<name::Instance, Record>,
    /// The upstreams as last published.
    published: BTreeMap<name::Instance, view::Upstream>,
    /// Upstreams whose records may differ from what was published, by more than their silence.
    changed: BTreeSet<name::Instance>,
    /// Silence after which an upstream counts as silent.
    silence: Duration,
}

impl Registry {
    /// An empty registry.
    pub fn new(silence: Duration) -> Registry {
        Registry {
            records: BTreeMap::new(),
            published: BTreeMap::new(),
            changed: BTreeSet::new(),
            silence,
        }
    }

    /// An upstream's record.
    pub fn get(&self, instance: &name::Instance) -> Option<&Record> {
        self.records.get(instance)
    }

    /// Number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// All records.
    pub fn iter(&self) -> impl Iterator<Item = (&name::Instance, &Record)> {
        self.records.iter()
    }

    /// Takes an upstream's announcement.
    pub fn announce(&mut self, now: clock::Instant, told: announcement::Announcement) -> Taken {
        if !self.is_newer(now, &told) {
            return Taken::Late;
        }
        self.evict(&told);
        let cold_until = now + told.cold;
        let Some(known) = self.records.get_mut(&told.instance) else {
            self.changed.insert(told.instance.clone());
            self.records.insert(told.instance.clone(), Record::new(told, now));
            return Taken::News;
        };
        let reborn = known.announcement.born != told.born;
        let same = !reborn && !known.dead && known.announcement.says_the_same(&told);
        // After it has left, an announcement of the same process is one that was held up.
        known.departed &= !reborn;
        known.last = told.loaded.clone().or(known.last.take().filter(|_| !reborn));
        known.rate = known.rate.filter(|_| !reborn);
        known.announcement = told;
        known.heard = now;
        known.heard_here = true;
        known.cold_until = cold_until;
        known.dead = false;
        if same {
            return Taken::Known;
        }
        let instance = known.announcement.instance.clone();
        self.changed.insert(instance);
        Taken::News
    }

    /// Takes an upstream's word that it leaves; returns whether that is news.
    pub fn depart(&mut self, now: clock::Instant, instance: &name::Instance) -> bool {
        let Some(record) = self.records.get_mut(instance) else { return false };
        record.heard = now;
        self.changed.insert(instance.clone());
        !std::mem::replace(&mut record.departed, true)
    }

    /// Takes over what a follower of an earlier leader knew, unless more is known here.
    pub fn adopt(&mut self, now: clock::Instant, upstream: view::Upstream) -> bool {
        let told = upstream.announcement;
        if let Some(known) = self.records.get_mut(&told.instance)
            && !is_later(&told, known)
        {
            let fills = known.last.is_none() && known.announcement.born == told.born;
            known.last = known.last.take().or(upstream.last.filter(|_| fills));
            let alike = known.announcement.born == told.born && known.rate_named_at.is_none();
            let rated = alike && known.rate.is_none() && upstream.rate.is_some();
            known.rate = known.rate.or(upstream.rate.filter(|_| alike));
            let learned = rated || fills && known.last.is_some();
            if learned {
                self.changed.insert(told.instance);
            }
            return learned;
        }
        let departed = upstream.standing == view::Standing::Leaving && !told.draining;
        let instance = told.instance.clone();
        // Who was silent is silent until it is heard of: work must not be planned on it.
        let silent = upstream.standing == view::Standing::Silent;
        let heard = if silent { now - self.silence } else { now };
        let last = told.loaded.clone().or(upstream.last);
        let rate = upstream.rate;
        let record =
            Record { heard, departed, heard_here: false, last, rate, ..Record::new(told, now) };
        self.changed.insert(instance.clone());
        self.records.insert(instance, record);
        true
    }

    /// Takes an engine's report, where it has not called this leader yet: its next call comes when
    /// its time to wait for the leader before is over. Afterwards its calls, which come at once after
    /// a change, are newer than its reports.
    pub fn report(&mut self, now: clock::Instant, instance: &name::Instance, told: &order::Report) {
        let Some(record) = self.records.get_mut(instance) else { return };
        if !record.heard_here {
            record.heard = now;
            record.announcement.membership = told.membership.clone();
            self.changed.insert(instance.clone());
        }
    }

    /// Takes in that an upstream answers nothing; returns whether that is news.
    pub fn bury(&mut self, instance: &name::Instance) -> bool {
        let Some(record) = self.records.get_mut(instance) else { return false };
        self.changed.insert(instance.clone());
        !std::mem::replace(&mut record.dead, true)
    }

    /// Takes in the rate that a process named to an entry; returns whether that is news.
    pub fn name_rate(&mut self, now: clock::Instant, change: &rate::Change) -> bool {
        let at = now - change.age;
        let Some(record) = self.records.get_mut(&change.process.instance) else { return false };
        let older = record.rate_named_at.is_some_and(|named| at <= named);
        if record.announcement.born != change.process.born || older {
            return false;
        }
        record.rate_named_at = Some(at);
        let news = std::mem::replace(&mut record.rate, change.rate) != change.rate;
        if news {
            self.changed.insert(change.process.instance.clone());
        }
        news
    }

    /// Counts every upstream as heard of just now: this process was held up and could not listen.
    pub fn forgive(&mut self, now: clock::Instant) {
        self.records.values_mut().for_each(|record| record.heard = now);
    }

    /// Whether nothing was heard of an upstream for too long.
    pub fn is_silent(&self, now: clock::Instant, record: &Record) -> bool {
        now.since(record.heard) >= self.silence
    }

    /// Forgets what has been gone for long.
    pub fn forget(&mut self, now: clock::Instant) {
        self.records.retain(|_, record| now.since(record.heard) < MEMORY);
    }

    /// The upstreams as published to followers. Only those that have changed are built anew.
    pub fn published(&mut self, now: clock::Instant) -> &BTreeMap<name::Instance, view::Upstream> {
        let changed = std::mem::take(&mut self.changed);
        self.published.retain(|instance, _| self.records.contains_key(instance));
        for (instance, record) in &self.records {
            let standing = standing(record, now.since(record.heard) >= self.silence);
            let is_warm = now >= record.cold_until;
            let holds = |known: &view::Upstream| {
                known.standing == standing && known.announcement.cold.is_zero() == is_warm
            };
            if !changed.contains(instance) && self.published.get(instance).is_some_and(holds) {
                continue;
            }
            let cold = now.until(record.cold_until);
            let announcement = announcement::Announcement { cold, ..record.announcement.clone() };
            let last = record.last.clone();
            let upstream = view::Upstream { announcement, standing, last, rate: record.rate };
            self.published.insert(instance.clone(), upstream);
        }
        &self.published
    }

    fn is_newer(&self, now: clock::Instant, told: &announcement::Announcement) -> bool {
        let lives = |record: &Record| {
            now.since(record.heard) < self.silence * STEPPED_BACK && !record.departed
        };
        if let Some(known) = self.records.get(&told.instance) {
            let born = known.announcement.born;
            return match told.born.cmp(&born) {
                std::cmp::Ordering::Equal => told.sequence > known.announcement.sequence,
                std::cmp::Ordering::Greater => true,
                std::cmp::Ordering::Less => !lives(known),
            };
        }
        let newer_there = |record: &Record| {
            record.announcement.address == told.address
                && record.announcement.born > told.born
                && lives(record)
        };
        !self.records.values().any(newer_there)
    }

    /// Drops whoever had the address before: two upstreams cannot listen there, and the older one
    /// would be sent requests that the newer one gets.
    fn evict(&mut self, told: &announcement::Announcement) {
        self.records.retain(|instance, record| {
            record.announcement.address != told.address || *instance == told.instance
        });
    }
}

/// How an upstream stands, where nothing was heard of it for too long if `silent`.
fn standing(record: &Record, silent: bool) -> view::Standing {
    if record.is_leaving() {
        view::Standing::Leaving
    } else if record.dead || silent {
        view::Standing::Silent
    } else {
        view::Standing::Present
    }
}

fn is_later(told: &announcement::Announcement, known: &Record) -> bool {
    let known = &known.announcement;
    (told.born, told.sequence) > (known.born, known.sequence)
}
