//! Remote calls from the operators' program to an entry process.

use serde::Deserialize;
use serde::Serialize;
use thymeshift_dispatch::TargetDump;
use thymeshift_fleet::Order;
use thymeshift_fleet::OrderChange;
use thymeshift_fleet::OrderSubject;
use thymeshift_types::KindName;
use thymeshift_types::ServiceName;
use thymeshift_types::VmName;

use crate::StateDump;

/// Properties of a request whose routing is to be explained.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExplainRequest {
    /// HTTP method of the request.
    pub method: String,
    /// Host of the request; `None` if the request has none.
    pub host: Option<String>,
    /// Path of the request.
    pub path: String,
    /// One header of the request that a rule may match.
    pub header: Option<ExplainHeader>,
}

/// Name and value of a header of the request to explain.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExplainHeader {
    /// Name of the header.
    pub name: String,
    /// Value of the header.
    pub value: String,
}

/// Routing decision that a request would get now, with its reasons.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Explanation {
    /// Kind of the request; `None` if no rules match.
    pub kind: Option<KindName>,
    /// Kinds that come earlier in the configuration and whose rules do not match.
    pub passed_over: Vec<KindName>,
    /// Service that would serve the request.
    pub service: Option<ServiceName>,
    /// Targets of the service, the most likely first.
    pub targets: Vec<TargetDump>,
    /// Result of the explanation in words, for the operator.
    pub verdict: String,
}

/// Order that an operator gives.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderRequest {
    /// Subject of the order, such as a data hall or a target.
    pub subject: OrderSubject,
    /// Change that the order makes.
    pub change: OrderChange,
    /// Name of the operator who gives the order.
    pub operator: String,
    /// Time until the order expires, in milliseconds.
    pub expires_in_ms: u64,
}

/// Result of an order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderAnswer {
    /// The order was accepted.
    Taken {
        /// Accepted order with its stamp.
        order: Order,
        /// VMs that confirmed that they hold the order.
        confirmed: Vec<VmName>,
        /// VMs believed to be alive that did not confirm the order.
        /// These VMs receive the order once they are reachable.
        unconfirmed: Vec<VmName>,
    },
    /// The subject of the order does not exist in the configuration in force.
    UnknownSubject(String),
}

/// Remote calls of the operators' program.
#[tarpc::service]
pub trait Control {
    /// Returns a snapshot of the state of the process.
    async fn dump() -> StateDump;
    /// Explains how a request would be routed now.
    async fn explain(request: ExplainRequest) -> Explanation;
    /// Carries out an operator's order.
    async fn order(request: OrderRequest) -> OrderAnswer;
}
