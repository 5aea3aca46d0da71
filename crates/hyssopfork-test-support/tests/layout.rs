//! The layouts of the shipped examples give valid settings that match the declarations.

use hyssopfork_settings::{jsonc, settings};
use hyssopfork_test_support::layout;
use hyssopfork_wire::{configuration, name};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

const EXAMPLES: [&str; 2] = ["levy-reporting", "sports-day"];

fn folder(example: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples").join(example)
}

fn processes(example: &str) -> Vec<layout::Process> {
    let layout = layout::read(&folder(example).join("layout.json")).expect("a layout");
    layout::plan_processes(&layout, Path::new("/tmp/trial")).expect("free ports")
}

fn declaration(example: &str) -> configuration::Configuration {
    let text = std::fs::read_to_string(folder(example).join("fleet.json")).expect("a declaration");
    let json = jsonc::to_json(&text).expect("JSON with comments");
    serde_json::from_str(&json).expect("a configuration")
}

#[test]
fn settings_of_every_process_are_valid() {
    for process in EXAMPLES.into_iter().flat_map(processes) {
        let read = settings::parse(&process.settings.to_string());

        let read = read.unwrap_or_else(|error| panic!("{}: {error}", process.instance));
        assert_eq!(read.instance.as_str(), process.instance);
        assert_eq!(read.zone.as_str(), process.zone);
    }
}

#[test]
fn addresses_are_unique() {
    let processes = processes("levy-reporting");

    let addresses = processes.iter().flat_map(|process| [process.address, process.metrics_address]);
    let unique: BTreeSet<SocketAddr> = addresses.collect();

    assert_eq!(unique.len(), processes.len() * 2);
}

#[test]
fn declarations_contain_the_zones_and_pools_of_the_layouts() {
    for example in EXAMPLES {
        let declared = declaration(example);
        for process in processes(example) {
            let zone = name::Zone::new(process.zone.clone());
            assert!(declared.zones.contains_key(&zone), "{example}: {zone}");
            let pool = process.settings["agent"]["pool"].as_str().map(name::Pool::from);
            assert!(pool.is_none_or(|pool| declared.pools.contains_key(&pool)), "{example}");
        }
    }
}

#[test]
fn examples_have_the_expected_sizes() {
    for example in EXAMPLES {
        let processes = processes(example);
        let count = |role| processes.iter().filter(|process| process.role == role).count();

        assert_eq!(count(layout::Role::Engine), 30);
        assert_eq!(count(layout::Role::Service), 3);
        assert_eq!(count(layout::Role::Control), 3);
        let declared = declaration(example);
        assert_eq!(declared.zones.len(), 3);
        assert_eq!(declared.teams.len(), 10);
        assert!(declared.groups.values().all(|group| group.size == 2));
    }
}
