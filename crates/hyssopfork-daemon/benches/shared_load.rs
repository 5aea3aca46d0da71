//! Processor time of the exchange of counts: of one step of a busy entry, of one message, and of one
//! datagram through a socket on loopback.

use hyssopfork_daemon::edge::occupancy as channel;
use hyssopfork_gateway::occupancy::{Action, Count, Event, Exchange, Key, Kind, Listed, Message};
use hyssopfork_gateway::rendezvous;
use hyssopfork_wire::{clock, name};
use rustix::time::{ClockId, clock_gettime};
use std::collections::BTreeMap;
use std::net::{SocketAddr, UdpSocket};

/// Entries, groups, and groups with own requests.
const FLEETS: [(u32, u64, u64); 3] = [(17, 9, 9), (100, 100, 17), (380, 600, 17)];
const ROUNDS: u64 = 20_000;

fn entry(number: u32) -> SocketAddr {
    SocketAddr::from((std::net::Ipv4Addr::from(0x0a00_0000 + number), 7_340))
}

fn head(number: u64) -> name::Instance {
    name::Instance::new(format!("instance-{number}"))
}

/// Microseconds of processor time of this thread for one call of `work`.
fn measure(mut work: impl FnMut(u64)) -> f64 {
    let used = || {
        let time = clock_gettime(ClockId::ThreadCPUTime);
        time.tv_sec as f64 * 1e6 + time.tv_nsec as f64 / 1e3
    };
    let begun = used();
    (0..ROUNDS).for_each(&mut work);
    (used() - begun) / ROUNDS as f64
}

fn message(sequence: u64, counts: Vec<(Key, Count)>) -> Message {
    Message { kind: Kind::Update, boot: 1_800_000_000_000, sequence, counts }
}

fn count(round: u64) -> Count {
    Count { requests: 2 + (round % 3) as u32, tokens: 3_000 }
}

fn measure_fleet((entries, groups, used): (u32, u64, u64)) {
    let members: BTreeMap<_, _> = (0..entries).map(|number| (entry(number), ())).collect();
    let listed = |number: u64| Listed {
        key: Key(u64::MAX - number),
        head: head(number),
        preference: number as f64 / groups as f64,
        slots: 48.0,
    };
    let coordinator = |number: u64| {
        rendezvous::first(members.keys(), head(number).as_str().as_bytes()).expect("one is first")
    };
    let own = coordinator(0);
    let mut exchange = Exchange::new(own, 1, clock::Instant::ORIGIN);
    let view = Event::ViewUpdated(&members, (0..groups).map(listed).collect());
    exchange.step(clock::Instant::ORIGIN, view);

    let mut sent = 0;
    let interval = measure(|round| {
        let counts = (0..used).map(|number| (Key(u64::MAX - number), count(round / 5 + number)));
        let event = Event::IntervalElapsed { own: counts.collect(), has_arrivals: true };
        let actions = exchange.step(clock::Instant::from_millis(round * 50), event);
        sent += actions.iter().filter(|action| matches!(action, Action::Send(..))).count();
    });
    let others: Vec<_> = members.keys().filter(|it| **it != own).take(30).copied().collect();
    let received = measure(|round| {
        let from = others[round as usize % others.len()];
        let update = message(round, vec![(Key(u64::MAX), count(round))]);
        let now = clock::Instant::from_millis(ROUNDS * 50 + round * 7);
        exchange.step(now, Event::Received(from, update));
    });
    println!(
        "{entries} entries, {groups} groups: step {interval:.2} us with {:.2} messages, \
         received update {received:.2} us",
        sent as f64 / ROUNDS as f64
    );
}

fn main() {
    FLEETS.into_iter().for_each(measure_fleet);
    for groups in [1, 2, 8] {
        let counts = (0..groups).map(|number| (Key(u64::MAX - number), count(number))).collect();
        let message = message(86_400_000, counts);
        let bytes = channel::encode(&message).expect("it is short");
        let encode = measure(|_| assert!(channel::encode(&message).is_some()));
        let decode = measure(|_| assert!(channel::decode(&bytes).is_some()));
        println!(
            "{groups} groups: {} bytes, encode {encode:.2} us, decode {decode:.2} us",
            bytes.len()
        );
    }
    let socket = || UdpSocket::bind("127.0.0.1:0").expect("a free port");
    let (sender, receiver) = (socket(), socket());
    let to = receiver.local_addr().expect("the socket is bound");
    let mut buffer = [0; channel::MAX_DATAGRAM_BYTES];
    let datagram = measure(|_| {
        sender.send_to(&buffer[..40], to).expect("loopback accepts it");
        receiver.recv_from(&mut buffer).expect("it has arrived");
    });
    println!("sending and receiving one datagram: {datagram:.2} us");
}
