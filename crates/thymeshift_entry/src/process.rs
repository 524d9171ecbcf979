//! The supervisor tree, start and planned stop.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::SystemTime;

use derive_more::Display;
use derive_more::Error;
use metrics::counter;
use spdlog::error;
use spdlog::info;
use spdlog::warn;
use thymeshift_config::Settings;
use thymeshift_fleet::Boot;
use thymeshift_fleet::Phase;
use thymeshift_supervisor::Escalation;
use thymeshift_supervisor::RestartPolicy;
use thymeshift_supervisor::Supervisor;
use thymeshift_supervisor::Task;
use thymeshift_telemetry::metric;
use thymeshift_telemetry::start_metrics;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::UdpSocket;
use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::sync::Mutex;
use tokio::sync::watch;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::caller::run_listener;
use crate::control_plane::bootstrap;
use crate::control_plane::run_datagrams;
use crate::control_plane::run_observe;
use crate::control_plane::run_operators;
use crate::control_plane::run_peer_link;
use crate::control_plane::run_peer_server;
use crate::control_plane::run_platform;
use crate::control_plane::run_rooms;
use crate::control_plane::run_source;
use crate::control_plane::run_ticker;
use crate::control_plane::say_goodbye;
use crate::environment::Environment;
use crate::environment::SharedSource;
use crate::environment::Source;
use crate::reload::run_reload;
use crate::shared::Shared;
use crate::target_client::run_pace_probes;
use crate::target_client::run_probes;

/// Time between two looks at whether all work is done.
const DRAIN_LOOK: Duration = Duration::from_millis(20);
/// Longest time for telling peers of a planned stop.
const GOODBYE_LIMIT: Duration = Duration::from_millis(200);

/// Connections that may wait to be accepted. One that finds no room is tried again by its
/// caller's machine only after a second.
const ACCEPT_QUEUE: u32 = 4_096;

/// Addresses that the process listens on; port 0 in the settings becomes a free one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bound {
    /// For callers.
    pub caller: SocketAddr,
    /// For peers.
    pub peer: SocketAddr,
    /// For operators.
    pub control: SocketAddr,
    /// For readiness and metrics.
    pub observe: SocketAddr,
}

/// Why the process did not start.
#[derive(Debug, Display, Error)]
pub enum StartError {
    /// An address cannot be listened on.
    #[display("listening for {purpose} on {address}: {source}")]
    Listen {
        /// Which of the addresses.
        purpose: &'static str,
        /// The address.
        address: SocketAddr,
        /// Why.
        source: io::Error,
    },
    /// Signals cannot be received.
    #[display("receiving signals: {source}")]
    Signals {
        /// Why.
        source: io::Error,
    },
}

/// How the process ended.
#[derive(Debug, Display, Error)]
pub enum Exit {
    /// As planned, with no request lost.
    #[display("stopped")]
    #[error(ignore)]
    Stopped,
    /// As planned, but the bound passed before all answers had been given.
    #[display("stopped with {open} callers' connections still open after the bound")]
    #[error(ignore)]
    BoundPassed {
        /// Connections that were cut off.
        open: u64,
    },
    /// A task failed too often.
    #[display("{_0}")]
    Escalated(Escalation),
}

struct Listeners {
    caller: Arc<TcpListener>,
    peer: Arc<TcpListener>,
    control: Arc<TcpListener>,
    observe: Arc<TcpListener>,
}

/// Runs an entry process until it is told to stop. `on_bound` hears the addresses;
/// `settings_path` is the file that the settings came from, which is read again when it
/// changes.
pub async fn run<E: Environment>(
    mut settings: Settings,
    settings_path: Option<String>,
    on_bound: impl FnOnce(&Bound),
) -> Result<Exit, StartError> {
    let mut stops = Stops::new()?;
    let listeners = Listeners::bind(&mut settings)?;
    let bound = Bound {
        caller: settings.caller_address,
        peer: settings.peer_address,
        control: settings.control_address,
        observe: settings.observe_address,
    };
    count_panics();
    let socket = bind_datagrams(&mut settings)?;
    let boot = boot_now();
    let shared = Shared::new(settings, settings_path, boot, socket, E::DISCOVERS, start_metrics());
    info!("started", kv: {
        vm: = shared.settings().vm, boot: = shared.boot, caller: = bound.caller,
        peer: = bound.peer, control: = bound.control, observe: = bound.observe
    });
    on_bound(&bound);
    let (closing, is_closing) = watch::channel(false);
    let source = Arc::new(Mutex::new(E::Source::new(shared.settings().platform_address)));
    let tree = tree::<E>(&shared, &source, &listeners, &is_closing);
    drop(listeners);
    let mut running = tokio::spawn(tree.run());
    let serving = async {
        bootstrap::<E>(&shared, &source).await;
        set_phase(&shared, Phase::Serving);
        std::future::pending::<()>().await;
    };
    tokio::select! {
        exit = escalated(&mut running) => return Ok(exit),
        // Also while there is no configuration yet.
        () = stops.next() => {}
        () = serving => {}
    }
    let exit = stop(&shared, &closing, &mut stops, &mut running).await;
    running.abort();
    Ok(exit)
}

