//! Reader of the source of configuration and targets.
//!
//! Only the processes assigned as readers call the source.
//! All other processes receive documents from their peers.

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
use thymeshift_fleet::SourceReport;
use thymeshift_supervisor::TaskError;
use thymeshift_telemetry::metric;
use thymeshift_types::BootClock;
use thymeshift_types::Clock;
use thymeshift_types::Timestamp;
use thymeshift_wire::Message;
use thymeshift_wire::SourceHeartbeat;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::control_plane::platform::offer;
use crate::control_plane::relay::heads;
use crate::control_plane::relay::receive_reader_heads;
use crate::environment::Environment;
use crate::environment::SharedSource;
use crate::environment::Source;
use crate::environment::SourceError;
use crate::fleet::Fleet;
use crate::shared::Shared;

/// Time for which the source may hold a long poll open.
/// The time is short, so that a reader soon detects that the source has stopped answering.
const LONG_POLL_LIMIT: Duration = Duration::from_millis(950);
/// Delay after an answer with changes, which batches further changes in quick succession.
const CHANGE_BATCH_DELAY: Duration = Duration::from_millis(150);
/// Maximum interval between two checks whether this process is the assigned reader.
const ASSIGNMENT_CHECK_INTERVAL_MAX: Duration = Duration::from_millis(800);
/// Maximum number of calls in a row that read everything again. The second one may meet a source that
/// has just been restored from a copy.
const READS_AGAIN_MAX: u32 = 2;

/// Reads the source in an endless loop, whenever this process is the assigned reader.
pub(crate) async fn run_source<E: Environment>(
    shared: Arc<Shared>,
    source: SharedSource<E>,
) -> Result<(), TaskError> {
    let mut was_answered = true;
    // Until a configuration is in force, bootstrap reads the source.
    // The watch channel fails only when the process shuts down.
    let _ = shared.has_configuration.subscribe().wait_for(|is_in_force| *is_in_force).await;
    loop {
        let action = next_action(&shared);
        let wait = match action {
            ReadAction::LongPoll => LONG_POLL_LIMIT,
            ReadAction::Poll | ReadAction::CatchUp => Duration::ZERO,
            ReadAction::Wait(delay) => {
                let wait = delay.min(ASSIGNMENT_CHECK_INTERVAL_MAX);
                // A process that learns of a newer document decides anew.
                let _ = timeout(wait, shared.is_behind.notified()).await;
                continue;
            }
        };
        let mut locked = source.lock().await;
        let read = tokio::select! {
            biased;
            read = read_documents(&shared, &mut *locked, wait) => read,
            // The call may hang, or be answered with older documents than others have.
            () = catch_up_due(&shared), if action == ReadAction::LongPoll => continue,
        };
        drop(locked);
        let is_answered = read.as_ref().map_or_else(SourceError::starts_over, |_| true);
        log_source_transition(&read, is_answered, &mut was_answered);
        if action == ReadAction::CatchUp {
            info!("source_read_to_catch_up", kv: { is_answered });
        } else {
            send_heartbeat(&shared, is_answered);
        }
        if let Ok(1..) = read {
            sleep(CHANGE_BATCH_DELAY.max(shared.list_fetch_delay())).await;
        }
    }
}

/// Returns whether this process reads the source now, and otherwise when to check again.
fn next_action(shared: &Shared) -> ReadAction {
    let now = BootClock.now();
    let fleet = shared.fleet.lock();
    let own = &fleet.members.own().vm;
    let contacts = fleet.members.contacts(now);
    let others = contacts.iter().filter(|member| member.vm != *own);
    let others: Vec<Candidate<'_>> = others.map(|member| member.candidate()).collect();
    fleet.readers.next_action(&others, hall_rank(&fleet, now), fleet.behind(), now)
}

fn hall_rank(fleet: &Fleet, now: Timestamp) -> HallRank {
    HallRank { rank: fleet.members.rank_in_hall(now), is_contact: fleet.members.is_contact(now) }
}

