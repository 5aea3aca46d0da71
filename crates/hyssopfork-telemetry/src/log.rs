//! Log lines, and the numbered events of the roles' cores.
//!
//! A line goes to standard output. The cores only return notices; this module writes them, so that
//! a notice has the same shape whatever role it comes from.

use hyssopfork_wire::level;
use quick_error::quick_error;
use std::cell::Cell;
use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::filter::LevelFilter;
use tracing_subscriber::util::SubscriberInitExt;

/// How log lines are written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum Format {
    /// One JSON object a line.
    Json,
    /// Text for people.
    #[default]
    Text,
}

/// Least severity that is written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum Threshold {
    /// Errors only.
    Error,
    /// Also what puts service at risk.
    Warn,
    /// Also ordinary changes of state.
    #[default]
    Info,
    /// Also what follows one request or call.
    Debug,
    /// Also what libraries trace.
    Trace,
}

quick_error! {
    /// Why the log could not be started.
    #[derive(Debug, PartialEq, Eq)]
    pub enum Error {
        /// The process already logs.
        AlreadyStarted {
            display("the log was started before; start it once in a process")
        }
    }
}

/// Starts the log of this process; what is below `threshold` is left out.
pub fn start(format: Format, threshold: Threshold) -> Result<(), Error> {
    let builder =
        tracing_subscriber::fmt().with_max_level(level_filter(threshold)).with_target(false);
    let started = match format {
        Format::Json => builder.json().flatten_event(true).finish().try_init(),
        Format::Text => builder.with_ansi(false).finish().try_init(),
    };
    started.map_err(|_| Error::AlreadyStarted)
}

/// Lines that wait for a slow reader; more are dropped and counted.
const MAX_BUFFERED_LINES: usize = 8_192;

/// A log that never holds its process up.
///
/// Lines go to a thread that writes them. When the reader is slow and [`WAITING_LINES`] wait, more
/// are dropped: a process that waited for its log would stop serving with it.
pub struct Logger {
    dropped_lines: ErrorCounter,
    reported_drops: Cell<usize>,
    /// Writes what still waits when it goes.
    _flush_guard: WorkerGuard,
}

impl Logger {
    /// Starts the log of this process; what is below `threshold` is left out.
    pub fn start(format: Format, threshold: Threshold) -> Result<Logger, Error> {
        let builder = NonBlockingBuilder::default().lossy(true);
        let (writer, guard) =
            builder.buffered_lines_limit(MAX_BUFFERED_LINES).finish(std::io::stdout());
        let dropped_lines = writer.error_counter();
        let builder = tracing_subscriber::fmt()
            .with_max_level(level_filter(threshold))
            .with_target(false)
            .with_writer(writer);
        let started = match format {
            Format::Json => builder.json().flatten_event(true).finish().try_init(),
            Format::Text => builder.with_ansi(false).finish().try_init(),
        };
        started.map_err(|_| Error::AlreadyStarted)?;
        Ok(Logger { dropped_lines, reported_drops: Cell::new(0), _flush_guard: guard })
    }

    /// Lines dropped since this was last asked.
    pub fn take_dropped_lines(&self) -> usize {
        let dropped = self.dropped_lines.dropped_lines();
        dropped - self.reported_drops.replace(dropped)
    }
}

/// Writes a numbered event. `name` is its entry in the catalogue, `message` tells it to people,
/// `fields` carries what scripts look for, as `key=value` with blanks between.
pub fn emit(
    number: u16,
    level: level::Level,
    name: &str,
    message: &str,
    fields: &[(&str, String)],
) {
    let fields = join_fields(fields);
    match level {
        level::Level::Error => tracing::error!(number, name, %fields, "{message}"),
        level::Level::Warn => tracing::warn!(number, name, %fields, "{message}"),
        level::Level::Info => tracing::info!(number, name, %fields, "{message}"),
        level::Level::Debug => tracing::debug!(number, name, %fields, "{message}"),
    }
}

fn join_fields(fields: &[(&str, String)]) -> String {
    let pairs: Vec<String> = fields.iter().map(|(key, value)| format!("{key}={value}")).collect();
    pairs.join(" ")
}

fn level_filter(threshold: Threshold) -> LevelFilter {
    match threshold {
        Threshold::Error => LevelFilter::ERROR,
        Threshold::Warn => LevelFilter::WARN,
        Threshold::Info => LevelFilter::INFO,
        Threshold::Debug => LevelFilter::DEBUG,
        Threshold::Trace => LevelFilter::TRACE,
    }
}