async fn escalated(running: &mut tokio::task::JoinHandle<Result<(), Escalation>>) -> Exit {
    let escalation = match running.await {
        Ok(Err(escalation)) => escalation,
        Ok(Ok(())) => ended("all tasks ended"),
        Err(error) => ended(&error.to_string()),
    };
    error!("giving_up", kv: { reason: = escalation });
    Exit::Escalated(escalation)
}

fn ended(last_reason: &str) -> Escalation {
    Escalation {
        path: "entry".to_owned(),
        end_count: 1,
        window: Duration::ZERO,
        last_reason: last_reason.to_owned(),
    }
}

/// The planned stop. In order: readiness fails; callers are still accepted for a while,
/// because the platform's balancer lags, and are asked to close; then no new connection;
/// queued and running requests end; peers are told.
async fn stop(
    shared: &Arc<Shared>,
    closing: &watch::Sender<bool>,
    stops: &mut Stops,
    running: &mut tokio::task::JoinHandle<Result<(), Escalation>>,
) -> Exit {
    set_phase(shared, Phase::Stopping);
    let lag = Duration::from_millis(shared.settings().stop_readiness_lag_ms);
    let bound = shared.settings().stop_wait();
    tokio::select! {
        () = sleep(lag) => {}
        () = stops.next() => warn!("stop_lag_skipped"),
        exit = escalated(running) => return exit,
    }
    closing.send_replace(true);
    let is_drained = timeout(bound, drained(shared)).await.is_ok();
    // The others find out anyway; the bound set by the operator does not wait for them.
    let _ = timeout(GOODBYE_LIMIT, say_goodbye(shared)).await;
    if is_drained {
        info!("stopped");
        return Exit::Stopped;
    }
    let open = shared.metrics.caller_connections.load(Ordering::Relaxed);
    warn!("stop_bound_passed", kv: { open });
    Exit::BoundPassed { open }
}

/// Waits until no caller is connected any more: an answer counts as given only when its
/// last byte has left.
async fn drained(shared: &Shared) {
    while shared.metrics.caller_connections.load(Ordering::Relaxed) > 0 {
        sleep(DRAIN_LOOK).await;
    }
}

fn set_phase(shared: &Shared, phase: Phase) {
    shared.phase.send_replace(phase);
    info!("phase", kv: { phase: = phase });
    shared.announce_phase();
    shared.peer_exchange_due.notify_one();
}

fn tree<E: Environment>(
    shared: &Arc<Shared>,
    source: &SharedSource<E>,
    listeners: &Listeners,
    is_closing: &watch::Receiver<bool>,
) -> Supervisor {
    let statuses = shared.statuses.clone();
    let is_closing = is_closing.clone();
    let listener = listeners.caller.clone();
    let callers_shared = shared.clone();
    let callers = Task::new("listener", RestartPolicy::on_failure(), move || {
        run_listener::<E::Dialect>(callers_shared.clone(), listener.clone(), is_closing.clone())
    });
    // Where targets are granted, the allocator probes for the whole fleet.
    let prober = if shared.allocation.socket().is_some() {
        with_shared("pace_probes", shared, run_pace_probes::<E::Dialect>)
    } else {
        with_shared("probes", shared, run_probes::<E::Dialect>)
    };
    let data = Supervisor::new("data", statuses.clone())
        .with_task(callers)
        .with_task(with_shared("ticker", shared, run_ticker))
        .with_task(prober);
    // Turns are taken by heartbeats of readers where there are datagrams, else by leases.
    let reader = if shared.allocation.socket().is_some() {
        let (shared, source) = (shared.clone(), source.clone());
        Task::new("source", RestartPolicy::always(), move || {
            run_source::<E>(shared.clone(), source.clone())
        })
    } else {
        with_shared("platform", shared, run_platform)
    };
    let control = Supervisor::new("control", statuses.clone())
        .with_task(reader)
        .with_task(with_shared("datagrams", shared, run_datagrams))
        .with_task(with_shared("rooms", shared, run_rooms))
        .with_task(with_shared("reload", shared, run_reload))
        .with_task(with_shared("peer_link", shared, run_peer_link))
        .with_task(with_listener("peer_server", shared, &listeners.peer, run_peer_server))
        .with_task(with_listener("operators", shared, &listeners.control, run_operators))
        .with_task(with_listener("observe", shared, &listeners.observe, run_observe));
    Supervisor::new("entry", statuses).with_branch(data).with_branch(control)
}

