//! Admission control: what must hold when an attempt is forwarded to the upstream.

use crate::fixture;
use hyssopfork_agent::{event, monitor};
use hyssopfork_policy::slow_start;
use hyssopfork_wire::{number, refusal, timing};
use std::time::Duration;

const NOT_RUN: refusal::Ran = refusal::Ran::NotRun;

#[test]
fn complete_group_accepts_attempts() {
    let mut agent = fixture::first_member();

    agent.forward(fixture::offer(1));

    assert!(agent.core.is_ready(agent.now));
}

// The first member admits an attempt, is paused for longer than its lease, and resumes just before
// the write. Meanwhile the zone may have been taken out or the group been moved, so the attempt is
// rejected and can be retried elsewhere.
#[test]
fn pause_between_admission_and_write_is_detected() {
    let mut agent = fixture::first_member();
    let offered = agent.step(event::Event::OfferArrived(fixture::offer(1)));
    assert!(fixture::has_connect(&offered));

    agent.pause(timing::HOLDER_LEASE);
    let actions = agent.step(event::Event::Connected(fixture::identifier(1)));

    assert!(!fixture::has_forward(&actions));
    assert_eq!(fixture::find_rejection(&actions).map(|rejection| rejection.ran), Some(NOT_RUN));
}

// As above, but the pause is only longer than the other member's grant: that member may serve
// another group by now.
#[test]
fn pause_longer_than_a_grant_is_detected() {
    let mut agent = fixture::first_member();
    agent.step(event::Event::OfferArrived(fixture::offer(1)));

    agent.pause(timing::GROUP_GRANT);
    let actions = agent.step(event::Event::Connected(fixture::identifier(1)));

    assert!(!fixture::has_forward(&actions));
    let reason = fixture::find_rejection(&actions).map(|rejection| rejection.reason);
    assert_eq!(reason, Some(refusal::Reason::GroupIncomplete));
}

// A silent partition separates the agent from control, and its zone is taken out. The agent cannot
// learn of that, so it stops when its lease expires, counted from when it sent the renewal.
#[test]
fn agent_partitioned_from_control_rejects_after_its_lease_expires() {
    let mut agent = fixture::service_agent(true);
    let slow = Duration::from_millis(400);
    agent.renew_lease(slow);

    agent.advance(timing::HOLDER_LEASE - slow - Duration::from_millis(1));
    agent.probe(Some(fixture::health("a", None)));
    let before = agent.offer(fixture::service_offer(1));
    agent.pause(Duration::from_millis(1));
    let after = agent.offer(fixture::service_offer(2));

    assert_eq!(before, None);
    assert_eq!(after.map(|rejection| rejection.reason), Some(refusal::Reason::Stale));
}

#[test]
fn agent_rejects_if_its_zone_is_out_or_it_is_drained_or_superseded() {
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
        let member = view.members.get_mut(&"s0".into()).expect("the instance is recorded");
        member.announcement.boot += 1;
    });

    let reasons = [&mut out, &mut drained, &mut superseded]
        .map(|agent| agent.offer(fixture::service_offer(1)).map(|rejection| rejection.reason));

    let expected =
        [refusal::Reason::ZoneOut, refusal::Reason::Draining, refusal::Reason::Stale].map(Some);
    assert_eq!(reasons, expected);
}

// Another member of the group is being drained: the group accepts no new attempts, which would have
// to be aborted when the member leaves.
#[test]
fn drained_member_stops_admission_of_its_group() {
    let mut agent = fixture::first_member();
    agent.change_view(|view| {
        view.configuration.drained.insert("i1".into());
    });

    let rejection = agent.offer(fixture::offer(1));

    assert_eq!(rejection.map(|rejection| rejection.reason), Some(refusal::Reason::Draining));
}

#[test]
fn old_fencing_number_and_wrong_kind_are_rejected() {
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
    assert_eq!([old, plain, grouped].map(|r| r.map(|rejection| rejection.reason)), expected);
}

