//! Prints every scenario with the plain proxy beside the policy package, as tables for
//! docs/BENCHMARK.md. The same seed prints the same results.
//!
//! `scripts/benchmark [SEED] [WORD OF A SCENARIO'S NAME]`.

use hyssopfork_policy_model::{entry, repair, report, scenario, simulation};
use std::collections::BTreeSet;
use std::env;
use std::time::Duration;

/// Seed when none is given.
const SEED: u64 = 1;

/// Runs with random losses whose costs are summed, one for each seed.
const RANDOM_LOSS_RUNS: u64 = 20;

/// Median wait up to which a second counts as normal: no request waits in a queue.
const NORMAL_WAIT: Duration = Duration::from_millis(200);

/// Second from which on goodput is counted, so that the start of a run is left out.
const STEADY_SECOND: f64 = 5.0;

fn main() {
    let arguments: Vec<String> = env::args().skip(1).filter(|it| !it.starts_with("--")).collect();
    let seed = arguments.first().and_then(|text| text.parse().ok()).unwrap_or(SEED);
    let word = arguments.iter().find(|text| text.parse::<u64>().is_err());
    let is_selected = |name: &str| word.is_none_or(|word| name.contains(word.as_str()));
    println!("Seed {seed}.");
    for scenario in scenario::all().iter().filter(|scenario| is_selected(scenario.name)) {
        let baseline = simulation::run(scenario, entry::Kind::Baseline, seed);
        let ours = simulation::run(scenario, entry::Kind::Policy, seed);
        print_scenario(scenario, &baseline, &ours);
    }
    if is_selected("repair") {
        print_repairs();
    }
}

fn print_scenario(scenario: &scenario::Scenario, baseline: &report::Report, ours: &report::Report) {
    println!("\n### {}\n\n| | plain proxy | ours |\n|---|---|---|", scenario.name);
    let row = |name: &str, value: &dyn Fn(&report::Report) -> String| {
        println!("| {name} | {} | {} |", value(baseline), value(ours));
    };
    let end = scenario.length.as_secs_f64();
    row("answers", &answers);
    row("goodput, share of capacity", &|it| format!("{:.3}", it.goodput(STEADY_SECOND, end)));
    row("callers served", &|it| format!("{:.3}", it.clients_served()));
    row("requests for each caller", &|it| format!("{:.2}", it.requests_per_client()));
    row("refusals within 50 ms", &at_once);
    row("work wasted", &|it| format!("{:.4}", it.wasted_share()));
    row("Jain's index over teams", &|it| format!("{:.4}", it.jain_index()));
    row("attempts run for each request", &|it| format!("{:.3}", it.amplification()));
    row("attempts refused by agents", &|it| it.agent_rejections.to_string());
    row("non-repeatable run twice", &|it| it.ran_twice().to_string());
    row("upstreams crashed", &|it| it.crashes.to_string());
    row("most attempts on one upstream, of the mean", &|it| format!("{:.2}", it.max_load_ratio()));
    if ours.cache_hits.1 > 0 {
        row("cache hits", &|it| format!("{:.3}", it.cache_hits.0 as f64 / it.cache_hits.1 as f64));
    }
    if let Some(from) = scenario.recovery_from {
        row("normal again, seconds", &|it| recovery(it, from));
    }
    if !scenario.warm {
        let slow_start_seconds = simulation::slow_start_duration().as_secs_f64();
        println!("| full limit by the ramp alone, seconds | | {slow_start_seconds:.1} |");
    }
    print_waits(baseline, ours);
}

fn print_waits(baseline: &report::Report, ours: &report::Report) {
    let (plain, own) = (baseline.waits(), ours.waits());
    let keys: BTreeSet<_> = plain.keys().chain(own.keys()).collect();
    let cell = |waits: Option<&report::Waits>| {
        waits.map_or("none".to_owned(), |it| {
            format!("{} / {} ({})", it.p50.as_millis(), it.p99.as_millis(), it.count)
        })
    };
    println!("| *wait, ms: p50 / p99 (good answers)* | | |");
    for key in keys {
        println!("| {} {} | {} | {} |", key.0, key.1, cell(plain.get(key)), cell(own.get(key)));
    }
}

fn answers(report: &report::Report) -> String {
    let parts = report.outcomes().into_iter();
    let parts: Vec<_> = parts.map(|(kind, count)| format!("{kind:?} {count}")).collect();
    parts.join(", ").to_lowercase()
}

fn at_once(report: &report::Report) -> String {
    match report.outcomes().contains_key(&report::Outcome::Refused) {
        true => format!("{:.4}", report.rejected_immediately()),
        false => "no refusals".to_owned(),
    }
}

fn recovery(report: &report::Report, from: f64) -> String {
    let second = report.recovered_at(from, NORMAL_WAIT);
    second.map_or("never".to_owned(), |second| format!("{:.0} after", second - from))
}

/// Prints the loss and repair of groups.
fn print_repairs() {
    println!("\n### Loss and repair of groups\n");
    println!(
        "| case | repair | downtime, s | with priority, s | stranded, accelerator s | loads |"
    );
    println!("|---|---|---|---|---|---|");
    for case in repair::cases() {
        let bound = repair::lower_bound(&case);
        println!(
            "| {} | bound | {} | | {} | {} |",
            case.name, bound.downtime, bound.stranded, bound.loads
        );
        print_cost("plain", repair::run(&case, entry::Kind::Baseline));
        print_cost("ours", repair::run(&case, entry::Kind::Policy));
    }
    println!("| six members at random, sums over {RANDOM_LOSS_RUNS} runs | | | | | |");
    print_cost("plain", random_losses(entry::Kind::Baseline));
    print_cost("ours", random_losses(entry::Kind::Policy));
}

fn random_losses(kind: entry::Kind) -> repair::Cost {
    let mut sum = repair::Cost::default();
    for seed in 1..=RANDOM_LOSS_RUNS {
        sum.add(repair::run(&repair::random_losses(seed), kind));
    }
    sum
}

fn print_cost(who: &str, cost: repair::Cost) {
    let repair::Cost { downtime, priority_downtime, stranded, loads } = cost;
    println!("| | {who} | {downtime} | {priority_downtime} | {stranded} | {loads} |");
}
