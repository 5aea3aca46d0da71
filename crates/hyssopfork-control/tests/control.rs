//! Tests of the control role.

mod histories;
mod solo;

use crate::histories::{check, world};
use std::env;

/// Seeds that CI runs; more by `HYSSOPFORK_SEEDS`, from `HYSSOPFORK_FIRST_SEED` on.
const SEEDS: u64 = 200;

/// Seeds that show what few do: a leader that was paused past its quorum lease answers an old
/// renewal before it has noticed.
const TELLING: [u64; 2] = [247, 1091];

fn setting(name: &str, default: u64) -> u64 {
    env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

// Operators race with equal base numbers and resend after lost answers; entries claim the same
// keys; agents and entries renew leases, all through instances that crash, pause, lose a disk and
// are cut off from each other while callers still reach them. What callers are told must read as
// one history, no lease may outlive the bound, and after the faults everyone is served again.
#[test]
fn histories_under_faults_read_as_one() {
    let first = setting("HYSSOPFORK_FIRST_SEED", 0);
    let seeds = setting("HYSSOPFORK_SEEDS", SEEDS);

    for seed in TELLING.into_iter().chain(first..first + seeds) {
        println!("seed {seed}");
        let world = world::run(seed);

        check::patches(&world);
        check::claims(&world);
        check::recovery(&world);
    }
}
