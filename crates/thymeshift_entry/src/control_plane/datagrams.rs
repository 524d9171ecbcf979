//! Taking in datagrams of other entry processes.

use std::net::SocketAddr;
use std::sync::Arc;

use spdlog::debug;
use thymeshift_dispatch::Refusal;
use thymeshift_fleet::Breadth;
use thymeshift_fleet::Head;
use thymeshift_supervisor::TaskError;
use thymeshift_types::BootClock;
use thymeshift_types::Clock;
use thymeshift_types::ServiceName;
use thymeshift_types::VmName;
use thymeshift_wire::DATAGRAM_BYTES_MAX;
use thymeshift_wire::Datagram;
use thymeshift_wire::Message;
use thymeshift_wire::SourceHeartbeat;

use crate::allocation_client::Reply;
use crate::control_plane::peer_link::exchange_once;
use crate::service::LeaseHolder;
use crate::service::ServiceRuntime;
use crate::shared::Shared;

/// Takes datagrams in for ever; without a socket it waits for ever.
pub(crate) async fn run_datagrams(shared: Arc<Shared>) -> Result<(), TaskError> {
    let Some(socket) = shared.allocation.socket().cloned() else {
        return std::future::pending().await;
    };
    let mut buffer = vec![0; DATAGRAM_BYTES_MAX];
    loop {
        // An error is that of an earlier send, which nobody waits for.
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
            continue;
        };
        match Datagram::decode(&buffer[..length]) {
            Ok(datagram) => take(&shared, datagram, from),
            Err(error) => debug!("datagram_refused", kv: { error: = error }),
        }
    }
}

fn take(shared: &Arc<Shared>, datagram: Datagram, from: SocketAddr) {
    let Datagram { sender, boot, message } = datagram;
    let holder = |sender| LeaseHolder { vm: sender, boot, address: from };
    match message {
        Message::SourceHeartbeat(heartbeat) => take_source_heartbeat(shared, &sender, &heartbeat),
        Message::Acquire(acquire) => match allocating_service(shared, &acquire.service) {
            Some(service) => service.allocate(holder(sender), &acquire),
            None => shared.allocation.send(from, Message::Declined(acquire.number)),
        },
        Message::Release(release) => {
            if let Some(service) = service(shared, &release.service) {
                service.take_release(holder(sender), &release);
            }
        }
        Message::Waiting(number) => shared.allocation.replied(number, Reply::Waiting),
        Message::Granted(number, target, concurrency) => {
            shared.allocation.replied(number, Reply::Granted(target, concurrency));
        }
        Message::Declined(number) => shared.allocation.replied(number, Reply::Declined),
        Message::Refused(number, reason, retry_after) => {
            let refusal = Refusal { reason, retry_after };
            shared.allocation.replied(number, Reply::Refused(refusal));
        }
    }
}

fn service(shared: &Shared, name: &ServiceName) -> Option<Arc<ServiceRuntime>> {
    shared.routing()?.service(name.as_str()).cloned()
}

fn allocating_service(shared: &Shared, name: &ServiceName) -> Option<Arc<ServiceRuntime>> {
    if shared.is_serving() { service(shared, name) } else { None }
}

fn take_source_heartbeat(shared: &Arc<Shared>, sender: &VmName, heartbeat: &SourceHeartbeat) {
    let address = {
        let mut fleet = shared.fleet.lock();
        fleet.readers.heard(sender, heartbeat.is_answered, BootClock.now());
        let is_news = is_newer(heartbeat.configuration, fleet.configuration.head())
            || is_newer(heartbeat.targets, fleet.targets.head());
        let member = fleet.members.find(sender).filter(|_| is_news);
        member.map(|member| member.peer_address)
    };
    if let Some(address) = address {
        let shared = shared.clone();
        tokio::spawn(async move {
            // A failure is counted and logged there; the next heartbeat tries again.
            let _ = exchange_once(&shared, address, Breadth::News).await;
        });
    }
}

fn is_newer(theirs: Option<Head>, ours: Option<Head>) -> bool {
    theirs.map(|head| head.revision) > ours.map(|head| head.revision)
}
