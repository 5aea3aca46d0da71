//! Fixtures: an entry with a view and a lease before three services and two groups.

use hyssopfork_entry::{action, core, event};
use hyssopfork_wire::{
    attempt, change, claim, clock, control, fleet, frame, name, number, refusal, timing,
};
use std::net;
use std::time::Duration;

/// Time that the fixture's entry gives what is in flight when it is stopped.
pub const STOP_LIMIT: Duration = Duration::from_secs(30);

/// An entry and the time on its clock.
pub struct Entry {
    pub core: core::Core,
    pub now: clock::Instant,
    pub view: change::View,
    renewal: Option<u64>,
    requests: u64,
}

/// What an entry offered.
#[derive(Clone, Debug)]
pub struct Start {
    pub to: net::SocketAddr,
    pub offer: attempt::Offer,
    pub collect: bool,
}

/// A call about a claim.
pub struct ClaimCall {
    pub call: u64,
    pub request: control::Request,
}

/// An entry that can serve.
pub fn entry() -> Entry {
    let mut entry = stranger();
    entry.hold();
    entry
}

/// An entry that has not heard from control yet.
pub fn stranger() -> Entry {
    let now = clock::Instant::from_millis(1_000);
    let settings = core::Settings {
        instance: "entry-1".into(),
        zone: "zone-a".into(),
        control: vec![address(1), address(2)],
        boot: 99,
        stop_limit: STOP_LIMIT,
    };
    let core = core::Core::new(settings, 1, now);
    Entry { core, now, view: view(), renewal: None, requests: 0 }
}

pub fn arrival(path: &str) -> event::Arrival {
    event::Arrival {
        token_sha256: Some(token()),
        method: "POST".into(),
        path: path.into(),
        headers: Vec::new(),
        key: None,
        digest: [7; 32],
        length: 10,
        prefix: None,
        cost: 100,
    }
}

pub fn keyed(key: &str) -> event::Arrival {
    event::Arrival { key: Some(key.into()), ..arrival("/lodge") }
}

pub fn head(stream: bool) -> frame::Head {
    let kind = if stream { "text/event-stream" } else { "application/json" };
    frame::Head { status: 200, headers: vec![("content-type".into(), kind.into())] }
}

impl Entry {
    pub fn step(&mut self, event: event::Event) -> Vec<action::Action> {
        let actions = self.core.step(self.now, event);
        self.renewal = actions.iter().find_map(renewal).or(self.renewal);
        actions
    }

    /// Time passes in ticks; no call is answered.
    pub fn pass(&mut self, span: Duration) -> Vec<action::Action> {
        let end = self.now + span;
        let mut actions = Vec::new();
        while self.now < end {
            self.now = (self.now + action::TICK).min(end);
            actions.extend(self.step(event::Event::Tick));
        }
        actions
    }

    /// Time passes in ticks, and renewals are answered.
    pub fn live(&mut self, span: Duration) -> Vec<action::Action> {
        let end = self.now + span;
        let mut actions = Vec::new();
        while self.now < end {
            let rest = self.now.until(end).min(Duration::from_millis(100));
            actions.extend(self.pass(rest));
            if self.renewal.is_some() {
                actions.extend(self.grant());
            }
        }
        actions
    }

    /// Takes a lease on the fixture's view.
    pub fn hold(&mut self) -> Vec<action::Action> {
        while self.renewal.is_none() {
            self.now = self.now + action::TICK;
            self.step(event::Event::Tick);
        }
        self.grant()
    }

    /// The view moves on to another one.
    pub fn change(&mut self, change: impl FnOnce(&mut change::View)) -> Vec<action::Action> {
        change(&mut self.view);
        self.view.version = self.view.version.next();
        self.hold()
    }

    fn grant(&mut self) -> Vec<action::Action> {
        let call = self.renewal.take().expect("a renewal is outstanding");
        let update = change::Update::Whole(Box::new(self.view.clone()));
        let term = timing::HOLDER_LEASE;
        let grant = control::Grant { duration: term, update, incarnation: None };
        let response = Some(control::Response::Granted(grant));
        self.step(event::Event::Controlled { call, response })
    }

    /// A request arrives; its number, and what is done.
    pub fn arrive(&mut self, arrival: event::Arrival) -> (u64, Vec<action::Action>) {
        self.requests += 1;
        let request = self.requests;
        (request, self.step(event::Event::Arrived { request, arrival }))
    }

    /// A request arrives and is offered; its number and the offer.
    pub fn offered(&mut self, arrival: event::Arrival) -> (u64, Start) {
        let (request, actions) = self.arrive(arrival);
        (request, start(&actions))
    }

