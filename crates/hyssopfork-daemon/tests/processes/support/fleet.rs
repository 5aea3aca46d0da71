//! A small fleet: three control instances, two entries, engines and a plain service.

use super::{daemon, layout, operator, relays};
use hyssopfork_test_support::{engine, http, service};
use hyssopfork_wire::configuration;
use sha2::{Digest, Sha256};
use std::fs;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

/// Bearer token of the only team.
pub const TOKEN: &str = "alpha-token";

/// Zones of the fleet; instance `n` of each kind is in zone `n` modulo their number.
pub const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

/// An upstream: its agent's process, and the fake server in this process.
pub struct Upstream<Fake> {
    /// Name of the instance.
    pub name: String,
    /// The agent.
    pub agent: daemon::Daemon,
    /// The fake server's state.
    pub fake: Arc<Fake>,
    /// The fake server; dropped to stop it.
    pub server: Option<http::Server>,
}

/// The fleet.
pub struct Fleet {
    /// Control instances.
    pub controls: Vec<daemon::Daemon>,
    /// Addresses on which they accept calls.
    pub control_addresses: Vec<SocketAddr>,
    /// Entries.
    pub entries: Vec<daemon::Daemon>,
    /// Addresses for clients.
    pub entry_addresses: Vec<SocketAddr>,
    /// Engines.
    pub engines: Vec<Upstream<engine::Engine>>,
    /// Plain services.
    pub services: Vec<Upstream<service::Service>>,
    /// Relays that the links run through.
    pub relays: relays::Relays,
    /// Files and addresses; dropped last.
    pub layout: layout::Layout,
}

/// Composition of a fleet.
#[derive(Clone, Copy)]
pub struct Plan {
    /// Entries.
    pub entries: usize,
    /// Engines, all in one fabric domain of the first zone.
    pub engines: usize,
    /// Plain services, distributed over the zones in turn.
    pub services: usize,
    /// Whether every link runs through a relay of its own.
    pub relayed: bool,
    /// Behaviour of the engines.
    pub engine: engine::Profile,
    /// Behaviour of the services.
    pub service: service::Profile,
}

impl Default for Plan {
    fn default() -> Plan {
        Plan {
            entries: 2,
            engines: 3,
            services: 2,
            relayed: false,
            engine: engine::Profile {
                load_time: Duration::from_millis(50),
                ..engine::Profile::default()
            },
            service: service::Profile::default(),
        }
    }
}

impl Fleet {
    /// Starts all processes of the plan.
    pub fn start(plan: Plan) -> Fleet {
        let layout = layout::Layout::new();
        let controls: Vec<(String, SocketAddr)> =
            (1..=3).map(|number| (format!("control-{number}"), layout.address())).collect();
        let control_addresses: Vec<SocketAddr> =
            controls.iter().map(|(_, address)| *address).collect();
        let mut fleet = Fleet {
            controls: Vec::new(),
            control_addresses,
            entries: Vec::new(),
            entry_addresses: Vec::new(),
            engines: Vec::new(),
            services: Vec::new(),
            relays: relays::Relays::new(plan.relayed),
            layout,
        };
        fleet.start_controls(&controls);
        for number in 0..plan.entries {
            fleet.start_entry(number);
        }
        for number in 0..plan.engines {
            fleet.start_engine(number, plan.engine);
        }
        for number in 0..plan.services {
            fleet.start_service(number, plan.service);
        }
        fleet
    }

