//! Edge processes of a small deployment, each on its own loopback address.

use crate::http;
use rustix::process::{Pid, Signal};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};
use std::{env, fs, thread};

/// Zones of the deployment.
pub const ZONES: [&str; 3] = ["ikeja", "lekki", "apapa"];

/// Ports, the same at each address.
#[derive(Clone, Copy)]
struct Ports {
    callers: u16,
    readiness: u16,
    control: u16,
    peer: u16,
    metrics: u16,
}

pub struct Node {
    child: Option<Child>,
    pub folder: PathBuf,
    zone: usize,
    /// Whether its machine was removed for good.
    pub is_removed: bool,
}

pub struct Fleet {
    ports: Ports,
    pub nodes: Vec<Node>,
    folder: PathBuf,
}

fn ip(index: usize) -> Ipv4Addr {
    // Deployments that run at the same time use other addresses.
    let number = std::process::id();
    Ipv4Addr::new(127, 1 + (number >> 8) as u8 % 200, number as u8, 11 + index as u8)
}

/// Different ports, each free at all addresses of the fleet and of one machine that is added.
fn free_ports(nodes: usize) -> [u16; 5] {
    // Kept until all are chosen, so that no port is chosen twice.
    let mut listeners = Vec::new();
    let mut free_port = || loop {
        let first = TcpListener::bind((ip(0), 0)).expect("a loopback address");
        let port = first.local_addr().expect("bound").port();
        let is_free = (1..=nodes).all(|index| TcpListener::bind((ip(index), port)).is_ok());
        listeners.push(first);
        if is_free {
            return port;
        }
    };
    [(); 5].map(|()| free_port())
}

impl Fleet {
    /// Starts `count` processes with a data folder, and waits until they serve the operator.
    pub fn start(count: usize) -> Fleet {
        let folder = env::temp_dir().join(format!("harness-2-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let [callers, readiness, control, peer, metrics] = free_ports(count);
        let ports = Ports { callers, readiness, control, peer, metrics };
        let nodes = (0..count).map(|index| Node {
            child: None,
            folder: folder.join(format!("edge-{index}")),
            zone: index % ZONES.len(),
            is_removed: false,
        });
        let mut fleet = Fleet { ports, nodes: nodes.collect(), folder };
        for index in 0..count {
            fleet.start_node(index, true);
        }
        fleet
    }

    /// Processes whose machines were not removed.
    pub fn present(&self) -> impl Iterator<Item = usize> {
        (0..self.nodes.len()).filter(|index| !self.nodes[*index].is_removed)
    }

    /// Adds a machine with an empty disk in the zone of another one, and starts its process.
    pub fn add_successor(&mut self, neighbour: usize) -> usize {
        let index = self.nodes.len();
        self.nodes.push(Node {
            child: None,
            folder: self.folder.join(format!("edge-{index}")),
            zone: self.nodes[neighbour].zone,
            is_removed: false,
        });
        self.start_node(index, false);
        index
    }

    pub fn callers(&self, index: usize) -> SocketAddr {
        (ip(index), self.ports.callers).into()
    }

    pub fn readiness(&self, index: usize) -> SocketAddr {
        (ip(index), self.ports.readiness).into()
    }

    pub fn control(&self, index: usize) -> SocketAddr {
        (ip(index), self.ports.control).into()
    }

    /// Starts a process with the command of the deploy file and settings like its template.
    pub fn start_node(&mut self, index: usize, first_start: bool) {
        let seeds: Vec<String> =
            self.present().take(3).map(|it| format!("\"{}\"", self.control(it))).collect();
        let data = self.nodes[index].folder.join("data");
        fs::create_dir_all(&data).expect("a data folder");
        let settings = format!(
            r#"{{ "instance": "edge-{}-1", "zone": "{}", "callers_listen": "{}",
  "readiness_listen": "{}", "control_listen": "{}", "peer_port": {}, "share_load": false,
  "metrics_port": {}, "seeds": [{}], "first_start": {first_start}, "data_folder": "{}",
  "tolerated_losses": 1, "link_mbps": 1000.0, "memory_mb": 260, "file_descriptors": 4100,
  "heartbeat_ms": 1200, "stall_timeout_ms": 5000, "grace_seconds": 8, "retry_ratio": 0.2,
  "retry_extra": 162, "retry_window_seconds": 10,
  "log": {{ "format": "json", "level": "info" }} }}"#,
            ZONES[self.nodes[index].zone],
            ZONES[self.nodes[index].zone],
            self.callers(index),
            self.readiness(index),
            self.control(index),
            self.ports.peer,
            self.ports.metrics,
            seeds.join(", "),
            data.display(),
        );
        let path = self.nodes[index].folder.join("boot.conf");
        fs::write(&path, settings).expect("the settings");
        let log = fs::File::options()
            .create(true)
            .append(true)
            .open(self.nodes[index].folder.join("log"))
            .expect("a log");
        let child = Command::new("target/release/hyssopforkd")
            .args(["edge", "--settings"])
            .arg(&path)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log"))
            .stderr(log)
            .spawn()
            .expect("the release program is built");
        self.nodes[index].child = Some(child);
    }

    pub fn signal(&self, index: usize, signal: Signal) {
        if let Some(child) = &self.nodes[index].child {
            let _ended = rustix::process::kill_process(Pid::from_child(child), signal);
        }
    }

    /// Waits until the process has ended.
    pub fn wait(&mut self, index: usize) {
        if let Some(mut child) = self.nodes[index].child.take() {
            let _status = child.wait();
        }
    }

    /// Sends an order of the operator to one process after the other until it is acknowledged.
    pub fn order(&self, method: &str, path: &str, body: &str, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            for index in self.present() {
                let timeout = Duration::from_secs(1);
                let to = self.control(index);
                let reply = http::call_control(to, method, path, body, timeout);
                if reply.is_some_and(|it| it.status == 200) {
                    return true;
                }
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }

    /// Waits until all processes are ready.
    pub fn wait_until_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        let is_ready = |index: usize| {
            let reply =
                http::call(self.readiness(index), "GET", "/readiness", "", Duration::from_secs(1));
            reply.is_some_and(|it| it.status == 200)
        };
        while Instant::now() < until {
            if self.present().all(is_ready) {
                return true;
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }

    /// Whether each process runs, and the end of its log.
    pub fn describe(&mut self) -> String {
        let describe = |node: &mut Node| {
            let status = node.child.as_mut().map(Child::try_wait);
            let log = fs::read_to_string(node.folder.join("log")).unwrap_or_default();
            let lines: Vec<&str> = log.lines().rev().take(4).collect();
            format!("{status:?}, log from its end: {lines:?}")
        };
        self.nodes.iter_mut().map(describe).collect::<Vec<_>>().join("; ")
    }

    /// Ends all processes and removes their folders.
    pub fn stop(&mut self) {
        for index in 0..self.nodes.len() {
            self.signal(index, Signal::CONT);
            self.signal(index, Signal::KILL);
            self.wait(index);
        }
        if env::var_os("KEEP").is_none() {
            let _left = fs::remove_dir_all(&self.folder);
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.stop();
    }
}
