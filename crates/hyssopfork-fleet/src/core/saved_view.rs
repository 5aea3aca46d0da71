//! The view in the data folder, from which the first leader after a restart of all processes starts.
//!
//! The processes that follow a leader know its view, but when all of them are killed, only the folders
//! are left. Upstreams take several heartbeats to announce themselves to a new leader, the more the
//! larger the fleet is. The saved view is only a leader's first knowledge, as that of its followers is:
//! no entry uses it before a leader has published it, and the leader checks it by the upstreams' calls
//! and reports. Acknowledged departures are in the log, since the view may be older.

use super::{Core, LocalView};
use crate::{action, declaration, notice, quarantine, view};
use hyssopfork_wire::clock;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

/// Time between two saves of a view that changes.
const SAVE_INTERVAL: Duration = Duration::from_secs(1);

/// State of the saved view.
#[derive(Debug, Default)]
pub(super) struct State {
    saved_at: Option<clock::Instant>,
    /// Whether the view has changed since it was saved.
    has_changed: bool,
    /// Whether the local view is a restored one, which this process's entry doesn't have.
    is_restored: bool,
    /// Declaration that the entry gets together with its first view.
    declaration: Option<Arc<declaration::Declaration>>,
}

impl State {
    /// Records an update of the local view.
    pub(super) fn on_update(&mut self, update: &view::Update) {
        self.has_changed |= update.is_full
            || !update.upstreams.is_empty()
            || !update.groups.is_empty()
            || !update.entries.is_empty()
            || !update.quarantine.is_empty();
    }

    /// Holds a declaration until the entry has a view; returns it if the entry has one.
    pub(super) fn hold_declaration(
        &mut self,
        declaration: Arc<declaration::Declaration>,
    ) -> Option<Arc<declaration::Declaration>> {
        if !self.is_restored {
            return Some(declaration);
        }
        self.declaration = Some(declaration);
        None
    }

    /// Removes and returns the held declaration.
    pub(super) fn take_declaration(&mut self) -> Option<Arc<declaration::Declaration>> {
        self.declaration.take()
    }

    /// Returns whether the local view is a restored one; it no longer counts as such.
    pub(super) fn take_restored(&mut self) -> bool {
        std::mem::take(&mut self.is_restored)
    }
}

impl Core {
    /// Takes over a saved view, unless this process has followed a leader meanwhile.
    pub(super) fn restore_view(&mut self, view: view::Update) {
        if self.local_view.stamp != view::Stamp::default() {
            return;
        }
        let (upstreams, groups) = (view.upstreams.len(), view.groups.len());
        self.local_view.stamp = view.stamp;
        self.local_view.plans = view.plans;
        view::merge(&mut self.local_view.upstreams, view.upstreams);
        view::merge(&mut self.local_view.groups, view.groups);
        view::merge(&mut self.local_view.entries, view.entries);
        view::merge(&mut self.local_view.quarantine, view.quarantine);
        self.saved_view.is_restored = true;
        self.push_notice(notice::Notice::ViewRestored(upstreams, groups));
    }

    pub(super) fn save_view_if_due(&mut self) {
        let is_due = self.saved_view.saved_at.is_none_or(|at| self.now.since(at) >= SAVE_INTERVAL);
        if !self.saved_view.has_changed || !is_due || self.node.is_none() {
            return;
        }
        self.saved_view.has_changed = false;
        self.saved_view.saved_at = Some(self.now);
        let view = self.full_update(&view::Update::default());
        self.push_action(action::Action::SaveView(Box::new(view)));
    }

    /// The whole local view, with the fields of `update` that are sent in full each time.
    pub(super) fn full_update(&self, update: &view::Update) -> view::Update {
        let LocalView { upstreams, groups, entries, quarantine, plans, stamp, .. } =
            self.local_view.clone();
        view::Update {
            stamp,
            is_full: true,
            plans,
            upstreams: upstreams.into_iter().map(present).collect(),
            groups: groups.into_iter().map(present).collect(),
            entries: entries.into_iter().map(present).collect(),
            quarantine: quarantine.into_iter().map(present).collect(),
            ..update.clone()
        }
    }

    /// The upstream as it was known before, marked as leaving if its departure was acknowledged since.
    pub(super) fn with_departure(
        departed: &BTreeSet<&quarantine::Process>,
        mut upstream: view::Upstream,
    ) -> view::Upstream {
        let process = quarantine::Process {
            instance: upstream.announcement.instance.clone(),
            start_time_ms: upstream.announcement.start_time_ms,
        };
        if departed.contains(&process) {
            upstream.status = view::Status::Leaving;
        }
        upstream
    }
}

fn present<K, T>((key, value): (K, T)) -> (K, Option<T>) {
    (key, Some(value))
}
