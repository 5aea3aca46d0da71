//! Group commit: a separate thread writes and syncs the journal, so that a slow disk delays no
//! message.

use crate::control::role;
use crate::mailbox;
use hyssopfork_consensus::{journal, write};
use hyssopfork_control::event;
use std::sync::mpsc;
use std::{io, process, thread};

/// Exit code after a journal write or sync failed (`EX_IOERR`).
const JOURNAL_FAILED_EXIT_CODE: i32 = 74;

/// Writes that are synced together, besides the first.
const MAX_BATCHED_WRITES: usize = 255;

/// Sends writes to the journal thread.
#[derive(Debug)]
pub struct Writer(mpsc::Sender<write::Write>);

impl Writer {
    /// Starts the journal thread.
    pub fn start(
        journal: journal::Journal,
        mailbox: mailbox::Mailbox<role::Input>,
    ) -> io::Result<Writer> {
        let (sender, writes) = mpsc::channel();
        let thread = thread::Builder::new().name("journal".to_owned());
        thread.spawn(move || write_all(journal, &writes, &mailbox))?;
        Ok(Writer(sender))
    }

    /// Queues one write.
    pub fn write(&self, write: write::Write) {
        if self.0.send(write).is_err() {
            tracing::debug!("journal write dropped: the journal thread has ended");
        }
    }
}

/// Writes that arrive during a sync are synced together, so that the duration of a sync limits the
/// latency of writes but not their throughput.
///
/// A failed write or sync is fatal: the contents of the disk are unknown, and a voter that
/// continued could contradict what it acknowledged.
fn write_all(
    mut journal: journal::Journal,
    writes: &mpsc::Receiver<write::Write>,
    mailbox: &mailbox::Mailbox<role::Input>,
) {
    while let Ok(first) = writes.recv() {
        let mut batch = vec![first];
        batch.extend(writes.try_iter().take(MAX_BATCHED_WRITES));
        if let Err(error) = journal.write_all(&batch) {
            crate::log::notice(&crate::notice::Notice::JournalFailed(error.to_string()));
            process::exit(JOURNAL_FAILED_EXIT_CODE);
        }
        let last_number = batch.last().map_or(0, |write| write.number);
        mailbox.post(role::Input::Event(event::Event::Persisted(last_number)));
    }
}
