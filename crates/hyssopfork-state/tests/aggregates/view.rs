//! Updates of a watcher's view.

use crate::fixture;
use hyssopfork_state::{command, view};
use hyssopfork_wire::{change, number, patch};

/// A log and its steps.
fn steps() -> (fixture::Log, Vec<change::Step>) {
    let mut log = fixture::Log::new();
    let mut steps = Vec::new();
    let zone_out = |out| vec![patch::Operation::SetZoneOut("zone-a".into(), out)];
    for (count, operations) in
        [fixture::declare(), zone_out(true), zone_out(false)].into_iter().enumerate()
    {
        let patch = patch::Patch {
            identifier: patch::Identifier(format!("p{count}")),
            base: number::Configuration(count as u64),
            author: "desk".into(),
            operations,
        };
        let applied = log.apply(&command::Command::Submit(patch));
        let version = log.view().version;
        steps.push(change::Step { version, changes: applied.changes });
    }
    (log, steps)
}

#[test]
fn steps_lead_a_watcher_to_the_state_s_own_view() {
    let (log, steps) = steps();
    let mut watched = change::View::default();

    let moved = view::lead(&mut watched, change::Update::Steps(steps));

    assert_eq!(moved, Ok(true));
    assert_eq!(&watched, log.view());
}

#[test]
fn overlapping_answers_are_taken_once() {
    let (log, steps) = steps();
    let mut watched = change::View::default();
    view::lead(&mut watched, change::Update::Steps(steps[..2].to_vec())).expect("leads on");

    let overlapping = view::lead(&mut watched, change::Update::Steps(steps.clone()));
    let nothing = view::lead(&mut watched, change::Update::Current);

    assert_eq!(overlapping, Ok(true));
    assert_eq!(nothing, Ok(false));
    assert_eq!(&watched, log.view());
}

// A control instance that was cut off responds late with an old view. If a watcher accepted it, a
// zone that operators took out would receive work again.
#[test]
fn no_update_leads_back() {
    let (log, steps) = steps();
    let mut watched = change::View::default();
    view::lead(&mut watched, change::Update::Steps(steps[..1].to_vec())).expect("leads on");
    let old = watched.clone();
    view::lead(&mut watched, change::Update::Steps(steps.clone())).expect("leads on");

    let whole = view::lead(&mut watched, change::Update::Whole(Box::new(old.clone())));
    let part = view::lead(&mut watched, change::Update::Steps(steps[..1].to_vec()));
    view::apply(&mut watched, &steps[1]);

    let back = Err(view::Error::Back(log.view().version, old.version));
    assert_eq!(whole, back);
    assert_eq!(part, back);
    assert_eq!(&watched, log.view());
}
