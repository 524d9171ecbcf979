//! Policies of keeping backoffs over many processes.

use derive_more::Display;

/// A policy of keeping backoffs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum BackoffPolicy {
    /// What the product does: a process names the targets that it may not use when it asks an
    /// allocator, which spaces out requests to targets that refuse one process after the other.
    #[display("named, spaced out")]
    NamedAndSpaced,
    /// The same without spacing out.
    #[display("named")]
    Named,
    /// Nobody but the process that was asked knows: it gives grants back.
    #[display("holder alone")]
    HolderOnly,
    /// The allocator keeps a backoff that one process was asked for on behalf of all.
    #[display("for all")]
    FleetWide,
    /// Nobody reads it.
    #[display("unread")]
    Ignored,
}

impl BackoffPolicy {
    /// The policies that are compared.
    pub const ALL: [Self; 5] =
        [Self::NamedAndSpaced, Self::Named, Self::HolderOnly, Self::FleetWide, Self::Ignored];
}
