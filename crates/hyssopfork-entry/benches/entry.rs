//! Prints the cost of a request and of a tick for pools of several sizes, for the slopes in
//! docs/CAPACITY.md. Run with `cargo bench -p hyssopfork-entry`.

use hyssopfork_entry::{action, core, event};
use hyssopfork_wire::{attempt, change, clock, control, fleet, frame, number, timing};
use std::net;
use std::time::{Duration, Instant};

/// Requests timed per pool.
const TIMED_REQUESTS: u64 = 2_000;

/// Requests queued or in flight while ticks are timed.
const PENDING_REQUESTS: u64 = 1_000;

/// Ticks timed per pool.
const TIMED_TICKS: u32 = 200;

fn main() {
    println!("| upstreams | complete request | tick with {PENDING_REQUESTS} pending requests |");
    println!("|---|---|---|");
    for upstreams in [30, 300, 3_000] {
        let request = request_time(upstreams);
        let tick = tick_time(upstreams);
        println!("| {upstreams} | {request:.1?} | {tick:.1?} |");
    }
}

fn request_time(upstreams: u64) -> Duration {
    let mut entry = entry(upstreams);
    let begun = Instant::now();
    for request in 0..TIMED_REQUESTS {
        let attempt = offer(&mut entry, request).expect("the upstream has capacity");
        for event in [
            event::Event::LoadReported(attempt, load()),
            event::Event::AttemptStarted(attempt),
            event::Event::HeadReceived(attempt, head()),
            event::Event::ResponseStarted(attempt),
            event::Event::AttemptCompleted(attempt),
        ] {
            entry.step(now(), event);
        }
    }
    begun.elapsed() / TIMED_REQUESTS as u32
}

fn tick_time(upstreams: u64) -> Duration {
    let mut entry = entry(upstreams);
    for request in 0..PENDING_REQUESTS {
        if let Some(attempt) = offer(&mut entry, request) {
            entry.step(now(), event::Event::LoadReported(attempt, load()));
        }
    }
    let begun = Instant::now();
    for _ in 0..TIMED_TICKS {
        entry.step(now(), event::Event::Tick);
    }
    begun.elapsed() / TIMED_TICKS
}

fn offer(entry: &mut core::Core, request: u64) -> Option<attempt::Identifier> {
    let arrival = arrival();
    let actions = entry.step(now(), event::Event::RequestArrived { request, arrival });
    actions.into_iter().find_map(|action| match action {
        action::Action::StartAttempt { offer, .. } => Some(offer.attempt),
        _ => None,
    })
}

fn now() -> clock::Instant {
    clock::Instant::from_millis(1_100)
}

fn entry(upstreams: u64) -> core::Core {
    let settings = core::Settings {
        instance: "entry-1".into(),
        zone: "zone-a".into(),
        control: vec![address(1)],
        boot: 1,
        stop_timeout: timing::STOP_TIMEOUT,
    };
    let mut core = core::Core::new(settings, 1, clock::Instant::from_millis(1_000));
    let actions = core.step(now(), event::Event::Tick);
    let call = actions.iter().find_map(|action| match action {
        action::Action::CallControl { call, .. } => Some(*call),
        _ => None,
    });
    let update = change::Update::Whole(Box::new(view(upstreams)));
    let grant = control::Grant { duration: timing::HOLDER_LEASE, update, incarnation: None };
    let response = Some(control::Response::Granted(grant));
    let call = call.expect("a renewal is sent");
    core.step(now(), event::Event::ControlResponded { call, response });
    core
}

fn view(upstreams: u64) -> change::View {
    let json = r#"{
        "zones": {"zone-a": {}},
        "pools": {"desk": {"kind": "service"}},
        "routes": {"status": {"prefix": "/status", "pool": "desk", "class": "interactive",
                              "repeatable": true, "deadline_ms": 60000}},
        "teams": {"clerks": {"token_sha256": ["token"]}}
    }"#;
    let mut view = change::View {
        version: number::Version(1),
        configuration: serde_json::from_str(json).expect("the declaration is well-formed"),
        ..change::View::default()
    };
    for index in 0..upstreams {
        let instance = format!("i{index}");
        let announcement = fleet::Announcement {
            instance: instance.as_str().into(),
            zone: "zone-a".into(),
            domain: "rack-1".into(),
            pool: "desk".into(),
            traffic: address(2),
            peer: address(3),
            profile: serde_json::from_str(r#"{"kind": "service", "concurrency": 64}"#)
                .expect("the profile is well-formed"),
            boot: index,
        };
        let incarnation = number::Incarnation(1);
        let member = fleet::Member { announcement, incarnation, present: true, leaving: false };
        view.members.insert(instance.as_str().into(), member);
    }
    view
}

fn arrival() -> event::Arrival {
    event::Arrival {
        token_sha256: Some("token".into()),
        method: "GET".into(),
        path: "/status/7".into(),
        headers: Vec::new(),
        idempotency_key: None,
        digest: [0; 32],
        body_bytes: 0,
        prefix_hash: None,
        cost_tokens: 16,
    }
}

fn load() -> frame::Load {
    frame::Load { version: number::Version(1), running: 1, limit: 64, warm: true }
}

fn head() -> frame::Head {
    frame::Head { status: 200, headers: Vec::new() }
}

fn address(port: u16) -> net::SocketAddr {
    net::SocketAddr::from(([127, 0, 0, 1], port))
}
