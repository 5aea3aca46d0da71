//! Order and bounds of the queue.

use crate::fixture::at;
use hyssopfork_gateway::scheduler::{self, Admission, Item, Queue};
use hyssopfork_wire::name;
use std::time::Duration;

fn item(team: &str, rank: u32, queued_at: u64, send_by: u64) -> Item {
    Item {
        kind: (name::Pool::from("engines"), Some(name::Model::from("large"))),
        rank,
        team: Some(name::Team::from(team)),
        work: 0.1,
        bytes: 100,
        queued_at: at(queued_at),
        send_by: at(send_by),
    }
}

fn queue_of(items: impl IntoIterator<Item = Item>) -> Queue {
    let mut queue = Queue::default();
    for (number, item) in (1..).zip(items) {
        assert_eq!(queue.push(number, item), Admission::Queued);
    }
    queue
}

fn order(queue: &Queue) -> Vec<u64> {
    queue.order(at(10), &item("a", 0, 0, 0).kind)
}

#[test]
fn urgent_ranks_come_first_and_then_the_requests_with_the_least_time() {
    let queue = queue_of([item("a", 2, 0, 100), item("a", 1, 0, 300), item("a", 1, 0, 200)]);

    assert_eq!(order(&queue), [3, 2, 1]);
}

/// One team sends ten times the requests of two others, and has used more than them.
///
/// Guards against places in proportion to what a team sends.
#[test]
fn teams_take_turns_by_the_work_that_they_have_used() {
    let hot = (0..10).map(|_| item("hot", 1, 0, 100));
    let mut queue = queue_of(hot.chain([item("a", 1, 5, 200), item("b", 1, 5, 200)]));
    let account = (item("hot", 1, 0, 0).kind, Some(name::Team::from("hot")));
    queue.on_sent(at(0), 99, account, 0.05);

    let order = order(&queue);

    assert_eq!(order[..4], [11, 12, 1, 2]);
}

/// A team's requests run ten times as long as those of another.
///
/// Guards against turns by the number of requests, in which short ones get a tenth of the capacity.
#[test]
fn the_work_of_long_requests_counts_when_they_have_ended() {
    let mut queue = queue_of([item("long", 1, 0, 100), item("short", 1, 0, 200)]);
    for (number, team, work) in [(98, "long", 1.0), (99, "short", 0.1)] {
        let account = (item(team, 1, 0, 0).kind, Some(name::Team::from(team)));
        queue.on_sent(at(0), number, account, 0.1);
        queue.on_ended(at(5), number, work);
    }

    assert_eq!(order(&queue), [2, 1]);
}

/// More urgent requests wait all the time.
///
/// Guards against a request of the last rank that never gets a place.
#[test]
fn one_place_in_ten_goes_to_the_oldest_request() {
    let urgent = (0..30).map(|_| item("a", 0, 5, 100));
    let mut queue = queue_of([item("b", 9, 0, 200)].into_iter().chain(urgent));
    let kind = item("a", 0, 0, 0).kind;

    let place = (1..).find(|_| {
        let next = queue.next(at(10), &kind).expect("requests are queued");
        queue.release(next.number);
        next.is_oldest && next.number == 1
    });

    assert_eq!(place, Some(scheduler::STARVATION_INTERVAL));
}

#[test]
fn a_request_that_can_no_longer_be_on_time_gets_no_place() {
    let queue = queue_of([item("a", 1, 0, 9), item("a", 1, 0, 10)]);

    assert_eq!(order(&queue), [2]);
}

/// Guards against an unbounded queue, and one that a single team or rank fills.
#[test]
fn a_full_queue_admits_only_requests_that_precede_others() {
    let count = scheduler::MAX_QUEUED_REQUESTS as u64;
    let mut queue = queue_of((0..count).map(|_| item("hot", 5, 0, 100)));

    assert_eq!(queue.push(100, item("hot", 5, 0, 100)), Admission::Full);
    assert_eq!(queue.push(101, item("a", 6, 0, 100)), Admission::Full);
    assert!(matches!(queue.push(102, item("a", 5, 0, 100)), Admission::Displaced(64, _)));
    assert!(matches!(queue.push(103, item("hot", 4, 0, 100)), Admission::Displaced(63, _)));
    assert_eq!(queue.len(), scheduler::MAX_QUEUED_REQUESTS);
}

/// Guards against bodies that exceed the memory of the process.
#[test]
fn the_bodies_of_queued_requests_are_bounded() {
    let large = |rank| Item { bytes: scheduler::MAX_QUEUED_BYTES - 50, ..item("a", rank, 0, 100) };
    let mut queue = queue_of([item("a", 5, 0, 100)]);

    assert_eq!(queue.push(2, large(5)), Admission::Full);
    assert!(matches!(queue.push(3, large(4)), Admission::Displaced(1, _)));
    assert_eq!(queue.push(4, item("a", 4, 0, 100)), Admission::Full);

    let mut queue = queue_of([large(4), Item { bytes: 10, ..item("a", 5, 0, 100) }]);
    assert_eq!(queue.push(3, large(3)), Admission::Full, "the less urgent request is too small");
    assert_eq!(queue.len(), 2);
}

/// Sixteen entries share groups that complete 32 requests per second.
///
/// Guards against a prediction for one entry alone, by which all of them would queue 16 times as
/// many requests as can be served.
#[test]
fn the_prediction_counts_the_queues_of_other_entries() {
    let capacity = |throughput| scheduler::Capacity { throughput, entries: 16 };

    assert_eq!(capacity(32.0).time_for(2), Duration::from_secs(1));
    assert_eq!(capacity(0.0).time_for(1), Duration::MAX);
}
