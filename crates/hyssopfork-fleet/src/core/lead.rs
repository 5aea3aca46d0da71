//! Duties of the leader: reviews groups and voters, publishes the view and answers watches.

use super::{Core, Leadership, LocalView, watches};
use crate::{action, groups, link, notice, peer, publication, quarantine, registry, seats};
use hyssopfork_consensus::{event as log_event, node, voters};
use hyssopfork_wire::{clock, consensus, name, number};
use std::collections::BTreeMap;
use std::net;
use std::time::Duration;

/// Time between two reviews of the groups when nothing has changed.
const REVIEW_INTERVAL: Duration = Duration::from_millis(100);

/// Minimum time between two reviews, per upstream: 1.8 ms with 30 upstreams, 24 ms with 400. A review
/// passes over all upstreams, which takes less than a tenth of this time.
const MIN_REVIEW_INTERVAL_PER_UPSTREAM: Duration = Duration::from_micros(60);

/// Minimum time between two publications, per follower: 4 ms with 7 followers, 20 ms with 40.
const MIN_PUBLICATION_INTERVAL_PER_FOLLOWER: Duration = Duration::from_micros(500);

/// Longest delay between the review of a change and its publication.
const MAX_PUBLICATION_DELAY: Duration = Duration::from_millis(100);

/// Time between two reviews of the voters.
const VOTER_REVIEW_INTERVAL: Duration = Duration::from_millis(500);

/// Time between two reviews of the voters while one of them is leaving or a learner waits for a seat.
const PENDING_CHANGE_REVIEW_INTERVAL: Duration = Duration::from_millis(100);

/// When the voters were last reviewed, and since when voters have been vacant (without a folder).
#[derive(Clone, Debug, Default)]
pub(super) struct VoterReview {
    last_review: Option<clock::Instant>,
    vacant_since: BTreeMap<name::Instance, clock::Instant>,
}

impl Leadership {
    /// Whether a review of the groups is due: shortly after a change, else every
    /// [`REVIEW_INTERVAL`].
    ///
    /// A review iterates over all engines. One review per event used up the CPU of a leader of
    /// hundreds of engines, which then lost its lease. Changes are therefore batched for a time
    /// that grows with the number of upstreams.
    fn is_review_due(&self, now: clock::Instant) -> bool {
        let interval = MIN_REVIEW_INTERVAL_PER_UPSTREAM * self.registry.len() as u32;
        self.last_review
            .map(|last| now.since(last))
            .is_none_or(|since| since >= interval && (self.dirty || since >= REVIEW_INTERVAL))
    }

    /// Whether the next publication is due. Each publication answers the watches of all followers,
    /// so the interval grows with their number.
    fn is_publication_due(&self, now: clock::Instant) -> bool {
        let interval = MIN_PUBLICATION_INTERVAL_PER_FOLLOWER * self.watches.follower_count() as u32;
        let interval = interval.min(MAX_PUBLICATION_DELAY);
        self.last_publication.is_none_or(|last| now.since(last) >= interval)
    }
}

impl Core {
    /// Starts or ends this process's leadership according to the consensus node.
    pub(super) fn update_leadership(&mut self) {
        let term = self.node.as_ref().filter(|node| node.is_leader()).map(|node| node.term());
        let held_term = self.leadership.as_ref().map(|it| it.term);
        if held_term.is_some() && held_term != term {
            self.end_leadership();
        }
        if self.leadership.is_none() && self.is_active_leader() {
            let term = term.unwrap_or_default();
            self.begin_leadership(term);
        }
    }

    pub(super) fn end_leadership(&mut self) {
        if let Some(leadership) = self.leadership.take() {
            for held in &leadership.held_calls {
                self.reply(held.call, action::Reply::Unknown);
            }
            self.push_notice(notice::Notice::Ceased(leadership.term));
        }
    }

