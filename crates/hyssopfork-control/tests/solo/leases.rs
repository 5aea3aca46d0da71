//! Leases of agents, their presence and their names.

use crate::solo::fixture;
use hyssopfork_control::{event, notice};
use hyssopfork_wire::{control, number, timing};
use std::time::Duration;

fn granted(response: Option<control::Response>) -> Option<number::Incarnation> {
    match response {
        Some(control::Response::Granted(grant)) => grant.incarnation,
        _ => None,
    }
}

#[test]
fn an_agent_is_recorded_before_it_gets_its_lease() {
    let mut solo = fixture::Solo::leading();
    solo.sync_writes = false;

    let pending = solo.renew(fixture::announcement("e1", "d1", 1), Default::default(), false);
    let mark = solo.held_writes.last().expect("a proposal").number;
    solo.step(event::Event::Persisted(mark));

    assert_eq!(pending, None);
    let reply = solo.replies.values().next().cloned();
    assert_eq!(granted(reply), Some(number::Incarnation(1)));
    assert!(solo.view().members.contains_key(&"e1".into()));
}

// A replacement was started while the older process under the same name still runs and renews.
#[test]
fn of_two_processes_under_one_name_only_the_newer_gets_leases() {
    let mut solo = fixture::Solo::leading();
    let renew = |solo: &mut fixture::Solo, boot| {
        granted(solo.renew(fixture::announcement("e1", "d1", boot), Default::default(), false))
    };

    let first = renew(&mut solo, 1);
    let second = renew(&mut solo, 2);
    let entries = solo.durable.entries.len();
    let older = renew(&mut solo, 1);
    let newer = renew(&mut solo, 2);

    assert_eq!(first, Some(number::Incarnation(1)));
    assert_eq!(second, Some(number::Incarnation(2)));
    assert_eq!(older, None);
    assert_eq!(newer, Some(number::Incarnation(2)));
    assert!(solo.notices.contains(&notice::Notice::Superseded("e1".into(), 1)));
    assert_eq!(solo.durable.entries.len(), entries, "its renewals fill no log");
}

#[test]
fn a_leaving_agent_is_recorded_as_such_before_it_is_answered() {
    let mut solo = fixture::Solo::leading();
    let announcement = fixture::announcement("e1", "d1", 1);
    solo.renew(announcement.clone(), Default::default(), false);

    let answer = solo.renew(announcement, Default::default(), true);

    assert!(granted(answer).is_some());
    assert!(solo.view().members[&"e1".into()].leaving);
}

#[test]
fn a_silent_agent_is_absent_after_its_time_and_present_when_it_renews() {
    let mut solo = fixture::Solo::leading();
    solo.run(Duration::from_secs(1));
    let (e1, report) = solo.agents.remove("e1").expect("an agent");

    solo.run(timing::PRESENCE_TIMEOUT + Duration::from_millis(500));
    let absent = !solo.view().members[&"e1".into()].present;
    solo.renew(e1, report, false);

    assert!(absent);
    assert!(solo.view().members[&"e1".into()].present);
}

// The control process is paused for ten seconds (a suspended machine). Nobody could renew with it
// meanwhile; counted from the last renewals, every agent would be absent and every group would be
// moved at once.
#[test]
fn a_leader_that_was_paused_counts_nobody_as_absent() {
    let mut solo = fixture::Solo::leading();
    solo.run(Duration::from_secs(1));

    solo.now = solo.now + Duration::from_secs(10);
    solo.step(event::Event::Tick);
    solo.run(Duration::from_secs(2));

    assert!(solo.view().members.values().all(|member| member.present));
    assert!(solo.notices.iter().any(|it| matches!(it, notice::Notice::Paused(_))));
    assert!(!solo.notices.iter().any(|it| matches!(it, notice::Notice::Absent(_))));
}
