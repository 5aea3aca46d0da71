//! Entry role: drives the gateway core on the traffic thread, shared by all request handlers.

use crate::edge::{connection_pool, control, engine, handler, http_server, occupancy};
use crate::{clock, log, mailbox, notice};
use hyssopfork_fleet::{declaration, event as fleet_event, quarantine, view};
use hyssopfork_gateway::{action, core, event, retry_budget};
use hyssopfork_telemetry::metrics;
use hyssopfork_wire::{clock as wire_clock, name, number};
use std::cell::{Cell, OnceCell, RefCell};
use std::collections::HashMap;
use std::rc::{Rc, Weak};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;
use std::{io, net};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time;

/// What the control role publishes to the entry role.
#[derive(Debug)]
pub enum Publication {
    /// The version of the newest accepted declaration at a time.
    Confirmed {
        /// No declaration newer than `newest_version` was acknowledged before this time.
        confirmed_at: wire_clock::Instant,
        /// Version of the newest accepted declaration; 0 for none.
        newest_version: u64,
    },
    /// A new declaration, ahead of the update that it belongs to.
    Declared(Arc<declaration::Declaration>),
    /// An update of the view, with the declaration if that is new.
    Updated(Box<view::Update>, Option<Arc<declaration::Declaration>>),
}

/// Status of the entry role for other threads.
#[derive(Debug, Default)]
pub struct Status {
    /// Whether the process accepts new connections.
    pub ready: AtomicBool,
    /// Number of requests in flight.
    pub in_flight: AtomicUsize,
}

/// The entry role.
pub struct Entry {
    weak_self: Weak<Entry>,
    core: RefCell<core::Core>,
    /// Idle connections to upstreams.
    pub idle_connections: connection_pool::Pool,
    request_count: Cell<u64>,
    /// Channels for decisions about queued requests, by request number.
    waiters: RefCell<HashMap<u64, oneshot::Sender<action::Decision>>>,
    own_address: net::SocketAddr,
    mailbox: mailbox::Mailbox<control::Input>,
    status: Arc<Status>,
    registry: Arc<metrics::Registry>,
    /// Channel for counts that are shared with other entries, if that is enabled.
    counts: OnceCell<Rc<occupancy::Channel>>,
}

impl Entry {
    /// Creates the entry role around `core`. `own_address` is the address of this process among its peers.
    pub fn new(
        core: core::Core,
        own_address: net::SocketAddr,
        mailbox: mailbox::Mailbox<control::Input>,
        status: Arc<Status>,
        registry: Arc<metrics::Registry>,
    ) -> Rc<Entry> {
        Rc::new_cyclic(|weak_self| Entry {
            weak_self: weak_self.clone(),
            core: RefCell::new(core),
            idle_connections: connection_pool::Pool::default(),
            request_count: Cell::new(0),
            waiters: RefCell::default(),
            own_address,
            mailbox,
            status,
            registry,
            counts: OnceCell::new(),
        })
    }

    /// Returns the number of the next request.
    pub fn next_request_number(&self) -> u64 {
        self.request_count.set(self.request_count.get() + 1);
        self.request_count.get()
    }

    /// Registers a queued request; the receiver gets the next decision about it.
    pub fn register_waiter(&self, number: u64) -> oneshot::Receiver<action::Decision> {
        let (sender, receiver) = oneshot::channel();
        self.waiters.borrow_mut().insert(number, sender);
        receiver
    }

    /// Starts to share counts with the other entries. Must be called on the traffic thread.
    pub fn share_load(&self, socket: net::UdpSocket) -> io::Result<()> {
        let Some(entry) = self.weak_self.upgrade() else { return Ok(()) };
        let channel = Rc::new(occupancy::Channel::new(socket, self.registry.clone())?);
        let is_first = self.counts.set(channel.clone()).is_ok();
        if is_first {
            self.core.borrow_mut().share_load(occupancy::boot_number());
            actix_rt::spawn(occupancy::run(entry, channel));
        }
        Ok(())
    }

