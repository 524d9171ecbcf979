//! What the operators' program says to an entry process.

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

/// A request to be explained.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExplainRequest {
    /// Method.
    pub method: String,
    /// Host, if any.
    pub host: Option<String>,
    /// Path.
    pub path: String,
    /// One header, as name and value.
    pub header: Option<ExplainHeader>,
}

/// A header of a request to be explained.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExplainHeader {
    /// Name.
    pub name: String,
    /// Value.
    pub value: String,
}

/// Why a request like this one would go where it goes now.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Explanation {
    /// Its kind; none if no rules match.
    pub kind: Option<KindName>,
    /// The kinds before it whose rules do not match.
    pub passed_over: Vec<KindName>,
    /// The service that serves it.
    pub service: Option<ServiceName>,
    /// The targets, the most likely first.
    pub targets: Vec<TargetDump>,
    /// What would happen, in words.
    pub verdict: String,
}

/// An operator's order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderRequest {
    /// What it is about.
    pub subject: OrderSubject,
    /// What it says.
    pub change: OrderChange,
    /// Who gives it.
    pub operator: String,
    /// How long it shall hold, in milliseconds.
    pub expires_in_ms: u64,
}

/// What became of an order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderAnswer {
    /// It was taken.
    Taken {
        /// The order with its stamp.
        order: Order,
        /// VMs that hold it now.
        confirmed: Vec<VmName>,
        /// VMs believed to be there that did not confirm. They learn of it when they can
        /// be reached.
        unconfirmed: Vec<VmName>,
    },
    /// Its subject does not exist in the configuration in force.
    UnknownSubject(String),
}

/// Calls of the operators' program.
#[tarpc::service]
pub trait Control {
    /// The whole state.
    async fn dump() -> StateDump;
    /// Why a request would go where it goes.
    async fn explain(request: ExplainRequest) -> Explanation;
    /// Gives an order.
    async fn order(request: OrderRequest) -> OrderAnswer;
}