    fn begin_leadership(&mut self, term: number::Term) {
        let now = self.now;
        let mut registry = registry::Registry::new(self.settings.silence_timeout());
        // Only the first leader of a first start knows that there has been no client traffic yet.
        let traffic = !self.settings.first_start || term.0 > 1;
        let mut groups =
            groups::Groups::new(now, term, traffic).with_stall_timeout(self.settings.stall_timeout);
        groups.inherit_plans(self.local_view.plans.clone());
        let LocalView { upstreams, groups: known, entries, quarantine, .. } =
            self.local_view.clone();
        let departed = self.state.departed();
        let assumed_cold_time = self.settings.assumed_cold_time();
        for upstream in upstreams.into_values() {
            let mut upstream = Core::with_departure(&departed, upstream);
            // Upstreams of a zone that is out may have become cold while there was no leader.
            if self.state.zones_out.contains(&upstream.announcement.zone) {
                let cold = &mut upstream.announcement.cold;
                *cold = assumed_cold_time.max(*cold);
            }
            registry.adopt(now, upstream);
        }
        for (name, group) in known {
            groups.adopt_from_follower(now, &name, group, &registry);
        }
        let mut watches = watches::Watches::new(now, term, self.local_view.stamp);
        watches.add_known_entries(entries.into_keys());
        let mut ledger = quarantine::Ledger::default();
        ledger.inherit(now, quarantine.into_iter().collect());
        self.leadership = Some(Leadership {
            term,
            registry,
            groups,
            ledger,
            publisher: publication::Publisher::new(term, self.local_view.document.clone()),
            watches,
            update_bucket: link::Bucket::new(now, self.settings.link_rate),
            dirty: true,
            last_review: None,
            last_local_update: now,
            last_publication: None,
            publication_pending: false,
            voter_review: VoterReview::default(),
            held_calls: Vec::new(),
            refusals: BTreeMap::new(),
            heard_at: BTreeMap::new(),
        });
        self.update_learners();
        self.push_notice(notice::Notice::Serving(term));
    }

    /// Performs the leader's duties. Without a quorum lease, which excludes another leader, nothing
    /// is ordered or published.
    pub(super) fn run_leader_duties(&mut self) {
        if !self.is_active_leader() {
            return;
        }
        let now = self.now;
        let evidence = std::mem::take(&mut self.evidence);
        if evidence != peer::Evidence::default() {
            self.record_evidence(self.settings.address, &evidence);
        }
        let due = self.leadership.as_ref().is_some_and(|leadership| leadership.is_review_due(now));
        let document = self.state.document.clone().filter(|_| due);
        let declaration = document.and_then(|document| self.decode_declaration(&document));
        let Some(leadership) = &mut self.leadership else { return };
        if due {
            leadership.last_review = Some(now);
            leadership.dirty = false;
            leadership.registry.remove_expired(now);
            leadership.ledger.remove_expired(now);
            let quarantined = leadership.ledger.review(now);
            let peers = leadership.watches.probe_peers();
            let commands = declaration
                .map(|it| {
                    leadership.groups.reconcile(
                        now,
                        &leadership.registry,
                        &it,
                        &peers,
                        &self.state.zones_out,
                    )
                })
                .unwrap_or_default();
            self.push_commands(commands);
            for (cause, round) in quarantined {
                self.push_notice(notice::Notice::Quarantined(cause, round));
            }
        }
        self.publish_if_due(due);
        self.answer_watches();
        self.answer_held_calls();
        self.review_voters();
    }

    /// Records evidence from an entry.
    pub(super) fn record_evidence(&mut self, from: net::SocketAddr, evidence: &peer::Evidence) {
        let now = self.now;
        let Some(leadership) = &mut self.leadership else { return };
        // A watch between two reports includes none, which withdraws nothing.
        if *evidence == peer::Evidence::default() {
            return leadership.groups.confirm_evidence(now, from);
        }
        leadership.groups.on_evidence(now, from, evidence);
        let resumed = leadership.groups.resume_progressing_groups(now, &mut leadership.registry);
        let mut notices = Vec::new();
        for crash in &evidence.crashes {
            for (cause, round) in leadership.ledger.record_crash(now, crash) {
                notices.push(notice::Notice::Quarantined(cause, round));
            }
            leadership.dirty = true;
        }
        for trial in &evidence.trials {
            if let Some(round) = leadership.ledger.record_trial(now, trial) {
                notices.push(notice::Notice::Quarantined(trial.cause, round));
                leadership.dirty = true;
            }
        }
        for completion in &evidence.completions {
            if leadership.ledger.record_completion(now, completion) {
                notices.push(notice::Notice::Released(completion.cause));
            }
            leadership.dirty = true;
        }
        for change in &evidence.rates {
            leadership.dirty |= leadership.registry.set_rate(now, change);
        }
        for process in &evidence.leaving {
            if leadership.registry.record_leaving(process) {
                notices.push(notice::Notice::Departed(process.instance.clone()));
                leadership.dirty = true;
            }
        }
        for notice in notices {
            self.push_notice(notice);
        }
        self.push_commands(resumed);
    }

