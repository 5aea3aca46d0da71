//! Exchange of counts between entries, with a channel that loses, delays and repeats messages.

use crate::fixture::{at, entry_address, instance};
use hyssopfork_gateway::load;
use hyssopfork_gateway::occupancy::{Action, Count, Event, Exchange, Key, Kind, Listed, Message};
use hyssopfork_gateway::{occupancy, rendezvous};
use std::collections::BTreeMap;
use std::net;

const KEY: Key = Key(7);

/// Entries that share the counts of one group.
struct Fleet {
    entries: Vec<Exchange>,
    own: Vec<u32>,
    /// Last total of each entry.
    totals: Vec<Option<occupancy::Total>>,
    /// Other actions of each entry.
    actions: Vec<Vec<Action>>,
    now: u64,
}

fn listed(count: u64) -> Vec<Listed> {
    let group = |number| Listed {
        key: Key(KEY.0 + number),
        head: instance(&format!("head-{number}")),
        preference: 0.5,
        slots: 48.0,
    };
    (0..count).map(group).collect()
}

fn members(numbers: impl IntoIterator<Item = u32>) -> BTreeMap<net::SocketAddr, ()> {
    numbers.into_iter().map(|number| (entry_address(number), ())).collect()
}

/// The entry of these that coordinates the group.
fn coordinator(numbers: impl IntoIterator<Item = u32>) -> usize {
    let numbers = members(numbers);
    let first = rendezvous::first(numbers.keys(), b"head-0").expect("there are entries");
    (0..10).find(|number| entry_address(*number) == first).expect("it is an entry") as usize
}

fn update(boot: u64, sequence: u64, requests: u32) -> Message {
    let count = Count { requests, tokens: 0 };
    Message { kind: Kind::Update, boot, sequence, counts: vec![(KEY, count)] }
}

impl Fleet {
    /// Entries with these counts of own requests.
    fn start(own: &[u32]) -> Fleet {
        let numbers = 0..own.len() as u32;
        let entries = numbers.clone().map(|it| Exchange::new(entry_address(it), 5, at(1_000)));
        let mut fleet = Fleet {
            entries: entries.collect(),
            own: own.to_vec(),
            totals: vec![None; own.len()],
            actions: vec![Vec::new(); own.len()],
            now: 1_000,
        };
        numbers.clone().for_each(|number| fleet.view(number as usize, numbers.clone()));
        fleet
    }

    fn view(&mut self, entry: usize, numbers: impl IntoIterator<Item = u32>) {
        let event = Event::ViewUpdated(&members(numbers), listed(1));
        self.entries[entry].step(at(self.now), event);
    }

    /// Lets an entry handle an event; returns the messages that it sends.
    fn step(&mut self, entry: usize, event: Event<'_>) -> Vec<(net::SocketAddr, Message)> {
        let mut sent = Vec::new();
        for action in self.entries[entry].step(at(self.now), event) {
            match action {
                Action::Send(to, message) => sent.push((to, message)),
                Action::Total(_, total) => self.totals[entry] = Some(total),
                other => self.actions[entry].push(other),
            }
        }
        sent
    }

    fn receive(&mut self, entry: usize, from: usize, message: Message) -> Option<Message> {
        let from = entry_address(from as u32);
        self.step(entry, Event::Received(from, message)).pop().map(|(_, reply)| reply)
    }

    /// Advances by steps of 50 ms. `arrives` decides for each message, given the indexes of sender
    /// and recipient and the time.
    fn run(&mut self, millis: u64, arrives: impl Fn(usize, usize, u64) -> bool) {
        for _ in 0..millis / 50 {
            self.now += 50;
            for entry in 0..self.entries.len() {
                let count = Count { requests: self.own[entry], tokens: 0 };
                let own = if self.own[entry] > 0 { vec![(KEY, count)] } else { Vec::new() };
                let mut sent: Vec<_> = self
                    .step(entry, Event::IntervalElapsed { own, has_arrivals: true })
                    .into_iter()
                    .map(|(to, message)| (entry, to, message))
                    .collect();
                while let Some((from, to, message)) = sent.pop() {
                    let to = (0..10).find(|it| entry_address(*it) == to).expect("it exists");
                    let to = to as usize;
                    if arrives(from, to, self.now) {
                        let address = entry_address(from as u32);
                        let replies = self.step(to, Event::Received(address, message));
                        sent.extend(replies.into_iter().map(|(back, reply)| (to, back, reply)));
                    }
                }
            }
        }
    }

    /// Requests of the other entries as each entry knows them, as far as they are recent.
    fn known(&self) -> Vec<Option<u32>> {
        let recent =
            |total: &occupancy::Total| at(self.now).since(total.at) <= occupancy::MAX_TOTAL_AGE;
        self.totals.iter().map(|it| it.filter(recent).map(|it| it.others.requests)).collect()
    }
}

