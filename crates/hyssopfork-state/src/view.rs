//! How a view is led from one version to the next, here and in every watcher.

use crate::operation;
use hyssopfork_wire::{change, number};
use quick_error::quick_error;

quick_error! {
    /// Why an update was not taken.
    #[derive(Debug, PartialEq, Eq)]
    pub enum Error {
        /// The update ends before the version that is held.
        Back(have: number::Version, offered: number::Version) {
            display(
                "an update to version {} would lead back from version {}; drop it and its lease \
                 and renew with a control instance that leads",
                offered,
                have
            )
        }
    }
}

/// Leads `view` on by one step. A step at or below its version was taken before and is left out.
pub fn apply(view: &mut change::View, step: &change::Step) {
    if step.version <= view.version {
        return;
    }
    step.changes.iter().for_each(|change| take(view, change));
    view.version = step.version;
}

/// Leads `view` on by what control answered, and returns whether its version moved.
///
/// Steps that the view has already taken are left out, so that answers to a watch and to a
/// renewal may overlap in any order.
///
/// # Errors
///
/// [`Error::Back`] when the update ends before the view's version: it comes from a control
/// instance that had not seen what this view holds, so a lease that came with it proves nothing
/// and must be dropped with it.
pub fn lead(view: &mut change::View, update: change::Update) -> Result<bool, Error> {
    let before = view.version;
    if let Some(offered) = end(&update)
        && offered < before
    {
        return Err(Error::Back(before, offered));
    }
    match update {
        change::Update::Current => {}
        change::Update::Steps(steps) => steps.iter().for_each(|step| apply(view, step)),
        change::Update::Whole(whole) if whole.version > before => *view = *whole,
        change::Update::Whole(_) => {}
    }
    Ok(view.version > before)
}

/// Version that an update leads to; `None` when it leads nowhere.
fn end(update: &change::Update) -> Option<number::Version> {
    match update {
        change::Update::Current => None,
        change::Update::Steps(steps) => steps.last().map(|step| step.version),
        change::Update::Whole(view) => Some(view.version),
    }
}

fn take(view: &mut change::View, change: &change::Change) {
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
