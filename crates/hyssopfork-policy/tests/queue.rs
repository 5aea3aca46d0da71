//! The queue of a pool: who waits, who is refused, and what a refusal says.

use hyssopfork_policy::{admission, classes, queue};
use hyssopfork_wire::{clock, configuration, refusal};
use std::time::Duration;

const COST: u32 = 100;
const PATIENCE: Duration = Duration::from_secs(2);

fn at(millis: u64) -> clock::Instant {
    clock::Instant::from_millis(millis)
}

fn item(now: clock::Instant, request: u64, team: &str) -> queue::Item {
    queue::Item {
        request,
        team: team.into(),
        class: configuration::Class::Interactive,
        cost: COST,
        deadline: now + PATIENCE,
    }
}

fn room(free: u32) -> classes::Capacity {
    classes::Capacity { free, total: 10 }
}

/// A queue of team `a` that was served ten requests a second for two seconds and is never empty;
/// returns it with the time and the number of the next request.
fn busy() -> (queue::Queue, clock::Instant, u64) {
    let mut queue = queue::Queue::default();
    let mut next = 0;
    for step in 0..20 {
        let now = at(step * 100);
        while queue.len() < 5 {
            queue.enqueue(now, item(now, next, "a"), next);
            next += 1;
        }
        for started in queue.dispatch(now, room(1), step).ready {
            queue.on_request_ended(now, started.request);
        }
    }
    (queue, at(2_000), next)
}

fn fill(queue: &mut queue::Queue, now: clock::Instant, first: u64) -> Vec<queue::Admission> {
    (first..first + 40)
        .map(|request| queue.enqueue(now, item(now, request, "a"), request))
        .collect()
}

fn refusals(entered: &[queue::Admission]) -> Vec<refusal::Refusal> {
    let refused = entered.iter().filter_map(|entered| match entered {
        queue::Admission::Rejected(refusal) => Some(*refusal),
        queue::Admission::Queued => None,
    });
    refused.collect()
}

#[test]
fn queue_is_bounded_by_the_time_that_a_request_would_wait() {
    // Ten requests a second are served and a request has two seconds: about fifteen may wait
    // within three quarters of that. The sixteenth caller is told at once.
    let (mut queue, now, next) = busy();

    let entered = fill(&mut queue, now, next);

    let refused = refusals(&entered);
    assert!((12..=18).contains(&queue.len()), "{}", queue.len());
    assert_eq!(refused.len() + queue.len(), entered.len() + 4);
    assert!(refused.iter().all(|it| it.ran == refusal::Ran::NotRun));
}

#[test]
fn another_team_is_let_in_beside_a_full_backlog() {
    let (mut queue, now, next) = busy();
    fill(&mut queue, now, next);

    let entered = queue.enqueue(now, item(now, 10_000, "b"), 1);
    let first = queue.dispatch(now, room(2), 2).ready;

    assert_eq!(entered, queue::Admission::Queued);
    assert!(first.iter().any(|it| it.request == 10_000), "{first:?}");
}

#[test]
fn refusals_spread_their_callers_return() {
    // Callers refused together that all come back together make the next burst.
    let (mut queue, now, next) = busy();

    let entered = fill(&mut queue, now, next);

    let mut after: Vec<_> = refusals(&entered).iter().filter_map(|it| it.retry_after).collect();
    after.sort_unstable();
    after.dedup();
    assert!(after.len() >= 20, "{after:?}");
    assert!(after[0] >= Duration::from_millis(1_000), "{after:?}");
    assert!(after[after.len() - 1] - after[0] >= Duration::from_millis(500), "{after:?}");
}

#[test]
fn expired_requests_are_given_back_at_once() {
    let mut queue = queue::Queue::default();
    queue.enqueue(at(0), item(at(0), 1, "a"), 1);

    let waiting = queue.dispatch(at(1_999), room(0), 2);
    let late = queue.dispatch(at(2_000), room(0), 3);

    assert_eq!(waiting, queue::Batch::default());
    assert_eq!(late.expired.len(), 1);
    assert_eq!(late.expired[0].rejection.reason, refusal::Reason::Deadline);
    assert_eq!(late.expired[0].rejection.ran, refusal::Ran::NotRun);
    assert!(queue.is_empty());
}

#[test]
fn work_that_agents_refuse_does_not_make_the_pool_look_fast() {
    // Agents refuse what an entry's late knowledge had room for, over and over. If each time
    // counted as served, admission would let everybody in, to expire in the queue.
    let (mut queue, now, next) = busy();
    for round in 0..50 {
        let now = now + Duration::from_millis(round);
        for taken in queue.dispatch(now, room(1), round).ready {
            queue.requeue(now, taken);
        }
    }

    let entered = fill(&mut queue, now + Duration::from_millis(50), next);

    assert!(refusals(&entered).len() >= 20, "{}", refusals(&entered).len());
}

#[test]
fn restored_request_is_next_of_its_team_and_expires_as_before() {
    let mut queue = queue::Queue::default();
    queue.enqueue(at(0), item(at(0), 1, "a"), 1);
    queue.enqueue(at(0), item(at(0), 2, "a"), 1);

    let taken = queue.dispatch(at(0), room(1), 1).ready.remove(0);
    queue.requeue(at(10), taken);
    let again = queue.dispatch(at(20), room(1), 1).ready.remove(0);
    queue.requeue(at(30), again);

    assert_eq!(queue.len(), 2);
    assert_eq!(queue.dispatch(at(2_000), room(0), 1).expired.len(), 2);
}

#[test]
fn removed_request_neither_starts_nor_expires() {
    let mut queue = queue::Queue::default();
    queue.enqueue(at(0), item(at(0), 1, "a"), 1);

    let removed = queue.remove(1);
    let batch = queue.dispatch(at(5_000), room(5), 1);

    assert!(removed.is_some());
    assert_eq!(batch, queue::Batch::default());
}

#[test]
fn status_checks_start_first_and_long_work_leaves_room() {
    let mut queue = queue::Queue::default();
    for request in 0..20 {
        let class = configuration::Class::Batch;
        queue.enqueue(at(0), queue::Item { class, ..item(at(0), request, "a") }, 1);
    }
    let class = configuration::Class::Status;
    queue.enqueue(at(0), queue::Item { class, ..item(at(0), 100, "a") }, 1);

    let ready = queue.dispatch(at(0), room(10), 1).ready;

    assert_eq!(ready[0].request, 100);
    let long = ready.iter().filter(|it| it.class == configuration::Class::Batch).count();
    assert!((1..10).contains(&long), "{long}");
}

#[test]
fn weights_share_the_service() {
    let mut queue = queue::Queue::default();
    queue.set_weight(&"a".into(), 3);
    for request in 0..400 {
        queue.enqueue(at(0), item(at(0), request, if request < 200 { "a" } else { "b" }), 1);
    }

    let room = classes::Capacity { free: 100, total: 100 };
    let ready = queue.dispatch(at(0), room, 1).ready;

    let a = ready.iter().filter(|it| it.team == "a".into()).count();
    assert!((70..=80).contains(&a), "{a} of {}", ready.len());
}

#[test]
fn retry_after_is_bounded() {
    let none = admission::retry_after(None, u64::MAX);
    let day = admission::retry_after(Some(Duration::from_secs(86_400)), u64::MAX);

    assert!(none >= admission::MIN_RETRY_AFTER);
    assert_eq!(day, admission::MAX_RETRY_AFTER);
}
