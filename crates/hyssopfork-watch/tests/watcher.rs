//! Watcher: lease, view and selection of the control instance.

use hyssopfork_watch::{notice, target, watcher};
use hyssopfork_wire::{change, clock, control, number, timing};
use std::net;
use std::time::Duration;

const START: clock::Instant = clock::Instant::from_millis(5_000);

fn address(port: u16) -> net::SocketAddr {
    net::SocketAddr::from(([127, 0, 0, 1], port))
}

fn new_watcher() -> watcher::Watcher {
    watcher::Watcher::new(vec![address(1), address(2), address(3)], 0, START)
}

fn holder() -> control::Holder {
    control::Holder::Entry("entry-1".into())
}

fn full_view(version: u64) -> change::Update {
    let version = number::Version(version);
    change::Update::Whole(Box::new(change::View { version, ..change::View::default() }))
}

fn granted(update: change::Update) -> control::Response {
    let duration = timing::HOLDER_LEASE;
    control::Response::Granted(control::Grant { duration, update, incarnation: None })
}

/// Ticks, and returns the renewal that was sent.
fn renewal(watcher: &mut watcher::Watcher, now: clock::Instant) -> watcher::Call {
    let output = watcher.tick(now, holder, false);
    let renews = |call: &watcher::Call| matches!(call.request, control::Request::Renew(_));
    output.calls.into_iter().find(renews).expect("a renewal is due")
}

// The network delays the response of control. The view may have changed right after the lease was
// granted, so the lease runs from when the renewal was sent.
#[test]
fn the_lease_runs_from_when_the_renewal_was_sent() {
    let mut watcher = new_watcher();
    let call = renewal(&mut watcher, START);
    let response_time = START + Duration::from_millis(450);

    watcher.on_response(response_time, call.call, Some(&granted(full_view(4))));

    let last = START + timing::HOLDER_LEASE - Duration::from_micros(1);
    assert!(watcher.is_recent(response_time) && watcher.is_recent(last));
    assert!(!watcher.is_recent(START + timing::HOLDER_LEASE));
}

// A leader that does not know yet that it was replaced responds with an older view. Neither the
// view nor its lease is accepted.
#[test]
fn an_update_to_an_older_version_is_dropped_with_its_lease() {
    let mut watcher = new_watcher();
    let call = renewal(&mut watcher, START);
    watcher.on_response(START, call.call, Some(&granted(full_view(9))));
    let until = watcher.lease_expires_at();
    let later = START + timing::RENEWAL_INTERVAL;
    let call = renewal(&mut watcher, later);

    let output = watcher.on_response(later, call.call, Some(&granted(full_view(8))));

    let notices = output.expect("the call is pending").notices;
    assert_eq!(watcher.view().version, number::Version(9));
    assert_eq!(watcher.lease_expires_at(), until);
    assert!(notices.contains(&notice::Notice::UpdateBack(number::Version(9))));
}

// The responses to a watch and to a renewal contain the same steps: steps that were applied already
// are skipped.
#[test]
fn overlapping_steps_are_applied_once() {
    let mut watcher = new_watcher();
    let call = renewal(&mut watcher, START);
    watcher.on_response(START, call.call, Some(&granted(full_view(1))));
    let watch = watcher.tick(START, holder, false).calls.pop().expect("a watch is sent");
    let later = START + timing::RENEWAL_INTERVAL;
    let call = renewal(&mut watcher, later);
    let step = |version| change::Step { version: number::Version(version), changes: Vec::new() };

    let updated = control::Response::Updated(change::Update::Steps(vec![step(3), step(5)]));
    watcher.on_response(later, watch.call, Some(&updated));
    let older = granted(change::Update::Steps(vec![step(3), step(5)]));
    watcher.on_response(later, call.call, Some(&older));

    assert_eq!(watcher.view().version, number::Version(5));
    assert_eq!(watcher.lease_expires_at(), Some(later + timing::HOLDER_LEASE));
}

