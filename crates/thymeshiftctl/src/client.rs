//! Asking entry processes.

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

/// Longest time to open a connection, and for one call.
const LIMIT: Duration = Duration::from_secs(3);

/// A process that did not answer, in words.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct CallError(pub(crate) String);

/// Dumps, and who did not answer.
#[derive(Debug, Default)]
pub(crate) struct Dumps {
    pub(crate) dumps: Vec<StateDump>,
    pub(crate) errors: Vec<CallError>,
}

fn context() -> context::Context {
    let mut context = context::current();
    context.deadline = Instant::now() + LIMIT;
    context
}

async fn connect(address: SocketAddr) -> Result<ControlClient, CallError> {
    connect_control(address, LIMIT).await.map_err(|error| CallError(error.to_string()))
}

async fn fetch_dump(address: SocketAddr) -> Result<StateDump, CallError> {
    let client = connect(address).await?;
    let dumped = client.dump(context()).await;
    dumped.map_err(|error| CallError(format!("{address}: {error}")))
}

/// The dumps of the named processes, and if asked for of all that they know.
pub(crate) async fn fetch_dumps(arguments: &Arguments) -> Dumps {
    let mut asked: BTreeSet<SocketAddr> = BTreeSet::new();
    let mut next = arguments.addresses.clone();
    let mut answers = Dumps::default();
    while !next.is_empty() {
        asked.extend(&next);
        for dumped in join_all(next.drain(..).map(fetch_dump)).await {
            match dumped {
                Ok(dump) => answers.dumps.push(dump),
                Err(error) => answers.errors.push(error),
            }
        }
        if arguments.selection == ProcessSelection::AllKnown {
            let members = answers.dumps.iter().flat_map(|dump| &dump.members);
            let there = members.filter(|known| known.liveness != thymeshift_fleet::Liveness::Gone);
            let known: BTreeSet<SocketAddr> =
                there.map(|known| known.member.control_address).collect();
            next = known.difference(&asked).copied().collect();
        }
    }
    answers
}

pub(crate) async fn fetch_explanation(
    arguments: &Arguments,
    request: &ExplainRequest,
) -> Result<Explanation, CallError> {
    let address = arguments.addresses[0];
    let client = connect(address).await?;
    let explained = client.explain(context(), request.clone()).await;
    explained.map_err(|error| CallError(format!("{address}: {error}")))
}

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
    let ordered = client.order(context(), request).await;
    // The call may have arrived although its answer did not.
    let lost = |error| CallError(format!("{address}: {error}; the order may have been taken"));
    ordered.map_err(lost)
}
