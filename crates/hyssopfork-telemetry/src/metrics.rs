//! Metrics of one process, in the Prometheus text format.

use crate::label;
use hyssopfork_wire::{configuration, name, number, refusal};
use prometheus_client::encoding::text;
use prometheus_client::metrics::{counter, family, gauge, histogram};
use prometheus_client::registry;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

type Histograms =
    family::Family<label::Request, histogram::Histogram, fn() -> histogram::Histogram>;
type RankHistograms =
    family::Family<label::Rank, histogram::Histogram, fn() -> histogram::Histogram>;
type Counters<L> = family::Family<L, counter::Counter>;
type Gauges = family::Family<label::Pool, gauge::Gauge>;
type SecondsGauge = gauge::Gauge<f64, AtomicU64>;

/// Upper bound of the first histogram bucket, in seconds.
const MIN_BUCKET_SECONDS: f64 = 0.000_5;
/// Ratio of successive bucket bounds; limits the error of a quantile computed from the histogram.
const BUCKET_FACTOR: f64 = 1.6;
/// Number of buckets; the last bound is about 96 s, longer than any deadline in use.
const BUCKET_COUNT: u16 = 27;

/// Upper bound of the first bucket of a ratio of two times.
const MIN_BUCKET_RATIO: f64 = 0.1;
/// Ratio of successive bucket bounds of a ratio of two times.
const RATIO_BUCKET_FACTOR: f64 = 1.25;
/// Number of buckets of a ratio of two times; the last bound is about 22.
const RATIO_BUCKET_COUNT: u16 = 25;
/// Highest rank that has a time series of its own.
const MAX_RANK: u32 = 9;

/// All metrics of a process.
///
/// The methods may be called from any thread: a time series is created on first use under an
/// exclusive lock, and updated with atomic operations under a shared lock afterwards.
pub struct Registry {
    registry: registry::Registry,
    wait_time: Histograms,
    queue_time: RankHistograms,
    time_to_first_token: Histograms,
    inter_token_latency: Histograms,
    total_time: Histograms,
    prediction_ratio: Histograms,
    responses: Counters<label::Request>,
    rejections: Counters<label::Rejection>,
    retries: Counters<label::Request>,
    aborted_responses: Counters<label::Request>,
    queued: gauge::Gauge,
    in_flight: gauge::Gauge,
    lease_remaining: SecondsGauge,
    configuration_number: gauge::Gauge,
    view_version: gauge::Gauge,
    consensus_term: gauge::Gauge,
    commit_index: gauge::Gauge,
    is_leader: gauge::Gauge,
    knows_fleet: gauge::Gauge,
    replicated_bytes: counter::Counter,
    published_bytes: counter::Counter,
    update_bytes: counter::Counter,
    shared_load_sent: counter::Counter,
    shared_load_received: counter::Counter,
    shared_load_drops: counter::Counter,
    shared_load_age: histogram::Histogram,
    stalled_clients: counter::Counter,
    stalled_upstreams: counter::Counter,
    memory_rejections: counter::Counter,
    held_bytes: gauge::Gauge,
    budget_requests: Gauges,
    budget_retries: Gauges,
    budget_limit: Gauges,
    granted_retries: Gauges,
    denied_retries: Gauges,
    limit_entries: gauge::Gauge,
}

/// Use of the retry budget of a pool.
#[derive(Clone, Copy, Debug)]
pub struct RetryUsage {
    /// First attempts within the window.
    pub requests: u32,
    /// Retries within the window.
    pub retries: u32,
    /// Most retries within the window.
    pub limit: f64,
    /// Retries granted since the process started.
    pub granted: u64,
    /// Retries denied since the process started.
    pub denied: u64,
}

impl Default for Registry {
    fn default() -> Self {
        Registry::new()
    }
}

