//! Groups: a group serves only while each member grants it, and an instance grants only one group.

use crate::fixture;
use hyssopfork_agent::{action, event};
use hyssopfork_wire::{attempt, member, number, refusal, timing};
use std::time::Duration;

const NEXT: number::Fence = number::Fence(11);

// The other member fails silently (partitioned from the first member only, or crashed): its grant
// expires, new attempts are rejected, and running ones are aborted with "may have run".
#[test]
fn silent_member_aborts_running_attempts() {
    let mut agent = fixture::first_member();
    agent.forward(fixture::offer(1));

    let actions = agent.advance(timing::GROUP_GRANT);
    let rejection = agent.offer(fixture::offer(2));

    assert!(fixture::has_abort(&actions));
    assert_eq!(fixture::find_rejection(&actions).map(|r| r.ran), Some(refusal::Ran::MayHaveRun));
    assert_eq!(rejection.map(|r| r.reason), Some(refusal::Reason::GroupIncomplete));
}

// The network delays a grant while the member's guard interval passes: the grant must count from
// when it was requested.
#[test]
fn grant_counts_from_when_it_was_requested() {
    let mut agent = fixture::first_member();
    agent.advance(timing::GROUP_GRANT);
    let actions = agent.advance(timing::GROUP_RENEWAL_INTERVAL + action::TICK_INTERVAL);
    let (call, _) = actions
        .iter()
        .rev()
        .find_map(fixture::find_grant_request)
        .expect("the member gets a grant request");
    let duration = timing::GROUP_GRANT;
    let version = agent.view.version;

    agent.pause(timing::GROUP_GRANT);
    let granted = member::Response::Granted { duration, version, leaving: false };
    agent.step(event::Event::GrantResponded { call, response: Some(granted) });

    assert!(!agent.core.is_ready(agent.now));
}

#[test]
fn rejection_revokes_the_grant_but_a_late_one_does_not() {
    let rejected = member::Response::Refused { version: number::Version(1) };
    let mut agent = fixture::first_member();
    let actions = agent.advance(timing::GROUP_RENEWAL_INTERVAL + action::TICK_INTERVAL);
    let (old, _) = actions
        .iter()
        .find_map(fixture::find_grant_request)
        .expect("the member gets a grant request");
    agent.receive_grant();

    agent.step(event::Event::GrantResponded { call: old, response: Some(rejected.clone()) });
    let after_late = agent.core.is_ready(agent.now);
    agent.receive_grant_response(rejected);
    let after_new = agent.core.is_ready(agent.now);

    assert!(after_late);
    assert!(!after_new);
}

// The engine crashes and its agent survives. The member stops granting at once; a first member
// aborts its attempts. An engine that comes back as a new process is cold and has no model loaded.
#[test]
fn crashed_engine_takes_its_group_out_of_service() {
    let mut second = fixture::second_member();
    let mut first = fixture::first_member();
    first.forward(fixture::offer(1));

    let before = second.request_grant(fixture::grant_request(fixture::FENCE));
    second.probe(None);
    let after = second.request_grant(fixture::grant_request(fixture::FENCE));
    second.probe(Some(fixture::health("b", None)));
    let back = second.request_grant(fixture::grant_request(fixture::FENCE));
    let fell = first.probe(None);

    assert!(fixture::is_granted(&before));
    assert!(!fixture::is_granted(&after) && !fixture::is_granted(&back));
    assert!(fixture::has_abort(&fell));
}

#[test]
fn missed_probe_of_the_same_engine_causes_no_load_order() {
    let mut agent = fixture::second_member();

    agent.probe(None);
    let back = agent.probe(Some(fixture::health("a", None)));

    assert_eq!(fixture::load_orders(&back), Vec::<number::Fence>::new());
    assert!(fixture::is_granted(&agent.request_grant(fixture::grant_request(fixture::FENCE))));
}

// The group is repaired while its old first member is partitioned but alive, and the remaining
// member has just granted it. Until that grant has certainly expired, the member neither grants for
// the new placement nor orders its engine to load for it.
#[test]
fn member_waits_for_its_old_grant_to_expire() {
    let mut agent = fixture::second_member();
    assert!(fixture::is_granted(&agent.request_grant(fixture::grant_request(fixture::FENCE))));
    let granted_at = agent.now;

    let mut orders = agent.change_view(|view| fixture::set_placement(view, NEXT, &["i2", "i1"]));
    let old = agent.request_grant(fixture::grant_request(fixture::FENCE));
    while fixture::load_orders(&orders).is_empty() {
        orders = agent.advance(action::TICK_INTERVAL);
        agent.probe(Some(fixture::health("a", None)));
        assert!(
            agent.now.since(granted_at) < timing::HOLDER_LEASE,
            "the engine gets an order before the lease expires"
        );
    }

    assert!(!fixture::is_granted(&old));
    assert_eq!(fixture::load_orders(&orders), vec![NEXT]);
    assert!(agent.now.since(granted_at) >= timing::GROUP_GRANT_GUARD);
}

