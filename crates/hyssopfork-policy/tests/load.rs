//! What callers receive under load: each scenario of the benchmark, judged by answers and waits.

use hyssopfork_policy_model::engine::Fault;
use hyssopfork_policy_model::entry::Kind;
use hyssopfork_policy_model::report::{Outcome, Report};
use hyssopfork_policy_model::{scenario, simulation};
use hyssopfork_wire::configuration::Class;
use std::time::Duration;

const SEED: u64 = 11;

/// Median wait up to which nobody waits in a queue.
const NORMAL: Duration = Duration::from_millis(200);

/// Answers from a slow upstream that callers may get: what it held when it became slow, and what
/// it is tried with.
const SLOW: usize = 16;

fn run(scenario: &scenario::Scenario) -> Report {
    simulation::run(scenario, Kind::Policy, SEED)
}

fn count(report: &Report, outcome: Outcome) -> usize {
    report.outcomes().get(&outcome).copied().unwrap_or_default()
}

#[test]
fn burst_is_served_to_capacity_and_refused_at_once() {
    // Callers send five times what the upstreams can do, for ten seconds. A queue bounded by
    // length or not at all would fill with requests that expire there: everybody is served late,
    // and the waits go on long after the burst. Bounded by time, it serves who it keeps.
    let report = run(&scenario::burst());

    // From second 12: what is served at the beginning of the burst ends two seconds later.
    assert!(report.goodput(12.0, 20.0) >= 0.95, "{}", report.goodput(12.0, 20.0));
    assert!(report.rejected_immediately() >= 0.97, "{}", report.rejected_immediately());
    assert!(report.recovered_at(20.0, NORMAL).is_some_and(|second| second <= 25.0));
    assert_eq!(count(&report, Outcome::Failed), 0);
}

#[test]
fn hot_team_does_not_make_the_others_wait() {
    // One team sends twenty times its share. First come first served, everybody stands behind its
    // backlog and nine teams in ten get nothing in time. By turns, the others are all served, and
    // wait little longer than when the hot team sends as they do.
    let alone = run(&scenario::hot_team(false));
    let beside = run(&scenario::hot_team(true));
    let others =
        |report: &Report| report.waits_of(Class::Interactive, |team| team.as_str() != "team-01");

    let (alone, waits) = (others(&alone), others(&beside));

    assert!(waits.count * 1000 >= alone.count * 995, "{waits:?} of {alone:?}");
    assert!(waits.p99 <= Duration::from_millis(600), "{waits:?}");
    assert!(beside.jain_index() >= 0.995, "{}", beside.jain_index());
}

#[test]
fn hot_key_keeps_its_cache_hits_without_overrunning_an_upstream() {
    // A thousand prompt prefixes, the first of them in one request of eight. Spread at random
    // each is computed everywhere; sent to one upstream each, the first overruns its upstream.
    let report = run(&scenario::hot_key());
    let plain = simulation::run(&scenario::hot_key(), Kind::Baseline, SEED);
    let hits = |report: &Report| report.cache_hits.0 as f64 / report.cache_hits.1 as f64;

    assert!(hits(&report) >= hits(&plain) + 0.3, "{} against {}", hits(&report), hits(&plain));
    assert!(report.max_load_ratio() <= 1.6, "{}", report.max_load_ratio());
    assert_eq!(count(&report, Outcome::Good), report.outcomes().values().sum::<usize>());
}

#[test]
fn slow_upstream_is_left_by_its_callers() {
    // One upstream of thirty becomes ten times slower. It stays alive and always has room again,
    // so that callers sent to it wait ten times as long for the whole answer, for as long as the
    // fault lasts. Judged against its peers it gets a little work now and then.
    let report = run(&scenario::faulty_upstream("slow", Fault::Slow(10.0)));

    let slow = report.count_longer_than(Duration::from_secs(6));

    assert_eq!(count(&report, Outcome::Good), report.outcomes().values().sum::<usize>());
    assert!(slow <= SLOW, "{slow}");
}

#[test]
fn stalling_upstream_costs_only_what_it_held() {
    // One upstream makes no progress any more and says nothing. What it holds is lost unless it
    // can be sent again; without ejection each new request on it is lost as well until its
    // deadline passes.
    let report = run(&scenario::faulty_upstream("stalls", Fault::Stalled));
    let lost = count(&report, Outcome::Failed) + count(&report, Outcome::Refused);

    assert!(lost <= 16, "{:?}", report.outcomes());
    assert_eq!(report.ran_twice(), 0);
}

#[test]
fn failing_upstream_does_not_draw_the_work() {
    // One upstream fails each request at once, and so is always the least loaded. Balanced by load
    // alone it draws nearly all requests and fails them; ejected, it fails a few.
    let report = run(&scenario::faulty_upstream("fails", Fault::FailsFast));

    assert!(count(&report, Outcome::Failed) <= 40, "{:?}", report.outcomes());
    assert_eq!(report.ran_twice(), 0);
}

#[test]
fn long_jobs_leave_room_for_short_requests_and_status_checks() {
    // Jobs a hundred times the usual length arrive among short requests, together with these a
    // third more than can be done. Without lanes they hold every slot for minutes, and status
    // checks and short requests expire behind them.
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
fn overload_keeps_goodput_and_refuses_at_once() {
    // Twice and five times the capacity, for as long as the run takes. Everybody who is served
    // late is work lost; the share of that work grows with the load until nothing else is done.
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
    // Every refused caller sends again, as asked or at once, five times. With retries in every
    // layer the storm feeds itself and stays after its cause is gone; with refusals that cost
    // nothing, and a budget for the system's own retries, it is over when the callers are served.
    for resend in [scenario::Resend::RetryAfter, scenario::Resend::Immediate] {
        let report = run(&scenario::retry_storm("storm", resend));

        assert!(report.goodput(12.0, 20.0) >= 0.95, "{resend:?}: {}", report.goodput(12.0, 20.0));
        assert!(report.recovered_at(20.0, NORMAL).is_some(), "{resend:?}");
        assert!(report.wasted_share() < 0.02, "{resend:?}: {}", report.wasted_share());
    }
}

#[test]
fn same_seed_gives_the_same_figures() {
    let scenario = scenario::faulty_upstream("slow", Fault::Slow(10.0));

    let (first, second) = (run(&scenario), run(&scenario));

    assert_eq!(first.outcomes(), second.outcomes());
    assert_eq!(first.waits(), second.waits());
}