/// Guards against losing counts for good with a message: the next one carries the absolute count.
#[test]
fn every_entry_knows_the_requests_of_the_others_although_messages_are_lost() {
    let mut fleet = Fleet::start(&[3, 0, 5, 1]);

    fleet.run(600, |_, _, _| true);
    assert_eq!(fleet.known(), [Some(6), Some(9), Some(4), Some(8)]);

    fleet.own = vec![3, 2, 4, 0];
    fleet.run(600, |_, _, now| now % 150 != 0);
    assert_eq!(fleet.known(), [Some(6), Some(7), Some(5), Some(9)]);
}

/// Guards against an older count that replaces a newer one, a count that is added twice, and a
/// restarted entry whose counts are ignored because its sequence numbers start again.
#[test]
fn older_and_repeated_updates_are_dropped() {
    let mut fleet = Fleet::start(&[0, 0, 0]);
    fleet.run(600, |_, _, _| true);
    let head = coordinator(0..3);
    let (one, other) = ((head + 1) % 3, (head + 2) % 3);
    let others_of = |fleet: &mut Fleet, sequence| {
        let reply = fleet.receive(head, other, update(9, sequence, 0)).expect("it replies");
        reply.counts[0].1.requests
    };

    fleet.receive(head, one, update(6, 9_000, 4));
    fleet.receive(head, one, update(6, 9_000, 4));
    fleet.receive(head, one, update(6, 8_999, 2));
    assert_eq!(others_of(&mut fleet, 9_000), 4);
    fleet.receive(head, one, update(7, 1, 1));
    fleet.receive(head, one, update(6, 9_001, 4));
    assert_eq!(others_of(&mut fleet, 9_001), 1);
    assert_eq!(fleet.actions[head], vec![Action::Dropped; 3]);
}

/// Guards against a total of the past that is used as the current one.
#[test]
fn late_repeated_and_forged_replies_are_dropped() {
    let mut fleet = Fleet::start(&[2, 2]);
    fleet.run(600, |_, _, _| true);
    let head = coordinator(0..2);
    let sender = 1 - head;
    let reply = |boot, sequence| {
        let counts = vec![(KEY, Count { requests: 9, tokens: 0 })];
        Message { kind: Kind::Reply, boot, sequence, counts }
    };
    let used = fleet.totals[sender].expect("the coordinator has replied").at.as_micros() / 1_000;

    for (boot, sequence) in [(5, used), (5, used - 10), (4, used + 1), (5, used + 10_000)] {
        fleet.receive(sender, head, reply(boot, sequence));
    }
    assert_eq!(fleet.known()[sender], Some(2));
    assert_eq!(fleet.actions[sender].len(), 4);

    fleet.run(100, |_, _, _| false);
    fleet.now += 250;
    let sequence = fleet.now - 300;
    fleet.receive(sender, head, reply(5, sequence));
    assert_eq!(fleet.known()[sender], None);
}

/// The coordinator dies, and the leader's view names another one.
///
/// Guards against totals of the old coordinator that stay in use, and against a new coordinator
/// that replies before the others have sent it their counts.
#[test]
fn totals_age_until_a_new_coordinator_has_collected_counts() {
    let mut fleet = Fleet::start(&[1, 2, 3, 4]);
    fleet.run(600, |_, _, _| true);
    let dead = coordinator(0..4);
    let left = move || (0..4).filter(move |number| *number as usize != dead);

    fleet.run(400, |from, to, _| from != dead && to != dead);
    assert!(left().all(|entry| fleet.known()[entry as usize].is_none()), "{:?}", fleet.known());
    fleet.run(2_000, |from, to, _| from != dead && to != dead);
    let silent = Action::Silent(entry_address(dead as u32));
    assert!(left().all(|entry| fleet.actions[entry as usize] == [silent.clone()]));

    left().for_each(|entry| fleet.view(entry as usize, left()));
    fleet.run(200, |from, to, _| from != dead && to != dead);
    assert_eq!(fleet.known(), [None; 4]);
    fleet.run(300, |from, to, _| from != dead && to != dead);
    let sum: u32 = left().map(|entry| fleet.own[entry as usize]).sum();
    for entry in left() {
        let entry = entry as usize;
        assert_eq!(fleet.known()[entry], Some(sum - fleet.own[entry]), "entry {entry}");
    }
}

/// Guards against a log without the end of a silence.
#[test]
fn a_coordinator_that_replies_again_is_reported() {
    let mut fleet = Fleet::start(&[1, 1]);
    fleet.run(600, |_, _, _| true);
    let head = coordinator(0..2);
    fleet.run(3_000, |_, _, _| false);

    fleet.run(600, |_, _, _| true);

    let address = entry_address(head as u32);
    assert_eq!(fleet.actions[1 - head], [Action::Silent(address), Action::Restored(address)]);
}

/// One entry has an older view, by which a different entry is the coordinator.
///
/// Guards against a total of only those entries that share a view.
#[test]
fn an_entry_replies_only_as_coordinator_by_its_own_view() {
    let mut fleet = Fleet::start(&[1, 1, 1, 1]);
    let first = coordinator(0..4);
    let without = || (0..4).filter(|number| *number as usize != first);
    let second = coordinator(without());
    let outdated = (0..4).find(|it| *it != first && *it != second).expect("there are four");

    fleet.view(outdated, without());
    fleet.run(600, |_, _, _| true);

    assert_eq!(fleet.known()[outdated], None);
    assert_eq!(fleet.known()[second], Some(2));
}

