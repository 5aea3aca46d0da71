//! Metrics of one process, in the text format that Prometheus reads.

use crate::label;
use hyssopfork_wire::{configuration, name, number, refusal};
use prometheus_client::encoding::text;
use prometheus_client::metrics::{counter, family, gauge, histogram};
use prometheus_client::registry;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

type Histograms = family::Family<label::Share, histogram::Histogram, fn() -> histogram::Histogram>;
type Counters<L> = family::Family<L, counter::Counter>;
type Seconds = gauge::Gauge<f64, AtomicU64>;

/// Shortest bound of the histograms, in seconds.
const LEAST_SECONDS: f64 = 0.000_5;
/// Factor between a bound and the next: the error of a quantile read from them.
const FACTOR: f64 = 1.6;
/// Number of bounds; the last is about 96 s, longer than any deadline in use.
const BOUNDS: u16 = 27;

/// All metrics of a process.
///
/// Its methods may be called from any thread: a series is made on its first use under a lock, and
/// from then on counted with atomic operations under a shared one.
pub struct Registry {
    registry: registry::Registry,
    wait: Histograms,
    first_token: Histograms,
    between_tokens: Histograms,
    whole: Histograms,
    answers: Counters<label::Share>,
    refusals: Counters<label::Refusal>,
    retries: Counters<label::Share>,
    cut: Counters<label::Share>,
    queued: gauge::Gauge,
    in_flight: gauge::Gauge,
    lease_left: Seconds,
    configuration: gauge::Gauge,
    version: gauge::Gauge,
    term: gauge::Gauge,
    committed: gauge::Gauge,
    leads: gauge::Gauge,
    replicated_bytes: counter::Counter,
    published_bytes: counter::Counter,
}

impl Default for Registry {
    fn default() -> Self {
        Registry::new()
    }
}

impl Registry {
    /// Makes and registers every metric.
    pub fn new() -> Self {
        let mut registry = registry::Registry::with_prefix("hyssopfork");
        let into = &mut registry;
        Registry {
            wait: times(into, "wait_seconds", "Time from arrival until the work was sent"),
            first_token: times(into, "first_token_seconds", "Time from arrival to the first part"),
            between_tokens: times(into, "between_tokens_seconds", "Time between parts"),
            whole: times(into, "whole_seconds", "Time from arrival to the whole answer"),
            answers: counted(into, "answers", "Requests answered whole"),
            refusals: counted(into, "refusals", "Requests refused, by reason and whether work ran"),
            retries: counted(into, "retries", "Attempts after the first"),
            cut: counted(into, "cut_answers", "Answers that ended with an error mark"),
            queued: level(into, "queued", "Requests that wait"),
            in_flight: level(into, "in_flight", "Requests being answered"),
            lease_left: seconds(
                into,
                "lease_left_seconds",
                "Time until the lease lapses; 0 without one",
            ),
            configuration: level(into, "configuration_number", "Configuration number in force"),
            version: level(into, "view_version", "Version of the view in force"),
            term: level(into, "consensus_term", "Term of the replicated log"),
            committed: level(into, "consensus_committed", "Committed index of the replicated log"),
            leads: level(into, "consensus_leads", "1 while this instance leads"),
            replicated_bytes: total(
                into,
                "consensus_sent_bytes",
                "Bytes of entries and snapshots sent to other voters, repeats included",
            ),
            published_bytes: total(
                into,
                "published_document_bytes",
                "Bytes of declarations sent to followers, repeats included",
            ),
            registry,
        }
    }

    /// A request waited this long before its work was sent.
    pub fn waited(&self, team: &name::Team, class: configuration::Class, time: Duration) {
        observe(&self.wait, team, class, time);
    }

    /// The first part of an answer came this long after the request.
    pub fn first_token(&self, team: &name::Team, class: configuration::Class, time: Duration) {
        observe(&self.first_token, team, class, time);
    }