    /// The answer of an attempt begins.
    pub fn begin(&mut self, attempt: attempt::Identifier, stream: bool) -> Vec<action::Action> {
        self.step(event::Event::Started(attempt));
        let actions = self.step(event::Event::Headed(attempt, head(stream)));
        self.step(event::Event::Begun(attempt));
        actions
    }

    pub fn refuse(
        &mut self,
        attempt: attempt::Identifier,
        refusal: refusal::Refusal,
    ) -> Vec<action::Action> {
        self.step(event::Event::Refused(attempt, refusal))
    }

    pub fn fail(
        &mut self,
        attempt: attempt::Identifier,
        fault: event::Fault,
        delivered: u64,
    ) -> Vec<action::Action> {
        self.step(event::Event::Failed { attempt, fault, delivered })
    }

    pub fn collect(&mut self, attempt: attempt::Identifier, body: &str) -> Vec<action::Action> {
        let body = body.to_owned().into();
        self.step(event::Event::Collected { attempt, head: head(false), body })
    }

    pub fn reply(&mut self, call: u64, response: control::Response) -> Vec<action::Action> {
        self.step(event::Event::Controlled { call, response: Some(response) })
    }

    /// A keyed request arrives and its claim is granted; its number and the offer.
    pub fn claimed(&mut self, key: &str) -> (u64, Start) {
        let (request, actions) = self.arrive(keyed(key));
        let call = claim_call(&actions).call;
        let granted = control::Response::Claimed(claim::Reply::Granted);
        (request, start(&self.reply(call, granted)))
    }
}

/// The only offer among the actions.
pub fn start(actions: &[action::Action]) -> Start {
    let starts = starts(actions);
    assert_eq!(starts.len(), 1, "one attempt is offered: {actions:?}");
    starts[0].clone()
}

pub fn starts(actions: &[action::Action]) -> Vec<Start> {
    let start = |action: &action::Action| match action {
        action::Action::Start { to, offer, collect, .. } => {
            Some(Start { to: *to, offer: (**offer).clone(), collect: *collect })
        }
        _ => None,
    };
    actions.iter().filter_map(start).collect()
}

pub fn refused(actions: &[action::Action]) -> Option<refusal::Refusal> {
    actions.iter().find_map(|action| match action {
        action::Action::Refuse { refusal, .. } => Some(*refusal),
        _ => None,
    })
}

pub fn cut(actions: &[action::Action]) -> Option<refusal::Refusal> {
    actions.iter().find_map(|action| match action {
        action::Action::Cut { refusal, .. } => Some(*refusal),
        _ => None,
    })
}

pub fn answer(actions: &[action::Action]) -> Option<String> {
    actions.iter().find_map(|action| match action {
        action::Action::Answer { body, .. } => String::from_utf8(body.to_vec()).ok(),
        _ => None,
    })
}

pub fn cancels(actions: &[action::Action]) -> Vec<attempt::Identifier> {
    let cancel = |action: &action::Action| match action {
        action::Action::Cancel { attempt, .. } => Some(*attempt),
        _ => None,
    };
    actions.iter().filter_map(cancel).collect()
}

pub fn forwards(actions: &[action::Action]) -> Vec<attempt::Identifier> {
    let forward = |action: &action::Action| match action {
        action::Action::Forward { attempt, .. } => Some(*attempt),
        _ => None,
    };
    actions.iter().filter_map(forward).collect()
}

pub fn stops(actions: &[action::Action]) -> bool {
    actions.iter().any(|action| matches!(action, action::Action::Stopped))
}

/// The last call about a claim among the actions.
pub fn claim_call(actions: &[action::Action]) -> ClaimCall {
    let claims = actions.iter().rev().find_map(|action| match action {
        action::Action::Control { call, request, .. } => match **request {
            control::Request::Claim(_) | control::Request::Record(..) => {
                Some(ClaimCall { call: *call, request: (**request).clone() })
            }
            _ => None,
        },
        _ => None,
    });
    claims.expect("control is called about a claim")
}

/// What is recorded by the last call among the actions.
pub fn recorded(actions: &[action::Action]) -> claim::Outcome {
    match claim_call(actions).request {
        control::Request::Record(_, _, outcome) => outcome,
        other => panic!("an outcome is recorded, not {other:?}"),
    }
}

fn renewal(action: &action::Action) -> Option<u64> {
    match action {
        action::Action::Control { call, request, .. } => {
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
