//! Elections: who votes for whom, and when.

use crate::node::{self, Node, leader_state};
use crate::{log, notice, write};
use hyssopfork_wire::{clock, consensus, number};
use rand::RngExt;
use std::collections;
use std::time::Duration;

/// A stand for election.
#[derive(Debug)]
pub struct Candidacy {
    /// Whether it only asks who would vote for it.
    ///
    /// A node that was cut off would otherwise come back with a newer term and depose a leader
    /// that a quorum still hears: callers would see an interruption for each flap of a link.
    pre: bool,
    /// Voters that granted; the candidate's own once its ballot is synced.
    votes: collections::BTreeSet<consensus::Voter>,
    /// Mark of the candidate's own ballot.
    ballot_write: u64,
}

impl Node {
    /// Picks the next time to stand for election.
    pub(super) fn postpone_election(&mut self) {
        let spread = self.settings.election_spread.as_micros() as u64;
        let extra = Duration::from_micros(self.rng.random_range(0..=spread));
        self.election_at = self.now + self.settings.election_timeout + extra;
    }

    /// Whether this node may stand: it is a voter, or its own removal is not committed yet.
    ///
    /// The others may need its vote, which they can't get, as its log is longer by that removal. It
    /// then leads without counting itself, until the removal is committed.
    pub(super) fn is_eligible(&self) -> bool {
        let uncommitted = self.log.voters_changed_at() > self.committed;
        self.is_voter() || uncommitted && self.log.previous_voters().contains(&self.identity)
    }

    pub(super) fn on_voter_tick(&mut self) {
        if self.now < self.election_at || self.resigned {
            return;
        }
        self.start_candidacy(true);
        // Its own list may be one that lost: a folder whose admission was never committed believes
        // to have a seat, nobody sends to it, and the seat would stay vacant.
        self.request_join();
    }

    /// Whether votes are withheld.
    ///
    /// A leader's quorum lease rests on a quorum whose members vote for nobody else until
    /// [`node::Settings::election_timeout`] after they last heard from it. A process that has just
    /// started doesn't know whom it heard before, so it withholds its vote as long.
    fn is_vote_withheld(&self) -> bool {
        let since = |instant: clock::Instant| self.now.since(instant);
        let timeout = self.settings.election_timeout;
        let hears = self.leader_heard_at.is_some_and(|heard| since(heard) < timeout);
        self.is_leader() || hears || since(self.started_at) < timeout
    }

    /// Stands for election, or (`pre`) asks whether it would be elected.
    fn start_candidacy(&mut self, pre: bool) {
        self.become_follower();
        let mut term = self.ballot.term.next();
        let votes = if pre { [self.identity.clone()].into() } else { collections::BTreeSet::new() };
        if !pre {
            let vote = Some(self.identity.clone());
            self.set_ballot(write::Ballot { term, vote });
            self.leader = None;
            self.leader_heard_at = None;
            term = self.ballot.term;
        }
        let number = self.newest_write();
        self.role = node::Role::Candidate(Candidacy { pre, votes, ballot_write: number });
        self.request_votes(pre, term);
        self.count_votes();
    }

    fn request_votes(&mut self, pre: bool, term: number::Term) {
        let last = self.log.last();
        for voter in self.other_voters() {
            let message = consensus::Message::Vote {
                pre,
                term,
                last_index: last.index,
                last_term: last.term,
            };
            self.send_after_sync(&voter.instance, message);
        }
    }

    /// Every voter but this one, without vacant seats.
    pub(super) fn other_voters(&self) -> Vec<consensus::Voter> {
        let other = |voter: &&consensus::Voter| {
            **voter != self.identity && voter.folder != consensus::VACANT
        };
        self.log.voters().iter().filter(other).cloned().collect()
    }

    pub(super) fn on_vote_request(
        &mut self,
        from: consensus::Voter,
        pre: bool,
        term: number::Term,
        last: log::Position,
    ) {
        let granted = !self.is_vote_withheld() && self.try_grant_vote(&from, pre, term, last);
        let answer = if granted { term } else { self.ballot.term };
        let message = consensus::Message::Voted { pre, term: answer, granted };
        self.send_after_sync(&from.instance, message);
    }

    /// Whether the vote is given; a real vote is written down.
    fn try_grant_vote(
        &mut self,
        from: &consensus::Voter,
        pre: bool,
        term: number::Term,
        last: log::Position,
    ) -> bool {
        let own = self.log.last();
        let has_all = (last.term, last.index) >= (own.term, own.index);
        if pre {
            return has_all && term > self.ballot.term;
        }
        if term > self.ballot.term {
            self.adopt_term(term);
        }
        let free = self.ballot.vote.as_ref().is_none_or(|vote| vote == from);
        if term < self.ballot.term || !has_all || !free {
            return false;
        }
        self.set_ballot(write::Ballot { term, vote: Some(from.clone()) });
        self.postpone_election();
        true
    }

    pub(super) fn on_vote_response(
        &mut self,
        from: consensus::Voter,
        pre: bool,
        term: number::Term,
        granted: bool,
    ) {
        if !granted {
            if term > self.ballot.term {
                self.adopt_term(term);
            }
            return;
        }
        let stood_for = if pre { self.ballot.term.next() } else { self.ballot.term };
        let node::Role::Candidate(candidacy) = &mut self.role else {
            return;
        };
        if candidacy.pre == pre && term == stood_for {
            candidacy.votes.insert(from);
            self.count_votes();
        }
    }

    /// Counts the candidate's own vote once its ballot is synced.
    pub(super) fn count_own_vote(&mut self) {
        let synced = self.writes.synced();
        let node::Role::Candidate(candidacy) = &mut self.role else {
            return;
        };
        if candidacy.pre || candidacy.ballot_write > synced {
            return;
        }
        candidacy.votes.insert(self.identity.clone());
        self.count_votes();
    }

    fn count_votes(&mut self) {
        let node::Role::Candidate(candidacy) = &self.role else {
            return;
        };
        let voters = self.log.voters();
        // Only identities in the list count: a folder that replaced a lost one may answer, and has
        // forgotten what the lost one voted.
        let votes = voters.iter().filter(|voter| candidacy.votes.contains(voter)).count();
        if votes <= voters.len() / 2 {
            return;
        }
        if candidacy.pre {
            self.start_candidacy(false);
        } else {
            self.become_leader();
        }
    }

    fn become_leader(&mut self) {
        assert!(self.leader.is_none(), "one leader a term");
        self.leader = Some(self.identity.clone());
        let state = leader_state::State::new(self.context());
        self.role = node::Role::Leader(Box::new(state));
        self.push_notice(notice::Notice::Leads(self.ballot.term));
        let first = self.log.last().index.0 == 0;
        let payload = if first {
            // Only the node that formed the log knows its voters: the others learn them here.
            consensus::Payload::Voters(self.log.voters().to_vec())
        } else {
            consensus::Payload::Empty
        };
        self.append(payload);
    }

    /// A leader that stops gave up its lease: the duty to withhold votes ends with it.
    pub(super) fn on_release(
        &mut self,
        from: consensus::Voter,
        term: number::Term,
        successor: consensus::Voter,
    ) {
        if term != self.ballot.term || self.leader.as_ref() != Some(&from) {
            return;
        }
        self.leader_heard_at = None;
        if successor == self.identity && self.is_voter() && !self.resigned {
            self.start_candidacy(false);
        }
    }
}
