//! Patterns of load and trouble in virtual time: the decisions as they are, a model of targets and
//! callers, several processes that tell each other with a delay.
//!
//! A pattern is played with one way of deciding and then with others, on the same seeds.

mod backoffs;
mod crashes;
mod event_queue;
mod fleet;
mod limits;
mod quotas;

pub use backoffs::BackoffPattern;
pub use backoffs::BackoffPolicy;
pub use backoffs::BackoffResult;
pub use backoffs::backoff_table;
pub use backoffs::replay_backoffs;
pub use crashes::CrashPattern;
pub use crashes::CrashPolicy;
pub use crashes::CrashResult;
pub use crashes::crash_table;
pub use crashes::replay_crashes;
pub use fleet::FleetFault;
pub use limits::LimitPattern;
pub use limits::LimitPolicy;
pub use limits::LimitResult;
pub use limits::limit_table;
pub use limits::replay_limits;
pub use quotas::Partition;
pub use quotas::QuotaPattern;
pub use quotas::QuotaPolicy;
pub use quotas::QuotaResult;
pub use quotas::quota_table;
pub use quotas::replay_quotas;
