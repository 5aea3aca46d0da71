//! The traffic thread's state: the entry's core and what its conversations share.

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

/// What control hands to the entry.
pub type News = (Box<view::Update>, Option<Arc<declaration::Declaration>>);

/// What other threads may ask of the entry.
#[derive(Debug, Default)]
pub struct Status {
    /// Whether new connections are welcome.
    pub ready: AtomicBool,
    /// Requests that are not over.
    pub open: AtomicUsize,
}

/// The entry.
pub struct Traffic {
    own_handle: Weak<Traffic>,
    core: RefCell<core::Core>,
    /// Idle connections to upstreams.
    pub idle: pool::Pool,
    count: Cell<u64>,
    /// Conversations that are held, by their requests' numbers.
    held: RefCell<HashMap<u64, oneshot::Sender<action::Decision>>>,
    own: net::SocketAddr,
    mailbox: mailbox::Mailbox<control::Input>,
    status: Arc<Status>,
    registry: Arc<metrics::Registry>,
}

impl Traffic {
    /// An entry around `core`; `own` is this process's address among its peers.
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

    /// Number for another request.
    pub fn number(&self) -> u64 {
        self.count.set(self.count.get() + 1);
        self.count.get()
    }

    /// The next decision about a request that is held.
    pub fn held(&self, number: u64) -> oneshot::Receiver<action::Decision> {
        let (sender, receiver) = oneshot::channel();
        self.held.borrow_mut().insert(number, sender);
        receiver
    }

    /// Hands an event to the core and gives what it decides about the event's request. What it
    /// decides about others goes to their conversations.
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
            tracing::error!(number, "a decision came for a request that waits for none");
        }
    }

    fn show(&self) {
        let core = self.core.borrow();
        self.status.ready.store(core.is_ready(), Ordering::Relaxed);
        self.status.open.store(core.open_requests(), Ordering::Relaxed);
        self.registry.set_request_counts(0, core.open_requests());
        if let Some(table) = core.table() {
            let version = table.declaration().version;
            self.registry.set_versions(number::Configuration(version), number::Version(version));
        }
    }
}

/// Runs the entry on this thread until the process ends.
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
            tracing::error!(%error, "callers can't be listened to");
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

/// Limits of callers' connections by the declaration.
pub fn limits(declared: &declaration::Limits) -> web::Limits {
    web::Limits {
        head_bytes: declared.head_bytes,
        body_bytes: declared.body_bytes,
        head_timeout: declared.head_timeout,
        idle_timeout: declared.idle_timeout,
    }
}