    /// Passes an event to the core, executes the actions and returns the decision about the event's
    /// request. Decisions about other requests go to their handlers.
    pub fn step(&self, event: event::Event) -> Option<action::Decision> {
        let number = event.request();
        if let Some(number) = number {
            self.waiters.borrow_mut().remove(&number);
        }
        let actions = self.core.borrow_mut().step(clock::now(), event);
        let mut decision = None;
        for action in actions {
            match action {
                action::Action::Decide(request, decided) if Some(request) == number => {
                    decision = Some(decided);
                }
                action::Action::Decide(request, decided) => self.notify_waiter(request, decided),
                action::Action::Probe(process, address) => self.probe(process, address),
                action::Action::Notice(notice) => log::notice(&notice),
                action::Action::Measure(measure) => {
                    log::record_edge_measurement(&self.registry, &measure)
                }
                action::Action::SendCounts(to, message) => {
                    if let Some(channel) = self.counts.get() {
                        channel.send(to, &message);
                    }
                }
                action::Action::CountsDropped => self.registry.count_shared_load_drop(),
                action::Action::ObserveTotalAge(age) => self.registry.observe_shared_load_age(age),
                action::Action::Report(evidence) => {
                    let observed = fleet_event::Event::Observed(self.own_address, evidence);
                    self.mailbox.post(control::Input::Event(Box::new(observed)));
                }
            }
        }
        decision
    }

    fn probe(&self, process: quarantine::Process, address: net::SocketAddr) {
        let Some(entry) = self.weak_self.upgrade() else { return };
        actix_rt::spawn(async move {
            let refused = engine::refuses_connections(address).await;
            entry.step(event::Event::Probed(process, refused));
        });
    }

    fn notify_waiter(&self, number: u64, decision: action::Decision) {
        let waiter = self.waiters.borrow_mut().remove(&number);
        if waiter.is_none_or(|waiter| waiter.send(decision).is_err()) {
            tracing::error!(number, "core decided about a request that awaits no decision");
        }
    }

    /// Records that an upstream stopped reading the body of a request.
    pub fn on_upstream_stalled(&self, instance: &name::Instance, timeout: Duration) {
        self.registry.count_stalled_upstream();
        let millis = timeout.as_millis() as u64;
        log::notice(&notice::Notice::UpstreamStalled(instance.clone(), millis));
    }

    fn update_limit_metrics(&self) {
        let core = self.core.borrow();
        self.registry.set_limit_entries(core.retry_entries());
        for (pool, usage) in core.retry_usage() {
            let retry_budget::Usage { requests, retries, limit, granted, denied } = usage;
            let usage = metrics::RetryUsage { requests, retries, limit, granted, denied };
            self.registry.set_retry_usage(pool, usage);
        }
    }

    fn update_status(&self) {
        let core = self.core.borrow();
        self.status.ready.store(core.is_ready(), Ordering::Relaxed);
        self.status.in_flight.store(core.open_requests(), Ordering::Relaxed);
        self.registry.set_request_counts(core.queued_requests(), core.open_requests());
        if let Some(table) = core.table() {
            let version = table.declaration().version;
            self.registry.set_versions(number::Configuration(version), number::Version(version));
        }
    }
}

/// Runs the entry role on this thread until the process exits.
pub async fn run(
    entry: Rc<Entry>,
    listener: net::TcpListener,
    shared: Rc<http_server::Shared>,
    mut publications: mpsc::UnboundedReceiver<Publication>,
    mut phase: watch::Receiver<http_server::Phase>,
) {
    let handler_entry = entry.clone();
    let handle = move |request| handler::handle(handler_entry.clone(), request);
    let server_shared = shared.clone();
    actix_rt::spawn(async move {
        if let Err(error) = http_server::serve(listener, server_shared, handle).await {
            tracing::error!(%error, "cannot serve clients");
        }
    });
    let mut ticks = time::interval(action::TICK_INTERVAL);
    ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            biased;
            Some(publication) = publications.recv() => match publication {
                Publication::Confirmed { confirmed_at, newest_version } => {
                    entry.step(event::Event::VersionConfirmed { confirmed_at, newest_version });
                }
                Publication::Declared(declaration) => {
                    shared.limits.set(client_limits(&declaration.limits));
                    entry.step(event::Event::Declared(declaration));
                }
                Publication::Updated(update, declaration) => {
                    if let Some(declaration) = &declaration {
                        shared.limits.set(client_limits(&declaration.limits));
                    }
                    entry.step(event::Event::ViewUpdated(update, declaration));
                }
            },
            Ok(()) = phase.changed() => {
                if *phase.borrow_and_update() == http_server::Phase::Draining {
                    entry.step(event::Event::Stop);
                }
            }
            _ = ticks.tick() => {
                entry.step(event::Event::Tick);
                entry.update_limit_metrics();
                entry.idle_connections.close_expired();
            }
        }
        entry.update_status();
    }
}

/// Limits of client connections that the declaration sets.
pub fn client_limits(declared: &declaration::Limits) -> http_server::Limits {
    http_server::Limits {
        head_bytes: declared.head_bytes,
        body_bytes: declared.body_bytes,
        head_timeout: declared.head_timeout,
        idle_timeout: declared.idle_timeout,
    }
}
