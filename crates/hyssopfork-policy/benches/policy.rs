//! Prints every scenario with the plain proxy beside the policy package. The same seed prints the
//! same figures. `scripts/benchmark [SEED] [WORD OF A SCENARIO'S NAME]`.

use hyssopfork_policy_model::{entry, repair, report, scenario, simulation};
use std::env;
use std::time::Duration;

/// Seed when none is given.
const SEED: u64 = 1;

/// Seeds over which random losses are summed.
const RANDOM_LOSSES: u64 = 20;

/// Median wait up to which a second counts as normal: nobody waits in a queue.
const NORMAL: Duration = Duration::from_millis(200);

fn main() {
    let arguments: Vec<String> = env::args().skip(1).filter(|it| !it.starts_with("--")).collect();
    let seed = arguments.first().and_then(|text| text.parse().ok()).unwrap_or(SEED);
    let word = arguments.iter().find(|text| text.parse::<u64>().is_err());
    println!("seed {seed}");
    println!("full limit of a cold upstream by the ramp alone: {:?}", simulation::ramp_alone());
    for scenario in scenario::all() {
        if word.is_some_and(|word| !scenario.name.contains(word.as_str())) {
            continue;
        }
        println!("\n## {}", scenario.name);
        print(&scenario, "baseline", &simulation::run(&scenario, entry::Kind::Baseline, seed));
        print(&scenario, "ours", &simulation::run(&scenario, entry::Kind::Ours, seed));
    }
    if word.is_none_or(|word| "repair".contains(word.as_str())) {
        print_repairs();
    }
}

/// Prints the loss and repair of groups.
fn print_repairs() {
    for case in repair::cases() {
        println!("\n## repair: {}", case.name);
        println!("bound: {:?}", repair::bound(&case));
        for kind in [entry::Kind::Baseline, entry::Kind::Ours] {
            println!("{kind:?}: {:?}", repair::run(&case, kind));
        }
    }
    println!("\n## repair: six members at random, sums over {RANDOM_LOSSES} seeds");
    for kind in [entry::Kind::Baseline, entry::Kind::Ours] {
        let mut sum = repair::Cost::default();
        for seed in 1..=RANDOM_LOSSES {
            sum.add(repair::run(&repair::random_losses(seed), kind));
        }
        println!("{kind:?}: {sum:?}");
    }
}

fn print(scenario: &scenario::Scenario, who: &str, report: &report::Report) {
    let end = scenario.length.as_secs_f64();
    println!("{who}: {:?}", report.answers());
    println!(
        "  goodput {:.3} (from second 5), served {:.3}, refused at once {:.4}, wasted {:.4}",
        report.goodput(5.0, end),
        report.served(0.0, end),
        report.refused_at_once(),
        report.wasted()
    );
    println!(
        "  Jain {:.4}, crashes {}, ran twice {}, attempts a request {:.3}, bounced {}, spread {:.2}",
        report.jain(),
        report.crashes,
        report.ran_twice(),
        report.amplification(),
        report.bounced,
        report.spread()
    );
    if let Some(from) = scenario.recovery {
        let normal = report.recovered(from, NORMAL);
        println!("  normal again from second {normal:?}, of interest from second {from}");
    }
    if report.hits.1 > 0 {
        println!("  cache hits {:.3}", report.hits.0 as f64 / report.hits.1 as f64);
    }
    for ((team, class), waits) in report.waits() {
        let (p50, p99) = (waits.p50.as_millis(), waits.p99.as_millis());
        println!("  {team} {class}: {} good, p50 {p50} ms, p99 {p99} ms", waits.count);
    }
}
