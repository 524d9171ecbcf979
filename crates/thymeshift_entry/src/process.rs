//! Supervisor tree, start and planned stop of the entry process.

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
use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::sync::Mutex;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;
use tokio::time::timeout_at;

use crate::caller::run_listener;
use crate::control_plane::announce_shutdown;
use crate::control_plane::bootstrap;
use crate::control_plane::run_datagrams;
use crate::control_plane::run_observe;
use crate::control_plane::run_operators;
use crate::control_plane::run_peer_link;
use crate::control_plane::run_peer_server;
use crate::control_plane::run_platform;
use crate::control_plane::run_source;
use crate::control_plane::run_spare_capacity_reports;
use crate::control_plane::run_target_relay;
use crate::control_plane::run_ticker;
use crate::environment::Environment;
use crate::environment::SharedSource;
use crate::environment::Source;
use crate::ports::Listeners;
use crate::ports::StartError;
use crate::ports::bind_datagrams;
use crate::reload::run_reload;
use crate::shared::Shared;
use crate::target_client::run_link_trials;
use crate::target_client::run_pace_probes;
use crate::target_client::run_probes;

/// Interval between two checks whether all caller connections are closed.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum time for notifying peers of a planned stop.
const STOP_NOTICE_TIMEOUT: Duration = Duration::from_millis(200);

/// Addresses that the process listens on. Port 0 in the settings is replaced by the assigned port.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BoundAddresses {
    /// Listen address for callers.
    pub caller: SocketAddr,
    /// Listen address for other entry processes.
    pub peer: SocketAddr,
    /// Listen address for operators.
    pub control: SocketAddr,
    /// Listen address for readiness and metrics.
    pub observe: SocketAddr,
}

/// Outcome of a process run.
#[derive(Debug, Display, Error)]
pub enum Exit {
    /// Planned stop; all caller connections closed in time.
    #[display("stopped")]
    #[error(ignore)]
    Stopped,
    /// Planned stop; the stop bound passed before all responses were sent.
    #[display("stopped with {open} caller connections still open after the stop bound")]
    #[error(ignore)]
    DrainTimedOut {
        /// Number of caller connections that were aborted.
        open: u64,
    },
    /// A task failed more often than its restart policy allows.
    #[display("{_0}")]
    Escalated(Escalation),
}

/// Runs an entry process until it receives a stop signal or a task fails too often.
///
/// `on_bound` is called with the bound addresses.
/// Changes of the settings file at `settings_path` are applied while the process runs.
pub async fn run<E: Environment>(
    mut settings: Settings,
    settings_path: Option<String>,
    on_bound: impl FnOnce(&BoundAddresses),
) -> Result<Exit, StartError> {
    let mut stop_signals = StopSignals::new()?;
    let listeners = Listeners::bind(&mut settings)?;
    let bound = BoundAddresses {
        caller: settings.caller_address,
        peer: settings.peer_address,
        control: settings.control_address,
        observe: settings.observe_address,
    };
    install_panic_hook();
    let (socket, relay_listener) = match bind_datagrams(&mut settings)? {
        Some(ports) => (Some(ports.datagrams), Some(ports.relays)),
        None => (None, None),
    };
    let boot = boot_from_clock();
    let shared = Shared::new(
        settings,
        settings_path,
        boot,
        socket,
        E::HAS_TARGET_DISCOVERY,
        E::SOURCE_IS_VALIDATED,
        start_metrics(),
    );
    info!("started", kv: {
        vm: = shared.settings().vm, boot: = shared.boot, caller: = bound.caller,
        peer: = bound.peer, control: = bound.control, observe: = bound.observe
    });
    on_bound(&bound);
    let (closing, is_closing) = watch::channel(false);
    let source = Arc::new(Mutex::new(E::Source::new(shared.settings().platform_address)));
    let supervisor_tree =
        supervisor_tree::<E>(&shared, &source, &listeners, relay_listener, &is_closing);
    drop(listeners);
    let mut running = tokio::spawn(supervisor_tree.run());
    let serving = async {
        bootstrap::<E>(&shared, &source).await;
        set_phase(&shared, Phase::Serving);
        std::future::pending::<()>().await;
    };
    tokio::select! {
        exit = wait_for_escalation(&mut running) => return Ok(exit),
        // A stop signal is also handled while the process has no configuration yet.
        () = stop_signals.next() => {}
        () = serving => {}
    }
    let exit = stop(&shared, &closing, &mut stop_signals, &mut running).await;
    running.abort();
    Ok(exit)
}

