//! Memory of prompt prefixes, limited as an engine's is.

use crate::token;
use std::collections::VecDeque;

/// Bytes of a prompt that count as its prefix.
const LENGTH: usize = 64;

/// The memory; the least recently used prefix is forgotten first.
#[derive(Debug)]
pub struct Memory {
    capacity: usize,
    recent: VecDeque<u64>,
}

impl Memory {
    /// An empty memory of `capacity` prefixes.
    pub fn new(capacity: usize) -> Self {
        Memory { capacity, recent: VecDeque::new() }
    }

    /// Whether the prompt's prefix is held; from now on it is.
    pub fn touch(&mut self, prompt: &str) -> bool {
        let bytes = prompt.as_bytes();
        let prefix = token::hash(&bytes[..bytes.len().min(LENGTH)]);
        let place = self.recent.iter().position(|&held| held == prefix);
        if let Some(place) = place {
            self.recent.remove(place);
        }
        self.recent.push_front(prefix);
        self.recent.truncate(self.capacity);
        place.is_some()
    }

    /// Forgets everything, as a restart does.
    pub fn clear(&mut self) {
        self.recent.clear();
    }
}
