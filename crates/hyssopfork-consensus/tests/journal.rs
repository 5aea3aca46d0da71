//! Recovery of the journal after torn writes, damage and failing disks.

use hyssopfork_consensus::{error, event, journal, node, recovery, write};
use hyssopfork_wire::{clock, consensus, name, number};
use proptest::prelude::{ProptestConfig, Strategy, any, prop, prop_assert_eq, proptest};
use std::fs;
use std::path;

/// Path of a folder for one test, without the content of earlier runs.
fn fresh_path(name: &str) -> path::PathBuf {
    let path = path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = fs::remove_dir_all(&path);
    path
}

fn entry(index: u64, term: u64) -> consensus::Entry {
    let payload = consensus::Payload::Command(vec![index as u8; 20]);
    consensus::Entry { index: number::Index(index), term: number::Term(term), payload }
}

fn append(indexes: &[u64], term: u64) -> write::Write {
    let entries = indexes.iter().map(|index| entry(*index, term)).collect();
    write::Write { entries, ..write::Write::default() }
}

fn snapshot(index: u64, term: u64) -> write::Write {
    let (index, term) = (number::Index(index), number::Term(term));
    let snapshot = write::Snapshot { index, term, voters: Vec::new(), data: vec![9; 64] };
    write::Write { snapshot: Some(snapshot), ..write::Write::default() }
}

/// Writes to the journal of the folder and returns the state that it must then hold.
fn write_and_fold(path: &path::Path, writes: &[write::Write]) -> node::Durable {
    let (mut journal, mut durable, _) = journal::Journal::open(path).expect("opens");
    for write in writes {
        journal.write(write).expect("writes");
        durable.apply(write);
    }
    durable
}

fn reopen(path: &path::Path) -> Result<node::Durable, error::Error> {
    journal::Journal::open(path).map(|(_, durable, _)| durable)
}

fn flip_bit(path: &path::Path, file: &str, offset: usize) {
    let mut bytes = fs::read(path.join(file)).expect("reads");
    bytes[offset] ^= 0x10;
    fs::write(path.join(file), bytes).expect("writes");
}

fn expect_damage_error(path: &path::Path, file: &str) {
    let error = reopen(path).expect_err("damage is reported").to_string();
    assert!(error.contains(file) && error.contains("wipe its data folder"), "{error}");
}

/// A crash during a write may leave any prefix of its record. The write was never reported as
/// synced, so the process must start without it and be able to continue writing: a torn record left
/// in place would hide everything written after it.
#[test]
fn a_torn_last_record_is_dropped_wherever_it_ends() {
    let path = fresh_path("torn");
    let before = write_and_fold(&path, &[append(&[1, 2], 1)]);
    let kept = fs::metadata(path.join("log")).expect("is there").len() as usize;
    write_and_fold(&path, &[append(&[3], 1)]);
    let whole = fs::read(path.join("log")).expect("reads");

    for length in kept..whole.len() {
        fs::write(path.join("log"), &whole[..length]).expect("writes");
        assert_eq!(reopen(&path).expect("opens"), before, "torn at {length}");
        let after = write_and_fold(&path, &[append(&[3], 2)]);
        assert_eq!(reopen(&path).expect("opens"), after, "written after {length}");
    }
}

/// The pages of a torn record may reach the disk in any order, for example its end without its
/// start.
#[test]
fn a_last_record_with_a_hole_is_dropped() {
    let path = fresh_path("hole");
    let before = write_and_fold(&path, &[append(&[1, 2], 1)]);
    let kept = fs::metadata(path.join("log")).expect("is there").len() as usize;
    write_and_fold(&path, &[append(&[3, 4, 5], 1)]);
    let mut bytes = fs::read(path.join("log")).expect("reads");

    bytes[kept..kept + 40].fill(0);
    fs::write(path.join("log"), bytes).expect("writes");

    assert_eq!(reopen(&path).expect("opens"), before);
}

/// A synced and acknowledged record is damaged by bit rot. Dropping it and the records after it
/// would lose acknowledged entries, and a committed change could vanish. The process must fail to
/// start, whichever byte is damaged, with an error that names the file and the remedy.
#[test]
fn damage_before_the_last_record_is_refused_at_every_byte() {
    let path = fresh_path("rot");
    write_and_fold(&path, &[append(&[1], 1), append(&[2], 1)]);
    let end = fs::metadata(path.join("log")).expect("is there").len() as usize;
    write_and_fold(&path, &[append(&[3], 1)]);

    for offset in 0..end {
        flip_bit(&path, "log", offset);
        expect_damage_error(&path, "log");
        flip_bit(&path, "log", offset);
    }
    assert!(reopen(&path).is_ok(), "intact again");
}

