//! Decisions of entries that share their counts, compared with entries that don't.
//!
//! A simulated group runs requests for a second each and queues those beyond its slots. Datagrams
//! between entries take a millisecond.

use crate::fixture::{self, Entry, arrival};
use hyssopfork_fleet::view;
use hyssopfork_gateway::{action, event, load, occupancy};
use hyssopfork_wire::name;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// Duration of a simulation.
const SIMULATED_MS: u64 = 20_000;

const ENTRIES: usize = 17;
const GROUPS: u8 = 9;
/// Slots of a group.
const SLOTS: u32 = 48;
/// Time that a request runs: between half and one and a half of this.
const MEAN_RUN_MS: u64 = 4_000;
/// Time from the start to the first event.
const FIRST_EVENT_MS: u64 = 100;
/// Objective of the fixture's route.
const OBJECTIVE_MS: u64 = 300;
/// Age of the state in a load report.
const REPORT_DELAY_MS: u64 = 300;

/// A request: the index of the entry that sent it, its number there, and when it arrived.
#[derive(Clone, Copy)]
struct Sent {
    entry: usize,
    number: u64,
    at: u64,
    /// Time that it runs.
    run_ms: u64,
}

#[derive(Default)]
struct Group {
    running: Vec<(Sent, u64)>,
    waiting: VecDeque<Sent>,
    /// Reports of the last milliseconds, the oldest first.
    reports: VecDeque<load::Report>,
}

impl Group {
    fn has_room(&self) -> bool {
        self.running.len() + self.waiting.len() < SLOTS as usize
    }
}

/// Results as the clients and groups see them.
#[derive(Debug, Default, PartialEq, Eq)]
struct Outcome {
    on_time: u32,
    late: u32,
    rejected: u32,
    /// Requests that were sent to a full group while another one had room.
    misplaced: u32,
    /// Requests that were rejected while a group had room.
    rejected_with_room: u32,
}

/// Channel between the entries.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Channel {
    Disabled,
    /// Every message is lost.
    Silent,
    Working,
}

/// Sends `per_second` requests at random times to random entries for 20 s.
fn simulate(channel: Channel, per_second: f64, seed: u64) -> Outcome {
    let mut entries: Vec<Entry> = (0..ENTRIES as u32)
        .map(|number| start_entry(number, channel != Channel::Disabled))
        .collect();
    let named = |number: u8| fixture::instance(&format!("e{}", char::from(b'A' + number)));
    let mut groups: BTreeMap<name::Instance, Group> =
        (0..GROUPS).map(|number| (named(number), Group::default())).collect();
    let mut random = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
    let mut outcome = Outcome::default();
    for now in 0..SIMULATED_MS {
        exchange_counts(&mut entries, now, channel == Channel::Working);
        for group in groups.values_mut() {
            advance(group, &mut entries, now, &mut outcome);
        }
        if !random.random_bool(per_second / 1_000.0) {
            continue;
        }
        let entry = random.random_range(0..ENTRIES);
        let run_ms = random.random_range(MEAN_RUN_MS / 2..MEAN_RUN_MS * 3 / 2);
        let (number, decision) = entries[entry].arrive(arrival("stream"));
        let has_room = groups.values().any(Group::has_room);
        match decision {
            action::Decision::Start(start) => {
                let group = groups.get_mut(&start.instance).expect("the group exists");
                outcome.misplaced += u32::from(!group.has_room() && has_room);
                group.waiting.push_back(Sent { entry, number, at: now, run_ms });
            }
            _ => {
                outcome.rejected += 1;
                outcome.rejected_with_room += u32::from(has_room);
            }
        }
    }
    outcome
}

fn start_entry(number: u32, shares_load: bool) -> Entry {
    let mut entry = Entry::numbered(number);
    if shares_load {
        entry.core.share_load(1);
    }
    let mut declaration = fixture::declaration();
    let engines = declaration.pools.get_mut(&name::Pool::from("engines"));
    let engine = engines.and_then(|pool| pool.engine.as_mut()).expect("the pool has engines");
    engine.slots = SLOTS;
    let entries = fixture::entries(ENTRIES as u32);
    let update = view::Update { entries, ..fixture::view_of_groups(GROUPS) };
    entry.step(event::Event::ViewUpdated(Box::new(update), Some(Arc::new(declaration))));
    entry
}

