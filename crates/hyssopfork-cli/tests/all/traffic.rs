//! Traffic read from the metrics of entries.

use hyssopfork_cli::traffic;

const METRICS: &str = "\
# HELP hyssopfork_queued Requests that wait.
hyssopfork_queued 3
hyssopfork_in_flight 5
hyssopfork_answers_total{team=\"tariff-desk\",class=\"status\"} 10
hyssopfork_answers_total{team=\"tariff-desk\",class=\"batch\"} 2
hyssopfork_refusals_total{team=\"tariff-desk\",reason=\"overloaded\",ran=\"not_run\"} 4
hyssopfork_refusals_total{team=\"\",reason=\"unauthorized\",ran=\"not_run\"} 1
hyssopfork_refusals_total{team=\"tariff-desk\",reason=\"upstream_failed\",ran=\"may_have_run\"} 1
# EOF
";

#[test]
fn metrics_of_entries_are_summed_by_team() {
    let mut traffic = traffic::Traffic::default();

    traffic.add_metrics(METRICS);
    traffic.add_metrics(METRICS);

    assert_eq!((traffic.queued, traffic.in_flight), (6, 10));
    let team = &traffic.teams["tariff-desk"];
    assert_eq!((team.answered, team.not_run, team.may_have_run), (24, 8, 2));
    assert_eq!(team.reasons["overloaded"], 8);
    assert!(traffic.render().contains("overloaded 8, upstream_failed 2"));
}

#[actix_rt::test]
async fn entry_without_metrics_is_reported() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("it is bound");
    drop(listener);

    let traffic = traffic::collect(&[address]).await;

    assert_eq!(traffic.unreachable, [address]);
}
