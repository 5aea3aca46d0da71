//! Saved view: a thread that writes the newest view to the data folder, so that a slow disk holds up
//! neither the replicated log nor anything else.
//!
//! A view that can't be written or read is logged and left out: the next leader then knows only what
//! upstreams announce.

use crate::{log, notice};
use hyssopfork_fleet::{delta, view};
use std::collections::BTreeMap;
use std::fs;
use std::io::{self, Write};
use std::path;
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread;
use std::time::Instant;

const FILE: &str = "view";
const NEXT_FILE: &str = "view.next";

/// Pause after a write, in multiples of its duration: on a slow disk, the journal's syncs would wait for
/// those of the view.
const PAUSE_FACTOR: u32 = 9;

/// Length of the checksum before the encoded view.
const CHECKSUM_BYTES: usize = 4;

/// The newest view that is to be written.
#[derive(Debug, Default)]
struct Slot {
    view: Mutex<Option<Box<view::Update>>>,
    filled: Condvar,
}

/// Handle that passes views to the thread.
#[derive(Debug)]
pub struct Store(Arc<Slot>);

impl Store {
    /// Starts the thread.
    pub fn start(folder: path::PathBuf) -> io::Result<Store> {
        let slot = Arc::<Slot>::default();
        let filled = slot.clone();
        thread::Builder::new().name("view".to_owned()).spawn(move || run(&folder, &filled))?;
        Ok(Store(slot))
    }

    /// Writes a view. It replaces one that is still to be written.
    pub fn save(&self, view: Box<view::Update>) {
        *self.0.view.lock().unwrap_or_else(PoisonError::into_inner) = Some(view);
        self.0.filled.notify_one();
    }
}

fn run(folder: &path::Path, slot: &Slot) {
    let mut has_failed = false;
    loop {
        let view = slot.view.lock().unwrap_or_else(PoisonError::into_inner);
        let view = slot.filled.wait_while(view, |view| view.is_none());
        let Some(view) = view.unwrap_or_else(PoisonError::into_inner).take() else { continue };
        let started = Instant::now();
        let result = write(folder, &view);
        if let Err(error) = &result
            && !has_failed
        {
            log::notice(&notice::Notice::ViewNotSaved(error.to_string()));
        }
        has_failed = result.is_err();
        thread::sleep(started.elapsed() * PAUSE_FACTOR);
    }
}

/// Replaces the view in the folder. After a crash it is either the old or the new one.
pub fn write(folder: &path::Path, view: &view::Update) -> io::Result<()> {
    let encoded = delta::Delta::encode(view, |_| false);
    let bytes = encoded.as_bytes();
    let next = folder.join(NEXT_FILE);
    let mut file = fs::File::create(&next)?;
    file.write_all(&crc32fast::hash(bytes).to_le_bytes())?;
    file.write_all(bytes)?;
    file.sync_all()?;
    fs::rename(&next, folder.join(FILE))?;
    fs::File::open(folder)?.sync_all()
}

/// Reads the view in the folder; `None` if there is none or it is damaged.
pub fn read(folder: &path::Path) -> Option<Box<view::Update>> {
    let bytes = fs::read(folder.join(FILE)).ok()?;
    let (checksum, encoded) = bytes.split_at_checked(CHECKSUM_BYTES)?;
    if *checksum != crc32fast::hash(encoded).to_le_bytes() {
        log::notice(&notice::Notice::SavedViewDamaged("its checksum differs".to_owned()));
        return None;
    }
    match delta::Delta::from_bytes(encoded).decode(&BTreeMap::new()) {
        Ok(view) => Some(Box::new(view)),
        Err(error) => {
            log::notice(&notice::Notice::SavedViewDamaged(error.to_string()));
            None
        }
    }
}
