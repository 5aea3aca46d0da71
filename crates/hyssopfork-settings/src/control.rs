//! Settings of the control role: the `control` section.

use crate::section;
use hyssopfork_wire::name;
use std::collections::BTreeSet;
use std::{net, path};

/// A voter of the replicated log's first membership.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Voter {
    /// Name of the instance.
    pub instance: name::Instance,
    /// Listen address of its control role.
    pub address: net::SocketAddr,
}

/// The `control` section.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Control {
    /// Listen address for other processes and operators (tarpc).
    pub listen: net::SocketAddr,
    /// Folder of the journal and snapshots; only one process may use it at a time.
    pub data_folder: path::PathBuf,
    /// All control instances, including this one.
    ///
    /// Invariant: instances and addresses are unique, and the number of voters is odd.
    pub voters: Vec<Voter>,
}

/// Maximum number of voters.
const MAX_VOTERS: usize = 13;

/// Reads the `control` section of the instance named `instance`.
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
            "\"control.voters\" has {} entries; use an odd number up to {MAX_VOTERS}, since an \
             even number tolerates no more failures than the next lower odd number",
            voters.len()
        );
        section.report_fault("voters", message);
    }
    let names: BTreeSet<&str> = voters.iter().map(|voter| voter.instance.as_str()).collect();
    let addresses: BTreeSet<net::SocketAddr> = voters.iter().map(|voter| voter.address).collect();
    if names.len() < voters.len() || addresses.len() < voters.len() {
        let message = "\"control.voters\" has a duplicate instance or address; list each once";
        section.report_fault("voters", message);
    }
    if !names.contains(instance) {
        let message = format!("\"control.voters\" doesn't list this instance, {instance}; add it");
        section.report_fault("voters", message);
    }
}
