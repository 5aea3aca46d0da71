//! Journal on disk: what a node must still know after a crash.
//!
//! A data folder holds `identity` (the folder's random number), `snapshot`, `log` and `lock`. The
//! log starts with the position it follows and the ballot; every write after that is one record,
//! synced before the next. A write with a snapshot replaces the snapshot's file, then the log by a
//! shorter one.

mod folder;
mod record;

use crate::{error, log, node, write};
use hyssopfork_wire::{consensus, number};
use serde::{Deserialize, Serialize};
use std::fs;
use std::io::Write;
use std::path;
use std::slice;

const IDENTITY: &str = "identity";
const SNAPSHOT: &str = "snapshot";
const LOG: &str = "log";

/// Entries in one record of a rewritten log.
const ENTRIES: usize = 256;

/// First record of a log.
#[derive(Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Base {
    /// Index before the first entry.
    index: number::Index,
    /// Term of that index.
    term: number::Term,
    /// Ballot when the log was made.
    ballot: write::Ballot,
}

/// One write in a log; every record after the first holds some.
#[derive(Debug, Default, Serialize, Deserialize)]
struct Change {
    ballot: Option<write::Ballot>,
    truncate: Option<number::Index>,
    entries: Vec<consensus::Entry>,
}

/// Journal of one data folder.
#[derive(Debug)]
pub struct Journal {
    folder: folder::Folder,
    file: fs::File,
    /// Sequence number of the next record.
    sequence: u64,
    /// Whether a write failed. What reached the disk is unknown then, and a second sync may report
    /// success for pages that the first one dropped: nothing is ever acknowledged again.
    failed: bool,
}

impl Journal {
    /// Opens the journal of `path`, making it when the folder is empty or not there; also gives
    /// what it holds and the folder's random number.
    ///
    /// The last record may be torn: it was never reported as synced and is dropped. Any other
    /// damage is an error, since what was acknowledged would be forgotten.
    pub fn open(path: &path::Path) -> Result<(Journal, node::Durable, u64), error::Error> {
        let folder = folder::Folder::open(path)?;
        let number = identity(&folder)?;
        let log = Log::read(&folder)?;
        let (end, sequence) = (log.end, log.sequence);
        let durable = recover(&folder, log)?;
        let file = folder.append_to(LOG, end)?;
        let journal = Journal { folder, file, sequence, failed: false };
        Ok((journal, durable, number))
    }

    /// Applies `write` and syncs it. After an error the journal refuses everything: the process
    /// must end.
    pub fn write(&mut self, write: &write::Write) -> Result<(), error::Error> {
        self.write_all(slice::from_ref(write))
    }

    /// Applies writes in order. Those without a snapshot share one sync: on a disk that takes
    /// 10 ms, a hundred proposals would otherwise take a second one after another.
    pub fn write_all(&mut self, writes: &[write::Write]) -> Result<(), error::Error> {
        if self.failed {
            return Err(error::Error::Failed);
        }
        let result = self.try_write_all(writes);
        self.failed = result.is_err();
        result
    }

    fn try_write_all(&mut self, writes: &[write::Write]) -> Result<(), error::Error> {
        let alike = |left: &write::Write, right: &write::Write| {
            left.snapshot.is_none() && right.snapshot.is_none()
        };
        for run in writes.chunk_by(alike) {
            match run {
                [write @ write::Write { snapshot: Some(snapshot), .. }] => {
                    self.compact(snapshot, write)?;
                }
                writes => self.append(writes)?,
            }
        }
        Ok(())
    }

    /// Writes one record for all `writes`: a torn one is dropped whole, so that nothing can look
    /// whole behind a torn part.
    fn append(&mut self, writes: &[write::Write]) -> Result<(), error::Error> {
        let change = |write: &write::Write| Change {
            ballot: write.ballot.clone(),
            truncate: write.truncate,
            entries: write.entries.clone(),
        };
        let changes: Vec<Change> = writes.iter().map(change).collect();
        let mut bytes = Vec::new();
        record::encode(self.sequence, &body(&changes), &mut bytes);
        let written = self.file.write_all(&bytes).and_then(|()| self.file.sync_data());
        written.map_err(|source| self.folder.failed(LOG, source))?;
        self.sequence += 1;
        Ok(())
    }

    /// Writes a snapshot and a log without what it covers.
    fn compact(
        &mut self,
        snapshot: &write::Snapshot,
        write: &write::Write,
    ) -> Result<(), error::Error> {
        let mut bytes = Vec::new();
        record::encode(0, &body(snapshot), &mut bytes);
        self.folder.replace(SNAPSHOT, &bytes)?;
        let mut durable = Log::read(&self.folder)?.fold();
        durable.apply(write);
        self.rewrite(snapshot, durable)
    }

