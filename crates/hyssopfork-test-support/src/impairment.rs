//! What a test may do to a fake back end, over `POST /fake/...`.

use crate::http;
use actix_http::Request;
use std::time::{Duration, Instant};

/// Time between two looks at whether a stall has ended.
const LOOK: Duration = Duration::from_millis(5);

/// An order of a test.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Order {
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
const AWAY: Duration = Duration::from_secs(1);

/// Reads an order from a request's path; `None` for an unknown one.
pub fn parse(request: &Request) -> Option<Order> {
    let number = |key| http::query(request, key).and_then(|text| text.parse::<u64>().ok());
    match request.path().strip_prefix("/fake/")? {
        "stall" => Some(Order::Stall),
        "cold" => Some(Order::Cold),
        "die" => Some(Order::Die(number("millis").map_or(AWAY, Duration::from_millis))),
        "cut" => Some(Order::Cut(number("after").unwrap_or(0) as usize)),
        "delay" => Some(Order::Delay(Duration::from_millis(number("millis").unwrap_or(0)))),
        "heal" => Some(Order::Heal),
        _ => None,
    }
}

/// What holds now.
#[derive(Clone, Copy, Debug, Default)]
pub struct Impairment {
    /// Whether nothing moves.
    pub stalled: bool,
    /// Added before each answer.
    pub delay: Duration,
    /// Where the next answer breaks off.
    pub cut: Option<usize>,
    /// Until when the back end is away.
    pub away_until: Option<Instant>,
}

impl Impairment {
    /// Notes an order; [`Order::Cold`] and what dying forgets are the back end's own.
    pub fn apply(&mut self, order: Order) {
        match order {
            Order::Stall => self.stalled = true,
            Order::Cold => {}
            Order::Die(time) => self.away_until = Some(Instant::now() + time),
            Order::Cut(after) => self.cut = Some(after),
            Order::Delay(time) => self.delay = time,
            Order::Heal => *self = Impairment { away_until: self.away_until, ..Self::default() },
        }
    }

    /// Whether the back end is away.
    pub fn is_away(&self) -> bool {
        self.away_until.is_some_and(|until| Instant::now() < until)
    }
}

/// Waits for the end of a stall that `look` reads.
pub async fn wait_while_stalled(look: impl Fn() -> bool) {
    while look() {
        actix_rt::time::sleep(LOOK).await;
    }
}
