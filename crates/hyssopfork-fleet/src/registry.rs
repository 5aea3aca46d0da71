//! Registry of upstreams, built from the calls that they send.
//!
//! Calls arrive late, more than once and out of order, and may come from processes that have ended
//! or from ones that reuse a name or an address. A call is applied only if it is newer than the
//! last one of its process, and a process replaces another only if it started later. The order of calls
//! and reports is decided by [`precedence`].

use crate::{announcement, groups::order, heartbeats, precedence, quarantine, rate, view};
use hyssopfork_wire::{clock, name};
use std::collections::{BTreeMap, BTreeSet};
use std::net;
use std::time::Duration;

/// Time for which the record of a departed or silent upstream is kept, so that a late call of it is
/// recognized as stale. Network partitions delay calls by seconds.
const RECORD_RETENTION: Duration = Duration::from_secs(60);

/// Result of handling an upstream's call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It changed the record.
    Changed,
    /// It repeated what was known.
    Unchanged,
    /// It was older than the record, or from a process that has ended, and was dropped.
    Stale,
}

/// Record of an upstream.
#[derive(Clone, Debug)]
pub struct Record {
    /// Its newest announcement.
    pub announcement: announcement::Announcement,
    /// Number of the announcement since which all have been equivalent.
    pub same_since: u64,
    /// When the upstream was last heard from.
    pub last_heard: clock::Instant,
    /// End of its slow start.
    pub cold_until: clock::Instant,
    /// Model of the last group that its process was in; it loads this one faster than any other.
    pub last_model: Option<name::Model>,
    /// Rate limit that it set for all entries together; `None` for no limit.
    pub rate: Option<rate::Rate>,
    /// When an entry received the limit; `None` if it was known to an earlier leader.
    pub rate_set_at: Option<clock::Instant>,
    /// Whether it has called during this leader's term. What a follower of an earlier leader knew
    /// may be stale: an engine may have joined a group since.
    pub heard_this_term: bool,
    /// Whether it has announced its departure, to control or in a response to an entry.
    pub departed: bool,
    /// Whether a process with an earlier start, which calls under its name since it was last heard, is
    /// draining. Its own next call shows that the other one has ended.
    contender_drains: bool,
    /// Whether it is unreachable, which does not show that it is dead.
    pub unresponsive: bool,
    /// Whether there is evidence that its process or instance is gone.
    pub dead: bool,
    /// What the membership in `announcement` rests on.
    evidence: precedence::Evidence,
    /// Earlier processes of its name.
    ended: precedence::Ended,
}

impl Record {
    fn new(announcement: announcement::Announcement, now: clock::Instant) -> Record {
        Record {
            same_since: announcement.sequence,
            last_heard: now,
            cold_until: now + announcement.cold,
            last_model: announcement.loaded.clone(),
            rate: None,
            rate_set_at: None,
            heard_this_term: true,
            departed: false,
            contender_drains: false,
            unresponsive: false,
            dead: false,
            evidence: precedence::Evidence::from_first_call(announcement.membership.as_ref()),
            ended: precedence::Ended::default(),
            announcement,
        }
    }

    /// Whether it is draining or has departed, and must get no new work.
    pub fn is_leaving(&self) -> bool {
        self.departed || self.contender_drains || self.announcement.draining
    }

    /// Whether only another report or call can show of which group it is a member.
    pub fn has_ambiguous_membership(&self) -> bool {
        self.evidence.is_ambiguous()
    }

    /// Whether its calls or reports show that it has left the group of this epoch.
    pub fn has_left(&self, epoch: u64) -> bool {
        self.evidence.shows_leaving(self.announcement.membership.as_ref(), epoch)
    }

    /// Whether it responds and is neither dead nor leaving, as far as is known.
    pub fn is_healthy(&self) -> bool {
        !self.unresponsive && !self.dead && !self.is_leaving()
    }
}

