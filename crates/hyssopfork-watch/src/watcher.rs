//! Watcher: renews the lease on the view, and long-polls control for its changes. A state machine
//! without I/O: the process makes the calls and passes in the responses and the time.

use crate::{lease, notice, target};
use hyssopfork_state::view;
use hyssopfork_wire::{change, clock, control, name, number, timing};
use std::net;
use std::time::Duration;

/// Time that the timeout of a watch exceeds [`timing::LONG_POLL_TIMEOUT`]; also the time beyond its
/// timeout after which a call counts as failed even if its end was not reported.
const CALL_TIMEOUT_MARGIN: Duration = Duration::from_millis(500);

/// Minimum interval between two watches, and between a failed renewal and the next one.
const MIN_RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// A call to a control instance.
#[derive(Clone, Debug)]
pub struct Call {
    /// Number of the call, unique in this process.
    pub call: u64,
    /// Control instance to call.
    pub to: net::SocketAddr,
    /// Request.
    pub request: control::Request,
    /// Timeout of the call.
    pub timeout: Duration,
}

/// Output of a step of the watcher.
#[derive(Clone, Debug, Default)]
pub struct Output {
    /// Calls to make.
    pub calls: Vec<Call>,
    /// Numbered log events.
    pub notices: Vec<notice::Notice>,
    /// Whether the view changed.
    pub view_changed: bool,
    /// Whether a renewal that announced that the holder is leaving was granted.
    pub leaving_granted: bool,
}

#[derive(Clone, Copy, Debug)]
struct PendingCall {
    call: u64,
    to: net::SocketAddr,
    sent: clock::Instant,
    leaving: bool,
}

/// A watcher.
#[derive(Clone, Debug)]
pub struct Watcher {
    target: target::Target,
    lease: lease::Lease,
    lease_held: bool,
    view: change::View,
    renewal: Option<PendingCall>,
    renew_at: clock::Instant,
    renewed_at: clock::Instant,
    watch: Option<PendingCall>,
    watch_at: clock::Instant,
    calls: u64,
    /// Instance whose part of the view is watched; `None` for the full view.
    scope: Option<name::Instance>,
}

impl Watcher {
    /// Creates a watcher of the control instances at `addresses`, which starts with the one at
    /// `offset`.
    pub fn new(addresses: Vec<net::SocketAddr>, offset: u64, now: clock::Instant) -> Watcher {
        Watcher {
            target: target::Target::new(addresses, offset),
            lease: lease::Lease::default(),
            lease_held: false,
            view: change::View::default(),
            renewal: None,
            renew_at: now,
            renewed_at: now,
            watch: None,
            watch_at: now,
            calls: 0,
            scope: None,
        }
    }

    /// Limits the watcher to the part of the view that concerns `instance`.
    pub fn with_scope(mut self, instance: name::Instance) -> Watcher {
        self.scope = Some(instance);
        self
    }

    /// The view; valid only while [`Watcher::is_recent`] holds.
    pub fn view(&self) -> &change::View {
        &self.view
    }

    /// Whether the view is not stale, as the lease is valid.
    pub fn is_recent(&self, now: clock::Instant) -> bool {
        self.lease.is_valid(now)
    }

    /// Time of the lease's expiry; `None` if none was ever granted.
    pub fn lease_expires_at(&self) -> Option<clock::Instant> {
        self.lease.expires_at()
    }

    /// Selected control instance.
    pub fn target(&self) -> Option<net::SocketAddr> {
        self.target.current()
    }

    /// Handles the failure of a call to `from`.
    pub fn on_call_failed(&mut self, from: net::SocketAddr) {
        self.target.on_failure(from);
    }

    /// Handles the response of `from` that it is not the leader.
    pub fn on_not_leader(&mut self, from: net::SocketAddr, hint: Option<net::SocketAddr>) {
        self.target.on_not_leader(from, hint);
    }

    /// Returns the number for the next call to control.
    pub fn next_call(&mut self) -> u64 {
        self.calls += 1;
        self.calls
    }

    /// Handles a message of another process whose view has `version`: if that is newer, the next
    /// renewal is sent at once, but not within [`MIN_RETRY_INTERVAL`] of the last one, since many
    /// processes report the same version at the same time.
    pub fn on_version_seen(&mut self, version: number::Version) {
        if version > self.view.version {
            self.renew_at = self.renew_at.min(self.renewed_at + MIN_RETRY_INTERVAL);
        }
    }

    /// Sends the renewals and watches that are due. `holder` is called only for a renewal.
    pub fn tick(
        &mut self,
        now: clock::Instant,
        holder: impl FnOnce() -> control::Holder,
        leaving: bool,
    ) -> Output {
        let mut output = Output::default();
        self.report_lease_change(now, &mut output);
        self.expire_overdue_calls(now);
        if self.renewal.is_none() && now >= self.renew_at {
            self.send_renewal(now, holder(), leaving, &mut output);
        }
        self.send_watch(now, &mut output);
        output
    }

