//! Starts the roles that the settings give a process, and stops them on request.

use crate::{agent, clock, control, entry, http, listener, log, mailbox, monitor, notice, running};
use actix_rt::{Arbiter, System};
use hyssopfork_consensus::{journal, node};
use hyssopfork_settings::settings;
use hyssopfork_state::machine;
use hyssopfork_telemetry::metrics;
use hyssopfork_wire::{consensus, fleet};
use quick_error::quick_error;
use std::collections::HashMap;
use std::io;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use tokio::signal::unix;
use tokio::sync::oneshot;

quick_error! {
    /// Why a process could not start or continue.
    #[derive(Debug)]
    pub enum Error {
        /// Logging could not be started.
        Log(cause: hyssopfork_telemetry::log::Error) {
            from()
            source(cause)
            display("{}", cause)
        }
        /// Listening on an address failed.
        Listen(cause: listener::Error) {
            from()
            source(cause)
            display("{}", cause)
        }
        /// Opening the journal failed.
        Journal(cause: hyssopfork_consensus::error::Error) {
            from()
            source(cause)
            display("{}", cause)
        }
        /// A system call failed.
        System(cause: io::Error) {
            from()
            source(cause)
            display("{}; fix the cause and restart the process", cause)
        }
        /// A role, or the thread that owns the roles' state, ended unexpectedly.
        Ended {
            display("a role ended unexpectedly; see the log for the cause")
        }
    }
}

/// Runs the process until it is asked to stop and has stopped.
pub fn run(settings: &settings::Settings) -> Result<(), Error> {
    hyssopfork_telemetry::log::start(settings.log.format, settings.log.level)?;
    System::new().block_on(supervise(settings))
}

/// State that the roles of one process share.
struct Process<'a> {
    settings: &'a settings::Settings,
    /// The thread that owns all roles' state.
    state: Arbiter,
    registry: Arc<metrics::Registry>,
    boot: u64,
}

async fn supervise(settings: &settings::Settings) -> Result<(), Error> {
    let mut terminate = unix::signal(unix::SignalKind::terminate())?;
    let mut interrupt = unix::signal(unix::SignalKind::interrupt())?;
    let process = Process {
        settings,
        state: Arbiter::new(),
        registry: Arc::new(metrics::Registry::new()),
        boot: rand::random(),
    };
    let mut readiness = Vec::new();
    let mut running = Vec::new();
    process.start(&mut readiness, &mut running).await?;
    process.monitor(readiness)?;
    log_started(settings);
    tokio::select! {
        () = wait_for_signal(&mut terminate, &mut interrupt) => {}
        () = running::wait_for_any_end(&mut running) => return Err(Error::Ended),
    }
    log::notice(&notice::Notice::Stopping);
    let ended = running::stop_all(running);
    tokio::select! {
        () = ended => log::notice(&notice::Notice::Stopped),
        () = wait_for_signal(&mut terminate, &mut interrupt) => {
            log::notice(&notice::Notice::StoppedAtOnce);
        }
    }
    Ok(())
}

fn log_started(settings: &settings::Settings) {
    let roles: Vec<String> = settings.roles.iter().map(|role| role.to_string()).collect();
    log::notice(&notice::Notice::Started(settings.instance.clone(), roles.join(", ")));
}

async fn wait_for_signal(terminate: &mut unix::Signal, interrupt: &mut unix::Signal) {
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}