async fn wait_for_escalation(
    running: &mut tokio::task::JoinHandle<Result<(), Escalation>>,
) -> Exit {
    let escalation = match running.await {
        Ok(Err(escalation)) => escalation,
        Ok(Ok(())) => unexpected_end("all tasks ended"),
        Err(error) => unexpected_end(&error.to_string()),
    };
    error!("giving_up", kv: { reason: = escalation });
    Exit::Escalated(escalation)
}

fn unexpected_end(last_reason: &str) -> Escalation {
    Escalation {
        path: "entry".to_owned(),
        end_count: 1,
        window: Duration::ZERO,
        last_reason: last_reason.to_owned(),
    }
}

/// Runs the planned stop.
///
/// 1. Readiness fails, and callers are asked to close their connections.
/// 2. Callers are still accepted for a while: the platform's load balancer reacts with a delay.
/// 3. Connections that wait in the accept queue are accepted, later ones are refused. Requests that
///    have arrived, queued and running ones complete.
/// 4. Peers are notified, and calls that have arrived on the other ports are answered.
async fn stop(
    shared: &Arc<Shared>,
    closing: &watch::Sender<bool>,
    stop_signals: &mut StopSignals,
    running: &mut tokio::task::JoinHandle<Result<(), Escalation>>,
) -> Exit {
    set_phase(shared, Phase::Stopping);
    let lag = Duration::from_millis(shared.settings().stop_readiness_lag_ms);
    // A skipped lag does not shorten the time for requests in flight.
    let bound_ends_at = Instant::now() + lag + shared.settings().stop_wait();
    tokio::select! {
        () = sleep(lag) => {}
        () = stop_signals.next() => warn!("stop_lag_skipped"),
        exit = wait_for_escalation(running) => return exit,
    }
    closing.send_replace(true);
    let is_drained = timeout_at(bound_ends_at, drained(shared)).await.is_ok();
    // Peers detect the stop without this notice too, so the stop bound does not wait for it.
    let notice = timeout(STOP_NOTICE_TIMEOUT, announce_shutdown(shared));
    let _ = tokio::join!(notice, close_ports(shared, bound_ends_at));
    let accepted_late = shared.metrics.accepted_late.load(Ordering::Relaxed);
    let served_late = shared.metrics.served_late.load(Ordering::Relaxed);
    if is_drained {
        info!("stopped", kv: { accepted_late, served_late });
        return Exit::Stopped;
    }
    let open = shared.metrics.caller_connections.load(Ordering::Relaxed);
    warn!("stop_bound_passed", kv: { open, accepted_late, served_late });
    Exit::DrainTimedOut { open }
}

/// Closes the ports of peers, operators and collectors once the arrived calls are answered.
/// Past the stop bound, the calls have the time of the notice to peers.
async fn close_ports(shared: &Shared, bound_ends_at: Instant) {
    let earliest = Instant::now() + STOP_NOTICE_TIMEOUT;
    let closed = shared.port_stop.run(bound_ends_at.max(earliest)).await;
    if closed.answered > 0 || closed.open > 0 {
        info!("ports_closed", kv: { answered = closed.answered, open = closed.open });
    }
}

/// Waits until no more connections are accepted, all caller connections are closed, and no request of
/// a peer's caller is relayed any more.
/// A response counts as delivered only when its last byte has been sent.
async fn drained(shared: &Shared) {
    let mut is_accepting = shared.is_accepting.subscribe();
    // The sender lives as long as `shared`, so the wait cannot fail.
    let _ = is_accepting.wait_for(|is_accepting| !is_accepting).await;
    let has_work = || {
        let metrics = &shared.metrics;
        metrics.caller_connections.load(Ordering::Relaxed) > 0
            || metrics.relays_in_progress.load(Ordering::Relaxed) > 0
    };
    while has_work() {
        sleep(DRAIN_CHECK_INTERVAL).await;
    }
}

fn set_phase(shared: &Shared, phase: Phase) {
    shared.phase.send_replace(phase);
    info!("phase", kv: { phase: = phase });
    shared.announce_phase();
    shared.peer_exchange_due.notify_one();
}

