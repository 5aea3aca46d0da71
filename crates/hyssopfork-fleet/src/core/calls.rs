//! Calls of operators, upstreams and peers.

use super::Core;
use crate::{action, declaration, document, durable, event, notice, peer, registry, seeking};
use hyssopfork_consensus::event as log_event;
use hyssopfork_wire::name;
use std::net;
use std::time::Duration;

/// Time at the start of a leader's term in which it waits for as many voters as the loss of some
/// needs, before it acknowledges anything: at the first start they join within a second.
const GATHERING: Duration = Duration::from_secs(3);

/// Ticket of proposals that no call waits for.
const UNTRACKED: u64 = 0;

impl Core {
    pub(super) fn called(&mut self, call: u64, request: event::Request) {
        match request {
            event::Request::Greet(hello) => self.greet(call, &hello),
            event::Request::Watch(watch) => self.watch(call, *watch),
            event::Request::Register(registration) => self.register(call, registration, true),
            event::Request::Relayed(registration) => self.register(call, registration, false),
            event::Request::Read => self.read(call),
            event::Request::Declare(declaration, document) => {
                self.declare(call, &declaration, document);
            }
            event::Request::TakeOut(zone) => {
                self.commit(call, vec![durable::Command::TakeOut(zone)])
            }
            event::Request::BringIn(zone) => {
                self.commit(call, vec![durable::Command::BringIn(zone)])
            }
        }
    }

    fn greet(&mut self, call: u64, hello: &peer::Hello) {
        if hello.has_folder {
            self.learn([hello.address]);
        }
        self.founding.note(hello);
        let founder = self.founding.founder(self.now);
        // A leader that can't show a quorum names nobody: its followers look for the next one.
        let own = self.leads().then_some(self.settings.address);
        let leader = own.or_else(|| self.elsewhere());
        let greeting = seeking::greeting(&self.seeking, leader, founder);
        self.reply(call, action::Reply::Greeting(greeting));
    }

    fn read(&mut self, call: u64) {
        if !self.leads() {
            let leader = self.elsewhere();
            return self.reply(call, action::Reply::Elsewhere(leader));
        }
        let reply = match &self.state.document {
            Some(document) => action::Reply::Document(document.clone()),
            None => action::Reply::Unknown,
        };
        self.reply(call, reply);
    }

    /// Declares. A version that is not higher changes nothing, and is acknowledged: it was accepted
    /// before, or another overtook it.
    fn declare(
        &mut self,
        call: u64,
        declaration: &declaration::Declaration,
        document: document::Document,
    ) {
        debug_assert_eq!(declaration.version, document.version);
        if self.leads() && document.version <= self.state.version() {
            return self.reply(call, action::Reply::Done);
        }
        if document.bytes.len() > document::MAX_BYTES {
            return self.reply(call, action::Reply::TooLarge);
        }
        self.commit(call, durable::Command::declare(document));
    }

    /// Has commands replicated; the call is answered once the last of them will last.
    fn commit(&mut self, call: u64, commands: Vec<durable::Command>) {
        if !self.leads() {
            let leader = self.elsewhere();
            return self.reply(call, action::Reply::Elsewhere(leader));
        }
        if !self.has_enough_voters() {
            return self.reply(call, action::Reply::Unknown);
        }
        let ticket = self.proposals.wait(self.now, call);
        let last = commands.len().saturating_sub(1);
        for (place, command) in commands.into_iter().enumerate() {
            let ticket = if place == last { ticket } else { UNTRACKED };
            self.tell(log_event::Event::Propose { ticket, command: command.encode() });
        }
    }

    /// Whether what is acknowledged now outlasts the loss of as many voters as is to be borne; after
    /// a while there are no more to wait for.
    fn has_enough_voters(&self) -> bool {
        let voters = self.node.as_ref().map_or(0, |node| node.voters().len());
        let since = self.leadership.as_ref().map(|it| self.now.since(it.watches.started));
        voters >= self.settings.enough_voters() || since.is_some_and(|since| since >= GATHERING)
    }

    /// Takes an upstream's call, or passes it on to the leader.
    fn register(&mut self, call: u64, registration: peer::Registration, relays: bool) {
        if self.leads() && self.leadership.is_some() {
            return self.take_registration(call, registration);
        }
        match self.elsewhere().filter(|_| relays) {
            Some(to) => self.act(action::Action::Relay { call, to, registration }),
            None => self.reply(call, action::Reply::Elsewhere(None)),
        }
    }

