//! Serving groups: which there are, and each one's life from joining to leaving.
//!
//! What must hold, whoever leads and however late an order is carried out:
//!
//! - *A group opens only when every member has been ready under its epoch.* The order to open goes
//!   out after each member's own word; an engine's word carries group and epoch.
//! - *No member joins another group while its group's head is open.* A member is free only when its
//!   group was never told to open, or has closed by its head's own word, or when the member itself
//!   has left. A head that is silent, or at which connections are refused, may be open for others,
//!   so neither frees it.
//! - *An epoch is never used twice.* It begins with the leader's term, of which there is one leader.

mod dispatch;
mod forming;
pub mod group;
pub mod inquiry;
mod lifecycle;
pub mod loads;
pub mod order;
mod peaks;
pub mod plan;
mod planning;
mod rebalance;
pub mod reports;
mod reserves;
mod strangers;
mod tally;

use crate::announcement::{self, Membership, State};
use crate::{declaration, notice, peer, registry, view};
use group::{Group, Stage};
use hyssopfork_wire::{clock, name, number};
use std::collections::{BTreeMap, BTreeSet};
use std::net;
use std::time::Duration;

/// Time that a group whose member leaves on request may take to end what it has. An engine that
/// leaves stays for its group's work for ten seconds at most.
const CLOSE_LIMIT: Duration = Duration::from_secs(8);

/// Time in which every upstream has called a leader that knew nothing: two heartbeats of those that
/// are common, one of which may be lost.
const SETTLE: Duration = Duration::from_millis(2_800);

/// Bits of an epoch below the term: groups that one leader may form.
const EPOCH_BITS: u32 = 24;

/// What is to be done.
#[derive(Clone, Debug)]
pub enum Command {
    /// Give an order.
    Order(order::Order),
    /// Ask for a sign of life.
    Probe(name::Instance, net::SocketAddr),
    /// Ask an engine for its report.
    Ask(name::Instance, net::SocketAddr),
    /// Have a peer ask for a sign of life.
    AskPeer {
        /// The peer.
        peer: net::SocketAddr,
        /// The upstream.
        instance: name::Instance,
        /// Where the upstream listens.
        address: net::SocketAddr,
    },
    /// Log a numbered event.
    Notice(notice::Notice),
}

/// All groups, as one leader keeps them.
#[derive(Clone, Debug)]
pub struct Groups {
    groups: BTreeMap<name::Group, Group>,
    /// Group of each member. A look at hundreds of engines asks for it thousands of times: searched
    /// for among all groups, looks took the leader's whole processor and others were elected.
    ///
    /// Invariant: names the members of `groups`, and no other.
    by_member: BTreeMap<name::Instance, name::Group>,
    /// Open groups whose members have not all called a leader that has just started.
    provisional: BTreeMap<name::Group, view::Group>,
    /// Epochs that this leader has ended before they were told to open.
    ended: BTreeSet<u64>,
    /// Engines that have left an epoch, and the last announcement that may be from before. A later
    /// one that shows them inside is the truth: an order to join that was held up has put them back.
    left: BTreeMap<(u64, name::Instance), reports::Announced>,
    /// Epochs that were taken over: processes that follow this leader later tell of them as well,
    /// when it may have ended them.
    taken_over: BTreeSet<u64>,
    term: number::Term,
    formed: u64,
    started: clock::Instant,
    /// Whether callers have begun to send: before, loads of weights have the store to themselves.
    traffic: bool,
    inquiry: inquiry::Inquiry,
    reports: reports::Reports,
    pace: loads::Pace,
    peaks: peaks::Peaks,
    layouts: plan::Layouts,
    /// Loads onto hosts that were ordered and have not shown yet.
    staging: BTreeMap<name::Instance, (name::Model, clock::Instant)>,
    tickets: BTreeMap<u64, dispatch::Ticket>,
    newest: u64,
    commands: Vec<Command>,
}

impl Groups {
    /// No groups yet, at the start of a leader's term.
    pub fn new(now: clock::Instant, term: number::Term, traffic: bool) -> Groups {
        Groups {
            groups: BTreeMap::new(),
            by_member: BTreeMap::new(),
            provisional: BTreeMap::new(),
            ended: BTreeSet::new(),
            left: BTreeMap::new(),
            taken_over: BTreeSet::new(),
            term,
            formed: 0,
            started: now,
            traffic,
            inquiry: inquiry::Inquiry::default(),
            reports: reports::Reports::default(),
            pace: loads::Pace::new(now),
            peaks: peaks::Peaks::default(),
            layouts: plan::Layouts::default(),
            staging: BTreeMap::new(),
            tickets: BTreeMap::new(),
            newest: 0,
            commands: Vec::new(),
        }
    }

