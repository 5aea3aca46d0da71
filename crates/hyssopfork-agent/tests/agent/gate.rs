//! The gate: what must hold when work is handed to the back end.

use crate::fixture;
use hyssopfork_agent::{event, monitor};
use hyssopfork_policy::slow_start;
use hyssopfork_wire::{number, refusal, timing};
use std::time::Duration;

const NOT_RUN: refusal::Ran = refusal::Ran::NotRun;

#[test]
fn whole_group_takes_work() {
    let mut agent = fixture::first_member();

    agent.forward(fixture::offer(1));

    assert!(agent.core.is_ready(agent.now));
}

// The caller is refused and tried elsewhere. The first member admits the attempt, its process is
// paused for longer than its lease, and goes on just before the write: meanwhile the zone may have
// been taken out or the group been moved.
#[test]
fn pause_between_check_and_write_is_found() {
    let mut agent = fixture::first_member();
    let offered = agent.step(event::Event::Offer(fixture::offer(1)));
    assert!(fixture::has_connect(&offered));

    agent.pause(timing::HOLDER_LEASE);
    let actions = agent.step(event::Event::Connected(fixture::identifier(1)));

    assert!(!fixture::has_forward(&actions));
    assert_eq!(fixture::find_rejection(&actions).map(|refusal| refusal.ran), Some(NOT_RUN));
}

// As above, but the pause outlasts the other member's grant only: that member may serve another
// group by now.
#[test]
fn pause_past_a_grant_is_found() {
    let mut agent = fixture::first_member();
    agent.step(event::Event::Offer(fixture::offer(1)));

    agent.pause(timing::GROUP_GRANT);
    let actions = agent.step(event::Event::Connected(fixture::identifier(1)));

    assert!(!fixture::has_forward(&actions));
    let reason = fixture::find_rejection(&actions).map(|refusal| refusal.reason);
    assert_eq!(reason, Some(refusal::Reason::GroupIncomplete));
}

// The agent is cut off from control in silence and its zone goes out: it can't hear of that, so it
// stops by itself when its lease lapses, counted from when it asked for it.
#[test]
fn cut_from_control_takes_nothing_after_its_lease() {
    let mut agent = fixture::service_agent(true);
    let slow = Duration::from_millis(400);
    agent.renew_lease(slow);

    agent.advance(timing::HOLDER_LEASE - slow - Duration::from_millis(1));
    agent.probe(Some(fixture::health("a", None)));
    let before = agent.offer(fixture::service_offer(1));
    agent.pause(Duration::from_millis(1));
    let after = agent.offer(fixture::service_offer(2));

    assert_eq!(before, None);
    assert_eq!(after.map(|refusal| refusal.reason), Some(refusal::Reason::Stale));
}

#[test]
fn zone_out_drained_and_superseded_take_nothing() {
    let mut out = fixture::service_agent(true);
    out.change_view(|view| {
        let zone = view.configuration.zones.get_mut(&"zone-a".into());
        zone.expect("the zone is declared").out = true;
    });
    let mut drained = fixture::service_agent(true);
    drained.change_view(|view| {
        view.configuration.drained.insert("s0".into());
    });
    let mut superseded = fixture::service_agent(true);
    superseded.change_view(|view| {
        let member = view.members.get_mut(&"s0".into()).expect("it is recorded");
        member.announcement.boot += 1;
    });

    let reasons = [&mut out, &mut drained, &mut superseded]
        .map(|agent| agent.offer(fixture::service_offer(1)).map(|refusal| refusal.reason));

    let expected =
        [refusal::Reason::ZoneOut, refusal::Reason::Draining, refusal::Reason::Stale].map(Some);
    assert_eq!(reasons, expected);
}

// A member elsewhere in the group is being drained: the group takes nothing new, or the work that
// came would have to be cut off when the member goes.
#[test]
fn drained_member_closes_its_group() {
    let mut agent = fixture::first_member();
    agent.change_view(|view| {
        view.configuration.drained.insert("i1".into());
    });

    let refusal = agent.offer(fixture::offer(1));

    assert_eq!(refusal.map(|refusal| refusal.reason), Some(refusal::Reason::Draining));
}

