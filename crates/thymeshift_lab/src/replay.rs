//! Simulations of load and fault patterns in virtual time.
//!
//! The decision code of the load balancer runs unchanged. Targets, callers and the network between
//! the processes are models: messages between processes arrive after a delay or are lost.
//!
//! Each pattern runs with the policy of the load balancer and with alternative policies, on the
//! same seeds, so that the results of the policies can be compared.

mod backoffs;
mod callers;
mod crashes;
mod event_queue;
mod fleet;
mod halls;
mod limits;
mod lost_links;
mod quota_starts;
mod quotas;

pub use backoffs::BackoffPattern;
pub use backoffs::BackoffPolicy;
pub use backoffs::BackoffResult;
pub use backoffs::backoff_table;
pub use backoffs::replay_backoffs;
pub use callers::CallerAbuse;
pub use callers::CallerCount;
pub use callers::CallerKindResult;
pub use callers::CallerPattern;
pub use callers::CallerPolicy;
pub use callers::CallerResult;
pub use callers::caller_table;
pub use callers::replay_callers;
pub use crashes::CrashPattern;
pub use crashes::CrashPolicy;
pub use crashes::CrashResult;
pub use crashes::crash_table;
pub use crashes::replay_crashes;
pub use fleet::FleetFault;
pub use halls::HallFault;
pub use halls::HallPattern;
pub use halls::HallPolicy;
pub use halls::HallResult;
pub use halls::KindResult;
pub use halls::hall_table;
pub use halls::replay_halls;
pub use limits::LimitPattern;
pub use limits::LimitPolicy;
pub use limits::LimitResult;
pub use limits::limit_table;
pub use limits::replay_limits;
pub use lost_links::CutKind;
pub use lost_links::CutShape;
pub use lost_links::LinkPattern;
pub use lost_links::LinkPolicy;
pub use lost_links::LinkResult;
pub use lost_links::Served;
pub use lost_links::link_table;
pub use lost_links::replay_links;
pub use quota_starts::StartPattern;
pub use quota_starts::StartPolicy;
pub use quota_starts::StartResult;
pub use quota_starts::quota_start_table;
pub use quota_starts::replay_quota_starts;
pub use quotas::Partition;
pub use quotas::QuotaPattern;
pub use quotas::QuotaPolicy;
pub use quotas::QuotaResult;
pub use quotas::quota_table;
pub use quotas::replay_quotas;
