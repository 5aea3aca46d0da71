//! The `control` section.

use crate::section;
use hyssopfork_wire::name;
use std::collections::BTreeSet;
use std::{net, path};

/// A control instance that votes when the system is first started.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Voter {
    /// Instance's name.
    pub instance: name::Instance,
    /// Where its control role listens.
    pub address: net::SocketAddr,
}

/// The section.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Control {
    /// Where other processes and operators call (tarpc).
    pub listen: net::SocketAddr,
    /// Folder of the journal and snapshots; one process at a time.
    pub data_folder: path::PathBuf,
    /// The control instances, this one among them.
    ///
    /// Invariant: no instance and no address stands twice; an odd number of them.
    pub voters: Vec<Voter>,
}

/// Most control instances that may be set aside.
const MAX_VOTERS: usize = 13;

/// Reads the section of the instance called `instance`.
pub fn read(section: section::Section<'_>, instance: Option<&str>) -> Option<Control> {
    let listen = section.address("listen");
    let data_folder = section.text("data_folder").map(path::PathBuf::from);
    let voters = read_voters(&section);
    if let (Some(voters), Some(instance)) = (&voters, instance) {
        check_voters(&section, voters, instance);
    }
    section.finish();
    Some(Control { listen: listen?, data_folder: data_folder?, voters: voters? })
}

fn read_voters(section: &section::Section<'_>) -> Option<Vec<Voter>> {
    let entries = section.sections("voters")?;
    let voters: Vec<Option<Voter>> = entries.into_iter().map(read_voter).collect();
    voters.into_iter().collect()
}

fn read_voter(section: section::Section<'_>) -> Option<Voter> {
    let instance = section.name("instance").map(name::Instance::from);
    let address = section.reachable_address("address");
    section.finish();
    Some(Voter { instance: instance?, address: address? })
}

fn check_voters(section: &section::Section<'_>, voters: &[Voter], instance: &str) {
    if voters.len().is_multiple_of(2) || voters.len() > MAX_VOTERS {
        let message = format!(
            "\"control.voters\" names {}; name an odd number up to {MAX_VOTERS}, since an even \
             one bears no more losses than the odd one below it",
            voters.len()
        );
        section.report_fault("voters", message);
    }
    let names: BTreeSet<&str> = voters.iter().map(|voter| voter.instance.as_str()).collect();
    let addresses: BTreeSet<net::SocketAddr> = voters.iter().map(|voter| voter.address).collect();
    if names.len() < voters.len() || addresses.len() < voters.len() {
        let message = "\"control.voters\" names an instance or address twice; name each once";
        section.report_fault("voters", message);
    }
    if !names.contains(instance) {
        let message = format!("\"control.voters\" lacks this instance, {instance}; add it");
        section.report_fault("voters", message);
    }
}
