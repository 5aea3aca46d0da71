//! How a view is led on by what control answers.

use hyssopfork_wire::change;

/// Why an update was not taken: it ends before the version that is held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Back;

/// Leads `view` on by `update`; returns whether its version moved.
///
/// # Errors
///
/// [`Back`] when the update ends before the view's version.
pub fn lead(view: &mut change::View, update: change::Update) -> Result<bool, Back> {
    let before = view.version;
    match update {
        change::Update::Current => {}
        change::Update::Steps(steps) => {
            if steps.last().is_some_and(|step| step.version < before) {
                return Err(Back);
            }
            steps.into_iter().for_each(|step| apply(view, step));
        }
        change::Update::Whole(whole) if whole.version < before => return Err(Back),
        change::Update::Whole(whole) => *view = *whole,
    }
    Ok(view.version > before)
}

fn apply(view: &mut change::View, step: change::Step) {
    if step.version <= view.version {
        return;
    }
    step.changes.into_iter().for_each(|change| take(view, change));
    view.version = step.version;
}

fn take(view: &mut change::View, change: change::Change) {
    match change {
        change::Change::Configured { number, .. } => view.configuration.number = number,
        change::Change::Joined(member) => {
            view.members.insert(member.announcement.instance.clone(), *member);
        }
        change::Change::Forgotten(instance) => {
            view.members.remove(&instance);
        }
        change::Change::Placed(group, placement) => {
            view.placements.insert(group, placement);
        }
        change::Change::Unplaced(group) => {
            view.placements.remove(&group);
        }
    }
}
