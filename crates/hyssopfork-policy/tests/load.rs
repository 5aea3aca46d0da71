//! Client-side results under load: each scenario of the benchmark, checked by outcomes and waits.

use hyssopfork_policy_model::engine::Fault;
use hyssopfork_policy_model::entry::Kind;
use hyssopfork_policy_model::report::{Outcome, Report};
use hyssopfork_policy_model::{scenario, simulation};
use hyssopfork_wire::configuration::Class;
use std::time::Duration;

const SEED: u64 = 11;

/// Median wait up to which no request waits in a queue.
const NORMAL_WAIT: Duration = Duration::from_millis(200);

/// Responses from a slow upstream that clients may get: the requests in flight when it became slow,
/// and the trials sent to it.
const MAX_SLOW_RESPONSES: usize = 16;

fn run(scenario: &scenario::Scenario) -> Report {
    simulation::run(scenario, Kind::Policy, SEED)
}

fn count(report: &Report, outcome: Outcome) -> usize {
    report.outcomes().get(&outcome).copied().unwrap_or_default()
}

#[test]
fn burst_is_served_to_capacity_and_its_excess_rejected_immediately() {
    // Clients send five times the capacity for ten seconds. A queue bounded by length, or
    // unbounded, would fill with requests that expire in it: every response would be late, and long
    // waits would continue well after the burst. Bounded by estimated wait, the queue serves the
    // requests that it accepts.
    let report = run(&scenario::burst());

    // From second 12: requests served at the beginning of the burst end two seconds later.
    assert!(report.goodput(12.0, 20.0) >= 0.95, "{}", report.goodput(12.0, 20.0));
    assert!(report.rejected_immediately() >= 0.97, "{}", report.rejected_immediately());
    assert!(report.recovered_at(20.0, NORMAL_WAIT).is_some_and(|second| second <= 25.0));
    assert_eq!(count(&report, Outcome::Failed), 0);
}

#[test]
fn hot_team_does_not_delay_other_teams() {
    // One team sends twenty times its share. First come, first served, every team would wait behind
    // its backlog, and nine teams in ten would get no response in time. With fair queueing the
    // other teams are all served, and wait little longer than when the hot team sends as much as
    // they do.
    let baseline = run(&scenario::hot_team(false));
    let with_hot_team = run(&scenario::hot_team(true));
    let others =
        |report: &Report| report.waits_of(Class::Interactive, |team| team.as_str() != "team-01");

    let (baseline, waits) = (others(&baseline), others(&with_hot_team));

    assert!(waits.count * 1000 >= baseline.count * 995, "{waits:?} of {baseline:?}");
    assert!(waits.p99 <= Duration::from_millis(600), "{waits:?}");
    assert!(with_hot_team.jain_index() >= 0.995, "{}", with_hot_team.jain_index());
}

#[test]
fn hot_prefixes_keep_cache_hits_without_overloading_an_upstream() {
    // A thousand prompt prefixes, the first of them in one request of eight. Spread at random, each
    // prefix would be computed on every upstream; sent to one upstream each, the first would
    // overload its upstream.
    let report = run(&scenario::hot_key());
    let plain = simulation::run(&scenario::hot_key(), Kind::Baseline, SEED);
    let hits = |report: &Report| report.cache_hits.0 as f64 / report.cache_hits.1 as f64;

    assert!(hits(&report) >= hits(&plain) + 0.3, "{} against {}", hits(&report), hits(&plain));
    assert!(report.max_load_ratio() <= 1.6, "{}", report.max_load_ratio());
    assert_eq!(count(&report, Outcome::Good), report.outcomes().values().sum::<usize>());
}

#[test]
fn slow_upstream_gets_few_requests() {
    // One upstream of thirty becomes ten times slower. It stays alive and always has free slots, so
    // without ejection the clients of its requests would wait ten times as long for the whole
    // response while the fault lasts. Compared with its peers it is ejected, and only gets a few
    // requests as trials.
    let report = run(&scenario::faulty_upstream("slow", Fault::Slow(10.0)));

    let slow = report.count_longer_than(Duration::from_secs(6));

    assert_eq!(count(&report, Outcome::Good), report.outcomes().values().sum::<usize>());
    assert!(slow <= MAX_SLOW_RESPONSES, "{slow}");
}

