//! A request's way, through failures, to one true ending.

use crate::fixture::{self, Entry, arrival, refused, started};
use hyssopfork_fleet::view;
use hyssopfork_gateway::{action, event};
use hyssopfork_wire::name;
use std::time::Duration;

fn head(status: u16) -> event::Head {
    event::Head { status, load: None, rate: None }
}

#[test]
fn a_process_without_a_declaration_says_when_to_come_back() {
    let mut entry = Entry::blank();

    let (number, decision) = entry.arrive(arrival("status"));
    assert!(matches!(decision, action::Decision::Hold(_)), "{decision:?}");
    let decision = entry.step(event::Event::Waited(number)).expect("it is decided");

    let refusal = refused(&decision);
    assert_eq!(refusal.reason, action::Reason::NotReady);
    assert!(refusal.retry_after.is_some());
}

#[test]
fn requests_without_a_place_are_turned_away() {
    let mut entry = Entry::ready();
    let stranger =
        hyssopfork_gateway::arrival::Arrival { key: Some("?".into()), ..arrival("status") };

    let (_, nowhere) = entry.arrive(arrival("nowhere"));
    let (_, stranger) = entry.arrive(stranger);

    assert_eq!(refused(&nowhere).reason, action::Reason::NoRoute);
    assert_eq!(refused(&stranger).reason, action::Reason::NoKey);
}

#[test]
fn a_key_that_was_taken_away_is_refused_on_the_next_request() {
    let mut entry = Entry::ready();
    entry.sent("status");
    let mut declaration = fixture::declaration();
    declaration.version = 2;
    declaration.teams[0].keys.clear();
    let told = Some(std::sync::Arc::new(declaration));
    entry.step(event::Event::Viewed(Box::new(fixture::view()), told));

    let (_, decision) = entry.arrive(arrival("status"));

    assert_eq!(refused(&decision).reason, action::Reason::NoKey);
}

/// An upstream takes a lodgement and breaks off. It may have run: another upstream must not get it,
/// and the caller must not be told that it has not run.
#[test]
fn work_that_may_have_run_once_is_not_sent_again() {
    let mut entry = Entry::ready();
    let (number, _) = entry.sent("submit");

    let decision = entry.step(event::Event::Failed(number, event::Fault::Broken, None));

    assert_eq!(refused(&decision.expect("decided")).reason, action::Reason::Failed);
}

#[test]
fn work_that_surely_has_not_run_is_sent_elsewhere() {
    let mut entry = Entry::ready();
    let (number, first) = entry.sent("submit");

    let decision = entry.step(event::Event::Failed(number, event::Fault::NotRun, None));

    assert_ne!(started(&decision.expect("decided")).instance, first);
}

#[test]
fn only_a_new_connection_carries_work_that_runs_once() {
    let mut entry = Entry::ready();

    let (_, once) = entry.arrive(arrival("submit"));
    let (_, many) = entry.arrive(arrival("status"));

    assert!(started(&once).fresh);
    assert!(!started(&many).fresh);
}

/// An upstream fails a status check with its own error. Another is asked, and the caller gets the
/// good answer; when that one fails too, the caller gets what it said.
#[test]
fn a_failed_check_is_asked_of_another_upstream() {
    let mut entry = Entry::ready();
    let (number, first) = entry.sent("status");

    let again = entry.step(event::Event::Answered(number, head(500))).expect("decided");
    assert_ne!(started(&again).instance, first);
    let last = entry.step(event::Event::Answered(number, head(500)));

    assert_eq!(last, Some(action::Decision::Deliver));
}

/// An upstream answers a lodgement with 503 and does not say that it has not run it. Passed on, that
/// status would promise "not run".
#[test]
fn an_upstreams_refusal_that_promises_nothing_is_no_promise_of_ours() {
    let mut entry = Entry::ready();
    let (number, _) = entry.sent("submit");

    let decision = entry.step(event::Event::Answered(number, head(503))).expect("decided");

    assert_eq!(refused(&decision).reason, action::Reason::Failed);
}