#[test]
fn a_partial_or_damaged_snapshot_is_rejected() {
    let path = fresh_path("snapshot");
    write_and_fold(&path, &[append(&[1, 2], 1), snapshot(2, 1)]);
    let whole = fs::read(path.join("snapshot")).expect("reads");

    for length in 0..whole.len() {
        fs::write(path.join("snapshot"), &whole[..length]).expect("writes");
        expect_damage_error(&path, "snapshot");
    }
    for offset in 0..whole.len() {
        fs::write(path.join("snapshot"), &whole).expect("writes");
        flip_bit(&path, "snapshot", offset);
        expect_damage_error(&path, "snapshot");
    }
    fs::remove_file(path.join("snapshot")).expect("removes");
    expect_damage_error(&path, "snapshot");
}

/// A crash while a snapshot is written leaves its temporary file, which is ignored.
#[test]
fn an_unfinished_snapshot_is_ignored() {
    let path = fresh_path("unfinished");
    let before = write_and_fold(&path, &[append(&[1, 2], 1)]);

    fs::write(path.join("snapshot.next"), b"hfj1").expect("writes");

    assert_eq!(reopen(&path).expect("opens"), before);
}

/// After a crash between the replacement of the snapshot and that of the log, the old log still
/// holds entries that the snapshot covers. Entries after it count only if the log holds the last
/// entry covered by the snapshot; otherwise entries that were overwritten would be recovered.
#[test]
fn a_snapshot_beside_an_older_log_keeps_only_entries_that_follow_it() {
    for (term, kept) in [(1, vec![3]), (2, vec![])] {
        let path = fresh_path(&format!("between-{term}"));
        write_and_fold(&path, &[append(&[1, 2, 3], 1)]);
        let log = fs::read(path.join("log")).expect("reads");
        write_and_fold(&path, &[snapshot(2, term)]);

        fs::write(path.join("log"), log).expect("writes");
        let durable = reopen(&path).expect("opens");

        let indexes: Vec<u64> = durable.entries.iter().map(|entry| entry.index.0).collect();
        assert_eq!(indexes, kept, "snapshot of term {term}");
    }
}

#[test]
fn a_folder_keeps_its_identity_and_a_new_one_gets_another() {
    let path = fresh_path("number");
    let number = |path: &path::Path| journal::Journal::open(path).expect("opens").2;

    let first = number(&path);
    let again = number(&path);
    fs::remove_dir_all(&path).expect("removes");
    let lost = number(&path);

    assert_eq!(first, again);
    assert_ne!(first, lost);
    assert_ne!(first, consensus::VACANT);
}

/// A file of a voter's folder was deleted. With a new identity or an empty log the voter would have
/// lost what it acknowledged, so opening the folder must fail.
#[test]
fn a_used_folder_without_its_identity_or_log_is_rejected() {
    for file in ["identity", "log"] {
        let path = fresh_path(&format!("without-{file}"));
        write_and_fold(&path, &[append(&[1], 1)]);

        fs::remove_file(path.join(file)).expect("removes");

        expect_damage_error(&path, file);
    }
}

/// Guards against a folder that is refused, or gets another log, because its first opening was interrupted:
/// each file may be missing, or have the name under which it was written, up to the identity.
#[test]
fn an_interrupted_first_opening_is_repeated() {
    let states: [&[(&str, &str)]; 5] = [
        &[],
        &[("log", "log.next")],
        &[("log", "log.next"), ("identity", "identity.next")],
        &[("log", "log"), ("identity", "identity.next")],
        &[("log", "log")],
    ];
    for (index, files) in states.into_iter().enumerate() {
        let whole = fresh_path("interrupted-whole");
        journal::Journal::open(&whole).expect("opens");
        let path = fresh_path(&format!("interrupted-{index}"));
        fs::create_dir_all(&path).expect("creates");
        for (file, name) in files {
            fs::copy(whole.join(file), path.join(name)).expect("copies");
        }

        let (mut journal, durable, number) = journal::Journal::open(&path).expect("opens");
        journal.write(&append(&[1], 1)).expect("writes");
        drop(journal);

        assert_eq!(durable, node::Durable::default(), "{files:?}");
        let (_, durable, again) = journal::Journal::open(&path).expect("opens again");
        assert_eq!((durable.entries.len(), again), (1, number), "{files:?}");
    }
}

#[test]
fn a_folder_in_use_is_rejected() {
    let path = fresh_path("in-use");
    let (_journal, _, _) = journal::Journal::open(&path).expect("opens");

    let second = journal::Journal::open(&path);

    assert!(matches!(second, Err(error::Error::Locked(_))));
}

