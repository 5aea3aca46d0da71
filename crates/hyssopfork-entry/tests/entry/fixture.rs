//! Test fixture: an entry with a view and a lease, two services and two serving groups.

use hyssopfork_entry::{action, core, event};
use hyssopfork_wire::{
    attempt, change, claim, clock, control, fleet, frame, name, number, refusal, timing,
};
use std::net;
use std::time::Duration;

/// Stop timeout of the fixture's entry.
pub const STOP_TIMEOUT: Duration = Duration::from_secs(30);

/// An entry and the time on its clock.
pub struct Entry {
    pub core: core::Core,
    pub now: clock::Instant,
    pub view: change::View,
    renewal_call: Option<u64>,
    last_request: u64,
}

/// An attempt that the entry offered.
#[derive(Clone, Debug)]
pub struct Start {
    pub to: net::SocketAddr,
    pub offer: attempt::Offer,
    pub collect: bool,
}

/// A call to control about a claim.
pub struct ClaimCall {
    pub call: u64,
    pub request: control::Request,
}

/// An entry that holds a lease.
pub fn entry() -> Entry {
    let mut entry = entry_without_lease();
    entry.acquire_lease();
    entry
}

/// An entry that has not heard from control yet.
pub fn entry_without_lease() -> Entry {
    let now = clock::Instant::from_millis(1_000);
    let settings = core::Settings {
        instance: "entry-1".into(),
        zone: "zone-a".into(),
        control: vec![address(1), address(2)],
        boot: 99,
        stop_timeout: STOP_TIMEOUT,
    };
    let core = core::Core::new(settings, 1, now);
    Entry { core, now, view: view(), renewal_call: None, last_request: 0 }
}

pub fn arrival(path: &str) -> event::Arrival {
    event::Arrival {
        token_sha256: Some(token()),
        method: "POST".into(),
        path: path.into(),
        headers: Vec::new(),
        idempotency_key: None,
        digest: [7; 32],
        body_bytes: 10,
        prefix_hash: None,
        cost_tokens: 100,
    }
}

pub fn arrival_with_key(key: &str) -> event::Arrival {
    event::Arrival { idempotency_key: Some(key.into()), ..arrival("/lodge") }
}

pub fn head(stream: bool) -> frame::Head {
    let kind = if stream { "text/event-stream" } else { "application/json" };
    frame::Head { status: 200, headers: vec![("content-type".into(), kind.into())] }
}

impl Entry {
    pub fn step(&mut self, event: event::Event) -> Vec<action::Action> {
        let actions = self.core.step(self.now, event);
        self.renewal_call = actions.iter().find_map(find_renewal_call).or(self.renewal_call);
        actions
    }

    /// Advances the time in ticks; calls to control stay unanswered.
    pub fn advance_without_replies(&mut self, span: Duration) -> Vec<action::Action> {
        let end = self.now + span;
        let mut actions = Vec::new();
        while self.now < end {
            self.now = (self.now + action::TICK_INTERVAL).min(end);
            actions.extend(self.step(event::Event::Tick));
        }
        actions
    }

    /// Advances the time in ticks; renewals are answered.
    pub fn advance(&mut self, span: Duration) -> Vec<action::Action> {
        let end = self.now + span;
        let mut actions = Vec::new();
        while self.now < end {
            let step = self.now.until(end).min(Duration::from_millis(100));
            actions.extend(self.advance_without_replies(step));
            if self.renewal_call.is_some() {
                actions.extend(self.grant_lease());
            }
        }
        actions
    }

    /// Acquires a lease on the fixture's view.
    pub fn acquire_lease(&mut self) -> Vec<action::Action> {
        while self.renewal_call.is_none() {
            self.now = self.now + action::TICK_INTERVAL;
            self.step(event::Event::Tick);
        }
        self.grant_lease()
    }

    /// Changes the view and renews the lease on it.
    pub fn change_view(&mut self, change: impl FnOnce(&mut change::View)) -> Vec<action::Action> {
        change(&mut self.view);
        self.view.version = self.view.version.next();
        self.acquire_lease()
    }

