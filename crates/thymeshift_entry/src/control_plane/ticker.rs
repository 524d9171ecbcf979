//! What must happen regularly: expired waits, pauses noticed, idle connections closed.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use metrics::counter;
use metrics::gauge;
use spdlog::warn;
use thymeshift_supervisor::TaskError;
use thymeshift_telemetry::metric;
use thymeshift_telemetry::take_unwritten_lines;
use thymeshift_types::BootClock;
use thymeshift_types::Clock;
use thymeshift_types::Timestamp;
use tokio::time::timeout;

use crate::shared::Shared;

/// Time between two ticks while requests wait. Waits end at most this much late.
const TICK: Duration = Duration::from_millis(10);
/// The same while none waits: short enough for pauses to be noticed.
const IDLE_TICK: Duration = Duration::from_millis(100);
/// Time between two rounds of housekeeping.
const HOUSEKEEPING_EVERY: Duration = Duration::from_secs(1);

/// Ticks for ever.
pub(crate) async fn run_ticker(shared: Arc<Shared>) -> Result<(), TaskError> {
    let mut last = BootClock.now();
    let mut kept_at = last;
    let mut late_max = Duration::ZERO;
    loop {
        let wait = if has_waiting(&shared) { TICK } else { IDLE_TICK };
        // A request that begins to wait needs ticks from now on.
        let is_early = timeout(wait, shared.request_queued.notified()).await.is_ok();
        let now = BootClock.now();
        if !is_early {
            late_max = late_max.max(now.since(last).saturating_sub(wait));
        }
        last = now;
        tick_services(&shared, now);
        if now.since(kept_at) >= HOUSEKEEPING_EVERY {
            kept_at = now;
            keep_house(&shared, now);
            set_gauges(&shared, late_max);
            late_max = Duration::ZERO;
        }
    }
}

fn has_waiting(shared: &Shared) -> bool {
    let routing = shared.routing();
    routing.is_some_and(|routing| routing.services.iter().any(|service| service.has_waiting()))
}

/// Gauges are set here and not where they change: a look-up for each request would cost
/// more than the figure is worth.
fn set_gauges(shared: &Shared, late_max: Duration) {
    let metrics = &shared.metrics;
    gauge!(metric::TICK_LATE_SECONDS).set(late_max.as_secs_f64());
    let in_flight = metrics.requests_in_flight.load(Ordering::Relaxed);
    gauge!(metric::IN_FLIGHT).set(in_flight as f64);
    gauge!(metric::PEER_BYTES, "way" => "received").set(shared.links.bytes().received() as f64);
    gauge!(metric::PEER_BYTES, "way" => "sent").set(shared.links.bytes().sent() as f64);
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
        shared.gaps.noticed();
    }
}

fn keep_house(shared: &Shared, now: Timestamp) {
    let left_out = shared.request_log_budget.take_left_out();
    if left_out > 0 {
        warn!("request_lines_left_out", kv: { count = left_out });
    }
    let unwritten = take_unwritten_lines();
    if unwritten > 0 {
        warn!("log_lines_unwritten", kv: { count = unwritten });
    }
    shared.metrics_text.run_upkeep();
    shared.drop_kept_targets(now);
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
