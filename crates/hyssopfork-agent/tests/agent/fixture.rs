//! Fixtures: an agent with a view, a lease and an upstream, and offers to it.

use hyssopfork_agent::{action, core, event};
use hyssopfork_wire::{
    attempt, change, clock, configuration, control, fleet, member, name, number, refusal, timing,
};
use std::net;
use std::time::Duration;

/// Boot of the agent under test.
pub const BOOT: u64 = 7;

/// Time limit of a graceful stop; differs from the default.
pub const STOP_LIMIT: Duration = Duration::from_secs(20);

/// Fencing number of the group's first placement.
pub const FENCE: number::Fence = number::Fence(10);

/// An agent and the time on its clock.
pub struct Agent {
    pub core: core::Core,
    pub now: clock::Instant,
    pub view: change::View,
    renewal: Option<u64>,
}

/// First member of a group of two, with its engine loaded and a grant from the other member.
pub fn first_member() -> Agent {
    let mut agent = engine_agent("i0");
    agent.renew_lease(Duration::ZERO);
    agent.wait_for_grant_guard();
    agent.finish_load(FENCE);
    agent.receive_grant();
    agent
}

/// Second member of the same group, with its engine loaded.
pub fn second_member() -> Agent {
    let mut agent = engine_agent("i1");
    agent.renew_lease(Duration::ZERO);
    agent.wait_for_grant_guard();
    agent.finish_load(FENCE);
    agent
}

/// Agent of an engine, just started, with no view and no lease.
pub fn engine_agent(instance: &str) -> Agent {
    new_agent(instance, configuration::Kind::Engine, true)
}

/// Agent of a service, ready for attempts.
pub fn service_agent(cancels: bool) -> Agent {
    let mut agent = new_agent("s0", configuration::Kind::Service, cancels);
    agent.renew_lease(Duration::ZERO);
    agent.probe(Some(health("a", None)));
    agent
}

fn new_agent(instance: &str, kind: configuration::Kind, cancels: bool) -> Agent {
    let announcement = announcement(instance, kind, cancels);
    let control = vec![address(1), address(2)];
    let settings = core::Settings { announcement, control, stop_limit: STOP_LIMIT };
    let now = clock::Instant::from_millis(1_000);
    Agent { core: core::Core::new(settings, 1, now), now, view: view(cancels), renewal: None }
}

pub fn health(incarnation: &str, loaded: Option<number::Fence>) -> event::Health {
    event::Health { incarnation: Some(incarnation.into()), running: None, loaded }
}

/// Offer to the agent under test, the `count`th attempt of one entry.
pub fn offer(count: u64) -> attempt::Offer {
    attempt::Offer {
        attempt: identifier(count),
        boot: BOOT,
        first: false,
        version: number::Version(1),
        group: Some(("g1".into(), FENCE)),
        team: "clerks".into(),
        class: configuration::Class::Interactive,
        cost: 100,
        deadline: Duration::from_secs(4),
        resume_from: 0,
        method: "POST".into(),
        path: "/write/1".into(),
        headers: Vec::new(),
    }
}

pub fn service_offer(count: u64) -> attempt::Offer {
    attempt::Offer { group: None, ..offer(count) }
}

pub fn identifier(count: u64) -> attempt::Identifier {
    attempt::Identifier { boot: 99, count }
}

pub fn grant_request(fence: number::Fence) -> member::Request {
    member::Request {
        group: "g1".into(),
        fence,
        first: "i0".into(),
        version: number::Version(1),
        running: 1,
        draining: false,
    }
}

impl Agent {
    pub fn step(&mut self, event: event::Event) -> Vec<action::Action> {
        let actions = self.core.step(self.now, event);
        self.renewal = actions.iter().find_map(find_renewal).or(self.renewal);
        actions
    }

    /// Advances the clock in ticks, without any other event; no call gets a response.
    pub fn advance(&mut self, span: Duration) -> Vec<action::Action> {
        let end = self.now + span;
        let mut actions = Vec::new();
        while self.now < end {
            self.now = (self.now + action::TICK_INTERVAL).min(end);
            actions.extend(self.step(event::Event::Tick));
        }
        actions
    }

