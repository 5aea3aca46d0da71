//! The first start: from blank folders to a list of voters.
//!
//! Where the owner names the folder that forms the log ([`node::Formation::Named`]), it forms one
//! of which it is the only voter, and lets the others in one by one. Otherwise settings name instances; votes and acknowledgements belong to folders. The first of the listed
//! instances alone forms the log, once every listed instance has answered that its folder has
//! never written anything. A folder that was lost while another remembers anything therefore never
//! forms a log: it asks to join.

use crate::node::{self, Node};
use crate::{log, notice, write};
use hyssopfork_wire::{consensus, name, number};
use std::collections;
use std::time::Duration;

/// Time between requests to join or to form.
const ASK: Duration = Duration::from_millis(250);

impl Node {
    /// A node that isn't a voter asks to form the log or to be let in.
    pub(super) fn tick_outsider(&mut self) {
        if self.now < self.ask_at {
            return;
        }
        self.ask_at = self.now + ASK;
        if self.resigned {
            return;
        }
        if self.may_form() {
            self.ask_to_form();
        }
        if !self.is_voter() {
            self.ask_to_join();
        }
    }

    fn may_form(&self) -> bool {
        self.settings.formation == node::Formation::Listed
            && self.is_blank()
            && self.first_instances().first() == Some(&self.identity.instance)
    }

    /// Whether the folder has never written anything.
    pub fn is_blank(&self) -> bool {
        self.ballot == write::Ballot::default()
            && self.log.snapshot().is_none()
            && self.log.last().index.0 == 0
    }

    /// The listed instances in order of name, each once.
    fn first_instances(&self) -> Vec<name::Instance> {
        let mut instances = self.settings.voters.clone();
        instances.sort();
        instances.dedup();
        instances
    }

    fn ask_to_form(&mut self) {
        let instances = self.first_instances();
        for instance in &instances {
            if *instance != self.identity.instance {
                let message = consensus::Message::Form { instances: instances.clone() };
                self.send(instance, message);
            }
        }
        self.form(&instances);
    }

    pub(super) fn ask_to_join(&mut self) {
        let seats = self.log.voters().iter().map(|voter| voter.instance.clone());
        let mut instances: collections::BTreeSet<_> = seats.collect();
        instances.extend(self.settings.voters.iter().cloned());
        instances.remove(&self.identity.instance);
        for instance in instances {
            self.send(&instance, consensus::Message::Join { relayed: false });
        }
    }

    pub(super) fn asked_to_form(&mut self, from: consensus::Voter, instances: Vec<name::Instance>) {
        if !self.is_blank() {
            return;
        }
        if instances != self.first_instances() {
            self.list_differs(from);
            return;
        }
        self.send(&from.instance, consensus::Message::Blank { folder: from.folder });
    }

    /// Tells it once of each asker, which asks several times a second.
    fn list_differs(&mut self, asker: consensus::Voter) {
        if self.differing.as_ref() == Some(&asker) {
            return;
        }
        self.differing = Some(asker.clone());
        self.notice(notice::Notice::ListDiffers(asker.instance));
    }

    pub(super) fn found_blank(&mut self, from: consensus::Voter, folder: u64) {
        if folder != self.identity.folder || !self.may_form() {
            return;
        }
        self.blank.insert(from.instance.clone(), from);
        self.form(&self.first_instances());
    }

    /// Forms the log if every instance is known to be blank.
    fn form(&mut self, instances: &[name::Instance]) {
        self.blank.insert(self.identity.instance.clone(), self.identity.clone());
        let voters = instances.iter().filter_map(|instance| self.blank.get(instance).cloned());
        let voters: Vec<consensus::Voter> = voters.collect();
        if voters.len() < instances.len() {
            return;
        }
        self.form_with(voters);
        self.postpone_election();
    }

    /// Forms the log with this folder as its only voter. Nobody else can vote, so it stands for
    /// election at once.
    pub(super) fn form_alone(&mut self) {
        if self.is_blank() {
            self.form_with(vec![self.identity.clone()]);
            self.deadline = self.now;
        }
    }

    fn form_with(&mut self, voters: Vec<consensus::Voter>) {
        let (index, term) = (number::Index(0), number::Term(0));
        let snapshot = write::Snapshot { index, term, voters: voters.clone(), data: Vec::new() };
        self.log = log::Log::new(Some(snapshot.clone()), Vec::new());
        self.writing().snapshot = Some(snapshot);
        self.notice(notice::Notice::Formed(voters));
    }
}
