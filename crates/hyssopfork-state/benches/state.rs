//! Cost of the replicated state in bytes and microseconds, for commands, steps and snapshots, by
//! the number of instances, claims and patches. Run by `cargo bench -p hyssopfork-state`.

use hyssopfork_state::{command, machine, view};
use hyssopfork_wire::{attempt, change, claim, configuration, fleet, frame, name, number, patch};
use std::hint;
use std::net;
use std::time::{Duration, Instant};

/// Members of a group, as at the planned size.
const GROUP_SIZE: u32 = 8;

struct Log {
    machine: machine::Machine,
    index: u64,
}

impl Log {
    fn new() -> Log {
        Log { machine: machine::Machine::new(), index: 0 }
    }

    fn apply(&mut self, command: &command::Command) -> machine::Applied {
        self.index += 1;
        self.machine.apply(number::Index(self.index), command)
    }

    fn submit(&mut self, operations: Vec<patch::Operation>) -> machine::Applied {
        let command = self.patch(operations);
        self.apply(&command)
    }

    fn patch(&self, operations: Vec<patch::Operation>) -> command::Command {
        command::Command::Submit(patch::Patch {
            identifier: patch::Identifier(format!("patch-{:032}", self.index)),
            base: self.machine.view().configuration.number,
            author: "desk".into(),
            operations,
        })
    }
}

fn main() {
    for instances in [30, 600, 4_800] {
        fleet(instances);
    }
    for count in [1_000, 10_000, 32_000] {
        claims(count);
    }
    for count in [1_000, 12_000, 32_000] {
        patches(count);
    }
}

/// A fleet of engines in domains of 16, in groups of 8, with spares for one group in each domain.
fn populated(instances: u32) -> Log {
    let mut log = Log::new();
    let mut declared = configuration::Configuration::default();
    for zone in 0..15 {
        declared.zones.insert(name::Zone::new(format!("zone-{zone}")), Default::default());
    }
    let pool = configuration::Pool { kind: configuration::Kind::Engine, zones: Default::default() };
    declared.pools.insert("engines".into(), pool);
    for count in 0..instances / 16 {
        declared.groups.insert(name::Group::new(format!("group-{count:04}")), group());
    }
    log.submit(vec![patch::Operation::Declare(Box::new(declared))]);
    for count in 0..instances {
        log.apply(&command::Command::Announce(Box::new(announcement(count, 1))));
    }
    for count in 0..instances / 16 {
        log.apply(&place(count, 0, None));
    }
    log
}

fn fleet(instances: u32) {
    println!("fleet of {instances} instances, {} groups of {GROUP_SIZE}", instances / 16);
    let mut log = populated(instances);
    let whole = bincode::serialized_size(log.machine.view()).unwrap_or(0);
    println!("  whole view           {whole:>10} bytes, {} each", whole / u64::from(instances));
    let bytes = log.machine.encode();
    println!("  snapshot             {:>10} bytes", bytes.len());
    time("  snapshot encode      ", 20, |_| drop(hint::black_box(log.machine.encode())));
    time("  snapshot decode      ", 20, |_| {
        drop(hint::black_box(machine::Machine::decode(&bytes)))
    });
    time("  view clone           ", 20, |_| drop(hint::black_box(log.machine.view().clone())));
    let mut watched = log.machine.view().clone();
    let mut step = |label: &str, log: &mut Log, command: &dyn Fn(&Log, u32) -> command::Command| {
        let mut applying = Duration::ZERO;
        let mut updating = Duration::ZERO;
        let (mut encoded, mut sent) = (0, 0);
        const ROUNDS: u32 = 200;
        for round in 0..ROUNDS {
            let command = command(log, round);
            encoded += command::encode(&command).len();
            let start = Instant::now();
            let applied = log.apply(&command);
            applying += start.elapsed();
            let version = log.machine.view().version;
            let step = change::Step { version, changes: applied.changes };
            sent += bincode::serialized_size(&step).unwrap_or(0);
            let start = Instant::now();
            view::apply_step(&mut watched, &step);
            updating += start.elapsed();
        }
        println!(
            "  {label:<20} {:>10} bytes in the log, {} in a step; apply {:.1} us, lead {:.1} us",
            encoded / ROUNDS as usize,
            sent / u64::from(ROUNDS),
            micros(applying, ROUNDS),
            micros(updating, ROUNDS)
        );
    };
    step("zone out or back", &mut log, &|log, round| {
        log.patch(vec![patch::Operation::SetZoneOut("zone-0".into(), round % 2 == 0)])
    });
    step("put group", &mut log, &|log, round| {
        let priority = round;
        let group = configuration::Group { priority, ..group() };
        log.patch(vec![patch::Operation::PutGroup("group-0000".into(), group)])
    });
    step("announce new boot", &mut log, &|_, round| {
        command::Command::Announce(Box::new(announcement(3, u64::from(round) + 2)))
    });
    step("place", &mut log, &|log, round| {
        let replaces = log.machine.view().placements.get(&"group-0000".into());
        place(0, round % 2, replaces.map(|placement| placement.fence))
    });
}

