//! Output of commands: tables for people, JSON for scripts.

use serde::Serialize;
use std::io::{self, Write};

/// Format in which results are printed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, strum::EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum Format {
    /// Aligned columns, for people.
    #[default]
    Table,
    /// One JSON value, or one per line for commands that print continuously.
    Json,
}

/// Result of a command: text to print and exit code.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// Text to print, including the final newline.
    pub text: String,
    /// Exit code.
    pub exit_code: u8,
}

impl Report {
    /// Creates a result with exit code 0.
    pub fn success(text: impl Into<String>) -> Report {
        Report { text: text.into(), exit_code: 0 }
    }
}

/// Table with a header row; each column is as wide as its longest cell.
#[derive(Clone, Debug, Default)]
pub struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table with these column headers.
    pub fn new(head: &[&str]) -> Table {
        Table { rows: vec![head.iter().map(|cell| (*cell).to_owned()).collect()] }
    }

    /// Adds a row.
    pub fn add_row<const N: usize>(&mut self, cells: [String; N]) {
        self.rows.push(cells.into());
    }

    /// Formats the table as text.
    pub fn render(&self) -> String {
        let widths = self.widths();
        let mut text = String::new();
        for row in &self.rows {
            let cells = row.iter().zip(&widths);
            let padded: Vec<String> =
                cells.map(|(cell, width)| format!("{cell:<width$}")).collect();
            text.push_str(padded.join("  ").trim_end());
            text.push('\n');
        }
        text
    }

    fn widths(&self) -> Vec<usize> {
        let columns = self.rows[0].len();
        let widest = |column: usize| {
            let cells = self.rows.iter().map(|row| row[column].chars().count());
            cells.max().unwrap_or(0)
        };
        (0..columns).map(widest).collect()
    }
}

/// Formats a value as indented JSON.
pub fn to_json(value: &impl Serialize) -> String {
    let mut text = serde_json::to_string_pretty(value).expect("results are plain data");
    text.push('\n');
    text
}

/// Formats a value as one line of JSON.
pub fn to_json_line(value: &impl Serialize) -> String {
    let mut text = serde_json::to_string(value).expect("results are plain data");
    text.push('\n');
    text
}

/// Prints and flushes; a closed standard output is not an error of the command.
pub fn print(text: &str) {
    let mut stdout = io::stdout().lock();
    stdout.write_all(text.as_bytes()).and_then(|()| stdout.flush()).ok();
}