    pub(super) fn push_commands(&mut self, commands: Vec<groups::Command>) {
        for command in commands {
            let action = match command {
                groups::Command::Order(order) => action::Action::Order(order),
                groups::Command::Probe(instance, to, probe) => {
                    action::Action::Probe(instance, to, probe)
                }
                groups::Command::RequestReport(instance, to) => {
                    action::Action::RequestReport(instance, to)
                }
                groups::Command::ProbeIndirectly { peer, instance, address } => {
                    action::Action::ProbeViaPeer { peer, instance, address }
                }
                groups::Command::Notice(notice) => action::Action::Notice(notice),
            };
            self.push_action(action);
        }
    }

    /// Publishes reviewed changes, to this process's own entry first.
    fn publish_if_due(&mut self, reviewed_now: bool) {
        let now = self.now;
        let Some(leadership) = &mut self.leadership else { return };
        leadership.publication_pending |= reviewed_now;
        if !leadership.publication_pending || !leadership.is_publication_due(now) {
            return;
        }
        leadership.publication_pending = false;
        leadership.last_publication = Some(now);
        let voters = self.node.as_ref().map(|node| node.voters().to_vec()).unwrap_or_default();
        let controls = voters.iter().filter_map(|it| super::address_of(&it.instance)).collect();
        let Some(leadership) = &mut self.leadership else { return };
        let state = publication::FleetState {
            document: self.state.document.clone(),
            zones_out: self.state.zones_out.clone(),
            plans: leadership.groups.plans(),
            controls,
            entries: leadership.watches.live_entries(now, self.settings.address),
            quarantine: leadership.ledger.published().clone(),
        };
        let upstreams = leadership.registry.published(now);
        let groups = leadership.groups.to_views();
        leadership.publisher.publish(state, upstreams, &groups);
        leadership.on_published(leadership.publisher.stamp().revision);
        // Updates are also sent when nothing has changed: they tell the entry that this process
        // still leads.
        let due = now.since(leadership.last_local_update) >= action::MAX_WATCH_HOLD;
        if due || leadership.publisher.stamp() != self.local_view.stamp {
            leadership.last_local_update = now;
            let update = leadership.publisher.since(self.local_view.stamp);
            self.confirm(now, self.state.version());
            self.install_update(update, self.state.document.clone());
        }
    }

    fn answer_watches(&mut self) {
        let now = self.now;
        let own = self.settings.address;
        // What is applied, not what is published: a change may have been acknowledged since.
        let newest_version = self.state.version();
        let Some(leadership) = &mut self.leadership else { return };
        let Leadership { publisher, watches, update_bucket, .. } = leadership;
        let stamp = publisher.stamp();
        let mut due = Vec::new();
        if watches.is_pass_due(now, publisher) {
            let mut outgoing = watches::Outgoing { publisher, bucket: update_bucket };
            due = watches.take_due(now, &mut outgoing);
        }
        let (replicated, expired) = watches.take_replicated(now, stamp, &self.state);
        let answers: Vec<(u64, peer::Answer)> = due
            .into_iter()
            .map(|reply| {
                let answer = match reply.content {
                    watches::Content::StateRequest => peer::Answer::StateRequested,
                    watches::Content::Delay(progress) => {
                        let part = progress.and_then(|progress| publisher.next_part(progress));
                        peer::Answer::Delayed { part, newest_version }
                    }
                    watches::Content::Update(known_stamp, progress) => {
                        let part = progress.and_then(|progress| publisher.next_part(progress));
                        let delta = publisher.delta(known_stamp);
                        peer::Answer::Updated { delta, part, newest_version }
                    }
                };
                (reply.call, answer)
            })
            .collect();
        for (call, answer) in answers {
            self.reply(call, action::Reply::Watched(answer));
        }
        for call in replicated {
            self.reply(call, action::Reply::Registered(own));
        }
        for call in expired {
            self.reply(call, action::Reply::NotLeader(None));
        }
    }