impl Registry {
    /// Creates and registers all metrics.
    pub fn new() -> Self {
        let mut registry = registry::Registry::with_prefix("hyssopfork");
        let metrics = &mut registry;
        Registry {
            wait_time: register_histograms(
                metrics,
                "wait_seconds",
                "Time from arrival until the work was sent",
            ),
            queue_time: register_rank_histograms(
                metrics,
                "queue_seconds",
                "Time in the queue for a place, by rank",
            ),
            time_to_first_token: register_histograms(
                metrics,
                "first_token_seconds",
                "Time from arrival to the first part",
            ),
            inter_token_latency: register_histograms(
                metrics,
                "between_tokens_seconds",
                "Time between parts",
            ),
            total_time: register_histograms(
                metrics,
                "whole_seconds",
                "Time from arrival to the whole answer",
            ),
            prediction_ratio: register_ratios(
                metrics,
                "first_token_prediction_ratio",
                "Time from sending to the first part, in multiples of the predicted time",
            ),
            responses: register_counters(metrics, "answers", "Requests answered whole"),
            rejections: register_counters(
                metrics,
                "refusals",
                "Requests refused, by reason and whether work ran",
            ),
            retries: register_counters(metrics, "retries", "Attempts after the first"),
            aborted_responses: register_counters(
                metrics,
                "cut_answers",
                "Answers that ended with an error mark",
            ),
            queued: register_gauge(metrics, "queued", "Requests that wait"),
            in_flight: register_gauge(metrics, "in_flight", "Requests being answered"),
            lease_remaining: register_seconds_gauge(
                metrics,
                "lease_left_seconds",
                "Time until the lease lapses; 0 without one",
            ),
            configuration_number: register_gauge(
                metrics,
                "configuration_number",
                "Configuration number in force",
            ),
            view_version: register_gauge(metrics, "view_version", "Version of the view in force"),
            consensus_term: register_gauge(metrics, "consensus_term", "Term of the replicated log"),
            commit_index: register_gauge(
                metrics,
                "consensus_committed",
                "Committed index of the replicated log",
            ),
            is_leader: register_gauge(metrics, "consensus_leads", "1 while this instance leads"),
            knows_fleet: register_gauge(
                metrics,
                "leader_knows_fleet",
                "1 while this instance leads and is no longer learning the fleet",
            ),
            replicated_bytes: register_counter(
                metrics,
                "consensus_sent_bytes",
                "Bytes of entries and snapshots sent to other voters, repeats included",
            ),
            published_bytes: register_counter(
                metrics,
                "published_document_bytes",
                "Bytes of declarations sent to followers, repeats included",
            ),
            update_bytes: register_counter(
                metrics,
                "published_update_bytes",
                "Bytes of updates of the view sent to followers, without declarations",
            ),
            shared_load_sent: register_counter(
                metrics,
                "shared_load_sent",
                "Messages with counts of requests sent to other entries",
            ),
            shared_load_received: register_counter(
                metrics,
                "shared_load_received",
                "Messages with counts of requests received, dropped ones included",
            ),
            shared_load_drops: register_counter(
                metrics,
                "shared_load_dropped",
                "Messages with counts of requests that were not sent, or not used when received",
            ),
            shared_load_age: register_histogram(
                metrics,
                "shared_load_age_seconds",
                "Age of the total that a request was sent by",
            ),
            stalled_clients: register_counter(
                metrics,
                "stalled_clients",
                "Clients that were disconnected because they stopped reading",
            ),
            stalled_upstreams: register_counter(
                metrics,
                "stalled_upstreams",
                "Attempts that failed because the upstream stopped reading the request's body",
            ),
            memory_rejections: register_counter(
                metrics,
                "memory_refusals",
                "Requests rejected because the process holds too many bytes for others",
            ),
            held_bytes: register_gauge(
                metrics,
                "held_bytes",
                "Bytes counted against the memory budget for clients and upstreams",
            ),
            budget_requests: register_gauges(
                metrics,
                "retry_budget_requests",
                "First attempts within the window of the retry budget",
            ),
            budget_retries: register_gauges(
                metrics,
                "retry_budget_retries",
                "Retries within the window of the retry budget",
            ),
            budget_limit: register_gauges(
                metrics,
                "retry_budget_limit",
                "Most retries of this process within the window of the retry budget, rounded down",
            ),
            granted_retries: register_gauges(
                metrics,
                "retries_granted",
                "Retries that the budget has granted since the process started",
            ),
            denied_retries: register_gauges(
                metrics,
                "retries_denied",
                "Retries that the budget has denied since the process started",
            ),
            limit_entries: register_gauge(
                metrics,
                "limit_entries",
                "Entries that limits of the fleet are divided among",
            ),
            registry,
        }
    }

    /// Records the time from arrival of a request until it was sent to an upstream.
    pub fn observe_wait(&self, team: &name::Team, class: configuration::Class, time: Duration) {
        observe(&self.wait_time, team, class, time);
    }

    /// Records the time that a request of this rank waited for a place, whether it got one or not.
    pub fn observe_queue_time(&self, rank: u32, time: Duration) {
        let labels = label::Rank { rank: rank.min(MAX_RANK) };
        self.queue_time.get_or_create(&labels).observe(time.as_secs_f64());
    }

