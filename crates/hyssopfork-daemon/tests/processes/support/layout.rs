//! Addresses, folders and settings of a test's processes.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::sync::atomic::{AtomicU16, Ordering};
use std::{env, fs, process};

/// First port of a test process's first fleet; below the range of ephemeral ports.
const FIRST_PORT: u16 = 10_000;

/// Ports reserved for one fleet.
const PORTS_PER_FLEET: u16 = 100;

static FLEET_COUNT: AtomicU16 = AtomicU16::new(0);

/// Addresses and folder of one fleet.
///
/// Every test process has its own loopback address, derived from its process id, so that fleets of
/// concurrent tests never collide.
pub struct Layout {
    next_port: AtomicU16,
    /// Folder of the fleet's files.
    pub folder: PathBuf,
}

impl Layout {
    /// A layout that no other test uses.
    pub fn new() -> Layout {
        let fleet = FLEET_COUNT.fetch_add(1, Ordering::Relaxed);
        let folder = env::temp_dir().join(format!("hyssopfork-{}-{fleet}", process::id()));
        fs::create_dir_all(&folder).unwrap();
        Layout { next_port: AtomicU16::new(FIRST_PORT + fleet * PORTS_PER_FLEET), folder }
    }

    /// An unused address.
    pub fn address(&self) -> SocketAddr {
        let port = self.next_port.fetch_add(1, Ordering::Relaxed);
        SocketAddr::new(host(), port)
    }
}

impl Drop for Layout {
    fn drop(&mut self) {
        if env::var_os("HYSSOPFORK_KEEP").is_none() {
            fs::remove_dir_all(&self.folder).ok();
        }
    }
}

fn host() -> IpAddr {
    let [_, high, middle, low] = process::id().to_be_bytes();
    IpAddr::V4(Ipv4Addr::new(127, 64 | high, middle, low))
}

/// Settings of a control instance.
pub fn control_settings(
    name: &str,
    zone: &str,
    listen: SocketAddr,
    monitor: SocketAddr,
    rest: &str,
) -> String {
    format!(
        r#"{{ "instance": "{name}", "zone": "{zone}", "roles": ["control"],
              "metrics_listen": "{monitor}", "log": {{ "level": "debug" }},
              "control": {{ "listen": "{listen}", {rest} }} }}"#
    )
}

/// The `voters` list of a control section.
pub fn voters_setting(controls: &[(String, SocketAddr)]) -> String {
    let seats: Vec<String> = controls
        .iter()
        .map(|(name, address)| format!(r#"{{ "instance": "{name}", "address": "{address}" }}"#))
        .collect();
    format!(r#""voters": [{}]"#, seats.join(", "))
}

/// The list of control addresses.
pub fn address_list(controls: &[SocketAddr]) -> String {
    let quoted: Vec<String> = controls.iter().map(|address| format!("\"{address}\"")).collect();
    format!("[{}]", quoted.join(", "))
}
