//! One daemon process.

use rustix::process::{self, Pid, Signal};
use std::fs;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// A daemon process; killed on drop.
pub struct Daemon {
    settings: PathBuf,
    log: PathBuf,
    child: Child,
}

impl Daemon {
    /// Starts the process that `text` describes, with its files in `folder`.
    pub fn start(folder: &Path, name: &str, text: &str) -> Daemon {
        let settings = folder.join(format!("{name}.jsonc"));
        fs::write(&settings, text).unwrap();
        let log = folder.join(format!("{name}.log"));
        let child = spawn(&settings, &log);
        Daemon { settings, log, child }
    }

    /// Kills it immediately.
    pub fn kill(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }

    /// Starts it again with the same settings.
    pub fn restart(&mut self) {
        self.child = spawn(&self.settings, &self.log);
    }

    /// Pauses it with SIGSTOP.
    pub fn pause(&self) {
        self.signal(Signal::STOP);
    }

    /// Resumes it with SIGCONT.
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Asks it to stop gracefully.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Its exit code, if it has exited.
    pub fn exit_code(&mut self) -> Option<i32> {
        self.child.try_wait().unwrap().map(|status| status.code().unwrap_or(-1))
    }

    /// Its log output.
    pub fn read_log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }

    fn signal(&self, signal: Signal) {
        let pid = Pid::from_child(&self.child);
        process::kill_process(pid, signal).unwrap();
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }
}

fn spawn(settings: &Path, log: &Path) -> Child {
    let log = fs::OpenOptions::new().create(true).append(true).open(log).unwrap();
    Command::new(env!("CARGO_BIN_EXE_hyssopforkd"))
        .args(["run", "--settings"])
        .arg(settings)
        .stdin(Stdio::null())
        .stdout(log.try_clone().unwrap())
        .stderr(log)
        .spawn()
        .unwrap()
}
