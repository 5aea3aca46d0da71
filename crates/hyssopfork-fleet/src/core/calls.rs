//! Handlers for calls from operators, upstreams and peers.

use super::{Core, acknowledge};
use crate::{
    action, announcement, declaration, discovery, document, durable, event, heartbeats, notice,
    peer, quarantine, read_refusal, registry,
};
use hyssopfork_consensus::event as log_event;
use hyssopfork_wire::name;
use std::net;
use std::time::Duration;

/// Time at the start of a leader's term during which it acknowledges nothing until the required
/// voters have joined; on the first start they join within a second. Afterwards a majority of them is
/// enough: the others are lost.
const VOTER_JOIN_TIMEOUT: Duration = Duration::from_secs(3);

/// Ticket of proposals without a waiting call.
const UNTRACKED_TICKET: u64 = 0;

impl Core {
    pub(super) fn on_call(&mut self, call: u64, request: event::Request) {
        match request {
            event::Request::Greet(hello) => self.on_hello(call, &hello),
            event::Request::Watch(watch) => self.on_watch(call, *watch),
            event::Request::Register(registration) => {
                self.on_registration(call, registration, true)
            }
            event::Request::RegisterRelayed(registration) => {
                self.on_registration(call, registration, false)
            }
            event::Request::AnnounceRelayed(announcements) => {
                self.on_relayed_batch(call, announcements)
            }
            event::Request::Read => self.on_read(call),
            event::Request::Declare(declaration, document) => {
                self.on_declare(call, &declaration, document);
            }
            event::Request::TakeOut(zone) => {
                self.propose(call, vec![durable::Command::TakeOut(zone)])
            }
            event::Request::BringIn(zone) => {
                self.propose(call, vec![durable::Command::BringIn(zone)])
            }
        }
    }

    fn on_hello(&mut self, call: u64, hello: &peer::Hello) {
        self.discovery.record_heard(hello.address);
        if hello.has_folder {
            self.confirm_control(hello.address);
        }
        self.bootstrap.add_candidate(hello);
        let founder = self.bootstrap.choose_founder(self.now);
        // Without a quorum lease this process names no leader, so that followers look for the next
        // one.
        let own = self.is_active_leader().then_some(self.settings.address);
        let leader = own.or_else(|| self.other_leader());
        let greeting = discovery::greeting(&self.discovery, leader, founder);
        self.reply(call, action::Reply::Greeting(greeting));
    }

    fn on_read(&mut self, call: u64) {
        if !self.is_active_leader() {
            self.report_refused_read();
            let leader = self.other_leader();
            return self.reply(call, action::Reply::NotLeader(leader));
        }
        let reply = match &self.state.document {
            Some(document) => action::Reply::Document(document.clone()),
            None => {
                self.report_refused_read();
                action::Reply::Unknown
            }
        };
        self.reply(call, reply);
    }

    fn report_refused_read(&mut self) {
        let Some(refused) = self.refused_reads.on_refused(self.now) else { return };
        let (last_leader, leaderless) = self.refused_reads.last_contact(self.now);
        let node = self.node.as_ref();
        let refusal = read_refusal::Refusal {
            reason: self.read_refusal_reason(),
            leaderless,
            last_leader,
            term: node.map(|node| node.term()),
            contacts: node.map_or_else(Default::default, |node| node.voter_contacts(self.now)),
            refused,
        };
        self.push_notice(notice::Notice::ReadRefused(Box::new(refusal)));
    }

    fn read_refusal_reason(&self) -> read_refusal::Reason {
        match self.node.as_ref().filter(|node| node.is_leader()) {
            _ if self.is_active_leader() => read_refusal::Reason::NoDeclaration,
            Some(node) if node.quorum_lease(self.now).is_none() => read_refusal::Reason::NoQuorum,
            Some(_) => read_refusal::Reason::NotApplied,
            None if self.other_leader().is_some() => read_refusal::Reason::NotLeader,
            None => read_refusal::Reason::NoLeader,
        }
    }

    /// Handles an operator's declaration. A version that is not higher than the current one is
    /// acknowledged without a change: it was accepted before or has been superseded.
    fn on_declare(
        &mut self,
        call: u64,
        declaration: &declaration::Declaration,
        document: document::Document,
    ) {
        debug_assert_eq!(declaration.version, document.version);
        if self.is_active_leader() && document.version <= self.state.version() {
            let receipt = acknowledge::Receipt::Declaration(self.state.version());
            return self.acknowledge(call, receipt);
        }
        if document.bytes.len() > document::MAX_BYTES {
            return self.reply(call, action::Reply::TooLarge);
        }
        self.propose(call, durable::Command::declare(document));
    }

    /// Proposes commands to the log; the call is answered once the last of them is committed and
    /// applied.
    fn propose(&mut self, call: u64, commands: Vec<durable::Command>) {
        if !self.is_active_leader() {
            let leader = self.other_leader();
            return self.reply(call, action::Reply::NotLeader(leader));
        }
        if !self.has_required_voters() {
            return self.reply(call, action::Reply::Unknown);
        }
        let ticket = self.proposals.register(self.now, call);
        let last = commands.len().saturating_sub(1);
        for (place, command) in commands.into_iter().enumerate() {
            let ticket = if place == last { ticket } else { UNTRACKED_TICKET };
            self.push_log_event(log_event::Event::Propose { ticket, command: command.encode() });
        }
    }