/// A write fails once, and the disk then recovers. The content of the disk is unknown after the
/// failure, so later writes must fail too, or an entry could be acknowledged after a gap.
#[test]
fn a_failed_write_is_final() {
    let path = fresh_path("failed");
    let (mut journal, _, _) = journal::Journal::open(&path).expect("opens");
    let aside = fresh_path("failed-aside");

    fs::rename(&path, &aside).expect("renames");
    let failed = journal.write(&snapshot(0, 0));
    fs::rename(&aside, &path).expect("renames");
    let after = journal.write(&append(&[1], 1));

    assert!(matches!(failed, Err(error::Error::Damaged(..) | error::Error::Disk(..))));
    assert!(matches!(after, Err(error::Error::EarlierWriteFailed)));
}

/// Two of three disks are lost permanently. The operator makes the survivor the only voter. It
/// leads alone and commits its log, and the recovery reports the voters whose folders must not
/// return.
#[test]
fn a_survivor_can_be_made_the_only_voter() {
    let path = fresh_path("survivor");
    let instance = name::Instance::from("a");
    let identity = |instance: &str, folder| consensus::Voter {
        instance: name::Instance::from(instance),
        folder,
    };
    let own = identity("a", journal::Journal::open(&path).expect("opens").2);
    let voters = vec![own.clone(), identity("b", 5), identity("c", 6)];
    let payload = consensus::Payload::Voters(voters.clone());
    let first = consensus::Entry { payload, ..entry(1, 1) };
    let ballot = Some(write::Ballot { term: number::Term(1), vote: None });
    write_and_fold(&path, &[write::Write { ballot, entries: vec![first], ..append(&[], 1) }]);

    let recovery = recovery::make_sole_voter(&path, &instance).expect("recovers");
    let settings = node::Settings::default();
    let (_, durable, _) = journal::Journal::open(&path).expect("opens");
    let start = clock::Instant::ORIGIN;
    let mut node = node::Node::new(own.clone(), durable, settings, 1, start);
    node.step(clock::Instant::from_millis(1_300), event::Event::Tick);
    node.step(clock::Instant::from_millis(1_301), event::Event::Persisted(1));
    node.step(clock::Instant::from_millis(1_302), event::Event::Persisted(2));

    assert_eq!(
        (recovery.last_index, recovery.removed_voters),
        (number::Index(1), voters[1..].to_vec())
    );
    assert!(node.is_leader());
    assert_eq!((node.voters(), node.committed()), ([own].as_slice(), number::Index(4)));
    assert!(
        recovery::make_sole_voter(&path, &name::Instance::from("b")).is_err(),
        "not b's folder"
    );
}

/// Random writes as a node requests them: contiguous entries, some after a truncation, and
/// snapshots.
fn arbitrary_writes() -> impl Strategy<Value = Vec<write::Write>> {
    let step = (any::<bool>(), 0..4_u64, 0..5_u64, 0..8_u8);
    prop::collection::vec(step, 1..30).prop_map(|steps| {
        let (mut last, mut covered, mut writes) = (0, 0, Vec::new());
        for (term, (votes, cut, count, kind)) in (1..).zip(steps) {
            if kind == 0 && last > covered {
                covered = last - (last - covered) / 2;
                writes.push(snapshot(covered, 1));
                continue;
            }
            let kept = (last - cut.min(last - covered)).max(covered);
            let indexes: Vec<u64> = (kept + 1..=kept + count).collect();
            let truncate = (kept < last).then_some(number::Index(kept + 1));
            let ballot = write::Ballot { term: number::Term(term), vote: None };
            let ballot = votes.then_some(ballot);
            writes.push(write::Write { ballot, truncate, ..append(&indexes, 1) });
            last = kept + count;
        }
        writes
    })
}

proptest! {
    // Each case syncs up to 30 times on a disk that is shared with other tests.
    #![proptest_config(ProptestConfig::with_cases(64))]

    #[test]
    fn a_reopened_journal_holds_what_was_written(writes in arbitrary_writes(), at in 0..30_usize) {
        let path = fresh_path("random");
        let (alone, together) = writes.split_at(at.min(writes.len()));

        let mut durable = write_and_fold(&path, alone);
        let (mut journal, _, _) = journal::Journal::open(&path).expect("opens");
        journal.write_all(together).expect("writes");
        drop(journal);
        together.iter().for_each(|write| durable.apply(write));

        prop_assert_eq!(reopen(&path).expect("opens"), durable);
    }
}
