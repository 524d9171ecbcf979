//! Taking in datagrams of other entry processes.

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
use crate::control_plane::relay::take_news;
use crate::control_plane::rooms::take_room;
use crate::control_plane::source::take_heartbeat;
use crate::control_plane::suspects::take_suspect;
use crate::organisations::QuotaReply;
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
    let client = &shared.allocation;
    shared.fleet.lock().members.record_message(&sender, boot, BootClock.now());
    match message {
        Message::SourceHeartbeat(heartbeat) => take_heartbeat(shared, &heartbeat),
        Message::Phase(member) => {
            shared.fleet.lock().members.record_announcement(&member, BootClock.now());
        }
        Message::News(heads) => take_news(shared, &sender, heads),
        Message::Suspect(told) => take_suspect(shared, &sender, &told),
        Message::Acquire(acquire) => {
            let holder = LeaseHolder { vm: sender, boot, address: Some(from) };
            take_acquire(shared, holder, from, acquire);
        }
        Message::Release(release) => {
            if let Some(service) = service(shared, &release.service) {
                let holder = LeaseHolder { vm: sender, boot, address: Some(from) };
                service.group(&release.group).release(holder, &release);
            }
        }
        Message::QuotaAsk(ask) => {
            let message = match shared.quotas.asked(shared, &sender, &ask) {
                QuotaReply::Counted(told) => Message::QuotaCounted(ask.number, told),
                QuotaReply::Elsewhere => Message::QuotaElsewhere(ask.number),
            };
            client.send(from, message);
        }
        Message::QuotaCounted(number, told) => {
            shared.quotas.replied(number, QuotaReply::Counted(told));
        }
        Message::QuotaElsewhere(number) => {
            shared.quotas.replied(number, QuotaReply::Elsewhere);
        }
        Message::Room(told) => take_room(shared, &sender, &told),
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

fn take_acquire(shared: &Shared, holder: LeaseHolder, from: SocketAddr, acquire: Acquire) {
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