fn supervisor_tree<E: Environment>(
    shared: &Arc<Shared>,
    source: &SharedSource<E>,
    listeners: &Listeners,
    relay_listener: Option<Arc<TcpListener>>,
    is_closing: &watch::Receiver<bool>,
) -> Supervisor {
    let statuses = shared.statuses.clone();
    let is_closing = is_closing.clone();
    let listener = listeners.caller.clone();
    let callers_shared = shared.clone();
    let callers = Task::new("listener", RestartPolicy::on_failure(), move || {
        run_listener::<E::Dialect>(callers_shared.clone(), listener.clone(), is_closing.clone())
    });
    // With a datagram socket, allocators grant targets and probe them for the whole fleet.
    let prober = if shared.allocation.socket().is_some() {
        shared_task("pace_probes", shared, run_pace_probes::<E::Dialect>)
    } else {
        shared_task("probes", shared, run_probes::<E::Dialect>)
    };
    let data = Supervisor::new("data", statuses.clone())
        .with_task(callers)
        .with_task(shared_task("ticker", shared, run_ticker))
        .with_task(shared_task("link_trials", shared, run_link_trials::<E::Dialect>))
        .with_task(prober);
    // With a datagram socket, heartbeats assign the reader of the source; otherwise leases do.
    let reader = if shared.allocation.socket().is_some() {
        let (shared, source) = (shared.clone(), source.clone());
        Task::new("source", RestartPolicy::always(), move || {
            run_source::<E>(shared.clone(), source.clone())
        })
    } else {
        shared_task("platform", shared, run_platform)
    };
    let relay_shared = shared.clone();
    let relays = Task::new("target_relay", RestartPolicy::on_failure(), move || {
        run_target_relay(relay_shared.clone(), relay_listener.clone())
    });
    let control = Supervisor::new("control", statuses.clone())
        .with_task(relays)
        .with_task(reader)
        .with_task(shared_task("datagrams", shared, run_datagrams))
        .with_task(shared_task("rooms", shared, run_spare_capacity_reports))
        .with_task(shared_task("reload", shared, run_reload))
        .with_task(shared_task("peer_link", shared, run_peer_link))
        .with_task(listener_task("peer_server", shared, &listeners.peer, run_peer_server))
        .with_task(listener_task("operators", shared, &listeners.control, run_operators))
        .with_task(listener_task("observe", shared, &listeners.observe, run_observe));
    Supervisor::new("entry", statuses).with_branch(data).with_branch(control)
}

fn shared_task<F>(name: &'static str, shared: &Arc<Shared>, run: fn(Arc<Shared>) -> F) -> Task
where
    F: Future<Output = Result<(), thymeshift_supervisor::TaskError>> + Send + 'static,
{
    let shared = shared.clone();
    Task::new(name, RestartPolicy::always(), move || run(shared.clone()))
}

fn listener_task<F>(
    name: &'static str,
    shared: &Arc<Shared>,
    listener: &Arc<TcpListener>,
    run: fn(Arc<Shared>, Arc<TcpListener>) -> F,
) -> Task
where
    F: Future<Output = Result<(), thymeshift_supervisor::TaskError>> + Send + 'static,
{
    let (shared, listener) = (shared.clone(), listener.clone());
    Task::new(name, RestartPolicy::on_failure(), move || run(shared.clone(), listener.clone()))
}

/// Streams of the signals that request a stop: SIGTERM and SIGINT.
struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl StopSignals {
    fn new() -> Result<Self, StartError> {
        let to_start_error = |source| StartError::Signals { source };
        let terminate = signal(SignalKind::terminate()).map_err(to_start_error)?;
        let interrupt = signal(SignalKind::interrupt()).map_err(to_start_error)?;
        Ok(Self { terminate, interrupt })
    }

    /// Waits for the next stop signal.
    async fn next(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

/// Returns the boot number of this start: the wall clock in milliseconds.
/// The number distinguishes two starts of a process on a VM without persistent storage.
fn boot_from_clock() -> Boot {
    let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    Boot::new(since_epoch.unwrap_or_default().as_millis() as u64)
}

/// Installs a hook that logs and counts panics. A panic ends only the task in which it occurs.
fn install_panic_hook() {
    std::panic::set_hook(Box::new(|panic| {
        counter!(metric::PANICS).increment(1);
        error!("panicked", kv: { panic: = panic });
    }));
}
