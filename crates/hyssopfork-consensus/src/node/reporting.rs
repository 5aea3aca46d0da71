//! Reports of the data folder at the start, and of candidacies that fail.
//!
//! Nothing here influences a decision of the node.

use crate::node::{self, Node};
use crate::{notice, quorum, report};
use hyssopfork_wire::{clock, consensus};
use std::collections;
use std::time::Duration;

/// Minimum time between two reports of failed candidacies with the same outcome.
const REPEAT_INTERVAL: Duration = Duration::from_secs(1);

/// Responses to the last candidacy, and what was last reported.
#[derive(Debug, Default)]
pub(super) struct Tracker {
    /// When a leader was last known to be in contact.
    last_leader_contact: Option<clock::Instant>,
    /// Start of the last candidacy, and whether it was a pre-vote.
    candidacy: Option<(clock::Instant, bool)>,
    granted: collections::BTreeSet<consensus::Voter>,
    denied: collections::BTreeSet<consensus::Voter>,
    last_report: Option<(clock::Instant, report::Votes)>,
    /// When each voter last sent a message.
    ///
    /// Invariant: at most one more than there are voters.
    voter_contacts: collections::BTreeMap<consensus::Voter, clock::Instant>,
}

impl Tracker {
    pub(super) fn on_candidacy(&mut self, now: clock::Instant, pre: bool) {
        self.candidacy = Some((now, pre));
        self.granted.clear();
        self.denied.clear();
    }

    pub(super) fn on_response(&mut self, from: &consensus::Voter, pre: bool, granted: bool) {
        if self.candidacy.is_some_and(|(_, is_pre)| is_pre == pre) {
            let voters = if granted { &mut self.granted } else { &mut self.denied };
            voters.insert(from.clone());
        }
    }

    /// Whether the last candidacy has begun since a leader was in contact.
    fn has_failed_candidacy(&self) -> bool {
        self.candidacy.is_some_and(|(started_at, _)| Some(started_at) > self.last_leader_contact)
    }

    /// Whether `votes` is to be reported: it differs from the last report, or that one is old.
    fn is_due(&self, now: clock::Instant, votes: &report::Votes) -> bool {
        self.last_report.as_ref().is_none_or(|(reported_at, reported)| {
            reported != votes || now.since(*reported_at) >= REPEAT_INTERVAL
        })
    }
}

impl Node {
    /// What the data folder held, for the log of a node that has just been created.
    pub fn folder(&self) -> report::Folder {
        let seat = match self.find_seat(&self.identity.instance).map(|voter| voter.folder) {
            None => report::Seat::None,
            Some(consensus::VACANT) => report::Seat::Vacant,
            Some(folder) if folder == self.identity.folder => report::Seat::Own,
            Some(_) => report::Seat::OtherFolder,
        };
        report::Folder {
            term: self.ballot.term,
            last: self.log.last().index,
            committed: self.committed,
            voters: self.log.voters().to_vec(),
            previous: self.log.replaced_voters(self.committed).to_vec(),
            seat,
        }
    }

    /// The voters, and when each last sent this node a message.
    pub fn voter_contacts(&self, now: clock::Instant) -> report::Contacts {
        let contact = |voter: &consensus::Voter| {
            let heard_at = self.reporting.voter_contacts.get(voter);
            let last = match heard_at {
                _ if *voter == self.identity => report::LastContact::Own,
                Some(heard_at) => report::LastContact::Ago(now.since(*heard_at)),
                None => report::LastContact::Never,
            };
            (voter.clone(), last)
        };
        report::Contacts(self.log.voters().iter().map(contact).collect())
    }

    pub(super) fn track_voter_contact(&mut self, from: &consensus::Voter) {
        let contacts = &mut self.reporting.voter_contacts;
        if let Some(heard_at) = contacts.get_mut(from) {
            *heard_at = self.now;
        } else if self.log.voters().contains(from) {
            contacts.retain(|voter, _| self.log.voters().contains(voter));
            contacts.insert(from.clone(), self.now);
        }
    }

    /// Remembers when a leader was last in contact; the state of the election does not keep it.
    pub(super) fn track_leader_contact(&mut self) {
        let own = self.is_leader().then_some(self.now);
        self.reporting.last_leader_contact =
            self.reporting.last_leader_contact.max(own).max(self.leader_heard_at);
    }

    /// Reports the last candidacy, whose time is over, at most once per [`REPEAT_INTERVAL`] unless
    /// its outcome differs.
    pub(super) fn report_failed_candidacy(&mut self) {
        if !self.reporting.has_failed_candidacy() {
            return;
        }
        let votes = self.collect_votes();
        if !self.reporting.is_due(self.now, &votes) {
            return;
        }
        self.reporting.last_report = Some((self.now, votes.clone()));
        let since = self.reporting.last_leader_contact.unwrap_or(self.started_at);
        let (term, leaderless) = (self.ballot.term, self.now.since(since));
        let candidacy = report::Candidacy { term, leaderless, votes };
        self.push_notice(notice::Notice::ElectionFailed(Box::new(candidacy)));
    }

    fn collect_votes(&self) -> report::Votes {
        let (mut granted, mut lost) = (self.reporting.granted.clone(), Default::default());
        let mut stage = match self.reporting.candidacy {
            Some((_, false)) => report::Stage::Vote,
            _ => report::Stage::PreVote,
        };
        if let node::Role::Candidate(candidacy) = &self.role {
            granted.extend(candidacy.votes().iter().cloned());
            lost = candidacy.lost().clone();
            if self.is_ballot_unsynced() {
                stage = report::Stage::Sync;
            }
        }
        let quorums = self.quorums(&lost);
        let all: collections::BTreeSet<&consensus::Voter> =
            quorums.voters.iter().chain(quorums.previous).collect();
        let (lost_seats, seats): (Vec<_>, Vec<_>) =
            all.into_iter().cloned().partition(|voter| is_lost(&quorums, voter));
        let denied = &self.reporting.denied - &granted;
        let is_silent = |voter: &consensus::Voter| {
            *voter != self.identity && !granted.contains(voter) && !denied.contains(voter)
        };
        let has_seat = |voter: &consensus::Voter| seats.contains(voter);
        report::Votes {
            stage,
            silent: seats.iter().filter(|voter| is_silent(voter)).cloned().collect(),
            // A folder without a seat may respond, but its vote does not count.
            granted: granted.into_iter().filter(has_seat).collect(),
            denied: denied.into_iter().filter(has_seat).collect(),
            lost: lost_seats,
            needed: needed_quorum(&quorums, quorums.voters),
            previous: (!quorums.previous.is_empty())
                .then(|| needed_quorum(&quorums, quorums.previous)),
        }
    }
}

fn needed_quorum(quorums: &quorum::Quorums<'_>, voters: &[consensus::Voter]) -> report::Quorum {
    let has_lost_seat = voters.iter().any(|voter| is_lost(quorums, voter));
    let is_half = has_lost_seat && quorum::is_reducible(voters);
    let size = if is_half { voters.len() / 2 } else { voters.len() / 2 + 1 };
    report::Quorum { size, voters: voters.to_vec() }
}

fn is_lost(quorums: &quorum::Quorums<'_>, voter: &consensus::Voter) -> bool {
    let vacated = consensus::Voter { folder: consensus::VACANT, ..voter.clone() };
    quorums.lost.contains(voter) || *voter == vacated || quorums.voters.contains(&vacated)
}