impl Process<'_> {
    async fn start(
        &self,
        readiness: &mut Vec<Arc<monitor::Readiness>>,
        running: &mut Vec<running::Handle>,
    ) -> Result<(), Error> {
        if let Some(section) = &self.settings.control {
            let ready = Arc::<monitor::Readiness>::default();
            readiness.push(ready.clone());
            running.push(self.start_control(section, ready).await?);
        }
        if let Some(section) = &self.settings.agent {
            let ready = Arc::<monitor::Readiness>::default();
            readiness.push(ready.clone());
            running.push(self.start_agent(section, ready).await?);
        }
        if let Some(section) = &self.settings.entry {
            let ready = Arc::<monitor::Readiness>::default();
            readiness.push(ready.clone());
            running.push(self.start_entry(section, ready)?);
        }
        Ok(())
    }

    fn monitor(&self, readiness: Vec<Arc<monitor::Readiness>>) -> Result<(), Error> {
        let listener = listener::bind("health and metrics", self.settings.metrics_listen)?;
        let registry = self.registry.clone();
        monitor::serve(listener, readiness, move || registry.encode())?;
        Ok(())
    }

    async fn start_control(
        &self,
        section: &hyssopfork_settings::control::Control,
        readiness: Arc<monitor::Readiness>,
    ) -> Result<running::Handle, Error> {
        let (journal, durable, folder) = journal::Journal::open(&section.data_folder)?;
        let identity = consensus::Voter { instance: self.settings.instance.clone(), folder };
        let addresses: HashMap<_, _> =
            section.voters.iter().map(|voter| (voter.instance.clone(), voter.address)).collect();
        let voters = section.voters.iter().map(|voter| voter.instance.clone()).collect();
        let options = node::Settings { voters, ..node::Settings::default() };
        let node = node::Node::new(identity, durable, options, self.boot, clock::now());
        let core_settings = hyssopfork_control::core::Settings::new(
            self.settings.instance.clone(),
            addresses.clone().into_iter().collect(),
        );
        let machine = machine::Machine::default();
        let core = hyssopfork_control::core::Core::new(core_settings, node, machine, clock::now());
        let (mailbox, inputs) = mailbox::open();
        let writer = control::journal::Writer::start(journal, mailbox.clone())?;
        self.serve(section.listen, mailbox.clone(), control::server::serve).await?;
        let (done, stopped) = oneshot::channel();
        let inbox = mailbox.clone();
        let registry = self.registry.clone();
        self.state.spawn_fn(move || {
            let peers = control::peers::Peers::new(addresses);
            let role = control::role::Role::new(core, peers, writer, readiness, registry);
            actix_rt::spawn(async move {
                role.run(inputs).await;
                let _process_gone = done.send(());
            });
        });
        let stop = move || {
            inbox.post(control::role::Input::Event(hyssopfork_control::event::Event::Stop));
        };
        Ok(running::Handle { stop: Box::new(stop), stopped })
    }

    async fn start_agent(
        &self,
        section: &hyssopfork_settings::agent::Agent,
        readiness: Arc<monitor::Readiness>,
    ) -> Result<running::Handle, Error> {
        let core_settings = hyssopfork_agent::core::Settings {
            announcement: fleet::Announcement {
                instance: self.settings.instance.clone(),
                zone: self.settings.zone.clone(),
                domain: section.domain.clone(),
                pool: section.pool.clone(),
                traffic: section.traffic_announce,
                peer: section.peer_announce,
                profile: section.profile,
                boot: self.boot,
            },
            control: self.settings.control_addresses.clone(),
            stop_limit: self.settings.stop_limit,
        };
        let core = hyssopfork_agent::core::Core::new(core_settings, self.boot, clock::now());
        let (mailbox, inputs) = mailbox::open();
        self.serve(section.peer_listen, mailbox.clone(), agent::member::serve).await?;
        let server =
            agent::http_server::Server { mailbox: mailbox.clone(), upstream: section.upstream };
        let listener = listener::bind("entries", section.traffic_listen)?;
        let threads = self.settings.threads as usize;
        let limits = http::Limits::default();
        let handle = move |request| server.clone().handle(request);
        http::serve("gate", listener, threads, limits, handle)?;
        let (done, stopped) = oneshot::channel();
        let inbox = mailbox.clone();
        let upstream = section.upstream;
        let registry = self.registry.clone();
        self.state.spawn_fn(move || {
            let role = agent::role::Role::new(core, mailbox, readiness, registry, upstream);
            actix_rt::spawn(async move {
                role.run(inputs).await;
                let _process_gone = done.send(());
            });
        });
        let stop =
            move || inbox.post(agent::role::Input::Event(hyssopfork_agent::event::Event::Stop));
        Ok(running::Handle { stop: Box::new(stop), stopped })
    }

    fn start_entry(
        &self,
        section: &hyssopfork_settings::entry::Entry,
        readiness: Arc<monitor::Readiness>,
    ) -> Result<running::Handle, Error> {
        let core_settings = hyssopfork_entry::core::Settings {
            instance: self.settings.instance.clone(),
            zone: self.settings.zone.clone(),
            control: self.settings.control_addresses.clone(),
            boot: self.boot,
            stop_timeout: self.settings.stop_limit,
        };
        let core = hyssopfork_entry::core::Core::new(core_settings, self.boot, clock::now());
        let (mailbox, inputs) = mailbox::open();
        let server = entry::http_server::Server {
            mailbox: mailbox.clone(),
            max_body_bytes: section.body_limit_bytes as usize,
            body_timeout: section.body_timeout,
            next_request: Arc::new(AtomicU64::new(1)),
            readiness: readiness.clone(),
            boot: self.boot,
        };
        let listener = listener::bind("callers", section.listen)?;
        let threads = self.settings.threads as usize;
        let limits = http::Limits {
            head_timeout: section.head_timeout,
            keep_alive: section.keep_alive,
            connections: section.connection_limit as usize,
        };
        let handle = move |request| server.clone().handle(request);
        let running_server = http::serve("callers", listener, threads, limits, handle)?;
        let (done, stopped) = oneshot::channel();
        let inbox = mailbox.clone();
        let registry = self.registry.clone();
        self.state.spawn_fn(move || {
            let role = entry::role::Role::new(core, mailbox, readiness, registry);
            actix_rt::spawn(async move {
                role.run(inputs).await;
                running_server.stop(true).await;
                let _process_gone = done.send(());
            });
        });
        let stop =
            move || inbox.post(entry::role::Input::Event(hyssopfork_entry::event::Event::Stop));
        Ok(running::Handle { stop: Box::new(stop), stopped })
    }

    /// Starts a tarpc server on the thread that owns the roles' state.
    async fn serve<Input, Serve, Served>(
        &self,
        address: std::net::SocketAddr,
        mailbox: mailbox::Mailbox<Input>,
        serve: Serve,
    ) -> Result<(), Error>
    where
        Input: Send + 'static,
        Serve: FnOnce(std::net::SocketAddr, mailbox::Mailbox<Input>) -> Served + Send + 'static,
        Served: Future<Output = Result<(), listener::Error>> + 'static,
    {
        let (sender, receiver) = oneshot::channel();
        self.state.spawn_fn(move || {
            actix_rt::spawn(async move {
                let _process_gone = sender.send(serve(address, mailbox).await);
            });
        });
        receiver.await.map_err(|_| Error::Ended)??;
        Ok(())
    }
}
