//! Fleet of edge processes, each on its own loopback address, that tests can signal and restart.

use crate::support;
use rustix::process::{Pid, Signal};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;
use std::{fs, thread};

/// Ports other than those of [`Node`]; the same at each address.
#[derive(Clone, Copy, Debug)]
struct Ports {
    readiness: u16,
    peer: u16,
    metrics: u16,
}

/// An edge process and its configuration.
#[derive(Debug)]
pub struct Node {
    /// Address for clients.
    pub callers: SocketAddr,
    /// Address for operators and upstreams.
    pub control: SocketAddr,
    folder: PathBuf,
    has_disk: bool,
    child: Option<Child>,
}

/// The edge processes. Dropping it kills them and deletes their folders, unless the test failed.
#[derive(Debug)]
pub struct Fleet {
    pub nodes: Vec<Node>,
    folder: PathBuf,
    ports: Ports,
}

impl Fleet {
    /// Starts `disks` processes with a data folder and `others` without one.
    pub fn start(name: &str, disks: usize, others: usize) -> Fleet {
        let folder = std::env::temp_dir().join(format!("hyssopfork-{name}-{}", std::process::id()));
        let [callers, readiness, control, peer, metrics] = [(); 5].map(|()| support::free_port());
        let ports = Ports { readiness, peer, metrics };
        let node = |place: usize| Node {
            callers: address(place, callers),
            control: address(place, control),
            folder: folder.join(format!("edge-{place}")),
            has_disk: place < disks,
            child: None,
        };
        let nodes = (0..disks + others).map(node).collect();
        let mut fleet = Fleet { nodes, folder, ports };
        (0..disks + others).for_each(|place| fleet.boot(place, true));
        fleet
    }

    /// Starts the process at `place` with the content of its data folder.
    pub fn boot(&mut self, place: usize, first_start: bool) {
        let Ports { readiness, peer, metrics } = self.ports;
        let seeds: Vec<String> =
            self.nodes.iter().take(3).map(|node| format!("\"{}\"", node.control)).collect();
        let node = &mut self.nodes[place];
        fs::create_dir_all(&node.folder).expect("a folder can be made");
        let data = if node.has_disk { node.folder.join("data") } else { PathBuf::new() };
        let settings = format!(
            r#"{{
              "instance": "edge-{place}", "zone": "z{}", "callers_listen": "{}",
              "readiness_listen": "{}", "control_listen": "{}", "peer_port": {peer},
              "metrics_port": {metrics}, "seeds": [{}], "first_start": {first_start},
              "data_folder": "{}", "tolerated_losses": 1, "grace_seconds": 6, "log": {{ "format": "json" }}
            }}"#,
            place % 3,
            node.callers,
            address(place, readiness),
            node.control,
            seeds.join(", "),
            data.display(),
        );
        let path = node.folder.join("settings.jsonc");
        fs::write(&path, settings).expect("it can be written");
        let log = fs::File::options().create(true).append(true).open(node.folder.join("log"));
        node.child = Some(
            Command::new(env!("CARGO_BIN_EXE_hyssopforkd"))
                .args(["edge", "--settings"])
                .arg(&path)
                .stdout(Stdio::from(log.expect("a log can be made")))
                .spawn()
                .expect("it starts"),
        );
    }

    /// Sends a signal to the process at `place`.
    pub fn signal(&self, place: usize, signal: Signal) {
        if let Some(child) = &self.nodes[place].child {
            let _already_ended = rustix::process::kill_process(Pid::from_child(child), signal);
        }
    }

    /// Waits for the process at `place` to exit after a signal.
    pub fn reap(&mut self, place: usize) {
        if let Some(mut child) = self.nodes[place].child.take() {
            child.wait().expect("it was started");
        }
    }

    /// Deletes the data folder at `place`, whose process has exited.
    pub fn wipe(&self, place: usize) {
        let _was_blank = fs::remove_dir_all(self.nodes[place].folder.join("data"));
    }

    /// Folder of the settings and logs of all processes.
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// Sends a request to one process after the other, following redirects, until one responds with
    /// 200.
    pub fn insist(control: &[SocketAddr], request: &str, rounds: usize) -> Option<support::Answer> {
        for round in 0..rounds * control.len() {
            let mut to = control[round % control.len()];
            for _ in 0..3 {
                let Some(answer) = support::call_within(to, request, Duration::from_secs(1)) else {
                    break;
                };
                match (answer.status, moved(&answer)) {
                    (200, _) => return Some(answer),
                    (307, Some(next)) => to = next,
                    _ => break,
                }
            }
            thread::sleep(Duration::from_millis(30));
        }
        None
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for place in 0..self.nodes.len() {
            self.signal(place, Signal::KILL);
            self.reap(place);
        }
        if !thread::panicking() {
            let _left_behind = fs::remove_dir_all(&self.folder);
        }
    }
}

fn address(place: usize, port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 1, place as u8 + 1], port))
}

/// Target of a redirect.
fn moved(answer: &support::Answer) -> Option<SocketAddr> {
    let head = answer.head.to_lowercase();
    let location = head.split("location: http://").nth(1)?;
    location.split('/').next()?.parse().ok()
}