    fn start_controls(&mut self, controls: &[(String, SocketAddr)]) {
        for (number, (name, listen)) in controls.iter().enumerate() {
            let voters = layout::voters_setting(&self.relays.voters(name, controls));
            let folder = self.layout.folder.join(name);
            let rest = format!(r#""data_folder": "{}", {voters}"#, folder.display());
            let zone = ZONES[number % ZONES.len()];
            let text = layout::control_settings(name, zone, *listen, self.layout.address(), &rest);
            self.controls.push(daemon::Daemon::start(&self.layout.folder, name, &text));
        }
    }

    fn start_entry(&mut self, number: usize) {
        let name = format!("entry-{}", number + 1);
        let listen = self.layout.address();
        let controls = self.relays.controls(&name, &self.control_addresses);
        let text = format!(
            r#"{{ "instance": "{name}", "zone": "{}", "roles": ["entry"],
                  "control_addresses": {}, "metrics_listen": "{}",
                  "log": {{ "level": "debug" }}, "entry": {{ "listen": "{listen}" }} }}"#,
            ZONES[number % ZONES.len()],
            layout::address_list(&controls),
            self.layout.address(),
        );
        self.entries.push(daemon::Daemon::start(&self.layout.folder, &name, &text));
        self.entry_addresses.push(self.relays.route(relays::Link::Client, &name, listen));
    }

    fn start_engine(&mut self, number: usize, profile: engine::Profile) {
        let listener = TcpListener::bind(self.layout.address()).unwrap();
        let (server, fake) = engine::start(listener, profile).unwrap();
        let name = format!("engine-{}", number + 1);
        let profile = r#"{ "kind": "engine", "resumes": true, "cancels": true,
                           "accelerators": 4, "concurrency": 8 }"#;
        let spec = AgentSpec { name: &name, zone: ZONES[0], pool: "engines", profile };
        let agent = self.start_agent(&spec, server.address());
        self.engines.push(Upstream { name, agent, fake, server: Some(server) });
    }

    fn start_service(&mut self, number: usize, profile: service::Profile) {
        let listener = TcpListener::bind(self.layout.address()).unwrap();
        let (server, fake) = service::start(listener, profile).unwrap();
        let name = format!("service-{}", number + 1);
        let zone = ZONES[number % ZONES.len()];
        let profile = r#"{ "kind": "service", "concurrency": 8 }"#;
        let spec = AgentSpec { name: &name, zone, pool: "services", profile };
        let agent = self.start_agent(&spec, server.address());
        self.services.push(Upstream { name, agent, fake, server: Some(server) });
    }

    fn start_agent(&mut self, spec: &AgentSpec<'_>, upstream: SocketAddr) -> daemon::Daemon {
        let controls = self.relays.controls(spec.name, &self.control_addresses);
        let traffic = self.layout.address();
        let peer = self.layout.address();
        let traffic_announce = self.relays.route(relays::Link::Traffic, spec.name, traffic);
        let peer_announce = self.relays.route(relays::Link::Peer, spec.name, peer);
        let text = format!(
            r#"{{ "instance": "{}", "zone": "{}", "roles": ["agent"],
                  "control_addresses": {}, "metrics_listen": "{}", "log": {{ "level": "debug" }},
                  "agent": {{ "traffic_listen": "{traffic}", "peer_listen": "{peer}",
                              "traffic_announce": "{traffic_announce}",
                              "peer_announce": "{peer_announce}", "pool": "{}",
                              "domain": "domain-1", "upstream": "{upstream}",
                              "profile": {} }} }}"#,
            spec.name,
            spec.zone,
            layout::address_list(&controls),
            self.layout.address(),
            spec.pool,
            spec.profile,
        );
        daemon::Daemon::start(&self.layout.folder, spec.name, &text)
    }

    /// Logs of all daemons.
    pub fn read_logs(&self) -> Vec<String> {
        let engines = self.engines.iter().map(|upstream| &upstream.agent);
        let services = self.services.iter().map(|upstream| &upstream.agent);
        let daemons = self.controls.iter().chain(&self.entries).chain(engines).chain(services);
        daemons.map(daemon::Daemon::read_log).collect()
    }

    /// Copies the logs of all daemons to a folder that is kept after the test.
    pub fn copy_logs(&self, seed: u64) -> PathBuf {
        let name = format!("hyssopfork-soak-{seed}-{}", std::process::id());
        let copies = std::env::temp_dir().join(name);
        fs::create_dir_all(&copies).unwrap();
        for file in fs::read_dir(&self.layout.folder).unwrap() {
            let path = file.unwrap().path();
            if path.extension().is_some_and(|extension| extension == "log") {
                fs::copy(&path, copies.join(path.file_name().unwrap())).unwrap();
            }
        }
        copies
    }

    /// An operator that calls all control instances.
    pub fn operator(&self) -> operator::Operator {
        operator::Operator::new(self.control_addresses.clone())
    }
}

struct AgentSpec<'a> {
    name: &'a str,
    zone: &'a str,
    pool: &'a str,
    profile: &'a str,
}

/// The declaration of the fleet: one group of two engines, one pool of services, one team.
pub fn declaration() -> configuration::Configuration {
    let mut declared = configuration::Configuration::default();
    for zone in ZONES {
        declared.zones.insert(zone.into(), configuration::Zone::default());
    }
    let pool = |kind| configuration::Pool { kind, zones: Default::default() };
    declared.pools.insert("engines".into(), pool(configuration::Kind::Engine));
    declared.pools.insert("services".into(), pool(configuration::Kind::Service));
    let group = configuration::Group {
        pool: "engines".into(),
        model: "model-1".into(),
        size: 2,
        priority: 1,
    };
    declared.groups.insert("group-1".into(), group);
    let route = |prefix: &str, pool: &str, class, repeatable| configuration::Route {
        prefix: prefix.to_owned(),
        pool: pool.into(),
        class,
        repeatable,
        deadline_ms: 3_000,
    };
    let interactive = configuration::Class::Interactive;
    let status = configuration::Class::Status;
    declared.routes.insert("drafts".into(), route("/v1/", "engines", interactive, true));
    declared.routes.insert("lodge".into(), route("/lodge", "services", interactive, false));
    declared.routes.insert("status".into(), route("/status", "services", status, true));
    let token = Sha256::digest(TOKEN.as_bytes());
    let token = token.iter().map(|byte| format!("{byte:02x}")).collect();
    let team = configuration::Team { token_sha256: [token].into(), weight: 1 };
    declared.teams.insert("alpha".into(), team);
    declared
}
