//! Taking in datagrams of other entry processes.

use std::net::SocketAddr;
use std::sync::Arc;

use spdlog::debug;
use thymeshift_dispatch::Refusal;
use thymeshift_supervisor::TaskError;
use thymeshift_types::BootClock;
use thymeshift_types::Clock;
use thymeshift_types::ServiceName;
use thymeshift_wire::DATAGRAM_BYTES_MAX;
use thymeshift_wire::Datagram;
use thymeshift_wire::Message;

use crate::allocation_client::LeaseHolder;
use crate::allocation_client::Reply;
use crate::control_plane::relay::take_news;
use crate::control_plane::relay::take_reader_heads;
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
    shared.fleet.lock().members.heard(&sender, boot, BootClock.now());
    match message {
        Message::SourceHeartbeat(heartbeat) => {
            let is_answered = heartbeat.is_answered;
            shared.fleet.lock().readers.heard(&sender, is_answered, BootClock.now());
            take_reader_heads(shared, &sender, heartbeat.heads);
        }
        Message::News(heads) => take_news(shared, &sender, heads),
        Message::Acquire(acquire) => match allocating_service(shared, &acquire.service) {
            Some(service) => {
                let holder = LeaseHolder { vm: sender, boot, address: Some(from) };
                service.group(&acquire.group).acquire(holder, &acquire);
            }
            None => client.send(from, Message::Declined(acquire.number)),
        },
        Message::Release(release) => {
            if let Some(service) = service(shared, &release.service) {
                let holder = LeaseHolder { vm: sender, boot, address: Some(from) };
                service.group(&release.group).release(holder, &release);
            }
        }
        Message::Room(told) => {
            if let Some(service) = service(shared, &told.service) {
                service.learn_room(told.group, told.room);
            }
        }
        Message::Waiting(number) => client.replied(number, Reply::Waiting),
        Message::Granted(number, target, concurrency) => {
            client.replied(number, Reply::Granted(target, concurrency));
        }
        Message::Declined(number) => client.replied(number, Reply::Declined),
        Message::Redirected(number, group) => client.replied(number, Reply::Redirected(group)),
        Message::Refused(number, reason, retry_after) => {
            let refusal = Refusal { reason, retry_after };
            client.replied(number, Reply::Refused(refusal));
        }
    }
}

fn service(shared: &Shared, name: &ServiceName) -> Option<Arc<ServiceRuntime>> {
    shared.routing()?.service(name.as_str()).cloned()
}

fn allocating_service(shared: &Shared, name: &ServiceName) -> Option<Arc<ServiceRuntime>> {
    if shared.is_serving() { service(shared, name) } else { None }
}
