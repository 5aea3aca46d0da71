//! Entry role: drives the gateway core on the traffic thread, shared by all request handlers.

use crate::edge::{control, conversation, engine, pool, web};
use crate::{clock, log, mailbox};
use hyssopfork_fleet::{declaration, event as fleet_event, quarantine, view};
use hyssopfork_gateway::{action, core, event};
use hyssopfork_telemetry::metrics;
use hyssopfork_wire::number;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net;
use std::rc::{Rc, Weak};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time;

/// A view update that the control role publishes to the entry role, with the declaration if that is
/// new.
pub type News = (Box<view::Update>, Option<Arc<declaration::Declaration>>);

/// Status of the entry role for other threads.
#[derive(Debug, Default)]
pub struct Status {
    /// Whether the process accepts new connections.
    pub ready: AtomicBool,
    /// Number of requests in flight.
    pub open: AtomicUsize,
}

/// The entry role.
pub struct Traffic {
    own_handle: Weak<Traffic>,
    core: RefCell<core::Core>,
    /// Idle connections to upstreams.
    pub idle: pool::Pool,
    count: Cell<u64>,
    /// Channels for decisions about queued requests, by request number.
    held: RefCell<HashMap<u64, oneshot::Sender<action::Decision>>>,
    own: net::SocketAddr,
    mailbox: mailbox::Mailbox<control::Input>,
    status: Arc<Status>,
    registry: Arc<metrics::Registry>,
}

impl Traffic {
    /// Creates the entry role around `core`. `own` is the address of this process among its peers.
    pub fn new(
        core: core::Core,
        own: net::SocketAddr,
        mailbox: mailbox::Mailbox<control::Input>,
        status: Arc<Status>,
        registry: Arc<metrics::Registry>,
    ) -> Rc<Traffic> {
        Rc::new_cyclic(|own_handle| Traffic {
            own_handle: own_handle.clone(),
            core: RefCell::new(core),
            idle: pool::Pool::default(),
            count: Cell::new(0),
            held: RefCell::default(),
            own,
            mailbox,
            status,
            registry,
        })
    }

    /// Returns the number of the next request.
    pub fn number(&self) -> u64 {
        self.count.set(self.count.get() + 1);
        self.count.get()
    }

    /// Registers a queued request; the receiver gets the next decision about it.
    pub fn held(&self, number: u64) -> oneshot::Receiver<action::Decision> {
        let (sender, receiver) = oneshot::channel();
        self.held.borrow_mut().insert(number, sender);
        receiver
    }

    /// Passes an event to the core, executes the actions and returns the decision about the event's
    /// request. Decisions about other requests go to their handlers.
    pub fn step(&self, event: event::Event) -> Option<action::Decision> {
        let number = event.request();
        if let Some(number) = number {
            self.held.borrow_mut().remove(&number);
        }
        let actions = self.core.borrow_mut().step(clock::now(), event);
        let mut decision = None;
        for action in actions {
            match action {
                action::Action::Decide(of, decided) if Some(of) == number => {
                    decision = Some(decided);
                }
                action::Action::Decide(of, decided) => self.wake(of, decided),
                action::Action::Probe(process, address) => self.probe(process, address),
                action::Action::Notice(notice) => log::notice(&notice),
                action::Action::Measure(measure) => log::measure_edge(&self.registry, &measure),
                action::Action::Report(evidence) => {
                    let seen = fleet_event::Event::Observed(self.own, evidence);
                    self.mailbox.post(control::Input::Event(Box::new(seen)));
                }
            }
        }
        decision
    }

    fn probe(&self, process: quarantine::Process, address: net::SocketAddr) {
        let Some(traffic) = self.own_handle.upgrade() else { return };
        actix_rt::spawn(async move {
            let refused = engine::refuses(address).await;
            traffic.step(event::Event::Probed(process, refused));
        });
    }

    fn wake(&self, number: u64, decision: action::Decision) {
        let held = self.held.borrow_mut().remove(&number);
        if held.is_none_or(|held| held.send(decision).is_err()) {
            tracing::error!(number, "core decided about a request that awaits no decision");
        }
    }

    fn show(&self) {
        let core = self.core.borrow();
        self.status.ready.store(core.is_ready(), Ordering::Relaxed);
        self.status.open.store(core.open_requests(), Ordering::Relaxed);
        self.registry.occupied(0, core.open_requests());
        if let Some(table) = core.table() {
            let version = table.declaration().version;
            self.registry.in_force(number::Configuration(version), number::Version(version));
        }
    }
}

/// Runs the entry role on this thread until the process exits.
pub async fn run(
    traffic: Rc<Traffic>,
    listener: net::TcpListener,
    shared: Rc<web::Shared>,
    mut news: mpsc::UnboundedReceiver<News>,
    mut phase: watch::Receiver<web::Phase>,
) {
    let serving = traffic.clone();
    let handle = move |incoming| conversation::hold(serving.clone(), incoming);
    let served = shared.clone();
    actix_rt::spawn(async move {
        if let Err(error) = web::serve(listener, served, handle).await {
            tracing::error!(%error, "cannot serve clients");
        }
    });
    let mut ticks = time::interval(action::TICK_INTERVAL);
    ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            biased;
            Some((update, declaration)) = news.recv() => {
                if let Some(declared) = &declaration {
                    shared.limits.set(limits(&declared.limits));
                }
                traffic.step(event::Event::ViewUpdated(update, declaration));
            }
            Ok(()) = phase.changed() => {
                if *phase.borrow_and_update() == web::Phase::Leaving {
                    traffic.step(event::Event::Stop);
                }
            }
            _ = ticks.tick() => {
                traffic.step(event::Event::Tick);
                traffic.idle.trim();
            }
        }
        traffic.show();
    }
}

/// Limits of client connections that the declaration sets.
pub fn limits(declared: &declaration::Limits) -> web::Limits {
    web::Limits {
        head_bytes: declared.head_bytes,
        body_bytes: declared.body_bytes,
        head_timeout: declared.head_timeout,
        idle_timeout: declared.idle_timeout,
    }
}
