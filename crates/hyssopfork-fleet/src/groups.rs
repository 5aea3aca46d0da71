//! Serving groups: their formation, lifecycle and recovery, as the leader decides them.
//!
//! Invariants, whichever process leads and however late an order is carried out:
//!
//! - A group opens only when every member has been ready under its epoch. The order to open is sent
//!   after each member has announced so; an engine's announcement carries group and epoch.
//! - No member joins another group while its group's head is open. A member is free only if its group
//!   was never ordered to open, if the head has announced that it closed, or if the member itself has
//!   left. A head that is silent or refuses connections may be open for other processes, so neither
//!   frees a member.
//! - A group that may serve is ended only by evidence that it is over: a member that is dead by the
//!   [`failure_detector`] or announces that it is elsewhere, or a head that has closed. A group with an
//!   unresponsive member is suspended, and ends only if no entry has requests there.
//! - An epoch is never used twice. It starts with the leader's term, and a term has only one leader.

mod counts;
pub mod demand;
mod dispatch;
pub mod failure_detector;
mod forming;
pub mod group;
mod lifecycle;
pub mod loads;
pub mod moves;
pub mod order;
mod pace;
mod peaks;
pub mod plan;
mod planner;
mod rebalance;
mod recovery;
mod repairs;
pub mod reports;
mod reserves;

use crate::announcement::{self, Membership, State};
use crate::{declaration, notice, peer, registry, view};
use group::{Group, Phase};
use hyssopfork_wire::{clock, name, number};
use std::collections::{BTreeMap, BTreeSet};
use std::net;
use std::time::Duration;

/// Time that a group whose member leaves on request has to finish its requests. A leaving engine
/// stays for its group's requests for ten seconds at most.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(8);

/// Time for which a lost group is published: entries learn of it, and requests there end.
const LOST_GROUP_RETENTION: Duration = Duration::from_secs(10);

/// Bits of an epoch that count the groups formed by one leader; the bits above hold its term.
const EPOCH_COUNTER_BITS: u32 = 24;

/// Command of the group management to its process.
#[derive(Clone, Debug)]
pub enum Command {
    /// Send an order to an engine.
    Order(order::Order),
    /// Probe an upstream.
    Probe(name::Instance, net::SocketAddr, order::Probe),
    /// Request a report from an engine.
    RequestReport(name::Instance, net::SocketAddr),
    /// Have a peer probe an upstream.
    ProbeIndirectly {
        /// The peer.
        peer: net::SocketAddr,
        /// The upstream.
        instance: name::Instance,
        /// Address of the upstream.
        address: net::SocketAddr,
    },
    /// Log a numbered event.
    Notice(notice::Notice),
}

/// All groups, with the state that a leader needs to manage them.
#[derive(Clone, Debug)]
pub struct Groups {
    groups: BTreeMap<name::Group, Group>,
    /// Group of each member. A pass over hundreds of engines looks it up thousands of times: when it
    /// searched all groups instead, it used up the leader's processor and others were elected.
    ///
    /// Invariant: contains the members of `groups` and no other instances.
    group_by_member: BTreeMap<name::Instance, name::Group>,
    /// Calls of the members of groups of which this leader has not heard all members.
    member_calls: BTreeMap<name::Group, recovery::Calls>,
    /// Epochs that this leader has ended before it ordered their groups to open.
    ended_epochs: BTreeSet<u64>,
    /// Epochs whose members have left or were lost under this leader.
    left_epochs: BTreeSet<u64>,
    /// Engines that have left an epoch, with their last announcement that may predate that. A later
    /// announcement that shows them as members is valid: a delayed order to join has put them back.
    left_members: BTreeMap<(u64, name::Instance), reports::Position>,
    /// Lost groups that have ended, since when they have been lost.
    lost_groups: BTreeMap<name::Group, (clock::Instant, view::Group)>,
    /// Epochs adopted from followers. Processes that follow this leader later report them again,
    /// possibly after it has ended them.
    adopted_epochs: BTreeSet<u64>,
    term: number::Term,
    formed_count: u64,
    started_at: clock::Instant,
    /// Whether this leader knows the fleet. Until then it takes no group for surplus.
    is_fleet_known: bool,
    /// Whether clients have started to send requests; until then, loads of weights have the weight
    /// store to themselves.
    has_traffic: bool,
    failure_detector: failure_detector::Detector,
    reports: reports::Reports,
    load_limiter: loads::Limiter,
    /// Limits orders to join and to stage, of which a start sends one or more to each engine.
    order_bucket: pace::Bucket,
    /// Limits requests for reports.
    report_bucket: pace::Bucket,
    domain_peaks: peaks::Peaks,
    demand: demand::Demand,
    established: repairs::Established,
    layout_cache: plan::Cache,
    /// Loads onto hosts that were ordered and that the engines have not announced yet.
    pending_stagings: BTreeMap<name::Instance, (name::Model, clock::Instant)>,
    pending_orders: BTreeMap<u64, dispatch::PendingOrder>,
    last_order_id: u64,
    commands: Vec<Command>,
}

