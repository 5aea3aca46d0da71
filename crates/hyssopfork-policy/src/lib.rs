//! Load-management policies as plain state machines, without network, clock or threads.
//!
//! Time (`now`) and random numbers are passed as arguments. Each module handles one load pattern;
//! its documentation gives the failure that it prevents and the reasons for its constants.
//!
//! # In an entry process, for each pool
//!
//! ```
//! use hyssopfork_policy::{choice, queue};
//! use hyssopfork_wire::{attempt, clock, configuration, frame, number};
//! use std::time::Duration;
//!
//! let now = clock::Instant::from_millis(1_000);
//! let mut chooser = choice::Chooser::default();
//! let mut queue = queue::Queue::default();
//!
//! // Whenever the view changes: upstreams, zones, weights.
//! let upstream = choice::Upstream {
//!     instance: "runner-1".into(),
//!     zone: "zone-a".into(),
//!     concurrency: 16,
//! };
//! chooser.insert(now, upstream);
//! chooser.set_zone_evacuated(&"zone-b".into(), true);
//! queue.set_weight(&"team-a".into(), 2);
//!
//! // A request arrives: it is queued, or rejected immediately.
//! let item = queue::Item {
//!     request: 1,
//!     team: "team-a".into(),
//!     class: configuration::Class::Interactive,
//!     cost: 400,
//!     deadline: now + Duration::from_secs(2),
//! };
//! assert_eq!(queue.enqueue(now, item, 17), queue::Admission::Queued);
//!
//! // Right after that, on each tick and after each end: start the requests that there is capacity
//! // for.
//! let batch = queue.dispatch(now, chooser.capacity(now), 18);
//! assert!(batch.expired.is_empty());
//! for item in batch.ready {
//!     let zone = "zone-a".into();
//!     let criteria = choice::Criteria { zone: &zone, prefix: None, excluded: &[] };
//!     let Some(instance) = chooser.pick(now, criteria, 19) else {
//!         queue.requeue(now, item);
//!         break;
//!     };
//!     let attempt = attempt::Identifier { boot: 7, count: 1 };
//!     chooser.on_attempt_sent(now, &instance, attempt, item.cost);
//!
//!     // The response arrives.
//!     let load = frame::Load { version: number::Version(3), running: 1, limit: 16, warm: true };
//!     chooser.on_load_report(now, &instance, load);
//!     chooser.on_response_data(now, attempt);
//!     chooser.on_response_started(now, attempt);
//!     queue.on_response_started(now, item.request);
//!     chooser.on_attempt_ended(now, attempt, choice::Outcome::Completed);
//!     queue.on_request_ended(now, item.request);
//! }
//! ```
//!
//! If [`retry::Budget::try_retry`] allows a retry, the request picks another upstream, with the
//! tried ones excluded; in the queue it stays started until its last attempt ends.
//!
//! ```
//! use hyssopfork_policy::{hedge, retry};
//! use hyssopfork_wire::refusal;
//! use std::time::Duration;
//!
//! let mut budget = retry::Budget::default();
//! budget.on_first_attempt();
//! assert!(budget.try_retry(false, refusal::Ran::NotRun));
//! assert!(!budget.try_retry(false, refusal::Ran::MayHaveRun));
//! assert!(budget.try_retry(true, refusal::Ran::MayHaveRun));
//!
//! let mut hedge = hedge::Hedge::default();
//! hedge.record_start_latency(Duration::from_millis(80));
//! assert!(!hedge.try_hedge(true, Duration::from_millis(90), &mut budget));
//! ```
//!
//! # In an agent
//!
//! ```
//! use hyssopfork_policy::slow_start;
//! use hyssopfork_wire::clock;
//!
//! let now = clock::Instant::from_millis(1_000);
//! let mut slow_start = slow_start::SlowStart::new(now, 16);
//! assert_eq!(slow_start.limit(), slow_start::INITIAL_LIMIT);
//! slow_start.on_incarnation(now, "boot-1");
//! let later = clock::Instant::from_millis(1_200);
//! slow_start.on_request_ended(later, now, 400, slow_start::Outcome::Completed);
//! assert!(!slow_start.is_warm());
//! ```
//!
//! # In control
//!
//! ```
//! use hyssopfork_policy::{placement, weight_loads};
//! use std::collections::BTreeMap;
//!
//! let instance = |name: &str| placement::Instance {
//!     name: name.into(),
//!     zone: "zone-a".into(),
//!     domain: "rack-1".into(),
//!     pool: "engines".into(),
//!     availability: placement::Availability::Available,
//!     loaded_model: None,
//! };
//! let group = placement::Group {
//!     name: "group-1".into(),
//!     pool: "engines".into(),
//!     model: "model-1".into(),
//!     size: 2,
//!     priority: 1,
//! };
//! let fleet = placement::Fleet {
//!     instances: vec![instance("a"), instance("b"), instance("c")],
//!     groups: vec![group],
//!     placements: BTreeMap::new(),
//!     budget: weight_loads::Budget { limit: 4, running: 0 },
//! };
//! let place = placement::Decision::Place {
//!     group: "group-1".into(),
//!     members: vec!["a".into(), "b".into()],
//! };
//! assert_eq!(placement::decide(&fleet), vec![place]);
//! ```

pub mod admission;
pub mod affinity;
pub mod balance;
pub mod choice;
pub mod classes;
pub mod demand;
pub mod ejection;
pub mod evacuation;
pub mod ewma;
pub mod fairness;
pub mod hedge;
pub mod limit;
pub mod placement;
pub mod queue;
pub mod random;
pub mod retry;
pub mod slow_start;
pub mod throughput;
pub mod weight_loads;