    fn rewrite(
        &mut self,
        snapshot: &write::Snapshot,
        durable: node::Durable,
    ) -> Result<(), error::Error> {
        let log::Position { index, term } = log::position(snapshot);
        let base = Base { index, term, ballot: durable.ballot };
        let mut bytes = Vec::new();
        record::encode(0, &body(&base), &mut bytes);
        self.sequence = 1;
        for entries in durable.entries.chunks(ENTRIES) {
            let change = Change { entries: entries.to_vec(), ..Change::default() };
            record::encode(self.sequence, &body(&[change].as_slice()), &mut bytes);
            self.sequence += 1;
        }
        self.folder.replace(LOG, &bytes)?;
        self.file = self.folder.append_to(LOG, bytes.len() as u64)?;
        Ok(())
    }
}

/// A log's file as read.
#[derive(Debug)]
struct Log {
    base: Base,
    changes: Vec<Change>,
    /// Length without a torn last record.
    end: u64,
    /// Sequence number of the next record.
    sequence: u64,
}

impl Log {
    fn read(folder: &folder::Folder) -> Result<Log, error::Error> {
        let damaged = |offset| error::Error::Damaged(folder.file(LOG), offset as u64);
        let bytes = folder.read(LOG)?.ok_or_else(|| damaged(0))?;
        let scan = record::scan(&bytes);
        let (first, rest) = scan.records.split_first().ok_or_else(|| damaged(0))?;
        if scan.damaged {
            return Err(damaged(scan.end));
        }
        let base = parse(&bytes, first).ok_or_else(|| damaged(0))?;
        let mut changes: Vec<Change> = Vec::new();
        for record in rest {
            let some: Option<Vec<Change>> = parse(&bytes, record);
            changes.extend(some.ok_or_else(|| damaged(record.body.start))?);
        }
        Ok(Log { base, changes, end: scan.end as u64, sequence: scan.records.len() as u64 })
    }

    /// What the log says, without a snapshot.
    fn fold(self) -> node::Durable {
        let mut durable = node::Durable { ballot: self.base.ballot, ..node::Durable::default() };
        for Change { ballot, truncate, entries } in self.changes {
            durable.apply(&write::Write { ballot, truncate, entries, ..write::Write::default() });
        }
        durable
    }
}

/// What a log and the snapshot say together.
fn recover(folder: &folder::Folder, log: Log) -> Result<node::Durable, error::Error> {
    let snapshot = snapshot(folder)?;
    let follows = log::Position { index: log.base.index, term: log.base.term };
    let mut durable = log.fold();
    let covered = snapshot.as_ref().map(log::position).unwrap_or_default();
    if covered.index < follows.index || covered.index == follows.index && covered != follows {
        return Err(error::Error::Damaged(folder.file(SNAPSHOT), 0));
    }
    if covered == follows {
        durable.snapshot = snapshot;
    } else {
        // A crash came between the two replacements.
        durable.apply(&write::Write { snapshot, ..write::Write::default() });
    }
    Ok(durable)
}

fn snapshot(folder: &folder::Folder) -> Result<Option<write::Snapshot>, error::Error> {
    let Some(bytes) = folder.read(SNAPSHOT)? else {
        return Ok(None);
    };
    let snapshot = only(&bytes).and_then(|record| parse(&bytes, &record));
    snapshot.map(Some).ok_or_else(|| error::Error::Damaged(folder.file(SNAPSHOT), 0))
}

/// The folder's number; a new folder gets one, last of all, so that a folder with a number has a
/// log.
fn identity(folder: &folder::Folder) -> Result<u64, error::Error> {
    if let Some(bytes) = folder.read(IDENTITY)? {
        let number = only(&bytes).and_then(|record| parse(&bytes, &record));
        return number.ok_or_else(|| error::Error::Damaged(folder.file(IDENTITY), 0));
    }
    if !is_new(folder)? {
        return Err(error::Error::Damaged(folder.file(IDENTITY), 0));
    }
    let number = rand::random_range(1..=u64::MAX);
    let mut bytes = Vec::new();
    record::encode(0, &body(&Base::default()), &mut bytes);
    folder.replace(LOG, &bytes)?;
    bytes.clear();
    record::encode(0, &body(&number), &mut bytes);
    folder.replace(IDENTITY, &bytes)?;
    Ok(number)
}

/// Whether a folder without a number was never used: empty, or left by a crash while it was made.
fn is_new(folder: &folder::Folder) -> Result<bool, error::Error> {
    if folder.read(SNAPSHOT)?.is_some() {
        return Ok(false);
    }
    let Some(bytes) = folder.read(LOG)? else {
        return Ok(true);
    };
    let base = only(&bytes).and_then(|record| parse::<Base>(&bytes, &record));
    Ok(base == Some(Base::default()))
}

/// The record of a file that holds exactly one.
fn only(bytes: &[u8]) -> Option<record::Record> {
    let scan = record::scan(bytes);
    let whole = scan.records.len() == 1 && scan.end == bytes.len();
    scan.records.into_iter().next().filter(|_| whole)
}

fn body<T: Serialize>(value: &T) -> Vec<u8> {
    bincode::serialize(value).expect("records are plain data")
}

fn parse<T: serde::de::DeserializeOwned>(bytes: &[u8], record: &record::Record) -> Option<T> {
    bincode::deserialize(&bytes[record.body.clone()]).ok()
}
