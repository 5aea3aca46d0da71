//! Edge processes of a small deployment, the operator's calls, and the record of a case.

use crate::http;
use std::fs::{self, File, OpenOptions};
use std::io::Write;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const SIGTERM: i32 = 15;

/// Sends a signal to a process that this case started.
pub fn signal(pid: u32, signal: i32) {
    unsafe { kill(pid as i32, signal) };
}

/// `record.txt` of a case.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Record {
        let file = OpenOptions::new().create(true).write(true).truncate(true).open(path);
        Record {
            file: Arc::new(Mutex::new(file.expect("record.txt can be written"))),
            started: Instant::now(),
        }
    }

    /// Seconds since the start of the case.
    pub fn time(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let line = format!("{:8.3} {}", self.time(), text.as_ref());
        println!("{line}");
        let mut file = self.file.lock().unwrap();
        writeln!(file, "{line}").unwrap();
    }
}

/// Ports of all machines, the same on each.
#[derive(Clone, Copy, Debug)]
pub struct Ports {
    pub callers: u16,
    pub readiness: u16,
    pub control: u16,
    pub peer: u16,
    pub metrics: u16,
}

/// Address of a machine, on loopback.
pub fn ip(number: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, 0, 77, number))
}

impl Ports {
    /// Ports that are free at `machines` addresses.
    pub fn choose(machines: u8) -> Ports {
        let start = 11_000 + (std::process::id() % 1_500) as u16 * 12;
        for step in 0..1_500u16 {
            let first = 11_000 + (start - 11_000 + step * 12) % 18_000;
            let is_free = (1..=machines).all(|number| {
                (first..first + 6).all(|port| TcpListener::bind((ip(number), port)).is_ok())
            });
            if is_free {
                return Ports {
                    callers: first,
                    readiness: first + 1,
                    control: first + 2,
                    peer: first + 3,
                    metrics: first + 5,
                };
            }
        }
        panic!("no free ports");
    }
}

/// Figures of the deployment, as the site's page gives them.
#[derive(Clone, Copy)]
pub struct Bounds {
    pub memory_mb: u32,
    pub grace_s: u64,
}

impl Default for Bounds {
    fn default() -> Bounds {
        Bounds { memory_mb: 260, grace_s: 8 }
    }
}

/// A machine with one edge process.
pub struct Machine {
    pub name: String,
    pub number: u8,
    zone: String,
    has_disk: bool,
    folder: PathBuf,
    ports: Ports,
    bounds: Bounds,
    child: Option<Child>,
}

impl Machine {
    pub fn new(
        folder: &Path,
        name: &str,
        number: u8,
        zone: &str,
        has_disk: bool,
        ports: Ports,
        bounds: Bounds,
    ) -> Machine {
        let folder = folder.join(name);
        fs::create_dir_all(&folder).expect("the temporary folder can be written");
        Machine {
            name: name.to_owned(),
            number,
            zone: zone.to_owned(),
            has_disk,
            folder,
            ports,
            bounds,
            child: None,
        }
    }

    fn address(&self, port: u16) -> SocketAddr {
        SocketAddr::new(ip(self.number), port)
    }

    pub fn control(&self) -> SocketAddr {
        self.address(self.ports.control)
    }

    pub fn callers(&self) -> SocketAddr {
        self.address(self.ports.callers)
    }

    pub fn readiness(&self) -> SocketAddr {
        self.address(self.ports.readiness)
    }

