//! Entries and snapshots: acknowledging, replacing, committing.

use crate::fixture;
use hyssopfork_consensus::{action, event, node};
use hyssopfork_wire::{consensus, number};

/// An entry that counts towards a quorum before it is on the disk is lost in a crash, and with it
/// a change that an operator was told is accepted.
#[test]
fn an_entry_is_acknowledged_only_after_it_is_synced() {
    let mut fixture = fixture::Fixture::new(&[]);

    let before = fixture.receive("b", fixture::append(1, (0, 0), vec![fixture::entry(1, 1)]));
    let heartbeat = fixture.receive("b", fixture::append(2, (1, 1), Vec::new()));
    let after = fixture.persist();

    assert!(fixture::acknowledges(&heartbeat, 0), "a slow disk doesn't end the leader's lease");

    assert!(
        !fixture::acknowledges(&before, 1) && !fixture::acknowledges(&heartbeat, 1),
        "not before the sync"
    );
    assert!(fixture::acknowledges(&after, 1), "after it");
}

/// A leader counts its own disk no earlier than others count theirs.
#[test]
fn a_leader_counts_its_own_entry_only_after_it_is_synced() {
    let mut fixture = fixture::Fixture::leading(&[]);

    fixture.receive("b", fixture::appended(1, 1));
    let before = fixture.node.committed();
    fixture.persist();

    assert_eq!(before, number::Index(0));
    assert_eq!(fixture.node.committed(), number::Index(1));
}

/// A quorum has an entry of an old term; a leader that counts it as committed may still lose it to
/// a leader that lacks it. Only an entry of the leader's own term decides.
#[test]
fn only_entries_of_the_own_term_are_committed_by_counting() {
    let mut fixture = fixture::Fixture::leading(&[1]);
    fixture.persist();

    fixture.receive("b", fixture::appended(1, 1));
    let old = fixture.node.committed();
    fixture.receive("b", fixture::appended(2, 2));

    assert_eq!(old, number::Index(0));
    assert_eq!(fixture.node.committed(), number::Index(2));
}

/// A message with one entry comes again after three were acknowledged. Cutting the log off at its
/// end would drop two entries that the leader counts as being here.
#[test]
fn a_late_message_cuts_nothing_off() {
    let mut fixture = fixture::Fixture::new(&[]);
    fixture.receive(
        "b",
        fixture::append(
            1,
            (0, 0),
            vec![fixture::entry(1, 1), fixture::entry(2, 1), fixture::entry(3, 1)],
        ),
    );
    fixture.persist();

    fixture.receive("b", fixture::append(2, (0, 0), vec![fixture::entry(1, 1)]));
    let answer = fixture.receive("b", fixture::append(3, (3, 1), Vec::new()));

    assert!(fixture::acknowledges(&answer, 3));
}

/// Entries 2 and 3 were being written when a new leader replaced them. The sync of the first write
/// tells nothing of what replaced them.
#[test]
fn a_sync_of_replaced_entries_acknowledges_nothing() {
    let mut fixture = fixture::Fixture::new(&[]);
    fixture.receive(
        "b",
        fixture::append(
            1,
            (0, 0),
            vec![fixture::entry(1, 1), fixture::entry(2, 1), fixture::entry(3, 1)],
        ),
    );
    fixture.receive("c", fixture::append_in(2, 1, (1, 1), Vec::new()));
    fixture.receive("c", fixture::append_in(2, 2, (1, 1), vec![fixture::entry(2, 2)]));

    // The entries of term 1 and the new term are synced, what replaces the entries isn't.
    fixture.step(event::Event::Persisted(2));
    let early = fixture.receive("c", fixture::append_in(2, 3, (2, 2), Vec::new()));
    let late = fixture.persist();

    assert!(!fixture::acknowledges(&early, 2));
    assert!(fixture::acknowledges(&late, 2));
}

