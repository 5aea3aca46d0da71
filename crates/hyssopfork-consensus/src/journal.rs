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

const IDENTITY_FILE: &str = "identity";
const SNAPSHOT_FILE: &str = "snapshot";
const LOG_FILE: &str = "log";

/// Entries in one record of a rewritten log.
const MAX_RECORD_ENTRIES: usize = 256;

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
struct Update {
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
        let number = load_identity(&folder)?;
        let log = Log::read(&folder)?;
        let (end, sequence) = (log.end, log.sequence);
        let durable = recover(&folder, log)?;
        let file = folder.open_for_append(LOG_FILE, end)?;
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
            return Err(error::Error::EarlierWriteFailed);
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
                    self.install_snapshot(snapshot, write)?;
                }
                writes => self.append_record(writes)?,
            }
        }
        Ok(())
    }

    /// Writes one record for all `writes`: a torn one is dropped whole, so that nothing can look
    /// whole behind a torn part.
    fn append_record(&mut self, writes: &[write::Write]) -> Result<(), error::Error> {
        let change = |write: &write::Write| Update {
            ballot: write.ballot.clone(),
            truncate: write.truncate,
            entries: write.entries.clone(),
        };
        let changes: Vec<Update> = writes.iter().map(change).collect();
        let mut bytes = Vec::new();
        record::encode(self.sequence, &serialize(&changes), &mut bytes);
        let written = self.file.write_all(&bytes).and_then(|()| self.file.sync_data());
        written.map_err(|source| self.folder.disk_error(LOG_FILE, source))?;
        self.sequence += 1;
        Ok(())
    }

    /// Writes a snapshot and a log without what it covers.
    fn install_snapshot(
        &mut self,
        snapshot: &write::Snapshot,
        write: &write::Write,
    ) -> Result<(), error::Error> {
        let mut bytes = Vec::new();
        record::encode(0, &serialize(snapshot), &mut bytes);
        self.folder.replace(SNAPSHOT_FILE, &bytes)?;
        let mut durable = Log::read(&self.folder)?.replay();
        durable.apply(write);
        self.rewrite_log(snapshot, durable)
    }

    fn rewrite_log(
        &mut self,
        snapshot: &write::Snapshot,
        durable: node::Durable,
    ) -> Result<(), error::Error> {
        let log::Position { index, term } = log::snapshot_position(snapshot);
        let base = Base { index, term, ballot: durable.ballot };
        let mut bytes = Vec::new();
        record::encode(0, &serialize(&base), &mut bytes);
        self.sequence = 1;
        for entries in durable.entries.chunks(MAX_RECORD_ENTRIES) {
            let change = Update { entries: entries.to_vec(), ..Update::default() };
            record::encode(self.sequence, &serialize(&[change].as_slice()), &mut bytes);
            self.sequence += 1;
        }
        self.folder.replace(LOG_FILE, &bytes)?;
        self.file = self.folder.open_for_append(LOG_FILE, bytes.len() as u64)?;
        Ok(())
    }
}

/// A log's file as read.
#[derive(Debug)]
struct Log {
    base: Base,
    changes: Vec<Update>,
    /// Length without a torn last record.
    end: u64,
    /// Sequence number of the next record.
    sequence: u64,
}

impl Log {
    fn read(folder: &folder::Folder) -> Result<Log, error::Error> {
        let damaged = |offset| error::Error::Damaged(folder.file_path(LOG_FILE), offset as u64);
        let bytes = folder.read(LOG_FILE)?.ok_or_else(|| damaged(0))?;
        let scan = record::scan(&bytes);
        let (first, rest) = scan.records.split_first().ok_or_else(|| damaged(0))?;
        if scan.damaged {
            return Err(damaged(scan.end));
        }
        let base = deserialize(&bytes, first).ok_or_else(|| damaged(0))?;
        let mut changes: Vec<Update> = Vec::new();
        for record in rest {
            let some: Option<Vec<Update>> = deserialize(&bytes, record);
            changes.extend(some.ok_or_else(|| damaged(record.body.start))?);
        }
        Ok(Log { base, changes, end: scan.end as u64, sequence: scan.records.len() as u64 })
    }

