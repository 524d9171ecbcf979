//! Client side of the control calls to entry processes.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use futures::future::join_all;
use tarpc::context;
use thymeshift_fleet::OrderChange;
use thymeshift_fleet::OrderSubject;
use thymeshift_wire::ControlClient;
use thymeshift_wire::ExplainRequest;
use thymeshift_wire::Explanation;
use thymeshift_wire::OrderAnswer;
use thymeshift_wire::OrderRequest;
use thymeshift_wire::StateDump;
use thymeshift_wire::connect_control;

use crate::arguments::Arguments;
use crate::arguments::ProcessSelection;

/// Timeout for opening a connection, and for each call on it.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// Failed call to an entry process, as an error message that starts with the process's address.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct CallError(pub(crate) String);

/// State dumps of the processes that answered, and the errors of those that did not.
#[derive(Debug, Default)]
pub(crate) struct Dumps {
    pub(crate) dumps: Vec<StateDump>,
    pub(crate) errors: Vec<CallError>,
}

/// Returns a call context whose deadline is one call timeout from now.
fn context() -> context::Context {
    let mut context = context::current();
    context.deadline = Instant::now() + CALL_TIMEOUT;
    context
}

async fn connect(address: SocketAddr) -> Result<ControlClient, CallError> {
    connect_control(address, CALL_TIMEOUT).await.map_err(|error| CallError(error.to_string()))
}

async fn fetch_dump(address: SocketAddr) -> Result<StateDump, CallError> {
    let client = connect(address).await?;
    let result = client.dump(context()).await;
    result.map_err(|error| CallError(format!("{address}: {error}")))
}

/// Fetches the dumps of the processes listed on the command line.
///
/// With `--all`, also queries the members in the fetched dumps until no unqueried member is left.
/// Members considered gone are not queried.
pub(crate) async fn fetch_dumps(arguments: &Arguments) -> Dumps {
    let mut queried: BTreeSet<SocketAddr> = BTreeSet::new();
    let mut pending = arguments.addresses.clone();
    let mut results = Dumps::default();
    while !pending.is_empty() {
        queried.extend(&pending);
        for result in join_all(pending.drain(..).map(fetch_dump)).await {
            match result {
                Ok(dump) => results.dumps.push(dump),
                Err(error) => results.errors.push(error),
            }
        }
        if arguments.selection == ProcessSelection::AllKnown {
            let members = results.dumps.iter().flat_map(|dump| &dump.members);
            let not_gone = members.filter(|dump| dump.liveness != thymeshift_fleet::Liveness::Gone);
            let known_addresses: BTreeSet<SocketAddr> =
                not_gone.map(|dump| dump.member.control_address).collect();
            pending = known_addresses.difference(&queried).copied().collect();
        }
    }
    results
}

/// Asks the first process listed on the command line to explain how it would route a request.
pub(crate) async fn fetch_explanation(
    arguments: &Arguments,
    request: &ExplainRequest,
) -> Result<Explanation, CallError> {
    let address = arguments.addresses[0];
    let client = connect(address).await?;
    let result = client.explain(context(), request.clone()).await;
    result.map_err(|error| CallError(format!("{address}: {error}")))
}

/// Sends an order to the first process listed on the command line.
///
/// The process that receives an order distributes it to the fleet.
pub(crate) async fn send_order(
    arguments: &Arguments,
    subject: &OrderSubject,
    change: OrderChange,
    expires_in: Duration,
) -> Result<OrderAnswer, CallError> {
    let address = arguments.addresses[0];
    let client = connect(address).await?;
    let request = OrderRequest {
        subject: subject.clone(),
        change,
        operator: arguments.operator.clone(),
        expires_in_ms: expires_in.as_millis() as u64,
    };
    let result = client.order(context(), request).await;
    // The call may have reached the process even if its answer was lost.
    let to_error = |error| CallError(format!("{address}: {error}; the order may have been taken"));
    result.map_err(to_error)
}
