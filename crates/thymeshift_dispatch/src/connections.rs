//! This VM's share of a target's connections.
//!
//! Divided by the published upper bound of VMs, not by a count of live ones: VMs may
//! disagree about who is alive, and the shares must fit the target's limit in every
//! mixture of views.

/// Connections one VM may hold to one target: at least 1, as the configuration's check
/// guarantees that every VM's share is.
pub fn connection_share(connections_per_target: u64, entry_vms_max: u64) -> u32 {
    let share = connections_per_target / entry_vms_max.max(1);
    u32::try_from(share).unwrap_or(u32::MAX).max(1)
}