/// A group dies in the middle of a stream. The stream goes on from the last event at the other
/// group, within the same answer.
#[test]
fn a_broken_stream_goes_on_elsewhere_after_its_last_event() {
    let mut entry = Entry::ready();
    let (number, first) = entry.sent("stream");
    entry.begin(number);
    entry.step(event::Event::Moved(number, Some(7)));

    let decision = entry.step(event::Event::Failed(number, event::Fault::Broken, None));

    let decision = decision.expect("decided");
    assert_ne!(started(&decision).instance, first);
    assert_eq!(started(&decision).last_event, Some(7));
}

#[test]
fn a_stream_that_breaks_twice_is_broken_off() {
    let mut entry = Entry::ready();
    let (number, _) = entry.sent("stream");
    entry.begin(number);
    entry.step(event::Event::Failed(number, event::Fault::Broken, None));

    let decision = entry.step(event::Event::Failed(number, event::Fault::Broken, None));

    assert_eq!(decision, Some(action::Decision::Cut));
}

/// What should go on a stream is an error page; the caller already has the first half of a stream.
#[test]
fn another_kind_of_answer_never_continues_a_stream() {
    let mut entry = Entry::ready();
    let (number, _) = entry.sent("stream");
    entry.begin(number);
    entry.step(event::Event::Failed(number, event::Fault::Broken, None));

    let decision = entry.step(event::Event::Answered(number, head(200)));

    assert_eq!(decision, Some(action::Decision::Cut));
}

/// A member of a group went dark: its streams stand still, no connection breaks. They go on at the
/// other group, the leader is told, and new requests stay away.
#[test]
fn streams_leave_an_upstream_that_stands_still() {
    let mut entry = Entry::ready();
    let (number, first) = entry.sent("stream");
    entry.begin(number);
    entry.pass(fixture::STALL_MS);

    let decision = entry.step(event::Event::Quiet(number)).expect("decided");

    assert_ne!(started(&decision).instance, first);
    assert!(entry.told.iter().any(|told| told.stalled.contains(&first)));
    let (_, next) = entry.sent("stream");
    assert_ne!(next, first);
}

#[test]
fn the_leader_is_told_of_a_silence_before_streams_are_moved() {
    let mut entry = Entry::ready();
    let (number, first) = entry.sent("stream");
    entry.begin(number);
    entry.pass(320);

    let decision = entry.step(event::Event::Quiet(number));

    assert!(matches!(decision, Some(action::Decision::Wait(_))));
    assert!(entry.told.iter().any(|told| told.stalled.contains(&first)));
}

/// What an entry is told of the first group when its head is `head`.
fn told_of_group(head: &name::Instance, lost: bool) -> view::Update {
    let name = if *head == fixture::instance("e1") { "g1" } else { "g2" };
    let epoch = if name == "g1" { 1 } else { 2 };
    let (name, group) = fixture::group(name, head.as_str(), epoch);
    let group = group.map(|group| view::Group { serving: false, lost, ..group });
    let groups = vec![(name, group)];
    view::Update { is_full: false, upstreams: vec![], groups, ..fixture::view() }
}

/// The leader knows that a member died while the caller's stream has been silent for a moment only.
/// Waiting until the silence is long enough by itself would add 0.3 s to a pause that the caller
/// sees.
#[test]
fn streams_leave_a_group_that_is_known_to_be_lost() {
    let mut entry = Entry::ready();
    let (number, first) = entry.sent("stream");
    entry.begin(number);
    entry.pass(160);
    entry.see(told_of_group(&first, true));

    let decision = entry.step(event::Event::Quiet(number)).expect("decided");

    assert_ne!(started(&decision).instance, first);
}

/// A member leaves on request: the group takes nothing new, and its head ends what it has. Streams
/// that were moved meanwhile would be read again for nothing.
#[test]
fn streams_stay_at_a_group_that_ends_what_it_has() {
    let mut entry = Entry::ready();
    let (number, first) = entry.sent("stream");
    entry.begin(number);
    entry.pass(160);
    entry.see(told_of_group(&first, false));

    let decision = entry.step(event::Event::Quiet(number));

    assert!(matches!(decision, Some(action::Decision::Wait(_))));
}