    /// Whether there are enough voters for an acknowledged command to survive the tolerated losses. A
    /// smaller log may be that of a process that is itself cut off. It is enough only if no other
    /// process can vote.
    fn has_required_voters(&self) -> bool {
        let Some(node) = &self.node else { return false };
        let required = self.settings.required_voters();
        let voters = node.voters().len();
        let since = self.leadership.as_ref().map(|it| self.now.since(it.watches.term_start));
        let has_timed_out = since.is_some_and(|since| since >= VOTER_JOIN_TIMEOUT);
        let is_voter = |control: &net::SocketAddr| {
            node.voters().iter().any(|voter| super::address_of(&voter.instance) == Some(*control))
        };
        voters >= required
            || has_timed_out && voters > required / 2
            || has_timed_out
                && self.discovery.has_heard_all_seeds()
                && self.discovery.controls().all(|control| is_voter(&control))
    }

    /// Records an upstream's registration, or relays it to the leader.
    fn on_registration(&mut self, call: u64, registration: peer::Registration, may_relay: bool) {
        if self.is_active_leader() && self.leadership.is_some() {
            return self.record_registration(call, registration);
        }
        let Some(to) = self.other_leader().filter(|_| may_relay) else {
            return self.reply(call, action::Reply::NotLeader(None));
        };
        if let peer::Registration::Announced(announcement) = &registration {
            let known = self.local_view.upstreams.get(&announcement.instance);
            let term = self.local_view.stamp.term;
            if self.heartbeats.accept(self.now, term, announcement, known) {
                let own = self.settings.address;
                return self.reply(call, action::Reply::Registered(own));
            }
            self.heartbeats.on_relayed(call, &announcement.instance);
        }
        // The answer to a drain waits until it is replicated, which would hold up a batch.
        match registration {
            peer::Registration::Announced(announcement) if !announcement.draining => {
                self.relays.push(self.now, call, *announcement);
                self.send_relays();
            }
            registration => self.push_action(action::Action::Relay { call, to, registration }),
        }
    }

    /// Sends the next batch of announcements to the leader, unless one is unanswered.
    pub(super) fn send_relays(&mut self) {
        let Some(to) = self.other_leader() else {
            for call in self.relays.take_queued() {
                self.on_relay_answered(call, false);
            }
            return;
        };
        for call in self.relays.take_superseded(to) {
            self.on_relay_answered(call, false);
        }
        if let Some(batch) = self.relays.next_batch(self.now, to) {
            self.push_action(action::Action::RelayBatch(to, batch));
        }
    }

    pub(super) fn on_batch_answered(&mut self, number: u64, accepted: bool) {
        for call in self.relays.take_answered(number) {
            self.on_relay_answered(call, accepted);
        }
        self.send_relays();
    }

    /// Records announcements that a follower relayed.
    fn on_relayed_batch(&mut self, call: u64, announcements: Vec<announcement::Announcement>) {
        let is_leader = self.is_active_leader();
        let now = self.now;
        let Some(leadership) = self.leadership.as_mut().filter(|_| is_leader) else {
            let leader = self.other_leader();
            return self.reply(call, action::Reply::NotLeader(leader));
        };
        let mut notices = Vec::new();
        for announcement in announcements {
            let instance = announcement.instance.clone();
            let outcome = leadership.registry.record_announcement(now, announcement);
            leadership.dirty |= outcome == registry::Outcome::Changed;
            let record = leadership.registry.get(&instance);
            notices.extend(
                record.and_then(|record| notice::Notice::for_announcement(outcome, record)),
            );
        }
        for notice in notices {
            self.push_notice(notice);
        }
        self.reply(call, action::Reply::Registered(self.settings.address));
    }

    fn record_registration(&mut self, call: u64, registration: peer::Registration) {
        let now = self.now;
        let Some(leadership) = &mut self.leadership else { return };
        let registry = &mut leadership.registry;
        let (changed, leaving, notice) = match registration {
            peer::Registration::Announced(announcement) => {
                let (instance, draining) = (announcement.instance.clone(), announcement.draining);
                let start_time_ms = announcement.start_time_ms;
                let outcome = registry.record_announcement(now, *announcement);
                let record = registry.get(&instance);
                let notice =
                    record.and_then(|record| notice::Notice::for_announcement(outcome, record));
                // The drain of a process that is not the known one may have been dropped. Acknowledged,
                // its process would exit while it still gets requests.
                let is_leaving = record.is_some_and(registry::Record::is_leaving);
                if draining && !is_leaving {
                    if let Some(notice) = notice {
                        self.push_notice(notice);
                    }
                    return self.reply(call, action::Reply::Unknown);
                }
                let leaving = draining.then_some(quarantine::Process { instance, start_time_ms });
                (draining || outcome == registry::Outcome::Changed, leaving, notice)
            }
            peer::Registration::Departed(instance) => {
                let changed = registry.record_departure(now, &instance);
                let notice = changed.then(|| notice::Notice::Departed(instance.clone()));
                (changed, registry.process_of(&instance), notice)
            }
        };
        leadership.dirty |= changed;
        let unrecorded = leaving.filter(|process| !self.state.has_departed(process));
        if let Some(process) = unrecorded {
            let command = durable::Command::Depart(process.clone());
            leadership.watches.hold_registration(now, call, process);
            let command = command.encode();
            self.push_log_event(log_event::Event::Propose { ticket: UNTRACKED_TICKET, command });
        } else {
            let own = self.settings.address;
            let target = if heartbeats::is_assigned(leadership.registry.len()) {
                leadership.watches.next_follower().unwrap_or(own)
            } else {
                own
            };
            self.reply(call, action::Reply::Registered(target));
        }
        if let Some(notice) = notice {
            self.push_notice(notice);
        }
    }