    /// Records the time from arrival of a request to the first part of its response.
    pub fn observe_first_token(
        &self,
        team: &name::Team,
        class: configuration::Class,
        time: Duration,
    ) {
        observe(&self.time_to_first_token, team, class, time);
    }

    /// Records the observed time to the first part of a response in multiples of the predicted one.
    pub fn observe_prediction_ratio(
        &self,
        team: &name::Team,
        class: configuration::Class,
        ratio: f64,
    ) {
        self.prediction_ratio.get_or_create(&request_labels(team, class)).observe(ratio);
    }

    /// Records the time between two parts of a response.
    pub fn observe_token_interval(
        &self,
        team: &name::Team,
        class: configuration::Class,
        time: Duration,
    ) {
        observe(&self.inter_token_latency, team, class, time);
    }

    /// Counts a completed request and records the time from arrival to the end of its response.
    pub fn observe_response(&self, team: &name::Team, class: configuration::Class, time: Duration) {
        observe(&self.total_time, team, class, time);
        self.responses.get_or_create(&request_labels(team, class)).inc();
    }

    /// Counts a rejected request.
    pub fn count_rejection(&self, team: Option<&name::Team>, refusal: &refusal::Refusal) {
        let labels =
            label::Rejection { team: team.cloned(), reason: refusal.reason, ran: refusal.ran };
        self.rejections.get_or_create(&labels).inc();
    }

    /// Counts a retry.
    pub fn count_retry(&self, team: &name::Team, class: configuration::Class) {
        self.retries.get_or_create(&request_labels(team, class)).inc();
    }

    /// Counts a response that was aborted after the client had received a part of it.
    pub fn count_aborted_response(&self, team: &name::Team, class: configuration::Class) {
        self.aborted_responses.get_or_create(&request_labels(team, class)).inc();
    }

    /// Sets the number of queued requests and of requests in flight.
    pub fn set_request_counts(&self, queued: usize, in_flight: usize) {
        self.queued.set(queued as i64);
        self.in_flight.set(in_flight as i64);
    }

    /// Sets the time until the lease on the view expires.
    pub fn set_lease_remaining(&self, remaining: Duration) {
        self.lease_remaining.set(remaining.as_secs_f64());
    }

    /// Sets the configuration number and view version in force.
    pub fn set_versions(&self, configuration: number::Configuration, version: number::Version) {
        self.configuration_number.set(configuration.0 as i64);
        self.view_version.set(version.0 as i64);
    }

    /// Sets the state of the replicated log.
    pub fn set_consensus(&self, term: number::Term, commit_index: number::Index, is_leader: bool) {
        self.consensus_term.set(term.0 as i64);
        self.commit_index.set(commit_index.0 as i64);
        self.is_leader.set(i64::from(is_leader));
    }

    /// Sets whether this instance leads and knows the fleet.
    pub fn set_knows_fleet(&self, knows_fleet: bool) {
        self.knows_fleet.set(i64::from(knows_fleet));
    }

    /// Adds bytes of log entries or of a snapshot that were sent to another voter.
    pub fn add_replicated_bytes(&self, bytes: usize) {
        self.replicated_bytes.inc_by(bytes as u64);
    }

    /// Adds bytes of a declaration, or of a part of it, that were sent to a follower.
    pub fn add_published_bytes(&self, bytes: usize) {
        self.published_bytes.inc_by(bytes as u64);
    }

    /// Adds bytes of an update of the view that were sent to a follower.
    pub fn add_update_bytes(&self, bytes: usize) {
        self.update_bytes.inc_by(bytes as u64);
    }

    /// Counts a message with counts of requests that was sent to another entry.
    pub fn count_shared_load_sent(&self) {
        self.shared_load_sent.inc();
    }

    /// Counts a received message with counts of requests.
    pub fn count_shared_load_received(&self) {
        self.shared_load_received.inc();
    }

    /// Counts a message with counts of requests that was dropped.
    pub fn count_shared_load_drop(&self) {
        self.shared_load_drops.inc();
    }

    /// Records the age of the total of the other entries' requests that a request was sent by.
    pub fn observe_shared_load_age(&self, age: Duration) {
        self.shared_load_age.observe(age.as_secs_f64());
    }

    /// Counts a client that was disconnected because it stopped reading.
    pub fn count_stalled_client(&self) {
        self.stalled_clients.inc();
    }

