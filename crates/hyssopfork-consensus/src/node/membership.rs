//! Membership changes, one voter at a time.
//!
//! One seat changes at a time, and a leader starts no change before it has committed the previous
//! change and an entry of its own term. Majorities of the voters before and after an addition or a
//! removal share a voter. Where quorums need not share one ([`quorum::is_joint_change`]), as after a
//! replacement, a decision needs a quorum of both lists until the change is committed. A lost folder
//! is replaced in two changes, with a vacant seat in between; replacing it in one would allow
//! {A, old B} and {C, new B} to be quorums at the same time.

use crate::node::{self, Node, formation, leader_state, progress};
use crate::notice;
use crate::{action, log, quorum, voters};
use hyssopfork_wire::{consensus, name};
use std::time::Duration;

/// Requests to join that a leader stores, one per instance.
const MAX_JOIN_REQUESTS: usize = 32;

/// Time after which a request to join that was not repeated gives way to that of another instance.
const JOIN_REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Entries by which a learner may lag when it is admitted.
const MAX_ADMISSION_LAG_ENTRIES: u64 = 64;

/// Time without a request to join after which a superseded instance is gone. One that was only down or
/// cut off would take the seat of its successor.
const SUPERSEDED_TIMEOUT: Duration = Duration::from_secs(120);

/// Maximum number of superseded instances in the log; the oldest gives way.
const MAX_SUPERSEDED: usize = 16;

/// Nonce of a probe, whose response belongs to no pre-vote.
const PROBE_NONCE: u64 = 0;

impl Node {
    /// Handles the request of a non-voter to join.
    pub(super) fn on_join_request(&mut self, from: consensus::Voter, relayed: bool) {
        if !self.is_leader() {
            self.relay_join_request(from, relayed);
            return;
        }
        let is_admissible = self.may_take_seat(&from.instance) || self.is_learner(&from.instance);
        let is_voter = self.log.voters().contains(&from);
        let is_own = from.instance == self.identity.instance;
        let Some((state, context)) = self.leader_state() else {
            return;
        };
        if is_voter || is_own {
            return;
        }
        let is_known = state.join_requests.contains_key(&from.instance);
        if !is_known && state.join_requests.len() >= MAX_JOIN_REQUESTS {
            state
                .join_requests
                .retain(|_, request| context.now.since(request.received_at) < JOIN_REQUEST_TIMEOUT);
            if state.join_requests.len() >= MAX_JOIN_REQUESTS {
                return;
            }
        }
        let voter = from.clone();
        let received_at = context.now;
        let request = leader_state::JoinRequest { voter, received_at, is_admissible };
        let previous = state.join_requests.insert(from.instance.clone(), request);
        let is_new =
            previous.is_none_or(|it| it.voter != from || it.is_admissible != is_admissible);
        state.track_voters(context);
        if is_admissible {
            state.track(&from, context);
        }
        if is_new {
            self.push_notice(match is_admissible {
                true => notice::Notice::CatchingUp(from),
                false => notice::Notice::JoinDeferred(from),
            });
        }
    }

    /// Relays a request to join to the leader: the sender knows the initial voters, and the leader
    /// may have been added since.
    fn relay_join_request(&mut self, from: consensus::Voter, relayed: bool) {
        let leader = self.leader.as_ref().filter(|_| !relayed);
        let Some(leader) = leader.filter(|leader| **leader != self.identity) else {
            return;
        };
        let to = leader.instance.clone();
        let message = consensus::Message::Join { relayed: true };
        self.actions.push(action::Action::Send(consensus::Packet { from, to, message }));
    }

    /// Requests the removal of this node's seat while its process is stopping. If the seat stayed, its
    /// replacement would enlarge the quorum until the leader had missed its answers for long. A
    /// superseded node states that it ends, so that nothing waits for it.
    pub(super) fn request_leave(&mut self) {
        let is_superseded = self.log.former_voters().superseded.contains(&self.identity.instance);
        if self.now < self.next_request_at || !self.is_voter() && !is_superseded {
            return;
        }
        self.next_request_at = self.now + formation::REQUEST_INTERVAL;
        let leader = self.leader.as_ref().filter(|leader| **leader != self.identity);
        if let Some(leader) = leader.map(|leader| leader.instance.clone()) {
            self.send(&leader, consensus::Message::Leave);
        }
    }

    pub(super) fn on_leave_request(&mut self, from: consensus::Voter) {
        let now = self.now;
        let is_voter = self.log.voters().contains(&from);
        let is_superseded = self.log.former_voters().superseded.contains(&from.instance);
        if let node::Role::Leader(state) = &mut self.role
            && (is_voter || is_superseded)
        {
            state.leave_requests.insert(from, now);
        }
    }