    pub(super) fn on_relay_answered(&mut self, call: u64, accepted: bool) {
        self.heartbeats.on_relay_answered(call, accepted, self.local_view.stamp.term);
        let own = self.settings.address;
        let is_assigned = heartbeats::is_assigned(self.local_view.upstreams.len());
        let reply = match self.other_leader().filter(|_| accepted) {
            Some(_) if is_assigned => action::Reply::Registered(own),
            Some(leader) => action::Reply::Registered(leader),
            None => action::Reply::NotLeader(None),
        };
        self.reply(call, reply);
    }

    fn on_watch(&mut self, call: u64, watch: peer::Watch) {
        self.discovery.record_heard(watch.from);
        if watch.has_folder {
            self.confirm_control(watch.from);
        }
        let is_leader = self.is_active_leader();
        let now = self.now;
        let Some(leadership) = self.leadership.as_mut().filter(|_| is_leader) else {
            let leader = self.other_leader();
            return self.reply(call, action::Reply::Watched(peer::Answer::NotLeader(leader)));
        };
        if let Some(known) = watch.known {
            let departed = self.state.departed();
            for upstream in known.upstreams {
                let upstream = Core::with_departure(&departed, upstream);
                leadership.dirty |= leadership.registry.adopt(now, upstream);
            }
            for (name, group) in known.groups {
                leadership.groups.adopt_from_follower(now, &name, group, &leadership.registry);
                leadership.dirty = true;
            }
            leadership.watches.add_known_entries(known.entries);
            leadership.ledger.inherit(now, known.quarantine);
            leadership.watches.on_state_received(watch.from, watch.stamp);
        }
        for heartbeat in &watch.heartbeats {
            leadership.registry.record_heartbeat(now, heartbeat);
        }
        leadership.watches.hold(now, call, watch.from, watch.stamp, watch.document_progress);
        self.record_evidence(watch.from, &watch.evidence);
    }

    pub(super) fn on_evidence(&mut self, from: net::SocketAddr, evidence: peer::Evidence) {
        if let Some(leadership) = &mut self.leadership {
            leadership.dirty = true;
            return self.record_evidence(from, &evidence);
        }
        if from != self.settings.address {
            return;
        }
        if evidence.is_urgent()
            && let Some(leader) = self.other_leader()
        {
            self.push_action(action::Action::SendEvidence(leader, evidence.clone()));
        }
        self.evidence = evidence;
    }

    pub(super) fn on_abandoned(&mut self, call: u64) {
        self.relays.abandon(call);
        if let Some(leadership) = &mut self.leadership {
            leadership.watches.abandon(call);
            leadership.held_calls.retain(|held| held.call != call);
        }
    }

    pub(super) fn on_order_answered(
        &mut self,
        ticket: u64,
        outcome: crate::groups::order::Outcome,
    ) {
        let Some(leadership) = &mut self.leadership else { return };
        leadership.dirty = true;
        let commands =
            leadership.groups.on_order_outcome(ticket, outcome, &mut leadership.registry);
        self.push_commands(commands);
    }

    pub(super) fn on_peer_probed(
        &mut self,
        from: net::SocketAddr,
        instance: &name::Instance,
        alive: bool,
    ) {
        let now = self.now;
        let Some(leadership) = &mut self.leadership else { return };
        leadership.dirty = true;
        let registry = &mut leadership.registry;
        let commands =
            leadership.groups.on_indirect_probe_result(now, from, instance, alive, registry);
        self.push_commands(commands);
    }

    pub(super) fn on_report(
        &mut self,
        instance: &name::Instance,
        report: crate::groups::order::Report,
    ) {
        let now = self.now;
        let Some(leadership) = &mut self.leadership else { return };
        leadership.dirty = true;
        let commands =
            leadership.groups.on_report(now, instance, &report, &mut leadership.registry);
        self.push_commands(commands);
    }

    pub(super) fn on_probed(
        &mut self,
        instance: &name::Instance,
        sign: crate::groups::order::Liveness,
    ) {
        let now = self.now;
        let Some(leadership) = &mut self.leadership else { return };
        leadership.dirty = true;
        let commands =
            leadership.groups.on_probe_result(now, instance, sign, &mut leadership.registry);
        self.push_commands(commands);
    }
}
