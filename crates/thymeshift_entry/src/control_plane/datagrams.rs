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
use thymeshift_wire::Pulse;

use crate::control_plane::peer_link::exchange_once;
use crate::post::Reply;
use crate::service::Borrower;
use crate::service::ServiceRuntime;
use crate::shared::Shared;

/// Takes datagrams in for ever; without a socket it waits for ever.
pub(crate) async fn run_datagrams(shared: Arc<Shared>) -> Result<(), TaskError> {
    let Some(socket) = shared.post.socket().cloned() else {
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
    let borrower = |sender| Borrower { vm: sender, boot, address: from };
    match message {
        Message::Pulse(pulse) => take_pulse(shared, &sender, &pulse),
        Message::Borrow(borrow) => match lending_service(shared, &borrow.service) {
            Some(service) => service.lend(borrower(sender), &borrow),
            None => shared.post.send(from, Message::Declined(borrow.number)),
        },
        Message::GiveBack(give_back) => {
            if let Some(service) = service(shared, &give_back.service) {
                service.take_back(borrower(sender), &give_back);
            }
        }
        Message::Waiting(number) => shared.post.replied(number, Reply::Waiting),
        Message::Lent(number, target, concurrency) => {
            shared.post.replied(number, Reply::Lent(target, concurrency));
        }
        Message::Declined(number) => shared.post.replied(number, Reply::Declined),
        Message::Refused(number, reason, retry_after) => {
            let refusal = Refusal { reason, retry_after };
            shared.post.replied(number, Reply::Refused(refusal));
        }
    }
}

fn service(shared: &Shared, name: &ServiceName) -> Option<Arc<ServiceRuntime>> {
    shared.routing()?.service(name.as_str()).cloned()
}

fn lending_service(shared: &Shared, name: &ServiceName) -> Option<Arc<ServiceRuntime>> {
    if shared.is_serving() { service(shared, name) } else { None }
}

fn take_pulse(shared: &Arc<Shared>, sender: &VmName, pulse: &Pulse) {
    let address = {
        let mut fleet = shared.fleet.lock();
        fleet.readers.heard(sender, pulse.is_answered, BootClock.now());
        let is_news = is_newer(pulse.configuration, fleet.configuration.head())
            || is_newer(pulse.targets, fleet.targets.head());
        let member = fleet.members.find(sender).filter(|_| is_news);
        member.map(|member| member.peer_address)
    };
    if let Some(address) = address {
        let shared = shared.clone();
        tokio::spawn(async move {
            // A failure is counted and logged there; the next pulse tries again.
            let _ = exchange_once(&shared, address, Breadth::News).await;
        });
    }
}

fn is_newer(theirs: Option<Head>, ours: Option<Head>) -> bool {
    theirs.map(|head| head.revision) > ours.map(|head| head.revision)
}