    /// Handles the response to a call, or its failure; returns `None` if the call is not pending
    /// at the watcher.
    pub fn on_response(
        &mut self,
        now: clock::Instant,
        call: u64,
        response: Option<&control::Response>,
    ) -> Option<Output> {
        let mut output = Output::default();
        if let Some(renewal) = self.renewal.take_if(|renewal| renewal.call == call) {
            self.on_renewal_response(now, renewal, response, &mut output);
        } else if self.watch.take_if(|watch| watch.call == call).is_some() {
            self.on_watch_response(now, response, &mut output);
        } else {
            return None;
        }
        self.report_lease_change(now, &mut output);
        Some(output)
    }

    fn send_renewal(
        &mut self,
        now: clock::Instant,
        holder: control::Holder,
        leaving: bool,
        output: &mut Output,
    ) {
        let Some(to) = self.target.current() else { return };
        let version = self.view.version;
        let renewal = control::Renewal { holder, version, leaving };
        let call = self.next_call();
        self.renewal = Some(PendingCall { call, to, sent: now, leaving });
        self.renewed_at = now;
        self.renew_at = now + timing::RENEWAL_INTERVAL;
        let request = control::Request::Renew(renewal);
        output.calls.push(Call { call, to, request, timeout: timing::RENEWAL_INTERVAL });
    }

    /// Keeps one watch pending at the instance that renewals go to: an instance that is no longer
    /// the leader would not respond to it with changes.
    fn send_watch(&mut self, now: clock::Instant, output: &mut Output) {
        let Some(to) = self.target.current() else { return };
        if self.watch.is_some_and(|watch| watch.to != to) {
            self.watch = None;
        }
        if self.watch.is_some() || now < self.watch_at || !self.lease.is_valid(now) {
            return;
        }
        let call = self.next_call();
        self.watch = Some(PendingCall { call, to, sent: now, leaving: false });
        self.watch_at = now + MIN_RETRY_INTERVAL;
        let request = match &self.scope {
            None => control::Request::Watch(self.view.version),
            Some(instance) => control::Request::Follow(self.view.version, instance.clone()),
        };
        let timeout = timing::LONG_POLL_TIMEOUT + CALL_TIMEOUT_MARGIN;
        output.calls.push(Call { call, to, request, timeout });
    }

    /// Treats overdue calls as failed, so that renewals go on even if the end of a call is never
    /// reported.
    fn expire_overdue_calls(&mut self, now: clock::Instant) {
        let is_overdue = |sent: clock::Instant, limit: Duration| now.since(sent) > limit;
        let limit = timing::RENEWAL_INTERVAL + CALL_TIMEOUT_MARGIN;
        if let Some(renewal) = self.renewal.take_if(|renewal| is_overdue(renewal.sent, limit)) {
            self.target.on_failure(renewal.to);
        }
        let limit = timing::LONG_POLL_TIMEOUT + CALL_TIMEOUT_MARGIN + CALL_TIMEOUT_MARGIN;
        self.watch.take_if(|watch| is_overdue(watch.sent, limit));
    }

    fn on_renewal_response(
        &mut self,
        now: clock::Instant,
        renewal: PendingCall,
        response: Option<&control::Response>,
        output: &mut Output,
    ) {
        match response {
            Some(control::Response::Granted(grant)) => {
                if self.apply_update(&grant.update, output) {
                    self.lease.extend(renewal.sent, grant.duration.min(timing::HOLDER_LEASE));
                    output.leaving_granted = renewal.leaving;
                }
            }
            other => {
                self.switch_target(renewal.to, other, output);
                self.renew_at = now + MIN_RETRY_INTERVAL;
            }
        }
    }

    fn on_watch_response(
        &mut self,
        now: clock::Instant,
        response: Option<&control::Response>,
        output: &mut Output,
    ) {
        match response {
            Some(control::Response::Updated(update)) => {
                self.apply_update(update, output);
            }
            _ => self.watch_at = now + timing::RENEWAL_INTERVAL,
        }
    }

    /// Selects another control instance after a response that is not a grant.
    fn switch_target(
        &mut self,
        from: net::SocketAddr,
        response: Option<&control::Response>,
        output: &mut Output,
    ) {
        match response {
            Some(control::Response::NotLeader(hint)) => self.target.on_not_leader(from, *hint),
            Some(control::Response::Protocol { version }) => {
                output.notices.push(notice::Notice::ProtocolDiffers(*version));
                self.target.on_failure(from);
            }
            _ => self.target.on_failure(from),
        }
        if let Some(to) = self.target.current().filter(|to| *to != from) {
            output.notices.push(notice::Notice::TargetChanged(to));
        }
    }

    /// Applies an update to the view; returns `false` if the update is older than the view, in
    /// which case its lease is not valid either.
    fn apply_update(&mut self, update: &change::Update, output: &mut Output) -> bool {
        let before = self.view.version;
        let Ok(changed) = view::apply_update(&mut self.view, update.clone()) else {
            output.notices.push(notice::Notice::UpdateBack(before));
            return false;
        };
        assert!(self.view.version >= before, "the version of a view never decreases");
        if changed {
            output.view_changed = true;
            output.notices.push(notice::Notice::Advanced(self.view.version));
        }
        true
    }

    fn report_lease_change(&mut self, now: clock::Instant, output: &mut Output) {
        let held = self.lease.is_valid(now);
        if held == self.lease_held {
            return;
        }
        self.lease_held = held;
        let notice = if held { notice::Notice::LeaseHeld } else { notice::Notice::LeaseLapsed };
        output.notices.push(notice);
    }
}