    /// What the log says, without a snapshot.
    fn replay(self) -> node::Durable {
        let mut durable = node::Durable { ballot: self.base.ballot, ..node::Durable::default() };
        for Update { ballot, truncate, entries } in self.changes {
            durable.apply(&write::Write { ballot, truncate, entries, ..write::Write::default() });
        }
        durable
    }
}

/// What a log and the snapshot say together.
fn recover(folder: &folder::Folder, log: Log) -> Result<node::Durable, error::Error> {
    let snapshot = read_snapshot(folder)?;
    let follows = log::Position { index: log.base.index, term: log.base.term };
    let mut durable = log.replay();
    let covered = snapshot.as_ref().map(log::snapshot_position).unwrap_or_default();
    if covered.index < follows.index || covered.index == follows.index && covered != follows {
        return Err(error::Error::Damaged(folder.file_path(SNAPSHOT_FILE), 0));
    }
    if covered == follows {
        durable.snapshot = snapshot;
    } else {
        // A crash came between the two replacements.
        durable.apply(&write::Write { snapshot, ..write::Write::default() });
    }
    Ok(durable)
}

fn read_snapshot(folder: &folder::Folder) -> Result<Option<write::Snapshot>, error::Error> {
    let Some(bytes) = folder.read(SNAPSHOT_FILE)? else {
        return Ok(None);
    };
    let snapshot = single_record(&bytes).and_then(|record| deserialize(&bytes, &record));
    snapshot.map(Some).ok_or_else(|| error::Error::Damaged(folder.file_path(SNAPSHOT_FILE), 0))
}

/// The folder's number; a new folder gets one, last of all, so that a folder with a number has a
/// log.
fn load_identity(folder: &folder::Folder) -> Result<u64, error::Error> {
    if let Some(bytes) = folder.read(IDENTITY_FILE)? {
        let number = single_record(&bytes).and_then(|record| deserialize(&bytes, &record));
        return number.ok_or_else(|| error::Error::Damaged(folder.file_path(IDENTITY_FILE), 0));
    }
    if !is_unused(folder)? {
        return Err(error::Error::Damaged(folder.file_path(IDENTITY_FILE), 0));
    }
    let number = rand::random_range(1..=u64::MAX);
    let mut bytes = Vec::new();
    record::encode(0, &serialize(&Base::default()), &mut bytes);
    folder.replace(LOG_FILE, &bytes)?;
    bytes.clear();
    record::encode(0, &serialize(&number), &mut bytes);
    folder.replace(IDENTITY_FILE, &bytes)?;
    Ok(number)
}

/// Whether a folder without a number was never used: empty, or left by a crash while it was made.
fn is_unused(folder: &folder::Folder) -> Result<bool, error::Error> {
    if folder.read(SNAPSHOT_FILE)?.is_some() {
        return Ok(false);
    }
    let Some(bytes) = folder.read(LOG_FILE)? else {
        return Ok(true);
    };
    let base = single_record(&bytes).and_then(|record| deserialize::<Base>(&bytes, &record));
    Ok(base == Some(Base::default()))
}

/// The record of a file that holds exactly one.
fn single_record(bytes: &[u8]) -> Option<record::Record> {
    let scan = record::scan(bytes);
    let whole = scan.records.len() == 1 && scan.end == bytes.len();
    scan.records.into_iter().next().filter(|_| whole)
}

fn serialize<T: Serialize>(value: &T) -> Vec<u8> {
    bincode::serialize(value).expect("records are plain data")
}

fn deserialize<T: serde::de::DeserializeOwned>(bytes: &[u8], record: &record::Record) -> Option<T> {
    bincode::deserialize(&bytes[record.body.clone()]).ok()
}
