//! What a test may do to a fake back end, over `POST /fake/...`.

use crate::http;
use actix_http::Request;
use std::time::{Duration, Instant};

/// Time between two looks at whether a stall has ended.
const STALL_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// An order of a test.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Command {
    /// `/fake/stall`: nothing moves until healed; connections stay open.
    Stall,
    /// `/fake/cold`: the back end is as after a start, but keeps what it holds.
    Cold,
    /// `/fake/die?millis=N`: all work is cut and the back end is away for N ms, then starts anew.
    Die(Duration),
    /// `/fake/cut?after=N`: the next answer breaks off after N bytes (events for streams).
    Cut(usize),
    /// `/fake/delay?millis=N`: each answer begins N ms later.
    Delay(Duration),
    /// `/fake/heal`: ends stalls, delays and pending cuts.
    Heal,
}

/// Time that a back end stays away when the order gives none.
const DEFAULT_DOWNTIME: Duration = Duration::from_secs(1);

/// Reads an order from a request's path; `None` for an unknown one.
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

/// What holds now.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// Whether nothing moves.
    pub is_stalled: bool,
    /// Added before each answer.
    pub delay: Duration,
    /// Where the next answer breaks off.
    pub cut_after: Option<usize>,
    /// Until when the back end is away.
    pub down_until: Option<Instant>,
}

impl Faults {
    /// Notes an order; [`Order::Cold`] and what dying forgets are the back end's own.
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

    /// Whether the back end is away.
    pub fn is_down(&self) -> bool {
        self.down_until.is_some_and(|until| Instant::now() < until)
    }
}

/// Waits for the end of a stall that `look` reads.
pub async fn wait_while_stalled(is_stalled: impl Fn() -> bool) {
    while is_stalled() {
        actix_rt::time::sleep(STALL_POLL_INTERVAL).await;
    }
}
