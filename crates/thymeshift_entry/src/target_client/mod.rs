//! Client side towards targets: connections, single attempts of requests, probes.

mod answer;
mod arrival;
mod attempt;
mod body;
mod connection_task;
mod connector;
mod crash;
mod link_monitor;
mod pace_probe;
mod pool;
mod probe;
mod stall;
mod statements;
mod target_stream;
mod unknown_headers;

pub(crate) use answer::Answer;
pub(crate) use attempt::Attempt;
pub(crate) use attempt::AttemptFailure;
pub(crate) use attempt::AttemptPlan;
pub(crate) use attempt::Freshness;
pub(crate) use body::AnswerResources;
pub(crate) use body::BodyError;
pub(crate) use body::BodyLimits;
pub(crate) use body::RequestBody;
pub(crate) use body::TargetBody;
pub(crate) use connector::Connector;
pub(crate) use crash::TargetCrash;
pub(crate) use pace_probe::STANDALONE_PROBE_TARGETS_MAX;
pub(crate) use pace_probe::run_pace_probes;
pub(crate) use pool::Pool;
pub(crate) use probe::run_probes;
pub(crate) use stall::StallTimer;
pub(crate) use unknown_headers::UnknownHeaders;
