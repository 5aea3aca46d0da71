//! The fixtures are consistent with each other.

use hyssopfork_test_support::fixture;
use hyssopfork_wire::name;

#[test]
fn routes_and_groups_refer_to_declared_pools() {
    let configuration = fixture::configuration();

    let routed = configuration.routes.values().map(|route| &route.pool);
    let grouped = configuration.groups.values().map(|group| &group.pool);

    assert!(routed.chain(grouped).all(|pool| configuration.pools.contains_key(pool)));
}

#[test]
fn view_contains_members_by_name() {
    let member = fixture::member(fixture::announcement("ikeja", "ikeja-1", 3));

    let view = fixture::view([member.clone()]);

    assert_eq!(view.members[&name::Instance::from("runner-3")], member);
}
