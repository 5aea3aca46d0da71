//! Benchmark of the replicated log: processor time and bytes per command and per idle second, by
//! number of voters, and the duration of the journal's writes.
//!
//! All nodes run in one thread and messages are delivered at once, so the times cover the step
//! function alone, without encoding. Bytes are those of the encoded packets.

use hyssopfork_consensus::{action, event, journal, node, write};
use hyssopfork_wire::{clock, consensus, envelope, name, number};
use std::collections;
use std::fs;
use std::path;
use std::time::{Duration, Instant};

const COMMANDS: u64 = 20_000;
const COMMAND_BYTES: usize = 200;
const COMMANDS_PER_SNAPSHOT: u64 = 5_000;
const IDLE_SECONDS: u64 = 200;
const TICKS_PER_SECOND: u64 = 50;
const SYNCS: u64 = 500;

/// Counters since the last reset.
#[derive(Default)]
struct Counters {
    leader: Duration,
    followers: Duration,
    messages: u64,
    bytes: u64,
}

struct Cluster {
    nodes: Vec<node::Node>,
    now: clock::Instant,
    queue: collections::VecDeque<(usize, event::Event)>,
    count: Counters,
    applied: u64,
}

fn voters(count: usize) -> Vec<consensus::Voter> {
    let name = |number| name::Instance::new(format!("control-{number}"));
    (0..count).map(|number| consensus::Voter { instance: name(number), folder: 1 }).collect()
}

impl Cluster {
    fn new(count: usize) -> Cluster {
        let voters = voters(count);
        let (index, term) = (number::Index(0), number::Term(0));
        let snapshot = write::Snapshot { index, term, voters: voters.clone(), data: Vec::new() };
        let durable = node::Durable { snapshot: Some(snapshot), ..node::Durable::default() };
        let now = clock::Instant::ORIGIN;
        let settings = node::Settings::default;
        let node = |(seed, voter): (u64, &consensus::Voter)| {
            node::Node::new(voter.clone(), durable.clone(), settings(), seed, now)
        };
        let nodes = (1..).zip(&voters).map(node).collect();
        let queue = collections::VecDeque::new();
        let mut cluster = Cluster { nodes, now, queue, count: Counters::default(), applied: 0 };
        cluster.run_for(5 * TICKS_PER_SECOND);
        cluster
    }

    fn leader(&self) -> usize {
        self.nodes.iter().position(node::Node::is_leader).expect("someone leads")
    }

    fn run_for(&mut self, ticks: u64) {
        for _ in 0..ticks {
            self.now = self.now + Duration::from_micros(1_000_000 / TICKS_PER_SECOND);
            let ticks = (0..self.nodes.len()).map(|slot| (slot, event::Event::Tick));
            self.queue.extend(ticks);
            self.drain();
        }
    }

    fn drain(&mut self) {
        while let Some((slot, event)) = self.queue.pop_front() {
            let start = Instant::now();
            let actions = self.nodes[slot].step(self.now, event);
            let spent = start.elapsed();
            if self.nodes[slot].is_leader() {
                self.count.leader += spent;
            } else {
                self.count.followers += spent;
            }
            actions.into_iter().for_each(|action| self.execute(slot, action));
        }
    }

    fn execute(&mut self, slot: usize, action: action::Action) {
        match action {
            action::Action::Send(packet) => self.send(packet),
            action::Action::Persist(write) => {
                self.queue.push_back((slot, event::Event::Persisted(write.number)));
            }
            action::Action::Apply(_) if self.nodes[slot].is_leader() => self.applied += 1,
            _ => {}
        }
    }

    fn send(&mut self, packet: consensus::Packet) {
        let to = self.nodes.len();
        let name = |number: &usize| packet.to.as_str() == format!("control-{number}");
        let to = (0..to).find(name).expect("a voter");
        let packet = envelope::Envelope::new(packet);
        self.count.messages += 1;
        self.count.bytes += bincode::serialized_size(&packet).expect("plain data");
        self.queue.push_back((to, event::Event::Received(packet.body)));
    }