/// Guards against a coordinator that takes the group for empty because it receives nothing, either
/// from any entry or during a pause of its process.
#[test]
fn a_coordinator_without_updates_has_no_total() {
    let mut fleet = Fleet::start(&[4, 4, 4]);
    fleet.run(600, |_, _, _| true);
    let head = coordinator(0..3);

    fleet.run(1_000, |_, to, _| to != head);
    assert_eq!(fleet.known()[head], None);

    fleet.run(1_000, |_, _, _| true);
    fleet.now += 1_000;
    let reply = fleet.receive(head, (head + 1) % 3, update(5, fleet.now, 4));
    assert_eq!((reply, fleet.known()[head]), (None, None));
}

#[test]
fn counts_of_a_dead_entry_expire() {
    let mut fleet = Fleet::start(&[4, 4, 4]);
    fleet.run(600, |_, _, _| true);
    let dead = (coordinator(0..3) + 1) % 3;

    fleet.run(700, |from, to, _| from != dead && to != dead);

    assert_eq!(fleet.known()[coordinator(0..3)], Some(4));
}

/// Guards against memory, arithmetic and decisions at the mercy of a faulty or foreign sender.
#[test]
fn absurd_and_foreign_messages_are_dropped() {
    let mut fleet = Fleet::start(&[1, 1, 1]);
    fleet.run(600, |_, _, _| true);
    let head = coordinator(0..3);
    let sender = (head + 1) % 3;
    let before = fleet.known();
    let with = |counts| Message { counts, ..update(5, 100_000, 1) };
    let absurd = [
        with(vec![(KEY, Count { requests: u32::MAX, tokens: 0 })]),
        with(vec![(KEY, Count { requests: 1, tokens: u64::MAX })]),
        with(vec![(KEY, Count::default()); occupancy::MAX_GROUPS_PER_MESSAGE + 1]),
        with(vec![(Key(1), Count::default())]),
    ];

    for message in absurd {
        assert_eq!(fleet.receive(head, sender, message), None);
    }
    assert_eq!(fleet.receive(head, 9, update(5, 100_000, 1)), None);
    assert_eq!(fleet.receive(head, head, update(5, 100_000, 1)), None);
    assert_eq!((fleet.known(), fleet.actions[head].len()), (before, 6));
}

/// Messages that an entry sends in ten seconds with this many groups, of which the first `used`
/// have one request each that ends or starts every second, for a fleet of 380 entries.
fn sent_in_ten_seconds(groups: u64, used: u64) -> usize {
    let mut entry = Exchange::new(entry_address(0), 5, at(0));
    entry.step(at(0), Event::ViewUpdated(&members(0..380), listed(groups)));
    let own = |now: u64, group: u64| {
        let requests = 1 + u32::from(((now + group * 37) / 1_000).is_multiple_of(2));
        (Key(KEY.0 + group), Count { requests, tokens: 0 })
    };
    let steps = (0..300).map(|step| step * 50).flat_map(|now| {
        let own = (0..used).map(|group| own(now, group)).collect();
        let event = Event::IntervalElapsed { own, has_arrivals: false };
        let actions = entry.step(at(now), event);
        let is_sent = |action: &Action| matches!(action, Action::Send(..)) && now >= 5_000;
        actions.into_iter().filter(is_sent).collect::<Vec<_>>()
    });
    steps.count()
}

/// Guards against traffic that grows with the fleet: an entry refreshes sixteen groups, once per
/// second while it has no requests, and never exceeds its rate.
#[test]
fn traffic_is_bounded() {
    let idle = sent_in_ten_seconds(600, 0);
    assert!((120..=176).contains(&idle), "{idle} sent by an idle entry");

    let busy = sent_in_ten_seconds(600, 68);
    assert!((450..=520).contains(&busy), "{busy} sent by a busy entry");
}

/// Guards against a total in use after it is outdated, against reports that show it is too low, and
/// against one that no group can have.
#[test]
fn a_recent_and_plausible_total_replaces_the_estimate() {
    let total = |requests, millis| occupancy::Total {
        others: Count { requests, tokens: 0 },
        at: at(millis),
    };
    let own = load::OwnLoad { requests: 2, upstreams: 1 };
    let average = load::Average { own, others: 20.0 };
    let mut load = load::Load::new(48);
    load.own_requests = 2;
    let estimate = load.estimate(at(1_000), average);

    load.set_total(total(30, 1_000));
    assert_eq!(load.estimate(at(1_300), average), 32.0);
    assert_eq!(load.deviation(at(1_300), average), 0.0);
    assert_eq!(load.estimate(at(1_301), average), estimate);

    let report = |running| load::Report { running, waiting: 0, slots: 48 };
    load.on_report(at(1_100), report(12), own);
    assert_eq!(load.estimate(at(1_100), average), 32.0);
    load.on_report(at(1_100), report(45), own);
    assert_eq!(load.estimate(at(1_100), average), 45.0);

    load.set_total(total(60_000, 1_100));
    assert!(load.estimate(at(1_100), average) < 100.0);
}
