//! What must happen regularly: expired waits, pauses noticed, idle connections closed.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use metrics::counter;
use metrics::gauge;
use spdlog::warn;
use thymeshift_supervisor::TaskError;
use thymeshift_telemetry::metric;
use thymeshift_types::BootClock;
use thymeshift_types::Clock;
use thymeshift_types::Timestamp;
use tokio::time::MissedTickBehavior;
use tokio::time::interval;

use crate::shared::Shared;

/// Time between two ticks. Waits end at most this much late.
const TICK: Duration = Duration::from_millis(10);
/// Ticks between two rounds of housekeeping.
const HOUSEKEEPING_TICKS: u64 = 100;

/// Ticks for ever.
pub(crate) async fn run_ticker(shared: Arc<Shared>) -> Result<(), TaskError> {
    let mut ticks = interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut count: u64 = 0;
    let mut last = BootClock.now();
    let mut late_max = Duration::ZERO;
    loop {
        ticks.tick().await;
        let now = BootClock.now();
        late_max = late_max.max(now.since(last).saturating_sub(TICK));
        last = now;
        count += 1;
        tick_services(&shared, now);
        if count.is_multiple_of(HOUSEKEEPING_TICKS) {
            keep_house(&shared, now);
            set_gauges(&shared, late_max);
            late_max = Duration::ZERO;
        }
    }
}

/// Gauges are set here and not where they change: a look-up for each request would cost
/// more than the figure is worth.
fn set_gauges(shared: &Shared, late_max: Duration) {
    let figures = &shared.figures;
    gauge!(metric::TICK_LATE_SECONDS).set(late_max.as_secs_f64());
    let in_flight = figures.requests_in_flight.load(Ordering::Relaxed);
    gauge!(metric::IN_FLIGHT).set(in_flight as f64);
    gauge!(metric::PEER_BYTES, "way" => "received").set(shared.links.bytes().received() as f64);
    gauge!(metric::PEER_BYTES, "way" => "sent").set(shared.links.bytes().sent() as f64);
    let connections = figures.caller_connections.load(Ordering::Relaxed);
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
    }
}

fn keep_house(shared: &Shared, now: Timestamp) {
    shared.metrics_text.run_upkeep();
    let has_expired = {
        let mut fleet = shared.fleet.lock();
        fleet.members.forget_old(now);
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
