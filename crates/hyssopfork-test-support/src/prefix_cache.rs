//! Memory of prompt prefixes, limited as an engine's is.

use crate::token;
use std::collections::VecDeque;

/// Bytes of a prompt that count as its prefix.
const PREFIX_BYTES: usize = 64;

/// The memory; the least recently used prefix is forgotten first.
#[derive(Debug)]
pub struct Cache {
    capacity: usize,
    recently_used: VecDeque<u64>,
}

impl Cache {
    /// An empty memory of `capacity` prefixes.
    pub fn new(capacity: usize) -> Self {
        Cache { capacity, recently_used: VecDeque::new() }
    }

    /// Whether the prompt's prefix is held; from now on it is.
    pub fn insert(&mut self, prompt: &str) -> bool {
        let bytes = prompt.as_bytes();
        let prefix = token::hash(&bytes[..bytes.len().min(PREFIX_BYTES)]);
        let position = self.recently_used.iter().position(|&held| held == prefix);
        if let Some(position) = position {
            self.recently_used.remove(position);
        }
        self.recently_used.push_front(prefix);
        self.recently_used.truncate(self.capacity);
        position.is_some()
    }

    /// Forgets everything, as a restart does.
    pub fn clear(&mut self) {
        self.recently_used.clear();
    }
}