/// Records of all upstreams.
#[derive(Clone, Debug)]
pub struct Registry {
    records: BTreeMap<name::Instance, Record>,
    /// Instances by the address of their records.
    ///
    /// Invariant: contains each record once.
    by_address: BTreeMap<net::SocketAddr, BTreeSet<name::Instance>>,
    /// The upstreams as last published.
    published: BTreeMap<name::Instance, view::Upstream>,
    /// Upstreams whose records may differ from the published ones in more than silence.
    changed: BTreeSet<name::Instance>,
    /// Whether records were removed since the last publication.
    has_removals: bool,
    /// Time without a call after which an upstream is published as silent.
    silence_timeout: Duration,
    /// When an upstream last called that had no record.
    last_new_at: Option<clock::Instant>,
    /// Processes that call although one with a later start is known.
    contenders: precedence::Contenders,
}

impl Registry {
    /// An empty registry.
    pub fn new(silence_timeout: Duration) -> Registry {
        Registry {
            records: BTreeMap::new(),
            by_address: BTreeMap::new(),
            published: BTreeMap::new(),
            changed: BTreeSet::new(),
            has_removals: false,
            silence_timeout,
            last_new_at: None,
            contenders: precedence::Contenders::default(),
        }
    }

    /// An upstream's record.
    pub fn get(&self, instance: &name::Instance) -> Option<&Record> {
        self.records.get(instance)
    }

    /// Time without a call after which an upstream is published as silent.
    pub fn silence_timeout(&self) -> Duration {
        self.silence_timeout
    }

    /// When an upstream last called that had no record; `None` if none did.
    pub fn last_new_at(&self) -> Option<clock::Instant> {
        self.last_new_at
    }

    /// Number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Process of an upstream's record.
    pub fn process_of(&self, instance: &name::Instance) -> Option<quarantine::Process> {
        let record = self.records.get(instance)?;
        let start_time_ms = record.announcement.start_time_ms;
        Some(quarantine::Process { instance: instance.clone(), start_time_ms })
    }

    /// All records.
    pub fn iter(&self) -> impl Iterator<Item = (&name::Instance, &Record)> {
        self.records.iter()
    }

    /// Records an upstream's announcement.
    pub fn record_announcement(
        &mut self,
        now: clock::Instant,
        mut announcement: announcement::Announcement,
    ) -> Outcome {
        if !self.is_newer(now, &announcement) {
            self.record_contender_drain(now, &announcement);
            return Outcome::Stale;
        }
        self.contenders.remove(&announcement.instance);
        self.evict_from_address(&announcement);
        let cold_until = now + announcement.cold;
        let Some(known) = self.records.get_mut(&announcement.instance) else {
            self.insert(Record::new(announcement, now));
            self.last_new_at = Some(now);
            return Outcome::Changed;
        };
        let restarted = known.announcement.start_time_ms != announcement.start_time_ms;
        if restarted {
            let membership = announcement.membership.as_ref();
            known.evidence = known.evidence.on_restart(membership);
            known.ended.record(known.announcement.start_time_ms);
        } else {
            let membership = known.announcement.membership.as_ref();
            announcement.membership =
                known.evidence.merge_call(membership, announcement.membership.take());
        }
        let is_same = !restarted && known.announcement.is_equivalent(&announcement);
        let was_contended = std::mem::take(&mut known.contender_drains);
        let unchanged = is_same && !known.dead && !known.unresponsive && !was_contended;
        if !is_same {
            known.same_since = announcement.sequence;
        }
        // A departed process does not return, so a later announcement of it was delayed.
        known.departed &= !restarted;
        known.last_model =
            announcement.loaded.clone().or(known.last_model.take().filter(|_| !restarted));
        known.rate = known.rate.filter(|_| !restarted);
        let previous_address = known.announcement.address;
        known.announcement = announcement;
        known.last_heard = now;
        known.heard_this_term = true;
        known.cold_until = cold_until;
        known.dead = false;
        known.unresponsive = false;
        if unchanged {
            return Outcome::Unchanged;
        }
        let instance = known.announcement.instance.clone();
        let address = known.announcement.address;
        if address != previous_address {
            self.remove_address(previous_address, &instance);
            self.by_address.entry(address).or_default().insert(instance.clone());
        }
        self.changed.insert(instance);
        Outcome::Changed
    }

    /// Takes an upstream out of service if the call is the drain of a process with an earlier start that has
    /// called before, since the known one was last heard: the clock of its machine may have been set back.
    fn record_contender_drain(&mut self, now: clock::Instant, call: &announcement::Announcement) {
        let Some(known) = self.records.get_mut(&call.instance) else { return };
        let is_contending = self.contenders.has_called_before(now, call, known.last_heard);
        if call.draining && is_contending && !known.contender_drains {
            known.contender_drains = true;
            self.changed.insert(call.instance.clone());
        }
    }

