//! The thread that writes and syncs the journal, so that a slow disk holds up no message.

use crate::control::role;
use crate::mailbox;
use hyssopfork_consensus::{journal, write};
use hyssopfork_control::event;
use std::sync::mpsc;
use std::{io, process, thread};

/// Exit code of a process whose journal can no longer be trusted.
const JOURNAL_FAILED: i32 = 74;

/// Most writes that are synced together, besides the first.
const TOGETHER_LIMIT: usize = 255;

/// Hands writes to the journal's thread.
#[derive(Debug)]
pub struct Writer(mpsc::Sender<write::Write>);

impl Writer {
    /// Starts the thread.
    pub fn start(
        journal: journal::Journal,
        mailbox: mailbox::Mailbox<role::Input>,
    ) -> io::Result<Writer> {
        let (sender, writes) = mpsc::channel();
        let thread = thread::Builder::new().name("journal".to_owned());
        thread.spawn(move || write_all(journal, &writes, &mailbox))?;
        Ok(Writer(sender))
    }

    /// Hands over one write.
    pub fn write(&self, write: write::Write) {
        if self.0.send(write).is_err() {
            tracing::debug!("write after the journal's thread ended");
        }
    }
}

/// Writes that came while the disk was busy are synced together, so that the time of a sync bounds
/// how long one write takes, not how many are made.
///
/// A failed write or sync is fatal: what the disk holds is not known any more, and a voter that
/// went on could deny what it acknowledged.
fn write_all(
    mut journal: journal::Journal,
    writes: &mpsc::Receiver<write::Write>,
    mailbox: &mailbox::Mailbox<role::Input>,
) {
    while let Ok(first) = writes.recv() {
        let mut waiting = vec![first];
        waiting.extend(writes.try_iter().take(TOGETHER_LIMIT));
        if let Err(error) = journal.write_all(&waiting) {
            crate::log::notice(&crate::notice::Notice::JournalFailed(error.to_string()));
            process::exit(JOURNAL_FAILED);
        }
        let newest = waiting.last().map_or(0, |write| write.number);
        mailbox.post(role::Input::Event(event::Event::Persisted(newest)));
    }
}