// The agent restarts without state while its engine is alive and loaded. The previous process may
// have just given a grant under a placement that this one does not know.
#[test]
fn restarted_agent_waits_before_its_first_grant() {
    let mut agent = fixture::engine_agent("i1");
    agent.renew_lease(Duration::ZERO);
    agent.probe(Some(fixture::health("a", Some(fixture::FENCE))));

    let early = agent.request_grant(fixture::grant_request(fixture::FENCE));
    agent.advance(timing::GROUP_GRANT_GUARD);
    agent.probe(Some(fixture::health("a", Some(fixture::FENCE))));
    let late = agent.request_grant(fixture::grant_request(fixture::FENCE));

    assert!(!fixture::is_granted(&early));
    assert!(fixture::is_granted(&late));
}

// A restarted agent probed its engine, which was still loaded, before it knew the engine's
// placement. It ordered a load, took the engine for loaded at the next probe and let the limit
// grow; then the engine carried out the order and was cold (random histories, seed 24605).
#[test]
fn engine_loaded_as_placed_gets_no_order() {
    let mut agent = fixture::engine_agent("i1");
    agent.probe(Some(fixture::health("a", Some(fixture::FENCE))));
    agent.advance(timing::GROUP_GRANT_GUARD);

    let mut actions = agent.renew_lease(Duration::ZERO);
    actions.extend(agent.advance(action::TICK_INTERVAL));

    assert_eq!(fixture::load_orders(&actions), Vec::<number::Fence>::new());
    assert!(fixture::is_granted(&agent.request_grant(fixture::grant_request(fixture::FENCE))));
}

// A member that is partitioned from control cannot know that its instance was assigned to another
// group: it stops granting when its lease expires.
#[test]
fn member_partitioned_from_control_stops_granting() {
    let mut agent = fixture::second_member();

    agent.advance(timing::HOLDER_LEASE);
    agent.probe(Some(fixture::health("a", None)));
    let response = agent.request_grant(fixture::grant_request(fixture::FENCE));

    assert!(!fixture::is_granted(&response));
}

#[test]
fn other_first_members_and_fencing_numbers_get_no_grant() {
    let mut agent = fixture::second_member();
    let stranger = member::Request { first: "i2".into(), ..fixture::grant_request(fixture::FENCE) };

    let responses = [
        agent.request_grant(stranger),
        agent.request_grant(fixture::grant_request(number::Fence(9))),
        agent.request_grant(fixture::grant_request(NEXT)),
    ];

    assert!(!responses.iter().any(fixture::is_granted));
}

// An engine that ignores fencing numbers carries out orders as they arrive. A second order is sent
// only after the response to the first, otherwise the older one might be carried out last.
#[test]
fn orders_are_sent_one_at_a_time() {
    let mut agent = fixture::engine_agent("i1");
    agent.renew_lease(Duration::ZERO);
    agent.wait_for_grant_guard();

    let mut moved = agent.change_view(|view| fixture::set_placement(view, NEXT, &["i2", "i1"]));
    moved.extend(agent.advance(Duration::from_millis(100)));
    let before = fixture::load_orders(&moved);
    let answered =
        agent.step(event::Event::LoadFinished { fence: fixture::FENCE, succeeded: true });
    let stale = agent.request_grant(fixture::grant_request(fixture::FENCE));

    assert_eq!(before, Vec::<number::Fence>::new());
    assert_eq!(fixture::load_orders(&answered), vec![NEXT]);
    assert!(!fixture::is_granted(&stale));
}

// A late order of the previous process reaches the engine after this process's order was carried
// out. The probe shows it: the member stops granting and sends a new order.
#[test]
fn engine_that_carried_out_a_late_order_gets_a_new_order() {
    let mut agent = fixture::second_member();
    agent.advance(Duration::from_millis(1_000));
    agent.renew_lease(Duration::ZERO);

    let found = agent.probe(Some(fixture::health("a", Some(number::Fence(3)))));
    let response = agent.request_grant(fixture::grant_request(fixture::FENCE));

    assert_eq!(fixture::load_orders(&found), vec![fixture::FENCE]);
    assert!(!fixture::is_granted(&response));
}

// The first member's view changes to another placement: attempts under the old one are aborted at
// once, before the engine loads again.
#[test]
fn moved_first_member_aborts_running_attempts() {
    let mut agent = fixture::first_member();
    agent.forward(fixture::offer(1));

    let call = agent.advance(timing::RENEWAL_INTERVAL);
    assert!(!fixture::has_abort(&call));
    agent.receive_grant();
    agent.change_view(|view| fixture::set_placement(view, NEXT, &["i2", "i0"]));
    let cancelled = agent.cancel(1);

    assert_eq!(cancelled, attempt::Cancelled::Started);
    let again = agent.offer(fixture::offer(2));
    assert_eq!(again.map(|r| r.reason), Some(refusal::Reason::GroupIncomplete));
}
