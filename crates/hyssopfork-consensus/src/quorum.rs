//! Quorums of the voters, also while a change of them may not be committed.

use hyssopfork_wire::consensus;
use std::collections;

/// Fewest seats of which half are a quorum once one of them is lost. Half of two seats would be a
/// single copy.
const MIN_REDUCIBLE_SEATS: usize = 4;

/// Voters of which a quorum decides.
///
/// Invariant: any two quorums of one list share a voter that took part in both decisions. Half of an
/// even number of seats is a quorum only without a lost seat, and a seat counts as lost only in
/// decisions that begin after its folder was gone. Two disjoint halves would each hold a seat that the
/// other counts as lost, so that each would have to be the earlier decision.
#[derive(Clone, Copy, Debug)]
pub struct Quorums<'a> {
    /// Voters after the last change.
    pub voters: &'a [consensus::Voter],
    /// Voters before that change, of which a quorum is needed as well; empty once it is known to be
    /// committed.
    pub previous: &'a [consensus::Voter],
    /// Voters whose folders were lost before the term began.
    pub lost: &'a collections::BTreeSet<consensus::Voter>,
}

impl Quorums<'_> {
    /// Greatest value that a quorum reaches. Lost and vacant seats count with the default.
    pub fn value<T: Copy + Default + Ord>(&self, of: impl Fn(&consensus::Voter) -> T) -> T {
        let lists = [self.voters, self.previous].into_iter().filter(|voters| !voters.is_empty());
        lists.map(|voters| self.value_among(voters, &of)).min().unwrap_or_default()
    }

    fn value_among<T: Copy + Default + Ord>(
        &self,
        voters: &[consensus::Voter],
        of: &impl Fn(&consensus::Voter) -> T,
    ) -> T {
        let value = |voter| if self.is_lost(voter) { T::default() } else { of(voter) };
        let mut values: Vec<T> = voters.iter().map(value).collect();
        values.sort_unstable_by(|left, right| right.cmp(left));
        values.get(self.size(voters) - 1).copied().unwrap_or_default()
    }

    fn size(&self, voters: &[consensus::Voter]) -> usize {
        let has_lost_seat = voters.iter().any(|voter| self.is_lost(voter));
        if has_lost_seat && is_reducible(voters) { voters.len() / 2 } else { voters.len() / 2 + 1 }
    }

    /// Whether the voter's seat is vacant, also by the last change, or its folder is lost.
    fn is_lost(&self, voter: &consensus::Voter) -> bool {
        let vacated = consensus::Voter { folder: consensus::VACANT, ..voter.clone() };
        self.lost.contains(voter) || *voter == vacated || self.voters.contains(&vacated)
    }
}

/// Whether half of `voters` are a quorum once one of them is lost.
pub fn is_reducible(voters: &[consensus::Voter]) -> bool {
    voters.len() >= MIN_REDUCIBLE_SEATS && voters.len().is_multiple_of(2)
}

/// Whether a quorum of `before` and one of `after` need not share a voter: half of one of them may be a
/// quorum, or more than one voter differs.
pub fn is_joint_change(before: &[consensus::Voter], after: &[consensus::Voter]) -> bool {
    let count_missing = |of: &[consensus::Voter], from: &[consensus::Voter]| {
        let is_missing =
            |it: &&consensus::Voter| it.folder != consensus::VACANT && !from.contains(it);
        of.iter().filter(is_missing).count()
    };
    let exchanged = count_missing(before, after) + count_missing(after, before);
    !before.is_empty() && (is_reducible(before) || is_reducible(after) || exchanged > 1)
}