    fn grant_lease(&mut self) -> Vec<action::Action> {
        let call = self.renewal_call.take().expect("a renewal is outstanding");
        let update = change::Update::Whole(Box::new(self.view.clone()));
        let duration = timing::HOLDER_LEASE;
        let grant = control::Grant { duration, update, incarnation: None };
        let response = Some(control::Response::Granted(grant));
        self.step(event::Event::ControlResponded { call, response })
    }

    /// A request arrives; returns its number and the resulting actions.
    pub fn arrive(&mut self, arrival: event::Arrival) -> (u64, Vec<action::Action>) {
        self.last_request += 1;
        let request = self.last_request;
        (request, self.step(event::Event::RequestArrived { request, arrival }))
    }

    /// A request arrives and is offered; returns its number and the offer.
    pub fn arrive_and_offer(&mut self, arrival: event::Arrival) -> (u64, Start) {
        let (request, actions) = self.arrive(arrival);
        (request, single_start(&actions))
    }

    /// The response to an attempt starts.
    pub fn start_response(
        &mut self,
        attempt: attempt::Identifier,
        stream: bool,
    ) -> Vec<action::Action> {
        self.step(event::Event::AttemptStarted(attempt));
        let actions = self.step(event::Event::HeadReceived(attempt, head(stream)));
        self.step(event::Event::ResponseStarted(attempt));
        actions
    }

    pub fn reject_attempt(
        &mut self,
        attempt: attempt::Identifier,
        refusal: refusal::Refusal,
    ) -> Vec<action::Action> {
        self.step(event::Event::AttemptRejected(attempt, refusal))
    }

    pub fn fail_attempt(
        &mut self,
        attempt: attempt::Identifier,
        fault: event::Fault,
        delivered: u64,
    ) -> Vec<action::Action> {
        self.step(event::Event::AttemptFailed { attempt, fault, delivered })
    }

    pub fn collect_response(
        &mut self,
        attempt: attempt::Identifier,
        body: &str,
    ) -> Vec<action::Action> {
        let body = body.to_owned().into();
        self.step(event::Event::ResponseCollected { attempt, head: head(false), body })
    }

    pub fn respond_to_call(
        &mut self,
        call: u64,
        response: control::Response,
    ) -> Vec<action::Action> {
        self.step(event::Event::ControlResponded { call, response: Some(response) })
    }

    /// A request with a key arrives and its claim is granted; returns its number and the offer.
    pub fn arrive_and_claim(&mut self, key: &str) -> (u64, Start) {
        let (request, actions) = self.arrive(arrival_with_key(key));
        let call = last_claim_call(&actions).call;
        let granted = control::Response::Claimed(claim::Reply::Granted);
        (request, single_start(&self.respond_to_call(call, granted)))
    }
}

/// The only attempt offered by the actions.
pub fn single_start(actions: &[action::Action]) -> Start {
    let starts = starts(actions);
    assert_eq!(starts.len(), 1, "expected exactly one offered attempt: {actions:?}");
    starts[0].clone()
}

pub fn starts(actions: &[action::Action]) -> Vec<Start> {
    let start = |action: &action::Action| match action {
        action::Action::StartAttempt { to, offer, collect, .. } => {
            Some(Start { to: *to, offer: (**offer).clone(), collect: *collect })
        }
        _ => None,
    };
    actions.iter().filter_map(start).collect()
}

pub fn rejection(actions: &[action::Action]) -> Option<refusal::Refusal> {
    actions.iter().find_map(|action| match action {
        action::Action::Reject { refusal, .. } => Some(*refusal),
        _ => None,
    })
}

pub fn abort(actions: &[action::Action]) -> Option<refusal::Refusal> {
    actions.iter().find_map(|action| match action {
        action::Action::Abort { refusal, .. } => Some(*refusal),
        _ => None,
    })
}

pub fn response_body(actions: &[action::Action]) -> Option<String> {
    actions.iter().find_map(|action| match action {
        action::Action::Respond { body, .. } => String::from_utf8(body.to_vec()).ok(),
        _ => None,
    })
}

