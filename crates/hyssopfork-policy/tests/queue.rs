//! The queue of a pool: which requests wait, which are rejected, and what a rejection says.

use hyssopfork_policy::{admission, classes, queue};
use hyssopfork_wire::{clock, configuration, refusal};
use std::time::Duration;

const COST: u32 = 100;
const START_TIMEOUT: Duration = Duration::from_secs(2);

fn at(millis: u64) -> clock::Instant {
    clock::Instant::from_millis(millis)
}

fn item(now: clock::Instant, request: u64, team: &str) -> queue::Item {
    queue::Item {
        request,
        team: team.into(),
        class: configuration::Class::Interactive,
        cost: COST,
        deadline: now + START_TIMEOUT,
    }
}

fn capacity(free: u32) -> classes::Capacity {
    classes::Capacity { free, total: 10 }
}

/// A queue of team `a` that was served ten requests per second for two seconds and is never empty;
/// returns it with the time and the number of the next request.
fn busy_queue() -> (queue::Queue, clock::Instant, u64) {
    let mut queue = queue::Queue::default();
    let mut next = 0;
    for step in 0..20 {
        let now = at(step * 100);
        while queue.len() < 5 {
            queue.enqueue(now, item(now, next, "a"), next);
            next += 1;
        }
        for started in queue.dispatch(now, capacity(1), step).ready {
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

fn rejections(admissions: &[queue::Admission]) -> Vec<refusal::Refusal> {
    let rejected = admissions.iter().filter_map(|admission| match admission {
        queue::Admission::Rejected(rejection) => Some(*rejection),
        queue::Admission::Queued => None,
    });
    rejected.collect()
}

#[test]
fn queue_is_bounded_by_estimated_wait() {
    // Ten requests per second are served and a request has two seconds: about fifteen may wait
    // within three quarters of that. The sixteenth is rejected immediately.
    let (mut queue, now, next) = busy_queue();

    let admissions = fill(&mut queue, now, next);

    let rejected = rejections(&admissions);
    assert!((12..=18).contains(&queue.len()), "{}", queue.len());
    assert_eq!(rejected.len() + queue.len(), admissions.len() + 4);
    assert!(rejected.iter().all(|it| it.ran == refusal::Ran::NotRun));
}

#[test]
fn other_team_is_admitted_beside_a_full_backlog() {
    let (mut queue, now, next) = busy_queue();
    fill(&mut queue, now, next);

    let admission = queue.enqueue(now, item(now, 10_000, "b"), 1);
    let first = queue.dispatch(now, capacity(2), 2).ready;

    assert_eq!(admission, queue::Admission::Queued);
    assert!(first.iter().any(|it| it.request == 10_000), "{first:?}");
}

#[test]
fn retry_after_times_are_spread() {
    // Clients that are rejected together and all return together would form the next burst.
    let (mut queue, now, next) = busy_queue();

    let admissions = fill(&mut queue, now, next);

    let mut after: Vec<_> =
        rejections(&admissions).iter().filter_map(|it| it.retry_after).collect();
    after.sort_unstable();
    after.dedup();
    assert!(after.len() >= 20, "{after:?}");
    assert!(after[0] >= Duration::from_millis(1_000), "{after:?}");
    assert!(after[after.len() - 1] - after[0] >= Duration::from_millis(500), "{after:?}");
}

#[test]
fn expired_requests_are_returned_at_their_deadline() {
    let mut queue = queue::Queue::default();
    queue.enqueue(at(0), item(at(0), 1, "a"), 1);

    let waiting = queue.dispatch(at(1_999), capacity(0), 2);
    let late = queue.dispatch(at(2_000), capacity(0), 3);

    assert_eq!(waiting, queue::Batch::default());
    assert_eq!(late.expired.len(), 1);
    assert_eq!(late.expired[0].rejection.reason, refusal::Reason::Deadline);
    assert_eq!(late.expired[0].rejection.ran, refusal::Ran::NotRun);
    assert!(queue.is_empty());
}

#[test]
fn attempts_rejected_by_agents_do_not_count_as_throughput() {
    // Agents repeatedly reject requests for which an entry process saw free slots in a stale
    // report. If each attempt counted as served, admission control would accept every request, and
    // they would expire in the queue.
    let (mut queue, now, next) = busy_queue();
    for round in 0..50 {
        let now = now + Duration::from_millis(round);
        for dispatched in queue.dispatch(now, capacity(1), round).ready {
            queue.requeue(now, dispatched);
        }
    }

    let admissions = fill(&mut queue, now + Duration::from_millis(50), next);

    assert!(rejections(&admissions).len() >= 20, "{}", rejections(&admissions).len());
}

#[test]
fn requeued_request_is_next_of_its_team_and_expires_as_before() {
    let mut queue = queue::Queue::default();
    queue.enqueue(at(0), item(at(0), 1, "a"), 1);
    queue.enqueue(at(0), item(at(0), 2, "a"), 1);

    let dispatched = queue.dispatch(at(0), capacity(1), 1).ready.remove(0);
    queue.requeue(at(10), dispatched);
    let dispatched_again = queue.dispatch(at(20), capacity(1), 1).ready.remove(0);
    queue.requeue(at(30), dispatched_again);

    assert_eq!(queue.len(), 2);
    assert_eq!(queue.dispatch(at(2_000), capacity(0), 1).expired.len(), 2);
}

#[test]
fn removed_request_neither_starts_nor_expires() {
    let mut queue = queue::Queue::default();
    queue.enqueue(at(0), item(at(0), 1, "a"), 1);

    let removed = queue.remove(1);
    let batch = queue.dispatch(at(5_000), capacity(5), 1);

    assert!(removed.is_some());
    assert_eq!(batch, queue::Batch::default());
}

#[test]
fn status_checks_start_first_and_long_jobs_leave_slots() {
    let mut queue = queue::Queue::default();
    for request in 0..20 {
        let class = configuration::Class::Batch;
        queue.enqueue(at(0), queue::Item { class, ..item(at(0), request, "a") }, 1);
    }
    let class = configuration::Class::Status;
    queue.enqueue(at(0), queue::Item { class, ..item(at(0), 100, "a") }, 1);

    let ready = queue.dispatch(at(0), capacity(10), 1).ready;

    assert_eq!(ready[0].request, 100);
    let long = ready.iter().filter(|it| it.class == configuration::Class::Batch).count();
    assert!((1..10).contains(&long), "{long}");
}

#[test]
fn service_is_shared_by_weight() {
    let mut queue = queue::Queue::default();
    queue.set_weight(&"a".into(), 3);
    for request in 0..400 {
        queue.enqueue(at(0), item(at(0), request, if request < 200 { "a" } else { "b" }), 1);
    }

    let capacity = classes::Capacity { free: 100, total: 100 };
    let ready = queue.dispatch(at(0), capacity, 1).ready;

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
