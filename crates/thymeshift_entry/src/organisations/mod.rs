//! Whose requests these are, and how many of them are admitted.
//!
//! * [`identity`]: the organisation behind a request's key.
//! * [`quota`]: its limit over all processes, counted by one of them.
//! * [`pending_asks`]: datagrams to the counting process and back.

mod identity;
mod pending_asks;
mod quota;

pub(crate) use identity::Identity;
pub(crate) use identity::identify;
pub(crate) use identity::request_priority;
pub(crate) use pending_asks::QuotaReply;
pub(crate) use quota::Quotas;
