//! Log lines, and the numbered events of the roles' cores.
//!
//! A line goes to standard output. The cores only return notices; this module writes them, so that
//! a notice has the same shape whatever role it comes from.

use quick_error::quick_error;
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

/// Severity.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, strum::Display, strum::EnumString,
)]
#[strum(serialize_all = "snake_case")]
pub enum Level {
    /// What needs somebody now.
    Error,
    /// What may need somebody soon.
    Warn,
    /// What changed.
    #[default]
    Info,
    /// What a developer asks for.
    Debug,
    /// Everything.
    Trace,
}

quick_error! {
    /// Why the log could not be started.
    #[derive(Debug, PartialEq, Eq)]
    pub enum Error {
        /// The process already logs.
        Started {
            display("the log was started before; start it once in a process")
        }
    }
}

/// Starts the log of this process; lines less severe than `level` are left out.
pub fn start(format: Format, level: Level) -> Result<(), Error> {
    let builder = tracing_subscriber::fmt().with_max_level(filter(level)).with_target(false);
    let started = match format {
        Format::Json => builder.json().flatten_event(true).finish().try_init(),
        Format::Text => builder.with_ansi(false).finish().try_init(),
    };
    started.map_err(|_| Error::Started)
}

/// Writes a numbered event. `name` is its entry in the catalogue, `message` tells it to people,
/// `fields` carries what scripts look for.
pub fn emit(number: u16, level: Level, name: &str, message: &str, fields: &[(&str, String)]) {
    let fields = join(fields);
    match level {
        Level::Error => tracing::error!(number, name, %fields, "{message}"),
        Level::Warn => tracing::warn!(number, name, %fields, "{message}"),
        Level::Info => tracing::info!(number, name, %fields, "{message}"),
        Level::Debug => tracing::debug!(number, name, %fields, "{message}"),
        Level::Trace => tracing::trace!(number, name, %fields, "{message}"),
    }
}

fn join(fields: &[(&str, String)]) -> String {
    let pairs: Vec<String> = fields.iter().map(|(key, value)| format!("{key}={value}")).collect();
    pairs.join(" ")
}

fn filter(level: Level) -> LevelFilter {
    match level {
        Level::Error => LevelFilter::ERROR,
        Level::Warn => LevelFilter::WARN,
        Level::Info => LevelFilter::INFO,
        Level::Debug => LevelFilter::DEBUG,
        Level::Trace => LevelFilter::TRACE,
    }
}