#[test]
fn old_fencing_number_and_wrong_kind_are_refused() {
    let mut first = fixture::first_member();
    let mut old = fixture::offer(1);
    old.group = Some(("g1".into(), number::Fence(9)));
    let mut service = fixture::service_agent(true);

    let old = first.offer(old);
    let plain = first.offer(fixture::service_offer(2));
    let grouped = service.offer(fixture::offer(3));

    let expected = [
        Some(refusal::Reason::GroupIncomplete),
        Some(refusal::Reason::GroupIncomplete),
        Some(refusal::Reason::NoUpstream),
    ];
    assert_eq!([old, plain, grouped].map(|r| r.map(|refusal| refusal.reason)), expected);
}

// A cold back end falls over under full load. It gets little until work was completed, and little
// again when it turns out to be a new process.
#[test]
fn cold_back_end_gets_little() {
    let mut agent = fixture::service_agent(true);
    agent.forward(fixture::service_offer(1));
    agent.forward(fixture::service_offer(2));
    let third = agent.offer(fixture::service_offer(3));
    complete(&mut agent, 1, 2);
    run_and_complete(&mut agent, 4, slow_start::HOLD_COMPLETIONS - 2);
    agent.forward(fixture::service_offer(20));
    agent.forward(fixture::service_offer(21));
    let held = agent.offer(fixture::service_offer(22));
    complete(&mut agent, 20, 2);
    (24..=26).for_each(|count| agent.forward(fixture::service_offer(count)));

    agent.probe(Some(fixture::health("b", None)));
    let after = agent.offer(fixture::service_offer(27));

    let cold = Some(refusal::Reason::Cold);
    assert_eq!(third.map(|refusal| refusal.reason), cold);
    assert_eq!(held.map(|refusal| refusal.reason), cold);
    assert_eq!(after.map(|refusal| refusal.reason), cold);
}

// Found by a long run of real processes: a back end died and came back cold between two probes,
// and was tipped over by work that its agent still let through under the limit of the one before.
// One piece of work that breaks off is enough for the agent to hold back until it has looked.
#[test]
fn broken_work_holds_the_limit_down_until_probes_tell() {
    let mut agent = fixture::service_agent(true);
    run_and_complete(&mut agent, 1, slow_start::HOLD_COMPLETIONS + 2);
    (30..=32).for_each(|count| agent.forward(fixture::service_offer(count)));

    let sent_at = agent.now;
    agent.step(event::Event::ResponseFailed(fixture::identifier(30), event::Fault::Broken));
    let suspected = agent.offer(fixture::service_offer(33));
    let health = Some(fixture::health("a", None));
    agent.step(event::Event::ProbedAt { sent_at, health: health.clone() });
    let still = agent.offer(fixture::service_offer(34));
    agent.advance(timing::PROBE_INTERVAL);
    agent.probe(health);
    let trusted = agent.offer(fixture::service_offer(35));

    let cold = Some(refusal::Reason::Cold);
    assert_eq!(suspected.map(|refusal| refusal.reason), cold);
    assert_eq!(still.map(|refusal| refusal.reason), cold);
    assert_eq!(trusted, None);
}

// Found by a long run of real processes (seed 13): an engine died and came back without its model
// between two probes, and its agent went on forwarding to it. Its group had lost a member.
#[test]
fn broken_work_keeps_new_work_from_an_engine_until_a_probe_tells() {
    let mut agent = fixture::first_member();
    agent.forward(fixture::offer(1));

    agent.step(event::Event::ResponseFailed(fixture::identifier(1), event::Fault::Broken));
    let suspected = agent.offer(fixture::offer(2));
    agent.advance(timing::PROBE_INTERVAL);
    agent.probe(Some(fixture::health("a", Some(fixture::FENCE))));
    let trusted = agent.offer(fixture::offer(3));

    assert_eq!(suspected.map(|refusal| refusal.reason), Some(refusal::Reason::Cold));
    assert_eq!(trusted, None);
}

