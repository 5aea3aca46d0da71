//! Life cycle of an edge process: starts its threads, reloads settings and shuts down gracefully.

use crate::edge::{control, endpoints, http_server, journal, memory, peers, traffic, view_store};
use crate::{clock, listener, log, mailbox, notice, process};
use actix_rt::{Arbiter, System};
use hyssopfork_fleet::{core, declaration, event, settings as fleet_settings};
use hyssopfork_gateway::{core as gateway_core, settings as gateway_settings};
use hyssopfork_platform::operator;
use hyssopfork_settings::edge;
use hyssopfork_telemetry::{log as telemetry_log, metrics};
use std::net;
use std::path::Path;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::signal::unix;
use tokio::sync::{mpsc, watch};
use tokio::time;

/// Time from the stop request until idle connections are closed. The load balancer sends no new
/// connections after 2 s, and by then clients have had the chance to close theirs.
const IDLE_CLOSE_DELAY: Duration = Duration::from_millis(2_600);

/// Minimum time from the stop request until the process exits.
const MIN_STOP_TIME: Duration = Duration::from_millis(2_800);

/// Time before the end of the grace period at which the process exits even if requests are in
/// flight.
const STOP_MARGIN: Duration = Duration::from_millis(500);

/// Interval at which the settings file, which may change without a signal, and the count of dropped
/// log lines are checked.
const RELOAD_INTERVAL: Duration = Duration::from_secs(2);

/// File descriptors for each connection that a client may keep open: its own, and one for a request in
/// flight at an upstream, a new connection or a peer.
const DESCRIPTORS_PER_KEPT_CONNECTION: u64 = 2;

/// Interval at which the requests in flight are checked during shutdown.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Runs the process until it has stopped on request. `text` is the content of the settings file at
/// `path`.
pub fn run(settings: &edge::Edge, path: &Path, text: String) -> Result<(), process::Error> {
    let log_output = telemetry_log::Logger::start(settings.log.format, settings.log.level)?;
    System::new().block_on(supervise(settings, path, text, &log_output))
}

async fn supervise(
    settings: &edge::Edge,
    path: &Path,
    mut text: String,
    log_output: &telemetry_log::Logger,
) -> Result<(), process::Error> {
    let mut terminate = unix::signal(unix::SignalKind::terminate())?;
    let mut interrupt = unix::signal(unix::SignalKind::interrupt())?;
    let mut hangup = unix::signal(unix::SignalKind::hangup())?;
    let (mailbox, inputs) = mailbox::open();
    let (publisher, publications) = mpsc::unbounded_channel();
    let (phase, phase_receiver) = watch::channel(http_server::Phase::Serving);
    let status = Arc::<traffic::Status>::default();
    let registry = Arc::new(metrics::Registry::new());
    let starter = Starter {
        settings,
        mailbox: &mailbox,
        phase_receiver: &phase_receiver,
        status: &status,
        registry: &registry,
    };
    starter.start_control(inputs, publisher)?;
    starter.start_traffic(publications)?;
    log::notice(&notice::Notice::Started(settings.instance.clone(), "edge".to_owned()));
    let mut ticks = time::interval(RELOAD_INTERVAL);
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => reload(path, &mut text, &mailbox, true),
            _ = ticks.tick() => {
                reload(path, &mut text, &mailbox, false);
                let dropped = log_output.take_dropped_lines();
                if dropped > 0 {
                    log::notice(&notice::Notice::LinesDropped(dropped));
                }
            }
        }
    }
    stop(settings, &mailbox, &phase, &status).await;
    Ok(())
}

