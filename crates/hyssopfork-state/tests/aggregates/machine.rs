//! The state machine as a whole, under generated commands.

use crate::fixture;
use hyssopfork_state::{command, machine, view};
use hyssopfork_wire::{change, claim, name, number, patch};
use proptest::prelude::*;
use std::time::Duration;

fn instance() -> impl Strategy<Value = name::Instance> {
    (1..7u8).prop_map(|count| name::Instance::new(format!("e{count}")))
}

fn operation() -> impl Strategy<Value = patch::Operation> {
    prop_oneof![
        any::<bool>().prop_map(|out| patch::Operation::SetZoneOut("zone-a".into(), out)),
        (1..4u32).prop_map(|size| patch::Operation::PutGroup("g1".into(), fixture::group(size))),
        (1..3u32).prop_map(|size| patch::Operation::PutGroup("g2".into(), fixture::group(size))),
        Just(patch::Operation::RemoveGroup("g2".into())),
        (instance(), any::<bool>())
            .prop_map(|(name, drained)| patch::Operation::SetDrained(name, drained)),
        Just(fixture::declare().remove(0)),
    ]
}

fn submit() -> impl Strategy<Value = command::Command> {
    (0..20u8, 0..12u64, prop::collection::vec(operation(), 1..3)).prop_map(
        |(identifier, base, operations)| {
            command::Command::Submit(patch::Patch {
                identifier: patch::Identifier(format!("p{identifier}")),
                base: number::Configuration(base),
                author: "desk".into(),
                operations,
            })
        },
    )
}

fn place() -> impl Strategy<Value = command::Command> {
    let group = prop_oneof![Just("g1"), Just("g2")];
    let replaces = prop::option::of((1..8u64).prop_map(number::Fence));
    (group, prop::collection::vec(instance(), 1..3), replaces).prop_map(
        |(group, members, replaces)| command::Command::Place {
            group: group.into(),
            members,
            replaces,
        },
    )
}

fn presence() -> impl Strategy<Value = command::Command> {
    let domain = prop_oneof![Just("a1"), Just("b1")];
    prop_oneof![
        (instance(), domain, 1..4u64).prop_map(|(name, domain, boot)| {
            let announcement = fixture::engine(name.as_str(), domain, boot);
            command::Command::Announce(Box::new(announcement))
        }),
        (instance(), 1..4u64)
            .prop_map(|(instance, boot)| command::Command::Absent { instance, boot }),
        (instance(), 1..4u64)
            .prop_map(|(instance, boot)| command::Command::Leaving { instance, boot }),
        instance().prop_map(command::Command::Forget),
    ]
}

fn work() -> impl Strategy<Value = command::Command> {
    let outcome = prop_oneof![Just(claim::Outcome::NotRun), Just(claim::Outcome::Unknown)];
    prop_oneof![
        (0..3u8, 0..6u64).prop_map(|(key, attempt)| {
            command::Command::Claim(fixture::claim(&format!("k{key}"), key, attempt))
        }),
        (0..3u8, 0..6u64, outcome).prop_map(|(key, attempt, outcome)| {
            let key = fixture::key(&format!("k{key}"));
            command::Command::Record { key, attempt: fixture::identifier(attempt), outcome }
        }),
        Just(command::Command::Elapsed(Duration::from_secs(10))),
    ]
}

fn commands() -> impl Strategy<Value = Vec<command::Command>> {
    let any = prop_oneof![submit(), place(), place(), presence(), work()];
    prop::collection::vec(any, 1..120)
}

proptest! {
    // The machine asserts every placement invariant as it applies commands. A watcher that applies
    // the steps, and an instance that restarts from a snapshot at any point, must reach the same
    // state as one that applied all commands.
    #[test]
    fn replay_snapshots_and_steps_reach_the_same_state(
        commands in commands(),
        restore_at in 0..120usize,
    ) {
        let mut whole = fixture::declared();
        let mut restored = fixture::declared();
        let mut watched = whole.view().clone();

        for (count, command) in commands.iter().enumerate() {
            if count == restore_at {
                restored.machine = machine::Machine::decode(&whole.machine.encode())
                    .expect("own snapshot");
            }
            let applied = whole.apply(command);
            prop_assert_eq!(&restored.apply(command), &applied);
            if !applied.changes.is_empty() {
                let version = whole.view().version;
                prop_assert!(version > watched.version);
                let step = change::Step { version, changes: applied.changes };
                view::apply_step(&mut watched, &step);
            }
        }

        prop_assert_eq!(&watched, whole.view());
        prop_assert_eq!(&restored.machine, &whole.machine);
        prop_assert_eq!(restored.machine.encode(), whole.machine.encode());
    }
}

#[test]
fn commands_round_trip_and_other_encodings_are_rejected() {
    let command = command::Command::Claim(fixture::claim("k", 1, 1));

    let mut bytes = command::encode(&command);
    let decoded = command::decode(&bytes);
    bytes[0] = 9;

    assert_eq!(decoded, Ok(command));
    assert_eq!(command::decode(&bytes), Err(command::Error::Version(9)));
    assert!(matches!(command::decode(&[1, 2]), Err(command::Error::Malformed(_))));
}

#[test]
fn truncated_snapshots_and_those_of_another_format_are_rejected() {
    let mut bytes = fixture::declared().machine.encode();

    let cut = machine::Machine::decode(&bytes[..bytes.len() - 1]);
    bytes[0] = 9;
    let other = machine::Machine::decode(&bytes);

    assert!(matches!(cut, Err(machine::Error::Malformed(_))));
    assert_eq!(other, Err(machine::Error::Format(9)));
}

#[test]
#[should_panic(expected = "entry 1 was applied before")]
fn an_entry_is_never_applied_twice() {
    let mut log = fixture::Log::new();
    log.submit("p1", fixture::declare());
    log.index = number::Index(0);

    log.submit("p2", fixture::declare());
}