    /// Starts the next change of the voters, if one is due.
    fn review_voters(&mut self) {
        let now = self.now;
        self.update_vacancies();
        let (Some(leadership), Some(node)) = (&self.leadership, &self.node) else { return };
        let leaving = node.leaving_voters(now);
        let ready = node.ready_learners();
        let interval = match leaving.is_empty() && ready.is_empty() {
            true => VOTER_REVIEW_INTERVAL,
            false => PENDING_CHANGE_REVIEW_INTERVAL,
        };
        let last_review = leadership.voter_review.last_review;
        if last_review.is_some_and(|last_review| now.since(last_review) < interval) {
            return;
        }
        let seats = self.seats();
        let to_learner = |instance: name::Instance| seats::Learner {
            zone: self.zone_of(&instance),
            is_initial: self.is_initial(&instance),
            is_superseded: node.superseded().contains(&instance),
            is_leaving: node.is_leaving(&instance, now),
            instance,
        };
        let learners: Vec<_> = ready.into_iter().map(to_learner).collect();
        let change = seats::next_change(&seats, &learners, self.settings.required_voters());
        if let Some(leadership) = &mut self.leadership {
            leadership.voter_review.last_review = Some(now);
        }
        self.update_learners();
        self.update_absent_instances();
        let Some(change) = change else { return };
        self.push_notice(match change.clone() {
            voters::Change::Replace { from, to } => notice::Notice::SeatReplaced(from, to),
            voters::Change::Displace(instance)
            | voters::Change::Remove(instance)
            | voters::Change::Add(instance) => notice::Notice::SeatRemoved(instance),
        });
        self.push_log_event(log_event::Event::ChangeVoters { ticket: 0, change });
    }

    /// Records since when seats have been vacant.
    fn update_vacancies(&mut self) {
        let now = self.now;
        let (Some(leadership), Some(node)) = (&mut self.leadership, &self.node) else { return };
        let vacant_since = &mut leadership.voter_review.vacant_since;
        let is_vacant = |voter: &&consensus::Voter| voter.folder == consensus::VACANT;
        let vacant: Vec<&name::Instance> =
            node.voters().iter().filter(is_vacant).map(|voter| &voter.instance).collect();
        vacant_since.retain(|instance, _| vacant.contains(&instance));
        for instance in vacant {
            vacant_since.entry(instance.clone()).or_insert(now);
        }
    }

    /// Seats of the log, as this leader knows them; without times unless it leads.
    fn seats(&self) -> Vec<seats::Seat> {
        let Some(node) = &self.node else { return Vec::new() };
        let now = self.now;
        let vacant_since = self.leadership.as_ref().map(|it| &it.voter_review.vacant_since);
        let contact_ages: BTreeMap<name::Instance, Duration> =
            node.contact_ages(now).into_iter().collect();
        let leaving = node.leaving_voters(now);
        let to_seat = |voter: &consensus::Voter| {
            let instance = voter.instance.clone();
            let vacant_since = vacant_since.and_then(|it| it.get(&instance));
            let silence = vacant_since.map(|since| now.since(*since));
            seats::Seat {
                zone: self.zone_of(&instance),
                silence: silence.or(contact_ages.get(&instance).copied()).unwrap_or_default(),
                is_vacant: voter.folder == consensus::VACANT,
                is_leaving: leaving.contains(&instance),
                has_ended: self.has_ended(&instance),
                is_superseded: node.superseded().contains(&instance),
                instance,
            }
        };
        node.voters().iter().map(to_seat).collect()
    }

    /// Whether an instance started with the system, or has had a seat: it replaces no other one.
    fn is_initial(&self, instance: &name::Instance) -> bool {
        let folder = super::address_of(instance).and_then(|it| self.discovery.folder(it));
        folder.is_some_and(|folder| folder.is_initial)
    }

    fn zone_of(&self, instance: &name::Instance) -> Option<name::Zone> {
        let folder = self.discovery.folder(super::address_of(instance)?);
        folder.map(|folder| folder.zone.clone())
    }

    /// Tells the log which instances wait for the seat of another one.
    pub(super) fn update_learners(&mut self) {
        if !self.node.as_ref().is_some_and(node::Node::is_leader) {
            return;
        }
        let seats = self.seats();
        let is_older = |it| self.discovery.is_of_older_release(self.now, it);
        // Seats are not replaced then, so that waiting for one would be without end.
        let has_older_voter =
            seats.iter().filter_map(|seat| super::address_of(&seat.instance)).any(is_older);
        // One that loses its seat waits until the seats are known to have changed.
        let has_seat = |control: &net::SocketAddr| {
            seats.iter().any(|seat| super::address_of(&seat.instance) == Some(*control))
        };
        let waits = |control: &net::SocketAddr| match self.discovery.folder(*control) {
            Some(folder) => {
                let is_initial = folder.is_initial && !has_seat(control);
                !has_older_voter && seats::waits_for_seat(&seats, &folder.zone, is_initial)
            }
            None => !is_older(*control),
        };
        let learners = self.discovery.controls().filter(waits).map(super::instance_of).collect();
        self.push_log_event(log_event::Event::SetLearners(learners));
    }
}
