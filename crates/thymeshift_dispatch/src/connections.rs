//! Share of a target's connections that one VM may hold.
//!
//! The target's connection limit is divided by the published upper bound of VMs, not by a count of
//! live VMs: VMs may disagree about which others are alive,
//! and the shares must fit the limit in every mixture of views.

/// Returns the connections that one VM may hold to one target, at least 1.
/// The check of the configuration guarantees that the division alone gives every VM at least 1.
pub fn connection_share(connections_per_target: u64, entry_vms_max: u64) -> u32 {
    let share = connections_per_target / entry_vms_max.max(1);
    u32::try_from(share).unwrap_or(u32::MAX).max(1)
}