    /// Advances the clock without a tick, as if the process were paused.
    pub fn pause(&mut self, span: Duration) {
        self.now = self.now + span;
    }

    /// Renews the lease with the fixture's view; the response arrives after `delay`.
    pub fn renew_lease(&mut self, delay: Duration) -> Vec<action::Action> {
        if let Some(call) = self.renewal.take() {
            self.step(event::Event::ControlResponded { call, response: None });
        }
        let call = loop {
            self.step(event::Event::Tick);
            if let Some(call) = self.renewal.take() {
                break call;
            }
            self.now = self.now + action::TICK_INTERVAL;
        };
        self.now = self.now + delay;
        let update = change::Update::Whole(Box::new(self.view.clone()));
        let grant = control::Grant { duration: timing::HOLDER_LEASE, update, incarnation: None };
        let response = Some(control::Response::Granted(grant));
        self.step(event::Event::ControlResponded { call, response })
    }

    /// Changes the view, as a new version, and renews the lease.
    pub fn change_view(&mut self, change: impl FnOnce(&mut change::View)) -> Vec<action::Action> {
        change(&mut self.view);
        self.view.version = self.view.version.next();
        self.renew_lease(Duration::ZERO)
    }

    /// Waits until the process may give grants and send orders, with a fresh lease and probe.
    pub fn wait_for_grant_guard(&mut self) {
        self.probe(Some(health("a", None)));
        self.advance(timing::GROUP_GRANT_GUARD);
        self.probe(Some(health("a", None)));
        self.renew_lease(Duration::ZERO);
    }

    /// The engine carries out the pending order.
    pub fn finish_load(&mut self, fence: number::Fence) {
        self.step(event::Event::LoadFinished { fence, succeeded: true });
    }

    pub fn probe(&mut self, health: Option<event::Health>) -> Vec<action::Action> {
        self.step(event::Event::Probed(health))
    }

    /// The other member grants the newest request.
    pub fn receive_grant(&mut self) -> Vec<action::Action> {
        self.receive_grant_response(member::Response::Granted {
            duration: timing::GROUP_GRANT,
            version: self.view.version,
            leaving: false,
        })
    }

    /// The other member responds to the newest grant request.
    pub fn receive_grant_response(&mut self, response: member::Response) -> Vec<action::Action> {
        let actions = self.advance(timing::GROUP_RENEWAL_INTERVAL + action::TICK_INTERVAL);
        let request = actions
            .iter()
            .rev()
            .find_map(find_grant_request)
            .expect("the member gets a grant request");
        self.step(event::Event::GrantResponded { call: request.0, response: Some(response) })
    }

    /// Offers an attempt and forwards it to the upstream.
    pub fn forward(&mut self, offer: attempt::Offer) {
        let attempt = offer.attempt;
        let offered = self.step(event::Event::OfferArrived(offer));
        assert!(has_connect(&offered), "the offer is admitted: {offered:?}");
        let ready = self.step(event::Event::Connected(attempt));
        assert!(has_forward(&ready), "the attempt is forwarded: {ready:?}");
    }

    /// The connection of the attempt to the engine is open, and the engine reports `health` on it.
    pub fn connect_engine(&mut self, count: u64, health: event::Health) -> Vec<action::Action> {
        let (attempt, sent_at) = (identifier(count), self.now);
        self.step(event::Event::EngineConnected { attempt, sent_at, health })
    }

    pub fn request_grant(&mut self, request: member::Request) -> member::Response {
        let actions = self.step(event::Event::GrantRequested { call: 5, request });
        let reply = actions.into_iter().find_map(|action| match action {
            action::Action::ReplyGrant { call: 5, response } => Some(response),
            _ => None,
        });
        reply.expect("a grant request gets a response at once")
    }

    pub fn cancel(&mut self, count: u64) -> attempt::Cancelled {
        let attempt = identifier(count);
        let event = event::Event::CancelRequested { call: 6, attempt, boot: BOOT };
        let actions = self.step(event);
        let reply = actions.into_iter().find_map(|action| match action {
            action::Action::ReplyCancel { call: 6, outcome } => Some(outcome),
            _ => None,
        });
        reply.expect("a cancel request gets a response at once")
    }

