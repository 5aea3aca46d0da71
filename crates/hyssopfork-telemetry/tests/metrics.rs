//! Metrics of a process: labels, gauges and counters in the text format.

use hyssopfork_telemetry::metrics;
use hyssopfork_wire::{configuration, name, number, refusal};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

const CLASS: configuration::Class = configuration::Class::Interactive;

fn team() -> name::Team {
    name::Team::from("lagos-steel")
}

#[test]
fn response_times_are_recorded_per_team_and_class() {
    let registry = metrics::Registry::new();

    registry.observe_response(&team(), CLASS, Duration::from_millis(20));
    registry.observe_response(&name::Team::from("other"), CLASS, Duration::from_millis(20));

    let text = registry.encode();
    let expected = "hyssopfork_whole_seconds_count{team=\"lagos-steel\",class=\"interactive\"} 1";
    assert!(text.contains(expected), "{text}");
}

/// Guards against buckets that can't show whether predictions are a fifth too short.
#[test]
fn ratios_of_observed_to_predicted_times_are_recorded_in_fine_buckets() {
    let registry = metrics::Registry::new();

    registry.observe_prediction_ratio(&team(), CLASS, 0.9);
    registry.observe_prediction_ratio(&team(), CLASS, 1.2);

    let text = registry.encode();
    let name = "hyssopfork_first_token_prediction_ratio";
    let counts: Vec<&str> = text
        .lines()
        .filter(|line| line.starts_with(&format!("{name}_bucket")))
        .filter_map(|line| line.rsplit(' ').next())
        .collect();
    // Counts are cumulative: between the two ratios a bucket holds only the first.
    assert!(counts.contains(&"0") && counts.contains(&"1") && counts.contains(&"2"), "{text}");
    assert!(text.contains(&format!("{name}_count{{team=\"lagos-steel\"")), "{text}");
}

/// Guards against a time series for each number that a declaration contains.
#[test]
fn times_in_the_queue_are_recorded_by_rank_up_to_the_last_one() {
    let registry = metrics::Registry::new();

    registry.observe_queue_time(0, Duration::from_millis(20));
    registry.observe_queue_time(9, Duration::from_millis(20));
    registry.observe_queue_time(4_000_000_000, Duration::from_millis(20));

    let text = registry.encode();
    for expected in ["{rank=\"0\"} 1", "{rank=\"9\"} 2"] {
        let expected = format!("hyssopfork_queue_seconds_count{expected}");
        assert!(text.contains(&expected), "{text}");
    }
}

#[test]
fn rejections_are_labelled_with_the_reason_and_whether_the_request_ran() {
    let registry = metrics::Registry::new();
    let refusal = refusal::Refusal::not_run(refusal::Reason::Overloaded, None);

    registry.count_rejection(Some(&team()), &refusal);

    let text = registry.encode();
    let expected = "hyssopfork_refusals_total{team=\"lagos-steel\",reason=\"overloaded\",\
                  ran=\"not_run\"} 1";
    assert!(text.contains(expected), "{text}");
}

#[test]
fn gauges_show_the_current_configuration_lease_and_leadership() {
    let registry = metrics::Registry::new();

    registry.set_versions(number::Configuration(7), number::Version(41));
    registry.set_lease_remaining(Duration::from_millis(1_500));
    registry.set_consensus(number::Term(3), number::Index(99), true);
    registry.set_knows_fleet(true);

    let text = registry.encode();
    assert!(text.contains("hyssopfork_configuration_number 7\n"), "{text}");
    assert!(text.contains("hyssopfork_lease_left_seconds 1.5\n"), "{text}");
    assert!(text.contains("hyssopfork_consensus_leads 1\n"), "{text}");
    assert!(text.contains("hyssopfork_leader_knows_fleet 1\n"), "{text}");
}

#[test]
fn messages_with_counts_are_counted_and_the_age_of_totals_is_recorded() {
    let registry = metrics::Registry::new();

    registry.count_shared_load_sent();
    registry.count_shared_load_received();
    registry.count_shared_load_drop();
    registry.observe_shared_load_age(Duration::from_millis(40));

    let text = registry.encode();
    for name in ["sent_total", "received_total", "dropped_total", "age_seconds_count"] {
        assert!(text.contains(&format!("hyssopfork_shared_load_{name} 1\n")), "{name}: {text}");
    }
}

#[test]
fn replicated_and_published_bytes_are_counted_separately() {
    let registry = metrics::Registry::new();

    registry.add_replicated_bytes(3_000);
    registry.add_published_bytes(500);
    registry.add_published_bytes(200);

    let text = registry.encode();
    assert!(text.contains("hyssopfork_consensus_sent_bytes_total 3000\n"), "{text}");
    assert!(text.contains("hyssopfork_published_document_bytes_total 700\n"), "{text}");
}

#[test]
fn concurrent_counts_from_several_threads_are_all_recorded() {
    let registry = Arc::new(metrics::Registry::new());

    let threads: Vec<_> = (0..4).map(|_| spawn_counting(registry.clone())).collect();
    threads.into_iter().for_each(|thread| thread.join().expect("no thread panics"));

    let text = registry.encode();
    let expected = "hyssopfork_retries_total{team=\"lagos-steel\",class=\"interactive\"} 4000";
    assert!(text.contains(expected), "{text}");
}

fn spawn_counting(registry: Arc<metrics::Registry>) -> thread::JoinHandle<()> {
    thread::spawn(move || (0..1_000).for_each(|_| registry.count_retry(&team(), CLASS)))
}
