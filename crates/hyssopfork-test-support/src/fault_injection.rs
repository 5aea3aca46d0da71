//! Fault injection into a fake upstream, by `POST /fake/...`.

use crate::http;
use actix_http::Request;
use std::time::{Duration, Instant};

/// Interval between checks whether a stall has ended.
const STALL_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// A command to inject or clear faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Command {
    /// `/fake/stall`: requests make no progress until healed; connections stay open.
    Stall,
    /// `/fake/cold`: the upstream becomes cold as after a start, but keeps its loaded state.
    Cold,
    /// `/fake/die?millis=N`: the upstream aborts all requests, is down for N ms and then restarts.
    Die(Duration),
    /// `/fake/cut?after=N`: the next response is cut off after N bytes (events for streams).
    Cut(usize),
    /// `/fake/delay?millis=N`: each response starts N ms later.
    Delay(Duration),
    /// `/fake/heal`: clears stalls, delays and pending cuts.
    Heal,
}

/// Downtime of [`Command::Die`] without a duration.
const DEFAULT_DOWNTIME: Duration = Duration::from_secs(1);

/// Parses the command in the path of a request; returns `None` for an unknown path.
pub fn parse(request: &Request) -> Option<Command> {
    let number = |key| http::query_value(request, key).and_then(|text| text.parse::<u64>().ok());
    match request.path().strip_prefix("/fake/")? {
        "stall" => Some(Command::Stall),
        "cold" => Some(Command::Cold),
        "die" => {
            Some(Command::Die(number("millis").map_or(DEFAULT_DOWNTIME, Duration::from_millis)))
        }
        "cut" => Some(Command::Cut(number("after").unwrap_or(0) as usize)),
        "delay" => Some(Command::Delay(Duration::from_millis(number("millis").unwrap_or(0)))),
        "heal" => Some(Command::Heal),
        _ => None,
    }
}

/// Faults in effect.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// Whether requests make no progress.
    pub is_stalled: bool,
    /// Delay before each response.
    pub delay: Duration,
    /// Number of bytes or events after which the next response is cut off.
    pub cut_after: Option<usize>,
    /// Time until which the upstream is down.
    pub down_until: Option<Instant>,
}

impl Faults {
    /// Applies a command. The upstream itself handles [`Command::Cold`] and the loss of state on
    /// [`Command::Die`].
    pub fn apply(&mut self, command: Command) {
        match command {
            Command::Stall => self.is_stalled = true,
            Command::Cold => {}
            Command::Die(time) => self.down_until = Some(Instant::now() + time),
            Command::Cut(after) => self.cut_after = Some(after),
            Command::Delay(time) => self.delay = time,
            Command::Heal => *self = Faults { down_until: self.down_until, ..Self::default() },
        }
    }

    /// Returns whether the upstream is down.
    pub fn is_down(&self) -> bool {
        self.down_until.is_some_and(|until| Instant::now() < until)
    }
}

/// Waits until `is_stalled` returns false.
pub async fn wait_while_stalled(is_stalled: impl Fn() -> bool) {
    while is_stalled() {
        actix_rt::time::sleep(STALL_POLL_INTERVAL).await;
    }
}
