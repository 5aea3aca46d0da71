//! Faults of a settings file, and the collector that gathers them with their positions.

use std::cell::RefCell;
use std::fmt;

/// A fault at a position of a settings file.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Fault {
    /// Line, from 1.
    pub line: usize,
    /// Column in characters, from 1.
    pub column: usize,
    /// Description of the fault and how to fix it.
    pub message: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}:{}: {}", self.line, self.column, self.message)
    }
}

/// Collects the faults of one text.
#[derive(Debug)]
pub struct Collector<'a> {
    text: &'a str,
    faults: RefCell<Vec<Fault>>,
}

impl<'a> Collector<'a> {
    /// Creates an empty collector for `text`.
    pub fn new(text: &'a str) -> Self {
        Collector { text, faults: RefCell::new(Vec::new()) }
    }

    /// Adds a fault at a byte offset of the text.
    pub fn add(&self, offset: usize, message: impl Into<String>) {
        let before = &self.text[..offset.min(self.text.len())];
        let line_start = before.rfind('\n').map_or(0, |newline| newline + 1);
        let line = before.matches('\n').count() + 1;
        let column = before[line_start..].chars().count() + 1;
        self.faults.borrow_mut().push(Fault { line, column, message: message.into() });
    }

    /// Returns all faults in the order of the text.
    pub fn into_faults(self) -> Vec<Fault> {
        let mut faults = self.faults.into_inner();
        faults.sort();
        faults
    }
}
