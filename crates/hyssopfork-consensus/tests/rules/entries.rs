//! Entries and snapshots: acknowledgement, replacement, commitment and limits.

use crate::fixture;
use hyssopfork_consensus::{action, event, node};
use hyssopfork_wire::{consensus, number};

/// If an entry counted towards a quorum before its sync, a crash could lose it, and with it a
/// change that was reported to an operator as accepted.
#[test]
fn an_entry_is_acknowledged_only_after_it_is_synced() {
    let mut fixture = fixture::Fixture::new(&[]);

    let before = fixture.receive("b", fixture::append(1, (0, 0), vec![fixture::entry(1, 1)]));
    let heartbeat = fixture.receive("b", fixture::append(2, (1, 1), Vec::new()));
    let after = fixture.persist();

    assert!(fixture::acknowledges(&heartbeat, 0), "a slow disk does not end the quorum lease");

    assert!(
        !fixture::acknowledges(&before, 1) && !fixture::acknowledges(&heartbeat, 1),
        "not before the sync"
    );
    assert!(fixture::acknowledges(&after, 1), "after it");
}

/// A leader counts its own entries only once they are synced, as it does for followers.
#[test]
fn a_leader_counts_its_own_entry_only_after_it_is_synced() {
    let mut fixture = fixture::Fixture::leader(&[]);

    fixture.receive("b", fixture::append_accepted(1, 1));
    let before = fixture.node.committed();
    fixture.persist();

    assert_eq!(before, number::Index(0));
    assert_eq!(fixture.node.committed(), number::Index(1));
}

/// An entry of an earlier term that a quorum stores may still be overwritten by a leader that lacks
/// it. It counts as committed only with a later entry of the leader's own term.
#[test]
fn only_entries_of_the_current_term_are_committed_by_counting() {
    let mut fixture = fixture::Fixture::leader(&[1]);
    fixture.persist();

    fixture.receive("b", fixture::append_accepted(1, 1));
    let old_term = fixture.node.committed();
    fixture.receive("b", fixture::append_accepted(2, 2));

    assert_eq!(old_term, number::Index(0));
    assert_eq!(fixture.node.committed(), number::Index(2));
}

/// A message with one entry arrives again after three entries were acknowledged. Truncating the log
/// after that entry would drop two entries that the leader counts as stored.
#[test]
fn a_delayed_append_does_not_truncate_the_log() {
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
    let response = fixture.receive("b", fixture::append(3, (3, 1), Vec::new()));

    assert!(fixture::acknowledges(&response, 3));
}

/// A new leader replaces entries 2 and 3 while they are being written. The sync of that write must
/// not acknowledge the entries that replaced them.
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
    fixture.receive("c", fixture::append_in_term(2, 1, (1, 1), Vec::new()));
    fixture.receive("c", fixture::append_in_term(2, 2, (1, 1), vec![fixture::entry(2, 2)]));

    // The entries of term 1 and the new term are synced, but not the replacing entry.
    fixture.step(event::Event::Persisted(2));
    let early = fixture.receive("c", fixture::append_in_term(2, 3, (2, 2), Vec::new()));
    let late = fixture.persist();

    assert!(!fixture::acknowledges(&early, 2));
    assert!(fixture::acknowledges(&late, 2));
}

/// A snapshot replaces conflicting entries. Until it is synced the disk still holds those entries,
/// so nothing may be acknowledged.
#[test]
fn a_snapshot_is_acknowledged_only_after_it_is_synced() {
    let mut fixture = fixture::Fixture::new(&[1, 1, 1]);
    fixture.receive("b", fixture::append_in_term(2, 1, (0, 0), Vec::new()));
    fixture.persist();

    let installed = fixture.receive("b", fixture::whole_snapshot(5, 2));
    let early = fixture.receive("b", fixture::append_in_term(2, 2, (5, 2), Vec::new()));
    let late = fixture.persist();

    assert!(![3, 5].iter().any(|index| fixture::acknowledges(&installed, *index)));
    assert!(![3, 5].iter().any(|index| fixture::acknowledges(&early, *index)));
    assert!(fixture::acknowledges(&late, 5));
}