/// Delivers the messages of the last millisecond, and lets each entry step at its own time.
fn exchange_counts(entries: &mut [Entry], now: u64, delivers: bool) {
    let interval = occupancy::INTERVAL.as_millis() as u64;
    for index in 0..entries.len() {
        for (to, message) in std::mem::take(&mut entries[index].counts) {
            let from = fixture::entry_address(index as u32);
            let recipient = (0..ENTRIES as u32).find(|it| fixture::entry_address(*it) == to);
            let recipient = recipient.expect("the entry exists") as usize;
            if !delivers {
                continue;
            }
            entries[recipient].step(event::Event::CountsReceived(from, message));
        }
        entries[index].advance(1);
        if (now + 3 * index as u64).is_multiple_of(interval) {
            entries[index].step(event::Event::SharingInterval);
        }
    }
}

fn advance(group: &mut Group, entries: &mut [Entry], now: u64, outcome: &mut Outcome) {
    for (sent, _) in group.running.extract_if(.., |(sent, at)| *at + sent.run_ms <= now) {
        entries[sent.entry].step(event::Event::StreamCompleted(sent.number));
    }
    while group.running.len() < SLOTS as usize {
        let Some(sent) = group.waiting.pop_front() else { break };
        group.running.push((sent, now));
    }
    let (running, waiting) = (group.running.len() as u32, group.waiting.len() as u32);
    group.reports.push_back(load::Report { running, waiting, slots: SLOTS });
    if group.reports.len() as u64 > REPORT_DELAY_MS {
        group.reports.pop_front();
    }
    let begun = group.running.iter().filter(|(_, at)| *at + FIRST_EVENT_MS == now);
    for (sent, _) in begun {
        let head = event::Head { load: group.reports.front().copied(), ..event::Head::new(200) };
        entries[sent.entry].step(event::Event::HeadReceived(sent.number, head));
        let is_on_time = now - sent.at <= OBJECTIVE_MS;
        *(if is_on_time { &mut outcome.on_time } else { &mut outcome.late }) += 1;
    }
}

/// Seventeen entries and nine groups of 48 slots, of which 88 % are in use on average: 95 requests
/// per second that run for four seconds each.
///
/// Guards against entries that send to a full group while another one has room, because the
/// requests of the other entries are only estimated.
#[test]
fn exact_counts_fill_the_groups_evenly() {
    let mut estimated = [0; 3];
    let mut exact = [0; 3];
    for seed in 0..4 {
        for (channel, sums) in [(Channel::Disabled, &mut estimated), (Channel::Working, &mut exact)]
        {
            let outcome = simulate(channel, 95.0, seed);
            assert!(outcome.on_time > 1_500, "{outcome:?}");
            let counts =
                [outcome.misplaced, outcome.late + outcome.rejected, outcome.rejected_with_room];
            sums.iter_mut().zip(counts).for_each(|(sum, count)| *sum += count);
        }
    }

    assert!(exact[0] * 2 < estimated[0], "misplaced: {exact:?}, {estimated:?}");
    assert!(exact[1] * 3 < estimated[1], "not on time: {exact:?}, {estimated:?}");
    assert_eq!(exact[2], 0, "rejected with room: {exact:?}, {estimated:?}");
}

/// Guards against decisions by totals that are too low because no counts arrive.
#[test]
fn a_silent_channel_changes_no_decision() {
    let disabled = simulate(Channel::Disabled, 105.0, 1);

    assert_eq!(simulate(Channel::Silent, 105.0, 1), disabled);
}

/// One entry fills all groups, and another one rejects its requests for longer than the time after
/// which an entry without requests sends fewer updates.
///
/// Guards against taking an entry that rejects all requests for one without requests: it would lose
/// its exact counts and send requests to the full groups.
#[test]
fn an_entry_that_rejects_all_requests_keeps_exact_counts() {
    let mut entries: Vec<Entry> =
        (0..ENTRIES as u32).map(|number| start_entry(number, true)).collect();
    let run = |entries: &mut Vec<Entry>, begin: u64, end: u64| {
        (begin..end).for_each(|now| exchange_counts(entries, now, true));
    };
    run(&mut entries, 0, 600);
    let mut filled = 0;
    for now in 600..2_600 {
        run(&mut entries, now, now + 1);
        filled += u32::from(entries[0].is_sent("stream"));
    }

    let mut sent = Vec::new();
    for now in (2_600..10_000).step_by(100) {
        run(&mut entries, now, now + 100);
        let (number, decision) = entries[1].arrive(arrival("stream"));
        entries[1].step(event::Event::ClientDisconnected(number));
        sent.extend(matches!(decision, action::Decision::Start(_)).then_some(now));
    }

    assert!(filled >= u32::from(GROUPS) * SLOTS, "{filled}");
    // The first request after a pause without requests finds no recent counts.
    assert!(sent.iter().all(|now| *now < 3_000), "sent at {sent:?}");
}
