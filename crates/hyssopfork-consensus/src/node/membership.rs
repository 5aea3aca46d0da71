//! Changes of the voters.
//!
//! One seat changes at a time, and a leader changes none before it has committed an entry of its
//! own term and the last change: any quorum of the old voters then shares a member with any quorum
//! of the new ones. A folder that was lost is replaced in two such changes, by way of a vacant
//! seat; one that swaps it at once would let {A, old B} and {C, new B} be quorums at the same time.

use crate::node::{self, Node, lead, progress};
use crate::notice;
use crate::{action, change};
use hyssopfork_wire::{consensus, name};

/// Folders of other instances that a leader remembers to have asked to join.
const JOINER_LIMIT: usize = 32;

/// Entries that a learner may lack when it is admitted.
const LAG_LIMIT: u64 = 64;

impl Node {
    /// A folder that is not a voter's asks to be let in.
    pub(super) fn asked_to_join(&mut self, from: consensus::Voter, relayed: bool) {
        if !self.is_leader() {
            self.relay_join(from, relayed);
            return;
        }
        let wanted = self.seat(&from.instance).is_some() || self.is_listed(&from.instance);
        let known = self.log.voters().contains(&from);
        let own = from.instance == self.identity.instance;
        let Some((lead, context)) = self.leading() else {
            return;
        };
        let full = lead.joiners.len() >= JOINER_LIMIT;
        if known || own || full && !lead.joiners.contains_key(&from.instance) {
            return;
        }
        let news = lead.joiners.get(&from.instance) != Some(&from);
        lead.joiners.insert(from.instance.clone(), from.clone());
        lead.follow_voters(context);
        if wanted {
            lead.watch(&from, context);
        }
        if wanted && news {
            self.notice(notice::Notice::CatchingUp(from));
        }
    }

    /// Passes a request to join on: the asker knows the first voters, and the leader may be one
    /// that was added since.
    fn relay_join(&mut self, from: consensus::Voter, relayed: bool) {
        let leader = self.leader.as_ref().filter(|_| !relayed);
        let Some(leader) = leader.filter(|leader| **leader != self.identity) else {
            return;
        };
        let to = leader.instance.clone();
        let message = consensus::Message::Join { relayed: true };
        self.actions.push(action::Action::Send(consensus::Packet { from, to, message }));
    }

    pub(super) fn change_voters(&mut self, ticket: u64, change: change::Change) {
        let (change::Change::Add(instance) | change::Change::Remove(instance)) = &change;
        let instance = instance.clone();
        let done = self.may_change() && !self.resigned && self.try_change(ticket, change);
        if !done {
            self.notice(notice::Notice::ChangeRejected(instance));
            self.reject(ticket);
        }
    }

    fn try_change(&mut self, ticket: u64, change: change::Change) -> bool {
        match change {
            change::Change::Add(instance) => self.start_addition(ticket, &instance),
            change::Change::Remove(instance) => self.remove(ticket, &instance),
        }
    }

    fn start_addition(&mut self, ticket: u64, instance: &name::Instance) -> bool {
        let seated = self.seat(instance).is_some();
        let Some((lead, context)) = self.leading() else {
            return false;
        };
        let Some(voter) = lead.joiners.get(instance).cloned() else {
            return false;
        };
        if seated || lead.addition.is_some() {
            return false;
        }
        lead.watch(&voter, context);
        lead.addition = Some(lead::Addition { ticket, voter });
        self.replicate();
        true
    }

    fn remove(&mut self, ticket: u64, instance: &name::Instance) -> bool {
        let mut voters = self.log.voters().to_vec();
        voters.retain(|voter| voter.instance != *instance);
        if voters.len() == self.log.voters().len() || !self.quorum_answers(&voters) {
            return false;
        }
        self.set_voters(Some(ticket), voters);
        true
    }

    /// Whether a quorum of `voters` has answered lately. Removing a live voter beside dead ones
    /// would otherwise leave a list that can never commit anything, not even its own repair.
    fn quorum_answers(&self, voters: &[consensus::Voter]) -> bool {
        let node::Role::Leader(lead) = &self.role else {
            return false;
        };
        let answers = |voter: &&consensus::Voter| {
            let progress = lead.progress.get(voter);
            **voter == self.identity || progress.is_some_and(|progress| !self.is_silent(progress))
        };
        voters.iter().filter(answers).count() > voters.len() / 2
    }

    fn is_silent(&self, progress: &progress::Progress) -> bool {
        self.now.since(progress.contact) >= self.settings.election_timeout
    }

    /// Whether the voters may change now.
    fn may_change(&self) -> bool {
        self.is_leader()
            && self.has_committed_in_term()
            && self.log.voters_since() <= self.committed
    }

    /// Takes the next step of letting in a learner that has caught up.
    pub(super) fn admit(&mut self) {
        if !self.may_change() || self.resigned {
            return;
        }
        let node::Role::Leader(lead) = &self.role else {
            return;
        };
        let voters = self.log.voters();
        let ready = lead
            .progress
            .iter()
            .find(|(voter, progress)| !voters.contains(voter) && self.is_caught_up(progress));
        let Some((learner, _)) = ready else {
            return;
        };
        let learner = learner.clone();
        self.admit_learner(learner);
    }

    fn is_caught_up(&self, progress: &progress::Progress) -> bool {
        let lag = self.log.last().index.0 - progress.matched.0;
        lag <= LAG_LIMIT && progress.matched.0 > 0 && !self.is_silent(progress)
    }

    /// Vacates the seat of the learner's instance, fills a vacant one, or adds a seat.
    fn admit_learner(&mut self, learner: consensus::Voter) {
        let mut voters = self.log.voters().to_vec();
        let seat = voters.iter_mut().find(|voter| voter.instance == learner.instance);
        match seat {
            Some(voter) if voter.folder == consensus::VACANT => *voter = learner,
            Some(voter) => voter.folder = consensus::VACANT,
            None => {
                self.add(learner, voters);
                return;
            }
        }
        self.set_voters(None, voters);
    }

    /// Adds a seat for an instance that an operator adds, or that the settings list.
    fn add(&mut self, learner: consensus::Voter, mut voters: Vec<consensus::Voter>) {
        let listed = self.is_listed(&learner.instance);
        let node::Role::Leader(lead) = &mut self.role else {
            return;
        };
        let addition = lead.addition.take_if(|addition| addition.voter == learner);
        if addition.is_none() && !listed {
            lead.progress.remove(&learner);
            return;
        }
        voters.push(learner);
        voters.sort();
        self.set_voters(addition.map(|addition| addition.ticket), voters);
    }

    fn is_listed(&self, instance: &name::Instance) -> bool {
        self.settings.voters.contains(instance)
    }

    fn set_voters(&mut self, ticket: Option<u64>, voters: Vec<consensus::Voter>) {
        let payload = consensus::Payload::Voters(voters);
        match ticket {
            Some(ticket) => self.append_for(ticket, payload),
            None => {
                self.append(payload);
            }
        }
        if let Some((lead, context)) = self.leading() {
            lead.follow_voters(context);
        }
        self.replicate();
    }

    fn seat(&self, instance: &name::Instance) -> Option<&consensus::Voter> {
        self.log.voters().iter().find(|voter| voter.instance == *instance)
    }
}
