//! Claims on non-repeatable work.

use crate::fixture;
use hyssopfork_state::claims;
use hyssopfork_wire::{claim, frame};
use std::time::Duration;

fn answer(size: usize) -> claim::Outcome {
    let head = frame::Head { status: 200, headers: Vec::new() };
    claim::Outcome::Answered { head, body: vec![7; size] }
}

fn age(claims: &mut claims::Claims, time: Duration) {
    for _ in 0..=time.as_secs() / claims::AGING_INTERVAL.as_secs() {
        claims.age_by(claims::AGING_INTERVAL);
    }
}

#[test]
fn one_attempt_is_granted_and_its_resend_too() {
    let mut claims = claims::Claims::default();

    let first = claims.claim(&fixture::claim("k", 1, 1));
    let other = claims.claim(&fixture::claim("k", 1, 2));
    let resent = claims.claim(&fixture::claim("k", 1, 1));
    let changed = claims.claim(&fixture::claim("k", 2, 1));

    assert_eq!(first, claim::Reply::Granted);
    assert_eq!(other, claim::Reply::InProgress);
    assert_eq!(resent, claim::Reply::Granted);
    assert_eq!(changed, claim::Reply::DigestDiffers);
}

#[test]
fn a_recorded_outcome_is_returned_and_never_changes() {
    let mut claims = claims::Claims::default();
    claims.claim(&fixture::claim("k", 1, 1));

    let stranger = claims.record(&fixture::key("k"), fixture::identifier(2), &answer(1));
    let holder = claims.record(&fixture::key("k"), fixture::identifier(1), &answer(3));
    let late = claims.record(&fixture::key("k"), fixture::identifier(1), &claim::Outcome::NotRun);

    assert_eq!((stranger, holder, late), (false, true, false));
    assert_eq!(claims.claim(&fixture::claim("k", 1, 2)), claim::Reply::Done(answer(3)));
}

// A claim is resent by the network after its entry released the key with NotRun. If it were
// granted, the key would be held by an attempt that nobody will run, and a client that retries
// would be told "in progress" until the claim's timeout.
#[test]
fn a_released_key_is_free_for_others_but_not_for_the_attempt_that_released_it() {
    let mut claims = claims::Claims::default();
    claims.claim(&fixture::claim("k", 1, 1));
    claims.record(&fixture::key("k"), fixture::identifier(1), &claim::Outcome::NotRun);

    let late = claims.claim(&fixture::claim("k", 1, 1));
    let next = claims.claim(&fixture::claim("k", 2, 2));

    assert_eq!(late, claim::Reply::Done(claim::Outcome::NotRun));
    assert_eq!(next, claim::Reply::Granted);
}

// The holder of a claim crashed after it may have sent the work, so no outcome is recorded. After
// the timeout the client is told that the work may have run, and the key is never released.
#[test]
fn a_claim_without_an_outcome_becomes_unknown_and_is_never_released() {
    let mut claims = claims::Claims::default();
    claims.claim(&fixture::claim("k", 1, 1));

    age(&mut claims, claims::IN_PROGRESS_TIMEOUT - claims::AGING_INTERVAL);
    let before = claims.claim(&fixture::claim("k", 1, 2));
    age(&mut claims, claims::AGING_INTERVAL);
    let after = claims.claim(&fixture::claim("k", 1, 2));
    let late = claims.record(&fixture::key("k"), fixture::identifier(1), &claim::Outcome::NotRun);

    assert_eq!(before, claim::Reply::InProgress);
    assert_eq!(after, claim::Reply::Done(claim::Outcome::Unknown));
    assert!(!late);
}

#[test]
fn a_key_claimed_again_has_its_own_timeout() {
    let mut claims = claims::Claims::default();
    claims.claim(&fixture::claim("k", 1, 1));
    age(&mut claims, claims::IN_PROGRESS_TIMEOUT / 2);
    claims.record(&fixture::key("k"), fixture::identifier(1), &claim::Outcome::NotRun);
    claims.claim(&fixture::claim("k", 1, 2));

    age(&mut claims, claims::IN_PROGRESS_TIMEOUT / 2 + claims::AGING_INTERVAL * 2);

    assert_eq!(claims.claim(&fixture::claim("k", 1, 3)), claim::Reply::InProgress);
}

// Memory is full. If the oldest outcome were evicted, the same work would run a second time when
// its client retries, so new claims are rejected until outcomes are past their retention.
#[test]
fn full_memory_rejects_new_claims_and_retains_every_outcome() {
    let mut claims = claims::Claims::default();
    for count in 0..claims::MAX_CLAIMS as u64 {
        let text = format!("k{count}");
        assert_eq!(claims.claim(&fixture::claim(&text, 1, count)), claim::Reply::Granted);
        claims.record(&fixture::key(&text), fixture::identifier(count), &claim::Outcome::Unknown);
    }

    let full = claims.claim(&fixture::claim("new", 1, 1));
    let kept = claims.claim(&fixture::claim("k0", 1, 1_000_000));
    age(&mut claims, claims::OUTCOME_RETENTION + claims::AGING_INTERVAL);
    let later = claims.claim(&fixture::claim("new", 1, 1));

    assert_eq!(full, claim::Reply::Full);
    assert_eq!(kept, claim::Reply::Done(claim::Outcome::Unknown));
    assert_eq!(later, claim::Reply::Granted);
}

#[test]
fn claims_in_progress_are_never_evicted_and_their_answers_always_fit() {
    let mut claims = claims::Claims::default();
    let mut granted = 0;
    while claims.claim(&fixture::claim(&format!("k{granted}"), 1, granted)) == claim::Reply::Granted
    {
        granted += 1;
    }

    for count in 0..granted {
        let key = fixture::key(&format!("k{count}"));
        claims.record(&key, fixture::identifier(count), &answer(claim::MAX_BODY_BYTES));
    }

    assert!(granted > 400, "{granted} at once");
    assert!(claims.bytes() <= claims::MAX_BYTES);
    for count in 0..granted {
        let reply = claims.claim(&fixture::claim(&format!("k{count}"), 1, 1_000_000));
        assert_eq!(reply, claim::Reply::Done(answer(claim::MAX_BODY_BYTES)));
    }
}

#[test]
fn an_answer_over_the_limit_is_recorded_without_its_body() {
    let mut claims = claims::Claims::default();
    claims.claim(&fixture::claim("k", 1, 1));

    claims.record(&fixture::key("k"), fixture::identifier(1), &answer(claim::MAX_BODY_BYTES + 1));

    assert_eq!(claims.claim(&fixture::claim("k", 1, 2)), claim::Reply::Done(answer(0)));
}
