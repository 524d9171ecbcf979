//! Policies that apply targets' backoffs over many processes.

use derive_more::Display;

/// Policy that applies the backoffs that targets ask for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum BackoffPolicy {
    /// Policy of the load balancer: an acquire request excludes the targets that are in backoff at
    /// its sender, and the allocator spaces out requests to targets that refuse several processes.
    #[display("named, spaced out")]
    NamedAndSpaced,
    /// An acquire request excludes targets in backoff; the allocator does not space out requests.
    #[display("named")]
    Named,
    /// Only the process that was asked for a backoff applies it, by returning grants of the target.
    #[display("holder alone")]
    HolderOnly,
    /// The allocator applies a backoff that one process was asked for to all processes.
    #[display("for all")]
    FleetWide,
    /// All processes ignore backoffs.
    #[display("unread")]
    Ignored,
}

impl BackoffPolicy {
    /// Policies of the result table.
    pub const ALL: [Self; 5] =
        [Self::NamedAndSpaced, Self::Named, Self::HolderOnly, Self::FleetWide, Self::Ignored];
}
