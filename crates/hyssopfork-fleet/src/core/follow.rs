//! Following the leader: discovery, watches and updates of the local view.

use super::Core;
use crate::{action, declaration, delta, document, notice, peer, view};
use hyssopfork_consensus::{event as log_event, node};
use hyssopfork_wire::clock;
use std::mem;
use std::net;
use std::sync::Arc;
use std::time::Duration;

/// Longest time for which a process doesn't introduce itself, since it is not known whether its folder has
/// had a seat. The first message of a leader tells; without one for longer, the process would count as one
/// of an older release.
const SEAT_HISTORY_TIMEOUT: Duration = Duration::from_secs(3);

impl Core {
    /// Greets other processes, and keeps a watch open at the leader.
    pub(super) fn follow_leader(&mut self) {
        self.update_log_leader();
        let hello = self.hello();
        let greeted = self.discovery.due_greetings(self.now, self.settings.has_folder);
        for to in &greeted {
            self.push_action(action::Action::Greet(*to, hello.clone()));
        }
        self.introduce(greeted);
        self.watch_leader();
    }

    /// Introduces this process to those that it greets and to the leader.
    fn introduce(&mut self, greeted: Vec<net::SocketAddr>) {
        let had_seat = self.node.as_ref().map_or(Some(false), node::Node::has_had_seat);
        self.had_seat |= had_seat == Some(true);
        let is_expected = self.now.since(self.folder_opened_at) < SEAT_HISTORY_TIMEOUT;
        if had_seat.is_none() && !self.had_seat && is_expected {
            return;
        }
        let Some(introduction) = self.settings.introduction(self.had_seat) else { return };
        let leader = self.discovery.due_introduction(self.now);
        let leader = leader.filter(|leader| !greeted.contains(leader));
        for to in greeted.into_iter().chain(leader) {
            self.push_action(action::Action::Introduce(to, introduction.clone()));
        }
    }

    fn watch_leader(&mut self) {
        let Some((leader, sends_state)) = self.discovery.start_watch(self.now) else { return };
        let watch = peer::Watch {
            from: self.settings.address,
            has_folder: self.settings.has_folder,
            stamp: self.local_view.stamp,
            document_progress: self.local_view.partial.progress(self.local_view.version()),
            known: sends_state.then(|| self.known_state()),
            evidence: mem::take(&mut self.evidence),
            heartbeats: self.heartbeats.take(self.now),
        };
        self.push_action(action::Action::Watch(leader, Box::new(watch)));
    }

    fn known_state(&self) -> peer::KnownState {
        peer::KnownState {
            upstreams: self.local_view.upstreams.values().cloned().collect(),
            groups: self.local_view.groups.clone().into_iter().collect(),
            entries: self.local_view.entries.keys().copied().collect(),
            quarantine: self.local_view.quarantine.clone().into_iter().collect(),
        }
    }

    /// Takes over the leader that the local consensus node knows, each time it changes.
    fn update_log_leader(&mut self) {
        let Some(node) = &self.node else { return };
        let leader = node.leader().and_then(|voter| super::address_of(&voter.instance));
        let leads = node.is_leader();
        if leader != self.node_leader {
            self.node_leader = leader;
            self.discovery.set_leader(leader);
        }
        if !leads && self.discovery.leader() == Some(self.settings.address) {
            self.discovery.forget_leader(self.settings.address, None);
        }
    }

    pub(super) fn on_greeting(&mut self, greeting: &peer::Greeting) {
        self.learn_controls(greeting.controls.iter().copied());
        self.discovery.suggest_leader(greeting.leader);
        if greeting.founder == Some(self.settings.address) {
            self.bootstrap_log();
        }
    }

    /// Records that a process stated that it has a data folder.
    pub(super) fn confirm_control(&mut self, control: net::SocketAddr) {
        if self.discovery.confirm_control(self.now, control) {
            self.update_listed_voters();
        }
    }

    /// Records a process's introduction.
    pub(super) fn on_introduced(&mut self, introduction: peer::Introduction) {
        if self.discovery.record_introduction(self.now, introduction) {
            self.update_listed_voters();
        }
    }

    /// Adds processes with a data folder that another process named.
    pub(super) fn learn_controls(&mut self, controls: impl IntoIterator<Item = net::SocketAddr>) {
        if self.discovery.learn_controls(controls) {
            self.update_listed_voters();
        }
    }

    fn update_listed_voters(&mut self) {
        let listed = self.listed_instances();
        self.push_log_event(log_event::Event::SetListedVoters(listed));
        self.update_learners();
    }

