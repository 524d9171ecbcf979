//! Reading the source of configuration and targets, while it is this process's turn.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use metrics::counter;
use rand::Rng;
use spdlog::info;
use spdlog::warn;
use thymeshift_fleet::Candidate;
use thymeshift_fleet::HallRank;
use thymeshift_fleet::ReadAction;
use thymeshift_supervisor::TaskError;
use thymeshift_telemetry::metric;
use thymeshift_types::BootClock;
use thymeshift_types::Clock;
use thymeshift_types::Timestamp;
use thymeshift_wire::Message;
use thymeshift_wire::SourceHeartbeat;
use tokio::time::sleep;

use crate::control_plane::platform::offer;
use crate::control_plane::relay::heads;
use crate::control_plane::relay::take_reader_heads;
use crate::environment::Environment;
use crate::environment::SharedSource;
use crate::environment::Source;
use crate::environment::SourceError;
use crate::fleet::Fleet;
use crate::shared::Shared;

/// How long the source may hold a call. Short, so that a source that falls silent is noticed
/// in time by somebody.
const WATCH_WAIT: Duration = Duration::from_millis(950);
/// Pause after an answer that brought changes: those that follow at once come together.
const GATHER: Duration = Duration::from_millis(150);
/// Longest rest between two looks at whose turn it is.
const REST_MAX: Duration = Duration::from_millis(800);

/// Reads for ever, whenever it is this process's turn.
pub(crate) async fn run_source<E: Environment>(
    shared: Arc<Shared>,
    source: SharedSource<E>,
) -> Result<(), TaskError> {
    let mut was_answered = true;
    // Until then the start of the process reads. An error would mean that it is ending.
    let _ = shared.has_configuration.subscribe().wait_for(|is_in_force| *is_in_force).await;
    loop {
        let turn = {
            let now = BootClock.now();
            turn(&shared.fleet.lock(), now)
        };
        let wait = match turn {
            ReadAction::LongPoll => WATCH_WAIT,
            ReadAction::Poll => Duration::ZERO,
            ReadAction::Wait(rest) => {
                sleep(rest.min(REST_MAX)).await;
                continue;
            }
        };
        let read = read_once(&shared, &mut *source.lock().await, wait).await;
        log_dependency(&read, &mut was_answered);
        tell_fleet(&shared, read.is_ok());
        if let Ok(1..) = read {
            sleep(GATHER.max(shared.list_fetch_delay())).await;
        }
    }
}

fn turn(fleet: &Fleet, now: Timestamp) -> ReadAction {
    let own = &fleet.members.own().vm;
    let contacts = fleet.members.contacts(now);
    let others = contacts.iter().filter(|member| member.vm != *own);
    let others: Vec<Candidate<'_>> = others.map(|member| member.candidate()).collect();
    let place = HallRank {
        rank: fleet.members.rank_in_hall(now),
        is_contact: fleet.members.is_contact(now),
    };
    fleet.readers.next_action(&others, place, now)
}

/// Makes one call and puts in force what it brought. Returns how many documents changed.
pub(crate) async fn read_once<S: Source>(
    shared: &Arc<Shared>,
    source: &mut S,
    wait: Duration,
) -> Result<usize, SourceError> {
    let address = shared.settings().platform_address;
    if source.address() != address {
        *source = S::new(address);
        info!("source_moved", kv: { address: = address });
    }
    shared.metrics.platform_calls.fetch_add(1, Ordering::Relaxed);
    let answered = source.changes(wait).await;
    let now = BootClock.now();
    let result = match &answered {
        Ok(changed) if changed.is_empty() => "unchanged",
        Ok(_) => "changed",
        Err(_) => "failed",
    };
    counter!(metric::PLATFORM_CALLS, "result" => result).increment(1);
    let mut fleet = shared.fleet.lock();
    match answered {
        Ok(changed) => {
            fleet.readers.succeeded(now);
            drop(fleet);
            *shared.platform_answered_at.lock() = Some(now);
            for (document, published) in &changed {
                offer(shared, *document, published, "source");
            }
            Ok(changed.len())
        }
        Err(SourceError::Forgotten) => {
            // The source answered; the next call reads everything at once.
            fleet.readers.succeeded(now);
            Err(SourceError::Forgotten)
        }
        Err(error) => {
            let members = fleet.members.count_alive(now);
            fleet.readers.failed(members, rand::rng().random(), now);
            Err(error)
        }
    }
}

fn log_dependency(read: &Result<usize, SourceError>, was_answered: &mut bool) {
    match read {
        Ok(_) if !*was_answered => info!("source_regained"),
        Err(error) if *was_answered => warn!("source_lost", kv: { error: = error }),
        Ok(_) | Err(_) => {}
    }
    *was_answered = read.is_ok();
}

/// Tells the own data hall, and some processes of every other, how the call ended.
fn tell_fleet(shared: &Shared, is_answered: bool) {
    let (heartbeat, addresses) = {
        let fleet = shared.fleet.lock();
        let now = BootClock.now();
        let own = fleet.members.own();
        let heartbeat = SourceHeartbeat {
            reader: own.vm.clone(),
            is_answered,
            heads: heads(&fleet),
            data_hall: own.data_hall.clone(),
            peer_address: own.peer_address,
        };
        let told = fleet.members.hall_peers(now).chain(fleet.members.hubs(now));
        let addresses = told.filter_map(|member| member.datagram_address);
        (heartbeat, addresses.collect::<Vec<SocketAddr>>())
    };
    send_to_all(shared, &addresses, &Message::SourceHeartbeat(heartbeat));
}

/// A reader's news arrived. What comes from another data hall is passed on in the own one.
pub(crate) fn take_heartbeat(shared: &Arc<Shared>, heartbeat: &SourceHeartbeat) {
    let now = BootClock.now();
    let passed_on = {
        let mut fleet = shared.fleet.lock();
        let SourceHeartbeat { reader, is_answered, heads, .. } = heartbeat;
        let is_due = fleet.news_forwarding.is_due(*is_answered, *heads, now);
        fleet.readers.record_report(reader, *is_answered, now);
        let own = fleet.members.own();
        (heartbeat.data_hall != own.data_hall && is_due).then(|| {
            let passed_on = SourceHeartbeat {
                data_hall: own.data_hall.clone(),
                peer_address: own.peer_address,
                ..heartbeat.clone()
            };
            let near = fleet.members.hall_peers(now).filter_map(|member| member.datagram_address);
            (passed_on, near.collect::<Vec<SocketAddr>>())
        })
    };
    if let Some((heartbeat, addresses)) = passed_on {
        send_to_all(shared, &addresses, &Message::SourceHeartbeat(heartbeat));
    }
    take_reader_heads(shared, heartbeat);
}

fn send_to_all(shared: &Shared, addresses: &[SocketAddr], message: &Message) {
    for address in addresses {
        shared.allocation.send(*address, message.clone());
    }
}