// A cold upstream crashes under full load. Its limit stays low until it has completed requests, and
// is low again when a probe finds a new process.
#[test]
fn cold_upstream_has_a_low_limit() {
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
    assert_eq!(third.map(|rejection| rejection.reason), cold);
    assert_eq!(held.map(|rejection| rejection.reason), cold);
    assert_eq!(after.map(|rejection| rejection.reason), cold);
}

// An upstream crashed and came back cold between two probes, and crashed again under the requests
// that its agent admitted by the previous process's limit. One failed request is enough to lower
// the limit until a later probe returns.
#[test]
fn failed_request_lowers_the_limit_until_a_later_probe() {
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
    assert_eq!(suspected.map(|rejection| rejection.reason), cold);
    assert_eq!(still.map(|rejection| rejection.reason), cold);
    assert_eq!(trusted, None);
}

// An engine crashed and came back without its model between two probes, and its agent continued to
// forward to it although the group had lost a member (soak with real processes, seed 13).
#[test]
fn failed_request_stops_admission_to_an_engine_until_a_later_probe() {
    let mut agent = fixture::first_member();
    agent.forward(fixture::offer(1));

    agent.step(event::Event::ResponseFailed(fixture::identifier(1), event::Fault::Broken));
    let suspected = agent.offer(fixture::offer(2));
    agent.advance(timing::PROBE_INTERVAL);
    agent.probe(Some(fixture::health("a", Some(fixture::FENCE))));
    let trusted = agent.offer(fixture::offer(3));

    assert_eq!(suspected.map(|rejection| rejection.reason), Some(refusal::Reason::Cold));
    assert_eq!(trusted, None);
}

// An idle engine restarted between two probes, without its model, and two requests were admitted
// before that was known (soak, seed 71117). The first one fails; the second, written 0.1 ms later,
// must be rejected, so that it is retried elsewhere.
#[test]
fn attempt_admitted_before_a_failure_is_not_forwarded_after_it() {
    let mut agent = fixture::first_member();
    agent.forward(fixture::offer(1));
    assert!(fixture::has_connect(&agent.step(event::Event::OfferArrived(fixture::offer(2)))));

    agent.step(event::Event::ResponseFailed(fixture::identifier(1), event::Fault::Broken));
    let actions = agent.step(event::Event::Connected(fixture::identifier(2)));

    assert!(!fixture::has_forward(&actions));
    let rejection =
        fixture::find_rejection(&actions).map(|rejection| (rejection.reason, rejection.ran));
    assert_eq!(rejection, Some((refusal::Reason::Cold, NOT_RUN)));
}

// An idle engine restarted without its model after the last probe. Its process says so on the
// attempt's own connection, and the attempt is rejected before it is written.
#[test]
fn engine_that_restarted_since_the_last_probe_gets_no_attempt() {
    let mut agent = fixture::first_member();
    assert!(fixture::has_connect(&agent.step(event::Event::OfferArrived(fixture::offer(1)))));

    let actions = agent.connect_engine(1, fixture::health("b", None));

    assert!(!fixture::has_forward(&actions));
    assert_eq!(fixture::find_rejection(&actions).map(|rejection| rejection.ran), Some(NOT_RUN));
}

// The engine carried out a late order of another placement after the last probe.
#[test]
fn engine_that_reports_another_fencing_number_gets_no_attempt() {
    let mut agent = fixture::first_member();
    assert!(fixture::has_connect(&agent.step(event::Event::OfferArrived(fixture::offer(1)))));

    let actions = agent.connect_engine(1, fixture::health("a", Some(number::Fence(9))));

    assert!(!fixture::has_forward(&actions));
    let reason = fixture::find_rejection(&actions).map(|rejection| rejection.reason);
    assert_eq!(reason, Some(refusal::Reason::GroupIncomplete));
}

#[test]
fn engine_that_reports_its_model_gets_the_attempt() {
    let mut agent = fixture::first_member();
    assert!(fixture::has_connect(&agent.step(event::Event::OfferArrived(fixture::offer(1)))));

    let actions = agent.connect_engine(1, fixture::health("a", Some(fixture::FENCE)));

    assert!(fixture::has_forward(&actions));
}