#[test]
fn stalled_upstream_fails_only_requests_in_flight() {
    // One upstream stops making progress and sends nothing. Its requests in flight are lost unless
    // they can be retried; without ejection each new request sent to it would be lost as well at
    // its deadline.
    let report = run(&scenario::faulty_upstream("stalls", Fault::Stalled));
    let lost = count(&report, Outcome::Failed) + count(&report, Outcome::Refused);

    assert!(lost <= 16, "{:?}", report.outcomes());
    assert_eq!(report.ran_twice(), 0);
}

#[test]
fn failing_upstream_does_not_attract_requests() {
    // One upstream fails each request immediately, and so always has the lowest load. Balanced by
    // load alone, it would attract and fail nearly all requests; ejected, it fails a few.
    let report = run(&scenario::faulty_upstream("fails", Fault::FailsFast));

    assert!(count(&report, Outcome::Failed) <= 40, "{:?}", report.outcomes());
    assert_eq!(report.ran_twice(), 0);
}

#[test]
fn long_jobs_leave_slots_for_short_requests_and_status_checks() {
    // Jobs a hundred times the usual length arrive among short requests, together a third above the
    // capacity. Without lanes they would hold every slot for minutes, and status checks and short
    // requests would expire behind them.
    let report = run(&scenario::long_jobs());
    let status = report.waits_of(Class::Status, |_| true);
    let outcomes = report.outcomes_of(Class::Status);

    assert_eq!(outcomes.get(&Outcome::Good), Some(&outcomes.values().sum()), "{outcomes:?}");
    assert!(status.p99 <= Duration::from_millis(250), "{status:?}");
    let short = report.outcomes_of(Class::Interactive);
    let good = short.get(&Outcome::Good).copied().unwrap_or_default();
    assert!(good * 100 >= short.values().sum::<usize>() * 98, "{short:?}");
    let long = report.outcomes_of(Class::Batch);
    let good = long.get(&Outcome::Good).copied().unwrap_or_default();
    assert!(good * 2 >= long.values().sum::<usize>(), "{long:?}");
}

#[test]
fn overload_keeps_goodput_and_rejects_immediately() {
    // Twice and five times the capacity, for the whole run. Every late response is wasted work;
    // without admission control the wasted share grows with the load until nothing else is done.
    for (name, factor) in [("overload 2", 2.0), ("overload 5", 5.0)] {
        let report = run(&scenario::overload(name, factor));

        assert!(report.goodput(5.0, 60.0) >= 0.95, "{name}: {}", report.goodput(5.0, 60.0));
        assert!(report.rejected_immediately() >= 0.98, "{name}: {}", report.rejected_immediately());
        assert!(report.wasted_share() < 0.02, "{name}: {}", report.wasted_share());
        assert!(report.jain_index() >= 0.99, "{name}: {}", report.jain_index());
    }
}

#[test]
fn retry_storm_ends_by_itself() {
    // Every client whose request is rejected sends it again, after the retry-after time or
    // immediately, up to five times. With retries in every layer the storm would sustain itself
    // after its cause is gone. With rejections that cost nothing, and a budget for the system's own
    // retries, it ends when the clients are served.
    for resend in [scenario::Resend::RetryAfter, scenario::Resend::Immediate] {
        let report = run(&scenario::retry_storm("storm", resend));

        assert!(report.goodput(12.0, 20.0) >= 0.95, "{resend:?}: {}", report.goodput(12.0, 20.0));
        assert!(report.recovered_at(20.0, NORMAL_WAIT).is_some(), "{resend:?}");
        assert!(report.wasted_share() < 0.02, "{resend:?}: {}", report.wasted_share());
    }
}

#[test]
fn same_seed_gives_the_same_results() {
    let scenario = scenario::faulty_upstream("slow", Fault::Slow(10.0));

    let (first, second) = (run(&scenario), run(&scenario));

    assert_eq!(first.outcomes(), second.outcomes());
    assert_eq!(first.waits(), second.waits());
}
