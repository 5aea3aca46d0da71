//! Settings of an edge process, which runs the gateway and the control role of a fleet whose
//! upstreams register themselves.

use crate::{error, log, section, settings};
use hyssopfork_wire::name;
use std::time::Duration;
use std::{fs, net, path};

/// Settings of one edge process.
#[derive(Clone, Debug, PartialEq)]
pub struct Edge {
    /// Instance that the process runs on.
    pub instance: name::Instance,
    /// Availability zone of the instance.
    pub zone: name::Zone,
    /// Listen address for clients (HTTP).
    pub callers_listen: net::SocketAddr,
    /// Listen address for the readiness checks of the load balancer (HTTP).
    pub readiness_listen: net::SocketAddr,
    /// Listen address for operators and upstreams (HTTP). The port is the same on every instance.
    pub control_listen: net::SocketAddr,
    /// Listen port for peers (tarpc); the first of the ports that are reserved for peer traffic.
    pub peer_port: u16,
    /// Whether the entries share their counts of requests at each group, by datagrams on the port
    /// after `peer_port`.
    pub share_load: bool,
    /// Listen port for the metrics (HTTP).
    pub metrics_port: u16,
    /// Control addresses of the peers to contact first; on the first start, the first seed selects
    /// the data folder that forms the replicated log.
    pub seeds: Vec<net::SocketAddr>,
    /// Whether this is the first start of the system, with empty data folders on all instances.
    pub first_start: bool,
    /// Folder of the journal; `None` if the instance has no disk.
    pub data_folder: Option<path::PathBuf>,
    /// Number of instances with a data folder that may be lost at the same time.
    pub tolerated_losses: u32,
    /// Bandwidth of the instance's network link, in Mbit/s.
    pub link_mbps: f64,
    /// Memory of the instance, in MB. What the process holds for clients and upstreams is limited
    /// to a part of it.
    pub memory_mb: f64,
    /// File descriptors that the process may have open. Clients' connections are kept open between
    /// requests while they take less than half of them.
    pub file_descriptors: u64,
    /// Interval between heartbeats of an upstream.
    pub heartbeat_interval: Duration,
    /// Time after which the platform breaks a group whose member doesn't answer.
    pub stall_timeout: Duration,
    /// Time from the request to stop until the process is killed.
    pub grace_period: Duration,
    /// Retry budget: retries allowed per request, over all processes.
    pub retry_ratio: f64,
    /// Retry budget: retries allowed per `retry_window` in addition, over all processes.
    pub retry_extra: f64,
    /// Window of the retry budget.
    pub retry_window: Duration,
    /// Logging.
    pub log: log::Log,
}

impl Edge {
    /// Returns the listen address for peers.
    pub fn peer_address(&self) -> net::SocketAddr {
        net::SocketAddr::new(self.control_listen.ip(), self.peer_port)
    }

    /// Returns the address for counts of other entries; `None` if they are not shared.
    pub fn shared_load_address(&self) -> Option<net::SocketAddr> {
        let port = self.peer_port.checked_add(1).filter(|_| self.share_load);
        port.map(|port| net::SocketAddr::new(self.control_listen.ip(), port))
    }

    /// Returns the bytes per second that the link transmits.
    pub fn link_rate(&self) -> u64 {
        (self.link_mbps * 1_000_000.0 / 8.0) as u64
    }

    /// Returns the peer addresses of the seeds; the peer port is the same on every instance.
    pub fn peer_seeds(&self) -> Vec<net::SocketAddr> {
        let peer = |seed: &net::SocketAddr| net::SocketAddr::new(seed.ip(), self.peer_port);
        self.seeds.iter().map(peer).collect()
    }
}

