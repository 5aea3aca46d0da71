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
fn steps_update_a_watcher_to_the_view_of_the_state() {
    let (log, steps) = steps();
    let mut watched = change::View::default();

    let changed = view::apply_update(&mut watched, change::Update::Steps(steps));

    assert_eq!(changed, Ok(true));
    assert_eq!(&watched, log.view());
}

#[test]
fn overlapping_updates_are_applied_once() {
    let (log, steps) = steps();
    let mut watched = change::View::default();
    view::apply_update(&mut watched, change::Update::Steps(steps[..2].to_vec()))
        .expect("the update is newer");

    let overlapping = view::apply_update(&mut watched, change::Update::Steps(steps.clone()));
    let nothing = view::apply_update(&mut watched, change::Update::Current);

    assert_eq!(overlapping, Ok(true));
    assert_eq!(nothing, Ok(false));
    assert_eq!(&watched, log.view());
}

// A control instance that was cut off responds late with an old view. If a watcher accepted it, a
// zone that operators took out would receive work again.
#[test]
fn an_older_update_is_rejected() {
    let (log, steps) = steps();
    let mut watched = change::View::default();
    view::apply_update(&mut watched, change::Update::Steps(steps[..1].to_vec()))
        .expect("the update is newer");
    let old = watched.clone();
    view::apply_update(&mut watched, change::Update::Steps(steps.clone()))
        .expect("the update is newer");

    let whole = view::apply_update(&mut watched, change::Update::Whole(Box::new(old.clone())));
    let part = view::apply_update(&mut watched, change::Update::Steps(steps[..1].to_vec()));
    view::apply_step(&mut watched, &steps[1]);

    let back = Err(view::Error::Back(log.view().version, old.version));
    assert_eq!(whole, back);
    assert_eq!(part, back);
    assert_eq!(&watched, log.view());
}