/// Reloads the settings if the file has changed. Only the seeds can change in a running process;
/// all other settings require a restart.
fn reload(
    path: &Path,
    text: &mut String,
    mailbox: &mailbox::Mailbox<control::Input>,
    is_requested: bool,
) {
    match edge::read(path) {
        Ok((settings, new_text)) if new_text != *text => {
            *text = new_text;
            let seeds = settings.peer_seeds();
            log::notice(&notice::Notice::Reloaded(format!("seeds={seeds:?}")));
            let event = event::Event::SeedsChanged(seeds);
            mailbox.post(control::Input::Event(Box::new(event)));
        }
        Ok(_) if is_requested => {
            log::notice(&notice::Notice::Reloaded("nothing has changed".to_owned()))
        }
        Ok(_) => {}
        Err(error) => log::notice(&notice::Notice::ReloadFailed(error.to_string())),
    }
}

/// Shuts down: lets requests in flight complete within the grace period.
async fn stop(
    settings: &edge::Edge,
    mailbox: &mailbox::Mailbox<control::Input>,
    phase: &watch::Sender<http_server::Phase>,
    status: &traffic::Status,
) {
    log::notice(&notice::Notice::Stopping);
    status.ready.store(false, Ordering::Relaxed);
    phase.send_replace(http_server::Phase::Draining);
    mailbox.post(control::Input::Event(Box::new(event::Event::Stop)));
    let started = time::Instant::now();
    let limit = settings.grace_period.saturating_sub(STOP_MARGIN);
    loop {
        time::sleep(STOP_CHECK_INTERVAL).await;
        let elapsed = started.elapsed();
        if elapsed >= IDLE_CLOSE_DELAY.min(limit / 2) {
            phase.send_replace(http_server::Phase::Closing);
        }
        let is_idle = status.in_flight.load(Ordering::Relaxed) == 0;
        if elapsed >= limit || is_idle && elapsed >= MIN_STOP_TIME.min(limit) {
            break;
        }
    }
    log::notice(&notice::Notice::Stopped);
}

struct Starter<'a> {
    settings: &'a edge::Edge,
    mailbox: &'a mailbox::Mailbox<control::Input>,
    phase_receiver: &'a watch::Receiver<http_server::Phase>,
    status: &'a Arc<traffic::Status>,
    registry: &'a Arc<metrics::Registry>,
}

