//! Identifies the organisation of each request and enforces its rate limit.
//!
//! * [`identity`]: resolves a request's key to its organisation.
//! * [`quota`]: enforces the limit of an organisation over all processes; one process counts.
//! * [`pending_asks`]: matches replies of the counting process to the asks sent to it.

mod identity;
mod pending_asks;
mod quota;

pub(crate) use identity::Identity;
pub(crate) use identity::identify;
pub(crate) use identity::request_priority;
pub(crate) use pending_asks::QuotaReply;
pub(crate) use quota::Quotas;
