//! Logging to standard output, and the numbered events of the roles' cores.
//!
//! The cores only return notices; this module writes them, so that notices of all roles have the
//! same format.

use hyssopfork_wire::level;
use quick_error::quick_error;
use std::cell::Cell;
use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::filter::EnvFilter;
use tracing_subscriber::util::SubscriberInitExt;

/// Format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum Format {
    /// One JSON object per line.
    Json,
    /// Human-readable text.
    #[default]
    Text,
}

/// Minimum severity that is written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum Threshold {
    /// Errors only.
    Error,
    /// Also conditions that put the service at risk.
    Warn,
    /// Also normal changes of state.
    #[default]
    Info,
    /// Also the steps of single requests or calls.
    Debug,
    /// Also traces of libraries.
    Trace,
}

quick_error! {
    /// Error of starting the log.
    #[derive(Debug, PartialEq, Eq)]
    pub enum Error {
        /// The log of this process has been started already.
        AlreadyStarted {
            display("the log has been started already; start it only once per process")
        }
    }
}

/// Starts the log of this process with blocking writes; events below `threshold` are discarded.
pub fn start(format: Format, threshold: Threshold) -> Result<(), Error> {
    let builder = tracing_subscriber::fmt().with_env_filter(filter(threshold)).with_target(false);
    let started = match format {
        Format::Json => builder.json().flatten_event(true).finish().try_init(),
        Format::Text => builder.with_ansi(false).finish().try_init(),
    };
    started.map_err(|_| Error::AlreadyStarted)
}

/// Maximum number of lines that are buffered for a slow reader; further lines are dropped and
/// counted.
const MAX_BUFFERED_LINES: usize = 8_192;

/// A non-blocking log.
///
/// A thread of its own writes the lines. When the reader is slow and [`MAX_BUFFERED_LINES`] are
/// buffered, further lines are dropped: a process that blocked on its log would stop serving.
pub struct Logger {
    dropped_lines: ErrorCounter,
    reported_drops: Cell<usize>,
    /// Writes the buffered lines when dropped.
    _flush_guard: WorkerGuard,
}

impl Logger {
    /// Starts the log of this process; events below `threshold` are discarded.
    pub fn start(format: Format, threshold: Threshold) -> Result<Logger, Error> {
        let builder = NonBlockingBuilder::default().lossy(true);
        let (writer, guard) =
            builder.buffered_lines_limit(MAX_BUFFERED_LINES).finish(std::io::stdout());
        let dropped_lines = writer.error_counter();
        let builder = tracing_subscriber::fmt()
            .with_env_filter(filter(threshold))
            .with_target(false)
            .with_writer(writer);
        let started = match format {
            Format::Json => builder.json().flatten_event(true).finish().try_init(),
            Format::Text => builder.with_ansi(false).finish().try_init(),
        };
        started.map_err(|_| Error::AlreadyStarted)?;
        Ok(Logger { dropped_lines, reported_drops: Cell::new(0), _flush_guard: guard })
    }

    /// Returns the number of lines dropped since the previous call.
    pub fn take_dropped_lines(&self) -> usize {
        let dropped = self.dropped_lines.dropped_lines();
        dropped - self.reported_drops.replace(dropped)
    }
}

/// Writes a numbered event. `name` is its name in the event catalogue, `message` is for human
/// readers and `fields` is for scripts, written as `key=value` pairs with spaces between them.
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

/// Filter of the events that are written. The RPC library opens a span with several fields for each
/// call, which costs more than most calls; except for traces, its spans are off.
fn filter(threshold: Threshold) -> EnvFilter {
    EnvFilter::new(match threshold {
        Threshold::Error => "error",
        Threshold::Warn => "warn",
        Threshold::Info => "info,tarpc=warn",
        Threshold::Debug => "debug,tarpc=warn",
        Threshold::Trace => "trace",
    })
}
