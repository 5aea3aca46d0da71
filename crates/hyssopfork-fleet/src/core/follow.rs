//! Finding the leader and following it.

use super::Core;
use crate::{action, document, notice, peer, view};
use hyssopfork_consensus::event as log_event;
use std::mem;
use std::net;

impl Core {
    /// Greets everybody while no leader is known, and asks the leader for what is new.
    pub(super) fn seek(&mut self) {
        self.follow_log();
        let hello = self.hello();
        for to in self.seeking.greet(self.now) {
            self.act(action::Action::Greet(to, hello.clone()));
        }
        self.ask();
    }

    fn ask(&mut self) {
        let Some((leader, tells)) = self.seeking.ask() else { return };
        let watch = peer::Watch {
            from: self.settings.address,
            have: self.copy.stamp,
            document: self.copy.partial.held(self.copy.version()),
            known: tells.then(|| self.known()),
            evidence: mem::take(&mut self.evidence),
        };
        self.act(action::Action::Watch(leader, Box::new(watch)));
    }

    fn known(&self) -> peer::Known {
        peer::Known {
            upstreams: self.copy.upstreams.values().cloned().collect(),
            groups: self.copy.groups.clone().into_iter().collect(),
            entries: self.copy.entries.keys().copied().collect(),
            quarantine: self.copy.quarantine.clone().into_iter().collect(),
        }
    }

    /// Takes in who leads, as this process's own part of the log knows, each time that changes.
    fn follow_log(&mut self) {
        let Some(node) = &self.node else { return };
        let leader = node.leader().and_then(|voter| super::address_of(&voter.instance));
        let leads = node.is_leader();
        if leader != self.node_leader {
            self.node_leader = leader;
            self.seeking.set_leader(leader);
        }
        if !leads && self.seeking.leader() == Some(self.settings.address) {
            self.seeking.lose(self.settings.address, None);
        }
    }

    pub(super) fn greeted(&mut self, greeting: &peer::Greeting) {
        self.learn(greeting.controls.iter().copied());
        self.seeking.hear(greeting.leader);
        if greeting.founder == Some(self.settings.address) {
            self.found();
        }
    }

    /// Learns of processes with a data folder, and tells the log of them.
    pub(super) fn learn(&mut self, controls: impl IntoIterator<Item = net::SocketAddr>) {
        if self.seeking.learn(controls) {
            let listed = self.listed();
            self.tell(log_event::Event::SetListedVoters(listed));
        }
    }

    pub(super) fn watched(&mut self, from: net::SocketAddr, answer: Option<peer::Answer>) {
        match answer {
            Some(peer::Answer::Updated(update)) => {
                if self.copy.stamp.term != update.stamp.term {
                    self.notice(notice::Notice::Following(from));
                }
                self.seeking.answered(from, &update);
                self.learn(update.controls.clone());
                let document = update.document.clone().and_then(|part| self.receive(part));
                self.publish(*update, document);
            }
            Some(peer::Answer::Inquiry) => self.seeking.on_inquiry(from),
            Some(peer::Answer::NotLeader(hint)) => self.seeking.lose(from, hint),
            None => {
                self.notice(notice::Notice::LeaderLost(from));
                self.seeking.lose(from, None);
            }
        }
        self.ask();
    }

    /// Takes a part of a document; gives the document once it is whole.
    fn receive(&mut self, part: document::Part) -> Option<document::Document> {
        let encoding = self.copy.partial.take(part)?;
        match encoding.decode(self.copy.document.as_ref()) {
            Ok(document) => Some(document),
            Err(error) => {
                self.notice(notice::Notice::DocumentDamaged(error.to_string()));
                None
            }
        }
    }

    /// Takes an update into this process's copy and hands it to its entry.
    ///
    /// An answer of an earlier leader that was held up would lead back; it is dropped.
    pub(super) fn publish(&mut self, update: view::Update, document: Option<document::Document>) {
        if update.stamp < self.copy.stamp {
            return;
        }
        let document = document.filter(|it| it.version > self.copy.version());
        let declaration = document.as_ref().and_then(|document| self.declared(document));
        self.copy.document = document.or(self.copy.document.take());
        if update.whole {
            self.copy.upstreams.clear();
            self.copy.groups.clear();
            self.copy.entries.clear();
            self.copy.quarantine.clear();
        }
        self.copy.stamp = update.stamp;
        view::merge(&mut self.copy.upstreams, update.upstreams.iter().cloned());
        view::merge(&mut self.copy.groups, update.groups.iter().cloned());
        view::merge(&mut self.copy.entries, update.entries.iter().copied());
        view::merge(&mut self.copy.quarantine, update.quarantine.iter().copied());
        self.act(action::Action::Publish(Box::new(update), declaration));
    }
}
