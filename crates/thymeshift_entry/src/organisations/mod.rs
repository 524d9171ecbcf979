//! Identifies the organisation of each request and enforces its rate limit.
//!
//! * [`identity`]: resolves a request's key to its organisation.
//! * [`quota`]: enforces an organisation's rate limit over all processes through one counter.
//! * [`grant_log`]: log lines on what a counter granted.
//! * [`pending_asks`]: matches the replies of the counting process to quota requests.

mod grant_log;
mod identity;
mod pending_asks;
mod quota;

pub(crate) use identity::Identity;
pub(crate) use identity::identify;
pub(crate) use identity::request_priority;
pub(crate) use pending_asks::QuotaReply;
pub(crate) use quota::Quotas;
