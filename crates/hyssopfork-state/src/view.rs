//! Updates a view from one version to the next, in control and in every watcher.

use crate::operation;
use hyssopfork_wire::{change, number};
use quick_error::quick_error;

quick_error! {
    /// Why an update was rejected.
    #[derive(Debug, PartialEq, Eq)]
    pub enum Error {
        /// The update ends before the version of the view.
        Back(have: number::Version, offered: number::Version) {
            display(
                "an update to version {} is older than the view's version {}; drop it and its \
                 lease and renew with the control instance that leads",
                offered,
                have
            )
        }
    }
}

/// Applies one step to `view`. A step at or below its version has been applied before and is
/// skipped.
pub fn apply_step(view: &mut change::View, step: &change::Step) {
    if step.version <= view.version {
        return;
    }
    step.changes.iter().for_each(|change| apply_change(view, change));
    view.version = step.version;
}

/// Applies an update from control to `view`, and returns whether its version changed.
///
/// Steps that the view already contains are skipped, so the responses to a watch and to a renewal
/// may overlap in any order.
///
/// # Errors
///
/// [`Error::Back`] when the update ends before the view's version: it comes from a control instance
/// that did not have what this view contains, so a lease that came with it is not valid and must be
/// dropped with it.
pub fn apply_update(view: &mut change::View, update: change::Update) -> Result<bool, Error> {
    let previous = view.version;
    if let Some(offered) = end_version(&update)
        && offered < previous
    {
        return Err(Error::Back(previous, offered));
    }
    match update {
        change::Update::Current => {}
        change::Update::Steps(steps) => steps.iter().for_each(|step| apply_step(view, step)),
        change::Update::Whole(whole) if whole.version > previous => *view = *whole,
        change::Update::Whole(_) => {}
    }
    Ok(view.version > previous)
}

/// Version that an update leads to; `None` when it contains no change.
fn end_version(update: &change::Update) -> Option<number::Version> {
    match update {
        change::Update::Current => None,
        change::Update::Steps(steps) => steps.last().map(|step| step.version),
        change::Update::Whole(view) => Some(view.version),
    }
}

fn apply_change(view: &mut change::View, change: &change::Change) {
    match change {
        change::Change::Configured { number, operations } => {
            for operation in operations {
                operation::apply(&mut view.configuration, operation);
            }
            view.configuration.number = *number;
        }
        change::Change::Joined(member) => {
            view.members.insert(member.announcement.instance.clone(), (**member).clone());
        }
        change::Change::Forgotten(instance) => {
            view.members.remove(instance);
        }
        change::Change::Placed(group, placement) => {
            view.placements.insert(group.clone(), placement.clone());
        }
        change::Change::Unplaced(group) => {
            view.placements.remove(group);
        }
    }
}
