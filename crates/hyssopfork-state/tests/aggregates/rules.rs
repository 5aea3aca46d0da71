//! Rules of the whole configuration.

use crate::fixture;
use hyssopfork_state::rules;
use hyssopfork_wire::{configuration, name};

#[test]
fn the_fixture_breaks_no_rule() {
    let declared = fixture::configuration();

    let faults = rules::validate(&declared);

    assert_eq!(faults, Vec::<String>::new());
}

#[test]
fn every_fault_is_listed_at_once_with_its_remedy() {
    let mut declared = fixture::configuration();
    declared.zones.insert("Zone A".into(), configuration::Zone::default());
    declared.drained.insert("".into());
    let zones = [name::Zone::from("zone-x")].into();
    let pool = configuration::Pool { zones, ..fixture::pool(configuration::Kind::Engine) };
    declared.pools.insert("far".into(), pool);
    let group = configuration::Group { pool: "desk".into(), ..fixture::group(65) };
    declared.groups.insert("g2".into(), group);
    let route = configuration::Route { deadline_ms: 0, ..fixture::route("/lodge") };
    declared.routes.insert("twin".into(), route);
    let route = configuration::Route { pool: "none".into(), ..fixture::route("lodge?x") };
    declared.routes.insert("crooked".into(), route);
    let tokens = ["a".repeat(64), "secret".into()].into();
    let team = configuration::Team { token_sha256: tokens, weight: 0 };
    declared.teams.insert("other".into(), team);

    let faults = rules::validate(&declared);

    let expected = [
        "zone name \"Zone A\" is not valid; use",
        "instance name \"\" is not valid; use",
        "pool far names zone zone-x, which is not declared; declare it",
        "group g2 has size 65; give it",
        "group g2 names pool desk of kind service; name",
        "route twin has deadline_ms 0; give it",
        "routes lodge and twin have the same prefix \"/lodge\"; give each",
        "route crooked has prefix \"lodge?x\"; write",
        "route crooked names pool none, which is not declared; declare it",
        "team other has weight 0; give it",
        "team other has a token_sha256 that is no SHA-256; write",
        "teams other and team share a token; give each",
    ];
    for part in expected {
        assert!(faults.iter().any(|fault| fault.contains(part)), "{part} in {faults:#?}");
    }
    assert_eq!(faults.len(), expected.len());
}