impl Groups {
    /// Creates the state of a leader at the start of its term, without groups.
    pub fn new(now: clock::Instant, term: number::Term, traffic: bool) -> Groups {
        Groups {
            groups: BTreeMap::new(),
            group_by_member: BTreeMap::new(),
            member_calls: BTreeMap::new(),
            ended_epochs: BTreeSet::new(),
            left_epochs: BTreeSet::new(),
            left_members: BTreeMap::new(),
            lost_groups: BTreeMap::new(),
            adopted_epochs: BTreeSet::new(),
            term,
            formed_count: 0,
            started_at: now,
            is_fleet_known: false,
            has_traffic: traffic,
            failure_detector: failure_detector::Detector::default(),
            reports: reports::Reports::default(),
            load_limiter: loads::Limiter::new(now),
            order_bucket: pace::Bucket::new(now),
            report_bucket: pace::Bucket::new(now),
            domain_peaks: peaks::Peaks::default(),
            demand: demand::Demand::default(),
            established: repairs::Established::default(),
            layout_cache: plan::Cache::default(),
            pending_stagings: BTreeMap::new(),
            pending_orders: BTreeMap::new(),
            last_order_id: 0,
            commands: Vec::new(),
        }
    }

    /// Sets the time after which the platform breaks a group whose member doesn't answer.
    pub fn with_stall_timeout(mut self, stall_timeout: Duration) -> Groups {
        self.failure_detector = failure_detector::Detector::new(stall_timeout);
        self
    }

    /// The groups as they are published to followers. A lost group that has ended is published without
    /// members: an entry with requests there could not tell it from one that the leader doesn't know.
    pub fn to_views(&self) -> BTreeMap<name::Group, view::Group> {
        let lost = self.lost_groups.iter().map(|(name, (_, group))| (name.clone(), group.clone()));
        let groups = self.groups.iter().map(|(name, group)| (name.clone(), group.to_view()));
        lost.chain(groups).collect()
    }

    /// Takes over the plans of an earlier leader.
    pub fn inherit_plans(&mut self, plans: BTreeMap<name::Pool, demand::Basis>) {
        self.demand.inherit(plans);
    }

    /// Plans that don't rest on declared shares.
    pub fn plans(&self) -> BTreeMap<name::Pool, demand::Basis> {
        self.demand.plans()
    }

    /// Adopts a group that a follower knows from an earlier leader, at most once per epoch.
    pub fn adopt_from_follower(
        &mut self,
        now: clock::Instant,
        name: &name::Group,
        known: view::Group,
        registry: &registry::Registry,
    ) {
        let epoch = known.epoch;
        if !self.adopted_epochs.contains(&epoch) && self.adopt(now, name, known, registry) {
            self.adopted_epochs.insert(epoch);
        }
    }

    /// Adopts a group that an earlier leader formed; returns whether it did.
    fn adopt(
        &mut self,
        now: clock::Instant,
        name: &name::Group,
        known: view::Group,
        registry: &registry::Registry,
    ) -> bool {
        let grouped = known.members.iter().any(|member| self.group_of(member).is_some());
        if self.ended_epochs.contains(&known.epoch) || self.groups.contains_key(name) || grouped {
            return false;
        }
        let Some(head) = known.head().and_then(|head| registry.get(head)) else { return false };
        let phase = match known.state {
            // Whether its members respond is found out again.
            view::GroupState::Serving | view::GroupState::Suspended => Phase::Serving,
            view::GroupState::Opening => Phase::Opening,
            view::GroupState::Closing => Phase::Closing,
            view::GroupState::Inactive if known.members.len() == 1 => Phase::Preparing,
            view::GroupState::Inactive | view::GroupState::Lost => Phase::Leaving,
        };
        let is_lost = known.is_lost();
        let group = Group {
            pool: known.pool,
            domain: head.announcement.domain.clone(),
            model: known.model,
            members: known.members,
            epoch: known.epoch,
            phase,
            phase_since: now,
            order_sent_at: BTreeMap::new(),
            is_lost,
        };
        self.commands.push(Command::Notice(notice::Notice::Adopted(name.clone(), phase)));
        self.insert_group(name.clone(), group);
        true
    }

