//! The view that watchers keep a copy of, and the changes between its versions.

use crate::{configuration, fleet, name, number, patch};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// State of the fleet as entries and agents use it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    /// Version of the view.
    pub version: number::Version,
    /// Declared configuration.
    pub configuration: configuration::Configuration,
    /// Instances whose agents have announced them.
    pub members: BTreeMap<name::Instance, fleet::Member>,
    /// Placements of the formed groups.
    pub placements: BTreeMap<name::Group, fleet::Placement>,
}

/// One difference between two versions of the view.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// A patch was accepted.
    Configured {
        /// Number of the configuration after the patch.
        number: number::Configuration,
        /// Operations, in order.
        operations: Vec<patch::Operation>,
    },
    /// An instance was recorded, or its record was replaced.
    Joined(Box<fleet::Member>),
    /// The record of an instance was deleted.
    Forgotten(name::Instance),
    /// A group was placed under a new fencing number.
    Placed(name::Group, fleet::Placement),
    /// A group's placement was removed.
    Unplaced(name::Group),
}

/// Changes from one version of the view to the next.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// Version of the view after the changes.
    pub version: number::Version,
    /// Changes, in order.
    pub changes: Vec<Change>,
}

/// Update that brings a watcher's view to the current version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Update {
    /// Nothing has changed since the watcher's version.
    Current,
    /// The steps after the watcher's version, oldest first.
    Steps(Vec<Step>),
    /// The full view: the steps after the watcher's version are no longer kept.
    Whole(Box<View>),
}
