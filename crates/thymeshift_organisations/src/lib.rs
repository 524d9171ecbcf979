//! Organisations: whose key a request carries, and how many requests each may send.
//!
//! * [`KeyRing`]: the organisation that holds a key.
//! * [`QuotaCounter`] and [`QuotaHolder`]: the limit of an organisation over all processes.
//!
//! # The limit over all processes
//!
//! One process counts an organisation's requests; every process ranks the same members for it, so
//! that no agreement is needed. The others hold *tokens* of it, one for each request that they
//! admit. They ask for a few at a time, as many as arrived lately in [`BATCH_DURATION`], so that the
//! messages follow the requests and never exceed them.
//!
//! What must hold is that too many are never admitted, whatever each process believes:
//!
//! * Tokens lapse after [`TOKEN_TTL`], so that what was handed out before a counter was lost
//!   is soon spent or void.
//! * A counter that begins has hardly any tokens: another one may just have handed out all.
//! * A process that reaches no counter admits what it was told to be its part: the limit divided
//!   by demand. The counter withholds that part once a process whose requests came regularly
//!   falls silent.
//! * One that was told nothing admits the limit divided by the number of VMs.

mod counter;
mod demand;
mod holder;
mod key_ring;
mod limit;
mod token_bucket;

pub use counter::QuotaCounter;
pub use counter::TOKEN_TTL;
pub use counter::TokenGrant;
pub use counter::TokenRequest;
pub use holder::Admission;
pub use holder::BATCH_DURATION;
pub use holder::QuotaHolder;
pub use key_ring::KeyRing;
pub use limit::QuotaLimit;