pub fn cancelled_attempts(actions: &[action::Action]) -> Vec<attempt::Identifier> {
    let cancel = |action: &action::Action| match action {
        action::Action::CancelAttempt { attempt, .. } => Some(*attempt),
        _ => None,
    };
    actions.iter().filter_map(cancel).collect()
}

pub fn forwarded_attempts(actions: &[action::Action]) -> Vec<attempt::Identifier> {
    let forward = |action: &action::Action| match action {
        action::Action::ForwardResponse { attempt, .. } => Some(*attempt),
        _ => None,
    };
    actions.iter().filter_map(forward).collect()
}

pub fn has_stopped(actions: &[action::Action]) -> bool {
    actions.iter().any(|action| matches!(action, action::Action::Stopped))
}

/// The last call about a claim among the actions.
pub fn last_claim_call(actions: &[action::Action]) -> ClaimCall {
    let call = actions.iter().rev().find_map(|action| match action {
        action::Action::CallControl { call, request, .. } => match **request {
            control::Request::Claim(_) | control::Request::Record(..) => {
                Some(ClaimCall { call: *call, request: (**request).clone() })
            }
            _ => None,
        },
        _ => None,
    });
    call.expect("expected a call about a claim")
}

/// The outcome recorded by the last call among the actions.
pub fn recorded_outcome(actions: &[action::Action]) -> claim::Outcome {
    match last_claim_call(actions).request {
        control::Request::Record(_, _, outcome) => outcome,
        other => panic!("expected a recorded outcome, got {other:?}"),
    }
}

fn find_renewal_call(action: &action::Action) -> Option<u64> {
    match action {
        action::Action::CallControl { call, request, .. } => {
            matches!(**request, control::Request::Renew(_)).then_some(*call)
        }
        _ => None,
    }
}

fn address(port: u16) -> net::SocketAddr {
    net::SocketAddr::from(([127, 0, 0, 1], port))
}

fn token() -> String {
    "ab".repeat(32)
}

fn view() -> change::View {
    let json = r#"{
        "zones": {"zone-a": {}},
        "pools": {"engines": {"kind": "engine"}, "desk": {"kind": "service"}},
        "groups": {
            "g1": {"pool": "engines", "model": "m", "size": 1},
            "g2": {"pool": "engines", "model": "m", "size": 1}
        },
        "routes": {
            "write": {"prefix": "/write", "pool": "engines", "class": "interactive",
                      "repeatable": true, "deadline_ms": 4000},
            "once": {"prefix": "/write/once", "pool": "engines", "class": "interactive",
                     "deadline_ms": 4000},
            "lodge": {"prefix": "/lodge", "pool": "desk", "class": "status",
                      "deadline_ms": 3000}
        },
        "teams": {"clerks": {"token_sha256": ["TOKEN"]}}
    }"#;
    let json = json.replace("TOKEN", &token());
    let mut view = change::View {
        version: number::Version(1),
        configuration: serde_json::from_str(&json).expect("the declaration is well-formed"),
        ..change::View::default()
    };
    for (index, name) in ["i0", "i1", "s0", "s1"].into_iter().enumerate() {
        let port = 10 + index as u16;
        let kind = if index < 2 { "engine" } else { "service" };
        let profile = format!(r#"{{"kind": "{kind}", "resumes": true, "concurrency": 8}}"#);
        let announcement = fleet::Announcement {
            instance: name.into(),
            zone: "zone-a".into(),
            domain: "rack-1".into(),
            pool: if index < 2 { "engines".into() } else { "desk".into() },
            traffic: address(port),
            peer: address(port + 100),
            profile: serde_json::from_str(&profile).expect("the profile is well-formed"),
            boot: 50 + index as u64,
        };
        let incarnation = number::Incarnation(1);
        let member = fleet::Member { announcement, incarnation, present: true, leaving: false };
        view.members.insert(name.into(), member);
    }
    for (group, fence, instance) in [("g1", 10, "i0"), ("g2", 11, "i1")] {
        let members = vec![name::Instance::from(instance)];
        let placement = fleet::Placement { fence: number::Fence(fence), members };
        view.placements.insert(group.into(), placement);
    }
    view
}
