//! Organisations: ownership of API keys, and a request quota per organisation.
//!
//! * [`KeyRing`] finds the organisation that owns a key.
//! * [`QuotaCounter`] and [`QuotaHolder`] enforce the quota of an organisation over all processes.
//!
//! # Quota enforcement over all processes
//!
//! One process, the counter, counts all requests of an organisation. Every process ranks the same
//! members for this task, so that no agreement protocol is needed. The other processes hold
//! *tokens* of the organisation and spend one token per admitted request. They request tokens in
//! batches that cover the demand of [`BATCH_DURATION`], so that there are never more messages than
//! requests.
//!
//! The quota must not be exceeded, even if processes disagree about which process is the counter:
//!
//! * Tokens expire after [`TOKEN_TTL`], so that the tokens of a lost counter are soon spent or
//!   void.
//! * A new counter starts with few tokens, because another counter may just have granted all
//!   tokens.
//! * A process that reaches no counter admits the share that the last counter assigned to it: the
//!   limit, divided in proportion to demand. The counter withholds this share from other processes
//!   while the process is silent although its requests arrived regularly before.
//! * A process reports what it admitted on its own, and the counter subtracts what it did not
//!   withhold, as the replies may be late while the requests arrive.
//! * A process without an assigned share admits the limit divided by the number of VMs.

mod counter;
mod demand;
mod holder;
mod key_ring;
mod limit;
mod token_bucket;

pub use counter::QuotaCounter;
pub use counter::TOKEN_TTL;
pub use counter::TokenDemand;
pub use counter::TokenGrant;
pub use counter::TokenRequest;
pub use holder::Admission;
pub use holder::BATCH_DURATION;
pub use holder::QuotaHolder;
pub use key_ring::KeyRing;
pub use limit::QuotaLimit;
