//! One edge process: starts its threads and stops them on request.

use crate::edge::{control, doors, folder, peers, traffic, web};
use crate::{clock, listener, log, mailbox, notice, process};
use actix_rt::{Arbiter, System};
use hyssopfork_fleet::{core, declaration, event, settings as fleet};
use hyssopfork_gateway::{core as gateway, settings as entry};
use hyssopfork_platform::operator;
use hyssopfork_settings::edge;
use hyssopfork_telemetry::{log as telemetry, metrics};
use std::net;
use std::path::Path;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::signal::unix;
use tokio::sync::{mpsc, watch};
use tokio::time;

/// Time after the request to stop at which idle connections are closed: the balancer sends no new
/// ones after two seconds, and callers have had the chance to leave by themselves.
const CLOSE_IDLE: Duration = Duration::from_millis(2_600);

/// Least time from the request to stop to the end.
const LEAST_STOP: Duration = Duration::from_millis(2_800);

/// Time before the end of the grace period at which the process ends in any case.
const STOP_MARGIN: Duration = Duration::from_millis(500);

/// Time between two looks at the settings file, which may change without a word, and at the log.
const RELOAD: Duration = Duration::from_secs(2);

/// Time between two looks at what is still open while the process stops.
const STOP_LOOK: Duration = Duration::from_millis(50);

/// Runs the process until it has stopped on request. `text` is what `path` held.
pub fn run(settings: &edge::Edge, path: &Path, text: String) -> Result<(), process::Error> {
    let lines = telemetry::Logger::start(settings.log.format, settings.log.level)?;
    System::new().block_on(supervise(settings, path, text, &lines))
}

async fn supervise(
    settings: &edge::Edge,
    path: &Path,
    mut text: String,
    lines: &telemetry::Logger,
) -> Result<(), process::Error> {
    let mut terminate = unix::signal(unix::SignalKind::terminate())?;
    let mut interrupt = unix::signal(unix::SignalKind::interrupt())?;
    let mut hangup = unix::signal(unix::SignalKind::hangup())?;
    let (mailbox, inputs) = mailbox::open();
    let (news, heard) = mpsc::unbounded_channel();
    let (phase, phases) = watch::channel(web::Phase::Serving);
    let status = Arc::<traffic::Status>::default();
    let registry = Arc::new(metrics::Registry::new());
    let starter = Starter {
        settings,
        mailbox: &mailbox,
        phases: &phases,
        status: &status,
        registry: &registry,
    };
    starter.start_control(inputs, news)?;
    starter.start_traffic(heard)?;
    log::notice(&notice::Notice::Started(settings.instance.clone(), "edge".to_owned()));
    let mut looks = time::interval(RELOAD);
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => reload(path, &mut text, &mailbox, true),
            _ = looks.tick() => {
                reload(path, &mut text, &mailbox, false);
                let dropped = lines.take_dropped_lines();
                if dropped > 0 {
                    log::notice(&notice::Notice::LinesDropped(dropped));
                }
            }
        }
    }
    stop(settings, &mailbox, &phase, &status).await;
    Ok(())
}

/// Reads the settings again, where they have changed. What other processes there are can change in
/// a running process; the rest takes a restart.
fn reload(path: &Path, text: &mut String, mailbox: &mailbox::Mailbox<control::Input>, told: bool) {
    match edge::read(path) {
        Ok((settings, now)) if now != *text => {
            *text = now;
            let seeds = settings.peer_seeds();
            log::notice(&notice::Notice::Reloaded(format!("seeds={seeds:?}")));
            let event = event::Event::SeedsChanged(seeds);
            mailbox.post(control::Input::Event(Box::new(event)));
        }
        Ok(_) if told => log::notice(&notice::Notice::Reloaded("nothing has changed".to_owned())),
        Ok(_) => {}
        Err(error) => log::notice(&notice::Notice::ReloadFailed(error.to_string())),
    }
}

/// Ends what is under way, within the grace period.
async fn stop(
    settings: &edge::Edge,
    mailbox: &mailbox::Mailbox<control::Input>,
    phase: &watch::Sender<web::Phase>,
    status: &traffic::Status,
) {
    log::notice(&notice::Notice::Stopping);
    status.ready.store(false, Ordering::Relaxed);
    phase.send_replace(web::Phase::Leaving);
    mailbox.post(control::Input::Event(Box::new(event::Event::Stop)));
    let asked = time::Instant::now();
    let most = settings.grace_period.saturating_sub(STOP_MARGIN);
    loop {
        time::sleep(STOP_LOOK).await;
        let waited = asked.elapsed();
        if waited >= CLOSE_IDLE.min(most / 2) {
            phase.send_replace(web::Phase::Closing);
        }
        let idle = status.open.load(Ordering::Relaxed) == 0;
        if waited >= most || idle && waited >= LEAST_STOP.min(most) {
            break;
        }
    }
    log::notice(&notice::Notice::Stopped);
}