    /// The groups as followers are told of them.
    pub fn published(&self) -> BTreeMap<name::Group, view::Group> {
        let formed = self.groups.iter().map(|(name, group)| (name.clone(), group.published()));
        formed.chain(self.provisional.clone()).collect()
    }

    /// Takes over a group that a follower of an earlier leader knew, once.
    pub fn take_over(
        &mut self,
        now: clock::Instant,
        name: &name::Group,
        known: view::Group,
        registry: &registry::Registry,
    ) {
        let epoch = known.epoch;
        if !self.taken_over.contains(&epoch) && self.adopt(now, name, known, registry) {
            self.taken_over.insert(epoch);
        }
    }

    /// Makes a group that an earlier leader formed one of this leader's; whether it is one now.
    fn adopt(
        &mut self,
        now: clock::Instant,
        name: &name::Group,
        known: view::Group,
        registry: &registry::Registry,
    ) -> bool {
        let taken = known.members.iter().any(|member| self.group_of(member).is_some());
        if self.ended.contains(&known.epoch) || self.groups.contains_key(name) || taken {
            return false;
        }
        let Some(head) = known.head().and_then(|head| registry.get(head)) else { return false };
        let stage = match (known.serving, known.members.len()) {
            (true, _) => Stage::Serving,
            (false, 1) => Stage::Preparing,
            (false, _) => Stage::Leaving,
        };
        let group = Group {
            pool: known.pool,
            domain: head.announcement.domain.clone(),
            model: known.model,
            members: known.members,
            epoch: known.epoch,
            stage,
            since: now,
            sent: BTreeMap::new(),
        };
        self.commands.push(Command::Notice(notice::Notice::Adopted(name.clone(), stage)));
        self.add(name.clone(), group);
        true
    }

    /// Takes what an entry saw.
    pub fn saw(&mut self, now: clock::Instant, from: net::SocketAddr, evidence: &peer::Evidence) {
        self.traffic |= evidence.traffic;
        self.inquiry.saw(now, from, evidence);
    }

