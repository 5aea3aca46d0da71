//! Which instances wait for the seat of another one.

use hyssopfork_consensus::voters;
use hyssopfork_fleet::seats;
use hyssopfork_wire::name;
use std::time::Duration;

fn seat(instance: &str, zone: Option<&str>) -> seats::Seat {
    seats::Seat {
        instance: name::Instance::from(instance),
        zone: zone.map(name::Zone::from),
        silence: Duration::ZERO,
        is_vacant: false,
        is_leaving: false,
        has_ended: false,
        is_superseded: false,
    }
}

fn learner(zone: &str, is_superseded: bool) -> seats::Learner {
    seats::Learner {
        instance: name::Instance::from("learner"),
        zone: Some(name::Zone::from(zone)),
        is_initial: true,
        is_superseded,
        is_leaving: false,
    }
}

fn replaced(change: Option<voters::Change>) -> Option<name::Instance> {
    match change {
        Some(voters::Change::Replace { from, .. }) => Some(from),
        _ => None,
    }
}

/// State of a voter.
#[derive(Clone, Copy, Debug)]
enum Voter {
    Sound,
    Leaving,
    /// Its address refuses connections, and it last answered this many milliseconds ago.
    Ended(u64),
}

/// Guards against a vote that ends with its process while an instance without a vote has the whole log.
#[test]
fn the_seat_of_a_voter_that_stops_or_has_ended_goes_to_a_superseded_instance() {
    let cases = [
        (Voter::Leaving, "z1", true, true),
        (Voter::Leaving, "z1", false, false),
        (Voter::Ended(600), "z1", true, true),
        (Voter::Ended(300), "z1", true, false),
        // The successor of this learner, which may only restart.
        (Voter::Ended(600), "z2", true, false),
        (Voter::Sound, "z1", true, false),
    ];
    for (voter, zone, is_superseded, is_replaced) in cases {
        let mut seats =
            [("a", "z1"), ("b", "z2"), ("c", "z3")].map(|(name, zone)| seat(name, Some(zone)));
        match voter {
            Voter::Sound => {}
            Voter::Leaving => seats[1].is_leaving = true,
            Voter::Ended(silence_ms) => {
                seats[1].has_ended = true;
                seats[1].silence = Duration::from_millis(silence_ms);
            }
        }

        let next = seats::next_change(&seats, &[learner(zone, is_superseded)], 3);

        let expected = is_replaced.then(|| name::Instance::from("b"));
        assert_eq!(replaced(next), expected, "{voter:?}, {zone}, {is_superseded}");
    }
}

/// Guards against an instance that is back after an outage and takes the seat of the sound one in its zone.
#[test]
fn an_instance_that_has_had_a_seat_replaces_no_other_one() {
    let zone = name::Zone::from("z1");
    for (is_initial, is_superseded, waits) in
        [(true, false, false), (true, true, true), (false, false, true)]
    {
        let mut seats = ["z1", "z2", "z3"].map(|zone| seat(zone, Some(zone)));
        seats[0].is_superseded = is_superseded;
        let learner = seats::Learner { is_initial, ..learner("z1", false) };

        assert_eq!(seats::waits_for_seat(&seats, &zone, is_initial), waits);
        let next = replaced(seats::next_change(&seats, &[learner], 3));
        assert_eq!(next.is_some(), waits, "{is_initial}, {is_superseded}");
    }
}

/// Guards against a further seat for a successor that joins a leader before the voter of its zone has
/// introduced itself.
#[test]
fn a_successor_waits_while_the_zone_of_a_voter_is_not_known() {
    let zone = name::Zone::from("z1");
    for (zones, waits) in [
        ([Some("z1"), Some("z2"), Some("z3")], true),
        ([None, Some("z2"), Some("z3")], true),
        ([Some("z2"), Some("z2"), Some("z3")], false),
        ([Some("z1"), Some("z1"), Some("z3")], false),
    ] {
        let seats = zones.map(|zone| seat("edge", zone));

        assert_eq!(seats::waits_for_seat(&seats, &zone, false), waits, "{zones:?}");
    }
}