    /// Takes the upstreams of a zone for cold until they call, at most until `until`.
    pub fn assume_cold(&mut self, zone: &name::Zone, until: clock::Instant) {
        let is_in_zone =
            |(_, record): &(&name::Instance, &mut Record)| record.announcement.zone == *zone;
        for (instance, record) in self.records.iter_mut().filter(is_in_zone) {
            record.cold_until = record.cold_until.max(until);
            self.changed.insert(instance.clone());
        }
    }

    /// Records a heartbeat that a follower accepted. It counts only if the record is still what the
    /// follower's view contained, and has come from the upstream itself during this term.
    pub fn record_heartbeat(&mut self, now: clock::Instant, heartbeat: &heartbeats::Heartbeat) {
        let Some(record) = self.records.get_mut(&heartbeat.instance) else { return };
        let is_repeated = record.announcement.start_time_ms == heartbeat.start_time_ms
            && heartbeat.repeated >= record.same_since;
        if is_repeated && record.heard_this_term && record.is_healthy() {
            record.last_heard = record.last_heard.max(now - heartbeat.age);
            record.announcement.sequence = record.announcement.sequence.max(heartbeat.sequence);
        }
    }

    /// Records an upstream's departure; returns whether it was not known before.
    pub fn record_departure(&mut self, now: clock::Instant, instance: &name::Instance) -> bool {
        let Some(record) = self.records.get_mut(instance) else { return false };
        record.last_heard = now;
        self.changed.insert(instance.clone());
        !std::mem::replace(&mut record.departed, true)
    }

    /// Records that a process stated to an entry that it leaves; returns whether it was not known
    /// before. Its own calls may be lost, or still announce it as ready.
    pub fn record_leaving(&mut self, process: &quarantine::Process) -> bool {
        let Some(record) = self.records.get_mut(&process.instance) else { return false };
        if record.announcement.start_time_ms != process.start_time_ms || record.is_leaving() {
            return false;
        }
        record.departed = true;
        self.changed.insert(process.instance.clone());
        true
    }

    /// Takes over what a follower of an earlier leader knew, unless the record is newer; returns
    /// whether anything changed.
    pub fn adopt(&mut self, now: clock::Instant, upstream: view::Upstream) -> bool {
        let announcement = upstream.announcement;
        if let Some(known) = self.records.get_mut(&announcement.instance)
            && !is_later(&announcement, known)
        {
            let fills_model = known.last_model.is_none()
                && known.announcement.start_time_ms == announcement.start_time_ms;
            known.last_model =
                known.last_model.take().or(upstream.last_model.filter(|_| fills_model));
            let same_process = known.announcement.start_time_ms == announcement.start_time_ms
                && known.rate_set_at.is_none();
            let sets_rate = same_process && known.rate.is_none() && upstream.rate.is_some();
            known.rate = known.rate.or(upstream.rate.filter(|_| same_process));
            let changed = sets_rate || fills_model && known.last_model.is_some();
            if changed {
                self.changed.insert(announcement.instance);
            }
            return changed;
        }
        let mut ended = precedence::Ended::default();
        let mut departed = upstream.status == view::Status::Leaving && !announcement.draining;
        if let Some(known) = self.records.get(&announcement.instance) {
            ended = known.ended.clone();
            if known.announcement.start_time_ms == announcement.start_time_ms {
                departed |= known.departed;
            } else {
                ended.record(known.announcement.start_time_ms);
            }
        }
        let instance = announcement.instance.clone();
        // A silent upstream stays silent until it calls, so that no work is planned on it.
        let silent = upstream.status == view::Status::Silent;
        let last_heard = if silent { now - self.silence_timeout } else { now };
        let last_model = announcement.loaded.clone().or(upstream.last_model);
        let rate = upstream.rate;
        let membership = announcement.membership.as_ref();
        let evidence = precedence::Evidence::from_earlier_leader(membership);
        let record = Record {
            last_heard,
            departed,
            heard_this_term: false,
            last_model,
            rate,
            evidence,
            ended,
            ..Record::new(announcement, now)
        };
        if let Some(previous) = self.records.get(&instance) {
            self.remove_address(previous.announcement.address, &instance);
        }
        self.insert(record);
        true
    }