/// A snapshot replaces entries of a history that lost. Until it is synced the disk still holds
/// those, and nothing may be acknowledged.
#[test]
fn a_snapshot_is_acknowledged_only_after_it_is_synced() {
    let mut fixture = fixture::Fixture::new(&[1, 1, 1]);
    fixture.receive("b", fixture::append_in(2, 1, (0, 0), Vec::new()));
    fixture.persist();

    let installed = fixture.receive("b", fixture::snapshot(5, 2));
    let early = fixture.receive("b", fixture::append_in(2, 2, (5, 2), Vec::new()));
    let late = fixture.persist();

    assert!(![3, 5].iter().any(|index| fixture::acknowledges(&installed, *index)));
    assert!(![3, 5].iter().any(|index| fixture::acknowledges(&early, *index)));
    assert!(fixture::acknowledges(&late, 5));
}

/// A snapshot ends before the follower's last entry. That entry stays only if the follower held the
/// snapshot's own last one; else it follows a history that lost, and must not be taken as matching.
#[test]
fn a_snapshot_keeps_only_entries_that_follow_it() {
    for (term, kept) in [(1, true), (2, false)] {
        let mut fixture = fixture::Fixture::new(&[1, 1, 1]);

        fixture.receive("b", fixture::snapshot(2, term));
        fixture.persist();
        let answer = fixture.receive("b", fixture::append_in(2, 2, (3, 1), Vec::new()));

        assert_eq!(fixture::acknowledges(&answer, 3), kept, "snapshot of term {term}");
    }
}

/// No quorum answers for a while. What waits stays bounded in bytes, and a proposal over it is
/// rejected at once, until some are committed.
#[test]
fn what_waits_to_be_committed_is_bounded() {
    let mut fixture = fixture::Fixture::settled();
    let propose = || event::Event::Propose { ticket: 1, command: vec![1; node::MAX_COMMAND_BYTES] };

    let taken = (0..16).all(|_| !fixture::rejects(&fixture.step(propose())));
    let full = fixture.step(propose());
    fixture.persist();
    fixture.receive("b", fixture::appended(2, 2));
    let after = fixture.step(propose());

    assert!(taken);
    assert!(fixture::rejects(&full));
    assert!(!fixture::rejects(&after));
}

/// Large commands were committed and are in a snapshot. They don't stay in memory just because they
/// are few: a follower that lacks them gets the snapshot.
#[test]
fn what_is_kept_before_a_snapshot_is_bounded() {
    let mut fixture = fixture::Fixture::settled();
    for _ in 0..8 {
        let command = vec![1; node::MAX_COMMAND_BYTES];
        fixture.step(event::Event::Propose { ticket: 1, command });
    }
    fixture.persist();
    fixture.receive("b", fixture::appended(2, 9));

    fixture.step(event::Event::Snapshotted { index: number::Index(9), data: vec![1] });
    let answer = fixture.receive("c", fixture::refused(20, 1));

    let parts =
        |message: &&consensus::Message| matches!(message, consensus::Message::Snapshot { .. });
    assert!(fixture::sent(&answer).iter().any(parts));
}

/// A follower is silent while many commands are proposed. What is on its way to it stays bounded in
/// messages, and what it then gets at once in bytes.
#[test]
fn what_is_on_its_way_is_bounded() {
    let mut fixture = fixture::Fixture::settled();
    let entries = |actions: &[action::Action]| -> Vec<usize> {
        let count = |message: &&consensus::Message| match message {
            consensus::Message::Append { entries, .. } => entries.len(),
            _ => 0,
        };
        fixture::sent(actions).iter().map(count).filter(|count| *count > 0).collect()
    };

    let mut messages = 0;
    for _ in 0..100 {
        let propose = event::Event::Propose { ticket: 1, command: vec![1; 10_000] };
        messages += entries(&fixture.step(propose)).len();
    }
    let again = entries(&fixture.receive("b", fixture::refused(2, 1)));

    assert!(messages <= 2 * 16, "{messages} to two followers");
    assert_eq!(again, [6], "60 KB of 100 times 10 KB");
}

/// A network doubles a refusal. If the leader sent again for each copy, and the network doubled
/// the answers to those, messages would grow without end.
#[test]
fn a_doubled_refusal_is_answered_once() {
    let mut fixture = fixture::Fixture::leading(&[1, 1, 1]);

    let first = fixture.receive("b", fixture::refused(1, 0));
    let second = fixture.receive("b", fixture::refused(1, 0));

    assert_eq!((fixture::sent(&first).len(), fixture::sent(&second).len()), (1, 0));
}
