//! What watchers follow: the view, and the differences that lead from one version to the next.

use crate::{configuration, fleet, name, number, patch};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// All that entries and agents need to know of the fleet.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    /// Version of the view.
    pub version: number::Version,
    /// Declared configuration.
    pub configuration: configuration::Configuration,
    /// Instances that have announced themselves.
    pub members: BTreeMap<name::Instance, fleet::Member>,
    /// Where groups stand; a group without a placement is not formed.
    pub placements: BTreeMap<name::Group, fleet::Placement>,
}

/// One difference between two versions of the view.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// A patch was accepted: its operations in order, and the number that it made.
    Configured {
        /// Number of the configuration after it.
        number: number::Configuration,
        /// Operations, in order.
        operations: Vec<patch::Operation>,
    },
    /// An instance was recorded or its record replaced.
    Joined(Box<fleet::Member>),
    /// An instance was forgotten.
    Forgotten(name::Instance),
    /// A group was placed under a new fencing number.
    Placed(name::Group, fleet::Placement),
    /// A group's placement ended.
    Unplaced(name::Group),
}

/// Differences of one version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// Version that the view has after these changes.
    pub version: number::Version,
    /// Changes, in order.
    pub changes: Vec<Change>,
}

/// What brings a watcher up to date.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Update {
    /// Nothing has changed since the watcher's version.
    Current,
    /// The steps after the watcher's version, oldest first.
    Steps(Vec<Step>),
    /// The whole view: the watcher's version is too old to be led on by steps.
    Whole(Box<View>),
}