    /// Proposes all commands, `batch` at a time.
    fn propose(&mut self, batch: u64) {
        let leader = self.leader();
        for ticket in 0..COMMANDS {
            let command = vec![7; COMMAND_BYTES];
            self.queue.push_back((leader, event::Event::Propose { ticket, command }));
            if ticket % batch == batch - 1 {
                self.drain();
            }
            if ticket % COMMANDS_PER_SNAPSHOT == COMMANDS_PER_SNAPSHOT - 1 {
                self.snapshot();
            }
        }
        self.drain();
    }

    fn snapshot(&mut self) {
        self.run_for(TICKS_PER_SECOND / 5);
        for slot in 0..self.nodes.len() {
            let index = self.nodes[slot].committed();
            let data = vec![1; 1_000];
            self.queue.push_back((slot, event::Event::Snapshotted { index, data }));
        }
        self.drain();
    }
}

fn bench_commands(count: usize, batch: u64) {
    let mut cluster = Cluster::new(count);
    cluster.count = Counters::default();
    cluster.applied = 0;
    cluster.propose(batch);
    let Counters { leader, followers, messages, bytes } = cluster.count;
    assert_eq!(cluster.applied, COMMANDS, "all are committed");
    let each = |spent: Duration| spent.as_secs_f64() * 1e6 / COMMANDS as f64;
    println!(
        "commands: {count} voters, {batch} at once: leader {:.2} us, each follower {:.2} us, \
         {:.2} messages and {:.0} bytes a command of {COMMAND_BYTES} bytes",
        each(leader),
        each(followers) / (count - 1) as f64,
        messages as f64 / COMMANDS as f64,
        bytes as f64 / COMMANDS as f64,
    );
}

fn bench_idle(count: usize) {
    let mut cluster = Cluster::new(count);
    cluster.count = Counters::default();
    cluster.run_for(IDLE_SECONDS * TICKS_PER_SECOND);
    let Counters { leader, followers, messages, bytes } = cluster.count;
    let each = |spent: Duration| spent.as_secs_f64() * 1e6 / IDLE_SECONDS as f64;
    println!(
        "quiet: {count} voters: leader {:.0} us, each follower {:.0} us, {} messages and {} bytes \
         a second, all voters together",
        each(leader),
        each(followers) / (count - 1) as f64,
        messages / IDLE_SECONDS,
        bytes / IDLE_SECONDS,
    );
}

fn command_write(index: u64) -> write::Write {
    let payload = consensus::Payload::Command(vec![7; COMMAND_BYTES]);
    let entry = consensus::Entry { index: number::Index(index), term: number::Term(1), payload };
    write::Write { entries: vec![entry], ..write::Write::default() }
}

fn bench_syncs(batch: u64) {
    let path = path::Path::new(env!("CARGO_TARGET_TMPDIR")).join("bench-journal");
    let _ = fs::remove_dir_all(&path);
    let (mut journal, _, _) = journal::Journal::open(&path).expect("opens");
    let start = Instant::now();
    for sync in 0..SYNCS {
        let writes: Vec<write::Write> =
            (1..=batch).map(|number| command_write(sync * batch + number)).collect();
        journal.write_all(&writes).expect("writes");
    }
    let each = start.elapsed().as_secs_f64() * 1e6 / SYNCS as f64;
    let bytes = fs::metadata(path.join("log")).expect("is there").len() / SYNCS / batch;
    println!("journal: {each:.0} us for a sync of {batch} commands, {bytes} bytes each");
}

fn main() {
    for count in [3, 5] {
        bench_commands(count, 1);
        bench_commands(count, 64);
    }
    for count in [3, 5, 13] {
        bench_idle(count);
    }
    bench_syncs(1);
    bench_syncs(64);
}
