//! The system under test: edge processes, each on its own loopback address, started with the command
//! of the deploy file.

use crate::http;
use crate::record::Record;
use std::fs;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// `HeartbeatIntervalMs`.
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);

#[derive(Clone, Copy)]
struct Ports {
    clients: u16,
    readiness: u16,
    control: u16,
    peer: u16,
    metrics: u16,
}

/// A machine with one process.
struct Node {
    name: String,
    zone: String,
    ip: Ipv4Addr,
    has_disk: bool,
    folder: PathBuf,
    child: Option<Child>,
}

/// The processes. Dropping it ends them and deletes their folders.
pub struct System {
    nodes: Vec<Node>,
    ports: Ports,
    folder: PathBuf,
    record: Arc<Record>,
    program: PathBuf,
}

fn free_ports() -> Ports {
    let listeners: Vec<TcpListener> = (0..5)
        .map(|_| TcpListener::bind((Ipv4Addr::new(127, 0, 21, 1), 0)).expect("a port"))
        .collect();
    let port = |index: usize| listeners[index].local_addr().expect("bound").port();
    Ports {
        clients: port(0),
        readiness: port(1),
        control: port(2),
        peer: port(3),
        metrics: port(4),
    }
}

impl System {
    /// Starts one process for each zone in `zones`; the first `disks` of them have a disk.
    pub fn start(zones: &[&str], disks: usize, record: &Arc<Record>) -> System {
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let program = std::env::current_dir().expect("a folder").join("target/release/hyssopforkd");
        if !program.exists() {
            println!("the program of the deploy file is missing; build it first");
            std::process::exit(2);
        }
        let nodes = zones.iter().enumerate().map(|(index, zone)| Node {
            name: format!("edge-{index}"),
            zone: (*zone).to_owned(),
            ip: Ipv4Addr::new(127, 0, 21, index as u8 + 1),
            has_disk: index < disks,
            folder: folder.join(format!("edge-{index}")),
            child: None,
        });
        let mut system = System {
            nodes: nodes.collect(),
            ports: free_ports(),
            folder: folder.clone(),
            record: record.clone(),
            program,
        };
        let seeds: Vec<usize> = (0..zones.len().min(3)).collect();
        (0..zones.len()).for_each(|index| system.start_node(index, &seeds));
        system
    }

    /// Starts the process at `index` with the settings that the platform would write.
    fn start_node(&mut self, index: usize, seeds: &[usize]) {
        let seeds: Vec<String> =
            seeds.iter().map(|it| format!("\"{}\"", self.control(*it))).collect();
        let ports = self.ports;
        let node = &mut self.nodes[index];
        fs::create_dir_all(&node.folder).expect("a folder");
        let data = if node.has_disk { node.folder.join("data") } else { PathBuf::new() };
        let ip = node.ip;
        let settings = format!(
            r#"{{
  "instance": "{}",
  "zone": "{}",
  "callers_listen": "{ip}:{}",
  "readiness_listen": "{ip}:{}",
  "control_listen": "{ip}:{}",
  "peer_port": {},
  "share_load": false,
  "metrics_port": {},
  "seeds": [{}],
  "first_start": true,
  "data_folder": "{}",
  "tolerated_losses": 1,
  "link_mbps": 1000.0,
  "memory_mb": 260,
  "file_descriptors": 4100,
  "heartbeat_ms": 1200,
  "stall_timeout_ms": 5000,
  "grace_seconds": 8,
  "retry_ratio": 0.2,
  "retry_extra": 162,
  "retry_window_seconds": 10,
  "log": {{ "format": "json", "level": "info" }}
}}"#,
            node.name,
            node.zone,
            ports.clients,
            ports.readiness,
            ports.control,
            ports.peer,
            ports.metrics,
            seeds.join(","),
            data.display()
        );
        let path = node.folder.join("boot.conf");
        fs::write(&path, settings).expect("the settings can be written");
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(node.folder.join("log"))
            .expect("a log");
        let child = Command::new(&self.program)
            .args(["edge", "--settings"])
            .arg(&path)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log"))
            .stderr(log)
            .spawn()
            .expect("the program starts");
        node.child = Some(child);
        self.record.line(&format!("start {} in {}", node.name, node.zone));
    }

    pub fn control(&self, index: usize) -> SocketAddr {
        SocketAddr::from((self.nodes[index].ip, self.ports.control))
    }

    pub fn clients(&self, index: usize) -> SocketAddr {
        SocketAddr::from((self.nodes[index].ip, self.ports.clients))
    }

    pub fn readiness(&self, index: usize) -> SocketAddr {
        SocketAddr::from((self.nodes[index].ip, self.ports.readiness))
    }

    pub fn controls(&self) -> Vec<SocketAddr> {
        (0..self.nodes.len()).map(|index| self.control(index)).collect()
    }

    /// Sends an order of the operator as the pages say: to one machine after the other, following two
    /// redirects, until one answers it; returns the status and the body.
    pub fn order(
        &self,
        among: &[usize],
        method: &str,
        path: &str,
        body: &str,
        within: Duration,
    ) -> Option<(u16, String)> {
        let started = Instant::now();
        while started.elapsed() < within {
            for index in among {
                let mut to = self.control(*index);
                for _ in 0..3 {
                    let answer = http::call(to, method, path, &[], body, Duration::from_secs(1));
                    let Ok(answer) = answer else { break };
                    let target = answer
                        .header("location")
                        .and_then(|it| it.strip_prefix("http://")?.split('/').next()?.parse().ok());
                    match (answer.status, target) {
                        (307, Some(target)) => to = target,
                        (408 | 429 | 500.., _) => break,
                        (status, _) => {
                            self.record.line(&format!("{method} {path}: {status} by {to}"));
                            return Some((status, answer.text()));
                        }
                    }
                }
                if started.elapsed() >= within {
                    break;
                }
            }
            thread::sleep(Duration::from_millis(50));
        }
        self.record.line(&format!("{method} {path}: no answer in {} ms", within.as_millis()));
        None
    }

    /// Waits until every process says that it is ready.
    pub fn wait_until_ready(&self, among: &[usize], within: Duration) -> bool {
        let started = Instant::now();
        among.iter().all(|index| {
            let is_ready = || {
                let to = self.readiness(*index);
                let answer = http::call(to, "GET", "/readiness", &[], "", Duration::from_secs(1));
                answer.is_ok_and(|it| it.status == 200)
            };
            while started.elapsed() < within {
                if is_ready() {
                    return true;
                }
                thread::sleep(Duration::from_millis(50));
            }
            false
        })
    }
}

impl Drop for System {
    fn drop(&mut self) {
        for node in &mut self.nodes {
            if let Some(child) = &mut node.child {
                let _already_ended = child.kill();
                let _status = child.wait();
            }
        }
        if std::env::var_os("KEEP").is_none() {
            let _left = fs::remove_dir_all(&self.folder);
        } else {
            println!("kept {}", self.folder.display());
        }
    }
}
