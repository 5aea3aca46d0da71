//! The single instance, and requests to it.

use hyssopfork_consensus::{node, write};
use hyssopfork_control::{action, core, event, notice};
use hyssopfork_state::machine;
use hyssopfork_wire::{
    change, clock, configuration, consensus, control, fleet, name, number, patch,
};
use std::collections::{BTreeMap, BTreeSet};
use std::net;
use std::time::Duration;

pub struct Solo {
    pub core: core::Core,
    pub now: clock::Instant,
    pub durable: node::Durable,
    /// Whether writes reach the disk at once; otherwise they are collected in `held_writes`.
    pub sync_writes: bool,
    pub held_writes: Vec<write::Write>,
    pub replies: BTreeMap<u64, control::Response>,
    pub notices: Vec<notice::Notice>,
    pub stopped: bool,
    /// Agents that renew during [`Solo::run`], with their reports.
    pub agents: BTreeMap<String, (fleet::Announcement, fleet::Report)>,
    /// Names of the agents that are leaving.
    pub leaving: BTreeSet<String>,
    calls: u64,
}

impl Solo {
    /// Starts an instance from the contents of a disk.
    pub fn start(durable: node::Durable) -> Solo {
        let now = clock::Instant::from_millis(1_000);
        let instance = name::Instance::from("c1");
        let identity = consensus::Voter { instance: instance.clone(), folder: 1 };
        let settings = node::Settings { voters: vec![instance.clone()], ..Default::default() };
        let node = node::Node::new(identity, durable.clone(), settings, 1, now);
        let settings = core::Settings::new(instance, BTreeMap::new());
        Solo {
            core: core::Core::new(settings, node, machine::Machine::new(), now),
            now,
            durable,
            sync_writes: true,
            held_writes: Vec::new(),
            replies: BTreeMap::new(),
            notices: Vec::new(),
            stopped: false,
            agents: BTreeMap::new(),
            leaving: BTreeSet::new(),
            calls: 0,
        }
    }

    /// An instance that leads a declared fleet of four engines in domain d1 and two in d2.
    pub fn leading() -> Solo {
        let mut solo = Solo::start(node::Durable::default());
        solo.advance(Duration::from_secs(3));
        solo.submit("declare", vec![patch::Operation::Declare(Box::new(declaration()))]);
        for (name, domain) in
            [("e1", "d1"), ("e2", "d1"), ("e3", "d1"), ("e4", "d1"), ("e5", "d2"), ("e6", "d2")]
        {
            solo.add_agent(name, domain, 1);
        }
        solo
    }

    /// Adds an agent that renews from now on.
    pub fn add_agent(&mut self, name: &str, domain: &str, boot: u64) {
        let report = fleet::Report { alive: true, ..Default::default() };
        self.agents.insert(name.into(), (announcement(name, domain, boot), report));
    }

    pub fn report(&mut self, name: &str) -> &mut fleet::Report {
        &mut self.agents.get_mut(name).expect("an agent").1
    }

    pub fn step(&mut self, event: event::Event) {
        for action in self.core.step(self.now, event) {
            match action {
                action::Action::Persist(write) => self.persist(write),
                action::Action::Reply { call, response } => {
                    assert!(self.replies.insert(call, response).is_none(), "answered once");
                }
                action::Action::Notice(notice) => self.notices.push(notice),
                action::Action::Stopped => self.stopped = true,
                action::Action::Send(_) => {}
                action::Action::Fail(reason) => panic!("{reason}"),
            }
        }
    }

    fn persist(&mut self, write: write::Write) {
        if !self.sync_writes {
            return self.held_writes.push(write);
        }
        self.durable.apply(&write);
        self.step(event::Event::Persisted(write.number));
    }

    /// Lets time pass with ticks only.
    pub fn advance(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.now = self.now + action::TICK_INTERVAL;
            self.step(event::Event::Tick);
        }
    }

    /// Lets time pass while every agent renews; engines load the models of their placements.
    pub fn run(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.load_models();
            let agents = self.agents.clone();
            for (name, (announcement, report)) in agents {
                let leaving = self.leaving.contains(&name);
                self.renew(announcement, report, leaving);
            }
            self.advance(Duration::from_millis(500));
        }
    }

    fn load_models(&mut self) {
        let placements = self.view().placements.clone();
        for placement in placements.values() {
            for member in &placement.members {
                if let Some((_, report)) = self.agents.get_mut(member.as_str())
                    && report.alive
                    && report.running < NEVER_LOADING
                {
                    report.joined = placement.fence;
                }
            }
        }
    }

    pub fn call(&mut self, request: control::Request) -> u64 {
        self.calls += 1;
        self.step(event::Event::Request { call: self.calls, request });
        self.calls
    }

    /// Sends a request and returns the response, if there is one at once.
    pub fn request(&mut self, request: control::Request) -> Option<control::Response> {
        let call = self.call(request);
        self.replies.remove(&call)
    }

    pub fn renew(
        &mut self,
        announcement: fleet::Announcement,
        report: fleet::Report,
        leaving: bool,
    ) -> Option<control::Response> {
        let holder = control::Holder::Agent(Box::new(announcement), report);
        let version = self.view().version;
        self.request(control::Request::Renew(control::Renewal { holder, version, leaving }))
    }

    pub fn submit(
        &mut self,
        identifier: &str,
        operations: Vec<patch::Operation>,
    ) -> Option<control::Response> {
        let base = self.view().configuration.number;
        let identifier = patch::Identifier(identifier.into());
        let patch = patch::Patch { identifier, base, author: "desk".into(), operations };
        self.request(control::Request::Submit(patch))
    }

    pub fn view(&self) -> &change::View {
        self.core.machine().view()
    }

    /// Members of a group's placement, and its fencing number.
    pub fn placement(&self, group: &str) -> Option<(Vec<String>, number::Fence)> {
        let placement = self.view().placements.get(&group.into())?;
        let members = placement.members.iter().map(name::Instance::to_string).collect();
        Some((members, placement.fence))
    }
}

/// Number of running requests that marks a fixture's engine as one that never loads.
pub const NEVER_LOADING: u32 = 1_000;

pub fn group(size: u32) -> configuration::Group {
    configuration::Group { pool: "engines".into(), model: "m".into(), size, priority: 0 }
}

pub fn announcement(instance: &str, domain: &str, boot: u64) -> fleet::Announcement {
    let address = net::SocketAddr::from(([127, 0, 0, 1], 1));
    let zone = if domain == "d2" { "zone-b" } else { "zone-a" };
    fleet::Announcement {
        instance: instance.into(),
        zone: zone.into(),
        domain: domain.into(),
        pool: "engines".into(),
        traffic: address,
        peer: address,
        profile: fleet::Profile {
            kind: configuration::Kind::Engine,
            checks_fence: true,
            resumes: true,
            cancels: true,
            accelerators: 8,
            concurrency: 4,
        },
        boot,
    }
}

pub fn declaration() -> configuration::Configuration {
    let mut declared = configuration::Configuration::default();
    for zone in ["zone-a", "zone-b"] {
        declared.zones.insert(zone.into(), configuration::Zone::default());
    }
    let pool = configuration::Pool { kind: configuration::Kind::Engine, zones: Default::default() };
    declared.pools.insert("engines".into(), pool);
    declared.groups.insert("g1".into(), group(2));
    declared
}