    /// Makes an offer; returns its rejection, or `None` if it is admitted.
    pub fn offer(&mut self, offer: attempt::Offer) -> Option<refusal::Refusal> {
        let actions = self.step(event::Event::OfferArrived(offer));
        find_rejection(&actions)
    }
}

pub fn is_granted(response: &member::Response) -> bool {
    matches!(response, member::Response::Granted { .. })
}

pub fn has_connect(actions: &[action::Action]) -> bool {
    actions.iter().any(|action| matches!(action, action::Action::Connect { .. }))
}

pub fn has_forward(actions: &[action::Action]) -> bool {
    actions.iter().any(|action| matches!(action, action::Action::Forward(_)))
}

pub fn has_abort(actions: &[action::Action]) -> bool {
    actions.iter().any(|action| matches!(action, action::Action::Abort(_)))
}

pub fn has_stopped(actions: &[action::Action]) -> bool {
    actions.iter().any(|action| matches!(action, action::Action::Stopped))
}

pub fn load_orders(actions: &[action::Action]) -> Vec<number::Fence> {
    let order = |action: &action::Action| match action {
        action::Action::Order(order) => Some(order.fence),
        _ => None,
    };
    actions.iter().filter_map(order).collect()
}

pub fn find_rejection(actions: &[action::Action]) -> Option<refusal::Refusal> {
    actions.iter().find_map(|action| match action {
        action::Action::Reject { rejection, .. } => Some(*rejection),
        _ => None,
    })
}

fn find_renewal(action: &action::Action) -> Option<u64> {
    match action {
        action::Action::CallControl { call, request, .. } => {
            matches!(**request, control::Request::Renew(_)).then_some(*call)
        }
        _ => None,
    }
}

pub fn find_grant_request(action: &action::Action) -> Option<(u64, member::Request)> {
    match action {
        action::Action::RequestGrant { call, request, .. } => Some((*call, request.clone())),
        _ => None,
    }
}

fn address(port: u16) -> net::SocketAddr {
    net::SocketAddr::from(([127, 0, 0, 1], port))
}

fn announcement(instance: &str, kind: configuration::Kind, cancels: bool) -> fleet::Announcement {
    let engine = kind == configuration::Kind::Engine;
    fleet::Announcement {
        instance: instance.into(),
        zone: "zone-a".into(),
        domain: "rack-1".into(),
        pool: if engine { "engines".into() } else { "desk".into() },
        traffic: address(3),
        peer: address(4),
        profile: fleet::Profile {
            kind,
            checks_fence: false,
            resumes: engine,
            cancels,
            accelerators: 1,
            concurrency: 8,
        },
        boot: BOOT,
    }
}

fn view(cancels: bool) -> change::View {
    let json = r#"{
        "zones": {"zone-a": {}},
        "pools": {"engines": {"kind": "engine"}, "desk": {"kind": "service"}},
        "groups": {"g1": {"pool": "engines", "model": "m", "size": 2}}
    }"#;
    let mut view = change::View {
        version: number::Version(1),
        configuration: serde_json::from_str(json).expect("the declaration is well-formed"),
        ..change::View::default()
    };
    for (name, kind) in [
        ("i0", configuration::Kind::Engine),
        ("i1", configuration::Kind::Engine),
        ("i2", configuration::Kind::Engine),
        ("s0", configuration::Kind::Service),
    ] {
        let announcement = announcement(name, kind, cancels);
        let incarnation = number::Incarnation(1);
        let member = fleet::Member { announcement, incarnation, present: true, leaving: false };
        view.members.insert(name.into(), member);
    }
    set_placement(&mut view, FENCE, &["i0", "i1"]);
    view
}

pub fn set_placement(view: &mut change::View, fence: number::Fence, members: &[&str]) {
    let members = members.iter().map(|name| name::Instance::from(*name)).collect();
    view.placements.insert("g1".into(), fleet::Placement { fence, members });
}
