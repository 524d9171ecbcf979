//! Receiver of datagrams from other entry processes.

use std::net::SocketAddr;
use std::sync::Arc;

use spdlog::debug;
use thymeshift_dispatch::Refusal;
use thymeshift_supervisor::TaskError;
use thymeshift_types::BootClock;
use thymeshift_types::Clock;
use thymeshift_types::ServiceName;
use thymeshift_wire::Acquire;
use thymeshift_wire::DATAGRAM_BYTES_MAX;
use thymeshift_wire::Datagram;
use thymeshift_wire::Message;

use crate::allocation_client::AcquireReply;
use crate::allocation_client::LeaseHolder;
use crate::control_plane::relay::receive_relayed_heads;
use crate::control_plane::source::receive_heartbeat;
use crate::control_plane::spare_capacity::receive_spare_capacity;
use crate::control_plane::suspects::receive_suspect;
use crate::organisations::QuotaReply;
use crate::service::ServiceRuntime;
use crate::shared::Shared;

/// Receives and handles datagrams in an endless loop; waits forever if there is no datagram socket.
pub(crate) async fn run_datagrams(shared: Arc<Shared>) -> Result<(), TaskError> {
    let Some(socket) = shared.allocation.socket().cloned() else {
        return std::future::pending().await;
    };
    let mut buffer = vec![0; DATAGRAM_BYTES_MAX];
    loop {
        // A receive error reports the failure of an earlier send, whose sender does not need it.
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
            continue;
        };
        match Datagram::decode(&buffer[..length]) {
            Ok(datagram) => handle(&shared, datagram, from),
            Err(error) => debug!("datagram_refused", kv: { error: = error }),
        }
    }
}

fn handle(shared: &Arc<Shared>, datagram: Datagram, from: SocketAddr) {
    let Datagram { sender, boot, message } = datagram;
    let client = &shared.allocation;
    shared.fleet.lock().members.record_message(&sender, boot, BootClock.now());
    match message {
        Message::SourceHeartbeat(heartbeat) => receive_heartbeat(shared, &heartbeat),
        Message::Phase(member) => {
            shared.fleet.lock().members.record_announcement(&member, BootClock.now());
        }
        Message::News(heads) => receive_relayed_heads(shared, &sender, heads),
        Message::Suspect(report) => receive_suspect(shared, &sender, &report),
        Message::Acquire(acquire) => {
            let holder = LeaseHolder { vm: sender, boot, address: Some(from) };
            handle_acquire(shared, holder, from, acquire);
        }
        Message::Release(release) => {
            if let Some(service) = service(shared, &release.service) {
                let holder = LeaseHolder { vm: sender, boot, address: Some(from) };
                service.group(&release.group).release(holder, &release);
            }
        }
        Message::QuotaAsk(ask) => {
            let message = match shared.quotas.handle_ask(shared, (&sender, boot), &ask) {
                QuotaReply::Counted(count) => Message::QuotaCounted(ask.number, count),
                QuotaReply::NotCounter => Message::QuotaElsewhere(ask.number),
            };
            client.send(from, message);
        }
        Message::QuotaCounted(number, count) => {
            shared.quotas.deliver(number, QuotaReply::Counted(count));
        }
        Message::QuotaElsewhere(number) => {
            shared.quotas.deliver(number, QuotaReply::NotCounter);
        }
        Message::Room(report) => receive_spare_capacity(shared, &sender, &report),
        Message::Waiting(number) => client.deliver(number, AcquireReply::Waiting),
        Message::Granted(number, granted) => client.deliver(number, AcquireReply::Granted(granted)),
        Message::Declined(number) => client.deliver(number, AcquireReply::Declined),
        Message::Redirected(number, group, allocator) => {
            client.deliver(number, AcquireReply::Redirected(group, allocator));
        }
        Message::AskInstead(number, member) => {
            shared.fleet.lock().members.record_announcement(&member, BootClock.now());
            client.deliver(number, AcquireReply::AskInstead(member));
        }
        Message::Refused(number, reason, retry_after) => {
            let refusal = Refusal { reason, retry_after };
            client.deliver(number, AcquireReply::Refused(refusal));
        }
    }
}

fn handle_acquire(shared: &Shared, holder: LeaseHolder, from: SocketAddr, acquire: Acquire) {
    let client = &shared.allocation;
    let Some(service) = allocating_service(shared, &acquire.service) else {
        client.send(from, Message::Declined(acquire.number));
        return;
    };
    if acquire.is_first_choice
        && let Some(member) = service.preferred_allocator(shared, &acquire.group)
    {
        client.reply(&holder, acquire.number, AcquireReply::AskInstead(member));
        return;
    }
    service.local_group(shared, &acquire.group).acquire(holder, acquire);
}

fn service(shared: &Shared, name: &ServiceName) -> Option<Arc<ServiceRuntime>> {
    shared.routing()?.service(name.as_str()).cloned()
}

fn allocating_service(shared: &Shared, name: &ServiceName) -> Option<Arc<ServiceRuntime>> {
    if shared.is_serving() { service(shared, name) } else { None }
}
