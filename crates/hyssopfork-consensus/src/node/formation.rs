//! Cluster bootstrap: formation of the log from blank data folders.
//!
//! If the owner designates the folder that forms the log ([`node::Formation::Designated`]), that node
//! forms a log with itself as the only voter and admits the others one by one.
//!
//! Otherwise the settings list instances, while votes and acknowledgements belong to folders. Only
//! the first of the listed instances forms the log, once every listed instance has responded that
//! its folder has never been written to. A node that lost its folder therefore never forms a log
//! while any other folder holds state; it requests to join.

use crate::node::{self, Node};
use crate::{log, notice, write};
use hyssopfork_wire::{consensus, name, number};
use std::collections;
use std::time::Duration;

/// Interval between requests to join, to leave or to form the log.
pub const REQUEST_INTERVAL: Duration = Duration::from_millis(250);

/// Interval between requests to join of an instance that is probably not needed as a voter.
const SURPLUS_REQUEST_INTERVAL: Duration = Duration::from_secs(2);

/// Rounds after which an instance is probably not needed, where more instances are listed than may be
/// voters.
const MAX_JOIN_ROUNDS: u32 = 8;

/// Instances that such an instance sends a round of requests to.
const SURPLUS_REQUESTS: usize = 4;

impl Node {
    /// Requests to form the log or to join it, while this node is not a voter.
    pub(super) fn on_nonvoter_tick(&mut self) {
        if self.now < self.next_request_at {
            return;
        }
        self.next_request_at = self.now + REQUEST_INTERVAL;
        if self.is_forming_instance() {
            self.request_formation();
        }
        if !self.is_voter() {
            self.request_join();
            if self.is_surplus() {
                self.next_request_at = self.now + SURPLUS_REQUEST_INTERVAL;
            }
        }
    }

    /// Whether more instances are listed than may be voters, and this one has asked in vain. If all of
    /// them went on asking all others, their requests would grow with the square of their number.
    fn is_surplus(&self) -> bool {
        self.settings.voters.len() > self.settings.max_voters && self.join_rounds >= MAX_JOIN_ROUNDS
    }

    fn is_forming_instance(&self) -> bool {
        self.settings.formation == node::Formation::Listed
            && self.is_blank()
            && self.listed_instances().first() == Some(&self.identity.instance)
    }

    /// Whether the data folder has never been written to.
    pub fn is_blank(&self) -> bool {
        self.ballot == write::Ballot::default()
            && self.log.snapshot().is_none()
            && self.log.last().index.0 == 0
    }

    /// Listed instances, sorted by name and without duplicates.
    fn listed_instances(&self) -> Vec<name::Instance> {
        let mut instances = self.settings.voters.clone();
        instances.sort();
        instances.dedup();
        instances
    }

    fn request_formation(&mut self) {
        let instances = self.listed_instances();
        for instance in &instances {
            if *instance != self.identity.instance {
                let message = consensus::Message::Form { instances: instances.clone() };
                self.send(instance, message);
            }
        }
        self.try_form_log(&instances);
    }

    pub(super) fn request_join(&mut self) {
        let seats = self.log.voters().iter().map(|voter| voter.instance.clone());
        let mut instances: collections::BTreeSet<_> = seats.collect();
        instances.extend(self.settings.voters.iter().cloned());
        instances.remove(&self.identity.instance);
        self.join_rounds = self.join_rounds.saturating_add(1);
        let mut instances: Vec<_> = instances.into_iter().collect();
        if self.settings.voters.len() > self.settings.max_voters && !instances.is_empty() {
            // Each node begins at another instance and goes on from round to round, so that every
            // instance, the leader included, is asked by some of them in each round.
            let own = &self.identity.instance;
            let next = instances.iter().position(|it| it > own).unwrap_or_default();
            let count = instances.len();
            instances.rotate_left((next + self.join_rounds as usize * SURPLUS_REQUESTS) % count);
            instances.truncate(SURPLUS_REQUESTS);
        }
        for instance in instances {
            self.send(&instance, consensus::Message::Join { relayed: false });
        }
    }

    pub(super) fn on_form_request(
        &mut self,
        from: consensus::Voter,
        instances: Vec<name::Instance>,
    ) {
        if !self.is_blank() {
            return;
        }
        if instances != self.listed_instances() {
            self.report_list_mismatch(from);
            return;
        }
        self.send(&from.instance, consensus::Message::Blank { folder: from.folder });
    }

    /// Logs a list mismatch once per sender, which repeats its request several times a second.
    fn report_list_mismatch(&mut self, sender: consensus::Voter) {
        if self.mismatched_voter.as_ref() == Some(&sender) {
            return;
        }
        self.mismatched_voter = Some(sender.clone());
        self.push_notice(notice::Notice::ListDiffers(sender.instance));
    }

    pub(super) fn on_blank_response(&mut self, from: consensus::Voter, folder: u64) {
        if folder != self.identity.folder || !self.is_forming_instance() {
            return;
        }
        self.blank_folders.insert(from.instance.clone(), from);
        self.try_form_log(&self.listed_instances());
    }

    /// Forms the log if all instances are known to be blank.
    fn try_form_log(&mut self, instances: &[name::Instance]) {
        self.blank_folders.insert(self.identity.instance.clone(), self.identity.clone());
        let voters =
            instances.iter().filter_map(|instance| self.blank_folders.get(instance).cloned());
        let voters: Vec<consensus::Voter> = voters.collect();
        if voters.len() < instances.len() {
            return;
        }
        self.form_log(voters);
        self.postpone_election();
    }

    /// Forms the log with this node as its only voter. No other node can vote, so the election is
    /// due at once.
    pub(super) fn on_form(&mut self) {
        if self.is_blank() {
            self.form_log(vec![self.identity.clone()]);
            self.election_at = self.now;
        }
    }

    fn form_log(&mut self, voters: Vec<consensus::Voter>) {
        let (index, term) = (number::Index(0), number::Term(0));
        let snapshot = write::Snapshot { index, term, voters: voters.clone(), data: Vec::new() };
        self.log = log::Log::new(Some(snapshot.clone()), Vec::new());
        self.pending_write_mut().snapshot = Some(snapshot);
        self.push_notice(notice::Notice::Formed(voters));
    }
}
