//! Write-ahead journal: the persistent state of a node.
//!
//! A data folder holds `identity` (the random number of the folder), `snapshot`, `log` and `lock`.
//! The first record of the log holds its base position and the ballot; each later record holds
//! writes and is synced before the next. A write with a snapshot replaces the snapshot file, then
//! replaces the log with a shorter one.

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

/// Entries per record of a rewritten log.
const MAX_RECORD_ENTRIES: usize = 256;

/// First record of a log file.
#[derive(Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Base {
    /// Index before the first entry.
    index: number::Index,
    /// Term of that index.
    term: number::Term,
    /// Ballot when the file was written.
    ballot: write::Ballot,
}

/// One write in a log file. Every record after the first holds a list of them.
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
    /// Whether a write failed. Afterwards the content of the disk is unknown, and a second sync may
    /// report success for pages that the first one dropped, so all later writes fail.
    failed: bool,
}

impl Journal {
    /// Opens the journal in the folder `path`, or creates it if the folder is empty or missing.
    /// Also returns the recovered state and the folder's random number.
    ///
    /// A torn last record was never reported as synced and is dropped. Any other damage is an
    /// error, since dropping it would lose acknowledged writes.
    pub fn open(path: &path::Path) -> Result<(Journal, node::Durable, u64), error::Error> {
        let folder = folder::Folder::open(path)?;
        let (number, is_new) = match load_identity(&folder)? {
            Some(number) => (number, false),
            None => (initialize(&folder)?, true),
        };
        let log = Log::read(&folder)?;
        let (end, sequence) = (log.end, log.sequence);
        let durable = recover(&folder, log)?;
        let file = folder.open_for_append(LOG_FILE, end, is_new)?;
        let journal = Journal { folder, file, sequence, failed: false };
        Ok((journal, durable, number))
    }

    /// Writes and syncs `write`. After an error all later writes fail, and the process must end.
    pub fn write(&mut self, write: &write::Write) -> Result<(), error::Error> {
        self.write_all(slice::from_ref(write))
    }

    /// Makes writes in order. Consecutive writes without a snapshot share one sync: with 10 ms per
    /// sync, a hundred proposals would otherwise take a second.
    pub fn write_all(&mut self, writes: &[write::Write]) -> Result<(), error::Error> {
        if self.failed {
            return Err(error::Error::EarlierWriteFailed);
        }
        let result = self.try_write_all(writes);
        self.failed = result.is_err();
        result
    }

    fn try_write_all(&mut self, writes: &[write::Write]) -> Result<(), error::Error> {
        let same_kind = |left: &write::Write, right: &write::Write| {
            left.snapshot.is_none() && right.snapshot.is_none()
        };
        for batch in writes.chunk_by(same_kind) {
            match batch {
                [write @ write::Write { snapshot: Some(snapshot), .. }] => {
                    self.install_snapshot(snapshot, write)?;
                }
                writes => self.append_record(writes)?,
            }
        }
        Ok(())
    }

    /// Appends one record for all `writes`. A torn record is dropped as a whole; with one record
    /// per write, an intact record could follow a torn one.
    fn append_record(&mut self, writes: &[write::Write]) -> Result<(), error::Error> {
        let update = |write: &write::Write| Update {
            ballot: write.ballot.clone(),
            truncate: write.truncate,
            entries: write.entries.clone(),
        };
        let updates: Vec<Update> = writes.iter().map(update).collect();
        let mut bytes = Vec::new();
        record::encode(self.sequence, &serialize(&updates), &mut bytes);
        let written = self.file.write_all(&bytes).and_then(|()| self.file.sync_data());
        written.map_err(|source| self.folder.disk_error(LOG_FILE, source))?;
        self.sequence += 1;
        Ok(())
    }

    /// Replaces the snapshot, and the log with one that lacks the entries covered by it.
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
            let update = Update { entries: entries.to_vec(), ..Update::default() };
            record::encode(self.sequence, &serialize(&[update].as_slice()), &mut bytes);
            self.sequence += 1;
        }
        self.folder.replace(LOG_FILE, &bytes)?;
        self.file = self.folder.open_for_append(LOG_FILE, bytes.len() as u64, true)?;
        Ok(())
    }
}

/// Content of a log file.
#[derive(Debug)]
struct Log {
    base: Base,
    updates: Vec<Update>,
    /// Length of the file without a torn last record.
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
        let mut updates: Vec<Update> = Vec::new();
        for record in rest {
            let parsed: Option<Vec<Update>> = deserialize(&bytes, record);
            updates.extend(parsed.ok_or_else(|| damaged(record.body.start))?);
        }
        Ok(Log { base, updates, end: scan.end as u64, sequence: scan.records.len() as u64 })
    }

    /// State that results from the log alone, without the snapshot.
    fn replay(self) -> node::Durable {
        let mut durable = node::Durable { ballot: self.base.ballot, ..node::Durable::default() };
        for Update { ballot, truncate, entries } in self.updates {
            durable.apply(&write::Write { ballot, truncate, entries, ..write::Write::default() });
        }
        durable
    }
}

/// Combines the log with the snapshot file.
fn recover(folder: &folder::Folder, log: Log) -> Result<node::Durable, error::Error> {
    let snapshot = read_snapshot(folder)?;
    let base = log::Position { index: log.base.index, term: log.base.term };
    let mut durable = log.replay();
    let covered = snapshot.as_ref().map(log::snapshot_position).unwrap_or_default();
    if covered.index < base.index || covered.index == base.index && covered != base {
        return Err(error::Error::Damaged(folder.file_path(SNAPSHOT_FILE), 0));
    }
    if covered == base {
        durable.snapshot = snapshot;
    } else {
        // The process crashed after replacing the snapshot and before replacing the log.
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

/// Reads the random number of the folder; `None` if the folder was never used.
fn load_identity(folder: &folder::Folder) -> Result<Option<u64>, error::Error> {
    let damaged = || error::Error::Damaged(folder.file_path(IDENTITY_FILE), 0);
    if let Some(bytes) = folder.read(IDENTITY_FILE)? {
        let number = single_record(&bytes).and_then(|record| deserialize(&bytes, &record));
        return number.map(Some).ok_or_else(damaged);
    }
    if is_unused(folder)? { Ok(None) } else { Err(damaged()) }
}

/// Creates the files of an unused folder and returns its random number. The identity file is the last, so
/// that a folder with an identity always has a log.
fn initialize(folder: &folder::Folder) -> Result<u64, error::Error> {
    let number = rand::random_range(1..=u64::MAX);
    let (mut log, mut identity) = (Vec::new(), Vec::new());
    record::encode(0, &serialize(&Base::default()), &mut log);
    record::encode(0, &serialize(&number), &mut identity);
    folder.replace_in_order((LOG_FILE, &log), (IDENTITY_FILE, &identity))?;
    Ok(number)
}

/// Whether a folder without an identity was never used: it is empty, or its initialization was
/// interrupted by a crash.
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

/// Record of a file that must hold exactly one.
fn single_record(bytes: &[u8]) -> Option<record::Record> {
    let scan = record::scan(bytes);
    let complete = scan.records.len() == 1 && scan.end == bytes.len();
    scan.records.into_iter().next().filter(|_| complete)
}

fn serialize<T: Serialize>(value: &T) -> Vec<u8> {
    bincode::serialize(value).expect("records serialize without errors")
}

fn deserialize<T: serde::de::DeserializeOwned>(bytes: &[u8], record: &record::Record) -> Option<T> {
    bincode::deserialize(&bytes[record.body.clone()]).ok()
}
