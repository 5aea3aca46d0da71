//! Checks over a whole history, after the faults have ended.

use crate::histories::{client, operator, world};
use hyssopfork_wire::{claim, number, patch};
use std::collections::BTreeMap;

fn submissions(world: &world::World) -> impl Iterator<Item = &operator::Submission> {
    world.clients.iter().flat_map(|client| match client {
        client::Client::Operator(operator) => operator.submissions.as_slice(),
        _ => &[],
    })
}

/// Patches are linearizable: each is accepted on the number before its own, has one outcome in all
/// responses, is never lost, and no response contradicts one that was received before the request
/// was sent.
pub fn patches(world: &world::World) {
    let newest = world.slots.iter().filter_map(|slot| slot.core.as_ref());
    let newest = newest.max_by_key(|core| core.machine().applied()).expect("instances run");
    let history = newest.machine().history().records_after(number::Configuration(0));
    let recorded: BTreeMap<_, _> =
        history.iter().map(|record| (record.number, &record.identifier)).collect();
    assert_eq!(recorded.len() as u64, newest.machine().view().configuration.number.0);
    for submission in submissions(world) {
        let Some((_, first)) = submission.responses.first() else { continue };
        for (_, outcome) in &submission.responses {
            assert_eq!(outcome, first, "patch {:?} got two outcomes", submission.patch.identifier);
        }
        if let patch::Outcome::Accepted(number) = first {
            assert_eq!(submission.patch.base.next(), *number, "a patch follows its base");
            assert_eq!(recorded.get(number), Some(&&submission.patch.identifier), "none is lost");
        }
    }
    real_time_order(world);
}

/// A response that was received before a patch was first sent constrains the patch's outcome.
fn real_time_order(world: &world::World) {
    let numbers = |submission: &operator::Submission| match submission.responses.first() {
        Some((at, patch::Outcome::Accepted(number))) => Some((*at, *number)),
        Some((at, patch::Outcome::Stale { current, .. })) => Some((*at, *current)),
        _ => None,
    };
    let known: Vec<(u64, number::Configuration)> = submissions(world).filter_map(numbers).collect();
    for submission in submissions(world) {
        let Some((_, number)) = numbers(submission) else { continue };
        let before = known.iter().filter(|(at, _)| *at < submission.first_sent_at);
        let least = before.map(|(_, number)| *number).max().unwrap_or_default();
        assert!(
            number >= least,
            "{:?} is older than a number known before",
            submission.patch.identifier
        );
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
    let responses: Vec<_> = claimers().flat_map(|claimer| &claimer.responses).collect();
    let records: Vec<_> = claimers().flat_map(|claimer| &claimer.records).collect();
    for one in responses.iter().filter(|response| response.reply == claim::Reply::Granted) {
        let others = responses.iter().filter(|other| {
            other.claim.key == one.claim.key
                && other.claim.attempt != one.claim.attempt
                && other.reply == claim::Reply::Granted
        });
        for other in others {
            let released = |first: &claim::Claim, until: u64| {
                records.iter().any(|record| {
                    record.attempt == first.attempt
                        && record.outcome == claim::Outcome::NotRun
                        && record.sent_at < until
                })
            };
            assert!(
                released(&one.claim, other.received_at) || released(&other.claim, one.received_at),
                "{:?} was granted to {} and {}",
                one.claim.key,
                one.claim.attempt,
                other.claim.attempt
            );
        }
    }
    for one in &responses {
        let claim::Reply::Done(outcome) = &one.reply else { continue };
        if *outcome == claim::Outcome::NotRun {
            continue;
        }
        let later = responses
            .iter()
            .filter(|other| other.claim.key == one.claim.key && other.sent_at > one.received_at);
        for other in later {
            assert_eq!(other.reply, one.reply, "{:?} changed its outcome", one.claim.key);
        }
    }
}

/// After the faults all clients are served again: patches are accepted, watchers reach the newest
/// version, and the declared group is placed completely.
pub fn recovery(world: &world::World) {
    let (newest, (_, view)) = world.versions.last_key_value().expect("versions");
    let accepted = submissions(world).any(|submission| {
        submission.first_sent_at > world::FAULTS_END
            && matches!(submission.responses.first(), Some((_, patch::Outcome::Accepted(_))))
    });
    assert!(accepted, "a patch is accepted after the faults");
    let placed = view.placements.get(&"g1".into());
    assert!(placed.is_some_and(operator::is_final), "g1 is placed: {:?}", view.placements);
    for client in &world.clients {
        if let client::Client::Holder(holder) = client {
            let behind = newest.0 - holder.view.version.0;
            assert!(behind < 200, "{} is {behind} entries behind", holder.instance);
        }
    }
}