struct Starter<'a> {
    settings: &'a edge::Edge,
    mailbox: &'a mailbox::Mailbox<control::Input>,
    phases: &'a watch::Receiver<web::Phase>,
    status: &'a Arc<traffic::Status>,
    registry: &'a Arc<metrics::Registry>,
}

impl Starter<'_> {
    /// Starts the thread that owns control state, with the addresses that peers, operators and
    /// upstreams call.
    fn start_control(
        &self,
        inputs: mpsc::UnboundedReceiver<control::Input>,
        news: mpsc::UnboundedSender<traffic::News>,
    ) -> Result<(), process::Error> {
        let settings = self.settings;
        let own = settings.peer_address();
        let core_settings = fleet::Settings {
            address: own,
            seeds: settings.peer_seeds(),
            first_start: settings.first_start,
            has_folder: settings.data_folder.is_some(),
            tolerated_losses: settings.tolerated_losses,
            heartbeat_interval: settings.heartbeat_interval,
        };
        let core = core::Core::new(core_settings, operator::parse_stored_declaration, clock::now());
        let folder = match &settings.data_folder {
            Some(folder) => Some(folder::Writer::start(folder.clone(), self.mailbox.clone())?),
            None => None,
        };
        let listener = listener::bind("operators and upstreams", settings.control_listen)?;
        let door =
            doors::Control { mailbox: self.mailbox.clone(), port: settings.control_listen.port() };
        let (mailbox, phases) = (self.mailbox.clone(), self.phases.clone());
        let registry = self.registry.clone();
        let place = net::SocketAddr::new(settings.control_listen.ip(), settings.metrics_port);
        let collector = listener::bind("metrics", place)?;
        Arbiter::new().spawn_fn(move || {
            let role =
                control::Role::new(core, own, folder, mailbox.clone(), news, registry.clone());
            actix_rt::spawn(role.run(inputs));
            actix_rt::spawn(async move {
                if let Err(error) = peers::serve(own, mailbox).await {
                    tracing::error!(%error, "peers can't be listened to");
                    std::process::exit(1);
                }
            });
            let shared = Rc::new(web::Shared::new(control_limits(), phases));
            serve(listener, shared.clone(), move |incoming| door.clone().answer(incoming));
            serve(collector, shared, move |incoming| doors::metrics(registry.clone(), incoming));
        });
        Ok(())
    }

    /// Starts the thread that carries callers' traffic.
    fn start_traffic(
        &self,
        news: mpsc::UnboundedReceiver<traffic::News>,
    ) -> Result<(), process::Error> {
        let settings = self.settings;
        let core_settings = entry::Settings {
            address: settings.peer_address(),
            zone: settings.zone.clone(),
            retry_ratio: settings.retry_ratio,
            retry_extra: settings.retry_extra,
            retry_window: settings.retry_window,
        };
        let core = gateway::Core::new(core_settings, rand::random(), clock::now());
        let callers = listener::bind("callers", settings.callers_listen)?;
        let balancer = listener::bind("the balancer", settings.readiness_listen)?;
        let (mailbox, status) = (self.mailbox.clone(), self.status.clone());
        let (own, phases) = (settings.peer_address(), self.phases.clone());
        let registry = self.registry.clone();
        Arbiter::new().spawn_fn(move || {
            let limits = traffic::limits(&declaration::Limits::default());
            let shared = Rc::new(web::Shared::new(limits, phases.clone()));
            let asked = status.clone();
            let traffic = traffic::Traffic::new(core, own, mailbox, status, registry);
            serve(balancer, Rc::new(web::Shared::new(limits, phases.clone())), move |incoming| {
                doors::readiness(asked.clone(), incoming)
            });
            actix_rt::spawn(traffic::run(traffic, callers, shared, news, phases));
        });
        Ok(())
    }
}

/// Limits of calls on the control address: declarations are large.
fn control_limits() -> web::Limits {
    let defaults = declaration::Limits::default();
    web::Limits {
        head_bytes: defaults.head_bytes,
        body_bytes: 2 * defaults.body_bytes,
        head_timeout: defaults.head_timeout,
        idle_timeout: 2 * defaults.idle_timeout,
    }
}

fn serve<Handle, Handled>(listener: net::TcpListener, shared: Rc<web::Shared>, handle: Handle)
where
    Handle: Fn(web::Incoming) -> Handled + Clone + 'static,
    Handled: Future<Output = web::Outgoing> + 'static,
{
    actix_rt::spawn(async move {
        if let Err(error) = web::serve(listener, shared, handle).await {
            tracing::error!(%error, "an address can't be listened to");
        }
    });
}
