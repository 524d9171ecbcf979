//! Periodic work: ends expired waits, detects process pauses, closes idle connections.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use metrics::counter;
use metrics::gauge;
use spdlog::warn;
use thymeshift_supervisor::TaskError;
use thymeshift_telemetry::metric;
use thymeshift_telemetry::take_dropped_lines;
use thymeshift_types::BootClock;
use thymeshift_types::Clock;
use thymeshift_types::Timestamp;
use tokio::time::timeout;

use crate::control_plane::lag_log::LagLog;
use crate::shared::Shared;

/// Interval between two ticks while requests wait; a wait may exceed its limit by one interval.
const TICK_INTERVAL: Duration = Duration::from_millis(10);
/// Interval between two ticks while no request waits: short enough to detect process pauses.
const IDLE_TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between two checks whether targets that differ from the source's list are still kept or
/// withheld. A target that has left must be dropped within the drain time after the keeping time.
const SETTLE_INTERVAL: Duration = Duration::from_millis(200);
/// Interval between two runs of the housekeeping.
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_secs(1);

/// Runs the ticks and the housekeeping in an endless loop.
pub(crate) async fn run_ticker(shared: Arc<Shared>) -> Result<(), TaskError> {
    let mut last_tick_at = BootClock.now();
    let mut housekeeping_at = last_tick_at;
    let mut settled_at = last_tick_at;
    let mut late_max = Duration::ZERO;
    let mut lag_log = LagLog::default();
    loop {
        let wait = if has_waiting(&shared) { TICK_INTERVAL } else { IDLE_TICK_INTERVAL };
        // A request that starts to wait ends the interval early.
        let is_early = timeout(wait, shared.request_queued.notified()).await.is_ok();
        let now = BootClock.now();
        if !is_early {
            late_max = late_max.max(now.since(last_tick_at).saturating_sub(wait));
        }
        last_tick_at = now;
        tick_services(&shared, now);
        if now.since(settled_at) >= SETTLE_INTERVAL {
            settled_at = now;
            shared.settle_targets(now);
        }
        if now.since(housekeeping_at) >= HOUSEKEEPING_INTERVAL {
            housekeeping_at = now;
            run_housekeeping(&shared, now);
            lag_log.update(&shared.fleet.lock(), now);
            set_gauges(&shared, late_max);
            late_max = Duration::ZERO;
        }
    }
}

fn has_waiting(shared: &Shared) -> bool {
    let routing = shared.routing();
    routing.is_some_and(|routing| routing.services.iter().any(|service| service.has_waiting()))
}

/// Copies the counts kept in atomics to the gauges.
/// The request path does not set gauges, because each update costs a metric look-up.
fn set_gauges(shared: &Shared, late_max: Duration) {
    let metrics = &shared.metrics;
    gauge!(metric::TICK_LATE_SECONDS).set(late_max.as_secs_f64());
    let in_flight = metrics.requests_in_flight.load(Ordering::Relaxed);
    gauge!(metric::REQUESTS_IN_FLIGHT).set(in_flight as f64);
    gauge!(metric::PEER_BYTES, "way" => "received").set(shared.links.bytes().received() as f64);
    gauge!(metric::PEER_BYTES, "way" => "sent").set(shared.links.bytes().sent() as f64);
    let relays = metrics.relays_in_progress.load(Ordering::Relaxed);
    gauge!(metric::RELAYS_IN_PROGRESS).set(relays as f64);
    let connections = metrics.caller_connections.load(Ordering::Relaxed);
    gauge!(metric::CALLER_CONNECTIONS).set(connections as f64);
}

fn tick_services(shared: &Shared, now: Timestamp) {
    let Some(routing) = shared.routing() else {
        return;
    };
    let gaps = routing.services.iter().filter_map(|service| service.tick(now));
    if let Some(gap) = gaps.max() {
        counter!(metric::PAUSES).increment(1);
        warn!("process_was_paused", kv: { gap_ms = gap.as_millis() as u64 });
        shared.fleet.lock().paused(gap);
        shared.pause_notifier.notify();
    }
}

fn run_housekeeping(shared: &Shared, now: Timestamp) {
    let suppressed_lines = shared.request_log_limiter.take_suppressed();
    if suppressed_lines > 0 {
        warn!("request_lines_left_out", kv: { count = suppressed_lines });
    }
    let dropped_lines = take_dropped_lines();
    if dropped_lines > 0 {
        warn!("log_lines_unwritten", kv: { count = dropped_lines });
    }
    shared.metrics_text.run_upkeep();
    shared.quotas.log_grants(shared, now);
    let has_expired = {
        let mut fleet = shared.fleet.lock();
        fleet.members.forget_old(now);
        fleet.quarantine.forget_old(now);
        fleet.orders.forget_expired(now)
    };
    if has_expired {
        shared.apply_orders();
    }
    let Some(routing) = shared.routing() else {
        return;
    };
    for service in &routing.services {
        let idle_max = Duration::from_millis(service.settings().idle_connection_ms);
        service.pool().sweep(idle_max, now);
    }
}