    pub(super) fn on_change_voters(&mut self, ticket: u64, change: voters::Change) {
        let (voters::Change::Add(instance)
        | voters::Change::Remove(instance)
        | voters::Change::Displace(instance)
        | voters::Change::Replace { to: instance, .. }) = &change;
        let instance = instance.clone();
        let accepted =
            self.is_change_allowed() && !self.resigned && self.try_change_voters(ticket, change);
        if !accepted {
            self.push_notice(notice::Notice::ChangeRejected(instance));
            self.reject_proposal(ticket);
        }
    }

    fn try_change_voters(&mut self, ticket: u64, change: voters::Change) -> bool {
        match change {
            voters::Change::Add(instance) => self.start_addition(ticket, &instance),
            voters::Change::Remove(instance) => {
                let former = self.log.former_voters().clone();
                self.remove_voter(ticket, &instance, former)
            }
            voters::Change::Displace(instance) => {
                let mut former = self.log.former_voters().clone();
                if !former.superseded.contains(&instance) {
                    former.displaced.insert(instance.clone());
                }
                self.remove_voter(ticket, &instance, former)
            }
            voters::Change::Replace { from, to } => self.replace_voter(ticket, &from, &to),
        }
    }

    fn replace_voter(&mut self, ticket: u64, from: &name::Instance, to: &name::Instance) -> bool {
        let node::Role::Leader(state) = &self.role else {
            return false;
        };
        let Some(learner) = state.join_requests.get(to).map(|request| request.voter.clone()) else {
            return false;
        };
        let mut voters = self.log.voters().to_vec();
        let Some(seat) = voters.iter_mut().find(|voter| voter.instance == *from) else {
            return false;
        };
        // One that leaves and is back later is no superseded instance: it may get a seat again.
        let is_responsive = self.is_responsive(state, seat) && !state.is_leaving(seat, self.now);
        let is_ready = self.find_seat(to).is_none() && self.is_ready_learner(state, &learner);
        *seat = learner;
        voters.sort();
        if !is_ready || !self.has_responsive_quorum(&voters) {
            return false;
        }
        let mut former = self.log.former_voters().clone();
        // A superseded instance that takes a silent seat is no successor: the silent one may be back.
        let is_successor = !former.superseded.contains(to);
        if former.superseded.contains(from) {
            former.absent.remove(from);
        } else if is_responsive || is_successor {
            former.superseded.push(from.clone());
            if let Some((state, context)) = self.leader_state() {
                state.superseded_at = context.now;
            }
            let surplus = former.superseded.len().saturating_sub(MAX_SUPERSEDED);
            let dropped: Vec<name::Instance> = former.superseded[..surplus].to_vec();
            former.retain_superseded(|instance| !dropped.contains(instance));
        } else {
            former.displaced.insert(from.clone());
        }
        self.append_membership(Some(ticket), voters, former);
        true
    }

    fn start_addition(&mut self, ticket: u64, instance: &name::Instance) -> bool {
        let has_seat = self.find_seat(instance).is_some();
        let Some((state, context)) = self.leader_state() else {
            return false;
        };
        let Some(request) = state.join_requests.get(instance) else {
            return false;
        };
        let voter = request.voter.clone();
        if has_seat || state.addition.is_some() {
            return false;
        }
        state.track(&voter, context);
        state.addition = Some(leader_state::Addition { ticket, voter });
        self.replicate();
        true
    }

    fn remove_voter(
        &mut self,
        ticket: u64,
        instance: &name::Instance,
        former: log::FormerVoters,
    ) -> bool {
        let mut voters = self.log.voters().to_vec();
        voters.retain(|voter| voter.instance != *instance);
        if voters.len() == self.log.voters().len() || !self.has_responsive_quorum(&voters) {
            return false;
        }
        if let Some((state, _)) = self.leader_state() {
            state.join_requests.remove(instance);
        }
        self.append_membership(Some(ticket), voters, former);
        true
    }

    /// Whether a quorum of `voters` responded recently. Removing a live voter while others are dead
    /// could otherwise leave voters that cannot commit anything, not even a further change.
    fn has_responsive_quorum(&self, voters: &[consensus::Voter]) -> bool {
        let node::Role::Leader(state) = &self.role else {
            return false;
        };
        let is_responsive = |voter: &consensus::Voter| self.is_responsive(state, voter);
        let quorums = quorum::Quorums { voters, previous: &[], lost: &state.lost };
        quorums.value(is_responsive)
    }