    /// Handles the evidence of an entry.
    pub fn on_evidence(
        &mut self,
        now: clock::Instant,
        from: net::SocketAddr,
        evidence: &peer::Evidence,
    ) {
        self.has_traffic |= evidence.traffic;
        self.failure_detector.on_evidence(now, from, evidence);
        self.demand.record(now, from, &evidence.demands);
    }

    /// Handles a sign of life of an entry, whose last evidence holds.
    pub fn confirm_evidence(&mut self, now: clock::Instant, from: net::SocketAddr) {
        self.failure_detector.confirm_evidence(now, from);
    }

    /// Handles an engine's report.
    pub fn on_report(
        &mut self,
        now: clock::Instant,
        instance: &name::Instance,
        report: &order::Report,
        registry: &mut registry::Registry,
    ) -> Vec<Command> {
        self.reports.record_report(instance, report);
        registry.record_report(now, instance, report);
        self.take_commands()
    }

    /// Handles the result of this process's probe of an upstream.
    pub fn on_probe_result(
        &mut self,
        now: clock::Instant,
        instance: &name::Instance,
        result: order::Liveness,
        registry: &mut registry::Registry,
    ) -> Vec<Command> {
        self.sync_unresponsive(instance, registry);
        if result == order::Liveness::Alive {
            self.on_responsive(instance, registry);
        }
        let verdict = self.failure_detector.on_probe_result(now, instance, result);
        self.apply_verdict(now, instance, verdict, registry)
    }

    /// Handles the result of a peer's probe of an upstream.
    pub fn on_indirect_probe_result(
        &mut self,
        now: clock::Instant,
        from: net::SocketAddr,
        instance: &name::Instance,
        alive: bool,
        registry: &mut registry::Registry,
    ) -> Vec<Command> {
        self.sync_unresponsive(instance, registry);
        if alive {
            self.on_responsive(instance, registry);
        }
        let verdict = self.failure_detector.on_indirect_probe_result(now, from, instance, alive);
        self.apply_verdict(now, instance, verdict, registry)
    }

    fn apply_verdict(
        &mut self,
        now: clock::Instant,
        instance: &name::Instance,
        verdict: failure_detector::Verdict,
        registry: &mut registry::Registry,
    ) -> Vec<Command> {
        match verdict {
            failure_detector::Verdict::Alive | failure_detector::Verdict::Wait => {}
            failure_detector::Verdict::ProbeAgain => {
                self.send_probes(instance, &BTreeSet::new(), true, registry)
            }
            failure_detector::Verdict::ProbeIndirectly { peers, probe_again } => {
                self.send_probes(instance, &peers, probe_again, registry);
            }
            failure_detector::Verdict::Dead | failure_detector::Verdict::Unresponsive
                if self.is_in_progressing_group(now, instance) =>
            {
                self.failure_detector.close_probe(instance);
            }
            failure_detector::Verdict::Unresponsive => {
                let evidence = self.failure_detector.evidence(now, instance);
                self.failure_detector.on_unresponsive(now, instance);
                if registry.set_unresponsive(instance, true) {
                    self.push_notice(notice::Notice::Unresponsive(instance.clone(), evidence));
                }
            }
            failure_detector::Verdict::Dead => {
                let evidence = self.failure_detector.evidence(now, instance);
                self.failure_detector.forget(instance);
                if registry.mark_dead(instance) {
                    self.push_notice(notice::Notice::Lost(instance.clone(), evidence));
                }
            }
        }
        self.take_commands()
    }

    /// Handles a sign that the upstream responds.
    fn on_responsive(&mut self, instance: &name::Instance, registry: &mut registry::Registry) {
        self.failure_detector.on_response(instance);
        if registry.set_unresponsive(instance, false) {
            self.push_notice(notice::Notice::Responsive(instance.clone()));
        }
    }

    /// Drops an unresponsive upstream that has announced itself since.
    fn sync_unresponsive(&mut self, instance: &name::Instance, registry: &registry::Registry) {
        if !registry.get(instance).is_some_and(|it| it.unresponsive) {
            self.failure_detector.forget_unresponsive(instance);
        }
    }

    /// Drops all unresponsive upstreams that have announced themselves since.
    fn sync_all_unresponsive(&mut self, registry: &registry::Registry) {
        let is_unresponsive =
            |instance: &name::Instance| registry.get(instance).is_some_and(|it| it.unresponsive);
        self.failure_detector.retain_unresponsive(is_unresponsive);
    }

