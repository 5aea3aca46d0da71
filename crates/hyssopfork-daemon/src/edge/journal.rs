//! Journal writer: a thread that writes and syncs the journal, so that a slow disk blocks nothing
//! else.
//!
//! If the disk fails, the process stops taking part in the replicated log but continues to serve
//! its clients. The data folder is reopened as soon as that succeeds.

use crate::edge::{control, view_store};
use crate::{log, mailbox, notice};
use hyssopfork_consensus::{error, journal, write};
use hyssopfork_fleet::event;
use std::sync::mpsc;
use std::time::{Duration, Instant};
use std::{io, path, thread};

/// Maximum number of writes that are synced together with the first one.
const MAX_FURTHER_WRITES: usize = 255;

/// Interval between attempts to open the data folder.
const RETRY_INTERVAL: Duration = Duration::from_millis(300);

/// Sync duration from which on a sync is reported as slow.
const SLOW_SYNC_THRESHOLD: Duration = Duration::from_millis(100);

/// Task of the thread.
enum Task {
    Write(write::Write),
    /// Reopen the folder. Earlier writes belong to a membership in the replicated log that has
    /// ended.
    Reopen,
}

/// Handle that sends writes to the journal thread.
#[derive(Debug)]
pub struct Writer(mpsc::Sender<Task>);

impl Writer {
    /// Starts the thread, which opens the data folder.
    pub fn start(
        folder: path::PathBuf,
        mailbox: mailbox::Mailbox<control::Input>,
    ) -> io::Result<Writer> {
        let (sender, tasks) = mpsc::channel();
        let thread = thread::Builder::new().name("journal".to_owned());
        thread.spawn(move || Worker { folder, tasks, mailbox }.run())?;
        Ok(Writer(sender))
    }

    /// Queues a write.
    pub fn write(&self, write: write::Write) {
        self.send(Task::Write(write));
    }

    /// Reopens the folder after a failure.
    pub fn reopen(&self) {
        self.send(Task::Reopen);
    }

    fn send(&self, task: Task) {
        if self.0.send(task).is_err() {
            tracing::debug!("journal task dropped: the journal thread has ended");
        }
    }
}

struct Worker {
    folder: path::PathBuf,
    tasks: mpsc::Receiver<Task>,
    mailbox: mailbox::Mailbox<control::Input>,
}

impl Worker {
    fn run(self) {
        loop {
            let mut journal = self.open();
            let Some(error) = self.write_all(&mut journal) else { return };
            drop(journal);
            self.report_error(&error);
            self.post(event::Event::FolderFailed);
            // Writes that are still queued belong to the membership in the log that has just ended.
            loop {
                match self.tasks.recv() {
                    Ok(Task::Reopen) => break,
                    Ok(Task::Write(_)) => {}
                    Err(mpsc::RecvError) => return,
                }
            }
        }
    }

    /// Opens the folder, retrying until that succeeds.
    fn open(&self) -> journal::Journal {
        loop {
            let started = Instant::now();
            match journal::Journal::open(&self.folder) {
                Ok((journal, durable, folder)) => {
                    let elapsed = started.elapsed();
                    if elapsed >= SLOW_SYNC_THRESHOLD {
                        log::notice(&notice::Notice::OpenSlow(elapsed.as_millis() as u64));
                    }
                    let seed = rand::random();
                    let view = view_store::read(&self.folder);
                    self.post(event::Event::FolderOpened {
                        folder,
                        durable: Box::new(durable),
                        seed,
                        view,
                    });
                    return journal;
                }
                Err(error) => self.report_error(&error),
            }
            thread::sleep(RETRY_INTERVAL);
        }
    }

    /// Writes tasks until an error occurs, which is returned, or until the process exits.
    ///
    /// Writes that arrived during a sync are synced together, so that slow syncs limit the latency
    /// of each write but not the throughput.
    fn write_all(&self, journal: &mut journal::Journal) -> Option<error::Error> {
        while let Ok(first) = self.tasks.recv() {
            let further = self.tasks.try_iter().take(MAX_FURTHER_WRITES);
            let writes: Vec<write::Write> = std::iter::once(first)
                .chain(further)
                .filter_map(|task| match task {
                    Task::Write(write) => Some(write),
                    Task::Reopen => None,
                })
                .collect();
            let started = Instant::now();
            if let Err(error) = journal.write_all(&writes) {
                return Some(error);
            }
            let elapsed = started.elapsed();
            if elapsed >= SLOW_SYNC_THRESHOLD {
                let millis = elapsed.as_millis() as u64;
                log::notice(&notice::Notice::SyncSlow(writes.len(), millis));
            }
            if let Some(last) = writes.last() {
                self.post(event::Event::Persisted(last.number));
            }
        }
        None
    }

    fn report_error(&self, error: &error::Error) {
        log::notice(&notice::Notice::FolderUnusable(error.to_string()));
    }

    fn post(&self, event: event::Event) {
        self.mailbox.post_urgent(control::Input::Event(Box::new(event)));
    }
}
