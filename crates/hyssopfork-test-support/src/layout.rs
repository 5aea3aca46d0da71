//! Generation of the settings of all processes of a trial on one machine from a layout file.

use crate::ports;
use hyssopfork_settings::jsonc;
use hyssopfork_wire::fleet;
use serde::Deserialize;
use serde_json::{Value, json};
use std::{fs, io, net, path};

/// Contents of a layout file.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Layout {
    /// Zone of each control instance.
    pub control_zones: Vec<String>,
    /// Zone of each entry instance.
    pub entry_zones: Vec<String>,
    /// Model engines.
    pub engines: Pool,
    /// Plain services.
    pub services: Pool,
}

/// Upstreams of a pool.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// Name of the pool.
    pub pool: String,
    /// Prefix of the names of its instances.
    pub prefix: String,
    /// Fabric domains of its instances.
    pub domains: Vec<Domain>,
    /// Capabilities of each upstream.
    pub profile: fleet::Profile,
}

/// Instances of a fabric domain.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Domain {
    /// Zone of the domain.
    pub zone: String,
    /// Name of the domain.
    pub domain: String,
    /// Number of instances.
    pub instances: u32,
}

/// One process of the trial.
#[derive(Clone, Debug, PartialEq)]
pub struct Process {
    /// Role in the manifest.
    pub role: Role,
    /// Instance that the process runs on.
    pub instance: String,
    /// Zone of the instance.
    pub zone: String,
    /// Service address: listen address of the control role, the entry or the upstream.
    pub address: net::SocketAddr,
    /// Listen address for health checks and metrics.
    pub metrics_address: net::SocketAddr,
    /// Settings of the process.
    pub settings: Value,
}

/// Role of a process in the manifest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// A control instance.
    Control,
    /// An entry instance.
    Entry,
    /// An agent beside an engine.
    Engine,
    /// An agent beside a plain service.
    Service,
}

impl Role {
    /// Returns the name of the role in the manifest.
    pub fn as_str(self) -> &'static str {
        match self {
            Role::Control => "control",
            Role::Entry => "entry",
            Role::Engine => "engine",
            Role::Service => "service",
        }
    }
}

/// Reads a layout file.
pub fn read(path: &path::Path) -> io::Result<Layout> {
    let text = fs::read_to_string(path)?;
    let invalid_data = |text: String| io::Error::new(io::ErrorKind::InvalidData, text);
    let json = jsonc::to_json(&text).map_err(|faults| invalid_data(faults[0].to_string()))?;
    serde_json::from_str(&json).map_err(|cause| invalid_data(cause.to_string()))
}

/// Returns all processes of the layout, with free ports and with data folders under `folder`.
pub fn plan_processes(layout: &Layout, folder: &path::Path) -> io::Result<Vec<Process>> {
    let mut ports = ports::Allocator::new();
    let control = control(layout, folder, &mut ports)?;
    let addresses: Vec<net::SocketAddr> = control.iter().map(|process| process.address).collect();
    let mut processes = control;
    for (index, zone) in layout.entry_zones.iter().enumerate() {
        processes.push(entry(index, zone, &addresses, &mut ports)?);
    }
    for (role, pool) in [(Role::Engine, &layout.engines), (Role::Service, &layout.services)] {
        processes.extend(agents(role, pool, &addresses, &mut ports)?);
    }
    Ok(processes)
}

/// Writes the settings of each process and the manifest, which has one line per process with role,
/// instance, zone, address, metrics address and settings file, separated by tabs.
pub fn write(processes: &[Process], folder: &path::Path) -> io::Result<()> {
    let mut manifest = String::new();
    for process in processes {
        let file = folder.join(format!("{}.json", process.instance));
        fs::write(&file, format!("{:#}\n", process.settings))?;
        let fields = [
            process.role.as_str().to_owned(),
            process.instance.clone(),
            process.zone.clone(),
            process.address.to_string(),
            process.metrics_address.to_string(),
            file.display().to_string(),
        ];
        manifest.push_str(&fields.join("\t"));
        manifest.push('\n');
    }
    fs::write(folder.join("manifest"), manifest)
}

fn control(
    layout: &Layout,
    folder: &path::Path,
    ports: &mut ports::Allocator,
) -> io::Result<Vec<Process>> {
    let zones = layout.control_zones.iter().enumerate();
    let instances: Vec<(String, &String, net::SocketAddr)> = zones
        .map(|(index, zone)| Ok((format!("control-{}", index + 1), zone, ports.allocate()?)))
        .collect::<io::Result<_>>()?;
    let voters: Vec<Value> = instances
        .iter()
        .map(|(instance, _, address)| json!({ "instance": instance, "address": address }))
        .collect();
    let process = |(instance, zone, address): &(String, &String, net::SocketAddr)| {
        let metrics_address = ports.allocate()?;
        let settings = json!({
            "instance": instance, "zone": zone, "roles": ["control"],
            "control": {
                "listen": address, "data_folder": folder.join(format!("{instance}.data")),
                "voters": voters,
            },
            "metrics_listen": metrics_address,
        });
        Ok(Process {
            role: Role::Control,
            instance: instance.clone(),
            zone: (*zone).clone(),
            address: *address,
            metrics_address,
            settings,
        })
    };
    instances.iter().map(process).collect()
}

fn entry(
    index: usize,
    zone: &str,
    control: &[net::SocketAddr],
    ports: &mut ports::Allocator,
) -> io::Result<Process> {
    let instance = format!("entry-{}", index + 1);
    let (address, metrics_address) = (ports.allocate()?, ports.allocate()?);
    let settings = json!({
        "instance": instance, "zone": zone, "roles": ["entry"], "control_addresses": control,
        "entry": { "listen": address }, "metrics_listen": metrics_address,
    });
    Ok(Process {
        role: Role::Entry,
        instance,
        zone: zone.into(),
        address,
        metrics_address,
        settings,
    })
}

fn agents(
    role: Role,
    pool: &Pool,
    control: &[net::SocketAddr],
    ports: &mut ports::Allocator,
) -> io::Result<Vec<Process>> {
    let mut processes = Vec::new();
    for domain in &pool.domains {
        for _ in 0..domain.instances {
            let instance = format!("{}-{:02}", pool.prefix, processes.len() + 1);
            processes.push(agent(role, pool, domain, instance, control, ports)?);
        }
    }
    Ok(processes)
}

fn agent(
    role: Role,
    pool: &Pool,
    domain: &Domain,
    instance: String,
    control: &[net::SocketAddr],
    ports: &mut ports::Allocator,
) -> io::Result<Process> {
    let (address, metrics_address) = (ports.allocate()?, ports.allocate()?);
    let settings = json!({
        "instance": instance, "zone": domain.zone, "roles": ["agent"],
        "control_addresses": control,
        "agent": {
            "traffic_listen": ports.allocate()?, "peer_listen": ports.allocate()?, "pool": pool.pool,
            "domain": domain.domain, "upstream": address, "profile": pool.profile,
        },
        "metrics_listen": metrics_address,
    });
    Ok(Process { role, instance, zone: domain.zone.clone(), address, metrics_address, settings })
}