    /// Ends the suspension of groups from whose heads entries receive bytes again.
    pub fn resume_progressing_groups(
        &mut self,
        now: clock::Instant,
        registry: &mut registry::Registry,
    ) -> Vec<Command> {
        let unresponsive = self.failure_detector.unresponsive();
        let is_resumed = |it: &&name::Instance| self.is_in_progressing_group(now, it);
        let resumed: Vec<name::Instance> = unresponsive.filter(is_resumed).cloned().collect();
        for instance in resumed {
            self.on_responsive(&instance, registry);
        }
        self.take_commands()
    }

    /// Whether the instance is a member of a serving group from whose head entries receive bytes. A
    /// group stops as soon as one of its members does, so such a member is only partitioned from the
    /// processes that probe it.
    fn is_in_progressing_group(&self, now: clock::Instant, instance: &name::Instance) -> bool {
        self.group_of(instance).is_some_and(|(_, group)| {
            matches!(group.phase, Phase::Serving | Phase::Suspended)
                && self.failure_detector.has_recent_activity(now, group.head())
        })
    }

    /// Probes an upstream, itself if `directly` and through each of `peers`.
    fn send_probes(
        &mut self,
        instance: &name::Instance,
        peers: &BTreeSet<net::SocketAddr>,
        directly: bool,
        registry: &registry::Registry,
    ) {
        let Some(record) = registry.get(instance) else { return };
        let address = record.announcement.address;
        if directly {
            // A plain upstream serves no reports, and one that is full answers nothing in time.
            let probe = match self.group_of(instance) {
                Some(_) => order::Probe::Report,
                None => order::Probe::Connection,
            };
            self.commands.push(Command::Probe(instance.clone(), address, probe));
        }
        let probe = |peer: &net::SocketAddr| Command::ProbeIndirectly {
            peer: *peer,
            instance: instance.clone(),
            address,
        };
        self.commands.extend(peers.iter().map(probe));
    }

    /// Whether `group_by_member` contains the members of `groups`, each once, and no other instances.
    fn is_member_index_consistent(&self) -> bool {
        let members = self.groups.values().map(|group| group.members.len()).sum::<usize>();
        let is_member = |(member, name): (&name::Instance, &name::Group)| {
            self.groups.get(name).is_some_and(|group| group.members.contains(member))
        };
        self.group_by_member.len() == members && self.group_by_member.iter().all(is_member)
    }

    /// Takes the pending commands. The groups themselves move on with the next pass.
    fn take_commands(&mut self) -> Vec<Command> {
        debug_assert!(self.is_member_index_consistent(), "each member is in one group");
        std::mem::take(&mut self.commands)
    }

    /// Makes one pass over all members, groups and pools, and returns the commands that bring them
    /// closer to the plan.
    pub fn reconcile(
        &mut self,
        now: clock::Instant,
        registry: &registry::Registry,
        declaration: &declaration::Declaration,
        peers: &BTreeSet<net::SocketAddr>,
        out: &BTreeSet<name::Zone>,
    ) -> Vec<Command> {
        self.update_fleet_known(now, registry);
        self.sync_all_unresponsive(registry);
        self.lost_groups.retain(|_, (since, _)| now.since(*since) < LOST_GROUP_RETENTION);
        self.probe_suspects(now, registry, peers);
        self.recover_groups(now, registry, declaration);
        self.advance_groups(now, registry);
        for (pool, engine) in declaration.engines() {
            self.plan_pool(now, pool, engine, registry, out);
        }
        std::mem::take(&mut self.commands)
    }

    /// Probes members that are silent, all members of groups that are stalled, and plain upstreams that
    /// entries can't reach: without that, each entry of a large fleet would learn by itself that an
    /// upstream is dead, at the expense of its clients, until the upstream's silence shows it.
    fn probe_suspects(
        &mut self,
        now: clock::Instant,
        registry: &registry::Registry,
        peers: &BTreeSet<net::SocketAddr>,
    ) {
        let is_alive =
            |instance: &name::Instance| registry.get(instance).is_some_and(|it| !it.dead);
        let mut suspects: Vec<name::Instance> =
            self.failure_detector.suspects().filter(|it| is_alive(it)).cloned().collect();
        for group in self.groups.values() {
            let stalled = matches!(group.phase, Phase::Serving | Phase::Suspended)
                && self.failure_detector.is_stalled(now, group.head());
            for member in &group.members {
                let Some(record) = registry.get(member).filter(|record| !record.dead) else {
                    continue;
                };
                if stalled || record.unresponsive || registry.is_silent(now, record) {
                    suspects.push(member.clone());
                }
            }
        }
        let is_plain = |instance: &&name::Instance| {
            self.group_of(instance).is_none()
                && registry.get(instance).is_some_and(|it| !it.dead && !it.unresponsive)
        };
        suspects.extend(self.failure_detector.stalled_upstreams(now).filter(is_plain).cloned());
        for instance in suspects {
            if self.failure_detector.start_probe(now, &instance, peers) {
                self.send_probes(&instance, &BTreeSet::new(), true, registry);
            }
        }
    }

