//! Order of the calls and reports of one upstream, which may arrive late, repeatedly and in any order.
//!
//! Calls are ordered by the start of their process, then by their number. Reports of a process are
//! ordered by the number of orders that it had accepted. Nothing orders a call and a report directly,
//! but the epochs of a process's memberships only increase, so a call is older than a report that
//! shows a newer epoch. A call that shows no membership while a report showed one is ambiguous: the
//! membership is kept until the next report or call shows that it is over.

use crate::announcement::{Announcement, Membership, State};
use crate::groups::order;
use hyssopfork_wire::{clock, name};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Longest time between the state that a report shows and its arrival: reports are some hundred milliseconds
/// old, and requests for them time out sooner.
const MAX_REPORT_AGE: Duration = Duration::from_secs(1);

/// Ended processes that are remembered for each name.
const MAX_ENDED_PROCESSES: usize = 8;

/// Starts of earlier processes of a name, which are known to have ended.
#[derive(Clone, Debug, Default)]
pub struct Ended(VecDeque<u64>);

impl Ended {
    /// Records that a later process has replaced the one that started at `start_time_ms`.
    pub fn record(&mut self, start_time_ms: u64) {
        self.0.push_back(start_time_ms);
        if self.0.len() > MAX_ENDED_PROCESSES {
            self.0.pop_front();
        }
    }

    /// Whether the process that started at `start_time_ms` has ended.
    pub fn contains(&self, start_time_ms: u64) -> bool {
        self.0.contains(&start_time_ms)
    }
}

/// Calls of a process with an earlier start than the known one.
#[derive(Clone, Copy, Debug)]
struct Contender {
    start_time_ms: u64,
    sequence: u64,
    since: clock::Instant,
}

/// Processes that call although one with a later start is known under their name or address. They have
/// ended, unless the clock of their machine was set back before they started.
#[derive(Clone, Debug, Default)]
pub struct Contenders(BTreeMap<name::Instance, Contender>);

impl Contenders {
    /// Records a call; returns whether the process goes on calling for `period` while the known one,
    /// last heard at `rival_heard_at`, does not. Late calls of an ended process come to an end.
    pub fn is_persistent(
        &mut self,
        now: clock::Instant,
        call: &Announcement,
        rival_heard_at: clock::Instant,
        period: Duration,
    ) -> bool {
        let (start_time_ms, sequence) = (call.start_time_ms, call.sequence);
        let known = self
            .0
            .get_mut(&call.instance)
            .filter(|it| it.start_time_ms == start_time_ms && it.since >= rival_heard_at);
        let Some(known) = known else {
            let contender = Contender { start_time_ms, sequence, since: now };
            self.0.insert(call.instance.clone(), contender);
            return false;
        };
        if sequence <= known.sequence {
            return false;
        }
        known.sequence = sequence;
        now.since(known.since) >= period
    }

    /// Whether the process has called before `now`, since the known one was last heard at `rival_heard_at`.
    pub fn has_called_before(
        &self,
        now: clock::Instant,
        call: &Announcement,
        rival_heard_at: clock::Instant,
    ) -> bool {
        self.0.get(&call.instance).is_some_and(|it| {
            it.start_time_ms == call.start_time_ms && it.since >= rival_heard_at && it.since < now
        })
    }

    /// Removes the contenders of a name.
    pub fn remove(&mut self, instance: &name::Instance) {
        self.0.remove(instance);
    }

    /// Removes contenders that began to call more than `retention` ago.
    pub fn remove_expired(&mut self, now: clock::Instant, retention: Duration) {
        self.0.retain(|_, contender| now.since(contender.since) < retention);
    }
}

/// Where the known membership of a process comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Source {
    /// Its newest call.
    Call,
    /// A report or an earlier leader, after which older calls may still arrive.
    Other,
}

/// What the known membership of a process rests on.
#[derive(Clone, Debug)]
pub struct Evidence {
    source: Source,
    /// Orders that the process had accepted, at least, when it had the known membership.
    min_orders: u64,
    /// Newest epoch in which the process, or an earlier one of its name, was a member.
    newest_epoch: Option<u64>,
    /// Membership in a call that is either newer or older than the report that it differs from.
    ambiguous_call: Option<Option<Membership>>,
}