/// One stream pauses while others of the same group go on: the group lives, and the stream waits.
#[test]
fn a_pause_of_one_stream_among_others_that_go_on_moves_nothing() {
    let mut entry = Entry::ready();
    let (slow, upstream) = entry.sent("stream");
    entry.begin(slow);
    let other = loop {
        let (number, instance) = entry.sent("stream");
        if instance == upstream {
            break number;
        }
    };
    entry.begin(other);
    entry.pass(fixture::STALL_MS);
    entry.step(event::Event::Moved(other, Some(2)));

    let decision = entry.step(event::Event::Quiet(slow));

    assert!(matches!(decision, Some(action::Decision::Wait(_))));
}

#[test]
fn work_that_runs_once_is_waited_for_however_silent() {
    let mut entry = Entry::ready();
    let (number, _) = entry.sent("submit");
    entry.pass(2_000);

    let decision = entry.step(event::Event::Quiet(number));

    assert!(matches!(decision, Some(action::Decision::Wait(_))));
}

#[test]
fn a_request_whose_time_is_over_while_an_upstream_has_it_may_have_run() {
    let mut entry = Entry::ready();
    let (number, _) = entry.sent("submit");
    entry.pass(4_000);

    let decision = entry.step(event::Event::Expired(number)).expect("decided");

    let refusal = refused(&decision);
    assert_eq!((refusal.reason, refusal.retry_after), (action::Reason::TimedOut, None));
}

#[test]
fn the_shorter_of_the_callers_and_the_routes_time_counts() {
    let mut entry = Entry::ready();
    let mut hurried = arrival("status");
    hurried.patience = Some(Duration::from_millis(700));

    let (_, hurried) = entry.arrive(hurried);
    let (_, patient) = entry.arrive(arrival("status"));

    assert_eq!(started(&hurried).limit, entry.now + Duration::from_millis(700));
    assert_eq!(started(&patient).limit, entry.now + Duration::from_secs(4));
}

#[test]
fn nothing_goes_to_a_zone_that_is_out_or_an_upstream_that_leaves() {
    let mut entry = Entry::ready();
    let mut update = fixture::view();
    update.zones_out.insert(name::Zone::from("z1"));
    if let Some((_, Some(upstream))) = update.upstreams.get_mut(1) {
        upstream.status = view::Status::Leaving;
    }
    entry.see(update);

    let refusal = refused_after_a_wait(&mut entry, "stream");

    assert_eq!(refusal.reason, action::Reason::NoUpstream);
    assert!(refusal.retry_after.is_some());
}

/// The refusal of a request that is held first and finds nobody until its wait is over.
fn refused_after_a_wait(entry: &mut Entry, route: &str) -> action::Refusal {
    let (number, decision) = entry.arrive(arrival(route));
    assert!(matches!(decision, action::Decision::Hold(_)), "{decision:?}");
    refused(&entry.step(event::Event::Waited(number)).expect("it is decided"))
}

#[test]
fn a_group_that_does_not_serve_gets_nothing() {
    let mut entry = Entry::ready();
    let mut update = fixture::view();
    for (_, group) in &mut update.groups {
        group.as_mut().expect("it is there").serving = false;
    }
    entry.see(update);

    let refusal = refused_after_a_wait(&mut entry, "stream");

    assert_eq!(refusal.reason, action::Reason::NoUpstream);
}

#[test]
fn a_stopping_process_is_not_ready_and_serves_on() {
    let mut entry = Entry::ready();
    entry.step(event::Event::Stop);

    assert!(!entry.core.is_ready());
    entry.sent("status");
}

#[test]
fn a_caller_that_goes_away_leaves_no_trace() {
    let mut entry = Entry::ready();
    let (number, _) = entry.sent("stream");

    entry.step(event::Event::Gone(number));

    assert_eq!(entry.core.open(), 0);
}
