//! Renewals and watches: keeps a view recent, as a step function.

use crate::{lease, notice, target};
use hyssopfork_state::view;
use hyssopfork_wire::{change, clock, control, name, number, timing};
use std::net;
use std::time::Duration;

/// Time beyond [`timing::LONG_POLL_TIMEOUT`] that an unanswered watch is given.
const CALL_TIMEOUT_MARGIN: Duration = Duration::from_millis(500);

/// Least time between two watches, or between a failed renewal and the next.
const MIN_RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// A call to control.
#[derive(Clone, Debug)]
pub struct Call {
    /// Number of the call, unique in this process.
    pub call: u64,
    /// Control instance to ask.
    pub to: net::SocketAddr,
    /// Request.
    pub request: control::Request,
    /// Time after which the call has failed.
    pub timeout: Duration,
}

/// What a step of the watcher asks for and tells.
#[derive(Clone, Debug, Default)]
pub struct Output {
    /// Calls to make.
    pub calls: Vec<Call>,
    /// Numbered events.
    pub notices: Vec<notice::Notice>,
    /// Whether the view moved on.
    pub view_changed: bool,
    /// Whether a renewal that said that the holder is leaving was answered with a grant.
    pub leaving_granted: bool,
}

#[derive(Clone, Copy, Debug)]
struct PendingCall {
    call: u64,
    to: net::SocketAddr,
    sent: clock::Instant,
    leaving: bool,
}

/// The watcher.
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
    /// Instance whose part of the view is followed; `None` for the whole view.
    scope: Option<name::Instance>,
}

impl Watcher {
    /// A watcher that asks the control instances at `addresses`, first the one `offset` picks.
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

    /// Follows only the part of the view that concerns `instance`.
    pub fn with_scope(mut self, instance: name::Instance) -> Watcher {
        self.scope = Some(instance);
        self
    }

    /// The view; to be acted on only while [`Watcher::is_recent`].
    pub fn view(&self) -> &change::View {
        &self.view
    }

    /// Whether the view may be acted on: an unexpired lease says that it is recent.
    pub fn is_recent(&self, now: clock::Instant) -> bool {
        self.lease.is_valid(now)
    }

    /// When the lease lapses; `None` when none was ever held.
    pub fn lease_expires_at(&self) -> Option<clock::Instant> {
        self.lease.expires_at()
    }

    /// Control instance to ask now.
    pub fn target(&self) -> Option<net::SocketAddr> {
        self.target.current()
    }

    /// `from` did not answer a call in time.
    pub fn on_call_failed(&mut self, from: net::SocketAddr) {
        self.target.on_failure(from);
    }

    /// `from` answered that it doesn't lead.
    pub fn on_not_leader(&mut self, from: net::SocketAddr, hint: Option<net::SocketAddr>) {
        self.target.on_not_leader(from, hint);
    }

    /// Number for the next call to control.
    pub fn next_call(&mut self) -> u64 {
        self.calls += 1;
        self.calls
    }

    /// Another process told of `version`: where that is newer, control is asked at once, but not
    /// more often than every [`RETRY`], since many processes tell of the same version together.
    pub fn on_version_seen(&mut self, version: number::Version) {
        if version > self.view.version {
            self.renew_at = self.renew_at.min(self.renewed_at + MIN_RETRY_INTERVAL);
        }
    }

    /// Renews and watches where that is due. `holder` is asked for only when a renewal goes out.
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

    /// Takes the answer of a call; `None` when the call is none of the watcher's.
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

    /// Keeps one watch outstanding, at the instance that renewals go to: one left at an instance
    /// that no longer leads would be told of nothing.
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

    /// A shell that loses a call must not stop the renewals: an overdue one counts as failed.
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

    /// Turns to another control instance after an answer that was no grant.
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

    /// Leads the view on; `false` when the update would lead back, and then its lease proves
    /// nothing either.
    fn apply_update(&mut self, update: &change::Update, output: &mut Output) -> bool {
        let before = self.view.version;
        let Ok(moved) = view::lead(&mut self.view, update.clone()) else {
            output.notices.push(notice::Notice::UpdateBack(before));
            return false;
        };
        assert!(self.view.version >= before, "a view never goes back in version");
        if moved {
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