/// Default of `link_mbps`; a slow link, so that updates don't fill one that is not declared.
const DEFAULT_LINK_MBPS: f64 = 100.0;
/// Default of `memory_mb`; a small instance.
const DEFAULT_MEMORY_MB: f64 = 256.0;
/// Default of `file_descriptors`; the usual limit of a process.
const DEFAULT_FILE_DESCRIPTORS: u64 = 1_024;
/// Default of `heartbeat_ms`; short enough that a silent upstream is noticed within seconds.
const DEFAULT_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_200);
/// Default of `stall_timeout_ms`; longer than a sound upstream is silent.
const DEFAULT_STALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Default of `grace_seconds`; longer than most responses take.
const DEFAULT_GRACE_PERIOD: Duration = Duration::from_secs(8);
/// Default of `retry_ratio`; retries add at most a fifth to the load.
const DEFAULT_RETRY_RATIO: f64 = 0.2;
/// Default of `retry_extra`; covers the requests of a few upstreams that are lost together.
const DEFAULT_RETRY_EXTRA: f64 = 100.0;
/// Default of `retry_window_seconds`.
const DEFAULT_RETRY_WINDOW: Duration = Duration::from_secs(10);
/// Maximum of durations in milliseconds.
const MAX_DURATION_MS: u64 = 3_600_000;
/// Maximum of durations in seconds.
const MAX_DURATION_SECONDS: f64 = 3_600.0;

/// Reads the settings file at `path`; also returns its text.
pub fn read(path: &path::Path) -> Result<(Edge, String), error::Error> {
    let text = fs::read_to_string(path)
        .map_err(|cause| error::Error::Unreadable(path.to_owned(), cause))?;
    Ok((parse(&text)?, text))
}

/// Parses the text of a settings file; the error contains every fault.
pub fn parse(text: &str) -> Result<Edge, error::Error> {
    settings::parse_with(text, read_root)
}

fn read_root(section: section::Section<'_>) -> Option<Edge> {
    let instance = section.text("instance").map(name::Instance::from);
    let zone = section.text("zone").map(name::Zone::from);
    let callers_listen = section.address("callers_listen");
    let readiness_listen = section.address("readiness_listen");
    let control_listen = section.reachable_address("control_listen");
    let peer_port = section.required_number("peer_port", 1..=65_535);
    let share_load = section.boolean("share_load");
    if share_load && peer_port == u64::from(u16::MAX) {
        section.report_fault(
            "share_load",
            "the port after peer_port is used: choose a lower peer_port",
        );
    }
    let metrics_port = section.required_number("metrics_port", 0..=65_535);
    let seeds = section.addresses("seeds");
    let first_start = section.boolean("first_start");
    let data_folder = section.text("data_folder").filter(|folder| !folder.is_empty());
    let tolerated_losses = section.number("tolerated_losses", 1, 0..=6) as u32;
    let link_mbps = section.decimal("link_mbps", DEFAULT_LINK_MBPS, 0.1..=1_000_000.0);
    let memory_mb = section.decimal("memory_mb", DEFAULT_MEMORY_MB, 32.0..=1_000_000.0);
    let file_descriptors =
        section.number("file_descriptors", DEFAULT_FILE_DESCRIPTORS, 64..=1 << 32);
    let heartbeat_interval =
        section.millis("heartbeat_ms", DEFAULT_HEARTBEAT_INTERVAL, 10..=MAX_DURATION_MS);
    let stall_timeout =
        section.millis("stall_timeout_ms", DEFAULT_STALL_TIMEOUT, 10..=MAX_DURATION_MS);
    let grace_period =
        section.seconds("grace_seconds", DEFAULT_GRACE_PERIOD, 0.1..=MAX_DURATION_SECONDS);
    let retry_ratio = section.decimal("retry_ratio", DEFAULT_RETRY_RATIO, 0.0..=10.0);
    let retry_extra = section.decimal("retry_extra", DEFAULT_RETRY_EXTRA, 0.0..=1_000_000.0);
    let retry_window =
        section.seconds("retry_window_seconds", DEFAULT_RETRY_WINDOW, 0.1..=MAX_DURATION_SECONDS);
    let log = section.section("log").map(log::read).unwrap_or_default();
    section.finish();
    Some(Edge {
        instance: instance?,
        zone: zone?,
        callers_listen: callers_listen?,
        readiness_listen: readiness_listen?,
        control_listen: control_listen?,
        peer_port: peer_port as u16,
        share_load,
        metrics_port: metrics_port as u16,
        seeds: seeds?,
        first_start,
        data_folder: data_folder.map(path::PathBuf::from),
        tolerated_losses,
        link_mbps,
        memory_mb,
        file_descriptors,
        heartbeat_interval,
        stall_timeout,
        grace_period,
        retry_ratio,
        retry_extra,
        retry_window,
        log,
    })
}