    fn insert(&mut self, record: Record) {
        let (instance, address) =
            (record.announcement.instance.clone(), record.announcement.address);
        self.by_address.entry(address).or_default().insert(instance.clone());
        self.changed.insert(instance.clone());
        self.records.insert(instance, record);
    }

    fn remove_address(&mut self, address: net::SocketAddr, instance: &name::Instance) {
        if let Some(instances) = self.by_address.get_mut(&address) {
            instances.remove(instance);
            if instances.is_empty() {
                self.by_address.remove(&address);
            }
        }
    }

    fn remove(&mut self, instance: &name::Instance) {
        if let Some(record) = self.records.remove(instance) {
            self.remove_address(record.announcement.address, instance);
            self.has_removals = true;
        }
    }

    /// Records at an address.
    fn records_at(&self, address: net::SocketAddr) -> impl Iterator<Item = &Record> {
        let instances = self.by_address.get(&address).into_iter().flatten();
        instances.filter_map(|instance| self.records.get(instance))
    }

    /// Records an engine's report if it is newer than what is known. Until the engine has called this
    /// leader, which it does only when its call to the leader before has timed out, and after it has
    /// departed, only reports show its changes. Otherwise it calls immediately after a change, and
    /// reports count only while one of its calls is ambiguous.
    pub fn record_report(
        &mut self,
        now: clock::Instant,
        instance: &name::Instance,
        report: &order::Report,
    ) {
        let Some(record) = self.records.get_mut(instance) else { return };
        let start_time_ms = record.announcement.start_time_ms;
        if report.start_time_ms.is_some_and(|it| it != start_time_ms) {
            return;
        }
        let lacks_calls = !record.heard_this_term || record.departed;
        let known = record.announcement.membership.as_ref();
        let silence = now.since(record.last_heard);
        if record.evidence.takes_report(known, report, lacks_calls, silence) {
            record.last_heard = now;
            record.announcement.membership = report.membership.clone();
            self.changed.insert(instance.clone());
        }
    }

    /// Records that an engine has begun to load a model, which replaces the one of its last group. If it
    /// leaves before it is ready, it has neither.
    pub fn record_load(&mut self, instance: &name::Instance, model: &name::Model) {
        let Some(record) = self.records.get_mut(instance) else { return };
        let has_loaded = record.announcement.loaded.as_ref() == Some(model);
        if record.last_model.as_ref().is_some_and(|last| last != model) && !has_loaded {
            record.last_model = None;
            self.changed.insert(instance.clone());
        }
    }

    /// Marks an upstream as dead; returns whether it was not yet.
    pub fn mark_dead(&mut self, instance: &name::Instance) -> bool {
        let Some(record) = self.records.get_mut(instance) else { return false };
        self.changed.insert(instance.clone());
        !std::mem::replace(&mut record.dead, true)
    }

    /// Records whether anybody reaches an upstream; returns whether that has changed.
    pub fn set_unresponsive(&mut self, instance: &name::Instance, unresponsive: bool) -> bool {
        let Some(record) = self.records.get_mut(instance) else { return false };
        let changed = record.unresponsive != unresponsive;
        record.unresponsive = unresponsive;
        if changed {
            self.changed.insert(instance.clone());
        }
        changed
    }

    /// Records the rate limit that a process sent to an entry; returns whether it changed.
    pub fn set_rate(&mut self, now: clock::Instant, change: &rate::Change) -> bool {
        let at = now - change.age;
        let Some(record) = self.records.get_mut(&change.process.instance) else { return false };
        let is_older = record.rate_set_at.is_some_and(|set_at| at <= set_at);
        if record.announcement.start_time_ms != change.process.start_time_ms || is_older {
            return false;
        }
        record.rate_set_at = Some(at);
        let changed = std::mem::replace(&mut record.rate, change.rate) != change.rate;
        if changed {
            self.changed.insert(change.process.instance.clone());
        }
        changed
    }

