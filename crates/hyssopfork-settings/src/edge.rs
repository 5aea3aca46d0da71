//! Settings of an edge process: entry and control of a fleet whose upstreams register themselves.

use crate::{error, log, section, settings};
use hyssopfork_wire::name;
use std::time::Duration;
use std::{fs, net, path};

/// The settings.
#[derive(Clone, Debug, PartialEq)]
pub struct Edge {
    /// Instance that the process stands on.
    pub instance: name::Instance,
    /// Availability zone of the instance.
    pub zone: name::Zone,
    /// Where callers connect (HTTP).
    pub callers_listen: net::SocketAddr,
    /// Where the balancer asks whether the process takes new connections (HTTP).
    pub readiness_listen: net::SocketAddr,
    /// Where operators and upstreams call (HTTP). The port is the same on every instance.
    pub control_listen: net::SocketAddr,
    /// First of the ports for calls between processes: it takes them (tarpc).
    pub peer_port: u16,
    /// Port of the metrics (HTTP).
    pub metrics_port: u16,
    /// Control addresses of the first peers; the first of them names the folder that forms the log.
    pub seeds: Vec<net::SocketAddr>,
    /// Whether the system starts for the first time, with blank folders everywhere.
    pub first_start: bool,
    /// Folder of the journal; `None` where the instance has no disk.
    pub data_folder: Option<path::PathBuf>,
    /// Instances with a folder whose loss at the same time is to be borne.
    pub tolerated_losses: u32,
    /// Time between heartbeats of an upstream.
    pub heartbeat_interval: Duration,
    /// Time that a process has from the request to stop until it is ended.
    pub grace_period: Duration,
    /// Sends beyond a request's first for each request, over all processes.
    pub retry_ratio: f64,
    /// Sends beyond a request's first in a window besides, over all processes.
    pub retry_extra: f64,
    /// The window.
    pub retry_window: Duration,
    /// How the process logs.
    pub log: log::Log,
}

impl Edge {
    /// Where this process takes peers' calls.
    pub fn peer_address(&self) -> net::SocketAddr {
        net::SocketAddr::new(self.control_listen.ip(), self.peer_port)
    }

    /// Where the seeds take peers' calls: the ports are the same on every instance.
    pub fn peer_seeds(&self) -> Vec<net::SocketAddr> {
        let peer = |seed: &net::SocketAddr| net::SocketAddr::new(seed.ip(), self.peer_port);
        self.seeds.iter().map(peer).collect()
    }
}

/// Default of `heartbeat_ms`: often enough that a silent upstream shows within seconds.
const DEFAULT_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_200);
/// Default of `grace_seconds`: longer than most answers.
const DEFAULT_GRACE_PERIOD: Duration = Duration::from_secs(8);
/// Default of `retry_ratio`: load grows by a fifth at most.
const DEFAULT_RETRY_RATIO: f64 = 0.2;
/// Default of `retry_extra`: the work of a few upstreams that are lost together.
const DEFAULT_RETRY_EXTRA: f64 = 100.0;
/// Default of `retry_window_seconds`.
const DEFAULT_RETRY_WINDOW: Duration = Duration::from_secs(10);
/// Longest time that settings may name, in milliseconds.
const MAX_DURATION_MS: u64 = 3_600_000;
/// Longest time that settings may name, in seconds.
const MAX_DURATION_SECONDS: f64 = 3_600.0;

/// Reads the settings file at `path`; also gives its text.
pub fn read(path: &path::Path) -> Result<(Edge, String), error::Error> {
    let text = fs::read_to_string(path)
        .map_err(|cause| error::Error::Unreadable(path.to_owned(), cause))?;
    Ok((parse(&text)?, text))
}

/// Reads settings from a text; every fault is in the error.
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
    let metrics_port = section.required_number("metrics_port", 0..=65_535);
    let seeds = section.addresses("seeds");
    let first_start = section.boolean("first_start");
    let data_folder = section.text("data_folder").filter(|folder| !folder.is_empty());
    let tolerated_losses = section.number("tolerated_losses", 1, 0..=6) as u32;
    let heartbeat_interval =
        section.millis("heartbeat_ms", DEFAULT_HEARTBEAT_INTERVAL, 10..=MAX_DURATION_MS);
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
        metrics_port: metrics_port as u16,
        seeds: seeds?,
        first_start,
        data_folder: data_folder.map(path::PathBuf::from),
        tolerated_losses,
        heartbeat_interval,
        grace_period,
        retry_ratio,
        retry_extra,
        retry_window,
        log,
    })
}
