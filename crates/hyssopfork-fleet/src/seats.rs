//! Seats of the replicated log: which instances get one by themselves, and which give theirs up.
//!
//! The successor of an instance takes its seat as soon as it has the log, and the older instance becomes
//! a learner. The end of the older instance then removes no vote, and the number of voters stays odd. An
//! older instance is recognised by its availability zone, if it has the only seat there. If it was another
//! one, the instance that stops shows it: its seat goes to a learner that gave up its own.

use hyssopfork_consensus::voters;
use hyssopfork_wire::name;
use std::time::Duration;

/// Time without an answer after which a voter is removed or replaced; longer than a restart takes.
pub const VOTER_TIMEOUT: Duration = Duration::from_secs(4);

/// Time without an answer after which the seat of a voter whose address refuses connections is given to
/// an instance of another zone; longer than an election timeout, so that a voter that only restarts is
/// not superseded.
const ENDED_VOTER_TIMEOUT: Duration = Duration::from_millis(500);

/// Longest time without an answer for which a voter counts as reachable.
const MAX_VOTER_SILENCE: Duration = Duration::from_secs(1);

/// Instance with a seat.
#[derive(Clone, Debug)]
pub struct Seat {
    /// Instance.
    pub instance: name::Instance,
    /// Availability zone; unknown unless its process introduced itself.
    pub zone: Option<name::Zone>,
    /// Time since its newest answer, or since its seat is vacant.
    pub silence: Duration,
    /// Whether its seat is vacant.
    pub is_vacant: bool,
    /// Whether its process is stopping.
    pub is_leaving: bool,
    /// Whether its address refuses connections.
    pub has_ended: bool,
    /// Whether it gave its vote to a newer instance before.
    pub is_superseded: bool,
}

/// Instance without a seat.
#[derive(Clone, Debug)]
pub struct Learner {
    /// Instance.
    pub instance: name::Instance,
    /// Availability zone; unknown unless its process introduced itself.
    pub zone: Option<name::Zone>,
    /// Whether it started with the system, or has had a seat: it replaces no other instance.
    pub is_initial: bool,
    /// Whether it gave its vote to a newer instance.
    pub is_superseded: bool,
    /// Whether its process is stopping.
    pub is_leaving: bool,
}

/// Whether an instance without a seat waits for that of another one while there are enough voters,
/// instead of getting a further one.
///
/// Until the zones of all voters are known, one of them may be in its zone. Where its zone has no seat or
/// several, the instance that it replaces is not known, and a further seat keeps more of the tolerance,
/// unless a superseded instance has a seat to give back.
pub fn waits_for_seat(seats: &[Seat], zone: &name::Zone, is_initial: bool) -> bool {
    let is_in_zone = |seat: &&Seat| seat.zone.as_ref() == Some(zone);
    let in_zone: Vec<&Seat> = seats.iter().filter(is_in_zone).collect();
    let may_replace_one = match in_zone[..] {
        [] => seats.iter().any(|seat| seat.zone.is_none()),
        [seat] => !is_initial || seat.is_superseded,
        _ => false,
    };
    may_replace_one || spare_seat(seats).is_some()
}

/// Next change of the voters, if any.
///
/// No seat is replaced while a voter that answers may be of a release that takes superseded instances
/// for voters.
///
/// A voter is removed only while at least `required` others answer, since each change reduces the
/// tolerance while it is in progress. Otherwise a superseded instance takes its seat, since the successor
/// that has its vote may be the one of that voter: at once if the voter's process is stopping.
pub fn next_change(
    seats: &[Seat],
    learners: &[Learner],
    required: usize,
) -> Option<voters::Change> {
    let is_known = |seat: &Seat| seat.zone.is_some() || seat.silence >= VOTER_TIMEOUT;
    let may_replace = seats.iter().all(is_known);
    let is_candidate =
        |learner: &&Learner| may_replace && learner.zone.is_some() && !learner.is_leaving;
    let learners = || learners.iter().filter(is_candidate);
    let replace = |seat: &Seat, learner: &Learner| voters::Change::Replace {
        from: seat.instance.clone(),
        to: learner.instance.clone(),
    };
    let in_zone = learners().find_map(|learner| {
        let seat = if learner.is_superseded {
            silent_seat_in_zone(seats, learner)
        } else {
            seat_for_new(seats, learner)
        };
        Some(replace(seat?, learner))
    });
    let from_superseded = || {
        let superseded = || learners().filter(|learner| learner.is_superseded);
        let silent_or_leaving = || silent_seat(seats).or_else(|| leaving_seat(seats));
        let freed = superseded().find_map(|learner| Some(replace(silent_or_leaving()?, learner)));
        let ended = || superseded().find_map(|it| Some(replace(ended_seat(seats, it)?, it)));
        freed.or_else(ended)
    };
    in_zone.or_else(|| removal(seats, required)).or_else(from_superseded)
}

fn seat_for_new<'a>(seats: &'a [Seat], learner: &Learner) -> Option<&'a Seat> {
    let only_in_zone = learner.zone.as_ref().and_then(|zone| {
        let mut in_zone = seats.iter().filter(|seat| seat.zone.as_ref() == Some(zone));
        let is_replaced = |seat: &&Seat| !learner.is_initial || seat.is_superseded;
        in_zone.next().filter(is_replaced).filter(|_| in_zone.next().is_none())
    });
    only_in_zone.or_else(|| spare_seat(seats)).or_else(|| silent_seat(seats))
}

/// Seat that a superseded instance took for another zone: its own has a further one.
fn spare_seat(seats: &[Seat]) -> Option<&Seat> {
    let is_of_zone = |seat: &Seat, other: &Seat| {
        seat.zone.is_some() && seat.zone == other.zone && seat.instance != other.instance
    };
    let is_spare =
        |seat: &&Seat| seat.is_superseded && seats.iter().any(|other| is_of_zone(seat, other));
    seats.iter().find(is_spare)
}

fn silent_seat_in_zone<'a>(seats: &'a [Seat], learner: &Learner) -> Option<&'a Seat> {
    let is_in_zone = |seat: &&Seat| seat.zone.is_some() && seat.zone == learner.zone;
    seats.iter().filter(is_in_zone).find(|seat| seat.silence >= VOTER_TIMEOUT)
}

fn silent_seat(seats: &[Seat]) -> Option<&Seat> {
    seats.iter().find(|seat| seat.silence >= VOTER_TIMEOUT)
}

fn leaving_seat(seats: &[Seat]) -> Option<&Seat> {
    seats.iter().find(|seat| seat.is_leaving)
}

/// Seat of another zone than the learner's whose process has ended.
fn ended_seat<'a>(seats: &'a [Seat], learner: &Learner) -> Option<&'a Seat> {
    let is_ended = |seat: &&Seat| seat.has_ended && seat.silence >= ENDED_VOTER_TIMEOUT;
    seats.iter().filter(is_ended).find(|seat| seat.zone != learner.zone)
}

fn removal(seats: &[Seat], required: usize) -> Option<voters::Change> {
    let answers =
        |seat: &&Seat| !seat.is_vacant && !seat.is_leaving && seat.silence < MAX_VOTER_SILENCE;
    if seats.iter().filter(answers).count() < required {
        return None;
    }
    silent_seat(seats)
        .or_else(|| leaving_seat(seats))
        .map(|seat| voters::Change::Displace(seat.instance.clone()))
}
