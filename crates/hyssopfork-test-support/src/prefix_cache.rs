//! Least recently used (LRU) cache of prompt prefixes, which models the prefix cache of an engine.

use crate::token;
use std::collections::VecDeque;

/// Length of a prompt's prefix.
const PREFIX_BYTES: usize = 64;

/// Cache of a limited number of prefixes; evicts the least recently used prefix first.
#[derive(Debug)]
pub struct Cache {
    capacity: usize,
    recently_used: VecDeque<u64>,
}

impl Cache {
    /// Creates an empty cache of `capacity` prefixes.
    pub fn new(capacity: usize) -> Self {
        Cache { capacity, recently_used: VecDeque::new() }
    }

    /// Inserts the prefix of the prompt, and returns whether it was cached before.
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

    /// Removes all prefixes, as a restart does.
    pub fn clear(&mut self) {
        self.recently_used.clear();
    }
}