#[test]
fn duplicate_and_unknown_responses_are_ignored() {
    let mut watcher = new_watcher();
    let call = renewal(&mut watcher, START);
    watcher.on_response(START, call.call, Some(&granted(full_view(4))));
    let later = START + Duration::from_millis(100);

    let again = watcher.on_response(later, call.call, Some(&granted(full_view(6))));
    let unknown = watcher.on_response(later, 77, Some(&granted(full_view(7))));

    assert!(again.is_none() && unknown.is_none());
    assert_eq!(watcher.view().version, number::Version(4));
}

// A connection stops delivering data: its renewal times out and the next one goes to another
// control instance, even if the end of the call is never reported.
#[test]
fn renewals_switch_from_a_control_instance_that_does_not_respond() {
    let mut watcher = new_watcher();
    let first = renewal(&mut watcher, START);
    let mut now = START;

    let second = loop {
        now = now + Duration::from_millis(25);
        let output = watcher.tick(now, holder, false);
        if let Some(call) = output.calls.into_iter().next() {
            break call;
        }
    };

    assert_eq!((first.to, second.to), (address(1), address(2)));
    assert!(now.since(START) <= timing::RENEWAL_INTERVAL * 3);
}

// A watch is pending at an instance that is no longer the leader. The next one goes to the instance
// that renewals go to.
#[test]
fn the_watch_switches_to_the_new_leader_and_is_sent_once() {
    let mut watcher = new_watcher();
    let call = renewal(&mut watcher, START);
    watcher.on_response(START, call.call, Some(&granted(full_view(1))));
    let watches = |output: &watcher::Output| {
        let watch = |call: &&watcher::Call| matches!(call.request, control::Request::Watch(_));
        output.calls.iter().filter(watch).map(|call| call.to).collect::<Vec<_>>()
    };
    let first = watches(&watcher.tick(START, holder, false));
    let later = START + timing::RENEWAL_INTERVAL;
    let call = renewal(&mut watcher, later);
    let hint = control::Response::NotLeader(Some(address(3)));

    watcher.on_response(later, call.call, Some(&hint));
    let moved = watches(&watcher.tick(later + timing::RENEWAL_INTERVAL, holder, false));
    let again = watches(&watcher.tick(later + timing::RENEWAL_INTERVAL, holder, false));

    assert_eq!(first, vec![address(1)]);
    assert_eq!(moved, vec![address(3)]);
    assert_eq!(again, Vec::new());
}

// A late hint comes from an instance that is no longer selected, and an instance hints at itself.
#[test]
fn only_hints_of_the_selected_instance_to_another_are_followed() {
    let mut target = target::Target::new(vec![address(1), address(2), address(3)], 0);

    target.on_not_leader(address(1), Some(address(3)));
    target.on_not_leader(address(1), Some(address(2)));
    let kept = target.current();
    target.on_not_leader(address(3), Some(address(3)));
    let moved = target.current();

    assert_eq!(kept, Some(address(3)));
    assert_eq!(moved, Some(address(2)));
}

// Another process reports a newer version: the next renewal is sent early, but many reports of the
// same version do not multiply the renewals.
#[test]
fn a_newer_version_advances_the_renewal_at_a_limited_rate() {
    let mut watcher = new_watcher();
    let call = renewal(&mut watcher, START);
    watcher.on_response(START, call.call, Some(&granted(full_view(1))));
    let mut renewals = 0;

    for milli in 0..40 {
        watcher.on_version_seen(number::Version(2));
        let now = START + Duration::from_millis(milli * 5);
        let output = watcher.tick(now, holder, false);
        for call in output.calls {
            if matches!(call.request, control::Request::Renew(_)) {
                renewals += 1;
                let current = granted(change::Update::Current);
                watcher.on_response(now, call.call, Some(&current));
            }
        }
    }

    assert_eq!(renewals, 3);
}