fn claims(count: u64) {
    let mut log = Log::new();
    let start = Instant::now();
    for number in 0..count {
        let claim = claim(number);
        log.apply(&command::Command::Claim(claim.clone()));
        let head = frame::Head { status: 200, headers: Vec::new() };
        let outcome = claim::Outcome::Answered { head, body: vec![7; 512] };
        let (key, attempt) = (claim.key, claim.attempt);
        log.apply(&command::Command::Record { key, attempt, outcome });
    }
    let each = micros(start.elapsed(), count as u32);
    snapshot(&log, &format!("{count} claims of 512 bytes' answer, {each:.1} us each"), count);
}

fn patches(count: u64) {
    let mut log = populated(30);
    let start = Instant::now();
    for number in 0..count {
        log.submit(vec![patch::Operation::SetZoneOut("zone-0".into(), number % 2 == 0)]);
    }
    let each = micros(start.elapsed(), count as u32);
    snapshot(&log, &format!("{count} patches, {each:.1} us each"), count);
}

fn snapshot(log: &Log, label: &str, count: u64) {
    let bytes = log.machine.encode();
    println!("{label}");
    println!(
        "  snapshot             {:>10} bytes, {} each",
        bytes.len(),
        bytes.len() as u64 / count
    );
    time("  snapshot encode      ", 5, |_| drop(hint::black_box(log.machine.encode())));
    time("  snapshot decode      ", 5, |_| drop(hint::black_box(machine::Machine::decode(&bytes))));
}

fn time(label: &str, rounds: u32, mut work: impl FnMut(u32)) {
    let start = Instant::now();
    (0..rounds).for_each(&mut work);
    println!("{label}{:>10.1} us", micros(start.elapsed(), rounds));
}

fn micros(time: Duration, rounds: u32) -> f64 {
    time.as_secs_f64() * 1e6 / f64::from(rounds)
}

fn group() -> configuration::Group {
    configuration::Group {
        pool: "engines".into(),
        model: "model".into(),
        size: GROUP_SIZE,
        priority: 1,
    }
}

fn place(count: u32, shift: u32, replaces: Option<number::Fence>) -> command::Command {
    let first = count * 16 + shift * GROUP_SIZE;
    let members = (first..first + GROUP_SIZE).map(instance).collect();
    command::Command::Place {
        group: name::Group::new(format!("group-{count:04}")),
        members,
        replaces,
    }
}

fn instance(count: u32) -> name::Instance {
    name::Instance::new(format!("instance-{count:05}"))
}

fn announcement(count: u32, boot: u64) -> fleet::Announcement {
    let address = net::SocketAddr::from(([127, 0, 0, 1], 1));
    let domain = count / 16;
    fleet::Announcement {
        instance: instance(count),
        zone: name::Zone::new(format!("zone-{}", domain % 15)),
        domain: name::Domain::new(format!("domain-{domain:04}")),
        pool: "engines".into(),
        traffic: address,
        peer: address,
        profile: fleet::Profile {
            kind: configuration::Kind::Engine,
            checks_fence: true,
            resumes: true,
            cancels: true,
            accelerators: 4,
            concurrency: 16,
        },
        boot,
    }
}

fn claim(number: u64) -> claim::Claim {
    let text = format!("{number:032x}");
    let key = claim::Key { team: "team".into(), route: "lodgements".into(), text };
    let attempt = attempt::Identifier { boot: 1, count: number };
    claim::Claim { key, digest: [1; 32], attempt }
}
