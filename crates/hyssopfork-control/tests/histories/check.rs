//! Checks over a whole history, after the faults have ended.

use crate::histories::{client, operator, world};
use hyssopfork_wire::{claim, number, patch};
use std::collections::BTreeMap;

fn operators(world: &world::World) -> impl Iterator<Item = &operator::Story> {
    world.clients.iter().flat_map(|client| match client {
        client::Client::Operator(operator) => operator.stories.as_slice(),
        _ => &[],
    })
}

/// Patches are linearizable: each is accepted on the number before its own, has one outcome in all
/// responses, is never lost, and no response contradicts one that was received before the request
/// was sent.
pub fn patches(world: &world::World) {
    let newest = world.slots.iter().filter_map(|slot| slot.core.as_ref());
    let newest = newest.max_by_key(|core| core.machine().applied()).expect("instances run");
    let history = newest.machine().history().after(number::Configuration(0));
    let recorded: BTreeMap<_, _> =
        history.iter().map(|record| (record.number, &record.identifier)).collect();
    assert_eq!(recorded.len() as u64, newest.machine().view().configuration.number.0);
    for story in operators(world) {
        let Some((_, first)) = story.told.first() else { continue };
        for (_, told) in &story.told {
            assert_eq!(told, first, "patch {:?} was told two outcomes", story.patch.identifier);
        }
        if let patch::Outcome::Accepted(number) = first {
            assert_eq!(story.patch.base.next(), *number, "a patch follows its base");
            assert_eq!(recorded.get(number), Some(&&story.patch.identifier), "none is lost");
        }
    }
    real_time(world);
}

/// A response that was received before a patch was first sent constrains the patch's outcome.
fn real_time(world: &world::World) {
    let numbers = |story: &operator::Story| match story.told.first() {
        Some((at, patch::Outcome::Accepted(number))) => Some((*at, *number)),
        Some((at, patch::Outcome::Stale { current, .. })) => Some((*at, *current)),
        _ => None,
    };
    let known: Vec<(u64, number::Configuration)> = operators(world).filter_map(numbers).collect();
    for story in operators(world) {
        let Some((_, number)) = numbers(story) else { continue };
        let before = known.iter().filter(|(at, _)| *at < story.first_sent);
        let least = before.map(|(_, number)| *number).max().unwrap_or_default();
        assert!(number >= least, "{:?} is older than known", story.patch.identifier);
    }
}

/// A key is granted to one attempt at a time, to the next only after the last released it, and its
/// outcome never changes.
pub fn claims(world: &world::World) {
    let claimers = || {
        world.clients.iter().filter_map(|client| match client {
            client::Client::Claimer(claimer) => Some(claimer),
            _ => None,
        })
    };
    let told: Vec<_> = claimers().flat_map(|claimer| &claimer.told).collect();
    let ended: Vec<_> = claimers().flat_map(|claimer| &claimer.ended).collect();
    for one in told.iter().filter(|told| told.reply == claim::Reply::Granted) {
        let others = told.iter().filter(|other| {
            other.claim.key == one.claim.key
                && other.claim.attempt != one.claim.attempt
                && other.reply == claim::Reply::Granted
        });
        for other in others {
            let back = |first: &claim::Claim, until: u64| {
                ended.iter().any(|ended| {
                    ended.attempt == first.attempt
                        && ended.outcome == claim::Outcome::NotRun
                        && ended.sent < until
                })
            };
            assert!(
                back(&one.claim, other.at) || back(&other.claim, one.at),
                "{:?} was granted to {} and {}",
                one.claim.key,
                one.claim.attempt,
                other.claim.attempt
            );
        }
    }
    for one in &told {
        let claim::Reply::Done(outcome) = &one.reply else { continue };
        if *outcome == claim::Outcome::NotRun {
            continue;
        }
        let later =
            told.iter().filter(|other| other.claim.key == one.claim.key && other.sent > one.at);
        for other in later {
            assert_eq!(other.reply, one.reply, "{:?} changed its outcome", one.claim.key);
        }
    }
}

/// After the faults all clients are served again: patches are accepted, watchers reach the newest
/// version, and the declared group is placed completely.
pub fn recovery(world: &world::World) {
    let (newest, (_, view)) = world.versions.last_key_value().expect("versions");
    let accepted = operators(world).any(|story| {
        story.first_sent > world::HEALED
            && matches!(story.told.first(), Some((_, patch::Outcome::Accepted(_))))
    });
    assert!(accepted, "a patch is accepted after the faults");
    let placed = view.placements.get(&"g1".into());
    assert!(placed.is_some_and(operator::is_final), "g1 stands: {:?}", view.placements);
    for client in &world.clients {
        if let client::Client::Holder(holder) = client {
            let behind = newest.0 - holder.view.version.0;
            assert!(behind < 200, "{} is {behind} entries behind", holder.instance);
        }
    }
}
