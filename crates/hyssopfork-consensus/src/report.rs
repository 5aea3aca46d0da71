//! What a node logs about its data folder and about candidacies that fail.

use hyssopfork_wire::{consensus, number};
use std::fmt;
use std::time::Duration;

/// Seat of an instance among the voters in its log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Seat {
    /// The seat of this data folder.
    Own,
    /// The seat of another data folder of the same instance.
    OtherFolder,
    /// A vacant seat of the instance.
    Vacant,
    /// None.
    None,
}

/// Contents of the data folder when the process started.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Folder {
    /// Highest term seen.
    pub term: number::Term,
    /// Last index of the log.
    pub last: number::Index,
    /// Index of the snapshot, up to which entries are known to be committed.
    pub committed: number::Index,
    /// Voters after the last entry.
    pub voters: Vec<consensus::Voter>,
    /// Voters before the last change, if a quorum of them is needed as well.
    pub previous: Vec<consensus::Voter>,
    /// Seat of this instance.
    pub seat: Seat,
}

impl fmt::Display for Folder {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Folder { term, last, committed, voters, previous, seat } = self;
        write!(
            formatter,
            "seat={seat} term={term} last={last} committed={committed} voters={}",
            join(voters)
        )?;
        match previous.as_slice() {
            [] => Ok(()),
            previous => write!(formatter, " previous_voters={}", join(previous)),
        }
    }
}

/// What a candidacy waited for when it failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Stage {
    /// Pre-votes.
    PreVote,
    /// The sync of its ballot; no votes were requested.
    Sync,
    /// Votes.
    Vote,
}

/// Voters of which a quorum is needed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Quorum {
    /// Size of the quorum.
    pub size: usize,
    /// The voters.
    pub voters: Vec<consensus::Voter>,
}

/// Outcome of a failed candidacy.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Votes {
    /// What it waited for.
    pub stage: Stage,
    /// Voters that granted their vote, the candidate included.
    pub granted: Vec<consensus::Voter>,
    /// Voters that denied it.
    pub denied: Vec<consensus::Voter>,
    /// Voters that did not respond, except lost seats.
    pub silent: Vec<consensus::Voter>,
    /// Seats that are vacant or whose folders are known to be lost.
    pub lost: Vec<consensus::Voter>,
    /// Needed quorum of the voters after the last change.
    pub needed: Quorum,
    /// Needed quorum of the voters before it, unless the change is known to be committed.
    pub previous: Option<Quorum>,
}

/// A failed candidacy.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidacy {
    /// Term of the candidate.
    pub term: number::Term,
    /// Time without a leader; since the start of the process if it has seen none.
    pub leaderless: Duration,
    /// Outcome.
    pub votes: Votes,
}

impl fmt::Display for Candidacy {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Votes { stage, granted, denied, silent, lost, needed, previous } = &self.votes;
        write!(
            formatter,
            "leaderless_ms={} term={} stage={stage} granted={} denied={} silent={} lost={} quorum={} voters={}",
            self.leaderless.as_millis(),
            self.term,
            join(granted),
            join(denied),
            join(silent),
            join(lost),
            needed.size,
            join(&needed.voters)
        )?;
        match previous {
            Some(Quorum { size, voters }) => {
                write!(formatter, " previous_quorum={size} previous_voters={}", join(voters))
            }
            None => Ok(()),
        }
    }
}

/// Last message of a voter to a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LastContact {
    /// The voter is the node itself.
    Own,
    /// Time since the message.
    Ago(Duration),
    /// None since the start of the process.
    Never,
}

impl fmt::Display for LastContact {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LastContact::Own => formatter.write_str("own"),
            LastContact::Ago(time) => write!(formatter, "{}", time.as_millis()),
            LastContact::Never => formatter.write_str("never"),
        }
    }
}

/// The voters and their last messages.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Contacts(pub Vec<(consensus::Voter, LastContact)>);

impl fmt::Display for Contacts {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.0.is_empty() {
            return formatter.write_str("-");
        }
        for (place, (voter, last)) in self.0.iter().enumerate() {
            let separator = if place == 0 { "" } else { "," };
            write!(formatter, "{separator}{}/{last}", format_voter(voter))?;
        }
        Ok(())
    }
}

/// Instances of the voters, separated by commas; `-` for none.
fn join(voters: &[consensus::Voter]) -> String {
    if voters.is_empty() {
        return "-".to_owned();
    }
    voters.iter().map(format_voter).collect::<Vec<String>>().join(",")
}

fn format_voter(voter: &consensus::Voter) -> String {
    match voter.folder {
        consensus::VACANT => format!("{}(vacant)", voter.instance),
        _ => voter.instance.to_string(),
    }
}
