//! Disaster recovery by an operator after a majority of the voters lost their disks.

use crate::{error, journal, log, write};
use hyssopfork_wire::{consensus, name, number};
use std::path;

/// Result of a recovery.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Recovery {
    /// Last index of the retained log. Later entries that only the lost disks held are gone.
    pub last_index: number::Index,
    /// Removed voters. Their data folders must be wiped before their processes start again.
    pub removed_voters: Vec<consensus::Voter>,
}

/// Makes the voter of the data folder at `path` the only voter, so that it can lead and commit
/// alone.
///
/// Every other control process must be stopped, and its folder wiped before it starts again: a
/// majority of the previous voters would otherwise continue the old log beside this one. Of the
/// surviving folders, use the one with the highest last term and, among those, the longest log.
pub fn make_sole_voter(
    path: &path::Path,
    instance: &name::Instance,
) -> Result<Recovery, error::Error> {
    let (mut journal, durable, folder) = journal::Journal::open(path)?;
    let identity = consensus::Voter { instance: instance.clone(), folder };
    let term = durable.ballot.term.next();
    let log = log::Log::new(durable.snapshot, durable.entries);
    if !log.voters().contains(&identity) {
        return Err(error::Error::NotVoter(path.to_path_buf(), instance.clone()));
    }
    let kept = log.last().index;
    let removed = log.voters().iter().filter(|voter| **voter != identity).cloned().collect();
    let entry = |index| {
        let payload = consensus::Payload::Voters(vec![identity.clone()]);
        consensus::Entry { index, term, payload }
    };
    // The second entry states that the first is committed, so that no quorum of the others is needed.
    let entries = vec![entry(kept.next()), entry(kept.next().next())];
    // A term that no other voter has used, so that the entry differs from any of a former leader.
    let ballot = write::Ballot { term, vote: Some(identity) };
    journal.write(&write::Write { ballot: Some(ballot), entries, ..write::Write::default() })?;
    Ok(Recovery { last_index: kept, removed_voters: removed })
}
