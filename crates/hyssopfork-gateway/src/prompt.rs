//! Parts of a request's prompt, as its client names them.

use hyssopfork_fleet::quarantine;
use std::fmt;

/// Maximum number of parts that are kept of a prompt: the first ones, which most requests share.
pub const MAX_PARTS: usize = 16;

/// Parts of a prompt, in order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Parts {
    parts: [quarantine::Part; MAX_PARTS],
    /// Invariant: at most [`MAX_PARTS`].
    length: usize,
}

impl Parts {
    /// The parts; empty if the client names none.
    pub fn as_slice(&self) -> &[quarantine::Part] {
        &self.parts[..self.length]
    }
}

impl FromIterator<quarantine::Part> for Parts {
    fn from_iter<I: IntoIterator<Item = quarantine::Part>>(parts: I) -> Parts {
        let mut kept = Parts::default();
        for (place, part) in kept.parts.iter_mut().zip(parts) {
            *place = part;
            kept.length += 1;
        }
        kept
    }
}

impl fmt::Display for Parts {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, part) in self.as_slice().iter().enumerate() {
            let separator = if index == 0 { "" } else { "," };
            write!(formatter, "{separator}{part}")?;
        }
        Ok(())
    }
}
