//! Resource use of processes, as reported by the operating system.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};
use std::{fs, io, net, path};

/// A process of the fleet.
#[derive(Clone, Debug)]
pub struct Process {
    /// Role, as in the manifest.
    pub role: String,
    /// Address of the process.
    pub address: net::SocketAddr,
    /// Process id.
    pub id: u32,
}

/// All processes of the fleet.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    /// Processes by the name of their instance.
    pub processes: BTreeMap<String, Process>,
}

impl Fleet {
    /// Reads the manifest and the file of process ids.
    pub fn read(manifest: &path::Path, ids: &path::Path) -> io::Result<Fleet> {
        let ids: BTreeMap<String, u32> = fs::read_to_string(ids)?
            .lines()
            .filter_map(|line| line.split_once('\t'))
            .filter_map(|(name, id)| Some((name.to_owned(), id.parse().ok()?)))
            .collect();
        let mut fleet = Fleet::default();
        for line in fs::read_to_string(manifest)?.lines() {
            let fields: Vec<&str> = line.split('\t').collect();
            let [role, name, _, address, ..] = fields[..] else { continue };
            let (Some(id), Ok(address)) = (ids.get(name), address.parse()) else { continue };
            let process = Process { role: role.to_owned(), address, id: *id };
            fleet.processes.insert(name.to_owned(), process);
        }
        Ok(fleet)
    }

    /// Processes of a role, in order of name.
    pub fn of(&self, role: &str) -> Vec<(&String, &Process)> {
        self.processes.iter().filter(|(_, process)| process.role == role).collect()
    }

    /// Addresses of the processes of a role.
    pub fn addresses(&self, role: &str) -> Vec<net::SocketAddr> {
        self.of(role).iter().map(|(_, process)| process.address).collect()
    }
}

/// Processor time that all threads of a process have used.
pub fn processor_time(id: u32) -> Duration {
    let Ok(threads) = fs::read_dir(format!("/proc/{id}/task")) else { return Duration::ZERO };
    let nanoseconds = threads.flatten().filter_map(|thread| {
        let text = fs::read_to_string(thread.path().join("schedstat")).ok()?;
        text.split_whitespace().next()?.parse::<u64>().ok()
    });
    Duration::from_nanos(nanoseconds.sum())
}

/// Resident memory of a process, in bytes.
pub fn resident(id: u32) -> f64 {
    let text = fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let line = text.lines().find(|line| line.starts_with("VmRSS:"));
    let kibibytes = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<f64>().ok());
    kibibytes.unwrap_or(0.0) * 1024.0
}

/// Measures the processor time of several processes over a time window.
pub struct Window {
    start: Instant,
    before: BTreeMap<u32, Duration>,
}

impl Window {
    /// Starts a window for the processes with these ids.
    pub fn open(ids: &[u32]) -> Window {
        let before = ids.iter().map(|id| (*id, processor_time(*id))).collect();
        Window { start: Instant::now(), before }
    }

    /// Share of one core that a process has used in the window.
    pub fn share(&self, id: u32) -> f64 {
        let before = self.before.get(&id).copied().unwrap_or_default();
        let used = processor_time(id).saturating_sub(before);
        used.as_secs_f64() / self.start.elapsed().as_secs_f64()
    }

    /// Seconds since the start of the window.
    pub fn seconds(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }
}