impl Evidence {
    /// Evidence of the membership in the first call of a process.
    pub fn from_first_call(called: Option<&Membership>) -> Evidence {
        Evidence {
            source: Source::Call,
            min_orders: u64::from(called.is_some()),
            newest_epoch: epoch_of(called),
            ambiguous_call: None,
        }
    }

    /// Evidence of a membership that an earlier leader knew.
    pub fn from_earlier_leader(known: Option<&Membership>) -> Evidence {
        Evidence { source: Source::Other, ..Evidence::from_first_call(known) }
    }

    /// Whether reports are needed to tell which of a call and a report is newer.
    pub fn is_ambiguous(&self) -> bool {
        self.ambiguous_call.is_some()
    }

    /// Merges the membership that a newer call of the same process shows into the known one.
    pub fn merge_call(
        &mut self,
        known: Option<&Membership>,
        called: Option<Membership>,
    ) -> Option<Membership> {
        if self.source == Source::Other {
            match (known, &called) {
                (Some(known), Some(membership)) if membership.epoch < known.epoch => {
                    return Some(known.clone());
                }
                (Some(known), _) if is_possibly_older(called.as_ref(), known) => {
                    self.ambiguous_call = Some(called);
                    return Some(known.clone());
                }
                _ => {}
            }
        }
        self.ambiguous_call = None;
        self.min_orders += u64::from(epoch_of(known) != epoch_of(called.as_ref()));
        self.source = Source::Call;
        self.newest_epoch = self.newest_epoch.max(epoch_of(called.as_ref()));
        called
    }

    /// Whether the process, known to be in `known`, has been a member in `epoch` and left it since, or has
    /// restarted since.
    pub fn shows_leaving(&self, known: Option<&Membership>, epoch: u64) -> bool {
        epoch_of(known) != Some(epoch) && self.newest_epoch >= Some(epoch) && !self.is_ambiguous()
    }

    /// Evidence of the membership in the first call of the next process of the name.
    pub fn on_restart(&self, called: Option<&Membership>) -> Evidence {
        let first = Evidence::from_first_call(called);
        Evidence { newest_epoch: first.newest_epoch.max(self.newest_epoch), ..first }
    }

    /// Handles a report; returns whether its membership is to be taken over. `lacks_calls` tells that the
    /// process doesn't call this leader, so that only its reports show changes. `silence` is the time
    /// since it was last heard.
    pub fn takes_report(
        &mut self,
        known: Option<&Membership>,
        report: &order::Report,
        lacks_calls: bool,
        silence: Duration,
    ) -> bool {
        let reported = report.membership.as_ref();
        let has_changed = epoch_of(known) != epoch_of(reported);
        let min_orders = self.min_orders + u64::from(has_changed);
        let is_reverted = known.zip(reported).is_some_and(|(it, other)| other.epoch < it.epoch);
        let is_expected = lacks_calls || self.is_ambiguous();
        // The number of orders at the time of a call is not known exactly.
        let may_be_older = self.source == Source::Call && silence < MAX_REPORT_AGE;
        let is_older = report.accepted_orders < min_orders
            || is_reverted
            || may_be_older && known.is_some() && reported.is_none();
        if is_older || !is_expected {
            return false;
        }
        self.ambiguous_call.take_if(|called| *called == report.membership);
        self.min_orders = report.accepted_orders;
        self.newest_epoch = self.newest_epoch.max(epoch_of(reported));
        self.source = Source::Other;
        true
    }
}

fn epoch_of(membership: Option<&Membership>) -> Option<u64> {
    membership.map(|membership| membership.epoch)
}

/// Whether a call may show an older state than the reported one. States of an epoch follow one another,
/// except that a head is ready again after it has closed.
fn is_possibly_older(called: Option<&Membership>, reported: &Membership) -> bool {
    let step = |state: State| match state {
        State::Joining => 0,
        State::Ready => 1,
        State::Open => 2,
        State::Closing => 3,
        State::Broken => 4,
    };
    called.is_none_or(|called| {
        called.epoch == reported.epoch && step(called.state) < step(reported.state)
    })
}
