//! The thread that writes and syncs the journal, so that a slow disk holds up nothing else.
//!
//! A disk that refuses writes ends the process's part in the replicated log, not the process: its
//! callers are served on, and the folder is opened again once it can be.

use crate::edge::control;
use crate::{log, mailbox, notice};
use hyssopfork_consensus::{error, journal, write};
use hyssopfork_fleet::event;
use std::sync::mpsc;
use std::time::{Duration, Instant};
use std::{io, path, thread};

/// Most writes that are synced together, besides the first.
const TOGETHER_LIMIT: usize = 255;

/// Time before a folder that can't be used is tried again.
const RETRY: Duration = Duration::from_millis(300);

/// Time from which on a sync is reported as slow.
const SLOW_SYNC: Duration = Duration::from_millis(100);

/// What the thread is to do.
enum Task {
    Write(write::Write),
    /// The writes before this belong to a part in the log that has ended.
    Reopen,
}

/// Hands writes to the journal's thread.
#[derive(Debug)]
pub struct Writer(mpsc::Sender<Task>);

impl Writer {
    /// Starts the thread, which opens the folder.
    pub fn start(
        folder: path::PathBuf,
        mailbox: mailbox::Mailbox<control::Input>,
    ) -> io::Result<Writer> {
        let (sender, tasks) = mpsc::channel();
        let thread = thread::Builder::new().name("journal".to_owned());
        thread.spawn(move || Folder { folder, tasks, mailbox }.run())?;
        Ok(Writer(sender))
    }

    /// Hands over one write.
    pub fn write(&self, write: write::Write) {
        self.send(Task::Write(write));
    }

    /// Has the folder opened anew, after it failed.
    pub fn reopen(&self) {
        self.send(Task::Reopen);
    }

    fn send(&self, task: Task) {
        if self.0.send(task).is_err() {
            tracing::debug!("task after the journal's thread ended");
        }
    }
}

struct Folder {
    folder: path::PathBuf,
    tasks: mpsc::Receiver<Task>,
    mailbox: mailbox::Mailbox<control::Input>,
}

impl Folder {
    fn run(self) {
        loop {
            let mut journal = self.open();
            let Some(error) = self.write_all(&mut journal) else { return };
            drop(journal);
            self.tell(&error);
            self.post(event::Event::FolderFailed);
            // What still comes belongs to the part in the log that has just ended.
            loop {
                match self.tasks.recv() {
                    Ok(Task::Reopen) => break,
                    Ok(Task::Write(_)) => {}
                    Err(mpsc::RecvError) => return,
                }
            }
        }
    }

    /// Opens the folder, as soon as it can be.
    fn open(&self) -> journal::Journal {
        loop {
            match journal::Journal::open(&self.folder) {
                Ok((journal, durable, folder)) => {
                    let seed = rand::random();
                    self.post(event::Event::FolderOpened {
                        folder,
                        durable: Box::new(durable),
                        seed,
                    });
                    return journal;
                }
                Err(error) => self.tell(&error),
            }
            thread::sleep(RETRY);
        }
    }

    /// Writes what comes; gives the error that ends it, or nothing when the process ends.
    ///
    /// Writes that came while the disk was busy are synced together, so that the time of a sync
    /// bounds how long one write takes, not how many are made.
    fn write_all(&self, journal: &mut journal::Journal) -> Option<error::Error> {
        while let Ok(first) = self.tasks.recv() {
            let more = self.tasks.try_iter().take(TOGETHER_LIMIT);
            let writes: Vec<write::Write> = std::iter::once(first)
                .chain(more)
                .filter_map(|task| match task {
                    Task::Write(write) => Some(write),
                    Task::Reopen => None,
                })
                .collect();
            let begun = Instant::now();
            if let Err(error) = journal.write_all(&writes) {
                return Some(error);
            }
            let took = begun.elapsed();
            if took >= SLOW_SYNC {
                let millis = took.as_millis() as u64;
                log::notice(&notice::Notice::SyncSlow(writes.len(), millis));
            }
            if let Some(newest) = writes.last() {
                self.post(event::Event::Persisted(newest.number));
            }
        }
        None
    }

    fn tell(&self, error: &error::Error) {
        log::notice(&notice::Notice::FolderUnusable(error.to_string()));
    }

    fn post(&self, event: event::Event) {
        self.mailbox.post(control::Input::Event(Box::new(event)));
    }
}