// A probe of the previous process is read after a newer report of the restarted engine. If it
// counted, the engine would pass for loaded.
#[test]
fn late_response_of_an_older_probe_does_not_count() {
    let mut agent = fixture::first_member();
    let sent_at = agent.now;
    agent.advance(Duration::from_millis(1));
    agent.probe(Some(fixture::health("b", None)));

    let health = Some(fixture::health("a", Some(fixture::FENCE)));
    agent.step(event::Event::ProbedAt { sent_at, health });

    assert!(agent.offer(fixture::offer(1)).is_some());
}

fn complete(agent: &mut fixture::Agent, first: u64, count: u64) {
    for count in first..first + count {
        agent.step(event::Event::ResponseCompleted(fixture::identifier(count)));
    }
}

fn run_and_complete(agent: &mut fixture::Agent, first: u64, count: u32) {
    for count in first..first + u64::from(count) {
        agent.forward(fixture::service_offer(count));
        complete(agent, count, 1);
    }
}

// The agent was paused while its upstream was replaced by a cold one, and every request that waited
// during the pause was admitted by the state before it (random histories).
#[test]
fn stale_probe_does_not_count() {
    let mut agent = fixture::service_agent(true);
    agent.pause(monitor::MAX_PROBE_AGE);

    let rejection = agent.offer(fixture::service_offer(1));

    assert_eq!(rejection.map(|rejection| rejection.reason), Some(refusal::Reason::NoUpstream));
}

// The response to a probe waited to be read while the process was paused. It describes the time at
// which the probe was sent (random histories).
#[test]
fn probe_response_read_late_counts_from_when_the_probe_was_sent() {
    let mut agent = fixture::service_agent(true);
    let sent_at = agent.now;
    agent.pause(monitor::MAX_PROBE_AGE);
    agent.step(event::Event::ProbedAt { sent_at, health: Some(fixture::health("a", None)) });

    let rejection = agent.offer(fixture::service_offer(1));

    assert_eq!(rejection.map(|rejection| rejection.reason), Some(refusal::Reason::NoUpstream));
}

// The agent restarted and gave a cold upstream that cannot cancel its whole limit again, on top of
// the requests of the previous process (random histories).
#[test]
fn requests_of_the_previous_process_use_up_the_limit() {
    let mut agent = fixture::service_agent(false);
    let busy = event::Health { running: Some(2), ..fixture::health("a", None) };
    agent.probe(Some(busy));

    let rejection = agent.offer(fixture::service_offer(1));

    assert_eq!(rejection.map(|rejection| rejection.reason), Some(refusal::Reason::Cold));
}

// An upstream counts requests of other clients, or probes, as running. If they counted as left over
// from the previous process forever, a cold upstream would get no requests and stay cold.
#[test]
fn constant_foreign_requests_do_not_block_admission() {
    let mut agent = fixture::service_agent(true);
    agent.advance(monitor::FOREIGN_WORK_TIMEOUT);
    agent.renew_lease(Duration::ZERO);
    agent.probe(Some(event::Health { running: Some(9), ..fixture::health("a", None) }));

    let rejection = agent.offer(fixture::service_offer(1));

    assert_eq!(rejection, None);
}

#[test]
fn exceeded_deadline_is_rejected_at_the_write() {
    let mut agent = fixture::service_agent(true);
    let offer = fixture::service_offer(1);
    let deadline = offer.deadline;
    agent.step(event::Event::OfferArrived(offer));
    for _ in 0..5 {
        agent.pause(deadline / 5);
        agent.probe(Some(fixture::health("a", None)));
        agent.renew_lease(Duration::ZERO);
    }

    let actions = agent.step(event::Event::Connected(fixture::identifier(1)));

    let reason = fixture::find_rejection(&actions).map(|rejection| rejection.reason);
    assert_eq!(reason, Some(refusal::Reason::Deadline));
}