fn with_shared<F>(name: &'static str, shared: &Arc<Shared>, run: fn(Arc<Shared>) -> F) -> Task
where
    F: Future<Output = Result<(), thymeshift_supervisor::TaskError>> + Send + 'static,
{
    let shared = shared.clone();
    Task::new(name, RestartPolicy::always(), move || run(shared.clone()))
}

fn with_listener<F>(
    name: &'static str,
    shared: &Arc<Shared>,
    listener: &Arc<TcpListener>,
    run: fn(Arc<Shared>, Arc<TcpListener>) -> F,
) -> Task
where
    F: Future<Output = Result<(), thymeshift_supervisor::TaskError>> + Send + 'static,
{
    let (shared, listener) = (shared.clone(), listener.clone());
    Task::new(name, RestartPolicy::always(), move || run(shared.clone(), listener.clone()))
}

impl Listeners {
    /// Binds all addresses and writes the real ones back into the settings.
    fn bind(settings: &mut Settings) -> Result<Self, StartError> {
        Ok(Self {
            caller: bind("callers", &mut settings.caller_address)?,
            peer: bind("peers", &mut settings.peer_address)?,
            control: bind("operators", &mut settings.control_address)?,
            observe: bind("readiness and metrics", &mut settings.observe_address)?,
        })
    }
}

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(ACCEPT_QUEUE)
}

fn bind_datagrams(settings: &mut Settings) -> Result<Option<Arc<UdpSocket>>, StartError> {
    let Some(address) = settings.datagram_address else {
        return Ok(None);
    };
    let refuse = |source| StartError::Listen { purpose: "datagrams", address, source };
    let socket = std::net::UdpSocket::bind(address).map_err(refuse)?;
    socket.set_nonblocking(true).map_err(refuse)?;
    let socket = UdpSocket::from_std(socket).map_err(refuse)?;
    settings.datagram_address = Some(socket.local_addr().map_err(refuse)?);
    Ok(Some(Arc::new(socket)))
}

fn bind(purpose: &'static str, address: &mut SocketAddr) -> Result<Arc<TcpListener>, StartError> {
    let wanted = *address;
    let refuse = |source| StartError::Listen { purpose, address: wanted, source };
    let listener = listen(wanted).map_err(refuse)?;
    *address = listener.local_addr().map_err(refuse)?;
    Ok(Arc::new(listener))
}

/// SIGTERM and SIGINT.
struct Stops {
    terminate: Signal,
    interrupt: Signal,
}

impl Stops {
    fn new() -> Result<Self, StartError> {
        let refuse = |source| StartError::Signals { source };
        let terminate = signal(SignalKind::terminate()).map_err(refuse)?;
        let interrupt = signal(SignalKind::interrupt()).map_err(refuse)?;
        Ok(Self { terminate, interrupt })
    }

    async fn next(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

/// The wall clock in milliseconds tells two starts apart, on a VM that keeps nothing.
fn boot_now() -> Boot {
    let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    Boot::new(since_epoch.unwrap_or_default().as_millis() as u64)
}

/// A panic ends only the task in which it arises; it is logged and counted here.
fn count_panics() {
    std::panic::set_hook(Box::new(|panic| {
        counter!(metric::PANICS).increment(1);
        error!("panicked", kv: { panic: = panic });
    }));
}
