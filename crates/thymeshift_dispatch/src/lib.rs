//! Load balancing decisions without I/O: which target gets a request,
//! when a request waits and when it is refused.
//!
//! All parts are plain state machines that take the current time and the random number generator as
//! arguments, so that every decision can be reproduced exactly.
//! To embed the crate, keep one [`Dispatcher`] per service:
//!
//! 1. Call [`Dispatcher::request`], which returns [`Decision::Send`],
//!    [`Decision::Wait`] or [`Decision::Refuse`].
//! 2. Call [`Dispatcher::may_send`] immediately before the first byte is sent.
//! 3. Record the result of the attempt with [`Dispatcher::record_attempt`], and return the grant
//!    with [`Dispatcher::release`] when the target has finished the request.
//! 4. After each release, poll [`Dispatcher::next_wake`] for waiting requests that can be sent.
//!
//! A [`Strategy`] chooses the target; each strategy is a file in `strategy/`.

mod adaptive_limit;
mod admission;
mod backoff;
mod caller_shares;
mod cold_start;
mod concurrency;
mod connections;
mod decision;
mod dispatcher;
mod dump;
mod ejection;
mod elapsed_time;
mod grant;
mod halls;
mod latency;
mod locality;
mod measuring;
mod model;
mod pause;
mod probe_budget;
mod probe_pacing;
mod queue;
mod rate_limit;
mod report;
mod request;
mod retry;
mod slowness;
mod strategy;
mod table;
mod target_state;
mod unlisted;
mod view;

pub use caller_shares::CallerClass;
pub use caller_shares::CallerShares;
pub use caller_shares::CallerSharesDump;
pub use connections::connection_share;
pub use decision::Decision;
pub use decision::Observation;
pub use decision::Refusal;
pub use decision::Wake;
pub use dispatcher::Dispatcher;
pub use dump::QueueDump;
pub use dump::RateLimitDump;
pub use dump::ServiceDump;
pub use dump::TargetDump;
pub use dump::Usability;
pub use elapsed_time::ElapsedTimeEstimator;
pub use grant::Grant;
pub use grant::TargetIndex;
pub use halls::HallIndex;
pub use locality::CrossingCause;
pub use locality::LocalityInput;
pub use locality::local_wait;
pub use measuring::MeasuringShare;
pub use pause::PauseDetector;
pub use probe_budget::ProbeBudget;
pub use probe_pacing::ProbePacing;
pub use queue::Ticket;
pub use rate_limit::RateLimitUpdate;
pub use rate_limit::RateShare;
pub use report::LoadReport;
pub use report::ReportedState;
pub use report::USUAL_PACE_PERCENT;
pub use request::Excluded;
pub use request::Request;
pub use request::Tried;
pub use retry::RetryBudget;
pub use strategy::AnyStrategy;
pub use strategy::Candidate;
pub use strategy::Candidates;
pub use strategy::ExpectedTime;
pub use strategy::LatencyTwoChoices;
pub use strategy::LeastInFlight;
pub use strategy::Random;
pub use strategy::RoundRobin;
pub use strategy::Strategy;
pub use strategy::TwoChoices;
pub use view::View;
