//! RPC server for the operators' command-line program, on a separate port.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use futures::future::join_all;
use spdlog::info;
use tarpc::context::Context;
use tarpc::server::Channel;
use thymeshift_fleet::GossipScope;
use thymeshift_fleet::Liveness;
use thymeshift_fleet::MemberDump;
use thymeshift_fleet::OrderDraft;
use thymeshift_fleet::OrderSubject;
use thymeshift_supervisor::TaskError;
use thymeshift_types::BootClock;
use thymeshift_types::Clock;
use thymeshift_types::DataHallName;
use thymeshift_wire::CALLS_PER_CONNECTION_MAX;
use thymeshift_wire::Control;
use thymeshift_wire::ExplainRequest;
use thymeshift_wire::Explanation;
use thymeshift_wire::OrderAnswer;
use thymeshift_wire::OrderRequest;
use thymeshift_wire::StateDump;
use thymeshift_wire::control_channel;
use tokio::net::TcpListener;

use crate::control_plane::accept::Port;
use crate::control_plane::accept::accept;
use crate::control_plane::dump::dump;
use crate::control_plane::dump::halls;
use crate::control_plane::explain::explain;
use crate::control_plane::peer_link::exchange_once;
use crate::shared::Shared;

/// Maximum number of concurrent operator connections.
const OPERATORS_MAX: usize = 16;

/// Serves operator connections until the process stops.
pub(crate) async fn run_operators(
    shared: Arc<Shared>,
    listener: Arc<TcpListener>,
) -> Result<(), TaskError> {
    let port = Port { connections_max: OPERATORS_MAX, failed_event: "operator_accept_failed" };
    accept(&listener, port, &shared.port_stop, |stream| {
        let server = ControlServer { shared: shared.clone() };
        let calls = control_channel(stream).execute(server.serve());
        calls.for_each_concurrent(CALLS_PER_CONNECTION_MAX, |call| call)
    })
    .await
}

#[derive(Clone)]
struct ControlServer {
    shared: Arc<Shared>,
}

impl Control for ControlServer {
    async fn dump(self, _: Context) -> StateDump {
        dump(&self.shared)
    }

    async fn explain(self, _: Context, request: ExplainRequest) -> Explanation {
        let now = BootClock.now();
        let (adjustments, behind_for) = {
            let fleet = self.shared.fleet.lock();
            let behind_since = fleet.configuration.behind_since();
            (fleet.adjustments.clone(), behind_since.map(|since| now.since(since)))
        };
        explain(self.shared.routing().as_deref(), &adjustments, behind_for, &request)
    }

    async fn order(self, _: Context, request: OrderRequest) -> OrderAnswer {
        if let Some(unknown) = unknown_subject(&self.shared, &request.subject) {
            return OrderAnswer::UnknownSubject(unknown);
        }
        let order = {
            let now = BootClock.now();
            let mut fleet = self.shared.fleet.lock();
            let revision = fleet.configuration.head().map(|head| head.revision);
            let draft = OrderDraft {
                subject: request.subject,
                change: request.change,
                operator: request.operator,
                revision,
                expires_in: Duration::from_millis(request.expires_in_ms),
            };
            let order = fleet.orders.issue(self.shared.settings().vm.clone(), draft, now);
            fleet.orders.add(&order, now);
            order
        };
        info!("order_taken", kv: {
            subject: = order.subject, change: = order.change,
            operator = order.operator.as_str(), expires_in_ms = order.expires_in_ms,
            counter = order.stamp.counter, revision:? = order.revision
        });
        self.shared.apply_orders();
        self.announce_order(order).await
    }
}

impl ControlServer {
    /// Sends the order to every VM that is not considered gone, and returns which VMs confirmed it.
    async fn announce_order(&self, order: thymeshift_fleet::Order) -> OrderAnswer {
        let members = self.shared.fleet.lock().members.dump(BootClock.now());
        let is_present = |member: &MemberDump| member.liveness != Liveness::Gone;
        let present: Vec<MemberDump> = members.into_iter().filter(is_present).collect();
        let addresses = present.iter().map(|known| known.member.peer_address);
        let confirmations = join_all(addresses.map(|address| self.is_confirmed_by(address))).await;
        let mut confirmed = vec![self.shared.settings().vm.clone()];
        let mut unconfirmed = Vec::new();
        for (known, is_confirmed) in present.into_iter().zip(confirmations) {
            let list = if is_confirmed { &mut confirmed } else { &mut unconfirmed };
            list.push(known.member.vm);
        }
        OrderAnswer::Taken { order, confirmed, unconfirmed }
    }

    /// Sends the orders to a peer. A planned stop ends the wait for the confirmation.
    async fn is_confirmed_by(&self, address: SocketAddr) -> bool {
        tokio::select! {
            answered = exchange_once(&self.shared, address, GossipScope::SenderOnly) => {
                answered.is_ok()
            }
            () = self.shared.port_stop.answers_due() => false,
        }
    }
}

/// Returns an error message if the data hall has no known target or process and is not drained.
fn unknown_hall(shared: &Shared, hall: &DataHallName) -> Option<String> {
    let is_known = halls(shared).iter().any(|known| known.name == *hall);
    (!is_known).then(|| format!("no data hall is called {hall}"))
}

/// Returns an error message if the configuration in force has no such subject.
fn unknown_subject(shared: &Shared, subject: &OrderSubject) -> Option<String> {
    let routing = shared.routing();
    let service_name = match subject {
        OrderSubject::Target(service, _) | OrderSubject::Probing(service) => service,
        OrderSubject::DataHall(hall) => return unknown_hall(shared, hall),
        // Any fingerprint is valid: a request may be known only to peers, or not have arrived yet.
        OrderSubject::Request(_) => return None,
    };
    let service = routing.as_ref().and_then(|routing| routing.service(service_name.as_str()));
    let Some(service) = service else {
        return Some(format!("no service is called {service_name}"));
    };
    let OrderSubject::Target(_, target) = subject else {
        return None;
    };
    let settings = service.settings();
    let is_known = settings.targets.iter().any(|known| known.name == *target);
    (!is_known).then(|| format!("service {service_name} has no target {target}"))
}