    /// Writes the settings file, with settings like those that the platform makes from `deploy/edge.jsonc`.
    pub fn write_settings(&self, seeds: &[SocketAddr], first_start: bool) {
        let seeds: Vec<String> = seeds.iter().map(|it| format!("\"{it}\"")).collect();
        let data = if self.has_disk {
            self.folder.join("data").display().to_string()
        } else {
            String::new()
        };
        let text = format!(
            r#"{{
  "instance": "{}", "zone": "{}",
  "callers_listen": "{}", "readiness_listen": "{}", "control_listen": "{}",
  "peer_port": {}, "share_load": false, "metrics_port": {},
  "seeds": [{}], "first_start": {first_start}, "data_folder": "{data}",
  "tolerated_losses": 1, "link_mbps": 1000.0, "memory_mb": {}, "file_descriptors": 4100,
  "heartbeat_ms": 1200, "stall_timeout_ms": 5000, "grace_seconds": {},
  "retry_ratio": 0.2, "retry_extra": 164, "retry_window_seconds": 10,
  "log": {{ "format": "json", "level": "info" }}
}}"#,
            self.name,
            self.zone,
            self.callers(),
            self.readiness(),
            self.control(),
            self.ports.peer,
            self.ports.metrics,
            seeds.join(", "),
            self.bounds.memory_mb,
            self.bounds.grace_s,
        );
        fs::write(self.settings(), text).expect("settings can be written");
    }

    fn settings(&self) -> PathBuf {
        self.folder.join("boot.conf")
    }

    /// Starts the process with the command of the deploy file.
    pub fn start(&mut self, seeds: &[SocketAddr], first_start: bool) {
        self.write_settings(seeds, first_start);
        let log =
            OpenOptions::new().create(true).append(true).open(self.folder.join("log")).unwrap();
        let errors = log.try_clone().unwrap();
        let child = Command::new("target/release/hyssopforkd")
            .args(["edge", "--settings"])
            .arg(self.settings())
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .expect("target/release/hyssopforkd starts; build it as the deploy file says");
        self.child = Some(child);
    }

    pub fn pid(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    /// Whether the process runs.
    pub fn is_running(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| child.try_wait().is_ok_and(|it| it.is_none()))
    }

    /// SIGKILL.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// SIGTERM, and SIGKILL after the grace period; returns the time until the process had ended.
    pub fn stop(&mut self) -> Duration {
        let started = Instant::now();
        if self.is_running() {
            signal(self.pid(), SIGTERM);
            while self.is_running() && started.elapsed() < Duration::from_secs(self.bounds.grace_s)
            {
                std::thread::sleep(Duration::from_millis(20));
            }
        }
        let elapsed = started.elapsed();
        self.kill();
        elapsed
    }

    /// Removes the contents of the data folder: the disk is lost.
    pub fn lose_disk(&self) {
        let _ = fs::remove_dir_all(self.folder.join("data"));
    }

    /// Lines of the process's log that contain one of the texts; the message alone.
    pub fn log_lines(&self, texts: &[&str]) -> Vec<String> {
        let log = fs::read_to_string(self.folder.join("log")).unwrap_or_default();
        let matching = log.lines().filter(|line| texts.iter().any(|text| line.contains(text)));
        matching
            .map(|line| {
                let part = |key: &str| {
                    let begin = line.find(key).map(|at| at + key.len())?;
                    Some(line[begin..].split('"').next().unwrap_or_default().to_owned())
                };
                let time = part("\"timestamp\":\"").unwrap_or_default();
                let time = time.split('T').nth(1).unwrap_or_default().to_owned();
                format!("{time} {}", part("\"message\":\"").unwrap_or_default())
            })
            .collect()
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Temporary folder of a case, removed at its end unless `KEEP` is set.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn create(name: &str) -> Folder {
        let path = std::env::temp_dir().join(format!("review-{name}-{}", std::process::id()));
        fs::create_dir_all(&path).expect("a temporary folder can be created");
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.0);
        }
    }
}

/// One call of the operator: to the machines in turn, following redirects twice, each with a second of
/// time. Returns the machine that answered and its answer; `None` if none gave a clear one.
pub fn operate(
    to: &[SocketAddr],
    method: &str,
    path: &str,
    body: &[u8],
) -> Option<(SocketAddr, http::Message)> {
    for start in to {
        let mut address = *start;
        for _ in 0..3 {
            let headers = [("Content-Type", "application/json")];
            let answer = http::call(address, method, path, &headers, body, Duration::from_secs(1));
            let Ok(answer) = answer else { break };
            match answer.status() {
                307 => {
                    let location = answer.header("location").unwrap_or_default().to_owned();
                    let host = location.trim_start_matches("http://").split('/').next();
                    let Some(next) = host.and_then(|it| it.parse().ok()) else { break };
                    address = next;
                }
                status if status >= 500 || status == 408 || status == 429 => break,
                _ => return Some((address, answer)),
            }
        }
    }
    None
}

/// Repeats a call of the operator until it has a 2xx answer or `timeout` has passed; returns the machine
/// that answered.
pub fn operate_until_acknowledged(
    to: &[SocketAddr],
    method: &str,
    path: &str,
    body: &[u8],
    timeout: Duration,
) -> Option<SocketAddr> {
    let started = Instant::now();
    while started.elapsed() < timeout {
        if let Some((by, answer)) = operate(to, method, path, body)
            && (200..300).contains(&answer.status())
        {
            return Some(by);
        }
        std::thread::sleep(Duration::from_millis(200));
    }
    None
}

/// The machine that answers reads itself: the leader.
pub fn leader(machines: &[&Machine]) -> Option<usize> {
    machines.iter().position(|machine| {
        let timeout = Duration::from_secs(1);
        http::call(machine.control(), "GET", "/configuration", &[], b"", timeout)
            .is_ok_and(|answer| answer.status() == 200)
    })
}

/// Version of a configuration that was read.
pub fn version_of(text: &str) -> Option<u64> {
    let at = text.find("\"Version\":")? + "\"Version\":".len();
    let digits: String =
        text[at..].chars().skip_while(|it| *it == ' ').take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}
