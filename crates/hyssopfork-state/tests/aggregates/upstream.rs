//! Upstreams that may take work.

use crate::fixture;
use hyssopfork_state::{command, upstream};
use hyssopfork_wire::{configuration, name, number, patch};

fn instances(log: &fixture::Log, pool: &str) -> Vec<String> {
    upstream::of_pool(log.view(), &pool.into())
        .iter()
        .map(|upstream| upstream.instance.to_string())
        .collect()
}

#[test]
fn an_engine_pool_offers_the_first_members_of_placed_groups() {
    let mut log = fixture::declared();
    let before = instances(&log, "engines");
    log.place("g1", &["e2", "e1"], None);

    let upstreams = upstream::of_pool(log.view(), &"engines".into());

    assert!(before.is_empty());
    assert_eq!(upstreams.len(), 1);
    assert_eq!(upstreams[0].instance, &name::Instance::from("e2"));
    assert_eq!(upstreams[0].group, Some((&"g1".into(), number::Fence(1))));
    assert_eq!(upstreams[0].boot, 1);
}

#[test]
fn a_group_takes_no_work_while_any_member_may_not() {
    let mut log = fixture::declared();
    log.place("g1", &["e1", "e2"], None);

    log.submit("drain", vec![patch::Operation::SetDrained("e2".into(), true)]);
    let drained = instances(&log, "engines");
    log.submit("undrain", vec![patch::Operation::SetDrained("e2".into(), false)]);
    let back = instances(&log, "engines");
    log.apply(&command::Command::Absent { instance: "e2".into(), boot: 1 });
    let absent = instances(&log, "engines");

    assert!(drained.is_empty());
    assert_eq!(back, ["e1"]);
    assert!(absent.is_empty());
}

#[test]
fn a_zone_that_is_out_takes_no_work_and_takes_it_again_when_it_is_back() {
    let mut log = fixture::declared();

    log.submit("out", vec![patch::Operation::SetZoneOut("zone-b".into(), true)]);
    let out = instances(&log, "desk");
    log.submit("back", vec![patch::Operation::SetZoneOut("zone-b".into(), false)]);
    let back = instances(&log, "desk");

    assert!(out.is_empty());
    assert_eq!(back, ["s1"]);
}

#[test]
fn each_reason_for_ineligibility_is_returned() {
    let mut log = fixture::declared();
    let name = |text: &str| name::Instance::from(text);
    log.submit("drain", vec![patch::Operation::SetDrained("e1".into(), true)]);
    log.apply(&command::Command::Leaving { instance: name("e2"), boot: 1 });
    log.apply(&command::Command::Absent { instance: name("e3"), boot: 1 });
    let zones = [name::Zone::from("zone-a")].into();
    let desk = configuration::Pool { zones, ..fixture::pool(configuration::Kind::Service) };
    log.submit("desk", vec![patch::Operation::PutPool("desk".into(), desk)]);

    let obstacle = |instance| upstream::ineligibility(log.view(), &name(instance));

    assert_eq!(obstacle("e1"), Some(upstream::Ineligibility::Drained));
    assert_eq!(obstacle("e2"), Some(upstream::Ineligibility::Leaving));
    assert_eq!(obstacle("e3"), Some(upstream::Ineligibility::Absent));
    assert_eq!(obstacle("s1"), Some(upstream::Ineligibility::ZoneNotAllowed));
    assert_eq!(obstacle("e9"), Some(upstream::Ineligibility::Unrecorded));
    assert_eq!(obstacle("e4"), None);
}
