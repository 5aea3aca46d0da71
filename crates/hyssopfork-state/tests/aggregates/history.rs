//! Patches: races, resends and faults.

use crate::fixture;
use hyssopfork_state::{history, machine};
use hyssopfork_wire::{number, patch};

fn out(zone: &str) -> Vec<patch::Operation> {
    vec![patch::Operation::SetZoneOut(zone.into(), true)]
}

fn back(zone: &str) -> Vec<patch::Operation> {
    vec![patch::Operation::SetZoneOut(zone.into(), false)]
}

#[test]
fn of_two_patches_on_one_base_the_second_is_stale_and_lists_the_first() {
    let mut log = fixture::declared();

    let first = log.submit_on(1, "p1", out("zone-a"));
    let second = log.submit_on(1, "p2", out("zone-b"));

    assert_eq!(first, patch::Outcome::Accepted(number::Configuration(2)));
    let patch::Outcome::Stale { current, since } = second else { panic!("{second:?}") };
    assert_eq!(current, number::Configuration(2));
    assert_eq!(since.len(), 1);
    assert_eq!(since[0].identifier, patch::Identifier("p1".into()));
    assert!(!log.view().configuration.zones[&"zone-b".into()].out);
}

// The response to a patch was lost; hundreds of patches and a restart from a snapshot later, the
// patch is sent again. If the first decision were not retained, the resend would be stale and the
// operator would apply the change a second time.
#[test]
fn a_resend_gets_the_first_outcome_after_hundreds_of_changes_and_a_snapshot() {
    let mut log = fixture::declared();
    let accepted = log.submit_on(1, "p1", out("zone-a"));
    let stale = log.submit_on(1, "p2", out("zone-b"));
    let invalid = log.submit_on(2, "p3", out("nowhere"));
    for count in 0..500 {
        let flip = if count % 2 == 0 { back("zone-a") } else { out("zone-a") };
        log.submit(&format!("later-{count}"), flip);
    }

    log.machine = machine::Machine::decode(&log.machine.encode()).expect("own snapshot");

    assert_eq!(log.submit_on(1, "p1", out("zone-a")), accepted);
    assert_eq!(log.submit_on(1, "p2", out("zone-b")), stale);
    assert_eq!(log.submit_on(2, "p3", out("nowhere")), invalid);
    assert_eq!(log.view().configuration.number, number::Configuration(502));
}

#[test]
fn an_identifier_with_other_content_is_rejected_as_reused() {
    let mut log = fixture::declared();
    log.submit_on(1, "p1", out("zone-a"));

    let other_content = log.submit_on(1, "p1", out("zone-b"));
    let other_base = log.submit_on(2, "p1", out("zone-a"));

    assert_eq!(other_content, patch::Outcome::Reused);
    assert_eq!(other_base, patch::Outcome::Reused);
}

#[test]
fn an_invalid_patch_changes_nothing_and_lists_every_fault() {
    let mut log = fixture::declared();
    let before = log.view().clone();

    let outcome = log.submit(
        "p1",
        vec![
            patch::Operation::SetZoneOut("nowhere".into(), true),
            patch::Operation::PutGroup("G!".into(), fixture::group(0)),
            patch::Operation::RemovePool("desk".into()),
        ],
    );

    let patch::Outcome::Invalid(faults) = outcome else { panic!("{outcome:?}") };
    for part in ["nowhere", "\"G!\"", "size 0", "names pool desk"] {
        assert!(faults.iter().any(|fault| fault.contains(part)), "{part} in {faults:?}");
    }
    assert_eq!(log.view(), &before);
}

#[test]
fn an_accepted_patch_whose_identifier_was_evicted_is_not_accepted_twice() {
    let mut log = fixture::declared();
    log.submit_on(1, "p1", out("zone-a"));
    for count in 0..history::MAX_DECISIONS {
        log.submit_on(0, &format!("stale-{count}"), out("zone-a"));
    }

    let again = log.submit_on(1, "p1", out("zone-a"));

    assert!(matches!(again, patch::Outcome::Stale { .. }), "{again:?}");
    assert_eq!(log.machine.history().len(), history::MAX_DECISIONS);
}

#[test]
fn decisions_on_long_invalid_patches_are_bounded_by_bytes() {
    let mut log = fixture::declared();
    let faulty: Vec<_> = (0..100)
        .map(|count| patch::Operation::RemoveTeam(format!("team-{count}").as_str().into()))
        .collect();

    for count in 0..6_000 {
        log.submit_on(1, &format!("p-{count}"), faulty.clone());
    }

    let snapshot = log.machine.encode().len();
    assert!(snapshot < 2 * history::MAX_DECISION_BYTES, "{snapshot} bytes");
    assert!(log.machine.history().len() < 6_000);
}

#[test]
fn malformed_patches_are_rejected_and_not_stored() {
    let mut log = fixture::declared();
    let long = "x".repeat(history::MAX_IDENTIFIER_BYTES + 1);

    let unnamed = log.submit("", out("zone-a"));
    let endless = log.submit(&long, out("zone-a"));
    let empty = log.submit("p1", Vec::new());

    for outcome in [unnamed, endless, empty] {
        assert!(matches!(outcome, patch::Outcome::Invalid(_)), "{outcome:?}");
    }
    assert_eq!(log.machine.history().len(), 1);
}