    fn is_responsive(&self, state: &leader_state::State, voter: &consensus::Voter) -> bool {
        let progress = state.progress.get(voter);
        *voter == self.identity || progress.is_some_and(|progress| !self.is_silent(progress))
    }

    fn is_silent(&self, progress: &progress::Progress) -> bool {
        self.now.since(progress.last_contact) >= self.settings.election_timeout
    }

    /// Whether a change of the voters may start now.
    fn is_change_allowed(&self) -> bool {
        self.is_leader()
            && self.has_committed_in_term()
            && self.log.voters_changed_at() <= self.committed
    }

    /// Vacates the seats whose folders were lost before the term began, so that a later leader need not
    /// learn it again.
    pub(super) fn vacate_lost_seats(&mut self) {
        let node::Role::Leader(state) = &self.role else {
            return;
        };
        let mut voters = self.log.voters().to_vec();
        let lost = voters.iter_mut().find(|voter| state.lost.contains(voter));
        let Some(lost) = lost.filter(|_| self.is_change_allowed() && !self.resigned) else {
            return;
        };
        lost.folder = consensus::VACANT;
        self.append_voters(None, voters);
    }

    /// Repeats the list of voters once their last change is committed. A process that starts with both
    /// entries in its log knows from the second that the first is committed, and needs no quorum of the
    /// voters before it, which may be gone.
    pub(super) fn confirm_voters(&mut self) {
        let log = &self.log;
        let previous = log.previous_voters();
        let is_confirmed =
            previous.is_empty() || previous == log.voters() || !log.is_change_joint();
        if is_confirmed || !self.is_change_allowed() || !self.is_voter() || self.resigned {
            return;
        }
        let voters = log.voters().to_vec();
        self.append_voters(None, voters);
    }

    /// Removes superseded instances that are gone from the log: their addresses may be used again.
    pub(super) fn forget_superseded(&mut self) {
        let node::Role::Leader(state) = &self.role else {
            return;
        };
        let timeout = SUPERSEDED_TIMEOUT;
        // An instance requests to join only once it knows that it has no seat.
        let is_expected = self.now.since(state.superseded_at) < timeout;
        if is_expected || !self.is_change_allowed() || !self.is_voter() || self.resigned {
            return;
        }
        let mut former = self.log.former_voters().clone();
        former.retain_superseded(|instance| {
            let request = state.join_requests.get(instance);
            let is_present = request.is_some_and(|it| self.now.since(it.received_at) < timeout);
            is_present || self.find_seat(instance).is_some()
        });
        if former != *self.log.former_voters() {
            let voters = self.log.voters().to_vec();
            self.append_membership(None, voters, former);
        }
    }

    /// Sends a message to each former voter that may run and has not answered, so that the owner learns
    /// whether its address refuses connections.
    pub(super) fn probe_former_voters(&mut self) {
        let now = self.now;
        let Some((state, _)) = self.leader_state() else { return };
        if now < state.next_probe_at {
            return;
        }
        state.next_probe_at = now + formation::REQUEST_INTERVAL;
        let former = self.log.former_voters();
        let present = former.superseded.iter().filter(|it| !former.absent.contains(*it));
        let is_silent = |instance: &&name::Instance| {
            let answer_age = self.answer_age(instance, now);
            answer_age.is_none_or(|age| age >= self.settings.election_timeout)
        };
        let silent = present.chain(&former.displaced).filter(|it| self.find_seat(it).is_none());
        for instance in silent.filter(is_silent).cloned().collect::<Vec<_>>() {
            self.send(&instance, consensus::Message::FolderRequest { nonce: PROBE_NONCE });
        }
    }

    /// Records which of the former voters are absent, unless another change is in progress. Displaced
    /// instances that are absent are forgotten.
    pub(super) fn on_set_absent(&mut self, absent: &[name::Instance]) {
        if !self.is_change_allowed() || !self.is_voter() || self.resigned {
            return;
        }
        let mut former = self.log.former_voters().clone();
        let is_absent = |it: &&name::Instance| absent.contains(it) && self.find_seat(it).is_none();
        former.absent = former.superseded.iter().filter(is_absent).cloned().collect();
        former.displaced.retain(|instance| !absent.contains(instance));
        if former != *self.log.former_voters() {
            let voters = self.log.voters().to_vec();
            self.append_membership(None, voters, former);
        }
    }