// Found by the soak (seed 71117): an idle engine started anew between two probes, without its model.
// Two callers' requests were admitted before anybody knew. The first finds out; the second, whose
// write comes 0.1 ms later, must not reach the engine as well: it is refused and goes elsewhere.
#[test]
fn an_attempt_that_was_admitted_before_a_failure_is_not_written_after_it() {
    let mut agent = fixture::first_member();
    agent.forward(fixture::offer(1));
    assert!(fixture::has_connect(&agent.step(event::Event::Offer(fixture::offer(2)))));

    agent.step(event::Event::ResponseFailed(fixture::identifier(1), event::Fault::Broken));
    let actions = agent.step(event::Event::Connected(fixture::identifier(2)));

    assert!(!fixture::has_forward(&actions));
    let refusal = fixture::find_rejection(&actions).map(|refusal| (refusal.reason, refusal.ran));
    assert_eq!(refusal, Some((refusal::Reason::Cold, NOT_RUN)));
}

fn complete(agent: &mut fixture::Agent, first: u64, count: u64) {
    for count in first..first + count {
        agent.step(event::Event::ResponseFinished(fixture::identifier(count)));
    }
}

fn run_and_complete(agent: &mut fixture::Agent, first: u64, count: u32) {
    for count in first..first + u64::from(count) {
        agent.forward(fixture::service_offer(count));
        complete(agent, count, 1);
    }
}

// Found by random histories: the agent was paused, its back end replaced by a cold one, and all
// that waited for the pause's end was admitted by what the agent had known before.
#[test]
fn old_probe_says_nothing() {
    let mut agent = fixture::service_agent(true);
    agent.pause(monitor::MAX_PROBE_AGE);

    let refusal = agent.offer(fixture::service_offer(1));

    assert_eq!(refusal.map(|refusal| refusal.reason), Some(refusal::Reason::NoUpstream));
}

// Found by random histories: the answer to a probe waited, while the process was paused, to be read.
// It says what was true when the probe was sent.
#[test]
fn probes_answer_that_waited_is_as_old_as_the_probe() {
    let mut agent = fixture::service_agent(true);
    let sent_at = agent.now;
    agent.pause(monitor::MAX_PROBE_AGE);
    agent.step(event::Event::ProbedAt { sent_at, health: Some(fixture::health("a", None)) });

    let refusal = agent.offer(fixture::service_offer(1));

    assert_eq!(refusal.map(|refusal| refusal.reason), Some(refusal::Reason::NoUpstream));
}

// Found by random histories: the agent's process was restarted, and gave a cold back end that can't
// cancel its whole limit anew, beside what the process before had given it.
#[test]
fn work_of_the_process_before_takes_up_room() {
    let mut agent = fixture::service_agent(false);
    let busy = event::Health { running: Some(2), ..fixture::health("a", None) };
    agent.probe(Some(busy));

    let refusal = agent.offer(fixture::service_offer(1));

    assert_eq!(refusal.map(|refusal| refusal.reason), Some(refusal::Reason::Cold));
}

// A back end counts its own callers, or its probes, among what runs. Taken for work of the process
// before for good, that would keep all work from it while it is cold, and it would stay cold.
#[test]
fn constant_foreign_work_locks_nothing_out() {
    let mut agent = fixture::service_agent(true);
    agent.advance(monitor::FOREIGN_WORK_TIMEOUT);
    agent.renew_lease(Duration::ZERO);
    agent.probe(Some(event::Health { running: Some(9), ..fixture::health("a", None) }));

    let refusal = agent.offer(fixture::service_offer(1));

    assert_eq!(refusal, None);
}

#[test]
fn passed_deadline_is_refused_at_the_write() {
    let mut agent = fixture::service_agent(true);
    let offer = fixture::service_offer(1);
    let deadline = offer.deadline;
    agent.step(event::Event::Offer(offer));
    for _ in 0..5 {
        agent.pause(deadline / 5);
        agent.probe(Some(fixture::health("a", None)));
        agent.renew_lease(Duration::ZERO);
    }

    let actions = agent.step(event::Event::Connected(fixture::identifier(1)));

    let reason = fixture::find_rejection(&actions).map(|refusal| refusal.reason);
    assert_eq!(reason, Some(refusal::Reason::Deadline));
}
