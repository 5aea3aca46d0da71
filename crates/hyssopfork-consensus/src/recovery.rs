//! Recovery by an operator after a majority of the voters' disks was lost.

use crate::{error, journal, log, write};
use hyssopfork_wire::{consensus, name, number};
use std::path;

/// What a recovery kept and gave up.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Recovery {
    /// Last index of the log that is kept. What the lost disks alone had after it is gone.
    pub last_index: number::Index,
    /// Voters that no longer count; their folders must be wiped before they start again.
    pub removed_voters: Vec<consensus::Voter>,
}

/// Makes the voter of the folder at `path` the only one, so that it can lead and commit alone.
///
/// Every other control process must be stopped, and its folder wiped before it starts again: a
/// majority of the old voters that came back would go on with the old log beside this one. Run it
/// on the surviving folder with the longest log of the newest term.
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
    let payload = consensus::Payload::Voters(vec![identity.clone()]);
    let entry = consensus::Entry { index: kept.next(), term, payload };
    // A term that nobody else has: the entry can't be taken for one of a former leader.
    let ballot = write::Ballot { term, vote: Some(identity) };
    journal.write(&write::Write {
        ballot: Some(ballot),
        entries: vec![entry],
        ..write::Write::default()
    })?;
    Ok(Recovery { last_index: kept, removed_voters: removed })
}