    /// Restarts the silence timeout of every upstream, after this process was paused and could not
    /// receive calls.
    pub fn reset_silence(&mut self, now: clock::Instant) {
        self.records.values_mut().for_each(|record| record.last_heard = now);
    }

    /// Whether an upstream has not been heard from within the silence timeout.
    pub fn is_silent(&self, now: clock::Instant, record: &Record) -> bool {
        now.since(record.last_heard) >= self.silence_timeout
    }

    /// Removes the records of upstreams not heard from within the retention period.
    pub fn remove_expired(&mut self, now: clock::Instant) {
        self.contenders.remove_expired(now, RECORD_RETENTION);
        let is_expired = |record: &Record| now.since(record.last_heard) >= RECORD_RETENTION;
        let expired: Vec<name::Instance> = self
            .records
            .iter()
            .filter(|(_, record)| is_expired(record))
            .map(|(instance, _)| instance.clone())
            .collect();
        for instance in expired {
            self.remove(&instance);
        }
    }

    /// The upstreams as published to followers. Only the changed ones are rebuilt.
    pub fn published(&mut self, now: clock::Instant) -> &BTreeMap<name::Instance, view::Upstream> {
        let changed = std::mem::take(&mut self.changed);
        if std::mem::take(&mut self.has_removals) {
            self.published.retain(|instance, _| self.records.contains_key(instance));
        }
        // Both tables are in the order of their keys, so no search is needed for each.
        let mut stale = Vec::new();
        let mut published = self.published.iter().peekable();
        for (instance, record) in &self.records {
            let known = published.next_if(|(known, _)| *known == instance);
            let is_silent = now.since(record.last_heard) >= self.silence_timeout;
            let status = status(record, is_silent);
            let is_warm = now >= record.cold_until;
            let is_current = known.is_some_and(|(_, known)| {
                known.status == status && known.announcement.cold.is_zero() == is_warm
            });
            if !is_current || changed.contains(instance) {
                stale.push((instance.clone(), status));
            }
        }
        for (instance, status) in stale {
            let Some(record) = self.records.get(&instance) else { continue };
            let cold = now.until(record.cold_until);
            let announcement = announcement::Announcement { cold, ..record.announcement.clone() };
            let last_model = record.last_model.clone();
            let upstream = view::Upstream { announcement, status, last_model, rate: record.rate };
            self.published.insert(instance, upstream);
        }
        &self.published
    }

    /// Whether a call is newer than what is known of its name and address. A call of an earlier process is
    /// not, whether or not the later one is alive.
    fn is_newer(&mut self, now: clock::Instant, call: &announcement::Announcement) -> bool {
        let start_time_ms = call.start_time_ms;
        let known = self.records.get(&call.instance);
        if known.is_some_and(|known| known.ended.contains(start_time_ms)) {
            return false;
        }
        let rival = match known {
            Some(known) if known.announcement.start_time_ms == start_time_ms => {
                return call.sequence > known.announcement.sequence;
            }
            Some(known) => Some(known),
            None => self.records_at(call.address).max_by_key(|it| it.announcement.start_time_ms),
        };
        match rival.filter(|rival| rival.announcement.start_time_ms > start_time_ms) {
            Some(rival) => {
                let heard_at = rival.last_heard;
                self.contenders.is_persistent(now, call, heard_at, self.silence_timeout)
            }
            None => true,
        }
    }

    /// Removes other upstreams with the same address: only one can listen there, and requests meant
    /// for the older one would reach the newer one.
    fn evict_from_address(&mut self, announcement: &announcement::Announcement) {
        let others: Vec<name::Instance> = self
            .records_at(announcement.address)
            .map(|record| record.announcement.instance.clone())
            .filter(|instance| *instance != announcement.instance)
            .collect();
        for instance in others {
            self.remove(&instance);
        }
    }
}

/// Published status of an upstream; `silent` if it has exceeded the silence timeout.
fn status(record: &Record, silent: bool) -> view::Status {
    if record.is_leaving() {
        view::Status::Leaving
    } else if record.dead || record.unresponsive || silent {
        view::Status::Silent
    } else {
        view::Status::Present
    }
}

fn is_later(announcement: &announcement::Announcement, known: &Record) -> bool {
    let known = &known.announcement;
    (announcement.start_time_ms, announcement.sequence) > (known.start_time_ms, known.sequence)
}