    /// Two parts of an answer were this far apart.
    pub fn between_tokens(&self, team: &name::Team, class: configuration::Class, time: Duration) {
        observe(&self.between_tokens, team, class, time);
    }

    /// A request was answered whole after this time.
    pub fn answered(&self, team: &name::Team, class: configuration::Class, time: Duration) {
        observe(&self.whole, team, class, time);
        self.answers.get_or_create(&share(team, class)).inc();
    }

    /// A request was refused.
    pub fn refused(&self, team: Option<&name::Team>, refusal: &refusal::Refusal) {
        let labels =
            label::Refusal { team: team.cloned(), reason: refusal.reason, ran: refusal.ran };
        self.refusals.get_or_create(&labels).inc();
    }

    /// A request was tried once more.
    pub fn retried(&self, team: &name::Team, class: configuration::Class) {
        self.retries.get_or_create(&share(team, class)).inc();
    }

    /// An answer was cut after its caller had part of it.
    pub fn cut(&self, team: &name::Team, class: configuration::Class) {
        self.cut.get_or_create(&share(team, class)).inc();
    }

    /// Requests that wait and that are being answered now.
    pub fn occupied(&self, queued: usize, in_flight: usize) {
        self.queued.set(queued as i64);
        self.in_flight.set(in_flight as i64);
    }

    /// Time until the lease on the view lapses.
    pub fn lease_left(&self, left: Duration) {
        self.lease_left.set(left.as_secs_f64());
    }

    /// Configuration number and view version in force.
    pub fn in_force(&self, configuration: number::Configuration, version: number::Version) {
        self.configuration.set(configuration.0 as i64);
        self.version.set(version.0 as i64);
    }

    /// State of the replicated log.
    pub fn consensus(&self, term: number::Term, committed: number::Index, leads: bool) {
        self.term.set(term.0 as i64);
        self.committed.set(committed.0 as i64);
        self.leads.set(i64::from(leads));
    }

    /// Entries or a part of a snapshot were sent to another voter.
    pub fn replicated(&self, bytes: usize) {
        self.replicated_bytes.inc_by(bytes as u64);
    }

    /// A declaration, or a part of it, was sent to a follower.
    pub fn published(&self, bytes: usize) {
        self.published_bytes.inc_by(bytes as u64);
    }

    /// All metrics as text.
    pub fn encode(&self) -> String {
        let mut encoded = String::new();
        text::encode(&mut encoded, &self.registry).expect("writing to a string cannot fail");
        encoded
    }
}

fn share(team: &name::Team, class: configuration::Class) -> label::Share {
    label::Share { team: team.clone(), class }
}

fn observe(times: &Histograms, team: &name::Team, class: configuration::Class, time: Duration) {
    times.get_or_create(&share(team, class)).observe(time.as_secs_f64());
}

fn bounds() -> histogram::Histogram {
    histogram::Histogram::new(histogram::exponential_buckets(LEAST_SECONDS, FACTOR, BOUNDS))
}

fn times(registry: &mut registry::Registry, name: &str, help: &str) -> Histograms {
    let family = Histograms::new_with_constructor(bounds as fn() -> histogram::Histogram);
    registry.register(name, help, family.clone());
    family
}

fn counted<L>(registry: &mut registry::Registry, name: &str, help: &str) -> Counters<L>
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

fn total(registry: &mut registry::Registry, name: &str, help: &str) -> counter::Counter {
    let counter = counter::Counter::default();
    registry.register(name, help, counter.clone());
    counter
}

fn level(registry: &mut registry::Registry, name: &str, help: &str) -> gauge::Gauge {
    let gauge = gauge::Gauge::default();
    registry.register(name, help, gauge.clone());
    gauge
}

fn seconds(registry: &mut registry::Registry, name: &str, help: &str) -> Seconds {
    let gauge = Seconds::default();
    registry.register(name, help, gauge.clone());
    gauge
}