    /// Creates a group or a reserve under a new epoch.
    fn create_group(
        &mut self,
        now: clock::Instant,
        pool: &name::Pool,
        domain: &name::Domain,
        model: &name::Model,
        members: Vec<name::Instance>,
        phase: Phase,
    ) {
        self.formed_count += 1;
        let epoch = (self.term.0 << EPOCH_COUNTER_BITS) | self.formed_count;
        let name = name::Group::new(format!("g{epoch}"));
        let notice = notice::Notice::Formed(name.clone(), model.clone(), members.clone(), phase);
        self.push_notice(notice);
        let group = Group {
            pool: pool.clone(),
            domain: domain.clone(),
            model: model.clone(),
            members,
            epoch,
            phase,
            phase_since: now,
            order_sent_at: BTreeMap::new(),
            is_lost: false,
        };
        self.insert_group(name, group);
    }

    fn enter_phase(&mut self, now: clock::Instant, name: &name::Group, phase: Phase) {
        let Some(group) = self.groups.get_mut(name) else { return };
        group.enter_phase(now, phase);
        self.push_notice(notice::Notice::Turned(name.clone(), phase));
    }

    /// Ends a group whose requests will not complete: its members leave.
    fn lose_group(&mut self, now: clock::Instant, name: &name::Group) {
        if let Some(group) = self.groups.get_mut(name) {
            group.is_lost = true;
        }
        self.enter_phase(now, name, Phase::Leaving);
    }

    /// Ends a group. All members of a group that was never ordered to open are free; of any other
    /// group, only those that have left.
    fn end_group(&mut self, name: &name::Group) {
        if let Some(group) = self.remove_group(name) {
            if group.is_lost {
                let lost = view::Group { members: Vec::new(), ..group.to_view() };
                self.lost_groups.insert(name.clone(), (group.phase_since, lost));
            }
            if group.phase.is_reserve() || group.phase == Phase::Joining {
                self.ended_epochs.insert(group.epoch);
            } else {
                self.left_epochs.insert(group.epoch);
            }
            self.push_notice(notice::Notice::Ended(name.clone()));
        }
    }

    /// Whether the announced membership is over: the engine has left since, or the group has ended
    /// without an order to open.
    fn is_membership_over(
        &self,
        announcement: &announcement::Announcement,
        membership: &Membership,
    ) -> bool {
        let left = self.left_members.get(&(membership.epoch, announcement.instance.clone()));
        let serves = matches!(membership.state, State::Open | State::Closing);
        left.is_some_and(|last| reports::Position::of(announcement) <= *last)
            || self.ended_epochs.contains(&membership.epoch) && !serves
    }

    /// Whether this leader knows the fleet: for the silence timeout, no upstream has called that it did
    /// not know.
    pub fn is_fleet_known(&self) -> bool {
        self.is_fleet_known
    }

    fn update_fleet_known(&mut self, now: clock::Instant, registry: &registry::Registry) {
        let since = registry.last_new_at().unwrap_or(self.started_at).max(self.started_at);
        if !self.is_fleet_known && now.since(since) >= registry.silence_timeout() {
            self.is_fleet_known = true;
            let (upstreams, groups) = (registry.len(), self.groups.len());
            let after = now.since(self.started_at);
            self.push_notice(notice::Notice::FleetKnown { upstreams, groups, after });
        }
    }

    fn insert_group(&mut self, name: name::Group, group: Group) {
        let members = group.members.iter().cloned();
        self.group_by_member.extend(members.map(|member| (member, name.clone())));
        self.groups.insert(name, group);
    }

    fn remove_group(&mut self, name: &name::Group) -> Option<Group> {
        let group = self.groups.remove(name)?;
        group.members.iter().for_each(|member| drop(self.group_by_member.remove(member)));
        Some(group)
    }

    fn group_of(&self, instance: &name::Instance) -> Option<(&name::Group, &Group)> {
        self.groups.get_key_value(self.group_by_member.get(instance)?)
    }

    fn push_notice(&mut self, notice: notice::Notice) {
        self.commands.push(Command::Notice(notice));
    }
}