impl Starter<'_> {
    /// Starts the thread that owns the control state and serves peers, and another one that serves
    /// operators and upstreams, so that their calls don't hold up the replicated log.
    fn start_control(
        &self,
        inputs: mailbox::Receiver<control::Input>,
        publisher: mpsc::UnboundedSender<traffic::Publication>,
    ) -> Result<(), process::Error> {
        let settings = self.settings;
        let own_address = settings.peer_address();
        let core_settings = fleet_settings::Settings {
            address: own_address,
            zone: settings.zone.clone(),
            seeds: settings.peer_seeds(),
            first_start: settings.first_start,
            has_folder: settings.data_folder.is_some(),
            tolerated_losses: settings.tolerated_losses,
            link_rate: settings.link_rate(),
            heartbeat_interval: settings.heartbeat_interval,
            stall_timeout: settings.stall_timeout,
        };
        let core = core::Core::new(core_settings, operator::parse_stored_declaration, clock::now());
        let storage = match &settings.data_folder {
            Some(folder) => Some(control::Storage {
                journal: journal::Writer::start(folder.clone(), self.mailbox.clone())?,
                views: view_store::Store::start(folder.clone())?,
            }),
            None => None,
        };
        let listener = listener::bind("operators and upstreams", settings.control_listen)?;
        let endpoints = endpoints::Control {
            mailbox: self.mailbox.clone(),
            port: settings.control_listen.port(),
        };
        let phase_receiver = self.phase_receiver.clone();
        let (registry, metrics_registry) = (self.registry.clone(), self.registry.clone());
        let (role_mailbox, peer_mailbox) = (self.mailbox.clone(), self.mailbox.clone());
        let metrics_address =
            net::SocketAddr::new(settings.control_listen.ip(), settings.metrics_port);
        let metrics_listener = listener::bind("metrics", metrics_address)?;
        Arbiter::new().spawn_fn(move || {
            let role =
                control::Role::new(core, own_address, storage, role_mailbox, publisher, registry);
            actix_rt::spawn(role.run(inputs));
            actix_rt::spawn(async move {
                if let Err(error) = peers::serve(own_address, peer_mailbox).await {
                    tracing::error!(%error, "cannot listen for peers");
                    std::process::exit(1);
                }
            });
        });
        Arbiter::new().spawn_fn(move || {
            let shared = Rc::new(http_server::Shared::new(control_limits(), phase_receiver));
            serve(listener, shared.clone(), move |request| endpoints.clone().handle(request));
            serve(metrics_listener, shared, move |request| {
                endpoints::get_metrics(metrics_registry.clone(), request)
            });
        });
        Ok(())
    }

    /// Starts the thread that serves client requests.
    fn start_traffic(
        &self,
        publications: mpsc::UnboundedReceiver<traffic::Publication>,
    ) -> Result<(), process::Error> {
        let settings = self.settings;
        let core_settings = gateway_settings::Settings {
            address: settings.peer_address(),
            zone: settings.zone.clone(),
            retry_ratio: settings.retry_ratio,
            retry_extra: settings.retry_extra,
            retry_window: settings.retry_window,
        };
        let core = gateway_core::Core::new(core_settings, rand::random(), clock::now());
        let client_listener = listener::bind("callers", settings.callers_listen)?;
        let readiness_listener = listener::bind("the load balancer", settings.readiness_listen)?;
        // Without the socket the entry estimates the load of the groups.
        let shared_load_address = settings.shared_load_address();
        let counts_socket = shared_load_address.and_then(|address| {
            listener::bind_datagrams("counts of other entries", address)
                .inspect_err(|error| tracing::error!(%error, "load is not shared"))
                .ok()
        });
        let (mailbox, status) = (self.mailbox.clone(), self.status.clone());
        let (own_address, phase_receiver) = (settings.peer_address(), self.phase_receiver.clone());
        let registry = self.registry.clone();
        let budget = memory::Budget::of_instance(settings.memory_mb);
        let max_kept_connections = settings.file_descriptors / DESCRIPTORS_PER_KEPT_CONNECTION;
        Arbiter::new().spawn_fn(move || {
            let limits = traffic::client_limits(&declaration::Limits::default());
            let memory = memory::Memory::new(budget, registry.clone());
            let shared = http_server::Shared::with_memory(
                limits,
                phase_receiver.clone(),
                memory,
                max_kept_connections as usize,
            );
            let shared = Rc::new(shared);
            let readiness_status = status.clone();
            let entry = traffic::Entry::new(core, own_address, mailbox, status, registry);
            if let Some(Err(error)) = counts_socket.map(|socket| entry.share_load(socket)) {
                tracing::error!(%error, "cannot share counts with other entries");
            }
            serve(
                readiness_listener,
                Rc::new(http_server::Shared::new(limits, phase_receiver.clone())),
                move |request| endpoints::get_readiness(readiness_status.clone(), request),
            );
            actix_rt::spawn(traffic::run(
                entry,
                client_listener,
                shared,
                publications,
                phase_receiver,
            ));
        });
        Ok(())
    }
}

/// Limits of requests to the control address, which are larger than those of client requests
/// because declarations are large.
fn control_limits() -> http_server::Limits {
    let defaults = declaration::Limits::default();
    http_server::Limits {
        head_bytes: defaults.head_bytes,
        body_bytes: 2 * defaults.body_bytes,
        head_timeout: defaults.head_timeout,
        idle_timeout: 2 * defaults.idle_timeout,
    }
}

fn serve<Handler, Handling>(
    listener: net::TcpListener,
    shared: Rc<http_server::Shared>,
    handler: Handler,
) where
    Handler: Fn(http_server::Request) -> Handling + Clone + 'static,
    Handling: Future<Output = http_server::Response> + 'static,
{
    actix_rt::spawn(async move {
        if let Err(error) = http_server::serve(listener, shared, handler).await {
            tracing::error!(%error, "cannot serve a listening address");
        }
    });
}
