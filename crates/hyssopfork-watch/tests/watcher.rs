//! Tests of the watcher: lease, view and choice of control instance.

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

fn whole(version: u64) -> change::Update {
    let version = number::Version(version);
    change::Update::Whole(Box::new(change::View { version, ..change::View::default() }))
}

fn granted(update: change::Update) -> control::Response {
    let term = timing::HOLDER_LEASE;
    control::Response::Granted(control::Grant { duration: term, update, incarnation: None })
}

/// Ticks, and gives the renewal that went out.
fn renewal(watcher: &mut watcher::Watcher, now: clock::Instant) -> watcher::Call {
    let output = watcher.tick(now, holder, false);
    let renews = |call: &watcher::Call| matches!(call.request, control::Request::Renew(_));
    output.calls.into_iter().find(renews).expect("a renewal is due")
}

// Control's answer is held back by the network for nearly the lease's term. The view may have
// changed right after it was granted, so the term runs from when the renewal was sent.
#[test]
fn lease_runs_from_when_it_was_asked_for() {
    let mut watcher = new_watcher();
    let call = renewal(&mut watcher, START);
    let answered = START + Duration::from_millis(450);

    watcher.on_response(answered, call.call, Some(&granted(whole(4))));

    let last = START + timing::HOLDER_LEASE - Duration::from_micros(1);
    assert!(watcher.is_recent(answered) && watcher.is_recent(last));
    assert!(!watcher.is_recent(START + timing::HOLDER_LEASE));
}

// A control instance that was deposed in silence answers with an older view. Neither the view nor
// the lease that came with it is taken.
#[test]
fn update_that_leads_back_is_dropped_with_its_lease() {
    let mut watcher = new_watcher();
    let call = renewal(&mut watcher, START);
    watcher.on_response(START, call.call, Some(&granted(whole(9))));
    let until = watcher.lease_expires_at();
    let later = START + timing::RENEWAL_INTERVAL;
    let call = renewal(&mut watcher, later);

    let output = watcher.on_response(later, call.call, Some(&granted(whole(8))));

    let notices = output.expect("the answer is the watcher's").notices;
    assert_eq!(watcher.view().version, number::Version(9));
    assert_eq!(watcher.lease_expires_at(), until);
    assert!(notices.contains(&notice::Notice::UpdateBack(number::Version(9))));
}

// The answers to a watch and to a renewal overlap: steps that were taken already are left out.
#[test]
fn overlapping_steps_are_taken_once() {
    let mut watcher = new_watcher();
    let call = renewal(&mut watcher, START);
    watcher.on_response(START, call.call, Some(&granted(whole(1))));
    let watch = watcher.tick(START, holder, false).calls.pop().expect("a watch goes out");
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
fn doubled_and_unknown_answers_change_nothing() {
    let mut watcher = new_watcher();
    let call = renewal(&mut watcher, START);
    watcher.on_response(START, call.call, Some(&granted(whole(4))));
    let later = START + Duration::from_millis(100);

    let again = watcher.on_response(later, call.call, Some(&granted(whole(6))));
    let unknown = watcher.on_response(later, 77, Some(&granted(whole(7))));

    assert!(again.is_none() && unknown.is_none());
    assert_eq!(watcher.view().version, number::Version(4));
}

// A connection went silent for good: the renewal on it is given up after its time and another
// control instance is asked, also when the shell never reports the call's end.
#[test]
fn silent_control_instance_is_left() {
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

// The watch was left at an instance that no longer leads. It goes where renewals go.
#[test]
fn watch_follows_the_leader_and_is_never_doubled() {
    let mut watcher = new_watcher();
    let call = renewal(&mut watcher, START);
    watcher.on_response(START, call.call, Some(&granted(whole(1))));
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

// Two instances with stale hints name each other; a late hint comes from one that was left.
#[test]
fn hints_are_followed_only_from_the_instance_that_is_asked() {
    let mut target = target::Target::new(vec![address(1), address(2), address(3)], 0);

    target.on_not_leader(address(1), Some(address(3)));
    target.on_not_leader(address(1), Some(address(2)));
    let kept = target.current();
    target.on_not_leader(address(3), Some(address(3)));
    let moved = target.current();

    assert_eq!(kept, Some(address(3)));
    assert_eq!(moved, Some(address(2)));
}

// Another process tells of a newer version: control is asked well before the next renewal is due,
// but a crowd that tells of the same doesn't multiply the renewals.
#[test]
fn newer_version_heard_brings_the_renewal_forward() {
    let mut watcher = new_watcher();
    let call = renewal(&mut watcher, START);
    watcher.on_response(START, call.call, Some(&granted(whole(1))));
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