    /// Counts an attempt that failed because the upstream stopped reading the request's body.
    pub fn count_stalled_upstream(&self) {
        self.stalled_upstreams.inc();
    }

    /// Counts a request that was rejected for lack of memory.
    pub fn count_memory_rejection(&self) {
        self.memory_rejections.inc();
    }

    /// Sets the use of the retry budget of a pool.
    pub fn set_retry_usage(&self, pool: &name::Pool, usage: RetryUsage) {
        let labels = label::Pool { pool: pool.clone() };
        self.budget_requests.get_or_create(&labels).set(i64::from(usage.requests));
        self.budget_retries.get_or_create(&labels).set(i64::from(usage.retries));
        self.budget_limit.get_or_create(&labels).set(usage.limit as i64);
        self.granted_retries.get_or_create(&labels).set(usage.granted as i64);
        self.denied_retries.get_or_create(&labels).set(usage.denied as i64);
    }

    /// Sets the number of entries that limits of the fleet are divided among.
    pub fn set_limit_entries(&self, entries: usize) {
        self.limit_entries.set(entries as i64);
    }

    /// Sets the bytes that count against the memory budget.
    pub fn set_held_bytes(&self, bytes: usize) {
        self.held_bytes.set(bytes as i64);
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn encode(&self) -> String {
        let mut encoded = String::new();
        text::encode(&mut encoded, &self.registry).expect("writing to a string cannot fail");
        encoded
    }
}

fn request_labels(team: &name::Team, class: configuration::Class) -> label::Request {
    label::Request { team: team.clone(), class }
}

fn observe(
    histograms: &Histograms,
    team: &name::Team,
    class: configuration::Class,
    time: Duration,
) {
    histograms.get_or_create(&request_labels(team, class)).observe(time.as_secs_f64());
}

fn new_histogram() -> histogram::Histogram {
    histogram::Histogram::new(histogram::exponential_buckets(
        MIN_BUCKET_SECONDS,
        BUCKET_FACTOR,
        BUCKET_COUNT,
    ))
}

fn register_rank_histograms(
    registry: &mut registry::Registry,
    name: &str,
    help: &str,
) -> RankHistograms {
    let family =
        RankHistograms::new_with_constructor(new_histogram as fn() -> histogram::Histogram);
    registry.register(name, help, family.clone());
    family
}

fn register_histograms(registry: &mut registry::Registry, name: &str, help: &str) -> Histograms {
    let family = Histograms::new_with_constructor(new_histogram as fn() -> histogram::Histogram);
    registry.register(name, help, family.clone());
    family
}

fn new_ratio_histogram() -> histogram::Histogram {
    histogram::Histogram::new(histogram::exponential_buckets(
        MIN_BUCKET_RATIO,
        RATIO_BUCKET_FACTOR,
        RATIO_BUCKET_COUNT,
    ))
}

fn register_ratios(registry: &mut registry::Registry, name: &str, help: &str) -> Histograms {
    let constructor = new_ratio_histogram as fn() -> histogram::Histogram;
    let family = Histograms::new_with_constructor(constructor);
    registry.register(name, help, family.clone());
    family
}

fn register_histogram(
    registry: &mut registry::Registry,
    name: &str,
    help: &str,
) -> histogram::Histogram {
    let histogram = new_histogram();
    registry.register(name, help, histogram.clone());
    histogram
}

fn register_counters<L>(registry: &mut registry::Registry, name: &str, help: &str) -> Counters<L>
where
    L: Clone
        + std::fmt::Debug
        + std::hash::Hash
        + Eq
        + Send
        + Sync
        + prometheus_client::encoding::EncodeLabelSet
        + 'static,
{
    let family = Counters::<L>::default();
    registry.register(name, help, family.clone());
    family
}

fn register_counter(registry: &mut registry::Registry, name: &str, help: &str) -> counter::Counter {
    let counter = counter::Counter::default();
    registry.register(name, help, counter.clone());
    counter
}

fn register_gauges(registry: &mut registry::Registry, name: &str, help: &str) -> Gauges {
    let family = Gauges::default();
    registry.register(name, help, family.clone());
    family
}

fn register_gauge(registry: &mut registry::Registry, name: &str, help: &str) -> gauge::Gauge {
    let gauge = gauge::Gauge::default();
    registry.register(name, help, gauge.clone());
    gauge
}

fn register_seconds_gauge(
    registry: &mut registry::Registry,
    name: &str,
    help: &str,
) -> SecondsGauge {
    let gauge = SecondsGauge::default();
    registry.register(name, help, gauge.clone());
    gauge
}