/// Waits until this process should read the source because others have newer documents.
async fn catch_up_due(shared: &Shared) {
    loop {
        let behind = shared.is_behind.notified();
        let now = BootClock.now();
        let catch_up_at = {
            let fleet = shared.fleet.lock();
            fleet.readers.catch_up_at(fleet.behind(), hall_rank(&fleet, now))
        };
        match catch_up_at {
            Some(catch_up_at) if now >= catch_up_at => return,
            Some(catch_up_at) => sleep(now.until(catch_up_at)).await,
            None => behind.await,
        }
    }
}

/// Calls the source and offers the returned documents for adoption. An answer that makes this process
/// read everything again holds no documents, so the call is repeated at once.
///
/// Returns the number of documents that changed, or the error of the last call.
pub(crate) async fn read_documents<S: Source>(
    shared: &Arc<Shared>,
    source: &mut S,
    wait: Duration,
) -> Result<usize, SourceError> {
    let mut read = read_once(shared, source, wait).await;
    for _ in 0..READS_AGAIN_MAX {
        if !read.as_ref().is_err_and(SourceError::starts_over) {
            break;
        }
        read = read_once(shared, source, Duration::ZERO).await;
    }
    read
}

/// Calls the source once and offers the returned documents for adoption.
///
/// Returns the number of documents that changed, or the error of the call.
async fn read_once<S: Source>(
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
        Err(error) if error.starts_over() => {
            fleet.readers.answered(now);
            Err(error)
        }
        Err(error) => {
            let members = fleet.members.count_alive(now);
            fleet.readers.failed(members, rand::rng().random(), now);
            Err(error)
        }
    }
}

fn log_source_transition(
    read: &Result<usize, SourceError>,
    is_answered: bool,
    was_answered: &mut bool,
) {
    match read {
        _ if is_answered && !*was_answered => info!("source_regained"),
        Err(error) if !is_answered && *was_answered => {
            warn!("source_lost", kv: { error: = error });
        }
        Ok(_) | Err(_) => {}
    }
    *was_answered = is_answered;
}

/// Sends the result of a call to the source to all processes of this data hall.
/// Also sends the result to some processes of every other data hall.
fn send_heartbeat(shared: &Shared, is_answered: bool) {
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
        let recipients = fleet.members.hall_peers(now).chain(fleet.members.hubs(now));
        let addresses = recipients.filter_map(|member| member.datagram_address);
        (heartbeat, addresses.collect::<Vec<SocketAddr>>())
    };
    send_to_all(shared, &addresses, &Message::SourceHeartbeat(heartbeat));
}

/// Handles a heartbeat of a source reader.
/// Forwards a heartbeat from another data hall to the processes of this data hall.
pub(crate) fn receive_heartbeat(shared: &Arc<Shared>, heartbeat: &SourceHeartbeat) {
    let now = BootClock.now();
    let forwarded = {
        let mut fleet = shared.fleet.lock();
        let SourceHeartbeat { reader, is_answered, heads, .. } = heartbeat;
        let is_due = fleet.news_forwarding.is_due(*is_answered, *heads, now);
        let report = match *is_answered {
            false => SourceReport::Failed,
            true if fleet.has_newer_than(*heads) => SourceReport::Outdated,
            true => SourceReport::Answered,
        };
        fleet.readers.record_report(reader, report, now);
        let own = fleet.members.own();
        (heartbeat.data_hall != own.data_hall && is_due).then(|| {
            let forwarded = SourceHeartbeat {
                data_hall: own.data_hall.clone(),
                peer_address: own.peer_address,
                ..heartbeat.clone()
            };
            let hall_peers =
                fleet.members.hall_peers(now).filter_map(|member| member.datagram_address);
            (forwarded, hall_peers.collect::<Vec<SocketAddr>>())
        })
    };
    if let Some((heartbeat, addresses)) = forwarded {
        send_to_all(shared, &addresses, &Message::SourceHeartbeat(heartbeat));
    }
    receive_reader_heads(shared, heartbeat);
}

fn send_to_all(shared: &Shared, addresses: &[SocketAddr], message: &Message) {
    for address in addresses {
        shared.allocation.send(*address, message.clone());
    }
}