    /// Starts the next step of admitting a learner that has caught up.
    pub(super) fn admit_ready_learner(&mut self) {
        if !self.is_change_allowed() || self.resigned {
            return;
        }
        let node::Role::Leader(state) = &self.role else {
            return;
        };
        let is_ready = |voter: &&consensus::Voter| {
            let has_addition = state.addition.as_ref().is_some_and(|it| it.voter == **voter);
            (has_addition || self.may_take_seat(&voter.instance))
                && self.is_ready_learner(state, voter)
        };
        let Some(learner) = state.progress.keys().find(is_ready).cloned() else {
            return;
        };
        self.update_seat(learner);
    }

    /// Whether `voter` is no voter, requested to join, and has caught up.
    pub(super) fn is_ready_learner(
        &self,
        state: &leader_state::State,
        voter: &consensus::Voter,
    ) -> bool {
        let progress = state.progress.get(voter);
        !self.log.voters().contains(voter)
            && state.has_requested_to_join(voter)
            && progress.is_some_and(|progress| self.is_caught_up(progress))
    }

    /// Whether a folder of `instance` gets a seat without a request of the owner: the seat of its
    /// instance, or a further one.
    fn may_take_seat(&self, instance: &name::Instance) -> bool {
        let count = self.log.voters().len();
        let is_learner = self.is_learner(instance) && count >= self.settings.min_voters;
        let has_room = count < self.settings.max_voters;
        self.find_seat(instance).is_some() || has_room && self.is_listed(instance) && !is_learner
    }

    /// Whether `instance` gets no seat by itself while there are enough voters.
    fn is_learner(&self, instance: &name::Instance) -> bool {
        let learners = &self.settings.learners;
        self.is_listed(instance)
            && (learners.contains(instance)
                || self.log.former_voters().superseded.contains(instance))
    }

    fn is_caught_up(&self, progress: &progress::Progress) -> bool {
        let lag = self.log.last().index.0 - progress.matched.0;
        // A late response to an earlier request of a folder that was lost since answers no round.
        let has_answered = progress.lease_start.is_some() && !self.is_silent(progress);
        lag <= MAX_ADMISSION_LAG_ENTRIES && progress.matched.0 > 0 && has_answered
    }

    /// Vacates the seat of the learner's instance, fills it if vacant, or adds a seat.
    fn update_seat(&mut self, learner: consensus::Voter) {
        let mut voters = self.log.voters().to_vec();
        let seat = voters.iter_mut().find(|voter| voter.instance == learner.instance);
        match seat {
            Some(voter) if voter.folder == consensus::VACANT => *voter = learner,
            Some(voter) => voter.folder = consensus::VACANT,
            None => {
                self.add_seat(learner, voters);
                return;
            }
        }
        self.append_voters(None, voters);
    }

    /// Adds a seat for an instance that an operator adds or that is a listed voter.
    fn add_seat(&mut self, learner: consensus::Voter, mut voters: Vec<consensus::Voter>) {
        let has_room = voters.len() < self.settings.max_voters;
        let is_listed = has_room && self.is_listed(&learner.instance);
        let node::Role::Leader(state) = &mut self.role else {
            return;
        };
        let addition = state.addition.take_if(|addition| addition.voter == learner);
        if addition.is_none() && !is_listed {
            state.progress.remove(&learner);
            return;
        }
        voters.push(learner);
        voters.sort();
        self.append_voters(addition.map(|addition| addition.ticket), voters);
    }

    fn is_listed(&self, instance: &name::Instance) -> bool {
        self.settings.voters.contains(instance)
    }

    fn append_voters(&mut self, ticket: Option<u64>, voters: Vec<consensus::Voter>) {
        let former = self.log.former_voters().clone();
        self.append_membership(ticket, voters, former);
    }

    fn append_membership(
        &mut self,
        ticket: Option<u64>,
        voters: Vec<consensus::Voter>,
        mut former: log::FormerVoters,
    ) {
        let has_seat = |it: &name::Instance| voters.iter().any(|voter| voter.instance == *it);
        former.displaced.retain(|instance| !has_seat(instance));
        let list = log::membership_list(voters, &former);
        let payload = consensus::Payload::Voters(list);
        match ticket {
            Some(ticket) => self.append_proposal(ticket, payload),
            None => {
                self.append(payload);
            }
        }
        if let Some((state, context)) = self.leader_state() {
            state.track_voters(context);
        }
        self.replicate();
    }

    pub(super) fn find_seat(&self, instance: &name::Instance) -> Option<&consensus::Voter> {
        self.log.voters().iter().find(|voter| voter.instance == *instance)
    }
}