    pub(super) fn on_watch_answered(
        &mut self,
        from: net::SocketAddr,
        answer: Option<peer::Answer>,
    ) {
        let sent_at = self.discovery.watch_sent_at(from);
        if matches!(answer, Some(peer::Answer::Updated { .. } | peer::Answer::Delayed { .. })) {
            self.refused_reads.on_contact(self.now, from);
        }
        match answer {
            Some(peer::Answer::Updated { delta, part, newest_version }) => {
                self.on_confirmed(sent_at, newest_version);
                self.on_update(from, &delta, part);
            }
            Some(peer::Answer::Delayed { part, newest_version }) => {
                self.on_confirmed(sent_at, newest_version);
                self.heartbeats.on_leader_heard(self.now);
                self.discovery.on_delayed(from);
                let document = part.and_then(|part| self.receive_part(part));
                let declaration = self.install_document(document);
                let declaration = declaration.and_then(|it| self.saved_view.hold_declaration(it));
                if let Some(declaration) = declaration {
                    self.push_action(action::Action::Declare(declaration));
                }
            }
            Some(peer::Answer::StateRequested) => self.discovery.on_state_requested(from),
            Some(peer::Answer::NotLeader(hint)) => self.discovery.forget_leader(from, hint),
            None => {
                self.push_notice(notice::Notice::LeaderLost(from));
                self.discovery.forget_leader(from, None);
            }
        }
        self.watch_leader();
    }

    /// Handles the newest version of an answer to the watch that was sent at `sent_at`. The leader
    /// stated it after that time, however late the answer arrives.
    fn on_confirmed(&mut self, sent_at: Option<clock::Instant>, newest_version: u64) {
        if let Some(sent_at) = sent_at {
            self.confirm(sent_at, newest_version);
        }
    }

    pub(super) fn confirm(&mut self, confirmed_at: clock::Instant, newest_version: u64) {
        self.push_action(action::Action::Confirm { confirmed_at, newest_version });
    }

    fn on_update(
        &mut self,
        from: net::SocketAddr,
        delta: &delta::Delta,
        part: Option<document::Part>,
    ) {
        let update = match delta.decode(&self.local_view.upstreams) {
            Ok(update) => update,
            Err(error) => {
                self.push_notice(notice::Notice::UpdateDamaged(error.to_string()));
                self.local_view.stamp = view::Stamp::default();
                return self.discovery.on_delayed(from);
            }
        };
        if self.local_view.stamp.term != update.stamp.term {
            self.push_notice(notice::Notice::Following(from));
        }
        self.heartbeats.on_leader_heard(self.now);
        self.discovery.on_updated(from, &update);
        self.learn_controls(update.controls.iter().copied());
        let document = part.and_then(|part| self.receive_part(part));
        self.install_update(update, document);
    }

    /// Adds a part of a document and returns the document once it is complete.
    fn receive_part(&mut self, part: document::Part) -> Option<document::Document> {
        let encoding = self.local_view.partial.add(part)?;
        match encoding.decode(self.local_view.document.as_ref()) {
            Ok(document) => Some(document),
            Err(error) => {
                self.push_notice(notice::Notice::DocumentDamaged(error.to_string()));
                None
            }
        }
    }

    /// Takes over a document that is newer than the local one; returns its declaration.
    fn install_document(
        &mut self,
        document: Option<document::Document>,
    ) -> Option<Arc<declaration::Declaration>> {
        let document = document.filter(|it| it.version > self.local_view.version())?;
        let declaration = self.decode_declaration(&document);
        self.local_view.document = Some(document);
        declaration
    }

    /// Applies an update to the local view and passes it to this process's entry.
    ///
    /// A delayed answer of an earlier leader is dropped, since it would revert the view.
    pub(super) fn install_update(
        &mut self,
        update: view::Update,
        document: Option<document::Document>,
    ) {
        if update.stamp < self.local_view.stamp {
            return;
        }
        let held = self.saved_view.take_declaration();
        let declaration = self.install_document(document).or(held);
        if update.is_full {
            self.local_view.upstreams.clear();
            self.local_view.groups.clear();
            self.local_view.entries.clear();
            self.local_view.quarantine.clear();
        }
        self.local_view.stamp = update.stamp;
        self.local_view.plans = update.plans.clone();
        view::merge(&mut self.local_view.upstreams, update.upstreams.iter().cloned());
        if update.upstreams.iter().any(|(_, upstream)| upstream.is_none()) {
            self.heartbeats.retain(&self.local_view.upstreams);
        }
        view::merge(&mut self.local_view.groups, update.groups.iter().cloned());
        view::merge(&mut self.local_view.entries, update.entries.iter().copied());
        view::merge(&mut self.local_view.quarantine, update.quarantine.iter().copied());
        self.saved_view.on_update(&update);
        // The entry doesn't have the restored view that this update changes.
        let needs_full_view = self.saved_view.take_restored() && !update.is_full;
        let update = if needs_full_view { self.full_update(&update) } else { update };
        self.push_action(action::Action::Publish(Box::new(update), declaration));
    }
}
