//! Graceful stop: no new attempts are admitted, and none in flight is aborted.

use crate::fixture;
use hyssopfork_agent::event;
use hyssopfork_wire::{member, refusal, timing};
use std::time::Duration;

// A long response is in flight when the process is asked to stop: the process stops only after it
// is complete.
#[test]
fn running_attempts_finish_before_the_process_stops() {
    let mut agent = fixture::service_agent(true);
    agent.forward(fixture::service_offer(1));

    agent.step(event::Event::Stop);
    let rejection = agent.offer(fixture::service_offer(2));
    let waiting = agent.advance(timing::HOLDER_LEASE * 3);
    let ended = agent.step(event::Event::ResponseCompleted(fixture::identifier(1)));

    assert_eq!(rejection.map(|r| r.reason), Some(refusal::Reason::Draining));
    assert!(!fixture::has_stopped(&waiting) && !fixture::has_abort(&waiting));
    assert!(fixture::has_stopped(&ended));
}

#[test]
fn time_limit_and_second_stop_abort_running_attempts() {
    let mut overdue = fixture::service_agent(true);
    overdue.forward(fixture::service_offer(1));
    let mut twice = fixture::service_agent(true);
    twice.forward(fixture::service_offer(1));

    overdue.step(event::Event::Stop);
    let late = overdue.advance(fixture::STOP_LIMIT);
    twice.step(event::Event::Stop);
    let second = twice.step(event::Event::Stop);

    for actions in [late, second] {
        assert!(fixture::has_stopped(&actions));
        assert_eq!(
            fixture::find_rejection(&actions).map(|r| r.ran),
            Some(refusal::Ran::MayHaveRun)
        );
    }
}

// A member other than the first is asked to stop while its group serves a long request. It
// continues to grant, even without a lease, until the first member is draining and idle, and then
// never again. Otherwise the first member would stop draining after the rejection and get a new
// grant, and the process would never exit (seeds 230, 235 and 349 of the histories).
#[test]
fn leaving_member_grants_until_the_first_member_is_idle() {
    let mut agent = fixture::second_member();
    let request = fixture::grant_request(fixture::FENCE);
    agent.request_grant(request.clone());
    agent.step(event::Event::Stop);

    let running = agent.request_grant(request.clone());
    for _ in 0..40 {
        let actions = agent.advance(timing::GROUP_RENEWAL_INTERVAL);
        agent.probe(Some(fixture::health("a", None)));
        assert!(!fixture::has_stopped(&actions));
        assert!(fixture::is_granted(&agent.request_grant(request.clone())));
    }
    let idle = member::Request { running: 0, draining: true, ..request };
    let done = agent.request_grant(idle.clone());
    let again = agent.request_grant(member::Request { draining: false, ..idle });
    let actions = agent.advance(timing::GROUP_GRANT_GUARD);

    assert!(matches!(running, member::Response::Granted { leaving: true, .. }));
    assert!(!fixture::is_granted(&done) && !fixture::is_granted(&again));
    assert!(fixture::has_stopped(&actions));
}

// The first member learns from a grant that the other member is leaving: running attempts continue,
// new ones are rejected, and its next grant request says that it is draining.
#[test]
fn first_member_drains_when_another_member_leaves() {
    let mut agent = fixture::first_member();
    agent.forward(fixture::offer(1));
    let duration = timing::GROUP_GRANT;
    let version = agent.view.version;

    let answered = agent.receive_grant_response(member::Response::Granted {
        duration,
        version,
        leaving: true,
    });
    let rejection = agent.offer(fixture::offer(2));
    let actions = agent.advance(timing::GROUP_RENEWAL_INTERVAL + Duration::from_millis(25));

    assert!(!fixture::has_abort(&answered));
    assert_eq!(rejection.map(|r| r.reason), Some(refusal::Reason::Draining));
    let (_, request) = actions
        .iter()
        .find_map(fixture::find_grant_request)
        .expect("the member gets a grant request");
    assert!(request.draining && request.running == 1);
}

// A member left and came back as a new process before control had moved the group, and the first
// member kept draining for the previous process forever (random histories).
#[test]
fn returning_member_ends_the_draining() {
    let mut agent = fixture::first_member();
    let duration = timing::GROUP_GRANT;
    let version = agent.view.version;
    agent.receive_grant_response(member::Response::Granted { duration, version, leaving: true });

    agent.receive_grant();
    let rejection = agent.offer(fixture::offer(1));

    assert_eq!(rejection, None);
}

// An entry sends an offer before it learns that the agent is leaving. The process stays until every
// entry has learned of it, so that it can reject the offer as not run.
#[test]
fn process_stays_until_entries_know_that_it_leaves() {
    let mut agent = fixture::service_agent(true);

    agent.step(event::Event::Stop);
    let heard = agent.renew_lease(Duration::ZERO);
    let early = agent.advance(timing::IN_FORCE_BOUND - Duration::from_millis(50));
    let rejection = agent.offer(fixture::service_offer(1));
    let late = agent.advance(Duration::from_millis(100));

    assert!(!fixture::has_stopped(&heard) && !fixture::has_stopped(&early));
    assert_eq!(rejection.map(|r| r.ran), Some(refusal::Ran::NotRun));
    assert!(fixture::has_stopped(&late));
}
