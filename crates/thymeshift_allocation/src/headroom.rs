//! Headroom of the other groups of a service, as reported by their allocators.
//!
//! Allocators periodically send each other the headroom of their group: the number of further
//! requests that its targets can take. A group without headroom redirects requests to another
//! group, picked at random in proportion to the reported headroom. Each redirected request is
//! subtracted from the report, so that the allocator does not send a group more requests than the
//! group offered until its next report arrives.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::Rng;
use thymeshift_types::Timestamp;

use crate::Group;

/// Age at which a headroom report is ignored.
const REPORT_TTL: Duration = Duration::from_millis(1_200);

#[derive(Debug, Clone, Copy)]
struct HeadroomReport {
    /// Further requests that the group can take.
    headroom: u32,
    received_at: Timestamp,
}

/// Last headroom report of each group of a service.
#[derive(Debug, Clone, Default)]
pub struct GroupHeadroom {
    reports: BTreeMap<Group, HeadroomReport>,
}

impl GroupHeadroom {
    /// Records the headroom that a group has reported, in requests.
    pub fn record(&mut self, group: Group, headroom: u32, now: Timestamp) {
        self.reports.insert(group, HeadroomReport { headroom, received_at: now });
    }

    /// Whether a group other than `own` has headroom.
    pub fn is_available_outside(&self, own: &Group, now: Timestamp) -> bool {
        self.reports.iter().any(|(group, report)| {
            group != own && report.headroom > 0 && now.since(report.received_at) < REPORT_TTL
        })
    }

    /// Reserves headroom for one request in a group other than `own`, picked at random in
    /// proportion to headroom. Returns `None` if no other group has headroom.
    pub fn reserve<R: Rng>(&mut self, own: &Group, now: Timestamp, rng: &mut R) -> Option<Group> {
        let is_usable = |group: &Group, report: &HeadroomReport| {
            group != own && now.since(report.received_at) < REPORT_TTL
        };
        let mut usable: Vec<(&Group, &mut HeadroomReport)> = self
            .reports
            .iter_mut()
            .filter(|(group, report)| report.headroom > 0 && is_usable(group, report))
            .collect();
        let total: u32 = usable.iter().map(|(_, report)| report.headroom).sum();
        if total == 0 {
            return None;
        }
        let mut remaining = rng.random_range(0..total);
        for (group, report) in &mut usable {
            if remaining < report.headroom {
                report.headroom -= 1;
                return Some((*group).clone());
            }
            remaining -= report.headroom;
        }
        None
    }
}