    fn take_registration(&mut self, call: u64, registration: peer::Registration) {
        let now = self.now;
        let Some(leadership) = &mut self.leadership else { return };
        let registry = &mut leadership.registry;
        let (news, leaves, told) = match registration {
            peer::Registration::Announced(told) => {
                let (instance, leaves) = (told.instance.clone(), told.draining);
                let taken = registry.announce(now, *told);
                let record = registry.get(&instance);
                let notice = record.and_then(|record| notice::Notice::of_call(taken, record));
                (taken == registry::Taken::News, leaves, notice)
            }
            peer::Registration::Departed(instance) => {
                let news = registry.depart(now, &instance);
                (news, true, news.then_some(notice::Notice::Departed(instance)))
            }
        };
        leadership.dirty |= news;
        if news && leaves {
            leadership.watches.hold_registration(now, call);
        } else {
            let own = self.settings.address;
            self.reply(call, action::Reply::Registered(own));
        }
        if let Some(told) = told {
            self.notice(told);
        }
    }

    pub(super) fn relayed(&mut self, call: u64, taken: bool) {
        let reply = match self.elsewhere().filter(|_| taken) {
            Some(leader) => action::Reply::Registered(leader),
            None => action::Reply::Elsewhere(None),
        };
        self.reply(call, reply);
    }

    fn watch(&mut self, call: u64, watch: peer::Watch) {
        let leads = self.leads();
        let now = self.now;
        let Some(leadership) = self.leadership.as_mut().filter(|_| leads) else {
            let leader = self.elsewhere();
            return self.reply(call, action::Reply::Watched(peer::Answer::NotLeader(leader)));
        };
        if let Some(known) = watch.known {
            for upstream in known.upstreams {
                leadership.dirty |= leadership.registry.adopt(now, upstream);
            }
            for (name, group) in known.groups {
                leadership.groups.adopt_from_follower(now, &name, group, &leadership.registry);
                leadership.dirty = true;
            }
            leadership.watches.learn(known.entries);
            leadership.ledger.learn(now, known.quarantine);
            leadership.watches.on_learned(watch.from, watch.have);
        }
        leadership.watches.hold(now, call, watch.from, watch.have, watch.document);
        self.observe(watch.from, &watch.evidence);
    }

    pub(super) fn seen(&mut self, from: net::SocketAddr, evidence: peer::Evidence) {
        if let Some(leadership) = &mut self.leadership {
            leadership.dirty = true;
            return self.observe(from, &evidence);
        }
        if from != self.settings.address {
            return;
        }
        if evidence.is_urgent()
            && let Some(leader) = self.elsewhere()
        {
            self.act(action::Action::Tell(leader, evidence.clone()));
        }
        self.evidence = evidence;
    }

    pub(super) fn abandoned(&mut self, call: u64) {
        if let Some(leadership) = &mut self.leadership {
            leadership.watches.abandon(call);
        }
    }

    pub(super) fn ordered(&mut self, ticket: u64, outcome: crate::groups::order::Outcome) {
        let Some(leadership) = &mut self.leadership else { return };
        leadership.dirty = true;
        let commands =
            leadership.groups.on_order_outcome(ticket, outcome, &mut leadership.registry);
        self.command(commands);
    }

    pub(super) fn vouched(
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
        self.command(commands);
    }

    pub(super) fn reported(
        &mut self,
        instance: &name::Instance,
        report: crate::groups::order::Report,
    ) {
        let now = self.now;
        let Some(leadership) = &mut self.leadership else { return };
        leadership.dirty = true;
        let commands =
            leadership.groups.on_report(now, instance, &report, &mut leadership.registry);
        self.command(commands);
    }

    pub(super) fn probed(
        &mut self,
        instance: &name::Instance,
        sign: crate::groups::order::Liveness,
    ) {
        let now = self.now;
        let Some(leadership) = &mut self.leadership else { return };
        leadership.dirty = true;
        let commands =
            leadership.groups.on_probe_result(now, instance, sign, &mut leadership.registry);
        self.command(commands);
    }
}