/// A snapshot ends before the last entry of the follower. That entry is retained only if the
/// follower holds the last entry covered by the snapshot; otherwise it conflicts with the leader's
/// log and must not be acknowledged.
#[test]
fn a_snapshot_keeps_only_entries_that_follow_it() {
    for (term, kept) in [(1, true), (2, false)] {
        let mut fixture = fixture::Fixture::new(&[1, 1, 1]);

        fixture.receive("b", fixture::whole_snapshot(2, term));
        fixture.persist();
        let response = fixture.receive("b", fixture::append_in_term(2, 2, (3, 1), Vec::new()));

        assert_eq!(fixture::acknowledges(&response, 3), kept, "snapshot of term {term}");
    }
}

/// While no quorum responds, the bytes of uncommitted commands are bounded. A proposal above the
/// limit is rejected at once, until earlier ones are committed.
#[test]
fn uncommitted_commands_are_bounded() {
    let mut fixture = fixture::Fixture::committed_leader();
    let propose = || event::Event::Propose { ticket: 1, command: vec![1; node::MAX_COMMAND_BYTES] };

    let accepted = (0..16).all(|_| !fixture::rejects_proposal(&fixture.step(propose())));
    let over_limit = fixture.step(propose());
    fixture.persist();
    fixture.receive("b", fixture::append_accepted(2, 2));
    let after = fixture.step(propose());

    assert!(accepted);
    assert!(fixture::rejects_proposal(&over_limit));
    assert!(!fixture::rejects_proposal(&after));
}

/// Large commands covered by a snapshot are not retained in memory, even if they are few: a
/// follower that lacks them gets the snapshot.
#[test]
fn entries_retained_before_a_snapshot_are_bounded() {
    let mut fixture = fixture::Fixture::committed_leader();
    for _ in 0..8 {
        let command = vec![1; node::MAX_COMMAND_BYTES];
        fixture.step(event::Event::Propose { ticket: 1, command });
    }
    fixture.persist();
    fixture.receive("b", fixture::append_accepted(2, 9));

    fixture.step(event::Event::Snapshotted { index: number::Index(9), data: vec![1] });
    let response = fixture.receive("c", fixture::append_rejected(20, 1));

    let is_snapshot_part =
        |message: &&consensus::Message| matches!(message, consensus::Message::Snapshot { .. });
    assert!(fixture::sent_messages(&response).iter().any(is_snapshot_part));
}

/// A follower is silent while many commands are proposed. The messages in flight to it are bounded,
/// and so are the bytes that it is sent at once after it responds.
#[test]
fn entries_in_flight_are_bounded() {
    let mut fixture = fixture::Fixture::committed_leader();
    let entries = |actions: &[action::Action]| -> Vec<usize> {
        let count = |message: &&consensus::Message| match message {
            consensus::Message::Append { entries, .. } => entries.len(),
            _ => 0,
        };
        fixture::sent_messages(actions).iter().map(count).filter(|count| *count > 0).collect()
    };

    let mut messages = 0;
    for _ in 0..100 {
        let propose = event::Event::Propose { ticket: 1, command: vec![1; 10_000] };
        messages += entries(&fixture.step(propose)).len();
    }
    let retried = entries(&fixture.receive("b", fixture::append_rejected(2, 1)));

    assert!(messages <= 2 * 16, "{messages} to two followers");
    assert_eq!(retried, [6], "60 KB of 100 times 10 KB");
}

/// The network duplicates a rejection. If the leader retried for each copy, and the network
/// duplicated the responses to those, the number of messages would grow without end.
#[test]
fn a_duplicated_rejection_causes_one_retry() {
    let mut fixture = fixture::Fixture::leader(&[1, 1, 1]);

    let first = fixture.receive("b", fixture::append_rejected(1, 0));
    let second = fixture.receive("b", fixture::append_rejected(1, 0));

    assert_eq!(
        (fixture::sent_messages(&first).len(), fixture::sent_messages(&second).len()),
        (1, 0)
    );
}