    /// Takes an engine's report.
    pub fn reported(
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

    /// Takes what came of asking an upstream for a sign of life.
    pub fn probed(
        &mut self,
        now: clock::Instant,
        instance: &name::Instance,
        sign: order::Sign,
        registry: &mut registry::Registry,
    ) -> Vec<Command> {
        let verdict = self.inquiry.answered(now, instance, sign);
        self.judge(instance, verdict, registry)
    }

    /// Takes what came of a peer's asking an upstream for a sign of life.
    pub fn vouched(
        &mut self,
        now: clock::Instant,
        from: net::SocketAddr,
        instance: &name::Instance,
        alive: bool,
        registry: &mut registry::Registry,
    ) -> Vec<Command> {
        let verdict = self.inquiry.vouched(now, from, instance, alive);
        self.judge(instance, verdict, registry)
    }

    fn judge(
        &mut self,
        instance: &name::Instance,
        verdict: inquiry::Verdict,
        registry: &mut registry::Registry,
    ) -> Vec<Command> {
        match verdict {
            inquiry::Verdict::Alive | inquiry::Verdict::Wait => {}
            inquiry::Verdict::Ask => self.probe(instance, &BTreeSet::new(), true, registry),
            inquiry::Verdict::Spread { others, again } => {
                self.probe(instance, &others, again, registry);
            }
            inquiry::Verdict::Dead => {
                self.inquiry.forget(instance);
                if registry.mark_dead(instance) {
                    self.note(notice::Notice::Lost(instance.clone()));
                }
            }
        }
        self.take_commands()
    }

    /// Asks an upstream for a sign of life, and has `others` ask it.
    fn probe(
        &mut self,
        instance: &name::Instance,
        others: &BTreeSet<net::SocketAddr>,
        itself: bool,
        registry: &registry::Registry,
    ) {
        let Some(record) = registry.get(instance) else { return };
        let address = record.announcement.address;
        if itself {
            self.commands.push(Command::Probe(instance.clone(), address));
        }
        let ask = |peer: &net::SocketAddr| Command::AskPeer {
            peer: *peer,
            instance: instance.clone(),
            address,
        };
        self.commands.extend(others.iter().map(ask));
    }

    /// Whether `by_member` names the members of `groups`, each once, and no other.
    fn is_indexed(&self) -> bool {
        let members = self.groups.values().map(|group| group.members.len()).sum::<usize>();
        let is_member = |(member, name): (&name::Instance, &name::Group)| {
            self.groups.get(name).is_some_and(|group| group.members.contains(member))
        };
        self.by_member.len() == members && self.by_member.iter().all(is_member)
    }

    /// What is to be done at once. The groups move on with the next review.
    fn take_commands(&mut self) -> Vec<Command> {
        debug_assert!(self.is_indexed(), "each member is in one group");
        std::mem::take(&mut self.commands)
    }

    /// Looks at everything and says what is to be done.
    pub fn look(
        &mut self,
        now: clock::Instant,
        registry: &registry::Registry,
        declaration: &declaration::Declaration,
        peers: &BTreeSet<net::SocketAddr>,
        out: &BTreeSet<name::Zone>,
    ) -> Vec<Command> {
        self.inquire(now, registry, peers);
        self.find_strangers(now, registry, declaration);
        self.advance(now, registry);
        for (pool, engine) in declaration.engines() {
            self.plan(now, pool, engine, registry, out);
        }
        std::mem::take(&mut self.commands)
    }

    /// Asks members that fell silent, and all members of groups in which everything stands still.
    fn inquire(
        &mut self,
        now: clock::Instant,
        registry: &registry::Registry,
        peers: &BTreeSet<net::SocketAddr>,
    ) {
        let mut asked = Vec::new();
        for group in self.groups.values() {
            let stalled =
                group.stage == Stage::Serving && self.inquiry.is_stalled(now, group.head());
            for member in &group.members {
                let Some(record) = registry.get(member).filter(|record| !record.dead) else {
                    continue;
                };
                if stalled || registry.is_silent(now, record) {
                    asked.push(member.clone());
                }
            }
        }
        for instance in asked {
            if self.inquiry.ask(now, &instance, peers) {
                self.probe(&instance, &BTreeSet::new(), true, registry);
            }
        }
    }

    /// Forms a group, or puts an instance in reserve.
    fn form(
        &mut self,
        now: clock::Instant,
        pool: &name::Pool,
        domain: &name::Domain,
        model: &name::Model,
        members: Vec<name::Instance>,
        stage: Stage,
    ) {
        self.formed += 1;
        let epoch = (self.term.0 << EPOCH_BITS) | self.formed;
        let name = name::Group::new(format!("g{epoch}"));
        let told = notice::Notice::Formed(name.clone(), model.clone(), members.clone(), stage);
        self.note(told);
        let group = Group {
            pool: pool.clone(),
            domain: domain.clone(),
            model: model.clone(),
            members,
            epoch,
            stage,
            since: now,
            sent: BTreeMap::new(),
        };
        self.add(name, group);
    }

    fn turn(&mut self, now: clock::Instant, name: &name::Group, stage: Stage) {
        let Some(group) = self.groups.get_mut(name) else { return };
        group.turn(now, stage);
        self.note(notice::Notice::Turned(name.clone(), stage));
    }

    /// Ends a group. Members of one that was never told to open are free; of any other, those that
    /// have left.
    fn end(&mut self, name: &name::Group) {
        if let Some(group) = self.take(name) {
            if group.stage.is_reserve() || group.stage == Stage::Joining {
                self.ended.insert(group.epoch);
            }
            self.note(notice::Notice::Ended(name.clone()));
        }
    }

    /// Whether the membership that an engine tells of is over, or that of a group which was never told
    /// to open.
    fn is_over(&self, told: &announcement::Announcement, membership: &Membership) -> bool {
        let left = self.left.get(&(membership.epoch, told.instance.clone()));
        let serves = matches!(membership.state, State::Open | State::Closing);
        left.is_some_and(|last| reports::Announced::of(told) <= *last)
            || self.ended.contains(&membership.epoch) && !serves
    }

    /// Whether every upstream has had the time to call this leader.
    fn is_settled(&self, now: clock::Instant) -> bool {
        now.since(self.started) >= SETTLE
    }

    fn add(&mut self, name: name::Group, group: Group) {
        let members = group.members.iter().cloned();
        self.by_member.extend(members.map(|member| (member, name.clone())));
        self.groups.insert(name, group);
    }

    fn take(&mut self, name: &name::Group) -> Option<Group> {
        let group = self.groups.remove(name)?;
        group.members.iter().for_each(|member| drop(self.by_member.remove(member)));
        Some(group)
    }

    fn group_of(&self, instance: &name::Instance) -> Option<(&name::Group, &Group)> {
        self.groups.get_key_value(self.by_member.get(instance)?)
    }

    fn note(&mut self, notice: notice::Notice) {
        self.commands.push(Command::Notice(notice));
    }
}
